//! Checks the invariants of a [`PoolScheduler`].

use super::scheduler::PoolScheduler;
use crate::{admission, routing};

/// Checks a scheduler, its queue and its engine table.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub fn verify(scheduler: &PoolScheduler) -> Result<(), String> {
    admission::verify::verify(&scheduler.queue)?;
    routing::verify::verify(&scheduler.table)?;
    if !scheduler.queue.tickets().eq(scheduler.waiting.keys().copied()) {
        return Err("the queue and the requests that wait differ".to_owned());
    }
    Ok(())
}
