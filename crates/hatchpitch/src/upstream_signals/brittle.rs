//! Upstreams that fail if they have to reject too many requests, without I/O.
//!
//! An overloaded upstream announces how many rejections a second it bears from all boxes together.
//! While it does, its requests are admitted by one box, which knows how many are running, and which
//! admits less after each rejection. The announcement expires, because its end is not announced.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::RunnerName;

/// Time after its last announcement for which an upstream counts as brittle. Requests are rare
/// where it is hardest pressed, and only their responses carry the announcement.
pub const BRITTLE_TTL: Duration = Duration::from_secs(10);
/// Time after the end of an announcement for which owners go on placing requests. The upstream has
/// no more room than before, and boxes that place by their own counts would overfill it.
const OWNER_PLACEMENT_TTL: Duration = Duration::from_secs(60);
/// Extension of an announcement from which on other boxes are notified again.
const NOTICE_INTERVAL: Duration = Duration::from_secs(3);
/// Fraction of the rejections that boxes use up. The upstream counts them over other seconds, and
/// some requests reach it that no box admitted, such as health checks.
const USED_FRACTION: f64 = 0.5;

/// Time after a rejection for which no more requests at once are tried: rejections used up by
/// trials are missing when the upstream really has less room.
const GROWTH_PAUSE: Duration = Duration::from_secs(2);

/// Number of rejections a second that an upstream bears.
pub type MaxRejections = u32;

/// Tells another box that an upstream is brittle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNotice {
    /// The upstream.
    pub upstream: RunnerName,
    /// Rejections a second that it bears from all boxes together.
    pub max_rejections: MaxRejections,
    /// Remaining validity. Forwarding a notice does not extend it.
    pub left: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Brittle {
    max_rejections: MaxRejections,
    until: Instant,
    /// Value of `until` when other boxes were last notified.
    noticed_until: Instant,
}

/// Brittle upstreams, by the names of their lives.
#[derive(Debug, Clone, Default)]
pub struct BrittleUpstreams {
    upstreams: BTreeMap<RunnerName, Brittle>,
    /// Until when only owners place requests on an upstream that is or was brittle.
    owner_placement: BTreeMap<RunnerName, Instant>,
    revision: u64,
}

impl BrittleUpstreams {
    /// Records an announcement that is valid for `ttl`; returns whether other boxes should be
    /// notified.
    pub fn record(
        &mut self,
        upstream: &str,
        max_rejections: MaxRejections,
        ttl: Duration,
        now: Instant,
    ) -> bool {
        self.expire(now);
        let until = now + ttl.min(BRITTLE_TTL);
        if until <= now {
            return false;
        }
        let places_until = until + OWNER_PLACEMENT_TTL;
        match self.owner_placement.get_mut(upstream) {
            Some(known) => *known = places_until.max(*known),
            None => {
                self.owner_placement.insert(upstream.to_owned(), places_until);
            }
        }
        let Some(known) = self.upstreams.get_mut(upstream) else {
            let brittle = Brittle { max_rejections, until, noticed_until: until };
            self.upstreams.insert(upstream.to_owned(), brittle);
            self.revision += 1;
            return true;
        };
        if until <= known.until {
            return false;
        }
        let is_changed = known.max_rejections != max_rejections;
        known.max_rejections = max_rejections;
        known.until = until;
        let notifies = is_changed || until >= known.noticed_until + NOTICE_INTERVAL;
        if notifies {
            known.noticed_until = until;
        }
        notifies
    }

    /// Returns the number of rejections a second that an upstream bears, if it is brittle.
    pub fn max_rejections(&self, upstream: &str, now: Instant) -> Option<MaxRejections> {
        self.announcement(upstream, now).map(|(max_rejections, _)| max_rejections)
    }

    /// Returns the number of rejections a second that an upstream bears and the remaining validity
    /// of its announcement, if it is brittle.
    pub fn announcement(&self, upstream: &str, now: Instant) -> Option<(MaxRejections, Duration)> {
        let brittle = self.upstreams.get(upstream).filter(|brittle| now < brittle.until)?;
        Some((brittle.max_rejections, brittle.until.saturating_duration_since(now)))
    }

