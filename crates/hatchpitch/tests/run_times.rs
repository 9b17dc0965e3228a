//! Tests of the estimates of how long requests run.

use std::time::Duration;

use hatchpitch::relay::run_times::RunTimes;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_request_with_time_for_a_fast_run_is_not_refused() {
    let mut times = RunTimes::default();
    assert_eq!(times.shortest("a"), Duration::ZERO);
    for i in 0..1_000 {
        times.record("a", MS * (100 + 100 * (i % 2)));
    }
    assert!(times.shortest("a") < MS * 102, "{:?}", times.shortest("a"));
    assert_eq!(times.shortest("b"), Duration::ZERO);
}

#[test]
fn one_fast_run_keeps_slower_requests_waiting_in_vain() {
    let mut times = RunTimes::default();
    times.record("a", MS);
    for _ in 0..500 {
        times.record("a", MS * 300);
    }
    assert!(times.shortest("a") > MS * 290, "{:?}", times.shortest("a"));
}
