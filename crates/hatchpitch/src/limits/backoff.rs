//! Rest between tries to reach a box that does not answer.

use std::time::Duration;

/// Rest after the first failure: boxes that start together are up within tens of ms of each other.
const FIRST_REST: Duration = Duration::from_millis(25);
/// Longest rest, so that a box that is back is found soon, and one that is away is not hammered.
const LONGEST_REST: Duration = Duration::from_millis(200);

/// Returns the rest after so many failures in a row; it doubles with each.
pub fn delay(failures: u32) -> Duration {
    let doubled = FIRST_REST.saturating_mul(1 << failures.saturating_sub(1).min(16));
    doubled.min(LONGEST_REST)
}
