//! Has a configuration accepted by the replicated log, and reads back what was accepted.

use super::context::{ControlCx, ProposeError};
use super::machine::{Document, Order, Reply};
use crate::config::{ApplyOutcome, Fleet};

/// Times that a change is prepared anew when others come between.
const PREPARE_TRIES: usize = 8;

/// Why a submitted configuration has no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// The log did not carry it out here.
    Propose(ProposeError),
    /// Other changes came between each time.
    Busy,
}

impl From<ProposeError> for SubmitError {
    fn from(err: ProposeError) -> Self {
        Self::Propose(err)
    }
}

/// Puts a checked configuration in force, or tells what holds its number.
///
/// # Errors
///
/// Returns a [`SubmitError`]; the same configuration may then be submitted again anywhere.
pub async fn submit(cx: &ControlCx, fleet: &Fleet, by: &str) -> Result<ApplyOutcome, SubmitError> {
    for _ in 0..PREPARE_TRIES {
        let prepared = cx.with_machine(|m| m.config.prepare(fleet, by));
        let order = match prepared {
            Ok(change) => Order::Config(change),
            // Only the leader may say that a number is taken or stale.
            Err(_) => Order::Read,
        };
        match cx.propose(order).await? {
            Reply::Config(Some(outcome)) => return Ok(outcome),
            Reply::Read => {
                let settled = cx.with_machine(|m| m.config.prepare(fleet, by)).err();
                if let Some(outcome) = settled {
                    return Ok(outcome);
                }
            }
            _ => {}
        }
    }
    Err(SubmitError::Busy)
}

/// Reads the text of the newest accepted configuration; `None` before the first one.
///
/// # Errors
///
/// Returns a [`ProposeError`] if this box cannot be sure of the newest.
pub async fn newest_document(cx: &ControlCx) -> Result<Option<Document>, ProposeError> {
    cx.propose(Order::Read).await?;
    Ok(cx.with_machine(|m| m.document.clone()))
}
