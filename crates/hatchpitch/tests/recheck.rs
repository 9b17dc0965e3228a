//! Queued requests that can no longer start in time, and the times of return of refused callers.

use std::time::{Duration, Instant};

use hatchpitch::admission::recheck::{Finding, examine};
use hatchpitch::admission::state::{Enqueued, Waiter};
use hatchpitch::admission::verify::verify;
use hatchpitch::admission::{AdmissionConfig, AdmissionQueue, Policy, ReturnSchedule, Ticket};
use hatchpitch::dispatch::scheduler::UNTIMELY;
use hatchpitch::dispatch::{Decision, PoolScheduler, QueueRefusals, SlotRequest};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use hatchpitch::settings::diagnostic::load_toml;
use hatchpitch::settings::policy::RawPolicy;

const MS: Duration = Duration::from_millis(1);
/// Interval of the checks.
const STEP: Duration = Duration::from_millis(20);

fn queue() -> AdmissionQueue {
    let cfg = AdmissionConfig { rechecks: true, max_waiting: 1_000, ..AdmissionConfig::default() };
    AdmissionQueue::new(cfg)
}

fn enqueue(queue: &mut AdmissionQueue, priority: u8, limit: Duration, now: Instant) -> Ticket {
    let waiter = Waiter {
        workspace: "w".to_owned(),
        priority,
        cost: 10,
        since: now,
        acceptable_wait: Duration::MAX,
    };
    match queue.enqueue_with(waiter, Duration::MAX, limit) {
        Enqueued::Waiting(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Checks the queue until `until`, and removes what is found. Returns the tickets with the time.
fn check_until(
    queue: &mut AdmissionQueue,
    start: Instant,
    until: Duration,
) -> Vec<(Ticket, Duration)> {
    let (mut found, mut at) = (Vec::new(), Duration::ZERO);
    while at <= until {
        for untimely in queue.find_untimely(start + at) {
            queue.cancel(untimely.ticket);
            found.push((untimely.ticket, at));
        }
        verify(queue).unwrap();
        at += STEP;
    }
    found
}

/// Guards against refusals at the margin of an uncertain estimate, and against ones by an estimate
/// that has not stood.
#[test]
fn a_request_is_refused_only_by_a_clear_and_lasting_estimate() {
    let now = Instant::now();
    let examine =
        |expected: u32, left: u32, doubtful| examine(expected * MS, left * MS, doubtful, now);
    assert_eq!(examine(1_900, 1_000, None), Finding::InTime);
    assert_eq!(examine(2_200, 1_000, None), Finding::Doubtful(now));
    let since = |ms: u32| now.checked_sub(ms * MS);
    assert_eq!(examine(2_200, 1_000, since(100)), Finding::Doubtful(since(100).unwrap()));
    assert_eq!(examine(2_200, 1_000, since(200)), Finding::Untimely);
    assert_eq!(examine(1_500, 1_000, since(900)), Finding::Doubtful(since(900).unwrap()));
    assert_eq!(examine(1_000, 1_000, since(900)), Finding::InTime);
}

/// Guards against requests that are refused after their whole wait although capacity was lost long
/// before, and against refusals of those in front of them.
#[test]
fn the_last_requests_are_refused_when_capacity_is_lost() {
    let start = Instant::now();
    let mut queue = queue();
    queue.set_service_interval(Some(10 * MS));
    let tickets: Vec<Ticket> =
        (0..200).map(|_| enqueue(&mut queue, 1, 3_000 * MS, start)).collect();
    assert_eq!(check_until(&mut queue, start, 500 * MS), []);
    // Nine of ten engines are lost.
    queue.set_service_interval(Some(100 * MS));
    let start = start + 500 * MS;
    let found = check_until(&mut queue, start, 500 * MS);
    assert!(found.iter().all(|(_, at)| *at >= 200 * MS), "{found:?}");
    let last = tickets.len() - found.len();
    assert!((35..=60).contains(&last), "{last} stay");
    assert!(found.iter().all(|(ticket, _)| *ticket >= tickets[last]), "{found:?}");
}

/// Guards against refusals of requests with a long limit because of more urgent ones ahead of them
/// that will be refused themselves.
#[test]
fn less_urgent_requests_with_more_time_stay_behind_urgent_ones_that_are_refused() {
    let start = Instant::now();
    let mut queue = queue();
    queue.set_service_interval(Some(10 * MS));
    let long: Vec<Ticket> = (0..5).map(|_| enqueue(&mut queue, 0, 8_000 * MS, start)).collect();
    for _ in 0..200 {
        enqueue(&mut queue, 1, 1_000 * MS, start);
    }
    queue.set_service_interval(Some(100 * MS));
    let found = check_until(&mut queue, start, 500 * MS);
    assert!(found.len() > 150, "{}", found.len());
    assert!(found.iter().all(|(ticket, _)| !long.contains(ticket)), "{found:?}");
}

/// Guards against refusals after a change that is taken back, as when a fleet is learned of in
/// parts.
#[test]
fn capacity_that_comes_back_ends_the_doubt() {
    let start = Instant::now();
    let mut queue = queue();
    for _ in 0..100 {
        enqueue(&mut queue, 1, 2_000 * MS, start);
    }
    queue.set_service_interval(Some(100 * MS));
    assert_eq!(check_until(&mut queue, start, 120 * MS), []);
    queue.set_service_interval(Some(10 * MS));
    assert_eq!(check_until(&mut queue, start + 140 * MS, 500 * MS), []);
}

/// Guards against counts that go wrong as requests arrive, leave and become overdue between the
/// steps of a check.
#[test]
fn counts_hold_for_random_changes() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let (mut now, mut queue) = (Instant::now(), queue());
            let mut next = 0;
            for _ in 0..300 {
                match u.int_in_range(0..=5)? {
                    0..=2 => {
                        let waiter = Waiter {
                            workspace: u.int_in_range(0..=3)?.to_string(),
                            priority: u.int_in_range(0..=2)?,
                            cost: u.int_in_range(1..=900)?,
                            since: now,
                            acceptable_wait: Duration::MAX,
                        };
                        let overdue_after = u.int_in_range(0..=600)? * MS;
                        let limit = u.int_in_range(0..=3_000)? * MS;
                        queue.enqueue_with(waiter, overdue_after, limit);
                        next += 1;
                    }
                    3 => drop(queue.grant(now)),
                    4 => drop(queue.cancel(u.int_in_range(0..=next)?)),
                    _ => {
                        queue.set_service_interval(Some(u.int_in_range(1..=200)? * MS));
                        queue.demote_overdue(now);
                    }
                }
                for untimely in queue.find_untimely(now) {
                    assert!(queue.cancel(untimely.ticket).is_some());
                }
                verify(&queue).unwrap();
                now += u.int_in_range(0..=40)? * MS;
            }
            Ok(())
        })
        .seed(seed << 32 | 0x8000)
        .run();
    }
}

