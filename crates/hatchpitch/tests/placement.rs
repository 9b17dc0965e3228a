//! Placement by the longest pause that streams may have, compared with placement by load.
//!
//! `cargo test -p hatchpitch --test placement -- --nocapture` prints the figures.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::admission::{AdmissionConfig, Pick, Policy};
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, Refusal, SlotRequest, verify};
use hatchpitch::pace::GapHistogram;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};

const MS: Duration = Duration::from_millis(1);
const LIMIT: Duration = Duration::from_millis(180);
/// Prompt tokens that an engine prefills per second in these tests.
const PREFILL_PER_S: f64 = 7_000.0;

fn spec(name: &str, domain: &str, slots: u64) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: domain.to_owned(),
        slots,
        memory: Some(60_000),
        copy_rate: 20_000.0,
    }
}

fn scheduler(pick: Pick) -> PoolScheduler {
    let memory = Policy::default().memory;
    let routing = RoutingConfig { memory, pick, ..RoutingConfig::default() };
    PoolScheduler::new(AdmissionConfig::default(), routing)
}

fn request(id: &str, kind: &str) -> SlotRequest {
    SlotRequest {
        id: id.to_owned(),
        workspace: "w".to_owned(),
        priority: 1,
        kind: kind.to_owned(),
        prompt: 500,
        max_tokens: 1_104,
        max_gap: Some(LIMIT),
        event_tokens: 4,
        ..SlotRequest::default()
    }
}

fn long(id: &str) -> SlotRequest {
    request(id, "long")
}

fn short(id: &str) -> SlotRequest {
    request(id, "short")
}

/// Records `count` gaps that are spread evenly between two values in milliseconds.
fn gaps(low: f64, high: f64, count: u32) -> GapHistogram {
    let mut gaps = GapHistogram::default();
    for i in 0..count {
        let ms = low + (high - low) * (f64::from(i) + 0.5) / f64::from(count);
        gaps.record(Duration::from_secs_f64(ms / 1_000.0));
    }
    gaps
}

/// A pool at one owner, in which long and short requests have run before.
struct Pool {
    scheduler: PoolScheduler,
    now: Instant,
    runs: u32,
}

impl Pool {
    fn new(pick: Pick, engines: &[&str]) -> Self {
        let mut pool = Self { scheduler: scheduler(pick), now: Instant::now(), runs: 0 };
        pool.scheduler.update(pool.now, |table| {
            table.sync(engines.iter().map(|name| spec(name, "d", 24)));
        });
        for _ in 0..10 {
            for (kind, tokens) in [("long", 700), ("short", 8)] {
                let req = SlotRequest { max_gap: None, ..request("before", kind) };
                let Decision::Run(spec) = pool.scheduler.decide(&req, pool.now) else {
                    panic!("an empty pool has room");
                };
                let report = RunReport {
                    verdict: Verdict::Succeeded,
                    tokens: Some(tokens),
                    ..RunReport::RELEASED
                };
                pool.now += 500 * MS;
                pool.scheduler.release(&spec.name, &req, 0, report, pool.now);
            }
        }
        pool
    }

    /// Reports gaps of an engine four times, once every 250 ms.
    fn report(&mut self, engine: &str, low: f64, high: f64) {
        for _ in 0..4 {
            self.now += 250 * MS;
            let seen = gaps(low, high, 40);
            self.scheduler.update(self.now, |table| table.observe_gaps(engine, &seen, self.now));
        }
    }

    /// Starts a request on an engine, whatever the decision would be.
    fn start_on(&mut self, engine: &str, req: SlotRequest) {
        self.runs += 1;
        let req = SlotRequest { id: format!("run {}", self.runs), ..req };
        self.scheduler.adopt(engine, &req, self.now).unwrap();
    }

