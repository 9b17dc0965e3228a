//! Begins and ends evacuations through the replicated log.

use std::rc::Rc;

use super::context::{ControlCx, ProposeError};
use super::machine::Order;
use crate::evacuation::{EvacuationOrder, Evacuations};
use crate::ids::FailureDomainName;

/// Why an evacuation was not begun or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuateError {
    /// No failure domain of this name is known.
    UnknownDomain(FailureDomainName),
    /// Proposing the order to the replicated log failed.
    Propose(ProposeError),
}

impl From<ProposeError> for EvacuateError {
    fn from(err: ProposeError) -> Self {
        Self::Propose(err)
    }
}

/// Begins or ends an evacuation and returns the evacuations then in effect. An order that is
/// already in effect is confirmed without appending it again.
///
/// # Errors
///
/// Returns an [`EvacuateError`]; the same order may then be repeated at any control box.
pub async fn evacuate(
    cx: &ControlCx,
    order: EvacuationOrder,
    operator: &str,
) -> Result<Rc<Evacuations>, EvacuateError> {
    if !cx.is_elected() {
        return Err(ProposeError::NotLeader(cx.leader()).into());
    }
    let domain = order.domain();
    if !cx.knows_domain(domain) && !cx.with_machine(|m| m.evacuations.is_evacuated(domain)) {
        return Err(EvacuateError::UnknownDomain(domain.clone()));
    }
    let in_effect = || cx.with_machine(|m| m.evacuations.is_in_effect(&order));
    if in_effect() {
        // This box may no longer lead, and a newer order may have been committed: read the newest
        // state before confirming.
        cx.propose(Order::Read).await?;
    }
    if !in_effect() {
        cx.propose(Order::Evacuate(order.clone())).await?;
    }
    let evacuations = cx.config.evacuations();
    log::info!(
        operator = operator, order:?, revision = evacuations.revision();
        "evacuation acknowledged"
    );
    Ok(evacuations)
}
