//! A line before engines of which some name limits.

use std::time::{Duration, Instant};

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, SlotRequest, verify};
use hatchpitch::ids::Priority;
use hatchpitch::routing::RoutingConfig;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::upstream_heads::SharedSignals;
use hatchpitch::upstream_limits::{Decider, Heard, RateLimit, SharedLimits};

const SECOND: Duration = Duration::from_secs(1);
/// Requests a second that the limited engine names.
const LIMIT: f64 = 2.0;

/// A line before engines, of which `limited` name a limit, and the limits.
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
        limits.borrow_mut().hear(name, Heard { limit, sent: now, at: now }, now);
        let decider = Decider { addr: ([10, 0, 0, 1], 1).into(), is_own: true, part: 1.0 };
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
fn engines_without_a_limit_take_the_rest() {
    let start = Instant::now();
    let (mut line, _) = line(&["free", "limited"], &["limited"], start);
    let mut got = [0, 0];
    for id in 0..400 {
        // 100 a second.
        let now = start + SECOND / 100 * id;
        match line.decide(&want(u64::from(id), 1, Duration::ZERO), now) {
            Decision::Run(spec) => got[usize::from(spec.name == "limited")] += 1,
            other => panic!("{id}: {other:?}"),
        }
    }
    assert!((7..=9).contains(&got[1]), "{got:?}");
}

#[test]
fn what_would_wait_too_long_is_refused_at_once_with_the_time_to_come_back() {
    let start = Instant::now();
    let (mut line, _) = line(&["limited"], &["limited"], start);
    let Decision::Refuse(refusal) = line.decide(&want(1, 1, SECOND / 10), start) else {
        panic!("not refused");
    };
    assert_eq!(refusal.retry_after, SECOND / 2, "two a second, and none was saved up");
    let Ok(Quote::Busy(wait)) = line.quote(&want(2, 1, SECOND / 10), start) else {
        panic!("not busy");
    };
    assert_eq!(wait, SECOND / 2);
    let come_back = line.decide(&want(1, 1, SECOND / 10), start + refusal.retry_after);
    assert!(matches!(come_back, Decision::Run(_)), "{come_back:?}");
    verify::verify(&line).unwrap();
}

#[test]
fn who_waits_for_a_limit_is_let_in_by_priority() {
    let start = Instant::now();
    let (mut line, _) = line(&["limited"], &["limited"], start);
    for (id, priority) in [(1, 1), (2, 5), (3, 1)] {
        let decided = line.decide(&want(id, priority, SECOND * 5), start);
        assert!(matches!(decided, Decision::Wait(_)), "{id}: {decided:?}");
    }
    let mut order = Vec::new();
    // Some permits are kept back for two seconds in case that more urgent ones come.
    for tick in 0..200 {
        line.tick(start + SECOND / 50 * tick);
        order.extend(line.take_answers().into_iter().filter(|a| a.slot.is_ok()).map(|a| a.id));
    }
    assert_eq!(order, ["2", "1", "3"]);
}

/// Other boxes took each permit as soon as it was there, between two looks of the line at the box
/// that gives them out, and a request that was to wait for 100 ms waited for 1.5 s.
#[test]
fn who_waits_for_a_limit_in_vain_is_refused_when_it_has_waited_as_long_as_it_may() {
    let start = Instant::now();
    let (mut line, limits) = line(&["limited"], &["limited"], start);
    let soon = start + SECOND * 2 / 5;
    let decided = line.decide(&want(1, 1, SECOND / 5), soon);
    assert!(matches!(decided, Decision::Wait(_)), "{decided:?}");
    let mut ended = None;
    for tick in 1..100 {
        let now = soon + SECOND / 50 * tick;
        // Somebody else is always faster.
        limits.borrow_mut().take("limited", 1, now);
        line.tick(now);
        if let Some(answer) = line.take_answers().pop() {
            ended = Some((now - soon, answer.slot.unwrap_err()));
            break;
        }
    }
    let (waited, refusal) = ended.expect("it waits for ever");
    assert_eq!(waited, SECOND / 5);
    assert!(!refusal.retry_after.is_zero() && refusal.retry_after <= SECOND, "{refusal:?}");
    verify::verify(&line).unwrap();
}

#[test]
fn a_slot_that_is_given_up_unused_costs_its_workspace_nothing() {
    let start = Instant::now();
    let (mut line, limits) = line(&["free"], &[], start);
    let before = line.cost(&want(1, 1, SECOND));
    let first = want(1, 1, SECOND);
    let Decision::Run(spec) = line.decide(&first, start) else { panic!("not let in") };
    line.release_unused(&spec.name, &first, before, start);
    assert_eq!(line.cost(&first), before);
    assert_eq!(limits.borrow().limited(), 0);
    verify::verify(&line).unwrap();
}

#[test]
fn one_that_was_turned_away_often_goes_to_engines_without_a_limit_only() {
    let start = Instant::now();
    let (mut line, _) = line(&["a", "b"], &["a", "b"], start);
    let later = start + SECOND * 2;
    let skips = SlotRequest { skips_limited: true, ..want(1, 1, Duration::ZERO) };
    let decided = line.decide(&skips, later);
    assert!(matches!(&decided, Decision::Refuse(r) if !r.retry_after.is_zero()), "{decided:?}");
    assert!(matches!(line.decide(&want(2, 1, Duration::ZERO), later), Decision::Run(_)));
}
