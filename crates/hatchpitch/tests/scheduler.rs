//! Service order of the queue before a single engine whose memory does not fit every request.

use std::time::{Duration, Instant};

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::admission::memory::MemoryPolicy;
use hatchpitch::dispatch::{Answer, Decision, PoolScheduler, SlotRequest, verify};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};

const MS: Duration = Duration::from_millis(1);
/// Memory of the engine, in tokens.
const MEMORY: u64 = 10_000;
/// Time after which the engine has processed the prompt of any request in these tests.
const PROMPT_TIME: Duration = Duration::from_secs(2);

fn request(id: u64, prompt: u64) -> SlotRequest {
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

/// Creates a scheduler of one engine, whose memory admits prompts up to its full size.
fn scheduler(now: Instant) -> PoolScheduler {
    let routing = RoutingConfig { memory: MemoryPolicy::Watermark(1.0), ..Default::default() };
    let admission = AdmissionConfig { oldest_every: u64::MAX, ..AdmissionConfig::default() };
    let mut scheduler = PoolScheduler::new(admission, routing);
    let spec = RunnerSpec {
        name: "e".to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: Some(MEMORY),
        copy_rate: f64::INFINITY,
    };
    scheduler.update(now, |table| table.sync([spec]));
    scheduler
}

fn expect_run(scheduler: &mut PoolScheduler, request: &SlotRequest, now: Instant) {
    assert!(matches!(scheduler.decide(request, now), Decision::Run(_)), "{}", request.id);
}

fn expect_wait(scheduler: &mut PoolScheduler, request: &SlotRequest, now: Instant) {
    assert!(matches!(scheduler.decide(request, now), Decision::Wait(_)), "{}", request.id);
}

fn release(scheduler: &mut PoolScheduler, request: &SlotRequest, now: Instant) {
    let report = RunReport { verdict: Verdict::Succeeded, ..RunReport::RELEASED };
    scheduler.release("e", request, request.prompt, report, now);
}

/// Returns the ids of the queued requests that got a slot since the last call.
fn scheduled(scheduler: &mut PoolScheduler) -> Vec<String> {
    verify::verify(scheduler).unwrap();
    let answers = scheduler.take_answers().into_iter();
    answers.filter(|answer| answer.slot.is_ok()).map(|Answer { id, .. }| id).collect()
}

#[test]
fn smaller_requests_bypass_one_that_does_not_fit() {
    let now = Instant::now();
    let mut scheduler = scheduler(now);
    let running = request(1, 6_000);
    expect_run(&mut scheduler, &running, now);
    let later = now + PROMPT_TIME;
    expect_wait(&mut scheduler, &request(2, 6_000), later);
    expect_wait(&mut scheduler, &request(3, 7_000), later);
    expect_wait(&mut scheduler, &request(4, 1_000), later);
    scheduler.tick(later);
    assert_eq!(scheduled(&mut scheduler), ["4"]);
    release(&mut scheduler, &running, later + PROMPT_TIME);
    assert_eq!(
        scheduled(&mut scheduler),
        ["2"],
        "the oldest queued request gets the memory that was released"
    );
}

#[test]
fn bypasses_of_a_request_that_does_not_fit_are_limited() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now);
    let running = request(1, 6_000);
    expect_run(&mut scheduler, &running, now);
    now += PROMPT_TIME;
    let large = SlotRequest { accepts: None, ..request(2, 9_500) };
    expect_wait(&mut scheduler, &large, now);
    // A steady stream of small requests, each of which ends at once.
    let mut bypassed = 0;
    for id in 100..140 {
        let small = SlotRequest { accepts: None, ..request(id, 100) };
        expect_wait(&mut scheduler, &small, now);
        scheduler.tick(now);
        for id in scheduled(&mut scheduler) {
            bypassed += 1;
            release(&mut scheduler, &request(id.parse().unwrap(), 100), now);
        }
        now += 300 * MS;
    }
    bypassed += scheduled(&mut scheduler).len();
    assert!((8..=17).contains(&bypassed), "{bypassed} of 40");
    release(&mut scheduler, &running, now);
    assert_eq!(scheduled(&mut scheduler).first().map(String::as_str), Some("2"));
}

#[test]
fn late_requests_are_served_after_those_that_are_on_time() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now);
    let running = request(1, 9_900);
    expect_run(&mut scheduler, &running, now);
    now += PROMPT_TIME;
    expect_wait(&mut scheduler, &request(2, 5_000), now);
    now += Duration::from_secs(1);
    expect_wait(&mut scheduler, &request(3, 6_000), now);
    release(&mut scheduler, &running, now);
    assert_eq!(scheduled(&mut scheduler), ["3"]);
    now += PROMPT_TIME;
    release(&mut scheduler, &request(3, 6_000), now);
    assert_eq!(scheduled(&mut scheduler), ["2"], "a late answer is better than none");
}

/// Guards against accepted requests that are placed behind all others while time is left for them,
/// and refused at their deadlines.
#[test]
fn requests_with_time_left_keep_their_place_after_the_accepted_wait() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now);
    let running = request(1, 9_900);
    expect_run(&mut scheduler, &running, now);
    now += PROMPT_TIME;
    let waiting = SlotRequest { overdue_after: Some(4_000 * MS), ..request(2, 5_000) };
    expect_wait(&mut scheduler, &waiting, now);
    now += Duration::from_secs(1);
    expect_wait(&mut scheduler, &request(3, 6_000), now);
    release(&mut scheduler, &running, now);
    assert_eq!(scheduled(&mut scheduler), ["2"]);
}

/// Guards against estimates that stay as they were while nothing is granted.
#[test]
fn the_expected_wait_follows_from_the_requests_that_run() {
    let mut now = Instant::now();
    let mut scheduler = scheduler(now);
    let running = request(1, 9_900);
    expect_run(&mut scheduler, &running, now);
    now += PROMPT_TIME;
    release(&mut scheduler, &running, now);
    expect_run(&mut scheduler, &running, now);
    // No queued request has been granted yet, but one run is known to take as long as a prompt.
    expect_wait(&mut scheduler, &SlotRequest { accepts: None, ..request(2, 9_900) }, now);
    assert_eq!(scheduler.expected_wait(&request(52, 9_900), now), PROMPT_TIME);
    let impatient = request(102, 9_900);
    assert!(matches!(scheduler.decide(&impatient, now), Decision::Refuse(_)));
}
