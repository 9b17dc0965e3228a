//! Policies side by side: the same trace through real processes, once a policy and seed.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use hatchpitch_e2e::fleet::{MODEL, WORKSPACES};
use hatchpitch_e2e::{FleetSpec, TestFleet};
use hatchpitch_standins::engine::server::LedgerRow;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{Served, play};
use crate::report::{histogram, median, millis, plot, table};
use crate::trace::{FleetKind, make};

/// What is compared.
pub struct Plan {
    pub fleet: FleetKind,
    pub seeds: Vec<u64>,
    pub load: f64,
    pub seconds: u64,
    pub entry: usize,
    pub chosen: Vec<String>,
}

/// Name of a policy and its lines of `[policy]` in an entry box's settings.
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

/// Engines of the measured fleet.
const ENGINES: usize = 4;
/// Memory of each, in tokens: a few long answers fill it.
const MEMORY: u64 = 2_500;
/// Slots of each, as the fleet file of the tests says.
const BATCH: f64 = 16.0;
/// Time of a step, in microseconds, without and for each generation of the batch.
const STEP_US: (f64, f64) = (8_000.0, 400.0);
/// A gap from which on a stream counts as stalled.
const STALL: Duration = Duration::from_millis(500);

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

/// Runs every policy with every seed.
///
/// # Errors
///
/// Returns an error if a fleet does not start or a file cannot be written.
pub async fn run(plan: &Plan, out: Option<&Path>) -> anyhow::Result<()> {
    let mut runs = Vec::new();
    let mut gaps: Vec<(String, Histogram<u64>)> = Vec::new();
    for seed in &plan.seeds {
        for (name, settings) in POLICIES {
            if !plan.chosen.is_empty() && !plan.chosen.iter().any(|chosen| chosen == name) {
                continue;
            }
            let (run, gap) = one(plan, *seed, name, settings).await?;
            eprintln!(
                "{name} seed {seed}: gap p99 {:.0} ms, {} preemptions",
                run.gap_p99_ms, run.preemptions
            );
            match gaps.iter_mut().find(|(known, _)| known == name) {
                Some((_, all)) => all.add(gap)?,
                None => gaps.push((name.to_owned(), gap)),
            }
            runs.push(run);
        }
    }
    show(&runs);
    if let Some(out) = out {
        std::fs::create_dir_all(out)?;
        let name = format!("policies-{:?}-{}x", plan.fleet, plan.load).to_lowercase();
        std::fs::write(out.join(format!("{name}.json")), serde_json::to_string_pretty(&runs)?)?;
        let title = format!("Time between tokens, {:?} trace, load {}", plan.fleet, plan.load);
        plot(&out.join(format!("{name}.svg")), &title, &gaps)?;
    }
    Ok(())
}

async fn one(
    plan: &Plan,
    seed: u64,
    name: &str,
    settings: &str,
) -> anyhow::Result<(Run, Histogram<u64>)> {
    let shape = FleetSpec {
        control: 1,
        entry: plan.entry,
        engines: ENGINES,
        apps: 0,
        engine_args: vec!["--memory".into(), MEMORY.to_string()],
        timing: vec![
            "max_wait_ms = 60000".into(),
            "head_timeout_ms = 60000".into(),
            format!("[policy]\n{settings}"),
        ],
    };
    let fleet = TestFleet::start(shape).await.context("fleet")?;
    let trace = make(plan.fleet, seed, capacity(plan.fleet) * plan.load, plan.seconds);
    let callers: Vec<_> = (0..WORKSPACES.len()).map(|i| fleet.caller(i)).collect();
    let started = Instant::now();
    let served = play(&trace, &fleet.entry_addrs, &callers, MODEL).await;
    let took = started.elapsed();
    let mut made: Vec<LedgerRow> = Vec::new();
    for i in 0..ENGINES {
        made.extend(fleet.ledger(i).await?);
    }
    Ok(judge(name, seed, &served, &made, took))
}

/// Tokens a second that the engines can generate within their memory.
fn capacity(kind: FleetKind) -> f64 {
    // A running generation holds its prompt and on average half of a length that is
    // weighted by how long it stays.
    let mean = crate::trace::mean_length(kind);
    let batch = (MEMORY as f64 / (40.0 + mean * 1.5)).min(BATCH);
    let step = (STEP_US.0 + STEP_US.1 * batch) / 1e6;
    ENGINES as f64 * batch / step
}

