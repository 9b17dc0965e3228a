//! Has an evacuation accepted by the replicated log.

use std::rc::Rc;

use super::context::{ControlCx, ProposeError};
use super::machine::Order;
use crate::evacuation::{EvacuationOrder, Evacuations};
use crate::ids::FailureDomainName;

/// Why an evacuation was not ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuateError {
    /// Nobody has heard of the failure domain.
    UnknownDomain(FailureDomainName),
    /// The log did not carry it out here.
    Propose(ProposeError),
}

impl From<ProposeError> for EvacuateError {
    fn from(err: ProposeError) -> Self {
        Self::Propose(err)
    }
}

/// Begins or ends an evacuation; what is already so is confirmed without an entry of its own.
/// Returns the evacuations that hold then.
///
/// # Errors
///
/// Returns an [`EvacuateError`]; the same order may then be given again anywhere.
pub async fn evacuate(
    cx: &ControlCx,
    order: EvacuationOrder,
    by: &str,
) -> Result<Rc<Evacuations>, EvacuateError> {
    if !cx.is_elected() {
        return Err(ProposeError::NotLeader(cx.leader()).into());
    }
    let domain = order.domain();
    if !cx.knows_domain(domain) && !cx.with_machine(|m| m.evacuations.is_evacuated(domain)) {
        return Err(EvacuateError::UnknownDomain(domain.clone()));
    }
    let holds = || cx.with_machine(|m| m.evacuations.is_in_effect(&order));
    if holds() {
        // This box may have lost the lead, and another order may have come between.
        cx.propose(Order::Read).await?;
    }
    if !holds() {
        cx.propose(Order::Evacuate(order.clone())).await?;
    }
    let evacuations = cx.config.evacuations();
    log::info!(
        operator = by, order:?, revision = evacuations.revision();
        "evacuation acknowledged"
    );
    Ok(evacuations)
}
