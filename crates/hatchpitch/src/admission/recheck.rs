//! Finds queued requests that can no longer start in time.
//!
//! Handles capacity that is lost after requests were accepted: engines leave during a burst, or a
//! failure domain is evacuated. Without this check, such a request is refused only after its whole
//! wait, when too little time is left for its caller to try again.
//!
//! Each step examines a bounded number of requests, from the one that is served last towards the
//! front, and the next step continues there. A request whose expected wait exceeds its remaining
//! time by a margin is doubtful, and is refused once it has been doubtful for 200 ms.
//! Doubtful requests do not count as ahead of others, because they are expected to be refused: a
//! request with a longer limit behind them can still be served.

use std::time::{Duration, Instant};

use super::state::{AdmissionQueue, OrderKey, Queued, Ticket};

/// Requests that one step examines.
const MAX_EXAMINED: usize = 32;
/// Factor by which the expected wait must exceed the remaining time. The estimate is a mean over
/// requests of all lengths, of which few run at each engine: with 1.5, up to a ninth of the requests
/// that were found could still be served late.
pub const MARGIN: f64 = 2.0;
/// Time by which the expected wait must exceed the remaining time in addition.
const MIN_EXCESS: Duration = Duration::from_millis(100);
/// Time for which a request must be doubtful before it is refused. Changes of the fleet arrive one
/// by one, so that the estimate may be wrong until all are known.
const DOUBT_TIME: Duration = Duration::from_millis(200);

/// Result of examining one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// It may still start in time.
    InTime,
    /// It is not expected to start in time, since the given time.
    Doubtful(Instant),
    /// It is to be refused.
    Untimely,
}

/// Compares the expected wait of a request with the time that is left for it. `doubtful` is the time
/// since which it is doubtful. Doubt ends only when the expected wait is within the time left, so
/// that it does not flicker at the margin.
pub fn examine(
    expected: Duration,
    left: Duration,
    doubtful: Option<Instant>,
    now: Instant,
) -> Finding {
    let exceeds = expected > left.mul_f64(MARGIN).saturating_add(MIN_EXCESS);
    match doubtful {
        None if exceeds => Finding::Doubtful(now),
        None => Finding::InTime,
        Some(_) if expected <= left => Finding::InTime,
        Some(since) if exceeds && now.duration_since(since) >= DOUBT_TIME => Finding::Untimely,
        Some(since) => Finding::Doubtful(since),
    }
}

/// A request that is refused because it cannot start in time, with the inputs of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Untimely {
    /// Its ticket.
    pub ticket: Ticket,
    /// Number of requests that are served before it.
    pub ahead: usize,
    /// Its expected wait.
    pub expected: Duration,
    /// Time that was left until its limit.
    pub left: Duration,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time for which it was doubtful.
    pub doubtful: Duration,
}

/// Position in service order: requests that are overdue come last.
pub(super) type Place = (bool, OrderKey);

/// Progress of the examination of a queue, from its end to its front.
#[derive(Debug, Clone, Default)]
pub(super) struct Sweep {
    /// Place examined last. `None` starts with the request that is served last.
    at: Option<Place>,
    /// Requests at or behind `at` that are not doubtful.
    kept_behind: usize,
    /// Doubtful requests in the queue.
    pub(super) doubtful: usize,
}

impl Sweep {
    fn is_behind(&self, place: Place) -> bool {
        self.at.is_some_and(|at| place >= at)
    }

    /// Checks the counts against the requests of the queue.
    ///
    /// # Errors
    ///
    /// Returns a description of the count that is wrong.
    pub(super) fn verify<'a>(
        &self,
        queued: impl Iterator<Item = &'a Queued>,
    ) -> Result<(), String> {
        let (doubtful, kept): (Vec<_>, Vec<_>) = queued.partition(|q| q.doubtful.is_some());
        if self.doubtful != doubtful.len() {
            return Err("the number of doubtful requests is wrong".to_owned());
        }
        if self.kept_behind != kept.iter().filter(|q| self.is_behind(q.place())).count() {
            return Err("the number of examined requests is wrong".to_owned());
        }
        Ok(())
    }

    /// Makes the next step start with the request that is served last.
    fn restart(&mut self) {
        (self.at, self.kept_behind) = (None, 0);
    }

    /// Records that a request was added.
    pub(super) fn add(&mut self, queued: &Queued) {
        if queued.doubtful.is_some() {
            self.doubtful += 1;
        } else if self.is_behind(queued.place()) {
            self.kept_behind += 1;
        }
    }

    /// Records that a request was removed.
    pub(super) fn remove(&mut self, queued: &Queued) {
        if queued.doubtful.is_some() {
            self.doubtful -= 1;
        } else if self.is_behind(queued.place()) {
            self.kept_behind -= 1;
        }
    }
}

impl AdmissionQueue {
    /// Examines the next requests, and returns those that cannot start in time; they stay in the
    /// queue. None is returned while the time between grants that the runners sustain is not known.
    pub fn find_untimely(&mut self, now: Instant) -> Vec<Untimely> {
        let Some(interval) = self.service_interval else { return Vec::new() };
        let mut untimely = Vec::new();
        let places = self.next_places();
        let reaches_front = places.len() < MAX_EXAMINED;
        for place in places {
            let ticket = place.1.2;
            let Some(queued) = self.queued.get_mut(&ticket) else { continue };
            let kept = usize::from(queued.doubtful.is_none());
            let all_kept = self.on_time.len() + self.overdue.len() - self.sweep.doubtful;
            let ahead = all_kept - self.sweep.kept_behind - kept;
            let expected = interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX));
            let waited = now.saturating_duration_since(queued.waiter.since);
            let left = queued.limit.min(self.cfg.max_wait).saturating_sub(waited);
            let finding = examine(expected, left, queued.doubtful, now);
            if finding == Finding::Untimely {
                let doubtful = queued.doubtful.map_or(Duration::ZERO, |since| now - since);
                untimely.push(Untimely { ticket, ahead, expected, left, waited, doubtful });
                self.sweep.at = Some(place);
                continue;
            }
            self.sweep.remove(queued);
            self.sweep.at = Some(place);
            queued.doubtful = match finding {
                Finding::Doubtful(since) => Some(since),
                Finding::InTime | Finding::Untimely => None,
            };
            self.sweep.add(queued);
        }
        if reaches_front {
            self.sweep.restart();
        }
        untimely
    }

    /// Returns the places to be examined next, the last one first.
    fn next_places(&self) -> Vec<Place> {
        let (overdue, on_time) = match self.sweep.at {
            Some((true, key)) => (self.overdue.range(..key), self.on_time.range(..)),
            Some((false, key)) => (self.overdue.range(key..key), self.on_time.range(..key)),
            None => (self.overdue.range(..), self.on_time.range(..)),
        };
        let overdue = overdue.rev().map(|key| (true, *key));
        let places = overdue.chain(on_time.rev().map(|key| (false, *key)));
        let places: Vec<Place> = places.take(MAX_EXAMINED).collect();
        places
    }
}
