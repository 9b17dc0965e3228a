//! Estimates the prefill backlog of an engine and its prefill rate.
//!
//! An engine prefills prompts in order of arrival, whatever their priority, and does not report
//! its progress. The owner therefore counts the prompt tokens that it sent, drains the count at
//! the estimated rate, and learns that rate from the time to first token of each run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::AttemptId;

/// Prefill rate before any was measured, in tokens per second. Busy engines reach it beside their
/// other work, and idle ones twice as much.
const INITIAL_RATE: f64 = 7_000.0;
/// Plausible prefill rates, in tokens per second. A time to first token that implies another rate
/// reflects the network path rather than the engine, and is ignored.
const PLAUSIBLE_RATES: (f64, f64) = (1_000.0, 50_000.0);
/// Smoothing factor of the rate; the estimate covers about the last ten runs.
const SMOOTHING: f64 = 0.1;

/// How the first runs of an engine change the rate that it starts with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FirstRuns {
    /// As any later run: the engines are about equal.
    #[default]
    Smoothed,
    /// They replace it: the engines differ.
    Replace,
}

/// Prefill backlog of one engine.
#[derive(Debug, Clone)]
pub struct PrefillBacklog {
    /// Tokens left to prefill at `updated`.
    tokens: f64,
    updated: Option<Instant>,
    /// Prefill rate in tokens per second, smoothed.
    rate: f64,
    /// Prefill rate by the engine's own runs alone, and their number.
    own_rate: f64,
    own_runs: u32,
    /// Backlog in tokens at the arrival of each run, including its own prompt.
    backlog_at_arrival: HashMap<AttemptId, f64>,
}

impl Default for PrefillBacklog {
    fn default() -> Self {
        Self::at_rate(INITIAL_RATE)
    }
}

impl PrefillBacklog {
    /// Creates an empty backlog with an initial rate of `rate` tokens per second.
    pub fn at_rate(rate: f64) -> Self {
        Self {
            tokens: 0.0,
            updated: None,
            rate,
            own_rate: rate,
            own_runs: 0,
            backlog_at_arrival: HashMap::new(),
        }
    }

    /// Returns the prefill rate by the engine's own runs alone, in tokens per second, once there is
    /// one.
    pub fn own_rate(&self) -> Option<f64> {
        (self.own_runs > 0).then_some(self.own_rate)
    }

    /// Returns the estimated prefill rate, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Adds the prompt of a run, with its length in tokens.
    pub fn add(&mut self, id: AttemptId, prompt: u64, now: Instant) {
        self.tokens = self.remaining(now) + prompt as f64;
        self.updated = Some(now);
        self.backlog_at_arrival.insert(id, self.tokens);
    }

    /// Removes a run that has ended and updates the rate; `first_token` is its time to first token,
    /// if it produced one.
    pub fn remove(&mut self, id: &str, first_token: Option<Duration>) {
        self.remove_with(id, first_token, FirstRuns::Smoothed);
    }

    /// Does the same as [`remove`](Self::remove); `first_runs` says how the first runs change the
    /// rate.
    pub fn remove_with(&mut self, id: &str, first_token: Option<Duration>, first_runs: FirstRuns) {
        let Some(backlog) = self.backlog_at_arrival.remove(id) else { return };
        let measured = first_token.map(|time| backlog / time.as_secs_f64().max(1e-3));
        if let Some(rate) =
            measured.filter(|rate| (PLAUSIBLE_RATES.0..=PLAUSIBLE_RATES.1).contains(rate))
        {
            self.own_runs = self.own_runs.saturating_add(1);
            // The mean of the first runs, until the estimate covers about the last ten.
            let own_smoothing = f64::from(self.own_runs).recip().max(SMOOTHING);
            self.own_rate += (rate - self.own_rate) * own_smoothing;
            match first_runs {
                FirstRuns::Smoothed => self.rate += (rate - self.rate) * SMOOTHING,
                FirstRuns::Replace => self.rate = self.own_rate,
            }
        }
    }

    /// Returns the time until the backlog is prefilled, in seconds.
    pub fn seconds(&self, now: Instant) -> f64 {
        self.remaining(now) / self.rate
    }

    /// Returns the tokens left to prefill.
    fn remaining(&self, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        (self.tokens - elapsed * self.rate).max(0.0)
    }
}
