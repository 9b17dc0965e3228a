//! Checks the invariants of [`Turns`].

use super::state::Turns;

/// Checks that no move waits while it has the turn, or while the turn is free.
///
/// # Errors
///
/// Returns a description of the first violated invariant.
pub fn verify(turns: &Turns) -> Result<(), String> {
    for (runner, queue) in &turns.queues {
        match &queue.current {
            Some((id, _)) if queue.waiting.iter().any(|waiter| waiter.id == *id) => {
                return Err(format!("{runner}: move {id} has the turn and is still queued"));
            }
            None if !queue.waiting.is_empty() => {
                return Err(format!("{runner}: the turn is free and moves are queued"));
            }
            _ => {}
        }
    }
    Ok(())
}
