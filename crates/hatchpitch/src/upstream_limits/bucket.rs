//! Token bucket with the permits of one upstream at its decider, without I/O.
//!
//! It handles these load patterns: many boxes that each stay below the limit but together exceed
//! it; more requests than permits, with urgent ones among them, for as long as the upstream is
//! overloaded; and boxes that join and leave, so that the decider changes. A new bucket starts
//! empty, so that a new decider never adds to the permits that the previous one granted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::Priority;

/// Capacity of the bucket, as time at its rate. Arrivals are uneven, but permits that are unused
/// for 500 ms are dropped rather than sent to an overloaded upstream as a burst.
const BURST: Duration = Duration::from_millis(500);
/// Smallest capacity, in permits: one for any request, and one reserved for a more urgent request.
const MIN_CAPACITY: f64 = 2.0;
/// Minimum rate, in permits a second. Only a response reports the end of a limit, so an upstream
/// with a limit of 0 still gets a request every 4 s.
const MIN_RATE: f64 = 0.25;
/// Fraction of the capacity that is reserved for more urgent requests while some of them arrive.
const RESERVED_FRACTION: f64 = 0.5;
/// Time after its last request for which a priority counts as active.
const DEMAND_TTL: Duration = Duration::from_secs(2);
/// Time without a permit, counted in permits at the current rate, after which a less urgent
/// priority may use reserved permits, so that no priority starves.
const STARVED_AFTER: f64 = 8.0;
/// Maximum debt of the bucket, as time at its rate, for requests that cannot be delayed, such as a
/// run that was stopped to be moved. It is a quarter of the window over which upstreams are
/// expected to count requests.
const MAX_DEBT: Duration = Duration::from_secs(1);
/// Window over which denied boxes are counted. A box is dropped after half of it to all of it.
const DENIED_WINDOW: Duration = Duration::from_secs(2);
/// Target number of retried permit requests for each permit: enough to use every permit, few enough
/// to keep the load on the decider low.
const RETRIES_PER_PERMIT: f64 = 2.0;
/// Maximum spread of the retries. Callers give up within a few seconds.
pub(super) const MAX_SPREAD: Duration = Duration::from_secs(2);
/// Maximum reported time until a permit is available.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(60);
/// Tolerance for rounding errors in the level.
const EPSILON: f64 = 1e-6;

/// Times of the last request and the last granted permit of one priority.
#[derive(Debug, Clone, Copy)]
struct Demand {
    requested_at: Instant,
    granted_at: Instant,
}

/// Approximate set of the boxes that were denied a permit recently, in constant space: each box
/// maps to one of 64 bits, and two bitmaps cover successive half windows.
#[derive(Debug, Clone, Copy)]
struct DeniedBoxes {
    current: u64,
    previous: u64,
    since: Instant,
}

impl DeniedBoxes {
    fn insert(&mut self, asker: u64, at: Instant) {
        let passed = at.saturating_duration_since(self.since);
        if passed >= DENIED_WINDOW / 2 {
            self.previous = if passed < DENIED_WINDOW { self.current } else { 0 };
            (self.current, self.since) = (0, at);
        }
        self.current |= 1 << (asker % 64);
    }

    fn count(&self) -> u32 {
        (self.current | self.previous).count_ones()
    }
}

/// Token bucket of permits, with reservations for urgent priorities.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    pub(super) capacity: f64,
    pub(super) level: f64,
    updated_at: Instant,
    demands: BTreeMap<Priority, Demand>,
    denied: DeniedBoxes,
}

impl Bucket {
    /// Creates an empty bucket that fills at `rate` permits a second.
    pub fn empty(rate: f64, now: Instant) -> Self {
        let rate = rate.max(MIN_RATE);
        let denied = DeniedBoxes { current: 0, previous: 0, since: now };
        Self {
            rate,
            capacity: capacity(rate),
            level: 0.0,
            updated_at: now,
            demands: BTreeMap::new(),
            denied,
        }
    }

    /// Creates an empty bucket with a capacity of one permit, for the fallback rate of a box that
    /// cannot reach the decider.
    pub fn fallback(rate: f64, now: Instant) -> Self {
        Self { rate, capacity: 1.0, ..Self::empty(rate, now) }
    }

