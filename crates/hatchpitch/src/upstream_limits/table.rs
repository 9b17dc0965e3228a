//! Rate limits known to one box and the permits that it may use under them, without I/O.
//!
//! For each upstream one of the serving boxes, the decider, grants the permits. It sees the demand
//! of all boxes, so capacity goes to the boxes that need it and none stays unused. While the
//! decider does not answer, each other box sends at a small fallback rate. While boxes are lost,
//! the decider grants fewer permits by their share, because they may still be sending on the other
//! side of a partition.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::bucket::{Bucket, MAX_SPREAD, MAX_WAIT};
use super::messages::{AgedObservation, PermitAnswer, PermitKind, PermitRequest};
use super::observation::{LimitObservation, RateLimit};
use crate::ids::{Priority, RunnerName};

/// Fraction of a limit that all boxes together use without permits while the decider does not
/// answer them. It is small compared with what the decider may grant meanwhile, so that the sum
/// stays near the limit.
const FALLBACK_FRACTION: f64 = 0.25;
/// Interval between permit requests to a decider that does not answer. Another box takes over
/// within about 3 s, and each permit request delays a caller's request by up to its timeout.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);
/// Delay before the next permit request after a box answered that it is not the decider. Membership
/// changes reach all boxes within a few such intervals.
const NOT_DECIDER_RETRY: Duration = Duration::from_millis(100);
/// Interval at which a limit is reported to the decider again, which may have restarted. All boxes
/// together receive no more responses than the limit allows, which bounds the number of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the end of a limit is reported to the decider.
const REPORT_REMOVAL_FOR: Duration = Duration::from_secs(10);
/// Time after its last use at which an entry is dropped.
const ENTRY_TTL: Duration = Duration::from_secs(600);
/// Relative change of a limit above which all boxes are notified. The decider gets every value with
/// the permit requests, and the other boxes only need to know that a limit exists.
const NOTIFY_CHANGE: f64 = 0.25;

/// The table that all tasks and scheduling decisions of one box share.
pub type SharedLimits = Rc<RefCell<LimitTable>>;

/// Change of a limit by an observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Previous limit.
    pub from: Option<RateLimit>,
    /// New limit.
    pub to: Option<RateLimit>,
}

impl Change {
    /// Returns whether all boxes should be notified. Other boxes learn of the end of a limit with
    /// their next request.
    pub fn needs_broadcast(&self) -> bool {
        let per_second = RateLimit::per_second;
        match (self.from.map(per_second), self.to.map(per_second)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(from), Some(to)) => (from - to).abs() > from * NOTIFY_CHANGE,
        }
    }
}

/// The box that grants the permits of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decider {
    /// Its address for other boxes.
    pub addr: SocketAddr,
    /// Whether it is this box.
    pub is_own: bool,
    /// Fraction of the limit that it may grant, from 0 to 1.
    pub share: f64,
}

/// Result of taking a permit for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquired {
    /// The upstream has no limit.
    Unlimited,
    /// A permit was taken.
    Granted,
    /// The decider has to be asked for a permit.
    AskDecider,
    /// No permit is available for this time.
    Denied(Duration),
}

#[derive(Debug, Clone)]
pub(super) enum Permits {
    /// This box grants them.
    Local(Bucket),
    /// Another box grants them. For each listed priority and those below it, none is available
    /// until the given time.
    Remote(BTreeMap<Priority, Instant>),
    /// The decider does not answer. The bucket holds the fallback permits, and the decider is asked
    /// again at the given time.
    Unreachable(Bucket, Instant),
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) observed: LimitObservation,
    decider: Option<Decider>,
    pub(super) permits: Permits,
    /// When the entry was last observed or used.
    last_used: Instant,
    /// When the limit last changed.
    changed_at: Instant,
    /// When this box last reported the limit to the current decider.
    reported_at: Option<Instant>,
}

impl Entry {
    fn rate(&self) -> Option<f64> {
        let share = self.decider.map_or(1.0, |decider| decider.share);
        self.observed.limit.map(|limit| limit.per_second() * share)
    }

    fn denied_until(denied: &BTreeMap<Priority, Instant>, priority: Priority) -> Option<Instant> {
        denied.range(priority..).map(|(_, until)| *until).max()
    }
}

