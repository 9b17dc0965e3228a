//! Submits configurations to the replicated log and reads the newest accepted one.

use super::context::{ControlCx, ProposeError};
use super::machine::{Document, Order, Reply};
use crate::config::{ApplyOutcome, Fleet};

/// Maximum number of times that a change is prepared when other changes are accepted meanwhile.
const MAX_PREPARE_ATTEMPTS: usize = 8;

/// Why submitting a configuration gave no outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// Proposing the change to the replicated log failed.
    Propose(ProposeError),
    /// Other changes were accepted between preparation and application at each attempt.
    Busy,
}

impl From<ProposeError> for SubmitError {
    fn from(err: ProposeError) -> Self {
        Self::Propose(err)
    }
}

/// Puts a validated configuration in force, or returns the content that was accepted under its
/// number or the newer number that makes it stale.
///
/// # Errors
///
/// Returns a [`SubmitError`]; the same configuration may then be submitted again at any control
/// box.
pub async fn submit(cx: &ControlCx, fleet: &Fleet, by: &str) -> Result<ApplyOutcome, SubmitError> {
    for _ in 0..MAX_PREPARE_ATTEMPTS {
        let prepared = cx.with_machine(|m| m.config.prepare(fleet, by));
        let order = match prepared {
            Ok(change) => Order::Config(change),
            // Only the newest state shows for certain that a number is taken or stale, so it is
            // read through the log before the conflict is reported.
            Err(_) => Order::Read,
        };
        match cx.propose(order).await? {
            Reply::Config(Some(outcome)) => return Ok(outcome),
            Reply::Read => {
                let conflict = cx.with_machine(|m| m.config.prepare(fleet, by)).err();
                if let Some(outcome) = conflict {
                    return Ok(outcome);
                }
            }
            _ => {}
        }
    }
    Err(SubmitError::Busy)
}

/// Returns the text of the configuration in force; `None` before the first one or if it has none.
///
/// # Errors
///
/// Returns a [`ProposeError`] if this box cannot confirm that its state is the newest.
pub async fn newest_document(cx: &ControlCx) -> Result<Option<Document>, ProposeError> {
    cx.propose(Order::Read).await?;
    Ok(cx.with_machine(|m| m.document.clone()))
}
