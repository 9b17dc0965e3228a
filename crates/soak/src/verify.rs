//! Checks the observations of a run against the guarantees of the system. No check depends on how
//! long a request took.

use std::collections::{BTreeMap, HashMap, HashSet};

use std::os::unix::process::ExitStatusExt as _;
use std::time::Duration;

use hatchpitch_net::Framing;

use crate::record::{
    Call, ConfigEvent, InstanceId, LimitedRequest, MemoryPeak, Outcome, ProcessEnd, Record,
    RejectedRequest, RequestId, RequestKind, RunStart,
};

/// Time from the first request that an instance received under a limit until the limit is enforced.
/// It matches the platform's own check.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Window over which requests are counted. It matches the platform's own check.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed per window: this multiple of the limit, plus [`LIMIT_SLACK`].
const LIMIT_TOLERANCE: f64 = 1.5;
/// Requests allowed per window beyond the multiple of the limit.
const LIMIT_SLACK: f64 = 5.0;

/// Time from the first rejected request of an instance until a rest is enforced.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Requests that each box may still send during a rest.
const REJECTED_PER_BOX: usize = 2;
/// Additional requests allowed during a rest: a restarted box learns of the rest only from its
/// first answers.
const REJECTED_SLACK: usize = 12;

/// A megabyte, in which memory is reported.
pub(crate) const MEGABYTE: u64 = 1_000_000;

/// A guarantee that was violated.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The guarantee.
    pub property: &'static str,
    /// The observation that contradicts it.
    pub observed: String,
}

/// Returns all violations that the record shows.
pub fn verify(record: &Record) -> Vec<Violation> {
    let calls = record.calls.borrow();
    let mut runs: HashMap<RequestId, Vec<RunStart>> = HashMap::new();
    for run in record.runs.borrow().iter() {
        runs.entry(run.id.clone()).or_default().push(run.clone());
    }
    let mut violations = Vec::new();
    for (id, call) in calls.iter() {
        let call_runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_call(id, call, call_runs));
        violations.extend(check_partial(id, call, &record.cut.borrow()));
    }
    violations.extend(check_unknown_runs(&calls, &runs));
    violations.extend(check_reads(record));
    violations.extend(check_config_order(&calls));
    violations.extend(check_limits(&record.limited.borrow()));
    violations.extend(check_rests(&record.rejected.borrow(), record.boxes.get()));
    violations.extend(record.ends.borrow().iter().filter_map(check_end));
    violations.extend(record.accepted.borrow().iter().map(|observed| Violation {
        property: "unsigned messages and invalid configurations are rejected",
        observed: observed.clone(),
    }));
    let memory = record.memory.borrow();
    violations.extend(
        memory.iter().filter_map(|((process, starts), peak)| check_memory(process, *starts, peak)),
    );
    let late_requests = record.late_requests.borrow();
    violations.extend(late_requests.iter().map(|observed| Violation {
        property: "a leaving upstream receives no new requests after a few seconds",
        observed: observed.clone(),
    }));
    violations.sort();
    violations
}

/// Checks the outcome of one request against its runs at upstreams.
fn check_call(id: &str, call: &Call, runs: &[RunStart]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |property, observed: String| violations.push(Violation { property, observed });
    let instances: Vec<&str> = runs.iter().map(|run| run.instance.as_str()).collect();
    if let Outcome::Wrong(what) = &call.outcome {
        report("a caller receives its own complete answer", format!("{id}: {what}"));
    }
    let fresh_runs = runs.iter().filter(|run| !run.resumed).count();
    if matches!(call.kind, RequestKind::Once | RequestKind::Stream) && fresh_runs > 1 {
        report("a non-repeatable request runs at most once", format!("{id}: ran at {instances:?}"));
    }
    if runs.iter().any(|run| run.concurrent) {
        report(
            "a generation runs at one upstream at a time",
            format!("{id}: ran at {instances:?}"),
        );
    }
    if call.outcome == Outcome::Refused && !runs.is_empty() {
        report(
            "a request that is refused as not run was not run",
            format!("{id}: ran at {instances:?}"),
        );
    }
    let interrupted = matches!(
        call.outcome,
        Outcome::Broken(_) | Outcome::Partial(_) | Outcome::Failed(500..) | Outcome::Unanswered
    );
    if call.calm.is_some() && interrupted && !runs.is_empty() {
        let observed = format!("{id}: {:?}, ran at {instances:?}", call.outcome);
        report("maintenance interrupts no request", observed);
    }
    violations
}

