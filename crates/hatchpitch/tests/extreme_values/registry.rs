//! Extreme times until an upstream is warm.

use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::config::feed::InForce;
use hatchpitch::registry::{
    Announced, Detail, FollowRequest, Phase, RegistryCell, Roster, Table, UpstreamRecord,
};

fn record(warm_in: Duration, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: "a".to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 4,
        phase: Phase::Serving,
        warm_in,
        sequence,
        born: None,
    }
}

/// Guards against an entry process that is blind because a control box reports an upstream
/// that is warm in more time than an instant can hold.
#[test]
fn an_extreme_time_until_warm_does_not_end_the_task_that_follows_a_control_box() {
    let now = Instant::now();
    let cell = RegistryCell::new(1);
    cell.change(|table| table.announce(record(Duration::ZERO, 1), now));
    let req = FollowRequest {
        from: "b".into(),
        epoch: 0,
        have: 0,
        config: 0,
        hold: Duration::ZERO,
        detail: Detail::Named,
        evacuations: 0,
        quarantine: 0,
    };
    let answer = cell.answer(&req, InForce::default, || true).now_or_never();
    let mut answer = answer.unwrap().unwrap();
    let mut roster = Roster::default();
    for (sequence, warm_in) in [(1, Duration::MAX), (2, Duration::from_millis(u64::MAX))] {
        answer.records = vec![record(warm_in, sequence)];
        let source = ([127, 0, 0, 2], 1).into();
        roster.apply_answer(source, Detail::Named, answer.clone(), now).unwrap();
    }
    assert_eq!(roster.serving().count(), 1);
    assert!(roster.warm_at("a").unwrap() > now);
}

/// Guards against heartbeats whose connections are lost because of the time until an upstream is
/// warm, so that its lease expires.
#[test]
fn extreme_times_until_warm_renew_the_lease_of_their_upstream() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    assert_eq!(table.announce(record(Duration::MAX, 1), now), Announced::News);
    assert_eq!(table.announce(record(Duration::MAX, 2), now), Announced::Renewed);
}
