//! Comparison of admission policies: the same trace is replayed on real processes, once per policy
//! and seed.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use hatchpitch_e2e::fleet::{MODEL, WORKSPACES};
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::engine::server::LedgerRow;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{RequestResult, replay};
use crate::report::{histogram, median, millis, plot, print_table};
use crate::trace::{FleetKind, generate};

/// Configuration of the comparison.
pub struct Config {
    pub fleet: FleetKind,
    pub seeds: Vec<u64>,
    pub load: f64,
    pub seconds: u64,
    pub entry: usize,
    pub policies: Vec<String>,
}

/// Policies: their names and their `[policy]` sections in the settings of an entry box.
const POLICIES: [(&str, &str); 10] = [
    (
        "naive",
        "placement = \"local\"\norder = \"arrival\"\npick = \"round-robin\"\nmemory = \"unlimited\"",
    ),
    ("local-unlimited", "placement = \"local\"\nmemory = \"unlimited\""),
    ("local-survival", "placement = \"local\"\nmemory = \"survival\""),
    ("owner-unlimited", "placement = \"owner\"\nmemory = \"unlimited\""),
    ("owner-watermark", "placement = \"owner\"\nmemory = \"watermark\""),
    ("owner-quantile", "placement = \"owner\"\nmemory = \"quantile\""),
    ("owner-survival", "placement = \"owner\"\nmemory = \"survival\""),
    ("owner-survival-3", "placement = \"owner\"\nmemory = \"survival\"\nmemory_bound = 3.0"),
    ("owner-survival-2", "placement = \"owner\"\nmemory = \"survival\"\nmemory_bound = 2.0"),
    ("owner-survival-1.5", "placement = \"owner\"\nmemory = \"survival\"\nmemory_bound = 1.5"),
];

/// Number of engines in the fleet.
const ENGINES: usize = 4;
/// Memory of each engine, in tokens; small enough for a few long answers to fill it.
const ENGINE_MEMORY: u64 = 2_500;
/// Batch slots of each engine; must match the fleet file of the tests.
const MAX_BATCH: f64 = 16.0;
/// Duration of an engine step, in microseconds: the fixed part, and the part per generation in the
/// batch.
const STEP_US: (f64, f64) = (8_000.0, 400.0);
/// Gap between tokens above which a stream counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Figures of one run, encoded as the JSON output.
#[derive(Debug, Clone, Serialize)]
struct Run {
    policy: String,
    seed: u64,
    requests: usize,
    complete: usize,
    refused: usize,
    gap_p50_ms: f64,
    gap_p95_ms: f64,
    gap_p99_ms: f64,
    gap_p999_ms: f64,
    stall_p99_ms: f64,
    stalled_answers: usize,
    first_token_p50_ms: f64,
    first_token_p99_ms: f64,
    preemptions: u64,
    goodput: f64,
    worst_share: f64,
    first_token_high_p99_ms: f64,
    first_token_low_p99_ms: f64,
}

/// Runs every selected policy with every seed.
///
/// # Errors
///
/// Returns an error if a fleet does not start or a file cannot be written.
pub async fn run(cfg: &Config, out: Option<&Path>) -> anyhow::Result<()> {
    let mut runs = Vec::new();
    let mut gaps: Vec<(String, Histogram<u64>)> = Vec::new();
    for seed in &cfg.seeds {
        for (name, settings) in POLICIES {
            if !cfg.policies.is_empty() && !cfg.policies.iter().any(|policy| policy == name) {
                continue;
            }
            let (run, run_gaps) = run_policy(cfg, *seed, name, settings).await?;
            eprintln!(
                "{name} seed {seed}: gap p99 {:.0} ms, {} preemptions",
                run.gap_p99_ms, run.preemptions
            );
            match gaps.iter_mut().find(|(known, _)| known == name) {
                Some((_, all)) => all.add(run_gaps)?,
                None => gaps.push((name.to_owned(), run_gaps)),
            }
            runs.push(run);
        }
    }
    print_results(&runs);
    if let Some(out) = out {
        std::fs::create_dir_all(out)?;
        let name = format!("policies-{:?}-{}x", cfg.fleet, cfg.load).to_lowercase();
        std::fs::write(out.join(format!("{name}.json")), serde_json::to_string_pretty(&runs)?)?;
        let title = format!("Time between tokens, {:?} trace, load {}", cfg.fleet, cfg.load);
        plot(&out.join(format!("{name}.svg")), &title, &gaps)?;
    }
    Ok(())
}

