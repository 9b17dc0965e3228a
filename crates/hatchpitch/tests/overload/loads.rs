//! Loads drawn from a seed: long generations and short ones, over failure domains and workspaces.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{Event, Request};

/// Long generations and short ones that come a second: four fifths of what the engines take.
const LONG_PER_S: f64 = 46.0;
const SHORT_PER_S: f64 = 32.0;
/// Workspaces that ask.
const WORKSPACES: usize = 40;
/// Time between two departures of engines, and how long each engine is away, in ms.
const LEAVING_MS: u64 = 3_300;
const AWAY_MS: u64 = 4_000;

/// What a load is drawn from.
#[derive(Debug, Clone)]
pub struct Load {
    seed: u64,
    length_ms: u64,
    /// Requests against the usual number.
    pub rate: f64,
    /// While these ms pass, callers of the failure domains ask at boxes of the last one.
    pub moved: Option<(Range<u64>, Vec<usize>, usize)>,
    /// While these ms pass, so many times the usual number comes.
    pub burst: Option<(Range<u64>, f64)>,
    /// Share of the requests that comes from workspace 0.
    pub large_share: f64,
    /// Whether short generations go before long ones.
    pub short_first: bool,
}

impl Load {
    pub fn new(seed: u64, length_ms: u64) -> Self {
        Self {
            seed,
            length_ms,
            rate: 1.0,
            moved: None,
            burst: None,
            large_share: 0.1,
            short_first: true,
        }
    }

    /// Draws the requests, in the order of their times.
    pub fn requests(&self) -> Vec<Request> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        for at_ms in 0..self.length_ms {
            let times = match &self.burst {
                Some((when, times)) if when.contains(&at_ms) => *times,
                _ => 1.0,
            };
            let per_ms = self.rate * times / 1_000.0;
            if rng.random_bool(LONG_PER_S * per_ms) {
                let output = log_normal(&mut rng, 468.0, 0.84).min(1_104.0);
                let prompt = log_normal(&mut rng, 3_080.0, 0.35).min(6_000.0);
                requests.push(self.request(&mut rng, at_ms, prompt, output, 1_800));
            }
            if rng.random_bool(SHORT_PER_S * per_ms) {
                let output = log_normal(&mut rng, 6.4, 0.89).min(22.0);
                let prompt = log_normal(&mut rng, 2_550.0, 0.6).min(6_000.0);
                requests.push(self.request(&mut rng, at_ms, prompt, output, 1_500));
            }
        }
        requests
    }

    fn request(
        &self,
        rng: &mut StdRng,
        at_ms: u64,
        prompt: f64,
        output: f64,
        aim_ms: u64,
    ) -> Request {
        let large = rng.random_bool(self.large_share);
        let workspace = if large { 0 } else { rng.random_range(1..WORKSPACES) };
        let mut domain = rng.random_range(0..crate::DOMAINS);
        if let Some((when, from, to)) = &self.moved
            && when.contains(&at_ms)
            && from.contains(&domain)
        {
            domain = *to;
        }
        let priority = u8::from(self.short_first && output <= 40.0);
        let (prompt, output) = (prompt as u64 + 1, output as u64 + 1);
        Request { at_ms, domain, workspace, priority, prompt, output, aim_ms }
    }
}

/// Draws from a distribution with this mean; `spread` is the deviation of the logarithm.
fn log_normal(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (mean.ln() - spread * spread / 2.0 + spread * normal).exp()
}

/// A sixth of the engines leaves every few seconds and comes back empty.
pub fn leaving(length_ms: u64, engines: usize) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut first = 0;
    for at in (1_500..length_ms).step_by(LEAVING_MS as usize) {
        for engine in (first..first + engines / 6).map(|i| i % engines) {
            events.push((at, Event::Leaves { engine }));
            events.push((at + AWAY_MS, Event::Returns { engine }));
        }
        first += engines / 6;
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
