//! Admission queue (order, fairness, limits, comparison with the arrival order), length model and
//! memory model.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hatchpitch::admission::memory::{Candidate, EngineMemory, MemoryPolicy};
use hatchpitch::admission::state::{Enqueued, Waiter};
use hatchpitch::admission::verify::verify;
use hatchpitch::admission::{AdmissionConfig, AdmissionQueue, LengthModel, Order};
use hatchpitch::engine::EngineLoad;

fn waiter(workspace: &str, priority: u8, cost: u64, since: Instant) -> Waiter {
    Waiter {
        workspace: workspace.to_owned(),
        priority,
        cost,
        since,
        acceptable_wait: Duration::MAX,
    }
}

/// Configuration without the grants to the oldest request.
fn no_oldest_first() -> AdmissionConfig {
    AdmissionConfig { oldest_every: u64::MAX, max_waiting: 1_000, ..AdmissionConfig::default() }
}

#[test]
fn higher_priority_is_served_first_and_displaces_the_last() {
    let now = Instant::now();
    let cfg = AdmissionConfig { max_waiting: 2, ..no_oldest_first() };
    let mut queue = AdmissionQueue::new(cfg);
    assert_eq!(queue.enqueue(waiter("a", 1, 10, now)), Enqueued::Waiting(0));
    assert_eq!(queue.enqueue(waiter("b", 5, 10, now)), Enqueued::Waiting(1));
    assert_eq!(queue.enqueue(waiter("c", 1, 10, now)), Enqueued::Refused);
    let displaced = queue.enqueue(waiter("d", 9, 10, now));
    assert_eq!(displaced, Enqueued::Displaced { ticket: 2, refused: 0 });
    let order: Vec<u64> = std::iter::from_fn(|| queue.grant(now).map(|(t, _)| t)).collect();
    assert_eq!(order, [2, 1]);
}

#[test]
fn equal_priorities_get_equal_service_in_tokens() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_oldest_first());
    // One workspace floods the queue with long requests before another sends short ones.
    for _ in 0..300 {
        queue.enqueue(waiter("large", 5, 400, now));
    }
    for _ in 0..300 {
        queue.enqueue(waiter("small", 5, 50, now));
    }
    let mut served: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..200 {
        let (_, granted) = queue.grant(now).unwrap();
        *served.entry(granted.workspace).or_default() += granted.cost;
        verify(&queue).unwrap();
    }
    let (large, small) = (served["large"] as f64, served["small"] as f64);
    assert!((0.9..1.1).contains(&(large / small)), "{served:?}");
}

#[test]
fn refuses_a_request_above_its_acceptable_wait() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_oldest_first());
    // Grants are 200 ms apart, and four requests wait.
    for i in 0..8 {
        queue.enqueue(waiter("a", 5, 10, now));
        queue.grant(now + Duration::from_millis(200 * i));
    }
    for _ in 0..4 {
        queue.enqueue(waiter("a", 5, 10, now));
    }
    let with_acceptable_wait =
        |ms| Waiter { acceptable_wait: Duration::from_millis(ms), ..waiter("a", 5, 10, now) };
    assert_eq!(queue.enqueue(with_acceptable_wait(700)), Enqueued::Refused);
    assert!(queue.retry_after("a", 5) >= Duration::from_millis(800));
    // Another workspace has received no service yet, so its request is next.
    let other = Waiter { workspace: "b".to_owned(), ..with_acceptable_wait(700) };
    assert_eq!(queue.expected_wait("b", 5), Duration::ZERO);
    assert!(matches!(queue.enqueue(other), Enqueued::Waiting(_)));
    // A request of a higher priority has nothing ahead of it.
    let urgent = Waiter { priority: 9, ..with_acceptable_wait(100) };
    assert!(matches!(queue.enqueue(urgent), Enqueued::Waiting(_)));
    assert!(matches!(queue.enqueue(with_acceptable_wait(1_500)), Enqueued::Waiting(_)));
    verify(&queue).unwrap();
}

#[test]
fn low_priority_is_not_starved() {
    let now = Instant::now();
    let cfg = AdmissionConfig { oldest_every: 16, max_waiting: 1_000, ..no_oldest_first() };
    let mut queue = AdmissionQueue::new(cfg);
    queue.enqueue(waiter("low", 1, 10, now));
    for _ in 0..500 {
        queue.enqueue(waiter("high", 9, 10, now));
    }
    let place = (0..500).find(|_| queue.grant(now).unwrap().1.workspace == "low");
    assert!(place.unwrap() < 16, "{place:?}");
}

#[test]
fn expires_requests_at_the_maximum_wait() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_oldest_first());
    queue.enqueue(waiter("a", 5, 10, now));
    let max_wait = no_oldest_first().max_wait;
    queue.enqueue(waiter("b", 5, 10, now + max_wait / 2));
    assert_eq!(queue.expire(now + max_wait), [0]);
    assert_eq!(queue.len(), 1);
    verify(&queue).unwrap();
}

