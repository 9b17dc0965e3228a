//! The decision how long a move waits for the turn at its target, without I/O.

use std::time::Duration;

use super::messages::TurnAnswer;

/// Longest wait for the turn at a target: about the move of one other generation. With 150 ms and a
/// window of 700 ms, 58 instead of 18 of 1,589 moves had a long final copy in the replay of
/// `tests/moves_links.rs`. The turn at the source is held meanwhile and expires after 900 ms.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time from the notice of the source after which moves no longer wait: a copy may still end before
/// the shortest notice does (1,500 ms).
const WAIT_WINDOW: Duration = Duration::from_millis(1_200);

/// Next step of a move that asked for the turn at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitStep {
    /// Goes ahead with the turn.
    Granted,
    /// Asks again.
    Poll,
    /// Goes ahead without the turn, and withdraws the request.
    GiveUp,
}

/// Returns how long a move may wait for the turn at its target, given the time since this box
/// learned that the source is shutting down.
pub fn wait_limit(leaving_for: Duration) -> Duration {
    WAIT_WINDOW.saturating_sub(leaving_for).min(MAX_WAIT)
}

/// Returns the next step after an answer of the owner of the target, or after a call without one
/// (`None`). A failed call is not repeated, because the owner may be dead: copies that compete for
/// a link are slower, and a generation that is not copied in time is lost.
pub fn next_step(answer: Option<TurnAnswer>, waited: Duration, limit: Duration) -> WaitStep {
    match answer {
        Some(TurnAnswer::Yours) => WaitStep::Granted,
        Some(TurnAnswer::NotYet) if waited < limit => WaitStep::Poll,
        Some(TurnAnswer::NotYet) | None => WaitStep::GiveUp,
    }
}