/// Runs one policy with one seed on a new fleet, and returns its figures and token gaps.
async fn run_policy(
    cfg: &Config,
    seed: u64,
    name: &str,
    settings: &str,
) -> anyhow::Result<(Run, Histogram<u64>)> {
    let shape = FleetSpec {
        control: 1,
        entry: cfg.entry,
        engines: ENGINES,
        apps: 0,
        engine_args: vec!["--memory".into(), ENGINE_MEMORY.to_string()],
        timing: vec![
            "max_wait_ms = 60000".into(),
            "head_timeout_ms = 60000".into(),
            format!("[policy]\n{settings}"),
        ],
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start(shape).await.context("starting the test fleet")?;
    let trace = generate(cfg.fleet, seed, capacity(cfg.fleet) * cfg.load, cfg.seconds);
    let callers: Vec<_> = (0..WORKSPACES.len()).map(|i| fleet.caller(i)).collect();
    let started = Instant::now();
    let results = replay(&trace, &fleet.entry_addrs, &callers, MODEL).await;
    let elapsed = started.elapsed();
    let mut ledger: Vec<LedgerRow> = Vec::new();
    for i in 0..ENGINES {
        ledger.extend(fleet.ledger(i).await?);
    }
    Ok(summarize(name, seed, &results, &ledger, elapsed))
}

/// Returns the tokens per second that the engines can generate within their memory.
fn capacity(kind: FleetKind) -> f64 {
    // A running generation holds its prompt and, on average, half of its output. Running
    // generations are weighted by their duration, so their mean length exceeds that of arrivals.
    let mean = crate::trace::mean_length(kind);
    let batch = (ENGINE_MEMORY as f64 / (40.0 + mean * 1.5)).min(MAX_BATCH);
    let step = (STEP_US.0 + STEP_US.1 * batch) / 1e6;
    ENGINES as f64 * batch / step
}

fn summarize(
    policy: &str,
    seed: u64,
    results: &[RequestResult],
    ledger: &[LedgerRow],
    elapsed: Duration,
) -> (Run, Histogram<u64>) {
    let gaps = histogram(results.iter().flat_map(|s| s.gaps.iter().copied()));
    let stalls = results
        .iter()
        .map(|s| s.gaps.iter().copied().filter(|gap| *gap > STALL_THRESHOLD).sum::<Duration>());
    let stalls: Vec<Duration> = stalls.collect();
    let stalled = stalls.iter().filter(|stall| !stall.is_zero()).count();
    let stall = histogram(stalls.into_iter());
    let first = |keep: &dyn Fn(usize) -> bool| {
        let kept = results.iter().filter(|s| keep(s.workspace));
        histogram(kept.filter_map(|s| s.first_token))
    };
    let (all, high, low) = (first(&|_| true), first(&|w| w == 0), first(&|w| w == 2));
    let complete: Vec<&RequestResult> = results.iter().filter(|s| s.complete).collect();
    let tokens: u64 = complete.iter().map(|s| s.tokens).sum();
    let run = Run {
        policy: policy.to_owned(),
        seed,
        requests: results.len(),
        complete: complete.len(),
        refused: results.iter().filter(|s| s.refused).count(),
        gap_p50_ms: millis(&gaps, 0.5),
        gap_p95_ms: millis(&gaps, 0.95),
        gap_p99_ms: millis(&gaps, 0.99),
        gap_p999_ms: millis(&gaps, 0.999),
        stall_p99_ms: millis(&stall, 0.99),
        stalled_answers: stalled,
        first_token_p50_ms: millis(&all, 0.5),
        first_token_p99_ms: millis(&all, 0.99),
        preemptions: ledger.iter().map(|row| row.preemptions).sum(),
        goodput: tokens as f64 / elapsed.as_secs_f64(),
        worst_share: worst_share(results),
        first_token_high_p99_ms: millis(&high, 0.99),
        first_token_low_p99_ms: millis(&low, 0.99),
    };
    (run, gaps)
}

/// Returns the smallest share of completely answered requests over the workspaces.
fn worst_share(results: &[RequestResult]) -> f64 {
    let share = |workspace: usize| {
        let own = results.iter().filter(|s| s.workspace == workspace);
        let (asked, done) = own.fold((0, 0), |(a, d), s| (a + 1, d + u32::from(s.complete)));
        f64::from(done) / f64::from(asked.max(1))
    };
    (0..WORKSPACES.len()).map(share).fold(1.0, f64::min)
}

/// Prints the medians over the seeds, and the range of the p99 token gap.
fn print_results(runs: &[Run]) {
    let header = [
        "policy",
        "done",
        "refused",
        "gap p50",
        "p95",
        "p99",
        "p99.9",
        "p99 spread",
        "stall p99",
        "stalled",
        "preempt",
        "ttft p50",
        "p99",
        "high p99",
        "low p99",
        "tokens/s",
        "worst",
    ];
    let mut rows = Vec::new();
    for (name, _) in POLICIES {
        let own: Vec<&Run> = runs.iter().filter(|run| run.policy == name).collect();
        if own.is_empty() {
            continue;
        }
        let median_of = |figure: fn(&Run) -> f64| {
            median(&mut own.iter().map(|run| figure(run)).collect::<Vec<_>>())
        };
        let spread = own.iter().map(|run| run.gap_p99_ms);
        let (min, max) = (spread.clone().fold(f64::MAX, f64::min), spread.fold(0.0, f64::max));
        rows.push(vec![
            name.to_owned(),
            format!("{:.3}", median_of(|r| r.complete as f64 / r.requests.max(1) as f64)),
            format!("{:.0}", median_of(|r| r.refused as f64)),
            format!("{:.1}", median_of(|r| r.gap_p50_ms)),
            format!("{:.1}", median_of(|r| r.gap_p95_ms)),
            format!("{:.1}", median_of(|r| r.gap_p99_ms)),
            format!("{:.0}", median_of(|r| r.gap_p999_ms)),
            format!("{min:.0}-{max:.0}"),
            format!("{:.0}", median_of(|r| r.stall_p99_ms)),
            format!("{:.0}", median_of(|r| r.stalled_answers as f64)),
            format!("{:.0}", median_of(|r| r.preemptions as f64)),
            format!("{:.0}", median_of(|r| r.first_token_p50_ms)),
            format!("{:.0}", median_of(|r| r.first_token_p99_ms)),
            format!("{:.0}", median_of(|r| r.first_token_high_p99_ms)),
            format!("{:.0}", median_of(|r| r.first_token_low_p99_ms)),
            format!("{:.0}", median_of(|r| r.goodput)),
            format!("{:.2}", median_of(|r| r.worst_share)),
        ]);
    }
    println!("times in ms; median over {} run(s) a policy", runs.len() / rows.len().max(1));
    print_table(&header, &rows);
}
