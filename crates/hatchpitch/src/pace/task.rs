//! Reports the pace of engines to their owners, and applies such reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Stop, clock};

use super::messages::PaceReport;
use super::watch::{PaceChange, PaceSummary, RiskWatch, paces};
use crate::entry::EntryCx;
use crate::metrics::Count;
use crate::routing::RunnerTable;

/// Path of pace reports.
pub const PACE_PATH: &str = "/box/pace";
/// Interval between reports: a few events of a stream, and a tenth of the time in which a new
/// engine fills.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time per entry of a report. An entry takes about 100 bytes with its share of the
/// message, so that reports take less than 2 KB a second, a tenth of what all control traffic of a
/// box may take.
const ENTRY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest interval between reports, so that owners learn of a new engine soon. Boxes with more
/// than 25 engines to report send more than 2 KB a second.
const MAX_INTERVAL: Duration = Duration::from_millis(1_500);
/// First tokens in a report to another box. The owner learns the others when the slots are
/// released.
const MAX_SENT_FIRSTS: usize = 4;
/// Timeout of a report. A later one replaces it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends reports until `stop` is set. Does nothing unless placement uses them.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    if !cx.pace.borrow().is_enabled() {
        return;
    }
    let mut watch = RiskWatch::default();
    let mut next_remote = clock::now();
    while !stop.is_set() {
        compio::time::sleep(REPORT_INTERVAL).await;
        cx.sync_gates();
        let (now, own_addr) = (clock::now(), cx.settings.boxes_addr);
        let is_remote_due = now >= next_remote;
        let is_due = |owner: &SocketAddr| is_remote_due || *owner == own_addr;
        let owner_of = |runner: &str| cx.owner_addr(runner);
        let mut reports = cx.pace.borrow_mut().take_due(owner_of, is_due, now);
        if let Some(report) = reports.remove(&own_addr) {
            apply(&cx, &report);
        }
        reports.values_mut().for_each(|report| report.firsts.truncate(MAX_SENT_FIRSTS));
        if is_remote_due {
            next_remote = now + next_interval(reports.values().map(PaceReport::len).sum());
        }
        for (owner, report) in reports {
            let cx = cx.clone();
            compio::runtime::spawn(async move {
                cx.metrics.count(Count::PaceReportsSent, "");
                let call = cx.boxes.call::<_, ()>(owner, PACE_PATH, &report, REPORT_TIMEOUT);
                if let Err(err) = call.await {
                    cx.metrics.count(Count::PaceReportsFailed, "");
                    log::debug!("report of the pace of engines: {err}");
                }
            })
            .detach();
        }
        log_changes(&cx, &mut watch, clock::now());
    }
}

/// Returns the time after which the next reports are sent, given the number of entries in the last
/// ones.
pub fn next_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    ENTRY_INTERVAL.saturating_mul(entries).clamp(REPORT_INTERVAL, MAX_INTERVAL)
}

/// Applies a report to the engines that this box owns, and counts the entries that concern others.
pub fn apply(cx: &EntryCx, report: &PaceReport) {
    let now = clock::now();
    // Without the setting, reports of boxes that have it change nothing.
    let gates = if cx.pace.borrow().is_enabled() { cx.gates() } else { Vec::new() };
    let mut dropped = report.len();
    for pool in report.pools() {
        // No gate is created for a pool that only the report names.
        let Some((_, gate)) = gates.iter().find(|(name, _)| name == pool) else { continue };
        dropped -= gate.update(|table| apply_to_table(table, pool, report, now));
    }
    cx.metrics.count_many(Count::PaceEntriesDropped, "", dropped as u64);
}

/// Applies the entries of one pool to its table, and returns the number of those that concern its
/// runners.
pub fn apply_to_table(
    table: &mut RunnerTable,
    pool: &str,
    report: &PaceReport,
    now: Instant,
) -> usize {
    let mut applied = 0;
    for engine in report.engines.iter().filter(|engine| engine.pool == pool) {
        applied += usize::from(table.observe_gaps(&engine.runner, &engine.gaps, now));
    }
    for first in report.firsts.iter().filter(|first| first.pool == pool) {
        applied += usize::from(table.contains(&first.runner));
        table.record_first_token(&first.runner, &first.id, first.took);
    }
    applied
}

impl PaceReport {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.engines.len() + self.firsts.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the pools that the report concerns.
    fn pools(&self) -> BTreeSet<&str> {
        let engines = self.engines.iter().map(|engine| engine.pool.as_str());
        engines.chain(self.firsts.iter().map(|first| first.pool.as_str())).collect()
    }
}

/// Logs the engines of this box that became slow or recovered.
fn log_changes(cx: &EntryCx, watch: &mut RiskWatch, now: Instant) {
    for (pool, gate) in cx.gates() {
        let paces = gate.inspect(|table| paces(table, now));
        for (name, pace) in &paces {
            let Some((view, risk)) = pace else { continue };
            let message = match watch.observe(&pool, name, *risk, now) {
                Some(PaceChange::Slowed) => "an engine became slow",
                Some(PaceChange::Recovered) => "an engine recovered",
                None => continue,
            };
            log::info!(
                upstream = name.as_str(), pool = pool.as_str(),
                risk_percent = (risk * 100.0).round() as u64,
                mean_gap_ms = view.mean_gap.as_millis(), gaps = view.gaps.round() as u64,
                age_ms = view.age.as_millis();
                "{message}"
            );
        }
        watch.retain(&pool, |runner| paces.iter().any(|(name, _)| name == runner));
    }
}

/// Updates the gauges of the pace of the engines that this box owns, if placement uses it.
pub fn update_gauges(cx: &EntryCx) {
    if !cx.pace.borrow().is_enabled() {
        return;
    }
    let (mut summary, now) = (PaceSummary::default(), clock::now());
    for (_, gate) in cx.gates() {
        summary.add(&gate.inspect(|table| paces(table, now)));
    }
    cx.metrics.pace(&summary);
}
