//! Tests of the estimates of how long requests run.

use std::time::Duration;

use hatchpitch::relay::run_times::RunTimes;

const MS: Duration = Duration::from_millis(1);
/// A wait that exceeds what any request of these tests has left.
const LONG_WAIT: Duration = Duration::from_secs(10);

#[test]
fn a_request_with_time_for_a_fast_run_is_refused() {
    let mut times = RunTimes::default();
    assert!(!times.is_too_late("a", LONG_WAIT, Duration::ZERO), "nothing is known");
    for i in 0..1_000 {
        times.record("a", MS * (100 + 100 * (i % 2)));
    }
    assert!(!times.is_too_late("a", LONG_WAIT, MS * 102), "{times:?}");
    assert!(times.is_too_late("a", LONG_WAIT, MS * 99), "{times:?}");
    assert!(!times.is_too_late("b", LONG_WAIT, Duration::ZERO), "nothing is known");
}

#[test]
fn one_fast_run_keeps_slower_requests_waiting_in_vain() {
    let mut times = RunTimes::default();
    times.record("a", MS);
    for _ in 0..500 {
        times.record("a", MS * 300);
    }
    assert!(times.is_too_late("a", LONG_WAIT, MS * 290), "{times:?}");
}

#[test]
fn slow_runs_of_others_refuse_requests_that_hardly_waited() {
    let mut times = RunTimes::default();
    times.record("a", MS * 5);
    for _ in 0..120 {
        times.record("a", MS * 2_000);
        assert!(!times.is_too_late("a", MS, MS * 100), "{times:?}");
        // An estimate just below the time of a caller is no reason either.
        assert!(!times.is_too_late("a", MS * 3, MS * 1_597), "{times:?}");
    }
    assert!(times.is_too_late("a", MS * 100, MS * 100), "{times:?}");
}
