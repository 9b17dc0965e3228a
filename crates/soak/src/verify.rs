//! Compares what was seen with what is promised. No check asks how long something took.

use std::collections::{BTreeMap, HashMap};

use std::time::Duration;

use crate::record::{
    Begun, Call, ConfigSeen, End, Kind, LifeId, LimitedWork, Record, RequestId, RestedWork,
};

/// Time after a life first named a limit from which on it binds, and the time over which requests
/// are counted: as the platform counts them.
const LIMIT_BINDS: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests within that time: so many times what the limit says, and some.
const LIMIT_OVER: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after which a rest binds, and the requests of each box that may come within one all the same.
const REST_BINDS: Duration = Duration::from_millis(500);
const RESTED_A_BOX: usize = 2;
/// Requests within a rest beside them: a box that starts anew knows of no rest until its first answers.
const RESTED_SLACK: usize = 12;

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
    broken.extend(check_limits(&record.limited.borrow()));
    broken.extend(check_rests(&record.rested.borrow(), record.boxes.get()));
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

/// All boxes together keep the limits that upstreams name, outside of storms.
fn check_limits(limited: &[LimitedWork]) -> Vec<Broken> {
    let mut lives: BTreeMap<&LifeId, Vec<&LimitedWork>> = BTreeMap::new();
    for work in limited {
        lives.entry(&work.life).or_default().push(work);
    }
    lives.into_iter().filter_map(|(life, works)| check_limit(life, &works)).collect()
}

fn check_limit(life: &str, works: &[&LimitedWork]) -> Option<Broken> {
    let first = works.first()?;
    let per_second = first.per_second;
    // A life may name another limit in a later round; then each is counted by itself.
    let bound = works.iter().filter(|work| {
        work.per_second == per_second && work.calm.is_some() && work.at - first.at >= LIMIT_BINDS
    });
    let bound: Vec<&&LimitedWork> = bound.collect();
    let within = |from: &&&LimitedWork| {
        let same = |work: &&&&LimitedWork| {
            work.calm == from.calm && work.at >= from.at && work.at - from.at < LIMIT_WINDOW
        };
        bound.iter().filter(same).count()
    };
    let most = bound.iter().map(within).max()?;
    let allowed = per_second * LIMIT_WINDOW.as_secs_f64() * LIMIT_OVER + LIMIT_SLACK;
    (most as f64 > allowed).then(|| Broken {
        promise: "all boxes together keep the limit that an upstream names",
        seen: format!("{life} named {per_second} a second and got {most} within {LIMIT_WINDOW:?}"),
    })
}

/// Each box keeps the rests that upstreams ask it for, outside of storms. Which box sent a request is
/// not known, so all of them are counted together.
fn check_rests(rested: &[RestedWork], boxes: usize) -> Vec<Broken> {
    let mut lives: BTreeMap<&LifeId, Vec<&RestedWork>> = BTreeMap::new();
    for work in rested {
        lives.entry(&work.life).or_default().push(work);
    }
    lives.into_iter().filter_map(|(life, works)| check_rest(life, &works, boxes)).collect()
}

fn check_rest(life: &str, works: &[&RestedWork], boxes: usize) -> Option<Broken> {
    let first = works.first()?;
    let is_bound = |work: &&&RestedWork| work.calm.is_some() && work.at - first.at >= REST_BINDS;
    let bound: Vec<&RestedWork> = works.iter().filter(is_bound).copied().collect();
    let within = |from: &&RestedWork| {
        let until = from.at + from.rest;
        let same =
            |work: &&&RestedWork| work.calm == from.calm && work.at >= from.at && work.at < until;
        bound.iter().filter(same).count()
    };
    let most = bound.iter().map(within).max()?;
    (most > RESTED_A_BOX * boxes + RESTED_SLACK).then(|| Broken {
        promise: "each box keeps the rest that an upstream asks it for",
        seen: format!("{life} asked for {:?} and got {most} from {boxes} boxes", first.rest),
    })
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
