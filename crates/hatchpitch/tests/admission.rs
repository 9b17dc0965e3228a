//! Decisions of admission: order, fairness, bounds, and the naive version beside them.

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

fn no_aging() -> AdmissionConfig {
    AdmissionConfig { oldest_every: u64::MAX, max_waiting: 1_000, ..AdmissionConfig::default() }
}

#[test]
fn a_higher_priority_is_served_first_and_displaces_the_last() {
    let now = Instant::now();
    let cfg = AdmissionConfig { max_waiting: 2, ..no_aging() };
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
fn equal_payers_get_equal_service_in_tokens_whatever_they_ask_for() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_aging());
    // A large workspace floods the queue with long requests before a small one asks.
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
fn who_would_wait_longer_than_it_accepts_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_aging());
    // Grants come every 200 ms, and four wait.
    for i in 0..8 {
        queue.enqueue(waiter("a", 5, 10, now));
        queue.grant(now + Duration::from_millis(200 * i));
    }
    for _ in 0..4 {
        queue.enqueue(waiter("a", 5, 10, now));
    }
    let accepts =
        |ms| Waiter { acceptable_wait: Duration::from_millis(ms), ..waiter("a", 5, 10, now) };
    assert_eq!(queue.enqueue(accepts(700)), Enqueued::Refused);
    assert!(queue.retry_after("a", 5) >= Duration::from_millis(800));
    // Another workspace has had no service yet, and is next.
    let other = Waiter { workspace: "b".to_owned(), ..accepts(700) };
    assert_eq!(queue.expected_wait("b", 5), Duration::ZERO);
    assert!(matches!(queue.enqueue(other), Enqueued::Waiting(_)));
    // Who pays more waits for nobody here.
    let urgent = Waiter { priority: 9, ..accepts(100) };
    assert!(matches!(queue.enqueue(urgent), Enqueued::Waiting(_)));
    assert!(matches!(queue.enqueue(accepts(1_500)), Enqueued::Waiting(_)));
    verify(&queue).unwrap();
}

#[test]
fn the_lowest_priority_is_served_in_the_end() {
    let now = Instant::now();
    let cfg = AdmissionConfig { oldest_every: 16, max_waiting: 1_000, ..no_aging() };
    let mut queue = AdmissionQueue::new(cfg);
    queue.enqueue(waiter("poor", 1, 10, now));
    for _ in 0..500 {
        queue.enqueue(waiter("rich", 9, 10, now));
    }
    let place = (0..500).find(|_| queue.grant(now).unwrap().1.workspace == "poor");
    assert!(place.unwrap() < 16, "{place:?}");
}

#[test]
fn a_request_that_waited_too_long_is_given_up_at_once() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(no_aging());
    queue.enqueue(waiter("a", 5, 10, now));
    let max_wait = no_aging().max_wait;
    queue.enqueue(waiter("b", 5, 10, now + max_wait / 2));
    assert_eq!(queue.expire(now + max_wait), [0]);
    assert_eq!(queue.len(), 1);
    verify(&queue).unwrap();
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_when_it_comes() {
    let mut now = Instant::now();
    let mut queue = AdmissionQueue::new(no_aging());
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

/// The same random arrivals and grants through the queue and its naive version.
#[test]
fn the_same_requests_are_served_by_the_fair_and_the_naive_order() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let now = Instant::now();
            let mut fair = AdmissionQueue::new(no_aging());
            let naive = AdmissionConfig { order: Order::Arrival, ..no_aging() };
            let mut naive = AdmissionQueue::new(naive);
            let (mut by_fair, mut by_naive) = (Vec::new(), Vec::new());
            for _ in 0..200 {
                if u.ratio(2, 3)? {
                    let name = format!("w{}", u.int_in_range(0..=5)?);
                    let one = waiter(&name, u.int_in_range(1..=9)?, u.int_in_range(1..=900)?, now);
                    assert_eq!(fair.enqueue(one.clone()), naive.enqueue(one));
                } else {
                    by_fair.extend(fair.grant(now).map(|(ticket, _)| ticket));
                    by_naive.extend(naive.grant(now).map(|(ticket, _)| ticket));
                }
                verify(&fair).unwrap();
                verify(&naive).unwrap();
                assert_eq!(fair.len(), naive.len());
            }
            by_fair.extend(std::iter::from_fn(|| fair.grant(now).map(|(t, _)| t)));
            by_naive.extend(std::iter::from_fn(|| naive.grant(now).map(|(t, _)| t)));
            assert!(by_naive.is_sorted(), "the naive order is that of arrival");
            by_fair.sort_unstable();
            assert_eq!(by_fair, by_naive, "nobody is lost and nobody served twice");
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

/// Counts how many requests an empty engine lets in.
fn let_in(policy: MemoryPolicy, lengths: &LengthModel) -> usize {
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
fn learned_lengths_decide_how_many_fit() {
    let (mut short, mut long) = (LengthModel::default(), LengthModel::default());
    for _ in 0..2_000 {
        short.observe("w", 10);
        long.observe("w", 800);
    }
    let policy = MemoryPolicy::Survival(3.0);
    let (many, few) = (let_in(policy, &short), let_in(policy, &long));
    assert!(many > 40, "short answers: {many}");
    assert!((2..=5).contains(&few), "long answers: {few}");
    assert_eq!(let_in(MemoryPolicy::Unlimited, &long), 1_000);
}

#[test]
fn survival_falls_and_follows_what_was_seen() {
    let mut lengths = LengthModel::default();
    for i in 0..2_000_u64 {
        lengths.observe("w", 1 + i % 100);
    }
    let chances: Vec<f64> = (0..200).map(|t| lengths.survival("w", f64::from(t))).collect();
    assert!(chances.windows(2).all(|pair| pair[0] >= pair[1]));
    assert!((0.4..0.6).contains(&chances[50]), "{}", chances[50]);
    assert!(chances[150] < 0.02, "{}", chances[150]);
    let quantile = lengths.quantile("w", 0.9);
    assert!((80..=110).contains(&quantile), "{quantile}");
}

#[test]
fn use_by_others_counts_and_a_lagging_report_does_not_count_twice() {
    let now = Instant::now();
    let mut memory = EngineMemory::default();
    for _ in 0..4 {
        memory.report(&report(1_000, 2_000), now);
    }
    assert!((0.45..0.55).contains(&memory.share(now)));
    memory.report(&report(0, 2_000), now);
    assert!(memory.share(now) < 0.01);
}
