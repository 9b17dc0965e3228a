//! How many prompts an engine has still to read, and how fast it reads.
//!
//! An engine reads prompts in the order in which they came, whatever was paid for them, and tells
//! nothing of it. So the owner counts what it sent, works it down by the clock, and learns the
//! pace from the time that each run took to its first token.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::AttemptId;

/// Prompt tokens that an engine is taken to read in a second before any time was measured;
/// engines in use read so many beside their other work, and twice as many when idle.
const FIRST_RATE: f64 = 7_000.0;
/// Paces that are believed, in tokens a second: outside of them a time to the first token says
/// more about the way than about the engine.
const RATES: (f64, f64) = (1_000.0, 50_000.0);
/// Weight of a measured pace: the mean of the last ten runs or so.
const WEIGHT: f64 = 0.1;

/// The prompts of one engine.
#[derive(Debug, Clone)]
pub struct Reading {
    /// Tokens to be read at `at`.
    tokens: f64,
    at: Option<Instant>,
    /// Tokens read in a second.
    rate: f64,
    /// Tokens that were to be read when each run came, its own ones included.
    ahead: HashMap<AttemptId, f64>,
}

impl Default for Reading {
    fn default() -> Self {
        Self::at_rate(FIRST_RATE)
    }
}

impl Reading {
    /// Creates an engine without prompts that is expected to read `rate` tokens a second.
    pub fn at_rate(rate: f64) -> Self {
        Self { tokens: 0.0, at: None, rate, ahead: HashMap::new() }
    }

    /// Returns the tokens that are read in a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Adds the prompt of a run.
    pub fn add(&mut self, id: AttemptId, prompt: u64, now: Instant) {
        self.tokens = self.left(now) + prompt as f64;
        self.at = Some(now);
        self.ahead.insert(id, self.tokens);
    }

    /// Takes a run that is over; `first` is the time that it took to its first token.
    pub fn give_back(&mut self, id: &str, first: Option<Duration>) {
        let Some(ahead) = self.ahead.remove(id) else { return };
        let measured = first.map(|first| ahead / first.as_secs_f64().max(1e-3));
        if let Some(rate) = measured.filter(|rate| (RATES.0..=RATES.1).contains(rate)) {
            self.rate += (rate - self.rate) * WEIGHT;
        }
    }

    /// Returns the seconds for which there is something to read.
    pub fn seconds(&self, now: Instant) -> f64 {
        self.left(now) / self.rate
    }

    fn left(&self, now: Instant) -> f64 {
        let passed = self.at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        (self.tokens - passed * self.rate).max(0.0)
    }
}
