//! The estimate of how fast engines are: what it learns from reports, how soon, and what it forgets.
//!
//! `cargo test -p hatchpitch --test pace -- --nocapture` prints the figures.

use std::ops::Range;
use std::time::{Duration, Instant};

use hatchpitch::pace::histogram::GapHistogram;
use hatchpitch::pace::{PoolPace, verify};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);
/// Longest pause that the streams of these tests may have.
const LIMIT: Duration = Duration::from_millis(180);
/// Events of a long stream.
const EVENTS: f64 = 100.0;
/// Time between two reports of a box.
const REPORT_MS: u64 = 250;
/// Gaps of a fast and of a slow engine, in milliseconds.
const FAST: Range<f64> = 30.0..90.0;
const SLOW: Range<f64> = 70.0..190.0;
/// Streams that run on an engine.
const STREAMS: u64 = 6;

/// The pace of a pool, and the reports that it gets.
struct Pool {
    pace: PoolPace,
    start: Instant,
    ms: u64,
    rng: StdRng,
}

impl Pool {
    fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { pace: PoolPace::default(), start: Instant::now(), ms: 0, rng }
    }

    fn now(&self) -> Instant {
        self.start + MS * self.ms as u32
    }

    /// Returns the gaps that the streams of an engine have between two reports.
    fn gaps(&mut self, gaps: &Range<f64>) -> GapHistogram {
        let mut seen = GapHistogram::default();
        let mean = (gaps.start + gaps.end) / 2.0;
        for _ in 0..(STREAMS as f64 * REPORT_MS as f64 / mean) as u64 {
            seen.record(Duration::from_secs_f64(self.rng.random_range(gaps.clone()) / 1_000.0));
        }
        seen
    }

    /// Advances to the next reports, one of each engine.
    fn report(&mut self, engines: &[(&str, Range<f64>)]) {
        self.ms += REPORT_MS;
        for (engine, range) in engines {
            let gaps = self.gaps(range);
            self.pace.observe(engine, &gaps, STREAMS, self.now());
        }
        verify::verify(&self.pace, |_| true).unwrap();
    }

    /// Returns the probability that a long stream on an engine pauses for too long.
    fn risk(&self, engine: &str) -> f64 {
        self.pace.miss_risk(engine, LIMIT, EVENTS, STREAMS, self.now())
    }

    fn is_slow(&self, engine: &str) -> bool {
        self.risk(engine) > 0.5
    }

    /// Reports until `is_done`, for at most 20 s; returns the time that it took.
    fn report_until(
        &mut self,
        engines: &[(&str, Range<f64>)],
        is_done: impl Fn(&Self) -> bool,
    ) -> Duration {
        let from = self.ms;
        while !is_done(self) && self.ms < from + 20_000 {
            self.report(engines);
        }
        MS * (self.ms - from) as u32
    }
}

#[test]
fn a_slow_engine_is_recognized_within_a_second_and_a_fast_one_is_not_taken_for_slow() {
    let mut longest = Duration::ZERO;
    for seed in 0..20 {
        let mut pool = Pool::new(seed);
        let known = [("a", FAST), ("b", FAST), ("c", SLOW), ("d", FAST)];
        (0..20).for_each(|_| pool.report(&known));
        let both = [("fast", FAST), ("slow", SLOW)];
        let took = pool.report_until(&both, |pool| {
            pool.pace.view("slow", pool.now()).is_some() && pool.is_slow("slow")
        });
        longest = longest.max(took);
        assert!(took <= Duration::from_secs(1), "seed {seed}: {took:?}");
        (took.as_millis() as u64..1_000).step_by(250).for_each(|_| pool.report(&both));
        for _ in 0..40 {
            let risks = (pool.risk("fast"), pool.risk("slow"));
            assert!(risks.0 < 0.5 && risks.1 > 0.5, "seed {seed}, {} ms: {risks:?}", pool.ms);
            pool.report(&both);
        }
    }
    println!("a slow engine among known ones is recognized after {longest:?} at most");
}

