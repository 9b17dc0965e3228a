//! Tests of which requests a stopping box gives up, and when.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::{Decision, PoolScheduler, Refusal, SlotRequest};
use hatchpitch::drain::{Drain, RunEstimates, RunTimer, STOPPING};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use hatchpitch_net::clock;

/// Time from the begin of a shutdown to its end.
const LIMIT: Duration = Duration::from_secs(8);
/// Time before the end by which every waiting request is refused.
const ANSWER_TIME: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);
const KIND: &str = "k";

// Guards against refusing what nothing is known of, and against refusing it too late to be heard.
#[test]
fn requests_of_an_unknown_kind_may_start_until_shortly_before_the_end() {
    let drain = Drain::new(LIMIT);
    let now = clock::now();
    assert_eq!(drain.time_to_start(KIND, now), None);
    drain.begin(now);
    drain.begin(now + SECOND);
    assert_eq!(drain.ends_at(), Some(now + LIMIT), "a second begin has no effect");
    assert_eq!(drain.time_to_start(KIND, now), Some(LIMIT - ANSWER_TIME));
    assert!(!drain.is_too_late(KIND, now + LIMIT - ANSWER_TIME - Duration::from_millis(1)));
    assert!(drain.is_too_late(KIND, now + LIMIT - ANSWER_TIME));
    assert!(drain.is_too_late(KIND, now + 2 * LIMIT));
}

// Guards against estimates that know only runs that have ended.
#[test]
fn the_estimate_follows_runs_that_ended_and_runs_in_progress() {
    let estimates: Rc<RefCell<RunEstimates>> = Rc::default();
    let now = clock::now();
    let estimate = |after: Duration| estimates.borrow().estimate(KIND, now + after);
    assert_eq!(estimate(SECOND), Duration::ZERO);
    let mut runs: Vec<RunTimer> = (0..3).map(|_| RunTimer::start(&estimates, KIND, now)).collect();
    assert_eq!(estimate(2 * SECOND), 2 * SECOND, "none has ended yet");
    for mut run in runs.drain(..) {
        run.succeed(now + 3 * SECOND);
    }
    assert_eq!(estimate(9 * SECOND), 3 * SECOND);
    // A single run that hangs does not raise the estimate while others are younger.
    let hung = RunTimer::start(&estimates, KIND, now);
    let young = [6, 7].map(|s| RunTimer::start(&estimates, KIND, now + s * SECOND));
    assert_eq!(estimate(8 * SECOND), 3 * SECOND);
    // Runs that failed do not count.
    drop((hung, young));
    assert_eq!(estimate(30 * SECOND), 3 * SECOND);
    estimates.borrow().verify(0).unwrap();
}

fn scheduler(slots: u64) -> PoolScheduler {
    let mut line = PoolScheduler::new(AdmissionConfig::default(), RoutingConfig::default());
    let spec = RunnerSpec {
        name: "r".to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "z".to_owned(),
        slots,
        memory: None,
        copy_rate: f64::INFINITY,
    };
    line.update(clock::now(), |table| table.sync([spec]));
    line
}

fn request(n: u64, sends_here: bool) -> SlotRequest {
    SlotRequest {
        id: format!("q-{n}"),
        kind: KIND.to_owned(),
        sends_here,
        ..SlotRequest::default()
    }
}

// A request at the end of a long queue was kept although its place showed that it came too late.
#[test]
fn requests_far_behind_in_a_queue_wait_until_the_box_is_killed() {
    let (mut line, start) = (scheduler(1), clock::now());
    // The runner is known to take a second for each request.
    for n in 0..8 {
        let now = start + SECOND * n;
        let Decision::Run(spec) = line.decide(&request(n.into(), true), now) else {
            panic!("the runner is free");
        };
        let report = RunReport { verdict: Verdict::Succeeded, ..RunReport::RELEASED };
        line.release(&spec.name, &request(n.into(), true), 1, report, now + SECOND);
    }
    let now = start + 8 * SECOND;
    assert!(matches!(line.decide(&request(8, true), now), Decision::Run(_)));
    for n in 9..28 {
        // Every fourth request is one of another box, which is not stopping.
        assert!(matches!(line.decide(&request(n, n % 4 != 0), now), Decision::Wait(_)));
    }
    line.tick(now);
    let refusal = Refusal::new(STOPPING, Duration::ZERO);
    line.refuse_late(&refusal, |_| None);
    assert!(line.take_answers().is_empty(), "the box is not stopping");
    line.refuse_late(&refusal, |_| Some(5 * SECOND));
    let refused: Vec<String> = line.take_answers().into_iter().map(|answer| answer.id).collect();
    // Their expected waits are over twice the time left.
    assert_eq!(refused, ["q-21", "q-22", "q-23", "q-25", "q-26", "q-27"]);
}
