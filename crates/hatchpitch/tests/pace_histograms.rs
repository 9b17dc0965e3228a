//! Reports of the pace of engines: histograms, their collection, their size, and their use by the
//! table of an owner.
//!
//! `cargo test -p hatchpitch --test pace_histograms -- --nocapture` prints the figures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::admission::memory::Candidate;
use hatchpitch::admission::{LengthModel, Pick};
use hatchpitch::pace::histogram::GapHistogram;
use hatchpitch::pace::task::next_interval;
use hatchpitch::pace::{Collector, PaceReport, PoolPace};
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::{PauseObjective, RoutingConfig, RunReport, RunnerTable, Verdict};
use hatchpitch::{pace, routing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);
const LIMIT: Duration = Duration::from_millis(180);
/// Width of a bucket of a histogram, as a factor; shares and means are exact up to it.
const BUCKET: f64 = 1.06;

fn histogram(gaps: &[u64]) -> GapHistogram {
    let mut histogram = GapHistogram::default();
    gaps.iter().for_each(|ms| histogram.record(MS * *ms as u32));
    histogram
}

fn random_gaps(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<u64>> {
    let count = u.int_in_range(0..=40)?;
    (0..count).map(|_| u.int_in_range(1..=4_000)).collect()
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-3 * (1.0 + a.abs().max(b.abs()))
}

#[test]
fn merged_histograms_do_not_lose_or_move_gaps() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let (a, b) = (random_gaps(u)?, random_gaps(u)?);
            let mut merged = histogram(&a);
            merged.merge(&histogram(&b));
            let all = [a, b].concat();
            assert_eq!(merged, histogram(&all), "merging is the same as recording");
            assert!(close(merged.count(), all.len() as f64));
            let limit = u.int_in_range(1..=4_000_u64)?;
            let above = |limit: f64| {
                all.iter().filter(|gap| **gap as f64 > limit).count() as f64
                    / all.len().max(1) as f64
            };
            let share = merged.share_above(MS * limit as u32);
            let (low, high) = (above(limit as f64 * BUCKET), above(limit as f64 / BUCKET));
            assert!(share >= low - 1e-6 && share <= high + 1e-6, "{low} {share} {high}");
            Ok(())
        })
        .seed(seed << 32 | 1_000)
        .run();
    }
}

#[test]
fn histograms_that_decay_do_not_show_gaps_that_were_never_seen() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let mut histogram = GapHistogram::default();
            let (mut low, mut high) = (f64::INFINITY, 0.0_f64);
            for _ in 0..u.int_in_range(1..=30)? {
                for gap in random_gaps(u)? {
                    histogram.record(MS * gap as u32);
                    (low, high) = (low.min(gap as f64), high.max(gap as f64));
                }
                let before = histogram.count();
                let factor = f64::from(u.int_in_range(0..=20_u8)?) / 20.0;
                histogram.decay(factor);
                let count = histogram.count();
                assert!(count <= before * factor + 1e-3, "{before} times {factor}: {count}");
                let Some(mean) = histogram.mean() else { continue };
                let mean = mean.as_secs_f64() * 1_000.0;
                assert!(mean >= low / BUCKET && mean <= high * BUCKET, "{low} {mean} {high}");
            }
            Ok(())
        })
        .seed(seed << 32 | 4_000)
        .run();
    }
}

#[test]
fn one_long_pause_does_not_raise_the_mean_after_it_has_decayed() {
    let mut histogram = histogram(&[16_000]);
    histogram.decay(0.04);
    assert!(histogram.is_empty());
    (0..12).for_each(|_| histogram.record(60 * MS));
    let mean = histogram.mean().unwrap().as_secs_f64() * 1_000.0;
    assert!((59.0..61.0).contains(&mean), "mean of twelve gaps of 60 ms: {mean}");
}

/// A box whose streams run on some of the engines.
struct Relay {
    collector: Collector,
    /// Engine of each stream, and the time of its next event in milliseconds.
    streams: Vec<(usize, f64)>,
    rng: StdRng,
    /// Bytes of all reports.
    sent: usize,
    largest: usize,
}

