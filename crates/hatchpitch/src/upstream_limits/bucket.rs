//! The permits of one upstream at the box that gives them out, without I/O.
//!
//! Load patterns answered: an upstream in need that all boxes send to at once, of which each alone
//! would keep to the limit; more requests than permits for as long as the need lasts, urgent ones
//! among them; boxes that come and go, so that another one gives out the permits. A bucket begins
//! empty: one that is made anew, because its box is, never adds to what another one gave out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::Priority;

/// Time whose permits may be saved up: callers come unevenly, and what is not taken within half a
/// second is better lost than sent to an upstream in need all at once.
const SAVED: Duration = Duration::from_millis(500);
/// Permits that may be saved up at the least: one for whoever comes, and one that is kept for
/// somebody more urgent.
const MIN_SAVED: f64 = 2.0;
/// Slowest rate of permits, in requests a second. Only an answer tells that a limit has ended, so
/// an upstream that names 0 still gets a request every 4 s.
const MIN_RATE: f64 = 0.25;
/// Part of the saved permits that is kept for more urgent requests while some of them come.
const KEPT: f64 = 0.5;
/// Time for which urgent requests are expected to go on coming after the last one.
const EXPECTED_FOR: Duration = Duration::from_secs(2);
/// Permits given to others after which less urgent requests take one that is kept: no wait is
/// without end.
const STARVED_AFTER: f64 = 8.0;
/// Time whose permits may be taken in advance for what can't be held back, such as a run that was
/// stopped to be moved: a quarter of the time over which upstreams are expected to count.
const IN_ADVANCE: Duration = Duration::from_secs(1);
/// Time after which boxes that were turned away before are forgotten; half of it at the least.
const CROWD_MEMORY: Duration = Duration::from_secs(2);
/// Questions for each permit that those turned away are to come back with: enough that no permit
/// is left over, few enough that answering them costs little.
const ASKED_A_PERMIT: f64 = 2.0;
/// Longest time over which those turned away come back: callers give up within a few seconds.
const LONGEST_SPREAD: Duration = Duration::from_secs(2);
/// Longest time until a permit that is told.
const LONGEST: Duration = Duration::from_secs(60);
/// Room for the rounding of sums of times.
const EPSILON: f64 = 1e-6;

/// What is known of the requests of one priority.
#[derive(Debug, Clone, Copy)]
struct Class {
    asked: Instant,
    granted: Instant,
}

/// Boxes that were turned away of late, counted in a space that does not grow with them: each has
/// one of 64 places, at two after one another.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    now: u64,
    before: u64,
    since: Instant,
}

impl Crowd {
    fn note(&mut self, asker: u64, at: Instant) {
        let passed = at.saturating_duration_since(self.since);
        if passed >= CROWD_MEMORY / 2 {
            self.before = if passed < CROWD_MEMORY { self.now } else { 0 };
            (self.now, self.since) = (0, at);
        }
        self.now |= 1 << (asker % 64);
    }

    fn count(&self) -> u32 {
        (self.now | self.before).count_ones()
    }
}

/// Permits that fill up with time.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    pub(super) cap: f64,
    pub(super) level: f64,
    at: Instant,
    classes: BTreeMap<Priority, Class>,
    crowd: Crowd,
}

impl Bucket {
    /// Creates an empty bucket that fills at `rate` permits a second.
    pub fn empty(rate: f64, now: Instant) -> Self {
        let rate = rate.max(MIN_RATE);
        let crowd = Crowd { now: 0, before: 0, since: now };
        Self { rate, cap: cap(rate), level: 0.0, at: now, classes: BTreeMap::new(), crowd }
    }

    /// Creates an empty bucket for a part of a limit that this box takes without asking.
    pub fn own_part(rate: f64, now: Instant) -> Self {
        Self { rate, cap: 1.0, ..Self::empty(rate, now) }
    }

