//! Compares what was seen with what is promised. No check asks how long something took.

use std::collections::{BTreeMap, HashMap};

use crate::record::{Begun, Call, ConfigSeen, End, Kind, Record, RequestId};

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Broken {
    /// The promise.
    pub promise: &'static str,
    /// What was seen instead.
    pub seen: String,
}

/// Returns every promise that the record shows broken.
pub fn verify(record: &Record) -> Vec<Broken> {
    let calls = record.calls.borrow();
    let mut runs: HashMap<RequestId, Vec<Begun>> = HashMap::new();
    for run in record.runs.borrow().iter() {
        runs.entry(run.id.clone()).or_default().push(run.clone());
    }
    let mut broken = Vec::new();
    for (id, call) in calls.iter() {
        let begun = runs.get(id).map_or(&[][..], Vec::as_slice);
        broken.extend(check_call(id, call, begun));
    }
    broken.extend(check_unasked(&calls, &runs));
    broken.extend(check_reads(record));
    broken.extend(check_markers(&calls));
    let late = record.late_work.borrow();
    broken.extend(late.iter().map(|seen| Broken {
        promise: "an upstream that leaves gets no new work after a few seconds",
        seen: seen.clone(),
    }));
    broken.sort();
    broken
}

/// Checks what one caller got against what upstreams ran for it.
fn check_call(id: &str, call: &Call, runs: &[Begun]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut note = |promise, seen: String| broken.push(Broken { promise, seen });
    let lives: Vec<&str> = runs.iter().map(|run| run.life.as_str()).collect();
    if let End::Wrong(what) = &call.end {
        note("a caller gets its own whole answer", format!("{id}: {what}"));
    }
    let from_scratch = runs.iter().filter(|run| !run.resumed).count();
    if matches!(call.kind, Kind::Once | Kind::Stream) && from_scratch > 1 {
        note("what must not be repeated runs once", format!("{id}: ran at {lives:?}"));
    }
    if runs.iter().any(|run| run.beside_another) {
        note("a generation goes on at one runner at a time", format!("{id}: ran at {lives:?}"));
    }
    if call.end == End::Refused && !runs.is_empty() {
        note("what is refused as not run was not run", format!("{id}: ran at {lives:?}"));
    }
    let cut = matches!(call.end, End::Broken(_) | End::Failed(500..) | End::Unanswered);
    if call.calm.is_some() && cut && !runs.is_empty() {
        let seen = format!("{id}: {:?}, ran at {lives:?}", call.end);
        note("planned work cuts off no request", seen);
    }
    broken
}

/// Upstreams run what callers sent, and nothing else.
fn check_unasked(
    calls: &BTreeMap<RequestId, Call>,
    runs: &HashMap<RequestId, Vec<Begun>>,
) -> Vec<Broken> {
    let unasked = runs.keys().filter(|id| !calls.contains_key(*id));
    let broken = unasked.map(|id| Broken {
        promise: "only what callers sent is run",
        seen: format!("{id} was run and nobody sent it"),
    });
    broken.collect()
}

/// Reads show what was acknowledged before they were asked for, or something newer, and one
/// content under each number.
fn check_reads(record: &Record) -> Vec<Broken> {
    let configs = record.configs.borrow();
    let mut broken = Vec::new();
    let mut texts: HashMap<u64, &str> = HashMap::new();
    for seen in configs.iter() {
        let ConfigSeen::Read { number, text, asked } = seen else { continue };
        let floor = record.acknowledged_before(*asked);
        if *number < floor {
            broken.push(Broken {
                promise: "a read shows the newest configuration",
                seen: format!("{number} after {floor} was acknowledged"),
            });
        }
        let first = *texts.entry(*number).or_insert(text);
        if first != text {
            broken.push(Broken {
                promise: "a number has one content",
                seen: format!("{number} was read with two contents"),
            });
        }
    }
    broken
}

/// One life of a box never serves by an older configuration than it did before.
fn check_markers(calls: &BTreeMap<RequestId, Call>) -> Vec<Broken> {
    let mut served: HashMap<(usize, u64), Vec<Served<'_>>> = HashMap::new();
    for (id, call) in calls {
        if let (Kind::Marker(number), End::Answered) = (call.kind, &call.end) {
            served.entry(call.sent_to).or_default().push(Served { id, number, call });
        }
    }
    let mut broken = Vec::new();
    for answers in served.values() {
        for Served { id, number, call } in answers {
            let newer =
                answers.iter().find(|other| other.number > *number && other.call.ended < call.sent);
            if let Some(newer) = newer {
                broken.push(Broken {
                    promise: "a box never goes back to an older configuration",
                    seen: format!("{id}: served by {number} after {}", newer.number),
                });
            }
        }
    }
    broken
}

/// A request that was served by the configuration of a number.
struct Served<'a> {
    id: &'a str,
    number: u64,
    call: &'a Call,
}