fn engine_name(engine: usize) -> String {
    format!("upstream-{engine:04}@{}", 1_764_812_912_000_u64 + engine as u64)
}

impl Relay {
    fn run(engines: usize, boxes: usize, streams: usize, seconds: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(9);
        let started = (0..streams).map(|_| (rng.random_range(0..engines), 0.0)).collect();
        let mut relay = Self {
            collector: Collector::new(Pick::Objective),
            streams: started,
            rng,
            sent: 0,
            largest: 0,
        };
        let start = Instant::now();
        let owner_of = |name: &str| {
            let engine: usize = name[9..13].parse().ok()?;
            Some(SocketAddr::from(([10, 0, 0, 1], (engine / 8 % boxes) as u16)))
        };
        let mut due = start;
        for ms in (0..seconds * 1_000).step_by(10) {
            relay.advance(ms as f64 + 10.0, engines, start);
            let now = start + MS * (ms as u32 + 10);
            if now < due {
                continue;
            }
            let mut entries = 0;
            for report in relay.collector.take(owner_of, now).into_values() {
                entries += report.engines.len() + report.firsts.len();
                let size = rmp_serde::to_vec_named(&report).unwrap().len();
                relay.sent += size;
                relay.largest = relay.largest.max(size);
                assert!(report.engines.len() <= 64 && report.firsts.len() <= 64);
            }
            due = now + next_interval(entries);
        }
        relay
    }

    /// Records the events until `until`, in milliseconds. A stream in 130 ends with each event, and
    /// another one starts on another engine.
    fn advance(&mut self, until: f64, engines: usize, start: Instant) {
        for (engine, at) in &mut self.streams {
            let mean = if *engine % 4 == 0 { 130.0 } else { 60.0 };
            while *at < until {
                let gap = mean * self.rng.random_range(0.5..1.5);
                *at += gap;
                let (name, now) = (engine_name(*engine), start + MS * *at as u32);
                let gap = Duration::from_secs_f64(gap / 1_000.0);
                self.collector.record_gap("chat", &name, gap, now);
                if self.rng.random_bool(1.0 / 130.0) {
                    *engine = self.rng.random_range(0..engines);
                    let id = format!("{:032x}", self.rng.random::<u128>());
                    self.collector.record_first("chat", &engine_name(*engine), &id, 400 * MS);
                }
            }
        }
    }
}

#[test]
fn reports_do_not_take_the_bandwidth_of_other_control_traffic() {
    let mut rates = Vec::new();
    for boxes in [12, 71, 300] {
        let relay = Relay::run(boxes * 5, boxes, 20, 10);
        let rate = relay.sent as f64 / 10.0;
        println!(
            "{boxes} boxes, {} engines, 20 streams: reports of {rate:.0} bytes a second, the \
             largest {} bytes",
            boxes * 5,
            relay.largest
        );
        rates.push(rate);
    }
    for rate in rates {
        assert!(rate < 2_000.0, "{rate} bytes a second");
    }
}

#[test]
fn many_streams_do_not_make_a_report_large() {
    let relay = Relay::run(1_000, 1, 2_000, 2);
    println!("2,000 streams on 1,000 engines of one owner: largest report {} bytes", relay.largest);
    assert!(relay.largest < 64 * 400 + 64 * 120, "{}", relay.largest);
}

#[test]
fn gaps_are_not_reported_twice_and_reach_a_new_owner() {
    let (old, new): (SocketAddr, SocketAddr) =
        (([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into());
    let start = Instant::now();
    let mut collector = Collector::new(Pick::Objective);
    let record = |collector: &mut Collector, count: u32| {
        (0..count).for_each(|_| collector.record_gap("p", "e", 60 * MS, start));
    };
    let count = |reports: &BTreeMap<SocketAddr, PaceReport>, owner| {
        let engines = reports.get(&owner).map_or(&[][..], |report| &report.engines[..]);
        engines.iter().map(|engine| engine.gaps.count()).sum::<f64>()
    };
    record(&mut collector, 20);
    assert!(collector.take(|_| None, start).is_empty(), "the owner is not known");
    assert_eq!(count(&collector.take(|_| Some(old), start), old), 20.0);
    assert!(collector.take(|_| Some(old), start).is_empty(), "nothing was seen");
    record(&mut collector, 10);
    assert_eq!(count(&collector.take(|_| Some(old), start), old), 10.0);
    let moved = collector.take(|_| Some(new), start);
    assert!((25.0..=30.0).contains(&count(&moved, new)), "{moved:?}");
    assert!(collector.take(|_| Some(new), start).is_empty());
    record(&mut collector, 1);
    let late = start + Duration::from_secs(5);
    assert!(collector.take(|_| Some(new), late).is_empty(), "the gap is too old");
}

fn spec(name: &str) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: Some(33_640),
        copy_rate: f64::INFINITY,
    }
}