    /// Changes the rate; what is saved beyond what the new rate allows is lost.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.advance(now);
        self.rate = rate.max(MIN_RATE);
        self.cap = cap(self.rate);
        self.level = self.level.clamp(-self.most_in_advance(), self.cap);
    }

    /// Returns whether a request would get a permit.
    pub fn admits(&self, priority: Priority, now: Instant) -> bool {
        self.level_at(now) + EPSILON >= self.needed(priority, now)
    }

    /// Notes that a request of this priority wants a permit, so that some are kept for it.
    pub fn record_demand(&mut self, priority: Priority, now: Instant) {
        let class = Class { asked: now, granted: now };
        self.classes.entry(priority).or_insert(class).asked = now;
    }

    /// Takes a permit, or returns when one is there.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit for this priority, if nobody else takes it.
    pub fn take(&mut self, priority: Priority, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        self.record_demand(priority, now);
        if !self.admits(priority, now) {
            return Err(self.opens_in(priority, now));
        }
        self.level -= 1.0;
        if let Some(class) = self.classes.get_mut(&priority) {
            class.granted = now;
        }
        Ok(())
    }

    /// Takes a permit for something that nobody waits for: only while none is missing.
    pub fn take_spare(&mut self, now: Instant) -> bool {
        self.advance(now);
        let is_full = self.level + EPSILON >= self.cap;
        if is_full {
            self.level -= 1.0;
        }
        is_full
    }

    /// Takes a permit for something that can't be held back, if need be in advance.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit, if as many as may be were taken in advance.
    pub fn take_in_advance(&mut self, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        if self.level - 1.0 < -self.most_in_advance() {
            return Err(self.opens_in(Priority::MAX, now));
        }
        self.level -= 1.0;
        Ok(())
    }

    /// Returns the time until there is a permit for this priority, if nobody else takes it.
    pub fn opens_in(&self, priority: Priority, now: Instant) -> Duration {
        let missing = self.needed(priority, now) - self.level_at(now);
        seconds(missing / self.rate)
    }

    /// Notes that a box is turned away; returns the time over which it should ask again, beyond the
    /// time to the next permit. With more boxes it is longer, and all together ask about as often.
    pub fn turn_away(&mut self, asker: u64, now: Instant) -> Duration {
        self.crowd.note(asker, now);
        let others = self.crowd.count().saturating_sub(1);
        seconds(f64::from(others) / (self.rate * ASKED_A_PERMIT)).min(LONGEST_SPREAD)
    }

    /// Returns how far the permits may be taken in advance.
    pub(super) fn most_in_advance(&self) -> f64 {
        (self.rate * IN_ADVANCE.as_secs_f64()).max(1.0)
    }

    fn level_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + passed * self.rate).min(self.cap)
    }

    fn advance(&mut self, now: Instant) {
        self.level = self.level_at(now);
        self.at = self.at.max(now);
    }

    /// Returns what has to be there for a request to get a permit: itself, and what is kept for
    /// more urgent ones.
    fn needed(&self, priority: Priority, now: Instant) -> f64 {
        let expected = |class: &Class| now.saturating_duration_since(class.asked) < EXPECTED_FOR;
        let live = |(other, class): (&Priority, &Class)| expected(class).then_some(*other);
        let live: Vec<Priority> = self.classes.iter().filter_map(live).collect();
        let ahead = live.iter().filter(|other| **other > priority).count();
        if ahead == 0 || self.is_starved(priority, now) {
            return 1.0;
        }
        let behind = live.iter().filter(|other| **other < priority).count();
        1.0 + self.cap * KEPT * ahead as f64 / (ahead + behind) as f64
    }

    fn is_starved(&self, priority: Priority, now: Instant) -> bool {
        let starved_after = STARVED_AFTER / self.rate;
        self.classes.get(&priority).is_some_and(|class| {
            now.saturating_duration_since(class.granted).as_secs_f64() >= starved_after
        })
    }
}

/// Returns a time that is neither negative nor without end.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(LONGEST).min(LONGEST)
}

fn cap(rate: f64) -> f64 {
    (rate * SAVED.as_secs_f64()).max(MIN_SAVED)
}