    /// Returns the engine on which a request would run.
    fn picks(&self, req: &SlotRequest) -> String {
        let mut scheduler = self.scheduler.clone();
        let quote = scheduler.quote(req, self.now).unwrap();
        let decision = scheduler.decide(req, self.now);
        verify::verify(&scheduler).unwrap();
        assert_eq!(matches!(quote, Quote::Room(_)), matches!(decision, Decision::Run(_)));
        match decision {
            Decision::Run(spec) => spec.name,
            other => panic!("{other:?}"),
        }
    }

    fn quote(&self, req: &SlotRequest) -> f64 {
        match self.scheduler.quote(req, self.now) {
            Ok(Quote::Room(load)) => load,
            other => panic!("{other:?}"),
        }
    }
}

/// A fast and a slow engine. The fast one has `running` long streams more than the slow one.
fn fast_and_slow(pick: Pick, running: u32) -> Pool {
    let mut pool = Pool::new(pick, &["fast", "slow"]);
    pool.report("fast", 30.0, 90.0);
    pool.report("slow", 70.0, 190.0);
    (0..running).for_each(|_| pool.start_on("fast", long("")));
    pool.report("fast", 30.0, 90.0);
    pool.report("slow", 70.0, 190.0);
    pool
}

#[test]
fn a_long_stream_is_not_placed_where_it_pauses_for_too_long() {
    let least = fast_and_slow(Pick::LeastLoaded, 8);
    assert_eq!(least.picks(&long("x")), "slow", "by load alone");
    let pool = fast_and_slow(Pick::Objective, 8);
    assert_eq!(pool.picks(&long("x")), "fast");
    let elsewhere = SlotRequest { avoid: vec!["fast".to_owned()], ..long("x") };
    assert_eq!(pool.picks(&elsewhere), "slow", "a slow engine is better than none");
    assert!(pool.quote(&elsewhere) > pool.quote(&long("x")) + 0.5, "owners are told apart");
}

#[test]
fn a_short_request_does_not_take_the_place_of_a_long_stream() {
    let least = fast_and_slow(Pick::LeastLoaded, 0);
    let pool = fast_and_slow(Pick::Objective, 1);
    assert_eq!(pool.picks(&short("x")), "slow");
    assert_eq!(pool.picks(&SlotRequest { max_gap: None, ..short("x") }), "slow");
    // A few short ones are already there, so that by load alone the fast engine would be next.
    let busier = |mut pool: Pool| {
        (0..4).for_each(|_| pool.start_on("slow", short("")));
        pool.picks(&short("x"))
    };
    assert_eq!(busier(least), "fast", "by load alone");
    assert_eq!(busier(pool), "slow");
}

#[test]
fn a_short_request_is_not_late_behind_the_prompts_of_a_slow_engine() {
    let mut pool = fast_and_slow(Pick::Objective, 1);
    assert_eq!(pool.picks(&short("x")), "slow");
    let prompt = SlotRequest { prompt: 4_800, avoid: vec!["fast".to_owned()], ..short("p") };
    assert!(matches!(pool.scheduler.decide(&prompt, pool.now), Decision::Run(_)));
    assert_eq!(pool.picks(&short("x")), "fast", "0.7 s of prompts wait at the slow engine");
}

/// Two engines: `full` runs ten long streams that just keep their pause and slow down with each
/// run, and `other` is faster but runs more.
fn almost_full(pick: Pick) -> Pool {
    let mut pool = Pool::new(pick, &["full", "other"]);
    for running in 0..=10 {
        let slowdown = (1.0 + 0.08 * f64::from(running)) / (1.0 + 0.08 * 10.0);
        for _ in 0..4 {
            pool.report("full", 55.0 * slowdown, 170.0 * slowdown);
        }
        if running < 10 {
            pool.start_on("full", long(""));
        }
    }
    let none = SlotRequest { max_gap: None, ..long("") };
    (0..14).for_each(|_| pool.start_on("other", none.clone()));
    for _ in 0..8 {
        pool.report("full", 55.0, 170.0);
        pool.report("other", 30.0, 90.0);
    }
    pool
}

