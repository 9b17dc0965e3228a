//! Rate limit of cold runners: by the one box that decides for a runner, and by all boxes together
//! where each decides for itself.

use std::time::{Duration, Instant};

use hatchpitch::admission::lengths::LengthModel;
use hatchpitch::admission::memory::Candidate;
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::warmup::WarmupLimiter;
use hatchpitch::routing::{ColdLimit, RoutingConfig, RunnerTable};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the maximum number of requests within any second, given their send times.
fn max_per_second(sent: &[Duration]) -> usize {
    let count_from =
        |at: &Duration| sent.iter().filter(|t| **t >= *at && **t < *at + SECOND).count();
    sent.iter().map(count_from).max().unwrap_or(0)
}

/// Returns the send times of requests to a runner that is cold for `duration` if each of `senders`
/// boxes has a request to send every `interval`.
fn simulate(
    senders: usize,
    rate: f64,
    duration: Duration,
    interval: Duration,
    seed: u64,
) -> Vec<Duration> {
    let start = Instant::now();
    let mut boxes: Vec<(WarmupLimiter, ColdLimit)> = (0..senders)
        .map(|n| {
            // Distributes the phases as the hash of the box name does.
            let hash = (n as u64 + seed * 7_919).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
            let phase = hash as f64 / (1_u64 << 53) as f64;
            let mut limiter = WarmupLimiter::default();
            limiter.set_until(start + duration, start);
            (limiter, ColdLimit { rate, senders, phase })
        })
        .collect();
    let mut sent = Vec::new();
    let mut at = Duration::ZERO;
    while at < duration {
        for (limiter, limit) in &mut boxes {
            if limiter.admits(Some(*limit), start + at) {
                limiter.record_send(Some(*limit), start + at);
                sent.push(at);
            }
        }
        at += interval;
    }
    sent
}

#[test]
fn a_single_sender_uses_the_full_rate() {
    for rate in [2.0, 27.0, 140.0] {
        let sent = simulate(1, rate, SECOND * 5, MS, 0);
        let max = max_per_second(&sent) as f64;
        assert!(max <= rate * 1.1 + 1.0, "{max} of {rate}");
        assert!(sent.len() as f64 >= rate * 5.0 * 0.85, "{} of {}", sent.len(), rate * 5.0);
    }
}

#[test]
fn independent_senders_keep_to_the_rate_together() {
    for (senders, rate) in [(3, 27.0), (12, 4.0), (71, 27.0), (300, 27.0), (300, 400.0)] {
        for seed in 0..10 {
            let sent = simulate(senders, rate, SECOND * 6, MS, seed);
            let max = max_per_second(&sent) as f64;
            // A cold runner tolerates 1.5 times its rate plus five requests.
            assert!(max <= rate * 1.5 + 5.0, "{senders} boxes: {max} of {rate}");
            let fraction = sent.len() as f64 / (rate * 6.0);
            assert!(fraction >= 0.6, "{senders} boxes use {fraction} of {rate}");
        }
    }
}

#[test]
fn unused_windows_are_lost() {
    // The boxes send from the start; the last two of nine seconds are checked.
    let (senders, rate) = (71, 27.0);
    let mut late = simulate(senders, rate, SECOND * 9, MS, 3);
    late.retain(|at| *at >= SECOND * 7);
    assert!(max_per_second(&late) as f64 <= rate * 1.5 + 5.0);
}

#[test]
fn a_runner_can_become_cold_again() {
    let now = Instant::now();
    let limit = Some(ColdLimit { rate: 10.0, senders: 1, phase: 0.0 });
    let mut limiter = WarmupLimiter::default();
    for round in 0..3_u32 {
        let at = now + SECOND * 10 * round;
        assert!(!limiter.is_cold(at));
        limiter.set_until(at + SECOND, at);
        assert!(limiter.admits(limit, at));
        limiter.record_send(limit, at);
        assert!(!limiter.admits(limit, at + MS));
        let next = (1..=101).find(|ms| limiter.admits(limit, at + MS * *ms));
        assert!(next.is_some_and(|ms| ms > 1), "{next:?}: each period has a window");
        // Setting the time again does not restart the cold phase.
        limiter.set_until(at + SECOND, at + 2 * MS);
        assert!(!limiter.admits(limit, at + 3 * MS));
        assert!(limiter.admits(limit, at + SECOND), "the runner is warm");
    }
    assert!(limiter.admits(None, now), "no limit applies");
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

/// Sends requests to a cold and a warm runner for a second; returns how many the cold one got.
fn sent_to_cold(per_second: u32) -> u32 {
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
        let query = RunnerQuery {
            priority: 0,
            skips_limited: false,
            sends_here: false,
            only_try: false,
            objective: None,
            id: &id,
            avoid: &[],
            near: None,
            copied: 0,
            within: &[],
        };
        let spec = table.pick(&query, &candidate, &lengths, now).expect("the warm runner has room");
        cold += u32::from(spec.name == "cold");
    }
    cold
}

#[test]
fn a_cold_runner_gets_its_rate_and_others_the_remainder() {
    let cold = sent_to_cold(160);
    assert!((20..=32).contains(&cold), "{cold}");
    let cold = sent_to_cold(20);
    assert!((8..=20).contains(&cold), "{cold}: below its rate it is picked like any other");
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
        let query = RunnerQuery {
            priority: 0,
            skips_limited: false,
            sends_here: false,
            only_try: false,
            objective: None,
            id: &id,
            avoid: &[],
            near: Some("d"),
            copied: 0,
            within: &within,
        };
        let picked = table.pick(&query, &candidate, &LengthModel::default(), now).unwrap();
        assert_eq!(picked.name, "there");
    }
}
