//! Who goes next when not everybody finds room: a line before one engine.

use std::time::{Duration, Instant};

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::admission::memory::MemoryPolicy;
use hatchpitch::dispatch::{Answer, Decision, PoolScheduler, SlotRequest, verify};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};

const MS: Duration = Duration::from_millis(1);
/// Memory of the engine, in tokens.
const MEMORY: u64 = 10_000;
/// Time that an engine takes to read what one request brings here.
const READ: Duration = Duration::from_secs(2);

fn want(id: u64, prompt: u64) -> SlotRequest {
    SlotRequest {
        id: id.to_string(),
        workspace: (id % 50).to_string(),
        priority: 1,
        kind: "k".to_owned(),
        prompt,
        max_tokens: 500,
        accepts: Some(900 * MS),
        ..SlotRequest::default()
    }
}

/// An owner of one engine whose memory takes prompts up to its size.
fn line(now: Instant) -> PoolScheduler {
    let routing = RoutingConfig { memory: MemoryPolicy::Watermark(1.0), ..Default::default() };
    let admission = AdmissionConfig { oldest_every: u64::MAX, ..AdmissionConfig::default() };
    let mut line = PoolScheduler::new(admission, routing);
    let spec = RunnerSpec {
        name: "e".to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: Some(MEMORY),
        copy_rate: f64::INFINITY,
    };
    line.update(now, |table| table.sync([spec]));
    line
}

fn takes(line: &mut PoolScheduler, want: &SlotRequest, now: Instant) {
    assert!(matches!(line.decide(want, now), Decision::Run(_)), "{}", want.id);
}

fn waits(line: &mut PoolScheduler, want: &SlotRequest, now: Instant) {
    assert!(matches!(line.decide(want, now), Decision::Wait(_)), "{}", want.id);
}

fn gives_back(line: &mut PoolScheduler, want: &SlotRequest, now: Instant) {
    let report = RunReport { verdict: Verdict::Succeeded, tokens: None, first: None };
    line.release("e", want, want.prompt, report, now);
}

/// Returns who was let in since the last time.
fn let_in(line: &mut PoolScheduler) -> Vec<String> {
    verify::verify(line).unwrap();
    let answers = line.take_answers().into_iter();
    answers.filter(|answer| answer.slot.is_ok()).map(|Answer { id, .. }| id).collect()
}

#[test]
fn one_that_finds_no_room_lets_smaller_ones_go_past_it() {
    let now = Instant::now();
    let mut line = line(now);
    let runs = want(1, 6_000);
    takes(&mut line, &runs, now);
    let later = now + READ;
    waits(&mut line, &want(2, 6_000), later);
    waits(&mut line, &want(3, 7_000), later);
    waits(&mut line, &want(4, 1_000), later);
    line.tick(later);
    assert_eq!(let_in(&mut line), ["4"]);
    gives_back(&mut line, &runs, later + READ);
    assert_eq!(let_in(&mut line), ["2"], "the first that waited gets the room that it waited for");
}

#[test]
fn no_more_than_a_few_go_past_one_that_finds_no_room() {
    let mut now = Instant::now();
    let mut line = line(now);
    let runs = want(1, 6_000);
    takes(&mut line, &runs, now);
    now += READ;
    let large = SlotRequest { accepts: None, ..want(2, 9_500) };
    waits(&mut line, &large, now);
    // Small ones come for as long as they like, and end soon.
    let mut past = 0;
    for id in 100..140 {
        let small = SlotRequest { accepts: None, ..want(id, 100) };
        waits(&mut line, &small, now);
        line.tick(now);
        for id in let_in(&mut line) {
            past += 1;
            gives_back(&mut line, &want(id.parse().unwrap(), 100), now);
        }
        now += 300 * MS;
    }
    past += let_in(&mut line).len();
    assert!((8..=17).contains(&past), "{past} of 40");
    gives_back(&mut line, &runs, now);
    assert_eq!(let_in(&mut line).first().map(String::as_str), Some("2"));
}

#[test]
fn those_that_are_late_already_go_after_those_that_can_be_in_time() {
    let mut now = Instant::now();
    let mut line = line(now);
    let runs = want(1, 9_900);
    takes(&mut line, &runs, now);
    now += READ;
    waits(&mut line, &want(2, 5_000), now);
    now += Duration::from_secs(1);
    waits(&mut line, &want(3, 6_000), now);
    gives_back(&mut line, &runs, now);
    assert_eq!(let_in(&mut line), ["3"]);
    now += READ;
    gives_back(&mut line, &want(3, 6_000), now);
    assert_eq!(let_in(&mut line), ["2"], "a late answer is better than none");
}