#[test]
fn one_more_run_does_not_break_the_pauses_of_streams_that_run() {
    let least = almost_full(Pick::LeastLoaded);
    let pool = almost_full(Pick::Objective);
    let none = SlotRequest { max_gap: None, ..short("x") };
    for req in [long("x"), short("x"), none] {
        assert_eq!(least.picks(&req), "full", "by load alone");
        assert_eq!(pool.picks(&req), "other", "{} with {:?}", req.kind, req.max_gap);
        let only = SlotRequest { avoid: vec!["other".to_owned()], ..req };
        assert_eq!(pool.picks(&only), "full", "there is no room elsewhere");
    }
}

#[test]
fn a_stream_that_has_paused_for_too_long_does_not_keep_others_from_good_engines() {
    let pool = fast_and_slow(Pick::Objective, 8);
    let paused = SlotRequest { max_gap: None, ..long("x") };
    assert_eq!(pool.picks(&paused), "slow");
}

/// What differs between the engines, and which requests there are, in a random comparison.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// Whether long streams have a longest pause.
    has_limit: bool,
    /// Whether every second engine is slow.
    has_slow: bool,
    /// Whether runs report their first tokens.
    has_first: bool,
}

/// Returns whether two quotes are the same. The loads of the runs of an engine are summed in any
/// order, so that sums differ by rounding.
fn same_quotes(a: &Result<Quote, Refusal>, b: &Result<Quote, Refusal>) -> bool {
    match (a, b) {
        (Ok(Quote::Room(a)), Ok(Quote::Room(b))) => (a - b).abs() < 1e-9,
        _ => a == b,
    }
}

/// Returns whether two decisions differ only because the loads of the two engines do by rounding.
fn is_tie(
    before: &PoolScheduler,
    req: &SlotRequest,
    decisions: &[Decision; 2],
    specs: &[RunnerSpec],
    now: Instant,
) -> bool {
    let quotes = decisions.each_ref().map(|decision| {
        let Decision::Run(picked) = decision else { panic!("{decision:?}") };
        let others = specs.iter().filter(|spec| spec.name != picked.name);
        let avoid = others.map(|spec| spec.name.clone()).collect();
        before.quote(&SlotRequest { avoid, ..req.clone() }, now)
    });
    same_quotes(&quotes[0], &quotes[1])
}

/// Result of a random comparison.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Comparison {
    Same,
    /// Two engines had the same load. The tables are not the same from then on.
    Tie,
    /// The first request that was decided differently.
    Differs(u32),
}