/// Rate limits of upstreams, by the names of their lives.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    pub(super) entries: BTreeMap<RunnerName, Entry>,
    /// Number of entries with a limit.
    pub(super) limited: usize,
}

impl LimitTable {
    /// Applies an observation of an upstream's limit; returns the change, if any. The caller sets
    /// the decider of a new entry with [`LimitTable::set_decider`].
    pub fn observe(
        &mut self,
        upstream: &str,
        observed: LimitObservation,
        now: Instant,
    ) -> Option<Change> {
        let change = self.apply(upstream, observed, now)?;
        self.limited = self.entries.values().filter(|e| e.observed.limit.is_some()).count();
        Some(change)
    }

    fn apply(
        &mut self,
        upstream: &str,
        observed: LimitObservation,
        now: Instant,
    ) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(upstream) else {
            observed.limit?;
            self.entries.retain(|_, entry| now.duration_since(entry.last_used) < ENTRY_TTL);
            let permits = Permits::Remote(BTreeMap::new());
            let entry = Entry {
                observed,
                decider: None,
                permits,
                last_used: now,
                changed_at: now,
                reported_at: None,
            };
            self.entries.insert(upstream.to_owned(), entry);
            return Some(Change { from: None, to: observed.limit });
        };
        entry.last_used = now;
        if !observed.supersedes(&entry.observed) {
            return None;
        }
        let from = std::mem::replace(&mut entry.observed, observed).limit;
        if from == observed.limit {
            return None;
        }
        (entry.changed_at, entry.reported_at) = (now, None);
        let rate = entry.rate();
        match (&mut entry.permits, rate) {
            (Permits::Local(bucket), Some(rate)) if from.is_none() => {
                *bucket = Bucket::empty(rate, now);
            }
            (Permits::Local(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (Permits::Remote(denied), _) => denied.clear(),
            (Permits::Unreachable(..), _) => entry.permits = Permits::Remote(BTreeMap::new()),
            (Permits::Local(_), None) => {}
        }
        Some(Change { from, to: observed.limit })
    }

    /// Returns the observation in force for an upstream's limit.
    pub fn observed(&self, upstream: &str) -> Option<&LimitObservation> {
        self.entries.get(upstream).map(|entry| &entry.observed)
    }

    /// Returns the current limit of an upstream.
    pub fn limit(&self, upstream: &str) -> Option<RateLimit> {
        self.observed(upstream)?.limit
    }

    /// Returns the upstreams that have an entry, with or without a limit.
    pub fn upstreams(&self) -> Vec<RunnerName> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the upstreams with a limit whose decider is the box at `addr`.
    pub fn decided_by(&self, addr: SocketAddr) -> Vec<RunnerName> {
        let by = |entry: &Entry| entry.decider.is_some_and(|decider| decider.addr == addr);
        let decided = self.entries.iter().filter(|(_, e)| e.observed.limit.is_some() && by(e));
        decided.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns the number of upstreams with a limit.
    pub fn limited(&self) -> usize {
        self.limited
    }

    /// Sets the decider of an upstream and the share that it may grant.
    pub fn set_decider(&mut self, upstream: &str, decider: Decider, now: Instant) {
        let Some(entry) = self.entries.get_mut(upstream) else { return };
        let previous = entry.decider.replace(decider);
        if previous.is_none_or(|previous| previous.addr != decider.addr) {
            entry.reported_at = None;
        }
        let rate = entry.rate().unwrap_or_default();
        match &mut entry.permits {
            Permits::Local(bucket) if decider.is_own => {
                if previous.is_none_or(|previous| previous.share != decider.share) {
                    bucket.set_rate(rate, now);
                }
            }
            _ if decider.is_own => entry.permits = Permits::Local(Bucket::empty(rate, now)),
            Permits::Local(_) => entry.permits = Permits::Remote(BTreeMap::new()),
            _ if previous.is_some_and(|previous| previous.addr == decider.addr) => {}
            _ => entry.permits = Permits::Remote(BTreeMap::new()),
        }
    }

    /// Returns the decider if a limit observed in a response has to be reported to it now, and
    /// records the report. The owner of an engine gets no permit requests for it, so it learns of a
    /// limit and of its end from these reports.
    pub fn take_report(&mut self, upstream: &str, now: Instant) -> Option<SocketAddr> {
        let entry = self.entries.get_mut(upstream)?;
        let decider = entry.decider.filter(|decider| !decider.is_own)?;
        let is_settled = entry.observed.limit.is_none()
            && now.duration_since(entry.changed_at) >= REPORT_REMOVAL_FOR;
        let is_due = entry.reported_at.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if is_settled || !is_due {
            return None;
        }
        entry.reported_at = Some(now);
        Some(decider.addr)
    }

    /// Returns the decider if permits of an upstream have to be requested from it.
    pub fn decider_to_ask(&self, upstream: &str, now: Instant) -> Option<SocketAddr> {
        let entry = self.entries.get(upstream)?;
        entry.observed.limit?;
        let must_ask = match &entry.permits {
            Permits::Local(_) => false,
            Permits::Remote(_) => true,
            Permits::Unreachable(_, ask_at) => now >= *ask_at,
        };
        entry.decider.filter(|_| must_ask).map(|decider| decider.addr)
    }

    /// Returns whether a request may be sent to an upstream, according to the state of this box.
    pub fn admits(&self, upstream: &str, priority: Priority, now: Instant) -> bool {
        let Some(entry) = self.entries.get(upstream) else { return true };
        if entry.observed.limit.is_none() {
            return true;
        }
        match &entry.permits {
            Permits::Local(bucket) => bucket.admits(priority, now),
            Permits::Remote(denied) => {
                Entry::denied_until(denied, priority).is_none_or(|until| now >= until)
            }
            Permits::Unreachable(fallback, ask_at) => {
                now >= *ask_at || fallback.admits(priority, now)
            }
        }
    }

    /// Returns the time until a request may be sent to an upstream, according to the state of this
    /// box.
    pub fn opens_in(&self, upstream: &str, priority: Priority, now: Instant) -> Duration {
        let Some(entry) = self.entries.get(upstream) else { return Duration::ZERO };
        if entry.observed.limit.is_none() {
            return Duration::ZERO;
        }
        let until = |at: Instant| at.saturating_duration_since(now);
        match &entry.permits {
            Permits::Local(bucket) => bucket.opens_in(priority, now),
            Permits::Remote(denied) => {
                Entry::denied_until(denied, priority).map_or(Duration::ZERO, until)
            }
            Permits::Unreachable(fallback, ask_at) => {
                fallback.opens_in(priority, now).min(until(*ask_at))
            }
        }
    }

    /// Records that a request of this priority is waiting for an upstream.
    pub fn record_demand(&mut self, upstream: &str, priority: Priority, now: Instant) {
        if let Some(Entry { permits: Permits::Local(bucket), .. }) = self.entries.get_mut(upstream)
        {
            bucket.record_demand(priority, now);
        }
    }

    /// Takes a permit for one request.
    pub fn take(&mut self, upstream: &str, priority: Priority, now: Instant) -> Acquired {
        let Some(entry) = self.entries.get_mut(upstream) else { return Acquired::Unlimited };
        if entry.observed.limit.is_none() {
            return Acquired::Unlimited;
        }
        let taken = match &mut entry.permits {
            Permits::Local(bucket) => bucket.take(priority, now),
            Permits::Remote(denied) => {
                return match Entry::denied_until(denied, priority) {
                    Some(until) if now < until => Acquired::Denied(until - now),
                    _ => Acquired::AskDecider,
                };
            }
            Permits::Unreachable(_, ask_at) if now >= *ask_at => return Acquired::AskDecider,
            Permits::Unreachable(fallback, _) => fallback.take(priority, now),
        };
        taken.map_or_else(Acquired::Denied, |()| Acquired::Granted)
    }

    /// Takes a permit for background traffic that no caller waits for, only from surplus permits of
    /// this box; returns whether there was one.
    pub fn take_spare(&mut self, upstream: &str, now: Instant) -> bool {
        match self.entries.get_mut(upstream) {
            Some(Entry { observed: LimitObservation { limit: Some(_), .. }, permits, .. }) => {
                match permits {
                    Permits::Local(bucket) => bucket.take_spare(now),
                    Permits::Remote(_) | Permits::Unreachable(..) => false,
                }
            }
            _ => true,
        }
    }

    /// Takes a permit in advance, for something that cannot be delayed, if this box grants them.
    pub fn take_in_advance(&mut self, upstream: &str, now: Instant) -> Acquired {
        match self.entries.get_mut(upstream) {
            Some(Entry { observed: LimitObservation { limit: Some(_), .. }, permits, .. }) => {
                match permits {
                    Permits::Local(bucket) => bucket
                        .take_in_advance(now)
                        .map_or_else(Acquired::Denied, |()| Acquired::Granted),
                    Permits::Remote(_) => Acquired::AskDecider,
                    Permits::Unreachable(_, ask_at) if now >= *ask_at => Acquired::AskDecider,
                    Permits::Unreachable(fallback, _) => {
                        Acquired::Denied(fallback.opens_in(Priority::MAX, now))
                    }
                }
            }
            _ => Acquired::Unlimited,
        }
    }

    /// Answers a permit request of another box. The decider of a new entry must have been set.
    pub fn answer(&mut self, req: &PermitRequest, now: Instant) -> PermitAnswer {
        let Some(entry) = self.entries.get_mut(&req.upstream) else {
            return PermitAnswer::NotDecider;
        };
        if entry.observed.limit.is_none() {
            return PermitAnswer::Unlimited(AgedObservation::new(&entry.observed, now));
        }
        let Permits::Local(bucket) = &mut entry.permits else { return PermitAnswer::NotDecider };
        entry.last_used = now;
        let taken = match req.kind {
            PermitKind::Request => bucket.take(req.priority, now),
            PermitKind::InAdvance => bucket.take_in_advance(now),
        };
        match taken {
            Ok(()) => PermitAnswer::Granted,
            Err(opens_in) => {
                PermitAnswer::Denied { opens_in, spread: bucket.record_denial(req.asker, now) }
            }
        }
    }

    /// Applies the decider's answer to a permit request of this priority. `draw` is a random number
    /// from 0 to 1 that spreads the retries.
    ///
    /// # Errors
    ///
    /// Returns the time until the request may be retried, if it may not be sent.
    pub fn apply_answer(
        &mut self,
        upstream: &str,
        priority: Priority,
        answer: PermitAnswer,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(entry) = self.entries.get_mut(upstream) else { return Ok(()) };
        entry.last_used = now;
        if matches!(entry.permits, Permits::Unreachable(..)) {
            entry.permits = Permits::Remote(BTreeMap::new());
        }
        let (wait, priority) = match answer {
            PermitAnswer::Granted => return Ok(()),
            PermitAnswer::Unlimited(observed) => {
                self.observe(upstream, observed.to_local(now), now);
                return Ok(());
            }
            // A uniform draw from 0 to twice the spread has the spread as its mean.
            PermitAnswer::Denied { opens_in, spread } => {
                // The bucket of a decider keeps to the same bounds.
                let (opens_in, spread) = (opens_in.min(MAX_WAIT), spread.min(MAX_SPREAD));
                (opens_in + spread.mul_f64(2.0 * draw), priority)
            }
            PermitAnswer::NotDecider => (NOT_DECIDER_RETRY, Priority::MAX),
        };
        if let Permits::Remote(denied) = &mut entry.permits {
            denied.retain(|_, until| *until > now);
            denied.insert(priority, now + wait);
        }
        Err(wait)
    }

    /// Records that the decider did not answer; `boxes` boxes divide the fallback rate. Returns the
    /// time until a request may be retried.
    pub fn record_no_answer(&mut self, upstream: &str, boxes: usize, now: Instant) -> Duration {
        let ask_at = now + UNREACHABLE_RETRY;
        if let Some(entry) = self.entries.get_mut(upstream) {
            let limit = entry.observed.limit.map_or(0.0, RateLimit::per_second);
            let rate = limit * FALLBACK_FRACTION / boxes.max(1) as f64;
            match &mut entry.permits {
                Permits::Local(_) => {}
                Permits::Remote(_) => {
                    entry.permits = Permits::Unreachable(Bucket::fallback(rate, now), ask_at);
                }
                Permits::Unreachable(_, at) => *at = ask_at,
            }
        }
        UNREACHABLE_RETRY
    }

    /// Postpones the next permit request to an unreachable decider while one is in flight.
    pub fn record_asking(&mut self, upstream: &str, now: Instant) {
        if let Some(Entry { permits: Permits::Unreachable(_, at), .. }) =
            self.entries.get_mut(upstream)
        {
            *at = now + UNREACHABLE_RETRY;
        }
    }
}