/// Checks that an answer that ended in order before it was whole looks no more complete than what an
/// upstream sent: its end is not marked, and an upstream ended its own answer in the same way.
fn check_partial(id: &str, call: &Call, cut: &HashSet<RequestId>) -> Option<Violation> {
    let Outcome::Partial(what) = &call.outcome else { return None };
    let property = if call.framing != Some(Framing::UntilClose) {
        "an answer that is not whole is not framed as complete"
    } else if !cut.contains(id) {
        "an answer ends early in order only where its upstream ended it so"
    } else {
        return None;
    };
    Some(Violation { property, observed: format!("{id}: {what}") })
}

/// Checks that all boxes together respect the rate limits of upstreams in calm phases.
fn check_limits(limited: &[LimitedRequest]) -> Vec<Violation> {
    let mut instances: BTreeMap<&InstanceId, Vec<&LimitedRequest>> = BTreeMap::new();
    for request in limited {
        instances.entry(&request.instance).or_default().push(request);
    }
    instances
        .into_iter()
        .filter_map(|(instance, requests)| check_limit(instance, &requests))
        .collect()
}

fn check_limit(instance: &str, requests: &[&LimitedRequest]) -> Option<Violation> {
    let first = requests.first()?;
    let per_second = first.per_second;
    // An instance may announce a different limit in a later round. Only requests under the first
    // limit are checked.
    let counted = requests.iter().filter(|request| {
        request.per_second == per_second
            && request.calm.is_some()
            && request.at - first.at >= LIMIT_GRACE
    });
    let counted: Vec<&&LimitedRequest> = counted.collect();
    let within = |from: &&&LimitedRequest| {
        let in_window = |request: &&&&LimitedRequest| {
            request.calm == from.calm
                && request.at >= from.at
                && request.at - from.at < LIMIT_WINDOW
        };
        counted.iter().filter(in_window).count()
    };
    let max_count = counted.iter().map(within).max()?;
    let allowed = per_second * LIMIT_WINDOW.as_secs_f64() * LIMIT_TOLERANCE + LIMIT_SLACK;
    (max_count as f64 > allowed).then(|| Violation {
        property: "all boxes together respect the rate limit of an upstream",
        observed: format!(
            "{instance} announced {per_second} requests/s and received {max_count} within {LIMIT_WINDOW:?}"
        ),
    })
}

/// Checks that each box respects the rests that upstreams ask for in calm phases. The record does
/// not tell which box sent a request, so all boxes are counted together.
fn check_rests(rejected: &[RejectedRequest], boxes: usize) -> Vec<Violation> {
    let mut instances: BTreeMap<&InstanceId, Vec<&RejectedRequest>> = BTreeMap::new();
    for request in rejected {
        instances.entry(&request.instance).or_default().push(request);
    }
    instances
        .into_iter()
        .filter_map(|(instance, requests)| check_rest(instance, &requests, boxes))
        .collect()
}

fn check_rest(instance: &str, requests: &[&RejectedRequest], boxes: usize) -> Option<Violation> {
    let first = requests.first()?;
    let is_counted =
        |request: &&&RejectedRequest| request.calm.is_some() && request.at - first.at >= REST_GRACE;
    let counted: Vec<&RejectedRequest> = requests.iter().filter(is_counted).copied().collect();
    let within = |from: &&RejectedRequest| {
        let until = from.at + from.rest;
        let in_window = |request: &&&RejectedRequest| {
            request.calm == from.calm && request.at >= from.at && request.at < until
        };
        counted.iter().filter(in_window).count()
    };
    let max_count = counted.iter().map(within).max()?;
    (max_count > REJECTED_PER_BOX * boxes + REJECTED_SLACK).then(|| Violation {
        property: "each box respects the rest that an upstream asks for",
        observed: format!(
            "{instance} asked for {:?} and received {max_count} requests from {boxes} boxes",
            first.rest
        ),
    })
}

