//! Checks the invariants of a [`PoolScheduler`].

use super::scheduler::PoolScheduler;
use crate::{admission, routing};

/// Checks a line, its queue and its engines.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(line: &PoolScheduler) -> Result<(), String> {
    admission::verify::verify(&line.queue)?;
    routing::verify::verify(&line.table)?;
    if !line.queue.tickets().eq(line.waiting.keys().copied()) {
        return Err("the queue and the requests that wait differ".to_owned());
    }
    Ok(())
}