    /// Returns whether only its owner places requests on an upstream, because it is brittle or
    /// recently was.
    pub fn is_placed_by_owner(&self, upstream: &str, now: Instant) -> bool {
        self.owner_placement.get(upstream).is_some_and(|until| now < *until)
    }

    /// Returns whether no upstream is brittle or recently was.
    pub fn places_none_by_owner(&self) -> bool {
        self.owner_placement.is_empty()
    }

    /// Returns whether no upstream is brittle.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns a number that changes when an upstream becomes brittle or is no longer so.
    pub fn revision(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.revision
    }

    /// Returns the notices that tell another box about all brittle upstreams.
    pub fn notices(&self, now: Instant) -> Vec<BrittleNotice> {
        let brittle = self.upstreams.iter().filter(|(_, brittle)| now < brittle.until);
        let notice = |(upstream, brittle): (&RunnerName, &Brittle)| BrittleNotice {
            upstream: upstream.clone(),
            max_rejections: brittle.max_rejections,
            left: brittle.until.saturating_duration_since(now),
        };
        brittle.map(notice).collect()
    }

    fn expire(&mut self, now: Instant) {
        let before = self.upstreams.len() + self.owner_placement.len();
        self.upstreams.retain(|_, brittle| now < brittle.until);
        self.owner_placement.retain(|_, until| now < *until);
        if self.upstreams.len() + self.owner_placement.len() < before {
            self.revision += 1;
        }
    }
}

/// Limits the requests that one box admits to a brittle upstream: no more at once than it has
/// accepted, and none for a while after rejections.
#[derive(Debug, Clone, Default)]
pub struct RejectionGuard {
    /// Requests at once that the upstream is known to accept; `None` before the first rejection.
    room: Option<f64>,
    /// Rejections that may still follow, and when that was; `None` before the first rejection.
    budget: Option<(f64, Instant)>,
}

impl RejectionGuard {
    /// Creates a guard for an upstream that may be running requests which another box admitted.
    pub fn cautious(now: Instant) -> Self {
        Self { room: Some(1.0), budget: Some((0.0, now)) }
    }

    /// Returns whether a request may be sent while `running` others are. `share` is the fraction of
    /// the rejections that this box may cause.
    pub fn admits(
        &self,
        running: u64,
        max_rejections: MaxRejections,
        share: f64,
        now: Instant,
    ) -> bool {
        let has_room = self.room.is_none_or(|room| running as f64 + 1.0 <= room);
        has_room && self.budget(rate(max_rejections, share), now) >= 1.0
    }

    /// Records that the upstream rejected a request while `running` others were running.
    pub fn record_rejection(
        &mut self,
        running: u64,
        max_rejections: MaxRejections,
        share: f64,
        now: Instant,
    ) {
        let room = self.room.unwrap_or(f64::INFINITY).min(running as f64);
        self.room = Some(room.max(1.0));
        self.budget = Some((self.budget(rate(max_rejections, share), now) - 1.0, now));
    }

    /// Records that the upstream ran a request. The room grows by one for as many successes.
    pub fn record_success(&mut self, now: Instant) {
        let may_grow = self.budget.is_none_or(|(_, at)| now >= at + GROWTH_PAUSE);
        if let Some(room) = self.room.as_mut().filter(|_| may_grow) {
            *room += 1.0 / *room;
        }
    }

    /// Returns the rejections that may follow now.
    fn budget(&self, rate: f64, now: Instant) -> f64 {
        let capacity = rate.max(1.0);
        let Some((level, at)) = self.budget else { return capacity };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (level + passed * rate).min(capacity)
    }
}

/// Returns the rejections a second that a box with this share may cause.
fn rate(max_rejections: MaxRejections, share: f64) -> f64 {
    f64::from(max_rejections) * share * USED_FRACTION
}