fn engine(index: u8) -> RunnerSpec {
    RunnerSpec {
        name: format!("e{index}"),
        addr: ([10, 0, 0, index], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 1,
        memory: None,
        copy_rate: f64::INFINITY,
    }
}

fn request(id: u64) -> SlotRequest {
    SlotRequest {
        id: id.to_string(),
        workspace: "w".to_owned(),
        kind: "k".to_owned(),
        max_tokens: 100,
        max_wait: Some(3_000 * MS),
        ..SlotRequest::default()
    }
}

/// Returns a scheduler with eight engines that take 500 ms for a request and run one each, and with
/// 20 queued requests; also the engines and ids of the running requests, and the current time.
fn busy_scheduler(rechecks: bool) -> (PoolScheduler, Vec<(String, u64)>, Instant) {
    let start = Instant::now();
    let cfg = AdmissionConfig { rechecks, ..AdmissionConfig::default() };
    let mut scheduler = PoolScheduler::new(cfg, RoutingConfig::default());
    scheduler.update(start, |table| table.sync((0..8).map(engine)));
    let Decision::Run(spec) = scheduler.decide(&request(0), start) else { panic!("no slot") };
    let report = RunReport { verdict: Verdict::Succeeded, ..RunReport::RELEASED };
    let now = start + 500 * MS;
    scheduler.release(&spec.name, &request(0), 0, report, now);
    let mut running = Vec::new();
    for id in 1..=8 {
        let decision = scheduler.decide(&request(id), now);
        let Decision::Run(spec) = decision else { panic!("{id}: {decision:?}") };
        running.push((spec.name, id));
    }
    for id in 9..29 {
        assert!(matches!(scheduler.decide(&request(id), now), Decision::Wait(_)), "{id}");
    }
    (scheduler, running, now)
}

/// Lets seven of the engines of a busy scheduler leave, and ticks for 300 ms. Returns the scheduler
/// and the refusals, with their times.
fn lose_engines(rechecks: bool) -> (PoolScheduler, Vec<(String, Duration, Duration)>) {
    let (mut scheduler, _, now) = busy_scheduler(rechecks);
    scheduler.update(now, |table| table.sync([engine(0)]));
    let mut refused = Vec::new();
    for step in 0..=15 {
        let at = step * STEP;
        scheduler.tick(now + at);
        for answer in scheduler.take_answers() {
            let refusal = answer.slot.unwrap_err();
            assert_eq!(refusal.cause, UNTIMELY);
            refused.push((answer.id, at, refusal.retry_after));
        }
    }
    (scheduler, refused)
}

/// Guards against refusals that come after the whole wait, and against times of return at which the
/// request could not be served either.
#[test]
fn a_scheduler_refuses_what_it_can_no_longer_serve_when_engines_leave() {
    let (mut scheduler, refused) = lose_engines(true);
    // One engine serves six requests in the time that is left, and the margin is as much again.
    assert!((5..=10).contains(&refused.len()), "{refused:?}");
    assert!(refused.iter().all(|(id, ..)| id.parse::<u64>().unwrap() >= 18), "{refused:?}");
    assert!(refused.iter().all(|(_, at, _)| *at >= 200 * MS), "{refused:?}");
    assert!(refused.iter().all(|(.., retry)| *retry >= 5_000 * MS), "{refused:?}");
    let is_in_order = |pair: &[(String, Duration, Duration)]| {
        pair[0].1 != pair[1].1 || (pair[0].0 < pair[1].0 && pair[0].2 < pair[1].2)
    };
    assert!(refused.windows(2).all(is_in_order), "{refused:?}");
    let untimely = refused.len() as u64;
    assert_eq!(scheduler.take_refusals(), QueueRefusals { untimely, ..QueueRefusals::default() });
    assert_eq!(scheduler.take_refusals(), QueueRefusals::default());
}

/// Guards against a change of behaviour where the check is off.
#[test]
fn a_scheduler_without_the_check_refuses_nothing_early() {
    assert_eq!(lose_engines(false).1, []);
}

/// Guards against a key of the settings that is read by nothing.
#[test]
fn the_check_is_off_unless_the_settings_enable_it() {
    let policy = |text| load_toml::<RawPolicy, Policy>("policy.toml", text).unwrap();
    assert!(!policy("").requeue_checks && !AdmissionConfig::default().rechecks);
    assert!(policy("requeue_checks = true").requeue_checks);
}

/// Guards against callers that return together, before they can be served, or in another order
/// than they were refused in.
#[test]
fn times_of_return_are_spread_in_order_of_refusal() {
    let (mut returns, now) = (ReturnSchedule::default(), Instant::now());
    let wait = 800 * MS;
    let times: Vec<Duration> =
        (0..100).map(|_| returns.assign(1, wait, Some(50 * MS), now)).collect();
    assert_eq!(times[..4], [800 * MS, 850 * MS, 900 * MS, 950 * MS]);
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times[99] <= wait + Duration::from_secs(1), "{times:?}");
    // The places have passed.
    let later = now + Duration::from_secs(3);
    assert_eq!(returns.assign(1, wait, Some(50 * MS), later), wait);
}