#[test]
fn the_first_slow_engine_of_a_pool_is_recognized_without_others_to_compare_with() {
    let mut longest = Duration::ZERO;
    for seed in 0..20 {
        let mut pool = Pool::new(seed);
        let took = pool.report_until(&[("slow", SLOW)], |pool| pool.is_slow("slow"));
        longest = longest.max(took);
        assert!(took <= Duration::from_secs(1), "seed {seed}: {took:?}");
    }
    println!("the first slow engine is recognized after {longest:?} at most");
}

/// Returns the longest times until it is seen that an engine becomes slow, and that it recovers.
fn times_until_changes_are_seen() -> (Duration, Duration) {
    let (mut to_slow, mut to_fast) = (Duration::ZERO, Duration::ZERO);
    for seed in 0..20 {
        let mut pool = Pool::new(seed);
        let before = [("changes", FAST), ("a", FAST), ("b", SLOW)];
        (0..40).for_each(|_| pool.report(&before));
        let during = [("changes", SLOW), ("a", FAST), ("b", SLOW)];
        to_slow = to_slow.max(pool.report_until(&during, |pool| pool.is_slow("changes")));
        (0..40).for_each(|_| pool.report(&during));
        to_fast = to_fast.max(pool.report_until(&before, |pool| !pool.is_slow("changes")));
    }
    println!("becomes slow: seen after {to_slow:?} at most; recovers: after {to_fast:?} at most");
    (to_slow, to_fast)
}

#[test]
fn an_engine_that_becomes_slow_does_not_get_long_streams_for_long() {
    let (to_slow, _) = times_until_changes_are_seen();
    assert!(to_slow <= Duration::from_secs(3), "{to_slow:?}");
}

#[test]
fn an_engine_that_recovers_is_not_taken_for_slow_for_most_of_its_life() {
    let (_, to_fast) = times_until_changes_are_seen();
    assert!(to_fast <= Duration::from_secs(5), "{to_fast:?}");
}

#[test]
fn an_engine_that_is_not_known_is_not_taken_for_better_or_worse_than_its_pool() {
    assert_eq!(Pool::new(1).risk("new"), 0.0, "no engine is known");
    let risk_beside = |engines: &[(&str, Range<f64>)]| {
        let mut pool = Pool::new(2);
        (0..40).for_each(|_| pool.report(engines));
        let known: Vec<f64> = engines.iter().map(|(name, _)| pool.risk(name)).collect();
        let (low, high) = known
            .iter()
            .fold((1.0_f64, 0.0_f64), |(low, high), risk| (low.min(*risk), high.max(*risk)));
        let new = pool.risk("new");
        println!("not known: risk {new:.3}, known ones {low:.3} to {high:.3}");
        assert!(new >= low - 0.05 && new <= high + 0.05, "{new} of {known:?}");
        new
    };
    let fast = risk_beside(&[("a", FAST), ("b", FAST), ("c", FAST)]);
    let mixed = risk_beside(&[("a", FAST), ("b", SLOW), ("c", FAST)]);
    let slow = risk_beside(&[("a", SLOW), ("b", SLOW), ("c", SLOW)]);
    assert!(fast < 0.2 && slow > 0.8, "{fast} {slow}");
    assert!(fast <= mixed && mixed <= slow, "{fast} {mixed} {slow}");
}

#[test]
fn the_prefill_rate_of_an_engine_without_gaps_is_not_ignored() {
    let mut pool = Pool::new(3);
    let known = [("a", FAST), ("b", SLOW), ("c", FAST), ("d", SLOW), ("e", FAST)];
    for (i, (name, gaps)) in known.iter().enumerate() {
        let rate = if *gaps == FAST { 8_000.0 } else { 3_600.0 };
        pool.pace.set_prefill_rate(name, rate * (0.95 + 0.02 * i as f64));
    }
    (0..40).for_each(|_| pool.report(&known));
    pool.pace.set_prefill_rate("new, fast", 8_200.0);
    pool.pace.set_prefill_rate("new, slow", 3_500.0);
    let (fast, slow) = (pool.risk("new, fast"), pool.risk("new, slow"));
    println!("only the prefill rate is known: {fast:.3} if it is high, {slow:.3} if it is low");
    assert!(fast < 0.25 && slow > 0.75, "{fast} {slow}");
}

