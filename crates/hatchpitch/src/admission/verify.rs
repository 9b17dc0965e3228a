//! Checks the invariants of an [`AdmissionQueue`].

use super::policy::Order;
use super::state::AdmissionQueue;

/// Checks the invariants of a queue.
///
/// # Errors
///
/// Returns a description of the first violated invariant.
pub fn verify(queue: &AdmissionQueue) -> Result<(), String> {
    if queue.on_time.len() + queue.overdue.len() != queue.queued.len() {
        return Err("the order sets and the requests differ in number".to_owned());
    }
    if queue.queued.len() > queue.cfg.max_waiting {
        return Err("more requests wait than may".to_owned());
    }
    for (ticket, queued) in &queue.queued {
        if queued.key.2 != *ticket
            || !(queue.on_time.contains(&queued.key) || queue.overdue.contains(&queued.key))
        {
            return Err(format!("request {ticket} is in no order set"));
        }
        let fair = queue.cfg.order == Order::Fair;
        if fair && queued.key.0.0 != queued.waiter.priority {
            return Err(format!("the sort key of request {ticket} has another priority"));
        }
    }
    queue.sweep.verify(queue.queued.values())
}
