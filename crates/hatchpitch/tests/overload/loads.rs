//! Random loads with a seed: long and short generations, spread over failure domains and
//! workspaces.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{Event, Request};

/// Arrivals of long and of short generations per second. Together they use four fifths of the
/// engines' capacity.
const LONG_PER_S: f64 = 46.0;
const SHORT_PER_S: f64 = 32.0;
/// Number of workspaces that send requests.
const WORKSPACES: usize = 40;
/// Interval between drains of engines, and the time for which an engine drains, in milliseconds.
const DRAIN_INTERVAL_MS: u64 = 3_300;
const DRAIN_MS: u64 = 4_000;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    seed: u64,
    /// Duration of the load.
    length_ms: u64,
    /// Arrival rate relative to the standard rate.
    pub rate: f64,
    /// A period in milliseconds in which requests from the listed failure domains arrive at boxes
    /// of another one.
    pub redirected: Option<(Range<u64>, Vec<usize>, usize)>,
    /// A period in milliseconds, and the factor that the arrival rate is multiplied by in it.
    pub burst: Option<(Range<u64>, f64)>,
    /// Share of the requests that workspace 0 sends.
    pub large_share: f64,
    /// Whether short generations have a higher priority than long ones.
    pub short_first: bool,
}

impl Load {
    pub fn new(seed: u64, length_ms: u64) -> Self {
        Self {
            seed,
            length_ms,
            rate: 1.0,
            redirected: None,
            burst: None,
            large_share: 0.1,
            short_first: true,
        }
    }

    /// Generates the requests, in order of arrival.
    pub fn requests(&self) -> Vec<Request> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        for at_ms in 0..self.length_ms {
            let factor = match &self.burst {
                Some((period, factor)) if period.contains(&at_ms) => *factor,
                _ => 1.0,
            };
            let per_ms = self.rate * factor / 1_000.0;
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
        target_ms: u64,
    ) -> Request {
        let large = rng.random_bool(self.large_share);
        let workspace = if large { 0 } else { rng.random_range(1..WORKSPACES) };
        let mut domain = rng.random_range(0..crate::DOMAINS);
        if let Some((period, from, to)) = &self.redirected
            && period.contains(&at_ms)
            && from.contains(&domain)
        {
            domain = *to;
        }
        let priority = u8::from(self.short_first && output <= 40.0);
        let (prompt, output) = (prompt as u64 + 1, output as u64 + 1);
        Request { at_ms, domain, workspace, priority, prompt, output, target_ms }
    }
}

/// Draws from a log-normal distribution with this mean; `spread` is the standard deviation of the
/// logarithm.
fn log_normal(rng: &mut StdRng, mean: f64, spread: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    (mean.ln() - spread * spread / 2.0 + spread * normal).exp()
}

/// Returns events that drain a different sixth of the engines every few seconds.
pub fn rolling_drains(length_ms: u64, engines: usize) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    let mut first = 0;
    for at in (1_500..length_ms).step_by(DRAIN_INTERVAL_MS as usize) {
        for engine in (first..first + engines / 6).map(|i| i % engines) {
            events.push((at, Event::Drains { engine }));
            events.push((at + DRAIN_MS, Event::Resumes { engine }));
        }
        first += engines / 6;
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Returns events that replace a sixth of the engines every few seconds, the oldest ones first.
pub fn rolling_replacements(length_ms: u64, engines: usize) -> Vec<(u64, Event)> {
    let rounds = (1_500..length_ms).step_by(DRAIN_INTERVAL_MS as usize).enumerate();
    let sixth = engines / 6;
    let events = rounds.flat_map(|(round, at)| {
        (round * sixth..(round + 1) * sixth).map(move |engine| (at, Event::Replaced { engine }))
    });
    events.collect()
}
