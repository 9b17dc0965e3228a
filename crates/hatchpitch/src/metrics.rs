//! Counters, gauges and latency histograms, exported in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::memory::Usage;
use hatchpitch_net::{BoxClient, Holder, Traffic};
use hdrhistogram::Histogram;

use crate::evacuation::Evacuations;
use crate::ids::{PoolName, Priority};
use crate::pace::watch::PaceSummary;
use crate::quarantine::QuarantineList;

/// Latencies recorded per pool and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timing {
    /// From the arrival of the request to the first token.
    FirstToken,
    /// Between consecutive tokens of one answer.
    TokenGap,
    /// A gap between tokens longer than [`STALL_THRESHOLD`].
    Stall,
    /// Time spent waiting for admission.
    Wait,
    /// Between consecutive events of one stream on one engine, by the pool of the engine.
    PaceGap,
    /// From the last event of a generation before it is moved to its first one after.
    MovePause,
}

/// Events that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    /// Requests received.
    Requests,
    /// Requests refused as not run.
    Refused,
    /// Requests whose outcome is unknown.
    Unknown,
    /// Answers completed.
    Done,
    /// Answers that ended with their connection, so that it stays open whether they were complete.
    OpenEnded,
    /// Generations preempted by an engine.
    Preemptions,
    /// Reconnections to engines.
    Relinks,
    /// Generations restarted on another engine before their first token.
    Reruns,
    /// Late, duplicate or out-of-order messages that were dropped.
    DroppedMessages,
    /// Callers that disconnected before the end of the answer.
    CallerLeft,
    /// Callers that were cut off because they read too slowly.
    CallerSlow,
    /// Malformed messages and requests.
    BadInput,
    /// Requests with an unknown key.
    UnknownKey,
    /// Observed upstream crashes.
    Crashes,
    /// Requests refused because requests with the same content crash upstreams.
    Quarantined,
    /// Requests of this box that another box sent to their upstream.
    SentByPeer,
    /// Requests that this box sent to their upstream for another box.
    SentForPeer,
    /// Pieces of evidence that established connections to an upstream carry nothing.
    SilentLinks,
    /// Requests abandoned on such connections, to be sent again through another box.
    AbandonedSends,
    /// Reports of the pace of engines sent to other boxes.
    PaceReportsSent,
    /// Those of them that were not answered in time, or refused.
    PaceReportsFailed,
    /// Entries of received reports that concern no engine of this box.
    PaceEntriesDropped,
    /// Requests that a queue of this box refused on arrival.
    QueueRefusedOnArrival,
    /// Queued requests that were refused because they could no longer start in time.
    QueueRefusedUntimely,
    /// Queued requests that were refused after their whole wait.
    QueueRefusedAfterWait,
}

/// Gap between tokens above which a stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Upper bound of the histograms, in microseconds: one hour. Longer times are recorded as this.
const MAX_MICROS: u64 = 3_600_000_000;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

type TimingKey = (Timing, PoolName, Priority);

#[derive(Default)]
struct Inner {
    timings: BTreeMap<TimingKey, Histogram<u64>>,
    counts: BTreeMap<(Count, PoolName), u64>,
    gauges: BTreeMap<&'static str, f64>,
    /// Traffic with other boxes, by path.
    traffic: BTreeMap<String, Traffic>,
    /// Usage of the memory budget, by holder.
    memory: BTreeMap<Holder, Usage>,
}

/// Metrics of one process; clones share the same values.
#[derive(Clone, Default)]
pub struct Metrics(Rc<RefCell<Inner>>);