/// Applies the same random requests, reports and changes to a scheduler of each pick.
fn compare(u: &mut Unstructured<'_>, case: Case) -> arbitrary::Result<Comparison> {
    let start = Instant::now();
    let mut both = [scheduler(Pick::LeastLoaded), scheduler(Pick::Objective)];
    let engines = u.int_in_range(1..=8_usize)?;
    let domain = |engine: usize| ["a", "b"][engine % 2];
    let name = |engine: usize| format!("e{engine}");
    let slots = u.int_in_range(2..=24)?;
    let specs: Vec<RunnerSpec> = (0..engines).map(|i| spec(&name(i), domain(i), slots)).collect();
    both.iter_mut().for_each(|s| s.update(start, |table| table.sync(specs.clone())));
    let mut runs: Vec<(String, SlotRequest, Instant)> = Vec::new();
    let mut at = 0;
    for id in 0..u.int_in_range(20..=160_u32)? {
        at += u.int_in_range(0..=120_u32)?;
        let now = start + MS * at;
        match u.int_in_range(0..=9_u8)? {
            0 | 1 if !runs.is_empty() => {
                let (engine, req, since) = runs.swap_remove(u.choose_index(runs.len())?);
                let tokens = if req.kind == "long" { u.int_in_range(100..=1_100)? } else { 8 };
                let first = req.prompt as f64 / PREFILL_PER_S * 0.8;
                let first = Duration::from_secs_f64(first).max(30 * MS);
                let first = case.has_first.then_some(first).filter(|first| now - since > *first);
                let report = RunReport {
                    verdict: Verdict::Succeeded,
                    tokens: Some(tokens),
                    first,
                    ..RunReport::RELEASED
                };
                both.iter_mut().for_each(|s| s.release(&engine, &req, 500, report, now));
            }
            2 | 3 => {
                let engine = u.int_in_range(0..=engines - 1)?;
                let is_slow = case.has_slow && engine % 2 == 1;
                let seen = if is_slow { gaps(70.0, 190.0, 30) } else { gaps(30.0, 90.0, 30) };
                for scheduler in &mut both {
                    scheduler.update(now, |table| table.observe_gaps(&name(engine), &seen, now));
                }
            }
            _ => {
                let kind = if u.arbitrary()? { "long" } else { "short" };
                let limit = case.has_limit && u.arbitrary()?;
                let req = SlotRequest {
                    prompt: u.int_in_range(100..=5_000)?,
                    max_gap: limit.then_some(LIMIT),
                    near: u.arbitrary::<bool>()?.then(|| domain(id as usize).to_owned()),
                    copied: if u.ratio(1, 8)? { 900 } else { 0 },
                    avoid: if u.ratio(1, 8)? { vec![name(0)] } else { Vec::new() },
                    ..request(&id.to_string(), kind)
                };
                let quotes = both.each_ref().map(|s| s.quote(&req, now));
                if !same_quotes(&quotes[0], &quotes[1]) {
                    return Ok(Comparison::Differs(id));
                }
                let before = both[0].clone();
                let decisions = both.each_mut().map(|s| s.decide(&req, now));
                if decisions[0] != decisions[1] {
                    let is_tie = is_tie(&before, &req, &decisions, &specs, now);
                    return Ok(if is_tie { Comparison::Tie } else { Comparison::Differs(id) });
                }
                if let Decision::Run(spec) = &decisions[0] {
                    runs.push((spec.name.clone(), req, now));
                }
            }
        }
        let answers = both.each_mut().map(PoolScheduler::take_answers);
        if answers[0] != answers[1] {
            return Ok(Comparison::Differs(id));
        }
        both.iter().for_each(|s| verify::verify(s).unwrap());
    }
    Ok(Comparison::Same)
}

/// Checks that both picks decide the same in a case, with fixed seeds.
fn assert_same(case: Case) {
    let (mut found, seeds) = (Vec::new(), 120_u64);
    for seed in 0..seeds {
        arbtest::arbtest(|u| {
            found.push((seed, compare(u, case)?));
            Ok(())
        })
        .seed(seed << 32 | 6_000)
        .run();
    }
    let ties = found.iter().filter(|(_, comparison)| *comparison == Comparison::Tie).count();
    let is_different = |comparison: &Comparison| matches!(comparison, Comparison::Differs(_));
    let differing: Vec<_> = found.iter().filter(|(_, found)| is_different(found)).collect();
    println!(
        "{case:?}: {} of {} random tables differ, {ties} end with a tie",
        differing.len(),
        found.len()
    );
    assert!(found.len() * 2 > seeds as usize, "too few sequences are complete");
    assert!(ties * 10 < found.len(), "too few sequences are compared to their end");
    assert!(differing.is_empty(), "{case:?}: seeds and requests {differing:?}");
}

#[test]
fn equal_engines_without_risk_are_not_chosen_differently() {
    assert_same(Case { has_limit: true, has_slow: false, has_first: false });
    assert_same(Case { has_limit: false, has_slow: false, has_first: false });
}

#[test]
fn first_tokens_of_equal_engines_without_risk_do_not_change_decisions() {
    assert_same(Case { has_limit: true, has_slow: false, has_first: true });
}

#[test]
fn requests_of_routes_without_a_pause_are_not_affected_by_slow_engines() {
    assert_same(Case { has_limit: false, has_slow: true, has_first: false });
}