    /// Changes the rate, and limits the level to the new capacity and debt.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.advance(now);
        self.rate = rate.max(MIN_RATE);
        self.capacity = capacity(self.rate);
        self.level = self.level.clamp(-self.max_debt(), self.capacity);
    }

    /// Returns whether a request would get a permit.
    pub fn admits(&self, priority: Priority, now: Instant) -> bool {
        self.level_at(now) + EPSILON >= self.needed(priority, now)
    }

    /// Records that a request of this priority needs a permit, so that some are reserved for it.
    pub fn record_demand(&mut self, priority: Priority, now: Instant) {
        let demand = Demand { requested_at: now, granted_at: now };
        self.demands.entry(priority).or_insert(demand).requested_at = now;
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit is available for this priority, unless another request takes
    /// it.
    pub fn take(&mut self, priority: Priority, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        self.record_demand(priority, now);
        if !self.admits(priority, now) {
            return Err(self.opens_in(priority, now));
        }
        self.level -= 1.0;
        if let Some(demand) = self.demands.get_mut(&priority) {
            demand.granted_at = now;
        }
        Ok(())
    }

    /// Takes a permit for background traffic, only while the bucket is full.
    pub fn take_spare(&mut self, now: Instant) -> bool {
        self.advance(now);
        let is_full = self.level + EPSILON >= self.capacity;
        if is_full {
            self.level -= 1.0;
        }
        is_full
    }

    /// Takes a permit for something that cannot be delayed, in advance if necessary.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit if the debt is at its maximum.
    pub fn take_in_advance(&mut self, now: Instant) -> Result<(), Duration> {
        self.advance(now);
        if self.level - 1.0 < -self.max_debt() {
            return Err(self.opens_in(Priority::MAX, now));
        }
        self.level -= 1.0;
        Ok(())
    }

    /// Returns the time until a permit is available for this priority, unless another request takes
    /// it.
    pub fn opens_in(&self, priority: Priority, now: Instant) -> Duration {
        let missing = self.needed(priority, now) - self.level_at(now);
        seconds(missing / self.rate)
    }

    /// Records that a box was denied a permit; returns the time, beyond that to the next permit,
    /// over which its retry should be spread. It grows with the number of denied boxes, so that the
    /// total rate of retries stays about constant.
    pub fn record_denial(&mut self, asker: u64, now: Instant) -> Duration {
        self.denied.insert(asker, now);
        let others = self.denied.count().saturating_sub(1);
        seconds(f64::from(others) / (self.rate * RETRIES_PER_PERMIT)).min(MAX_SPREAD)
    }

    /// Returns how many permits may be taken in advance.
    pub(super) fn max_debt(&self) -> f64 {
        (self.rate * MAX_DEBT.as_secs_f64()).max(1.0)
    }

    fn level_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.level + passed * self.rate).min(self.capacity)
    }

    fn advance(&mut self, now: Instant) {
        self.level = self.level_at(now);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the level that a request needs to get a permit: one, plus the permits reserved for
    /// more urgent priorities.
    fn needed(&self, priority: Priority, now: Instant) -> f64 {
        let is_active =
            |demand: &Demand| now.saturating_duration_since(demand.requested_at) < DEMAND_TTL;
        let active = |(other, demand): (&Priority, &Demand)| is_active(demand).then_some(*other);
        let active: Vec<Priority> = self.demands.iter().filter_map(active).collect();
        let ahead = active.iter().filter(|other| **other > priority).count();
        if ahead == 0 || self.is_starved(priority, now) {
            return 1.0;
        }
        let behind = active.iter().filter(|other| **other < priority).count();
        1.0 + self.capacity * RESERVED_FRACTION * ahead as f64 / (ahead + behind) as f64
    }

    fn is_starved(&self, priority: Priority, now: Instant) -> bool {
        let starved_after = STARVED_AFTER / self.rate;
        self.demands.get(&priority).is_some_and(|demand| {
            now.saturating_duration_since(demand.granted_at).as_secs_f64() >= starved_after
        })
    }
}

/// Converts seconds to a duration from zero to [`MAX_WAIT`].
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_WAIT).min(MAX_WAIT)
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(MIN_CAPACITY)
}
