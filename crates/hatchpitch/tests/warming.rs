//! What cold runners get: from the box that decides for them, and from all boxes together where
//! each decides for itself.

use std::time::{Duration, Instant};

use hatchpitch::admission::lengths::LengthModel;
use hatchpitch::admission::memory::Candidate;
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::warming::Warming;
use hatchpitch::routing::{ColdLimit, RoutingConfig, RunnerTable};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the most requests within any second, given when they were sent.
fn busiest_second(sent: &[Duration]) -> usize {
    let from = |at: &Duration| sent.iter().filter(|t| **t >= *at && **t < *at + SECOND).count();
    sent.iter().map(from).max().unwrap_or(0)
}

/// Returns when requests are sent to a runner that is cold for `lasts` if each of some boxes has
/// one to send every `every`.
fn sent(senders: usize, rate: f64, lasts: Duration, every: Duration, seed: u64) -> Vec<Duration> {
    let start = Instant::now();
    let mut boxes: Vec<(Warming, ColdLimit)> = (0..senders)
        .map(|n| {
            // Spread as a hash of the box's name spreads it.
            let hash = (n as u64 + seed * 7_919).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
            let phase = hash as f64 / (1_u64 << 53) as f64;
            let mut warming = Warming::default();
            warming.set_until(start + lasts, start);
            (warming, ColdLimit { rate, senders, phase })
        })
        .collect();
    let mut sent = Vec::new();
    let mut at = Duration::ZERO;
    while at < lasts {
        for (warming, limit) in &mut boxes {
            if warming.admits(Some(*limit), start + at) {
                warming.take(Some(*limit), start + at);
                sent.push(at);
            }
        }
        at += every;
    }
    sent
}

#[test]
fn one_decider_keeps_the_rate_and_uses_it() {
    for rate in [2.0, 27.0, 140.0] {
        let sent = sent(1, rate, SECOND * 5, MS, 0);
        let busiest = busiest_second(&sent) as f64;
        assert!(busiest <= rate * 1.1 + 1.0, "{busiest} of {rate}");
        assert!(sent.len() as f64 >= rate * 5.0 * 0.85, "{} of {}", sent.len(), rate * 5.0);
    }
}

#[test]
fn boxes_that_decide_for_themselves_keep_the_rate_together() {
    for (senders, rate) in [(3, 27.0), (12, 4.0), (71, 27.0), (300, 27.0), (300, 400.0)] {
        for seed in 0..10 {
            let sent = sent(senders, rate, SECOND * 6, MS, seed);
            let busiest = busiest_second(&sent) as f64;
            // What such a runner bears: half more than its rate, and five.
            assert!(busiest <= rate * 1.5 + 5.0, "{senders} boxes: {busiest} of {rate}");
            let share = sent.len() as f64 / (rate * 6.0);
            assert!(share >= 0.6, "{senders} boxes use {share} of {rate}");
        }
    }
}

#[test]
fn turns_that_are_not_used_are_not_saved_up() {
    // Nothing to send for most of the spell, then all boxes have much at once.
    let (senders, rate) = (71, 27.0);
    let mut late = sent(senders, rate, SECOND * 9, MS, 3);
    late.retain(|at| *at >= SECOND * 7);
    assert!(busiest_second(&late) as f64 <= rate * 1.5 + 5.0);
}

#[test]
fn a_runner_may_become_cold_more_than_once() {
    let now = Instant::now();
    let limit = Some(ColdLimit { rate: 10.0, senders: 1, phase: 0.0 });
    let mut warming = Warming::default();
    for spell in 0..3_u32 {
        let at = now + SECOND * 10 * spell;
        assert!(!warming.is_cold(at));
        warming.set_until(at + SECOND, at);
        assert!(warming.admits(limit, at));
        warming.take(limit, at);
        assert!(!warming.admits(limit, at + MS));
        let next = (1..=101).find(|ms| warming.admits(limit, at + MS * *ms));
        assert!(next.is_some_and(|ms| ms > 1), "{next:?}: a turn comes within each period");
        // Told again that it is cold, it does not begin anew.
        warming.set_until(at + SECOND, at + 2 * MS);
        assert!(!warming.admits(limit, at + 3 * MS));
        assert!(warming.admits(limit, at + SECOND), "it is warm");
    }
    assert!(warming.admits(None, now), "nothing bounds it");
}

fn spec(name: &str) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 200,
        memory: None,
        copy_rate: f64::INFINITY,
    }
}

/// Lets requests onto two runners for a second, the first of which is cold; returns what it got.
fn picked_cold(per_second: u32) -> u32 {
    let start = Instant::now();
    let mut table = RunnerTable::new(RoutingConfig::default());
    table.sync([spec("cold"), spec("warm")]);
    let limit = ColdLimit { rate: 27.0, senders: 1, phase: 0.3 };
    let until = start + SECOND * 2;
    table.set_cold(|spec| (spec.name == "cold").then_some((until, limit)), start);
    let candidate = Candidate { kind: "k".to_owned(), prompt: 0, max_output: 10 };
    let lengths = LengthModel::default();
    let mut cold = 0;
    for n in 0..per_second {
        let (id, now) = (n.to_string(), start + SECOND / per_second * n);
        let asked = RunnerQuery {
            priority: 0,
            skips_limited: false,
            sends_here: false,
            only_try: false,
            id: &id,
            avoid: &[],
            near: None,
            copied: 0,
            within: &[],
        };
        let spec = table.pick(&asked, &candidate, &lengths, now).expect("the warm one has room");
        cold += u32::from(spec.name == "cold");
    }
    cold
}

#[test]
fn a_cold_runner_gets_what_it_bears_and_the_others_the_rest() {
    let cold = picked_cold(160);
    assert!((20..=32).contains(&cold), "{cold}");
    let cold = picked_cold(20);
    assert!((8..=20).contains(&cold), "{cold}: below its rate it is picked as any other");
}

#[test]
fn runners_outside_the_allowed_failure_domains_are_not_picked() {
    let now = Instant::now();
    let mut table = RunnerTable::new(RoutingConfig::default());
    let there = RunnerSpec { failure_domain: "e".to_owned(), ..spec("there") };
    table.sync([spec("here"), there]);
    let candidate = Candidate { kind: "k".to_owned(), prompt: 0, max_output: 10 };
    let within = ["e".to_owned()];
    for n in 0..20 {
        let id = n.to_string();
        let asked = RunnerQuery {
            priority: 0,
            skips_limited: false,
            sends_here: false,
            only_try: false,
            id: &id,
            avoid: &[],
            near: Some("d"),
            copied: 0,
            within: &within,
        };
        let picked = table.pick(&asked, &candidate, &LengthModel::default(), now).unwrap();
        assert_eq!(picked.name, "there");
    }
}
