//! Checks the invariants of [`Turns`].

use super::state::Turns;

/// Checks that nobody waits for a turn that it has, or that is free.
///
/// # Errors
///
/// Returns the invariant that does not hold.
pub fn verify(turns: &Turns) -> Result<(), String> {
    for (runner, queue) in &turns.queues {
        match &queue.current {
            Some((id, _)) if queue.waiting.iter().any(|waiter| waiter.id == *id) => {
                return Err(format!("{runner}: {id} waits for the turn that it has"));
            }
            None if !queue.waiting.is_empty() => {
                return Err(format!("{runner}: the turn is free and somebody waits"));
            }
            _ => {}
        }
    }
    Ok(())
}
