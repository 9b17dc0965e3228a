//! Collects what a box sees of the pace of engines until it is reported to their owners, without
//! I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::histogram::GapHistogram;
use super::messages::{EngineGaps, FirstToken, PaceReport};
use crate::ids::{AttemptId, PoolName, RunnerName};

/// Entries of each kind in one report, which bounds the size of the message. What exceeds it is
/// dropped: the streams of one box rarely run on more engines of one owner.
const MAX_ENTRIES: usize = 64;
/// Age up to which gaps are reported again to a new owner.
const KEEP: Duration = Duration::from_secs(4);

/// Gaps of one engine.
#[derive(Debug, Default)]
struct Observed {
    /// Gaps since the last report.
    new: GapHistogram,
    /// Gaps that were reported to `owner` less than about [`KEEP`] ago.
    reported: GapHistogram,
    owner: Option<SocketAddr>,
    last: Option<Instant>,
}

/// What a box has seen of engines and not reported yet.
#[derive(Debug, Default)]
pub struct Collector {
    engines: BTreeMap<(PoolName, RunnerName), Observed>,
    firsts: Vec<FirstToken>,
}

impl Collector {
    /// Records the gap between two events of a stream.
    pub fn record_gap(&mut self, pool: &str, runner: &str, gap: Duration, now: Instant) {
        let key = (pool.to_owned(), runner.to_owned());
        let observed = self.engines.entry(key).or_default();
        observed.new.record(gap);
        observed.last = Some(now);
    }

    /// Records the time from the grant of a slot to the first token of its run.
    pub fn record_first(&mut self, pool: &str, runner: &str, id: &AttemptId, took: Duration) {
        let (pool, runner, id) = (pool.to_owned(), runner.to_owned(), id.clone());
        self.firsts.push(FirstToken { pool, runner, id, took });
    }

    /// Takes the reports that are due, by owner. An engine whose owner is not known keeps its gaps
    /// until it is.
    pub fn take(
        &mut self,
        owner_of: impl Fn(&str) -> Option<SocketAddr>,
        now: Instant,
    ) -> BTreeMap<SocketAddr, PaceReport> {
        let mut reports: BTreeMap<SocketAddr, PaceReport> = BTreeMap::new();
        let is_recent = |last: Instant| now.saturating_duration_since(last) < KEEP;
        self.engines.retain(|_, observed| observed.last.is_some_and(is_recent));
        for ((pool, runner), observed) in &mut self.engines {
            let Some(owner) = owner_of(runner) else { continue };
            let Some(gaps) = observed.take(owner) else { continue };
            let report = reports.entry(owner).or_default();
            if report.engines.len() < MAX_ENTRIES {
                let (pool, runner) = (pool.clone(), runner.clone());
                report.engines.push(EngineGaps { pool, runner, gaps });
            }
        }
        for first in self.firsts.drain(..) {
            let Some(owner) = owner_of(&first.runner) else { continue };
            let report = reports.entry(owner).or_default();
            if report.firsts.len() < MAX_ENTRIES {
                report.firsts.push(first);
            }
        }
        reports
    }
}

impl Observed {
    /// Takes the gaps to be reported to `owner`: the new ones, and the recent ones as well if it
    /// was not the owner before.
    fn take(&mut self, owner: SocketAddr) -> Option<GapHistogram> {
        let is_new_owner = self.owner.replace(owner).is_some_and(|known| known != owner);
        let new = std::mem::take(&mut self.new);
        if new.is_empty() && !is_new_owner {
            return None;
        }
        self.reported.decay(REPORT_DECAY);
        self.reported.merge(&new);
        let gaps = if is_new_owner { self.reported.clone() } else { new };
        (!gaps.is_empty()).then_some(gaps)
    }
}

/// Factor by which reported gaps lose weight with each report. At four reports a second, those kept
/// cover about the last [`KEEP`].
const REPORT_DECAY: f64 = 0.94;