#[test]
fn the_next_life_of_an_engine_does_not_inherit_that_it_was_slow() {
    let mut pool = Pool::new(4);
    let engines = [("e1@1", SLOW), ("a", FAST), ("b", FAST), ("c", FAST)];
    pool.pace.set_prefill_rate("e1@1", 3_500.0);
    (0..40).for_each(|_| pool.report(&engines));
    assert!(pool.is_slow("e1@1"));
    let exists = |name: &str| name != "e1@1";
    pool.pace.retain(exists);
    verify::verify(&pool.pace, exists).unwrap();
    assert!(pool.pace.view("e1@1", pool.now()).is_none());
    assert!(pool.pace.is_unknown("e1@1") && pool.pace.is_unknown("e1@2"));
    let (next, other) = (pool.risk("e1@2"), pool.risk("never seen"));
    assert_eq!(next, other, "a life is not judged by the name of the one before");
    let next = [("e1@2", FAST), ("a", FAST), ("b", FAST), ("c", FAST)];
    (0..4).for_each(|_| pool.report(&next));
    assert!(!pool.is_slow("e1@2"), "{}", pool.risk("e1@2"));
}

#[test]
fn lost_doubled_and_late_reports_do_not_make_a_fast_engine_slow() {
    let mut highest = 0.0_f64;
    for seed in 0..20 {
        let mut pool = Pool::new(seed);
        let mut late: Vec<(u64, GapHistogram)> = Vec::new();
        for _ in 0..80 {
            pool.report(&[("b", SLOW), ("c", FAST)]);
            let gaps = pool.gaps(&FAST);
            match pool.rng.random_range(0..4) {
                0 => {}
                1 => (0..2).for_each(|_| pool.pace.observe("a", &gaps, STREAMS, pool.now())),
                2 => late.push((pool.ms + 1_000, gaps)),
                _ => pool.pace.observe("a", &gaps, STREAMS, pool.now()),
            }
            let due = |(at, _): &mut (u64, GapHistogram)| *at <= pool.ms;
            for (_, gaps) in late.extract_if(.., due).collect::<Vec<_>>() {
                pool.pace.observe("a", &gaps, STREAMS, pool.now());
            }
            if pool.pace.view("a", pool.now()).is_some() {
                highest = highest.max(pool.risk("a"));
            }
        }
    }
    println!(
        "highest risk of a fast engine by reports that are lost, doubled or late {highest:.3}"
    );
    assert!(highest < 0.5, "{highest}");
}

#[test]
fn an_engine_without_reports_is_not_taken_for_slow_for_ever() {
    let mut pool = Pool::new(5);
    let names: Vec<String> = (0..12).map(|i| format!("fast {i}")).collect();
    let fast: Vec<(&str, Range<f64>)> = names.iter().map(|name| (&**name, FAST)).collect();
    let all: Vec<(&str, Range<f64>)> = fast.iter().cloned().chain([("silent", SLOW)]).collect();
    (0..40).for_each(|_| pool.report(&all));
    let before = pool.risk("silent");
    (0..120).for_each(|_| pool.report(&fast));
    let (after, unknown) = (pool.risk("silent"), pool.risk("not known"));
    println!(
        "an engine without reports for 30 s: risk {before:.3}, then {after:.3}; of one that is not \
         known {unknown:.3}"
    );
    assert!((after - unknown).abs() < 0.1, "{after} {unknown}");
}

#[test]
fn memory_does_not_grow_with_the_engines_that_have_left() {
    let mut pool = Pool::new(6);
    let mut sizes = Vec::new();
    for life in 0..1_200 {
        let name = format!("e{:06}", life);
        let gaps = if life % 4 == 0 { SLOW } else { FAST };
        pool.pace.set_prefill_rate(&name, 7_000.0);
        (0..4).for_each(|_| pool.report(&[(&name, gaps.clone())]));
        let oldest = format!("e{:06}", (life + 1_i32).saturating_sub(8));
        let exists = |name: &str| *name >= *oldest;
        pool.pace.retain(exists);
        verify::verify(&pool.pace, exists).unwrap();
        // The text shows every field, so its length stands for the memory.
        sizes.push(format!("{:?}", pool.pace).len());
    }
    let (early, late) = (sizes[100], sizes[1_199]);
    println!("state of a pool as text: {early} bytes after 100 lives, {late} after 1,200");
    assert!(late < early * 3 / 2, "{early} {late}");
}