fn table() -> RunnerTable {
    RunnerTable::new(RoutingConfig { pick: Pick::Objective, ..RoutingConfig::default() })
}

#[test]
fn reports_of_engines_that_are_not_in_the_table_change_nothing() {
    let now = Instant::now();
    let mut table = table();
    table.sync([spec("a@2"), spec("b@1")]);
    let gaps = histogram(&[60; 40]);
    assert!(table.observe_gaps("a@2", &gaps, now));
    let before = format!("{table:?}");
    assert!(!table.observe_gaps("a@1", &histogram(&[170; 400]), now), "an earlier life");
    assert!(!table.observe_gaps("c@1", &histogram(&[170; 400]), now));
    table.record_first_token("a@1", "r1", 900 * MS);
    table.record_first_token("b@1", "unknown run", 900 * MS);
    assert_eq!(format!("{table:?}"), before);
    routing::verify::verify(&table).unwrap();
}

#[test]
fn an_empty_report_of_an_engine_does_not_make_it_known() {
    let now = Instant::now();
    let mut table = table();
    table.sync([spec("a")]);
    table.observe_gaps("a", &GapHistogram::default(), now);
    table.observe_gaps("a", &histogram(&[170; 3]), now);
    assert!(table.pace("a", now).is_none(), "three gaps are too few");
}

#[test]
fn random_reports_keep_the_invariants_of_a_pace() {
    for seed in 0..40_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut pace = PoolPace::default();
            for _ in 0..u.int_in_range(1..=60)? {
                // Reports are not ordered: the time may lie before that of the one before.
                let now = start + MS * u.int_in_range(0..=60_000_u32)?;
                let name = format!("e{}", u.int_in_range(0..=5_u8)?);
                let lowest = u.int_in_range(0..=5_u8)?;
                let exists = |name: &str| *name >= *format!("e{lowest}");
                match u.int_in_range(0..=4_u8)? {
                    0 => {
                        pace.set_prefill_rate(&name, f64::from(u.int_in_range(1_000..=50_000_u32)?))
                    }
                    1 => {
                        pace.retain(exists);
                        pace::verify::verify(&pace, exists).unwrap();
                    }
                    _ => {
                        let gaps = histogram(&random_gaps(u)?);
                        pace.observe(&name, &gaps, u.int_in_range(0..=24)?, now);
                    }
                }
                pace::verify::verify(&pace, |_| true).unwrap();
                let (running, events) = (u.int_in_range(0..=30)?, f64::from(u.arbitrary::<u8>()?));
                let gap = pace.gap_risk(&name, LIMIT, running, now);
                let miss = pace.miss_risk(&name, LIMIT, events, running, now);
                assert!((0.0..=1.0).contains(&gap) && (0.0..=1.0).contains(&miss), "{gap} {miss}");
                assert!(events < 1.0 || miss >= gap - 1e-9, "{gap} {miss} {events}");
                let more = pace.gap_risk(&name, LIMIT, running + 1, now);
                assert!(more >= gap - 1e-9, "one more run lowers the risk: {gap} {more}");
                let strict = pace.gap_risk(&name, LIMIT / 2, running, now);
                assert!(strict >= gap - 1e-9, "a shorter pause is kept more often: {gap} {strict}");
            }
            Ok(())
        })
        .seed(seed << 32 | 6_000)
        .run();
    }
}