fn judge(
    policy: &str,
    seed: u64,
    served: &[Served],
    made: &[LedgerRow],
    took: Duration,
) -> (Run, Histogram<u64>) {
    let gaps = histogram(served.iter().flat_map(|s| s.gaps.iter().copied()));
    let stalls =
        served.iter().map(|s| s.gaps.iter().copied().filter(|gap| *gap > STALL).sum::<Duration>());
    let stalls: Vec<Duration> = stalls.collect();
    let stalled = stalls.iter().filter(|stall| !stall.is_zero()).count();
    let stall = histogram(stalls.into_iter());
    let first = |keep: &dyn Fn(usize) -> bool| {
        let kept = served.iter().filter(|s| keep(s.workspace));
        histogram(kept.filter_map(|s| s.first_token))
    };
    let (all, high, low) = (first(&|_| true), first(&|w| w == 0), first(&|w| w == 2));
    let complete: Vec<&Served> = served.iter().filter(|s| s.complete).collect();
    let tokens: u64 = complete.iter().map(|s| s.tokens).sum();
    let run = Run {
        policy: policy.to_owned(),
        seed,
        requests: served.len(),
        complete: complete.len(),
        refused: served.iter().filter(|s| s.refused).count(),
        gap_p50_ms: millis(&gaps, 0.5),
        gap_p95_ms: millis(&gaps, 0.95),
        gap_p99_ms: millis(&gaps, 0.99),
        gap_p999_ms: millis(&gaps, 0.999),
        stall_p99_ms: millis(&stall, 0.99),
        stalled_answers: stalled,
        first_token_p50_ms: millis(&all, 0.5),
        first_token_p99_ms: millis(&all, 0.99),
        preemptions: made.iter().map(|row| row.preemptions).sum(),
        goodput: tokens as f64 / took.as_secs_f64(),
        worst_share: worst_share(served),
        first_token_high_p99_ms: millis(&high, 0.99),
        first_token_low_p99_ms: millis(&low, 0.99),
    };
    (run, gaps)
}

/// Smallest share of its requests that any workspace had answered whole.
fn worst_share(served: &[Served]) -> f64 {
    let share = |workspace: usize| {
        let own = served.iter().filter(|s| s.workspace == workspace);
        let (asked, done) = own.fold((0, 0), |(a, d), s| (a + 1, d + u32::from(s.complete)));
        f64::from(done) / f64::from(asked.max(1))
    };
    (0..WORKSPACES.len()).map(share).fold(1.0, f64::min)
}

/// Prints the median over the seeds, and the spread of the most important figures.
fn show(runs: &[Run]) {
    let head = [
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
        let mid = |figure: fn(&Run) -> f64| {
            median(&mut own.iter().map(|run| figure(run)).collect::<Vec<_>>())
        };
        let spread = own.iter().map(|run| run.gap_p99_ms);
        let (least, most) = (spread.clone().fold(f64::MAX, f64::min), spread.fold(0.0, f64::max));
        rows.push(vec![
            name.to_owned(),
            format!("{:.3}", mid(|r| r.complete as f64 / r.requests.max(1) as f64)),
            format!("{:.0}", mid(|r| r.refused as f64)),
            format!("{:.1}", mid(|r| r.gap_p50_ms)),
            format!("{:.1}", mid(|r| r.gap_p95_ms)),
            format!("{:.1}", mid(|r| r.gap_p99_ms)),
            format!("{:.0}", mid(|r| r.gap_p999_ms)),
            format!("{least:.0}-{most:.0}"),
            format!("{:.0}", mid(|r| r.stall_p99_ms)),
            format!("{:.0}", mid(|r| r.stalled_answers as f64)),
            format!("{:.0}", mid(|r| r.preemptions as f64)),
            format!("{:.0}", mid(|r| r.first_token_p50_ms)),
            format!("{:.0}", mid(|r| r.first_token_p99_ms)),
            format!("{:.0}", mid(|r| r.first_token_high_p99_ms)),
            format!("{:.0}", mid(|r| r.first_token_low_p99_ms)),
            format!("{:.0}", mid(|r| r.goodput)),
            format!("{:.2}", mid(|r| r.worst_share)),
        ]);
    }
    println!("times in ms; median over {} run(s) a policy", runs.len() / rows.len().max(1));
    table(&head, &rows);
}
