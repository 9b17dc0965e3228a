//! Admission queue of engines of which some set limits.

use std::time::{Duration, Instant};

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, SlotRequest, verify};
use hatchpitch::ids::Priority;
use hatchpitch::routing::RoutingConfig;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::upstream_limits::{Decider, LimitObservation, RateLimit, SharedLimits};
use hatchpitch::upstream_signals::SharedSignals;

const SECOND: Duration = Duration::from_secs(1);
/// Limit that the limited engines set, in requests a second.
const LIMIT: f64 = 2.0;

/// Creates a queue for `engines`, of which `limited` set a limit, and returns it with the limits.
fn line(engines: &[&str], limited: &[&str], now: Instant) -> (PoolScheduler, SharedLimits) {
    let limits = SharedLimits::default();
    let admission = AdmissionConfig::default();
    let mut line = PoolScheduler::new(admission, RoutingConfig::default())
        .with_signals(SharedSignals { limits: limits.clone(), ..SharedSignals::default() });
    let spec = |name: &&str| RunnerSpec {
        name: (*name).to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 1_000,
        memory: None,
        copy_rate: f64::INFINITY,
    };
    line.update(now, |table| table.sync(engines.iter().map(spec)));
    let limit = Some(RateLimit::try_from(LIMIT).unwrap());
    for name in limited {
        limits.borrow_mut().observe(
            name,
            LimitObservation { limit, sent: now, received: now },
            now,
        );
        let decider = Decider { addr: ([10, 0, 0, 1], 1).into(), is_own: true, share: 1.0 };
        limits.borrow_mut().set_decider(name, decider, now);
    }
    (line, limits)
}

fn want(id: u64, priority: Priority, limit_wait: Duration) -> SlotRequest {
    SlotRequest {
        id: id.to_string(),
        workspace: "w".to_owned(),
        priority,
        kind: "k".to_owned(),
        limit_wait: Some(limit_wait),
        ..SlotRequest::default()
    }
}

#[test]
fn engines_without_a_limit_take_the_excess() {
    let start = Instant::now();
    let (mut line, _) = line(&["free", "limited"], &["limited"], start);
    let mut counts = [0, 0];
    for id in 0..400 {
        // 100 requests a second.
        let now = start + SECOND / 100 * id;
        match line.decide(&want(u64::from(id), 1, Duration::ZERO), now) {
            Decision::Run(spec) => counts[usize::from(spec.name == "limited")] += 1,
            other => panic!("{id}: {other:?}"),
        }
    }
    assert!((7..=9).contains(&counts[1]), "{counts:?}");
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once_with_a_retry_time() {
    let start = Instant::now();
    let (mut line, _) = line(&["limited"], &["limited"], start);
    let Decision::Refuse(refusal) = line.decide(&want(1, 1, SECOND / 10), start) else {
        panic!("not refused");
    };
    assert_eq!(refusal.retry_after, SECOND / 2, "two a second, and the bucket starts empty");
    let Ok(Quote::Busy(wait)) = line.quote(&want(2, 1, SECOND / 10), start) else {
        panic!("not busy");
    };
    assert_eq!(wait, SECOND / 2);
    let retried = line.decide(&want(1, 1, SECOND / 10), start + refusal.retry_after);
    assert!(matches!(retried, Decision::Run(_)), "{retried:?}");
    verify::verify(&line).unwrap();
}

#[test]
fn requests_that_wait_for_a_limit_are_admitted_by_priority() {
    let start = Instant::now();
    let (mut line, _) = line(&["limited"], &["limited"], start);
    for (id, priority) in [(1, 1), (2, 5), (3, 1)] {
        let decided = line.decide(&want(id, priority, SECOND * 5), start);
        assert!(matches!(decided, Decision::Wait(_)), "{id}: {decided:?}");
    }
    let mut order = Vec::new();
    // Some permits stay reserved for two seconds for more urgent requests.
    for tick in 0..200 {
        line.tick(start + SECOND / 50 * tick);
        order.extend(line.take_answers().into_iter().filter(|a| a.slot.is_ok()).map(|a| a.id));
    }
    assert_eq!(order, ["2", "1", "3"]);
}

/// Guards against a wait beyond the wait limit: other boxes took each permit as soon as it was
/// available, between two ticks of the queue, and a request with a wait limit of 100 ms waited for
/// 1.5 s.
#[test]
fn a_request_without_a_permit_is_refused_after_its_wait_limit() {
    let start = Instant::now();
    let (mut line, limits) = line(&["limited"], &["limited"], start);
    let arrived = start + SECOND * 2 / 5;
    let decided = line.decide(&want(1, 1, SECOND / 5), arrived);
    assert!(matches!(decided, Decision::Wait(_)), "{decided:?}");
    let mut ended = None;
    for tick in 1..100 {
        let now = arrived + SECOND / 50 * tick;
        // Another request takes each permit first.
        limits.borrow_mut().take("limited", 1, now);
        line.tick(now);
        if let Some(answer) = line.take_answers().pop() {
            ended = Some((now - arrived, answer.slot.unwrap_err()));
            break;
        }
    }
    let (waited, refusal) = ended.expect("never answered");
    assert_eq!(waited, SECOND / 5);
    assert!(!refusal.retry_after.is_zero() && refusal.retry_after <= SECOND, "{refusal:?}");
    verify::verify(&line).unwrap();
}

#[test]
fn an_unused_slot_is_not_charged_to_its_workspace() {
    let start = Instant::now();
    let (mut line, limits) = line(&["free"], &[], start);
    let before = line.cost(&want(1, 1, SECOND));
    let first = want(1, 1, SECOND);
    let Decision::Run(spec) = line.decide(&first, start) else { panic!("not admitted") };
    line.release_unused(&spec.name, &first, before, start);
    assert_eq!(line.cost(&first), before);
    assert_eq!(limits.borrow().limited(), 0);
    verify::verify(&line).unwrap();
}

#[test]
fn a_request_that_skips_limited_engines_is_refused_if_all_are_limited() {
    let start = Instant::now();
    let (mut line, _) = line(&["a", "b"], &["a", "b"], start);
    let later = start + SECOND * 2;
    let unlimited_only = SlotRequest { skips_limited: true, ..want(1, 1, Duration::ZERO) };
    let decided = line.decide(&unlimited_only, later);
    assert!(matches!(&decided, Decision::Refuse(r) if !r.retry_after.is_zero()), "{decided:?}");
    assert!(matches!(line.decide(&want(2, 1, Duration::ZERO), later), Decision::Run(_)));
}
