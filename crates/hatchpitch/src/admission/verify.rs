//! Checks the invariants of an [`AdmissionQueue`].

use super::policy::Order;
use super::state::AdmissionQueue;

/// Checks a queue.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(queue: &AdmissionQueue) -> Result<(), String> {
    if queue.order.len() + queue.late.len() != queue.queued.len() {
        return Err("the order and the requests differ in number".to_owned());
    }
    if queue.queued.len() > queue.cfg.max_waiting {
        return Err("more requests wait than may".to_owned());
    }
    for (ticket, queued) in &queue.queued {
        if queued.order.2 != *ticket
            || !(queue.order.contains(&queued.order) || queue.late.contains(&queued.order))
        {
            return Err(format!("request {ticket} is not in the order"));
        }
        let fair = queue.cfg.order == Order::Fair;
        if fair && queued.order.0.0 != queued.waiter.priority {
            return Err(format!("request {ticket} waits under another priority"));
        }
    }
    Ok(())
}
