//! Exponential backoff between attempts to reach a box that does not answer.

use std::time::Duration;

/// Delay after the first failure: boxes that start together are up within tens of ms of each other.
const INITIAL_DELAY: Duration = Duration::from_millis(25);
/// Upper bound of the delay. It is short enough to notice a recovered box soon, and long enough not
/// to flood one that is down.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Returns the delay after `failures` consecutive failures. It doubles with each failure.
pub fn delay(failures: u32) -> Duration {
    let doubled = INITIAL_DELAY.saturating_mul(1 << failures.saturating_sub(1).min(16));
    doubled.min(MAX_DELAY)
}