#[test]
fn random_runs_and_reports_keep_the_invariants_of_a_table() {
    for seed in 0..40_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let (mut table, mut at, mut runs) = (table(), 0, Vec::new());
            let mut lengths = LengthModel::default();
            lengths.observe("k", 700);
            let mut present = vec!["e0".to_owned(), "e1".to_owned()];
            table.sync(present.iter().map(|name| spec(name)));
            for id in 0..u.int_in_range(1..=80_u32)? {
                at += u.int_in_range(0..=400_u32)?;
                let now = start + MS * at;
                let name = format!("e{}", u.int_in_range(0..=4_u8)?);
                match u.int_in_range(0..=6_u8)? {
                    0 => {
                        let chosen = u.int_in_range(0..=31_u8)?;
                        let names = (0..5).filter(|i| chosen & 1 << i != 0);
                        present = names.map(|i| format!("e{i}")).collect();
                        table.sync(present.iter().map(|name| spec(name)));
                    }
                    1 => {
                        table.observe_gaps(&name, &histogram(&random_gaps(u)?), now);
                    }
                    2 if !runs.is_empty() => {
                        let (runner, id): (String, String) = runs.swap_remove(0);
                        let first = u.arbitrary::<bool>()?.then_some(700 * MS);
                        let verdict = Verdict::Succeeded;
                        let report = RunReport { verdict, first, ..RunReport::RELEASED };
                        table.give_back(&runner, &id, report, now);
                    }
                    3 if !runs.is_empty() => {
                        let (runner, id) = &runs[0];
                        table.record_first_token(runner, id, 700 * MS);
                    }
                    _ => {
                        let id = id.to_string();
                        let events = f64::from(u.int_in_range(0..=300_u16)?);
                        let objective = PauseObjective { max_gap: LIMIT, events };
                        let query = RunnerQuery {
                            id: &id,
                            priority: 1,
                            avoid: &[],
                            near: None,
                            copied: 0,
                            within: &[],
                            skips_limited: false,
                            sends_here: false,
                            only_try: false,
                            objective: u.arbitrary::<bool>()?.then_some(objective),
                        };
                        let candidate =
                            Candidate { kind: "k".to_owned(), prompt: 1_000, max_output: 1_104 };
                        if let Some(spec) = table.pick(&query, &candidate, &lengths, now) {
                            runs.push((spec.name, id));
                        }
                    }
                }
                // A runner that is gone stays until the next change of the fleet after its last run.
                let mut synced = table.clone();
                synced.sync(present.iter().map(|name| spec(name)));
                routing::verify::verify(&synced).unwrap();
            }
            Ok(())
        })
        .seed(seed << 32 | 8_000)
        .run();
    }
}

/// A histogram as another box may send it.
#[derive(serde::Serialize)]
struct RawHistogram {
    #[serde(rename = "b", with = "serde_bytes")]
    buckets: Vec<u8>,
    #[serde(rename = "s")]
    sum_ms: f64,
}

fn decode(buckets: &[u8], sum_ms: f64) -> Result<GapHistogram, rmp_serde::decode::Error> {
    let raw = RawHistogram { buckets: buckets.to_vec(), sum_ms };
    rmp_serde::from_slice(&rmp_serde::to_vec_named(&raw).unwrap())
}

#[test]
fn damaged_histograms_of_other_boxes_do_not_enter_estimates() {
    let one = [70, 0, 16];
    assert_eq!(decode(&one, 60.0).unwrap().count(), 1.0);
    for sum in [f64::INFINITY, f64::NAN, -1.0] {
        assert!(decode(&one, sum).is_err(), "{sum}");
    }
    assert!(decode(&[70, 0], 60.0).is_err(), "a truncated entry");
    assert!(decode(&[200, 0, 16], 60.0).is_err(), "a bucket that does not exist");
    let weightless = decode(&[70, 0, 0], 60.0).unwrap();
    let (mut pace, now) = (PoolPace::default(), Instant::now());
    pace.observe("e", &weightless, 1, now);
    assert_eq!(pace.view("e", now), None);
    pace::verify::verify(&pace, |_| false).unwrap();
}