/// Checks that the memory of a process stayed within the limit.
fn check_memory(process: &str, starts: u64, peak: &MemoryPeak) -> Option<Violation> {
    let (at, faults) = peak.passed.as_ref()?;
    Some(Violation {
        property: "the memory of a process stays within its limit",
        observed: format!(
            "{process}, start {starts}: passed it {at:.2?} after the start of the run, peak {} MB; faults in force: {faults:?}",
            peak.bytes / MEGABYTE
        ),
    })
}

/// Checks that a process ended only because the run killed it or asked it to stop. A hang-up signal
/// is no reason to end, and neither is a fault of a disk or of a peer.
fn check_end(end: &ProcessEnd) -> Option<Violation> {
    let was_sent = |signal| end.signals.iter().any(|(sent, _)| *sent == signal);
    let is_caused = match end.status.signal() {
        Some(signal) => matches!(signal, libc::SIGKILL | libc::SIGTERM) && was_sent(signal),
        None => end.status.success() && was_sent(libc::SIGTERM),
    };
    (!is_caused).then(|| Violation {
        property: "a process ends only when it is killed or asked to stop",
        observed: format!(
            "{} ended {:.2?} after the start of the run, at the age of {:.2?}: {}; signals sent: {:?}; log: {}",
            end.process, end.at, end.age, end.status, end.signals, end.log
        ),
    })
}

/// Checks that upstreams run only requests that callers sent.
fn check_unknown_runs(
    calls: &BTreeMap<RequestId, Call>,
    runs: &HashMap<RequestId, Vec<RunStart>>,
) -> Vec<Violation> {
    let unknown = runs.keys().filter(|id| !calls.contains_key(*id));
    let violations = unknown.map(|id| Violation {
        property: "only requests that callers sent are run",
        observed: format!("{id} was run but never sent"),
    });
    violations.collect()
}

/// Checks that a read returns the configuration acknowledged before it was sent, or a newer one,
/// and that each number has one content.
fn check_reads(record: &Record) -> Vec<Violation> {
    let configs = record.configs.borrow();
    let mut violations = Vec::new();
    let mut texts: HashMap<u64, &str> = HashMap::new();
    for event in configs.iter() {
        let ConfigEvent::Read { number, text, asked_at } = event else { continue };
        let acknowledged = record.acknowledged_before(*asked_at);
        if *number < acknowledged {
            violations.push(Violation {
                property: "a read returns the newest acknowledged configuration",
                observed: format!("read {number} after {acknowledged} was acknowledged"),
            });
        }
        let first_text = *texts.entry(*number).or_insert(text);
        if first_text != text {
            violations.push(Violation {
                property: "a configuration number has one content",
                observed: format!("{number} was read with two contents"),
            });
        }
    }
    violations
}

/// Checks that an entry process never serves an older configuration after a newer one, until it
/// restarts.
fn check_config_order(calls: &BTreeMap<RequestId, Call>) -> Vec<Violation> {
    let mut served: HashMap<(usize, u64), Vec<MarkerAnswer<'_>>> = HashMap::new();
    for (id, call) in calls {
        if let (RequestKind::Marker(number), Outcome::Answered) = (call.kind, &call.outcome) {
            served.entry(call.sent_to).or_default().push(MarkerAnswer { id, number, call });
        }
    }
    let mut violations = Vec::new();
    for answers in served.values() {
        for MarkerAnswer { id, number, call } in answers {
            let newer = answers
                .iter()
                .find(|other| other.number > *number && other.call.ended_at < call.sent_at);
            if let Some(newer) = newer {
                violations.push(Violation {
                    property: "a box never returns to an older configuration",
                    observed: format!(
                        "{id}: served by configuration {number} after {}",
                        newer.number
                    ),
                });
            }
        }
    }
    violations
}

/// An answered request on the marker route of a configuration.
struct MarkerAnswer<'a> {
    id: &'a str,
    number: u64,
    call: &'a Call,
}
