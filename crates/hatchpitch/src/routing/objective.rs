//! Placement by the longest pause that streams may have, without I/O.
//!
//! Answers the load of a pool whose engines differ in speed: a long stream on a slow engine is
//! almost certain to pause for too long, while a short one is served there as well. A stream is
//! placed by its risk on each engine and by the risk that it adds to the streams that run there,
//! and requests that keep no pause leave the better engines to those that do.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{AttemptId, RunnerName};
use crate::pace::state::{PoolPace, any_of};

/// Load penalty of an engine on which a stream is certain to pause for too long. It exceeds the
/// highest load of an engine with room (1 for slots, 1 for memory, 0.8 for prompts to prefill), so
/// that any other engine with room is preferred: a stream that pauses for too long is worth little
/// to its caller.
const MISS_PENALTY: f64 = 3.0;
/// Load above which a stream looks for a better engine at more owners. No engine without risk has
/// such a load.
pub const HIGH_LOAD: f64 = MISS_PENALTY;
/// Load penalty of the best engine beside one on which streams are certain to pause for too long,
/// for a request that does not have to keep a pause. Half a second of prompts that wait to be
/// prefilled outweighs it, so that such requests do not become late on slow engines.
const YIELD_PENALTY: f64 = 0.5;
/// Expected events below which a stream is treated as one that keeps no pause: its risk is small
/// on any engine.
const MIN_EVENTS: f64 = 8.0;
/// Generations that are assumed to join an engine while a stream runs there. A stream runs for many
/// seconds, in which an engine that is picked for its short batch fills up.
const JOINING: u64 = 3;
/// Risk from which on engines count as different. Below it, the estimates of equal engines differ by
/// chance.
const MIN_RISK: f64 = 0.2;
/// Smoothing factor of the objective that stands for the streams of the pool; covers about the last
/// twenty.
const SMOOTHING: f64 = 0.05;

/// Longest pause that a stream may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseObjective {
    /// Longest time between two events.
    pub max_gap: Duration,
    /// Expected number of events that are still to come.
    pub events: f64,
}

/// Streams with an objective on the engines of one pool, and the pace of these engines.
#[derive(Debug, Clone, Default)]
pub(super) struct PausePlacement {
    pub(super) pace: PoolPace,
    pub(super) streams: BTreeMap<RunnerName, BTreeMap<AttemptId, PauseObjective>>,
    /// Smoothed objective of the streams placed last, while any of them runs.
    typical: Option<PauseObjective>,
}

/// Risks on the engines that a request may get, for its placement.
pub(super) struct RiskView<'a> {
    placement: &'a PausePlacement,
    objective: Option<PauseObjective>,
    /// Highest risk of a typical stream on an engine that the request may get.
    worst: f64,
    now: Instant,
}

impl PausePlacement {
    /// Records that a stream starts on an engine.
    pub(super) fn start(&mut self, runner: &str, id: &AttemptId, objective: PauseObjective) {
        if objective.events < MIN_EVENTS {
            return;
        }
        self.streams.entry(runner.to_owned()).or_default().insert(id.clone(), objective);
        let typical = self.typical.get_or_insert(objective);
        typical.events += (objective.events - typical.events) * SMOOTHING;
        let (old, new) = (typical.max_gap.as_secs_f64(), objective.max_gap.as_secs_f64());
        typical.max_gap = Duration::from_secs_f64(old + (new - old) * SMOOTHING);
    }

    /// Records that a run has ended or has left an engine.
    pub(super) fn end(&mut self, runner: &str, id: &str) {
        if let Some(streams) = self.streams.get_mut(runner) {
            streams.remove(id);
            if streams.is_empty() {
                self.streams.remove(runner);
            }
        }
        if self.streams.is_empty() {
            self.typical = None;
        }
    }

    /// Returns whether a typical stream is at risk on any engine that is known.
    pub(super) fn any_risk(&self) -> bool {
        let Some(PauseObjective { max_gap, events }) = self.typical else { return false };
        self.pace.highest_risk(max_gap, events) >= MIN_RISK
    }

    /// Forgets the engines for which `is_kept` returns false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.pace.retain(&is_kept);
        self.streams.retain(|name, _| is_kept(name));
    }

    /// Returns the risk by which an engine is left to requests that keep no pause. It is 1 for an
    /// engine of which nothing is known, so that such requests show how fast it is.
    fn yielded_risk(&self, runner: &str, running: u64, now: Instant) -> f64 {
        if self.pace.is_unknown(runner) { 1.0 } else { self.typical_risk(runner, running, now) }
    }

    /// Returns the risk that a typical stream pauses for too long on an engine, or 0 if there has
    /// been no stream.
    pub(super) fn typical_risk(&self, runner: &str, running: u64, now: Instant) -> f64 {
        let Some(PauseObjective { max_gap, events }) = self.typical else { return 0.0 };
        self.pace.miss_risk(runner, max_gap, events, running, now)
    }

    /// Returns the risks for a request that may get one of `engines`, each given with its number of
    /// running generations.
    pub(super) fn view<'a>(
        &'a self,
        objective: Option<PauseObjective>,
        engines: impl Iterator<Item = (&'a str, u64)>,
        now: Instant,
    ) -> RiskView<'a> {
        let objective = objective.filter(|objective| objective.events >= MIN_EVENTS);
        let worst = match objective {
            Some(_) => 0.0,
            None => engines
                .map(|(name, running)| self.typical_risk(name, running + 1, now))
                .fold(0.0, f64::max),
        };
        RiskView { placement: self, objective, worst, now }
    }

    /// Returns by how much one more generation raises the expected number of streams of an engine
    /// that pause for too long.
    fn added_misses(&self, runner: &str, running: u64, now: Instant) -> f64 {
        let Some(streams) = self.streams.get(runner) else { return 0.0 };
        let mut risks: Option<(Duration, f64, f64)> = None;
        let mut added = 0.0;
        for PauseObjective { max_gap, events } in streams.values() {
            // Almost all streams of a pool have the same limit.
            let (_, before, after) = match risks.filter(|(limit, ..)| limit == max_gap) {
                Some(known) => known,
                None => {
                    let risk = |running| self.pace.gap_risk(runner, *max_gap, running, now);
                    *risks.insert((*max_gap, risk(running), risk(running + 1)))
                }
            };
            added += any_of(after, *events) - any_of(before, *events);
        }
        added.max(0.0)
    }
}

impl RiskView<'_> {
    /// Returns the load penalty of an engine on which `running` generations run.
    pub(super) fn penalty(&self, runner: &str, running: u64) -> f64 {
        let Self { placement, now, .. } = *self;
        let added = placement.added_misses(runner, running, now);
        let own = match self.objective {
            Some(PauseObjective { max_gap, events }) => {
                let risk =
                    placement.pace.miss_risk(runner, max_gap, events, running + JOINING, now);
                MISS_PENALTY * risk
            }
            None => {
                let risk = placement.yielded_risk(runner, running + 1, now);
                YIELD_PENALTY * (self.worst - risk).max(0.0)
            }
        };
        own + MISS_PENALTY * added
    }
}
