//! Backoffs that upstreams requested from this box, without I/O.
//!
//! An overloaded upstream rejects requests of many boxes and tells each how long to back off; while
//! the overload lasts, it does so again after each backoff. When a backoff ends, each box sends one
//! request, and further ones in proportion to the responses (slow start), so that the load which
//! caused the overload does not return all at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::ids::RunnerName;

/// Requests that each response after a backoff allows, in addition to the first one.
const REQUESTS_PER_ANSWER: u32 = 2;
/// Responses after which slow start ends. By then eight requests may be in flight.
const ANSWERS_TO_RECOVER: u32 = 4;
/// Interval at which requests are sent to an upstream that does not respond after its backoff.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Estimated time until the next response during slow start.
const ANSWER_WAIT: Duration = Duration::from_millis(50);
/// Time after its end at which a backoff is dropped.
const RETENTION: Duration = Duration::from_secs(60);

/// The table that all tasks and scheduling decisions of one box share.
pub type SharedBackoffs = Rc<RefCell<BackoffTable>>;

#[derive(Debug, Clone)]
pub(super) struct Backoff {
    until: Instant,
    /// Requests sent after it ended.
    pub(super) sent: u32,
    /// When the last of them was sent.
    pub(super) last_sent: Option<Instant>,
    /// Responses to them.
    pub(super) answered: u32,
}

impl Backoff {
    fn admits(&self, now: Instant) -> bool {
        if now < self.until {
            return false;
        }
        let probe_due = self.last_sent.is_none_or(|at| now >= at + PROBE_INTERVAL);
        self.sent <= self.answered * REQUESTS_PER_ANSWER || probe_due
    }

    fn opens_in(&self, now: Instant) -> Duration {
        match self.until.checked_duration_since(now) {
            Some(left) if !left.is_zero() => left,
            _ if self.admits(now) => Duration::ZERO,
            _ => ANSWER_WAIT,
        }
    }
}

/// Backoffs of one box, by the names of the upstreams' lives.
#[derive(Debug, Clone, Default)]
pub struct BackoffTable {
    pub(super) backoffs: BTreeMap<RunnerName, Backoff>,
}

impl BackoffTable {
    /// Starts or extends an upstream's backoff. Of overlapping backoffs the one that ends last
    /// applies, because the responses may belong to requests that were sent together.
    pub fn start(&mut self, upstream: &str, duration: Duration, now: Instant) {
        self.backoffs.retain(|_, backoff| now < backoff.until + RETENTION);
        let until = now + duration;
        match self.backoffs.get_mut(upstream) {
            Some(known) => {
                let until = known.until.max(until);
                *known = Backoff { until, sent: 0, last_sent: None, answered: 0 };
            }
            None => {
                let backoff = Backoff { until, sent: 0, last_sent: None, answered: 0 };
                self.backoffs.insert(upstream.to_owned(), backoff);
            }
        }
    }

    /// Records a response without a backoff, to a request that was sent at `sent`.
    pub fn record_answer(&mut self, upstream: &str, sent: Instant) {
        let Some(backoff) = self.backoffs.get_mut(upstream) else { return };
        if sent < backoff.until {
            return;
        }
        backoff.answered += 1;
        if backoff.answered >= ANSWERS_TO_RECOVER {
            self.backoffs.remove(upstream);
        }
    }

    /// Returns whether there is no backoff, active or in slow start.
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }

    /// Returns the remaining time of an upstream's backoff, if one is active.
    pub fn remaining(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let remaining = self.backoffs.get(upstream)?.until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the number of upstreams with an active backoff.
    pub fn active_count(&self, now: Instant) -> usize {
        self.backoffs.values().filter(|backoff| now < backoff.until).count()
    }

    /// Returns whether a request may be sent to an upstream.
    pub fn admits(&self, upstream: &str, now: Instant) -> bool {
        self.backoffs.get(upstream).is_none_or(|backoff| backoff.admits(now))
    }

    /// Returns whether an upstream is in slow start after a backoff.
    pub fn is_recovering(&self, upstream: &str, now: Instant) -> bool {
        self.backoffs.get(upstream).is_some_and(|backoff| now >= backoff.until)
    }

    /// Returns the time until a request may be sent to an upstream.
    pub fn opens_in(&self, upstream: &str, now: Instant) -> Duration {
        self.backoffs.get(upstream).map_or(Duration::ZERO, |backoff| backoff.opens_in(now))
    }

    /// Returns the upstreams to which no request may be sent at `now`.
    pub fn blocked(&self, now: Instant) -> impl Iterator<Item = &RunnerName> {
        let blocked = self.backoffs.iter().filter(move |(_, backoff)| !backoff.admits(now));
        blocked.map(|(upstream, _)| upstream)
    }

    /// Counts a request that is about to be sent; returns whether it may be sent.
    pub fn take(&mut self, upstream: &str, now: Instant) -> bool {
        let Some(backoff) = self.backoffs.get_mut(upstream) else { return true };
        let admits = backoff.admits(now);
        if admits {
            backoff.sent += 1;
            backoff.last_sent = Some(now);
        }
        admits
    }
}
