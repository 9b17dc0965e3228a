//! Synthetic request traces, generated from a seed: arrival times, output lengths, workspaces and
//! shared prompt prefixes.

use std::time::Duration;

use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Fleet whose traffic a trace models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FleetKind {
    /// Lenders: explainers and eligibility checks.
    Texas,
    /// Beekeepers: season reports and swarm notes.
    Lanka,
}

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time, from the start of the trace.
    pub at: Duration,
    /// Workspace, as an index into the fleet's workspaces.
    pub workspace: usize,
    /// Prompt, which tells the stand-in engine the output length as `len=`.
    pub prompt: String,
    /// Output length, in tokens; not known to the system under test.
    pub length: u64,
}

/// Share of each workspace in the arrivals, the largest first.
const WORKSPACE_SHARES: [f64; 3] = [0.5, 0.3, 0.2];

/// Generates a trace of `seconds` whose arrivals request `tokens_per_second` of output on average.
pub fn generate(kind: FleetKind, seed: u64, tokens_per_second: f64, seconds: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mean = mean_length(kind);
    let rate = tokens_per_second / mean;
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while at < seconds as f64 {
        // The first 2 of every 6 seconds are a burst at three times the rate of the other 4, so
        // about 60 % of the arrivals fall into bursts.
        let burst = (at as u64 / 2).is_multiple_of(3);
        let current_rate = if burst { rate * 1.8 } else { rate * 0.6 };
        at += -(1.0 - rng.random::<f64>()).ln() / current_rate;
        let length = sample_length(kind, &mut rng);
        let workspace = sample_workspace(&mut rng);
        let prefix = "You answer for a member of the fleet. ".repeat(rng.random_range(1..=6));
        let prompt = format!("{prefix}request {seed} {} len={length}", arrivals.len());
        arrivals.push(Arrival { at: Duration::from_secs_f64(at), workspace, prompt, length });
    }
    arrivals
}

fn sample_workspace(rng: &mut SmallRng) -> usize {
    let mut remaining: f64 = rng.random();
    for (i, share) in WORKSPACE_SHARES.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return i;
        }
    }
    WORKSPACE_SHARES.len() - 1
}

/// Samples an output length: short checks of 4 to 24 tokens are uniform, the others follow a Pareto
/// distribution cut off at a maximum.
fn sample_length(kind: FleetKind, rng: &mut SmallRng) -> u64 {
    let (short_share, scale, shape, max) = length_params(kind);
    if rng.random::<f64>() < short_share {
        return rng.random_range(4..=24);
    }
    let tail = scale / (1.0 - rng.random::<f64>()).powf(1.0 / shape);
    (tail as u64).min(max)
}

/// Returns the share of short checks, and the scale, shape and maximum of the Pareto distribution.
fn length_params(kind: FleetKind) -> (f64, f64, f64, u64) {
    match kind {
        FleetKind::Texas => (0.5, 60.0, 1.3, 900),
        FleetKind::Lanka => (0.6, 120.0, 1.4, 1_200),
    }
}

/// Returns the mean output length, estimated from samples with a fixed seed.
pub fn mean_length(kind: FleetKind) -> f64 {
    const SAMPLES: u32 = 20_000;
    let mut rng = SmallRng::seed_from_u64(7);
    let sum: u64 = (0..SAMPLES).map(|_| sample_length(kind, &mut rng)).sum();
    sum as f64 / f64::from(SAMPLES)
}
