//! Counters and histograms, shown as Prometheus text.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, Traffic};
use hdrhistogram::Histogram;

use crate::evacuation::Evacuations;
use crate::ids::{PoolName, Priority};
use crate::quarantine::QuarantineList;

/// Times that are measured for each pool and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timing {
    /// From the request to the first token.
    FirstToken,
    /// Between consecutive tokens of one answer.
    TokenGap,
    /// A gap in which the stream made no progress beyond [`STALL_THRESHOLD`].
    Stall,
    /// Waiting for admission.
    Wait,
}

/// Events that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    /// Requests taken in.
    Requests,
    /// Requests refused as not run.
    Refused,
    /// Requests whose outcome is unknown.
    Unknown,
    /// Answers completed.
    Done,
    /// Generations pushed aside by an engine.
    Preemptions,
    /// Links to engines that were made anew.
    Relinks,
    /// Generations run again elsewhere before their first token.
    Reruns,
    /// Late, repeated or crossed messages that were dropped.
    DroppedMessages,
    /// Callers that left early.
    CallerLeft,
    /// Callers that read too slowly.
    CallerSlow,
    /// Messages and requests that were malformed.
    BadInput,
    /// Presented keys that are not known.
    UnknownKey,
    /// Upstreams that were seen to crash.
    Crashes,
    /// Requests refused because they crash upstreams.
    Quarantined,
}

/// A gap between tokens from which on a stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Longest time told apart, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

type TimingKey = (Timing, PoolName, Priority);

#[derive(Default)]
struct Inner {
    timings: BTreeMap<TimingKey, Histogram<u64>>,
    counts: BTreeMap<(Count, PoolName), u64>,
    gauges: BTreeMap<&'static str, f64>,
    /// What was exchanged with other boxes, by path.
    traffic: BTreeMap<String, Traffic>,
}

/// The metrics of one process, shared by its tasks.
#[derive(Clone, Default)]
pub struct Metrics(Rc<RefCell<Inner>>);

impl Metrics {
    /// Records a time.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that the library accepts.
    pub fn time(&self, timing: Timing, pool: &str, priority: Priority, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS);
        let mut inner = self.0.borrow_mut();
        let new = || Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("constant bounds");
        let key = (timing, pool.to_owned(), priority);
        inner.timings.entry(key).or_insert_with(new).saturating_record(micros);
    }

    /// Counts an event; `pool` may be empty.
    pub fn count(&self, count: Count, pool: &str) {
        *self.0.borrow_mut().counts.entry((count, pool.to_owned())).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: f64) {
        self.0.borrow_mut().gauges.insert(name, value);
    }

    /// Shows what was exchanged with other boxes, what waits to be sent to them, and the memory
    /// of the process.
    pub fn process(&self, boxes: &BoxClient) {
        let (traffic, waiting) = (boxes.traffic(), boxes.backlog().waiting());
        let sum = |of: fn(&Traffic) -> u64| traffic.values().map(of).sum::<u64>() as f64;
        self.gauge("hatchpitch_box_calls", sum(|traffic| traffic.calls));
        self.gauge("hatchpitch_box_body_bytes", sum(|traffic| traffic.body_bytes));
        self.0.borrow_mut().traffic = traffic;
        self.gauge("hatchpitch_box_messages_waiting", waiting.messages as f64);
        self.gauge("hatchpitch_box_bytes_waiting", waiting.bytes as f64);
        self.gauge("hatchpitch_box_bytes_waiting_peak", waiting.peak_bytes as f64);
        if let Some(bytes) = resident_bytes() {
            self.gauge("hatchpitch_resident_bytes", bytes as f64);
        }
    }

    /// Shows the list of held requests.
    pub fn quarantine(&self, list: &QuarantineList) {
        self.gauge("hatchpitch_held_requests", list.held.len() as f64);
        self.gauge("hatchpitch_quarantine_revision", list.revision as f64);
    }

    /// Shows the evacuations that hold.
    pub fn evacuations(&self, evacuations: &Evacuations) {
        self.gauge("hatchpitch_evacuated_domains", evacuations.domains().count() as f64);
        self.gauge("hatchpitch_evacuations_revision", evacuations.revision() as f64);
    }

    /// Returns a count over all pools.
    pub fn total(&self, count: Count) -> u64 {
        self.0.borrow().counts.iter().filter(|((c, _), _)| *c == count).map(|(_, n)| n).sum()
    }

    /// Writes everything in the Prometheus text format: gauges first, which tell of the process,
    /// as a reader may take no more than the beginning.
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
        let mut last = "";
        for ((timing, pool, priority), histogram) in &inner.timings {
            let name = timing_name(*timing);
            if name != last {
                let _ = writeln!(out, "# TYPE {name} summary");
                last = name;
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
            let name = count_name(*count);
            if name != last {
                let _ = writeln!(out, "# TYPE {name} counter");
                last = name;
            }
            let _ = writeln!(out, "{name}{{pool=\"{pool}\"}} {value}");
        }
        out
    }
}

/// Returns the memory of this process that is in use, as the system counts it; `None` where the
/// system does not tell.
pub fn resident_bytes() -> Option<usize> {
    let pages = std::fs::read_to_string("/proc/self/statm").ok()?;
    let resident: usize = pages.split_whitespace().nth(1)?.parse().ok()?;
    Some(resident * rustix::param::page_size())
}

fn timing_name(timing: Timing) -> &'static str {
    match timing {
        Timing::FirstToken => "hatchpitch_first_token_seconds",
        Timing::TokenGap => "hatchpitch_token_gap_seconds",
        Timing::Stall => "hatchpitch_stall_seconds",
        Timing::Wait => "hatchpitch_admission_wait_seconds",
    }
}

fn count_name(count: Count) -> &'static str {
    match count {
        Count::Requests => "hatchpitch_requests_total",
        Count::Refused => "hatchpitch_refused_total",
        Count::Unknown => "hatchpitch_unknown_total",
        Count::Done => "hatchpitch_done_total",
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
    }
}
