//! Detects engines that become slow or recover, and summarizes the pace of the engines that a box
//! owns, without I/O.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::state::PaceView;
use crate::ids::{PoolName, RunnerName};
use crate::routing::RunnerTable;

/// Risk of a typical stream from which on an engine counts as slow.
const SLOW_RISK: f64 = 0.5;
/// Risk below which a slow engine counts as recovered. A risk that varies around [`SLOW_RISK`]
/// changes nothing.
const RECOVERED_RISK: f64 = 0.4;
/// Shortest time between two changes of one engine.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Pace of a runner and the risk of a typical stream there, if they are known.
pub type RunnerPace = (RunnerName, Option<(PaceView, f64)>);

/// Returns the pace of each runner of a table.
pub fn paces(table: &RunnerTable, now: Instant) -> Vec<RunnerPace> {
    let rows = table.overview(now).into_iter();
    rows.map(|(name, ..)| (name.clone(), table.pace(&name, now))).collect()
}

/// A change of the state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceChange {
    /// A typical stream probably pauses for too long there.
    Slowed,
    /// It probably does not any more.
    Recovered,
}

#[derive(Debug, Clone, Copy)]
struct EngineState {
    is_slow: bool,
    changed: Option<Instant>,
}

/// Engines of a box and whether they are slow.
#[derive(Debug, Default)]
pub struct RiskWatch {
    engines: HashMap<(PoolName, RunnerName), EngineState>,
}

impl RiskWatch {
    /// Records the risk of a typical stream on an engine, and returns whether its state changed.
    pub fn observe(
        &mut self,
        pool: &str,
        runner: &str,
        risk: f64,
        now: Instant,
    ) -> Option<PaceChange> {
        let key = (pool.to_owned(), runner.to_owned());
        let engine =
            self.engines.entry(key).or_insert(EngineState { is_slow: false, changed: None });
        let is_slow = if engine.is_slow { risk >= RECOVERED_RISK } else { risk >= SLOW_RISK };
        let waits =
            engine.changed.is_some_and(|at| now.saturating_duration_since(at) < MIN_INTERVAL);
        if is_slow == engine.is_slow || waits {
            return None;
        }
        *engine = EngineState { is_slow, changed: Some(now) };
        Some(if is_slow { PaceChange::Slowed } else { PaceChange::Recovered })
    }

    /// Forgets the engines of a pool for which `is_kept` returns false.
    pub fn retain(&mut self, pool: &str, is_kept: impl Fn(&str) -> bool) {
        self.engines.retain(|(of, runner), _| of != pool || is_kept(runner));
    }

    /// Returns the number of engines that are kept.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether no engine is kept.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// Pace of the engines that a box owns.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSummary {
    /// Number of engines whose pace is known.
    pub known: u64,
    /// Number of engines whose pace is not known.
    pub unknown: u64,
    /// Lowest and highest mean gap; zero while no engine is known.
    pub mean_gaps: (Duration, Duration),
    /// Number of engines on which a typical stream probably pauses for too long.
    pub at_risk: u64,
}

impl PaceSummary {
    /// Adds the engines of one pool.
    pub fn add(&mut self, paces: &[RunnerPace]) {
        for (_, pace) in paces {
            let Some((view, risk)) = pace else {
                self.unknown += 1;
                continue;
            };
            let (lowest, highest) = self.mean_gaps;
            let lowest = if self.known == 0 { view.mean_gap } else { lowest.min(view.mean_gap) };
            self.mean_gaps = (lowest, highest.max(view.mean_gap));
            self.known += 1;
            self.at_risk += u64::from(*risk >= SLOW_RISK);
        }
    }

    /// Returns the share of all engines that are at risk.
    pub fn share_at_risk(&self) -> f64 {
        self.at_risk as f64 / (self.known + self.unknown).max(1) as f64
    }
}