/// Guards against urgent callers that are told to return after less urgent ones.
#[test]
fn more_urgent_callers_return_first() {
    let (mut returns, now) = (ReturnSchedule::default(), Instant::now());
    let mut assign = |priority| returns.assign(priority, 500 * MS, Some(50 * MS), now);
    assert_eq!([assign(0), assign(0), assign(2)], [500 * MS, 550 * MS, 500 * MS]);
    assert_eq!([assign(2), assign(1)], [550 * MS, 600 * MS]);
    assert!(assign(0) > 600 * MS);
}

/// Guards against times that are shorter than the expected wait.
#[test]
fn a_time_of_return_is_never_shorter_than_the_expected_wait() {
    let (mut returns, start) = (ReturnSchedule::default(), Instant::now());
    for i in 0..200 {
        let wait = (i * 37 % 1_000) * MS;
        let interval = (i % 3 != 0).then_some((i % 90) * MS);
        let time = returns.assign((i % 4) as u8, wait, interval, start + i * 10 * MS);
        assert!(time >= wait && time <= wait + Duration::from_secs(1), "{i}: {time:?}");
    }
}

/// Guards against refusals while engines are ejected for a moment, when few requests run and the
/// estimate of the wait is far too long.
#[test]
fn a_short_ejection_of_engines_refuses_nothing() {
    let (mut scheduler, running, now) = busy_scheduler(true);
    let failed = RunReport { verdict: Verdict::Failed, ..RunReport::RELEASED };
    for (name, id) in &running[1..] {
        scheduler.release(name, &request(*id), 0, failed, now);
    }
    for step in 0..=15 {
        scheduler.tick(now + step * STEP);
        assert_eq!(scheduler.take_answers(), []);
    }
}
