//! The rests that upstreams asked this box for, without I/O.
//!
//! Load pattern answered: an upstream in need that turns away what many boxes send, and tells each
//! of them for how long it wants nothing; while the need lasts it does so again after each rest.
//! What it gets right after a rest is one request of each box, and then as many more as were
//! answered, so that the work which made it ask does not come back all at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::ids::RunnerName;

/// Requests that may be under way after a rest for each one that was answered, beside the first.
const SENT_AN_ANSWER: u32 = 2;
/// Answers after which an upstream counts like any other: by then eight requests may be under way.
const ANSWERS_TO_RETURN: u32 = 4;
/// Time after which another request may go to an upstream that answers none after its rest.
const UNANSWERED: Duration = Duration::from_secs(1);
/// Time that the next answer after a rest is expected to take.
const ANSWER_WAIT: Duration = Duration::from_millis(50);
/// Time after the end of a rest for which it is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The book that all tasks and decisions of one box share.
pub type SharedBackoffs = Rc<RefCell<BackoffTable>>;

#[derive(Debug, Clone)]
pub(super) struct Rest {
    until: Instant,
    /// Requests that were sent after it, and when the last one was.
    pub(super) sent: u32,
    pub(super) last_sent: Option<Instant>,
    /// Requests sent after it that were answered.
    pub(super) answered: u32,
}

impl Rest {
    fn admits(&self, now: Instant) -> bool {
        if now < self.until {
            return false;
        }
        let is_due = self.last_sent.is_none_or(|at| now >= at + UNANSWERED);
        self.sent <= self.answered * SENT_AN_ANSWER || is_due
    }

    fn opens_in(&self, now: Instant) -> Duration {
        match self.until.checked_duration_since(now) {
            Some(left) if !left.is_zero() => left,
            _ if self.admits(now) => Duration::ZERO,
            _ => ANSWER_WAIT,
        }
    }
}

/// The rests that one box keeps, by the names of the upstreams' lives.
#[derive(Debug, Clone, Default)]
pub struct BackoffTable {
    pub(super) backoffs: BTreeMap<RunnerName, Rest>,
}

impl BackoffTable {
    /// Notes that an upstream asked for rest. Of several at one time the one that ends last counts:
    /// the answers may belong to requests that were sent together.
    pub fn start(&mut self, upstream: &str, rest: Duration, now: Instant) {
        self.backoffs.retain(|_, rest| now < rest.until + REMEMBERED);
        let until = now + rest;
        match self.backoffs.get_mut(upstream) {
            Some(known) => {
                let until = known.until.max(until);
                *known = Rest { until, sent: 0, last_sent: None, answered: 0 };
            }
            None => {
                let rest = Rest { until, sent: 0, last_sent: None, answered: 0 };
                self.backoffs.insert(upstream.to_owned(), rest);
            }
        }
    }

    /// Notes an answer that asked for none, to a request of `sent`.
    pub fn record_answer(&mut self, upstream: &str, sent: Instant) {
        let Some(rest) = self.backoffs.get_mut(upstream) else { return };
        if sent < rest.until {
            return;
        }
        rest.answered += 1;
        if rest.answered >= ANSWERS_TO_RETURN {
            self.backoffs.remove(upstream);
        }
    }

    /// Returns whether nothing is known of any rest.
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }

    /// Returns how much of an upstream's rest is left, if it rests.
    pub fn remaining(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let left = self.backoffs.get(upstream)?.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns how many upstreams rest.
    pub fn active_count(&self, now: Instant) -> usize {
        self.backoffs.values().filter(|rest| now < rest.until).count()
    }

    /// Returns whether a request may be sent to an upstream.
    pub fn admits(&self, upstream: &str, now: Instant) -> bool {
        self.backoffs.get(upstream).is_none_or(|rest| rest.admits(now))
    }

    /// Returns whether an upstream's rest is over and it has not answered enough since then.
    pub fn is_recovering(&self, upstream: &str, now: Instant) -> bool {
        self.backoffs.get(upstream).is_some_and(|rest| now >= rest.until)
    }

    /// Returns the time until a request may be sent to an upstream.
    pub fn opens_in(&self, upstream: &str, now: Instant) -> Duration {
        self.backoffs.get(upstream).map_or(Duration::ZERO, |rest| rest.opens_in(now))
    }

    /// Returns the upstreams to which no request may be sent now.
    pub fn blocked(&self, now: Instant) -> impl Iterator<Item = &RunnerName> {
        let closed = self.backoffs.iter().filter(move |(_, rest)| !rest.admits(now));
        closed.map(|(upstream, _)| upstream)
    }

    /// Counts a request that is about to be sent; returns whether it may be.
    pub fn take(&mut self, upstream: &str, now: Instant) -> bool {
        let Some(rest) = self.backoffs.get_mut(upstream) else { return true };
        let admits = rest.admits(now);
        if admits {
            rest.sent += 1;
            rest.last_sent = Some(now);
        }
        admits
    }
}
