//! Traces of requests, made from a seed: arrivals, lengths, workspaces, shared prefixes.

use std::time::Duration;

use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Whose traffic a trace looks like.
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
    /// When it comes, from the start of the trace.
    pub at: Duration,
    /// Workspace, as an index into the fleet's workspaces.
    pub workspace: usize,
    /// Prompt; it carries the length that the stand-in engine will generate.
    pub prompt: String,
    /// Length of the output, in tokens; the system does not know it.
    pub length: u64,
}

/// Shares of the workspaces in the arrivals: the first is large.
const SHARES: [f64; 3] = [0.5, 0.3, 0.2];

/// Makes a trace whose arrivals ask for `tokens_a_second` of output on average.
pub fn make(kind: FleetKind, seed: u64, tokens_a_second: f64, seconds: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mean = mean_length(kind);
    let rate = tokens_a_second / mean;
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while at < seconds as f64 {
        // Every few seconds a burst: half of the arrivals come at three times the rate.
        let burst = (at as u64 / 2).is_multiple_of(3);
        let now = if burst { rate * 1.8 } else { rate * 0.6 };
        at += -(1.0 - rng.random::<f64>()).ln() / now;
        let length = draw_length(kind, &mut rng);
        let workspace = pick_workspace(&mut rng);
        let prefix = "You answer for a member of the fleet. ".repeat(rng.random_range(1..=6));
        let prompt = format!("{prefix}request {seed} {} len={length}", arrivals.len());
        arrivals.push(Arrival { at: Duration::from_secs_f64(at), workspace, prompt, length });
    }
    arrivals
}

fn pick_workspace(rng: &mut SmallRng) -> usize {
    let mut left: f64 = rng.random();
    for (i, share) in SHARES.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return i;
        }
    }
    SHARES.len() - 1
}

/// Quick checks are short; the others are heavy-tailed.
fn draw_length(kind: FleetKind, rng: &mut SmallRng) -> u64 {
    let (short_share, scale, shape, max) = shape(kind);
    if rng.random::<f64>() < short_share {
        return rng.random_range(4..=24);
    }
    let tail = scale / (1.0 - rng.random::<f64>()).powf(1.0 / shape);
    (tail as u64).min(max)
}

fn shape(kind: FleetKind) -> (f64, f64, f64, u64) {
    match kind {
        FleetKind::Texas => (0.5, 60.0, 1.3, 900),
        FleetKind::Lanka => (0.6, 120.0, 1.4, 1_200),
    }
}

/// Mean length, from many draws of a fixed seed.
pub fn mean_length(kind: FleetKind) -> f64 {
    const DRAWS: u32 = 20_000;
    let mut rng = SmallRng::seed_from_u64(7);
    let sum: u64 = (0..DRAWS).map(|_| draw_length(kind, &mut rng)).sum();
    sum as f64 / f64::from(DRAWS)
}
