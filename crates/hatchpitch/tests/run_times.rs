//! Tests of the estimates of how long requests run.

use std::time::{Duration, Instant};

use hatchpitch::relay::run_times::RunTimes;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_request_with_time_for_a_fast_run_is_not_refused() {
    let mut times = RunTimes::default();
    let now = Instant::now();
    assert!(times.admit("a", Duration::ZERO, now), "nothing is known");
    for i in 0..1_000 {
        times.record("a", MS * (100 + 100 * (i % 2)), now);
    }
    assert!(times.admit("a", MS * 102, now), "{times:?}");
    assert!(times.admit("b", Duration::ZERO, now), "nothing is known");
}

#[test]
fn one_fast_run_keeps_slower_requests_waiting_in_vain() {
    let (mut times, now) = (RunTimes::default(), Instant::now());
    times.record("a", MS, now);
    for _ in 0..500 {
        times.record("a", MS * 300, now);
    }
    assert!(!times.admit("a", MS * 290, now), "{times:?}");
}

#[test]
fn many_requests_are_sent_that_cannot_end_in_time() {
    let (mut times, start) = (RunTimes::default(), Instant::now());
    times.record("a", MS * 3_000, start);
    let sent = (0..60_000).filter(|ms| times.admit("a", MS * 2_000, start + MS * *ms));
    // One in each of the times that a run takes.
    assert_eq!(sent.collect::<Vec<u32>>(), (1..20).map(|i| i * 3_000).collect::<Vec<u32>>());
    assert!(times.admit("a", MS * 3_000, start), "enough time is left");
    assert!(times.admit("b", MS, start), "nothing is known");
}

#[test]
fn requests_without_time_are_sent_while_runs_confirm_the_estimate() {
    let (mut times, start) = (RunTimes::default(), Instant::now());
    for ms in 0..60_000 {
        if ms % 900 == 0 {
            times.record("a", MS * 600, start + MS * ms);
        }
        assert!(!times.admit("a", MS * 500, start + MS * ms), "after {ms} ms");
    }
}

#[test]
fn a_faster_run_does_not_let_later_requests_in() {
    let (mut times, start) = (RunTimes::default(), Instant::now());
    times.record("a", MS * 3_000, start);
    assert!(times.admit("a", MS * 500, start + MS * 3_000));
    times.record("a", MS * 400, start + MS * 3_400);
    assert!(times.admit("a", MS * 500, start + MS * 3_400));
}