impl Metrics {
    /// Records a latency.
    ///
    /// # Panics
    ///
    /// Never: the histogram bounds are constants that the library accepts.
    pub fn time(&self, timing: Timing, pool: &str, priority: Priority, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS);
        let mut inner = self.0.borrow_mut();
        let new_histogram =
            || Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("constant bounds");
        let key = (timing, pool.to_owned(), priority);
        inner.timings.entry(key).or_insert_with(new_histogram).saturating_record(micros);
    }

    /// Increments a counter; `pool` may be empty.
    pub fn count(&self, count: Count, pool: &str) {
        self.count_many(count, pool, 1);
    }

    /// Adds `n` to a counter; `pool` may be empty.
    pub fn count_many(&self, count: Count, pool: &str, n: u64) {
        *self.0.borrow_mut().counts.entry((count, pool.to_owned())).or_default() += n;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: f64) {
        self.0.borrow_mut().gauges.insert(name, value);
    }

    /// Updates the gauges for traffic with other boxes, messages queued for them, and resident
    /// memory of the process.
    pub fn process(&self, boxes: &BoxClient) {
        let (traffic, waiting) = (boxes.traffic(), boxes.backlog().waiting());
        let sum = |of: fn(&Traffic) -> u64| traffic.values().map(of).sum::<u64>() as f64;
        self.gauge("hatchpitch_box_calls", sum(|traffic| traffic.calls));
        self.gauge("hatchpitch_box_body_bytes", sum(|traffic| traffic.body_bytes));
        self.gauge("hatchpitch_memory_budget_bytes", boxes.memory().limit() as f64);
        self.gauge("hatchpitch_memory_limit_bytes", boxes.memory().process_limit() as f64);
        let mut inner = self.0.borrow_mut();
        inner.traffic = traffic;
        inner.memory = boxes.memory().usage();
        drop(inner);
        self.gauge("hatchpitch_box_messages_waiting", waiting.messages as f64);
        self.gauge("hatchpitch_box_bytes_waiting", waiting.bytes as f64);
        self.gauge("hatchpitch_box_bytes_waiting_peak", waiting.peak_bytes as f64);
        if let Some(bytes) = resident_bytes() {
            self.gauge("hatchpitch_resident_bytes", bytes as f64);
        }
    }

    /// Updates the gauges of the list of held requests.
    pub fn quarantine(&self, list: &QuarantineList) {
        self.gauge("hatchpitch_held_requests", list.held.len() as f64);
        self.gauge("hatchpitch_quarantine_revision", list.revision as f64);
    }

    /// Updates the gauges of the evacuations in force.
    pub fn evacuations(&self, evacuations: &Evacuations) {
        self.gauge("hatchpitch_evacuated_domains", evacuations.domains().count() as f64);
        self.gauge("hatchpitch_evacuations_revision", evacuations.revision() as f64);
    }

    /// Updates the gauges of the pace of the engines that this box owns.
    pub fn pace(&self, summary: &PaceSummary) {
        let (lowest, highest) = summary.mean_gaps;
        self.gauge("hatchpitch_pace_engines_known", summary.known as f64);
        self.gauge("hatchpitch_pace_engines_unknown", summary.unknown as f64);
        self.gauge("hatchpitch_pace_lowest_mean_gap_seconds", lowest.as_secs_f64());
        self.gauge("hatchpitch_pace_highest_mean_gap_seconds", highest.as_secs_f64());
        self.gauge("hatchpitch_pace_share_at_risk", summary.share_at_risk());
    }

    /// Returns the sum of a counter over all pools.
    pub fn total(&self, count: Count) -> u64 {
        self.0.borrow().counts.iter().filter(|((c, _), _)| *c == count).map(|(_, n)| n).sum()
    }

    /// Renders all metrics in the Prometheus text format. Gauges come first because they describe
    /// the whole process and a reader may truncate the text.
    pub fn render(&self) -> String {
        let inner = self.0.borrow();
        let mut out = String::new();
        for (name, value) in &inner.gauges {
            let _ = writeln!(out, "# TYPE {name} gauge\n{name} {value}");
        }
        for (path, traffic) in &inner.traffic {
            let label = format!("path=\"{path}\"");
            let _ = writeln!(out, "hatchpitch_box_path_calls{{{label}}} {}", traffic.calls);
            let bytes = traffic.body_bytes;
            let _ = writeln!(out, "hatchpitch_box_path_body_bytes{{{label}}} {bytes}");
        }
        for (holder, usage) in &inner.memory {
            let label = format!("holder=\"{}\"", holder.as_str());
            let _ = writeln!(out, "hatchpitch_memory_bytes{{{label}}} {}", usage.bytes);
            let _ = writeln!(out, "hatchpitch_memory_peak_bytes{{{label}}} {}", usage.peak_bytes);
            let _ = writeln!(out, "hatchpitch_memory_refused_total{{{label}}} {}", usage.refused);
            let _ = writeln!(out, "hatchpitch_memory_revoked_total{{{label}}} {}", usage.revoked);
        }
        let mut previous = "";
        for ((timing, pool, priority), histogram) in &inner.timings {
            let name = timing_metric(*timing);
            if name != previous {
                let _ = writeln!(out, "# TYPE {name} summary");
                previous = name;
            }
            let labels = format!("pool=\"{pool}\",priority=\"{priority}\"");
            for quantile in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                let _ = writeln!(out, "{name}{{{labels},quantile=\"{quantile}\"}} {seconds}");
            }
            let _ = writeln!(out, "{name}_count{{{labels}}} {}", histogram.len());
            let sum = histogram.mean() * histogram.len() as f64 / 1e6;
            let _ = writeln!(out, "{name}_sum{{{labels}}} {sum}");
        }
        for ((count, pool), value) in &inner.counts {
            let name = count_metric(*count);
            if name != previous {
                let _ = writeln!(out, "# TYPE {name} counter");
                previous = name;
            }
            let _ = writeln!(out, "{name}{{pool=\"{pool}\"}} {value}");
        }
        out
    }
}

