//! Estimates of how long requests run, by kind, without I/O.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::ids::RequestKind;

/// Number of kinds from which on no further ones are followed.
const MAX_KINDS: usize = 4_096;
/// Weight of the past in the mean, as a number of runs.
const MEAN_RUNS: u32 = 8;

/// Identifies a run that is in progress.
type RunId = u64;

/// Runs of one kind.
#[derive(Debug, Default)]
pub(super) struct KindRuns {
    /// Smoothed mean of the run times; `None` before the first run has succeeded.
    mean: Option<Duration>,
    /// Runs in progress, by time of their start.
    pub(super) running: BTreeSet<(Instant, RunId)>,
}

impl KindRuns {
    fn record(&mut self, took: Duration) {
        let mean = self.mean.map_or(took, |mean| (mean * (MEAN_RUNS - 1) + took) / MEAN_RUNS);
        self.mean = Some(mean);
    }

    /// Returns how long half of the runs in progress have run at least.
    fn median_age(&self, now: Instant) -> Option<Duration> {
        let (started, _) = self.running.iter().nth(self.running.len().checked_sub(1)? / 2)?;
        Some(now.saturating_duration_since(*started))
    }

    fn estimate(&self, now: Instant) -> Duration {
        // Runs in progress show that runs have become longer before any of them ends.
        self.mean.max(self.median_age(now)).unwrap_or_default()
    }
}

/// Run times of requests, by kind.
#[derive(Debug, Default)]
pub struct RunEstimates {
    pub(super) kinds: BTreeMap<RequestKind, KindRuns>,
    next_id: RunId,
}

impl RunEstimates {
    /// Returns how long a request that starts now is expected to run; zero if nothing is known of
    /// its kind.
    pub fn estimate(&self, kind: &str, now: Instant) -> Duration {
        self.kinds.get(kind).map_or(Duration::ZERO, |runs| runs.estimate(now))
    }

    fn start(&mut self, kind: &str, now: Instant) -> RunId {
        self.next_id += 1;
        if !self.kinds.contains_key(kind) && self.kinds.len() < MAX_KINDS {
            self.kinds.insert(kind.to_owned(), KindRuns::default());
        }
        if let Some(runs) = self.kinds.get_mut(kind) {
            runs.running.insert((now, self.next_id));
        }
        self.next_id
    }

    fn end(&mut self, kind: &str, started: Instant, id: RunId, took: Option<Duration>) {
        let Some(runs) = self.kinds.get_mut(kind) else { return };
        runs.running.remove(&(started, id));
        if let Some(took) = took {
            runs.record(took);
        }
    }
}

/// Counts a run as in progress until it is dropped.
#[derive(Debug)]
pub struct RunTimer {
    estimates: Rc<RefCell<RunEstimates>>,
    kind: RequestKind,
    started: Instant,
    id: RunId,
    took: Option<Duration>,
}

impl RunTimer {
    /// Starts a run of a kind.
    pub fn start(estimates: &Rc<RefCell<RunEstimates>>, kind: &str, now: Instant) -> Self {
        let id = estimates.borrow_mut().start(kind, now);
        let (estimates, kind) = (estimates.clone(), kind.to_owned());
        Self { estimates, kind, started: now, id, took: None }
    }

    /// Records that the run succeeded, so that its time counts in the estimate.
    pub fn succeed(&mut self, now: Instant) {
        self.took = Some(now.saturating_duration_since(self.started));
    }
}

impl Drop for RunTimer {
    fn drop(&mut self) {
        self.estimates.borrow_mut().end(&self.kind, self.started, self.id, self.took);
    }
}
