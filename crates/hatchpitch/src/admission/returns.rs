//! Times at which refused callers should return.
//!
//! Handles many refusals at once, as when engines leave during a burst. Callers that receive the
//! same time return together and most of them are refused again; they return only once. Times are
//! therefore spread as runners are expected to take requests, the more urgent and the earlier
//! refused callers first.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::Priority;

/// Upper bound on the time between two callers that were refused at the same place. Callers follow
/// a time only up to a third of what is left for them.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Longest time of return that is assigned, whatever wait another box quotes.
const MAX_RETURN: Duration = Duration::from_secs(30);
/// Steps in which the remaining spread is used: times of further callers move closer together
/// instead of exceeding it.
const SPREAD_STEPS: u32 = 16;

/// Assigns times of return to refused callers.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// Earliest time that is not assigned yet, by priority.
    next: BTreeMap<Priority, Instant>,
}

impl ReturnSchedule {
    /// Returns the time after which a caller that is refused now should return. It is at least
    /// `wait`, the expected wait, and exceeds it by one second at most. `interval` is the time
    /// between grants, if it is known.
    ///
    /// Times assigned to less urgent callers are ignored, since more urgent ones are served first.
    pub fn assign(
        &mut self,
        priority: Priority,
        wait: Duration,
        interval: Option<Duration>,
        now: Instant,
    ) -> Duration {
        let wait = wait.min(MAX_RETURN);
        let (earliest, latest) = (now + wait, now + wait + MAX_SPREAD);
        let free = self.next.range(priority..).map(|(_, at)| *at).max();
        let at = free.map_or(earliest, |free| free.clamp(earliest, latest));
        let step = (latest - at) / SPREAD_STEPS;
        let step = interval.map_or(step, |interval| interval.min(step));
        self.next.insert(priority, at + step);
        at - now
    }
}
