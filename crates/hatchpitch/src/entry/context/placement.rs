//! Which box admits requests to an upstream, and which share of what all boxes may send is its own.

use std::time::Duration;

use hatchpitch_net::clock;
use twox_hash::XxHash64;

use super::EntryCx;
use crate::admission::Placement;
use crate::config::hosted::EngineSpec;
use crate::config::view::PoolView;
use crate::membership::Subject;

/// Time for which a lost box is assumed to be partitioned away and still sending. A box that was
/// killed is back far sooner; the share of limits of a box that is gone for good stays unused for
/// this long.
const MAX_PARTITION_TIME: Duration = Duration::from_secs(60);
/// Time after its start within which a box discovers the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Number of boxes assumed during [`DISCOVERY_TIME`]. After a failure of the whole fleet all boxes
/// start together, and each knows only a few of the others.
const ASSUMED_BOXES_AT_START: usize = 64;

impl EntryCx {
    /// Returns whether this box admits requests to an engine of a pool.
    pub fn owns(&self, pool: &PoolView, runner: &str) -> bool {
        let is_local = self.placement(pool) == Placement::Local;
        is_local || self.owners.borrow().owns(runner)
    }

    /// Returns whether each box admits requests to the engines of a pool or only their owners, as
    /// they do while one of the engines is brittle and for a while after.
    pub fn placement(&self, pool: &PoolView) -> Placement {
        if self.has_brittle_runner(pool) {
            return Placement::Owner;
        }
        pool.hosted.map_or(self.settings.policy.placement, |hosted| hosted.placement)
    }

    /// Returns whether an engine of a pool is brittle or recently was.
    pub fn is_brittle(&self, pool: &str) -> bool {
        let view = self.view.borrow();
        let pool = view.pools.iter().find(|p| p.pool.name == pool);
        pool.is_some_and(|pool| self.has_brittle_runner(pool))
    }

    fn has_brittle_runner(&self, pool: &PoolView) -> bool {
        let (brittle, now) = (self.brittle.borrow(), clock::now());
        let by_owner = |name: &str| brittle.is_placed_by_owner(name, now);
        !brittle.places_none_by_owner() && pool.runners.iter().any(|r| by_owner(&r.name))
    }

    /// Returns the capacity and features of the engines of a service, if it has engines.
    pub fn engine(&self, service: &str) -> Option<EngineSpec> {
        self.config.view().hosted_services.get(service)?.engine.clone()
    }

    /// Returns the number of output tokens that one event of a stream of a service holds.
    pub fn event_tokens(&self, service: &str) -> u64 {
        self.engine(service).map_or(1, |engine| engine.tokens_per_event)
    }

    /// Returns how many boxes may be sending to an upstream, each by its own decision. Counts all
    /// boxes in the membership, also unreachable ones, as they may go on sending.
    pub(super) fn sender_count(&self) -> usize {
        let membership = self.membership.borrow();
        let boxes = membership.records().filter(|r| matches!(r.subject, Subject::Box(_))).count();
        let min_senders =
            if clock::since(self.started) < DISCOVERY_TIME { ASSUMED_BOXES_AT_START } else { 1 };
        boxes.max(min_senders)
    }

    /// Returns the share of an upstream's limit that the reachable boxes may use, from 0 to 1.
    /// Boxes lost recently keep their share, as they may be partitioned away together with some
    /// callers and upstreams.
    pub fn reachable_share(&self) -> f64 {
        let membership = self.membership.borrow();
        let serving = membership.serving_boxes().count().max(1);
        let lost = membership.lost_boxes(clock::now(), MAX_PARTITION_TIME);
        // All boxes may have started at the same time and not have discovered each other yet.
        let is_new = serving == 1 && clock::since(self.started) < DISCOVERY_TIME;
        let total = if is_new { ASSUMED_BOXES_AT_START } else { serving + lost };
        serving as f64 / total as f64
    }

    /// Returns the offset of this box's turn at a cold runner within the period that all boxes
    /// share, from 0 to 1. It is a hash of both names, so that the turns of the boxes are spread
    /// out.
    pub(super) fn turn_phase(&self, runner: &str) -> f64 {
        let key = [self.settings.name.as_bytes(), runner.as_bytes()].concat();
        XxHash64::oneshot(0, &key) as f64 / u64::MAX as f64
    }

    /// Returns the share of the rejections of a brittle upstream that a gate over the engines of
    /// this box may cause.
    pub(super) fn rejection_share(&self, placement: Placement) -> f64 {
        match placement {
            Placement::Owner => self.reachable_share(),
            Placement::Local => 1.0 / self.sender_count() as f64,
        }
    }
}
