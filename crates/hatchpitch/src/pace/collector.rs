//! Collects what a box sees of the pace of engines until it is reported to their owners, without
//! I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::histogram::GapHistogram;
use super::messages::{EngineGaps, FirstToken, PaceReport};
use crate::admission::Pick;
use crate::ids::{AttemptId, PoolName, RunnerName};

/// Entries of each kind in one report, which bounds the size of the message. Further engines wait
/// for the next report; further first tokens are dropped, as the owner learns them again when the
/// slots are released.
pub const MAX_ENTRIES: usize = 64;
/// First tokens kept between two reports, for all owners together.
const MAX_FIRSTS: usize = 1_024;
/// Age up to which gaps are reported again to a new owner.
const KEEP: Duration = Duration::from_secs(4);
/// Time in which the weight of gaps halves, once they are reported or while their owner is not
/// known. Those kept cover about the last [`KEEP`].
const HALF_LIFE: Duration = Duration::from_millis(2_800);

type EngineKey = (PoolName, RunnerName);

/// Gaps of one engine.
#[derive(Debug, Default)]
struct Observed {
    /// Gaps since the last report.
    new: GapHistogram,
    /// Gaps that were reported to `owner` less than about [`KEEP`] ago.
    reported: GapHistogram,
    owner: Option<SocketAddr>,
    last: Option<Instant>,
    /// Time of the oldest gap that is not reported.
    waiting_since: Option<Instant>,
    /// Time up to which the weights have decayed.
    decayed: Option<Instant>,
}

/// What a box has seen of engines and not reported yet.
#[derive(Debug)]
pub struct Collector {
    /// Whether placement uses reports; if not, nothing is recorded.
    is_enabled: bool,
    engines: BTreeMap<EngineKey, Observed>,
    firsts: Vec<FirstToken>,
}

impl Collector {
    /// Creates an empty collector. It records nothing unless `pick` places by reports.
    pub fn new(pick: Pick) -> Self {
        let is_enabled = pick == Pick::Objective;
        Self { is_enabled, engines: BTreeMap::new(), firsts: Vec::new() }
    }

    /// Returns whether anything is recorded.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns the number of engines and of first tokens that are kept.
    pub fn kept(&self) -> (usize, usize) {
        (self.engines.len(), self.firsts.len())
    }

    /// Records the gap between two events of a stream.
    pub fn record_gap(&mut self, pool: &str, runner: &str, gap: Duration, now: Instant) {
        if !self.is_enabled {
            return;
        }
        let key = (pool.to_owned(), runner.to_owned());
        let observed = self.engines.entry(key).or_default();
        observed.new.record(gap);
        observed.last = Some(now);
        observed.waiting_since.get_or_insert(now);
    }

    /// Records the time from the grant of a slot to the first token of its run.
    pub fn record_first(&mut self, pool: &str, runner: &str, id: &AttemptId, took: Duration) {
        if !self.is_enabled || self.firsts.len() >= MAX_FIRSTS {
            return;
        }
        let (pool, runner, id) = (pool.to_owned(), runner.to_owned(), id.clone());
        self.firsts.push(FirstToken { pool, runner, id, took });
    }

    /// Takes the reports that are due, by owner. An engine whose owner is not known keeps its gaps
    /// until it is; their weight then decays like that of reported ones.
    pub fn take(
        &mut self,
        owner_of: impl Fn(&str) -> Option<SocketAddr>,
        now: Instant,
    ) -> BTreeMap<SocketAddr, PaceReport> {
        self.take_due(owner_of, |_| true, now)
    }

    /// Takes the reports that are due to owners for which `is_due` returns true. Those to other
    /// owners are kept.
    pub fn take_due(
        &mut self,
        owner_of: impl Fn(&str) -> Option<SocketAddr>,
        is_due: impl Fn(&SocketAddr) -> bool,
        now: Instant,
    ) -> BTreeMap<SocketAddr, PaceReport> {
        let mut reports: BTreeMap<SocketAddr, PaceReport> = BTreeMap::new();
        let is_recent = |last: Instant| now.saturating_duration_since(last) < KEEP;
        self.engines.retain(|_, observed| observed.last.is_some_and(is_recent));
        let mut due: Vec<(&EngineKey, &mut Observed, SocketAddr)> = Vec::new();
        for (key, observed) in &mut self.engines {
            let factor = observed.decay_factor(now);
            observed.reported.decay(factor);
            match owner_of(&key.1) {
                Some(owner) if observed.is_due(owner) && is_due(&owner) => {
                    due.push((key, observed, owner))
                }
                Some(_) => {}
                None => observed.new.decay(factor),
            }
        }
        // An engine that found no place in the last report is in the next one.
        due.sort_by(|(a, x, _), (b, y, _)| (x.waiting_since, a).cmp(&(y.waiting_since, b)));
        for ((pool, runner), observed, owner) in due {
            let report = reports.entry(owner).or_default();
            if report.engines.len() < MAX_ENTRIES {
                let (pool, runner, gaps) = (pool.clone(), runner.clone(), observed.take(owner));
                report.engines.push(EngineGaps { pool, runner, gaps });
            }
        }
        for first in std::mem::take(&mut self.firsts) {
            match owner_of(&first.runner) {
                Some(owner) if is_due(&owner) => {
                    let report = reports.entry(owner).or_default();
                    if report.firsts.len() < MAX_ENTRIES {
                        report.firsts.push(first);
                    }
                }
                Some(_) => self.firsts.push(first),
                None => {}
            }
        }
        reports
    }
}

impl Observed {
    /// Returns the factor by which weights decay since the last call.
    fn decay_factor(&mut self, now: Instant) -> f64 {
        let elapsed = self.decayed.replace(now).map(|at| now.saturating_duration_since(at));
        (-elapsed.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn is_new_owner(&self, owner: SocketAddr) -> bool {
        self.owner.is_some_and(|known| known != owner)
    }

    /// Returns whether there are gaps to be reported to `owner`.
    fn is_due(&self, owner: SocketAddr) -> bool {
        !self.new.is_empty() || (self.is_new_owner(owner) && !self.reported.is_empty())
    }

    /// Takes the gaps to be reported to `owner`: the new ones, and the recent ones as well if it
    /// was not the owner before.
    fn take(&mut self, owner: SocketAddr) -> GapHistogram {
        let is_new_owner = self.is_new_owner(owner);
        self.owner = Some(owner);
        self.waiting_since = None;
        let new = std::mem::take(&mut self.new);
        self.reported.merge(&new);
        if is_new_owner { self.reported.clone() } else { new }
    }
}