/// Returns the resident set size of this process in bytes, or `None` if the system does not
/// report it.
pub fn resident_bytes() -> Option<usize> {
    let pages = std::fs::read_to_string("/proc/self/statm").ok()?;
    let resident: usize = pages.split_whitespace().nth(1)?.parse().ok()?;
    Some(resident * rustix::param::page_size())
}

fn timing_metric(timing: Timing) -> &'static str {
    match timing {
        Timing::FirstToken => "hatchpitch_first_token_seconds",
        Timing::TokenGap => "hatchpitch_token_gap_seconds",
        Timing::Stall => "hatchpitch_stall_seconds",
        Timing::Wait => "hatchpitch_admission_wait_seconds",
        Timing::PaceGap => "hatchpitch_pace_gap_seconds",
        Timing::MovePause => "hatchpitch_move_pause_seconds",
    }
}

fn count_metric(count: Count) -> &'static str {
    match count {
        Count::Requests => "hatchpitch_requests_total",
        Count::Refused => "hatchpitch_refused_total",
        Count::Unknown => "hatchpitch_unknown_total",
        Count::Done => "hatchpitch_done_total",
        Count::OpenEnded => "hatchpitch_open_ended_total",
        Count::Preemptions => "hatchpitch_preemptions_total",
        Count::Relinks => "hatchpitch_relinks_total",
        Count::Reruns => "hatchpitch_reruns_total",
        Count::DroppedMessages => "hatchpitch_dropped_messages_total",
        Count::CallerLeft => "hatchpitch_caller_left_total",
        Count::CallerSlow => "hatchpitch_caller_slow_total",
        Count::BadInput => "hatchpitch_bad_input_total",
        Count::UnknownKey => "hatchpitch_unknown_key_total",
        Count::Crashes => "hatchpitch_upstream_crashes_total",
        Count::Quarantined => "hatchpitch_quarantined_total",
        Count::SentByPeer => "hatchpitch_sent_by_peer_total",
        Count::SentForPeer => "hatchpitch_sent_for_peer_total",
        Count::SilentLinks => "hatchpitch_silent_links_total",
        Count::AbandonedSends => "hatchpitch_abandoned_sends_total",
        Count::PaceReportsSent => "hatchpitch_pace_reports_sent_total",
        Count::PaceReportsFailed => "hatchpitch_pace_reports_failed_total",
        Count::PaceEntriesDropped => "hatchpitch_pace_entries_dropped_total",
        Count::QueueRefusedOnArrival => "hatchpitch_queue_refused_on_arrival_total",
        Count::QueueRefusedUntimely => "hatchpitch_queue_refused_untimely_total",
        Count::QueueRefusedAfterWait => "hatchpitch_queue_refused_after_wait_total",
    }
}
