//! The limits that one box knows, and what it may send by them, without I/O.
//!
//! For each upstream one box gives out the permits: the one that decides for it among the boxes that
//! serve. It knows what all boxes sent, so a share follows whoever needs it and none lies idle.
//! While it does not answer, each of the others sends at a small rate of its own; while boxes are
//! lost, which may go on sending where they are, the permits are fewer by their part.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use super::messages::{AgedObservation, PermitAnswer, PermitKind, PermitRequest};
use super::observation::{LimitObservation, RateLimit};
use crate::ids::{Priority, RunnerName};

/// Part of a limit that all boxes together take without permits while its decider is silent to
/// them: little beside what it may give out meanwhile, so that both together stay near the limit.
const UNASKED_PART: f64 = 0.25;
/// Time between two questions to a decider that does not answer: another box decides within
/// about 3 s, and each question holds up a request for as long as its answer is awaited.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Time after which a box that does not decide yet, or any more, is asked again: news of boxes
/// reach all others within a few of these.
const OTHER_DECIDER: Duration = Duration::from_millis(100);
/// Time after which a decider is told again what answers say: it may have begun anew meanwhile. All
/// boxes together get no more answers than the limit allows, so it is told no more often.
const TELL_AGAIN: Duration = Duration::from_secs(1);
/// Time for which it is told that a limit has ended.
const TELL_ENDS_FOR: Duration = Duration::from_secs(10);
/// Time for which a limit is remembered of which nothing more is heard.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Part by which a limit has to change to be news for all boxes: the decider gets every value with
/// the questions for permits, and the others only need to know that there is one.
const NEWS_CHANGE: f64 = 0.25;

/// The book that all tasks and decisions of one box share.
pub type SharedLimits = Rc<RefCell<LimitTable>>;

/// What something that was heard changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The limit of before.
    pub from: Option<RateLimit>,
    /// The limit from now on.
    pub to: Option<RateLimit>,
}

impl Change {
    /// Returns whether all boxes should know of it. Of an end they hear with their next request.
    pub fn is_news(&self) -> bool {
        let per_second = RateLimit::per_second;
        match (self.from.map(per_second), self.to.map(per_second)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(from), Some(to)) => (from - to).abs() > from * NEWS_CHANGE,
        }
    }
}

/// The box that gives out the permits of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decider {
    /// Where other boxes reach it.
    pub addr: SocketAddr,
    /// Whether it is this box.
    pub is_own: bool,
    /// Part of the limit that it may give out, from 0 to 1.
    pub part: f64,
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquired {
    /// The upstream names no limit.
    Free,
    /// A permit was taken.
    Granted,
    /// Another box has to be asked for one.
    Ask,
    /// There is none for so long.
    Denied(Duration),
}

#[derive(Debug, Clone)]
pub(super) enum Permits {
    /// This box gives them out.
    Here(Bucket),
    /// Another box does; it gives none to requests up to these priorities until then.
    Elsewhere(BTreeMap<Priority, Instant>),
    /// The box that does is silent; it is asked again at this time.
    Silent(Bucket, Instant),
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) heard: LimitObservation,
    decider: Option<Decider>,
    pub(super) permits: Permits,
    /// When something was heard of the limit last.
    used: Instant,
    /// When it changed last.
    changed: Instant,
    /// When the decider of now was last told what this box heard.
    told: Option<Instant>,
}

impl Entry {
    fn rate(&self) -> Option<f64> {
        let part = self.decider.map_or(1.0, |decider| decider.part);
        self.heard.limit.map(|limit| limit.per_second() * part)
    }

    fn closed_until(closed: &BTreeMap<Priority, Instant>, priority: Priority) -> Option<Instant> {
        closed.range(priority..).map(|(_, until)| *until).max()
    }
}

/// The limits of upstreams, by the names of their lives.
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    pub(super) entries: BTreeMap<RunnerName, Entry>,
    /// How many of them name a limit now.
    pub(super) limited: usize,
}