#[test]
fn refuses_a_request_above_the_maximum_wait() {
    let mut now = Instant::now();
    let mut queue = AdmissionQueue::new(no_oldest_first());
    for _ in 0..100 {
        queue.enqueue(waiter("a", 5, 10, now));
    }
    for _ in 0..40 {
        now += Duration::from_millis(900);
        queue.grant(now);
    }
    assert_eq!(queue.enqueue(waiter("a", 5, 10, now)), Enqueued::Refused);
    assert!(queue.retry_after("a", 5) >= Duration::from_secs(1));
    assert!(matches!(queue.enqueue(waiter("b", 5, 10, now)), Enqueued::Waiting(_)));
    assert!(matches!(queue.enqueue(waiter("c", 9, 10, now)), Enqueued::Waiting(_)));
}

/// Applies the same random arrivals and grants to a queue in fair order and one in arrival order.
#[test]
fn fair_and_arrival_order_serve_the_same_requests() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let now = Instant::now();
            let mut fair = AdmissionQueue::new(no_oldest_first());
            let cfg = AdmissionConfig { order: Order::Arrival, ..no_oldest_first() };
            let mut arrival = AdmissionQueue::new(cfg);
            let (mut served_fair, mut served_arrival) = (Vec::new(), Vec::new());
            for _ in 0..200 {
                if u.ratio(2, 3)? {
                    let name = format!("w{}", u.int_in_range(0..=5)?);
                    let one = waiter(&name, u.int_in_range(1..=9)?, u.int_in_range(1..=900)?, now);
                    assert_eq!(fair.enqueue(one.clone()), arrival.enqueue(one));
                } else {
                    served_fair.extend(fair.grant(now).map(|(ticket, _)| ticket));
                    served_arrival.extend(arrival.grant(now).map(|(ticket, _)| ticket));
                }
                verify(&fair).unwrap();
                verify(&arrival).unwrap();
                assert_eq!(fair.len(), arrival.len());
            }
            served_fair.extend(std::iter::from_fn(|| fair.grant(now).map(|(t, _)| t)));
            served_arrival.extend(std::iter::from_fn(|| arrival.grant(now).map(|(t, _)| t)));
            assert!(served_arrival.is_sorted(), "served in order of arrival");
            served_fair.sort_unstable();
            assert_eq!(served_fair, served_arrival, "no request is lost or served twice");
            Ok(())
        })
        .seed(seed << 32 | 0x8000)
        .run();
    }
}

fn report(used: u64, limit: u64) -> EngineLoad {
    EngineLoad {
        incarnation: 1,
        leaving: false,
        memory_used: used,
        memory_limit: limit,
        running: 0,
        waiting: 0,
        preemptions: 0,
    }
}

/// Returns how many requests an empty engine admits.
fn admitted(policy: MemoryPolicy, lengths: &LengthModel) -> usize {
    let now = Instant::now();
    let mut memory = EngineMemory::default();
    memory.report(&report(0, 4_000), now);
    let candidate = Candidate { kind: "w".to_owned(), prompt: 50, max_output: u64::MAX };
    for i in 0..1_000 {
        if !memory.fits(policy, &candidate, lengths, now) {
            return i;
        }
        memory.add(format!("g{i}"), candidate.clone(), now);
    }
    1_000
}

#[test]
fn admits_by_learned_lengths() {
    let (mut short, mut long) = (LengthModel::default(), LengthModel::default());
    for _ in 0..2_000 {
        short.observe("w", 10);
        long.observe("w", 800);
    }
    let policy = MemoryPolicy::Survival(3.0);
    let (many, few) = (admitted(policy, &short), admitted(policy, &long));
    assert!(many > 40, "short outputs: {many}");
    assert!((2..=5).contains(&few), "long outputs: {few}");
    assert_eq!(admitted(MemoryPolicy::Unlimited, &long), 1_000);
}

#[test]
fn survival_is_monotonic_and_follows_the_samples() {
    let mut lengths = LengthModel::default();
    for i in 0..2_000_u64 {
        lengths.observe("w", 1 + i % 100);
    }
    let survival: Vec<f64> = (0..200).map(|t| lengths.survival("w", f64::from(t))).collect();
    assert!(survival.windows(2).all(|pair| pair[0] >= pair[1]));
    assert!((0.4..0.6).contains(&survival[50]), "{}", survival[50]);
    assert!(survival[150] < 0.02, "{}", survival[150]);
    let quantile = lengths.quantile("w", 0.9);
    assert!((80..=110).contains(&quantile), "{quantile}");
}

#[test]
fn unattributed_use_is_the_minimum_over_recent_reports() {
    let now = Instant::now();
    let mut memory = EngineMemory::default();
    for _ in 0..4 {
        memory.report(&report(1_000, 2_000), now);
    }
    assert!((0.45..0.55).contains(&memory.utilization(now)));
    memory.report(&report(0, 2_000), now);
    assert!(memory.utilization(now) < 0.01);
}