impl LimitTable {
    /// Takes in what was heard of an upstream; returns what that changes. Who decides for one that
    /// is new has to be told by [`LimitTable::set_decider`].
    pub fn hear(
        &mut self,
        upstream: &str,
        heard: LimitObservation,
        now: Instant,
    ) -> Option<Change> {
        let change = self.take_in(upstream, heard, now)?;
        self.limited = self.entries.values().filter(|e| e.heard.limit.is_some()).count();
        Some(change)
    }

    fn take_in(&mut self, upstream: &str, heard: LimitObservation, now: Instant) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(upstream) else {
            heard.limit?;
            self.entries.retain(|_, entry| now.duration_since(entry.used) < FORGET_AFTER);
            let permits = Permits::Elsewhere(BTreeMap::new());
            let entry =
                Entry { heard, decider: None, permits, used: now, changed: now, told: None };
            self.entries.insert(upstream.to_owned(), entry);
            return Some(Change { from: None, to: heard.limit });
        };
        entry.used = now;
        if !heard.supersedes(&entry.heard) {
            return None;
        }
        let from = std::mem::replace(&mut entry.heard, heard).limit;
        if from == heard.limit {
            return None;
        }
        (entry.changed, entry.told) = (now, None);
        let rate = entry.rate();
        match (&mut entry.permits, rate) {
            (Permits::Here(bucket), Some(rate)) if from.is_none() => {
                *bucket = Bucket::empty(rate, now);
            }
            (Permits::Here(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (Permits::Elsewhere(closed), _) => closed.clear(),
            (Permits::Silent(..), _) => entry.permits = Permits::Elsewhere(BTreeMap::new()),
            (Permits::Here(_), None) => {}
        }
        Some(Change { from, to: heard.limit })
    }

    /// Returns what is known of an upstream's limit.
    pub fn heard(&self, upstream: &str) -> Option<&LimitObservation> {
        self.entries.get(upstream).map(|entry| &entry.heard)
    }

    /// Returns the limit that an upstream names now.
    pub fn limit(&self, upstream: &str) -> Option<RateLimit> {
        self.heard(upstream)?.limit
    }

    /// Returns the upstreams of which something was heard.
    pub fn upstreams(&self) -> Vec<RunnerName> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the upstreams that name a limit now and whose permits a box gives out.
    pub fn decided_by(&self, addr: SocketAddr) -> Vec<RunnerName> {
        let by = |entry: &Entry| entry.decider.is_some_and(|decider| decider.addr == addr);
        let decided = self.entries.iter().filter(|(_, e)| e.heard.limit.is_some() && by(e));
        decided.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns how many upstreams name a limit now.
    pub fn limited(&self) -> usize {
        self.limited
    }

    /// Notes which box gives out the permits of an upstream, and how many.
    pub fn set_decider(&mut self, upstream: &str, decider: Decider, now: Instant) {
        let Some(entry) = self.entries.get_mut(upstream) else { return };
        let former = entry.decider.replace(decider);
        if former.is_none_or(|former| former.addr != decider.addr) {
            entry.told = None;
        }
        let rate = entry.rate().unwrap_or_default();
        match &mut entry.permits {
            Permits::Here(bucket) if decider.is_own => {
                if former.is_none_or(|former| former.part != decider.part) {
                    bucket.set_rate(rate, now);
                }
            }
            _ if decider.is_own => entry.permits = Permits::Here(Bucket::empty(rate, now)),
            Permits::Here(_) => entry.permits = Permits::Elsewhere(BTreeMap::new()),
            _ if former.is_some_and(|former| former.addr == decider.addr) => {}
            _ => entry.permits = Permits::Elsewhere(BTreeMap::new()),
        }
    }

    /// Returns the decider if it is to be told now what this box heard in an answer. The owner of an
    /// engine is not asked for permits by name, so this is how it learns of a limit and of its end.
    pub fn tells(&mut self, upstream: &str, now: Instant) -> Option<SocketAddr> {
        let entry = self.entries.get_mut(upstream)?;
        let decider = entry.decider.filter(|decider| !decider.is_own)?;
        let is_settled =
            entry.heard.limit.is_none() && now.duration_since(entry.changed) >= TELL_ENDS_FOR;
        let is_due = entry.told.is_none_or(|told| now.duration_since(told) >= TELL_AGAIN);
        if is_settled || !is_due {
            return None;
        }
        entry.told = Some(now);
        Some(decider.addr)
    }

    /// Returns where permits of an upstream are to be asked for, if it has to be asked at all.
    pub fn asks_at(&self, upstream: &str, now: Instant) -> Option<SocketAddr> {
        let entry = self.entries.get(upstream)?;
        entry.heard.limit?;
        let asks = match &entry.permits {
            Permits::Here(_) => false,
            Permits::Elsewhere(_) => true,
            Permits::Silent(_, ask_at) => now >= *ask_at,
        };
        entry.decider.filter(|_| asks).map(|decider| decider.addr)
    }

    /// Returns whether a request may be sent to an upstream, as far as this box knows.
    pub fn admits(&self, upstream: &str, priority: Priority, now: Instant) -> bool {
        let Some(entry) = self.entries.get(upstream) else { return true };
        if entry.heard.limit.is_none() {
            return true;
        }
        match &entry.permits {
            Permits::Here(bucket) => bucket.admits(priority, now),
            Permits::Elsewhere(closed) => {
                Entry::closed_until(closed, priority).is_none_or(|until| now >= until)
            }
            Permits::Silent(part, ask_at) => now >= *ask_at || part.admits(priority, now),
        }
    }

    /// Returns the time until a request may be sent to an upstream, as far as this box knows.
    pub fn opens_in(&self, upstream: &str, priority: Priority, now: Instant) -> Duration {
        let Some(entry) = self.entries.get(upstream) else { return Duration::ZERO };
        if entry.heard.limit.is_none() {
            return Duration::ZERO;
        }
        let until = |at: Instant| at.saturating_duration_since(now);
        match &entry.permits {
            Permits::Here(bucket) => bucket.opens_in(priority, now),
            Permits::Elsewhere(closed) => {
                Entry::closed_until(closed, priority).map_or(Duration::ZERO, until)
            }
            Permits::Silent(part, ask_at) => part.opens_in(priority, now).min(until(*ask_at)),
        }
    }

    /// Notes that a request of this priority wants to be sent to an upstream.
    pub fn record_demand(&mut self, upstream: &str, priority: Priority, now: Instant) {
        if let Some(Entry { permits: Permits::Here(bucket), .. }) = self.entries.get_mut(upstream) {
            bucket.record_demand(priority, now);
        }
    }

    /// Takes the permit for one request.
    pub fn take(&mut self, upstream: &str, priority: Priority, now: Instant) -> Acquired {
        let Some(entry) = self.entries.get_mut(upstream) else { return Acquired::Free };
        if entry.heard.limit.is_none() {
            return Acquired::Free;
        }
        let taken = match &mut entry.permits {
            Permits::Here(bucket) => bucket.take(priority, now),
            Permits::Elsewhere(closed) => {
                return match Entry::closed_until(closed, priority) {
                    Some(until) if now < until => Acquired::Denied(until - now),
                    _ => Acquired::Ask,
                };
            }
            Permits::Silent(_, ask_at) if now >= *ask_at => return Acquired::Ask,
            Permits::Silent(part, _) => part.take(priority, now),
        };
        taken.map_or_else(Acquired::Denied, |()| Acquired::Granted)
    }

    /// Takes a permit for something that nobody waits for.
    pub fn take_spare(&mut self, upstream: &str, now: Instant) -> bool {
        match self.entries.get_mut(upstream) {
            Some(Entry { heard: LimitObservation { limit: Some(_), .. }, permits, .. }) => {
                match permits {
                    Permits::Here(bucket) => bucket.take_spare(now),
                    Permits::Elsewhere(_) | Permits::Silent(..) => false,
                }
            }
            _ => true,
        }
    }

    /// Takes a permit for something that can't be held back, if this box gives them out.
    pub fn take_in_advance(&mut self, upstream: &str, now: Instant) -> Acquired {
        match self.entries.get_mut(upstream) {
            Some(Entry { heard: LimitObservation { limit: Some(_), .. }, permits, .. }) => {
                match permits {
                    Permits::Here(bucket) => bucket
                        .take_in_advance(now)
                        .map_or_else(Acquired::Denied, |()| Acquired::Granted),
                    Permits::Elsewhere(_) => Acquired::Ask,
                    Permits::Silent(_, ask_at) if now >= *ask_at => Acquired::Ask,
                    Permits::Silent(part, _) => Acquired::Denied(part.opens_in(Priority::MAX, now)),
                }
            }
            _ => Acquired::Free,
        }
    }

    /// Answers another box that asks for a permit. Who decides for an upstream that was not known
    /// before has to be told first.
    pub fn answer(&mut self, req: &PermitRequest, now: Instant) -> PermitAnswer {
        let Some(entry) = self.entries.get_mut(&req.upstream) else {
            return PermitAnswer::NotDecider;
        };
        if entry.heard.limit.is_none() {
            return PermitAnswer::Unlimited(AgedObservation::new(&entry.heard, now));
        }
        let Permits::Here(bucket) = &mut entry.permits else { return PermitAnswer::NotDecider };
        entry.used = now;
        let taken = match req.kind {
            PermitKind::Request => bucket.take(req.priority, now),
            PermitKind::InAdvance => bucket.take_in_advance(now),
        };
        match taken {
            Ok(()) => PermitAnswer::Granted,
            Err(opens_in) => {
                PermitAnswer::Denied { opens_in, spread: bucket.turn_away(req.asker, now) }
            }
        }
    }

    /// Takes in the decider's answer to a request of this priority; `draw`, from 0 to 1, spreads
    /// those that ask again.
    ///
    /// # Errors
    ///
    /// Returns when the request may come back, if it may not be sent.
    pub fn answered(
        &mut self,
        upstream: &str,
        priority: Priority,
        answer: PermitAnswer,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(entry) = self.entries.get_mut(upstream) else { return Ok(()) };
        entry.used = now;
        if matches!(entry.permits, Permits::Silent(..)) {
            entry.permits = Permits::Elsewhere(BTreeMap::new());
        }
        let (wait, priority) = match answer {
            PermitAnswer::Granted => return Ok(()),
            PermitAnswer::Unlimited(heard) => {
                self.hear(upstream, heard.at(now), now);
                return Ok(());
            }
            // Twice the spread at the most is the spread in the mean.
            PermitAnswer::Denied { opens_in, spread } => {
                (opens_in + spread.mul_f64(2.0 * draw), priority)
            }
            PermitAnswer::NotDecider => (OTHER_DECIDER, Priority::MAX),
        };
        if let Permits::Elsewhere(closed) = &mut entry.permits {
            closed.retain(|_, until| *until > now);
            closed.insert(priority, now + wait);
        }
        Err(wait)
    }

    /// Notes that the decider did not answer; `boxes` share what is sent without its permits.
    /// Returns when a request may come back.
    pub fn unanswered(&mut self, upstream: &str, boxes: usize, now: Instant) -> Duration {
        let ask_at = now + ASK_AGAIN;
        if let Some(entry) = self.entries.get_mut(upstream) {
            let limit = entry.heard.limit.map_or(0.0, RateLimit::per_second);
            let rate = limit * UNASKED_PART / boxes.max(1) as f64;
            match &mut entry.permits {
                Permits::Here(_) => {}
                Permits::Elsewhere(_) => {
                    entry.permits = Permits::Silent(Bucket::own_part(rate, now), ask_at);
                }
                Permits::Silent(_, at) => *at = ask_at,
            }
        }
        ASK_AGAIN
    }

    /// Puts off the next question to a decider that was silent, while one is under way.
    pub fn asking(&mut self, upstream: &str, now: Instant) {
        if let Some(Entry { permits: Permits::Silent(_, at), .. }) = self.entries.get_mut(upstream)
        {
            *at = now + ASK_AGAIN;
        }
    }
}
