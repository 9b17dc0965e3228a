//! Decides whether one more generation fits into the KV cache of an engine.
//!
//! Output lengths are not known in advance. All generations of a batch grow by one token per step,
//! so time is measured in tokens. At each of several horizons ahead, memory use is modelled as a
//! sum of independent terms: a generation has either ended, or holds its prompt and the output
//! produced by then. The mean and variance of the sum follow from the learned survival function of
//! the lengths. A request is admitted if the mean plus a number of standard deviations stays
//! within the limit at every horizon.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::lengths::LengthModel;
use crate::engine::EngineLoad;
use crate::ids::{AttemptId, RequestKind};

/// Horizons at which memory use is estimated, in tokens ahead. Use between two horizons is bounded
/// by the generations still running at the earlier one and their sizes at the later one.
const HORIZONS: [f64; 14] = [
    0.0, 32.0, 64.0, 96.0, 144.0, 216.0, 324.0, 486.0, 730.0, 1_095.0, 1_640.0, 2_460.0, 3_690.0,
    5_535.0,
];
/// Decode rate of one generation before any was measured, in tokens per second.
const INITIAL_RATE: f64 = 40.0;
/// Number of recent reports over which the minimum of the unattributed use is taken. A lagging
/// report still includes generations that have ended, so a single one overestimates it.
const REPORT_WINDOW: usize = 4;

/// Rule by which one more generation is admitted to an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MemoryPolicy {
    /// Always admits.
    Unlimited,
    /// Admits while the memory in use, prompt included, is at most this fraction of the limit.
    Watermark(f64),
    /// Admits while the prompts plus this quantile of the output lengths fit within the limit.
    Quantile(f64),
    /// Admits while the mean use plus this many standard deviations stays within the limit at every
    /// horizon.
    Survival(f64),
}

/// Memory needs of a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Kind of request. Requests of one kind have similar output lengths.
    pub kind: RequestKind,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Upper bound on the output, in tokens.
    pub max_output: u64,
}

impl Candidate {
    /// Returns the probability that the output is longer than `tokens`.
    fn survival(&self, lengths: &LengthModel, tokens: f64) -> f64 {
        if tokens >= self.max_output as f64 {
            return 0.0;
        }
        lengths.survival(&self.kind, tokens)
    }
}

/// A generation that runs on the engine.
#[derive(Debug, Clone)]
struct Generation {
    candidate: Candidate,
    started: Instant,
}

/// Memory of one engine as estimated by its owner.
#[derive(Debug, Clone)]
pub struct EngineMemory {
    running: HashMap<AttemptId, Generation>,
    /// Decode rate of one generation in tokens per second, smoothed.
    rate: f64,
    /// Size of the memory in tokens, once it is known.
    limit: Option<u64>,
    /// Use in the latest reports beyond that of `running`, in tokens.
    unattributed: Vec<f64>,
}

impl Default for EngineMemory {
    fn default() -> Self {
        Self { running: HashMap::new(), rate: INITIAL_RATE, limit: None, unattributed: Vec::new() }
    }
}

impl EngineMemory {
    /// Creates an empty memory with an initial decode rate of `rate` tokens per second and
    /// generation, which is corrected as generations end.
    pub fn at_rate(rate: f64) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Returns the smoothed decode rate of one generation, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Adds a generation that has started.
    pub fn add(&mut self, id: AttemptId, candidate: Candidate, now: Instant) {
        self.running.insert(id, Generation { candidate, started: now });
    }

    /// Removes a generation that has ended, and returns how long it ran; `tokens` is the length of
    /// its output, if known.
    pub fn remove(&mut self, id: &str, tokens: Option<u64>, now: Instant) -> Option<Duration> {
        let generation = self.running.remove(id)?;
        let took = now.duration_since(generation.started);
        let seconds = took.as_secs_f64();
        if let Some(tokens) = tokens.filter(|_| seconds > 0.05) {
            self.rate += (tokens as f64 / seconds - self.rate) * 0.1;
        }
        Some(took)
    }

    /// Sets the size of the memory in tokens, where it is known without a load report.
    pub fn set_limit(&mut self, tokens: u64) {
        self.limit = Some(tokens);
    }

    /// Applies a load report of the engine.
    pub fn report(&mut self, load: &EngineLoad, now: Instant) {
        self.limit = Some(load.memory_limit);
        let known: f64 = self.running.values().map(|g| self.memory_use(g, now)).sum();
        self.unattributed.push((load.memory_used as f64 - known).max(0.0));
        if self.unattributed.len() > REPORT_WINDOW {
            self.unattributed.remove(0);
        }
    }

    /// Returns the estimated fraction of the memory that is in use, or 0 if its size is not known.
    pub fn utilization(&self, now: Instant) -> f64 {
        let Some(limit) = self.limit else { return 0.0 };
        let known: f64 = self.running.values().map(|g| self.memory_use(g, now)).sum();
        (known + self.unattributed_use()) / limit.max(1) as f64
    }

    /// Returns whether one more generation fits. Takes time proportional to the running generations
    /// times the horizons.
    pub fn fits(
        &self,
        policy: MemoryPolicy,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> bool {
        let Some(limit) = self.limit else { return true };
        let limit = limit as f64;
        match policy {
            MemoryPolicy::Unlimited => true,
            MemoryPolicy::Watermark(share) => {
                self.utilization(now) + candidate.prompt as f64 / limit <= share
            }
            MemoryPolicy::Quantile(share) => {
                let all = self.running.values().map(|g| &g.candidate).chain([candidate]);
                let reservation = |c: &Candidate| {
                    c.prompt.saturating_add(lengths.quantile(&c.kind, share).min(c.max_output))
                        as f64
                };
                self.unattributed_use() + all.map(reservation).sum::<f64>() <= limit
            }
            MemoryPolicy::Survival(deviations) => {
                self.fits_survival(deviations, candidate, lengths, now, limit)
            }
        }
    }

    fn fits_survival(
        &self,
        deviations: f64,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
        limit: f64,
    ) -> bool {
        let others = self.running.values().map(|g| (&g.candidate, self.output_tokens(g, now)));
        // Each generation with its output so far and the probability of getting that far.
        let terms: Vec<(&Candidate, f64, f64)> = others
            .chain([(candidate, 0.0)])
            .map(|(c, age)| (c, age, c.survival(lengths, age).max(1e-6)))
            .collect();
        let mut previous = 0.0;
        HORIZONS.iter().all(|ahead| {
            let (mut mean, mut variance) = (self.unattributed_use(), 0.0);
            for (c, age, reached) in &terms {
                // A generation that is running at the previous horizon may grow to its size at
                // this one.
                let survival = (c.survival(lengths, age + previous) / reached).min(1.0);
                let size = c.prompt as f64 + age + ahead;
                mean += survival * size;
                variance += survival * (1.0 - survival) * size * size;
            }
            previous = *ahead;
            mean + deviations * variance.sqrt() <= limit
        })
    }

    /// Returns the use by generations that this box did not admit, in tokens.
    fn unattributed_use(&self) -> f64 {
        self.unattributed.iter().copied().reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns the estimated output length of a generation so far, in tokens.
    fn output_tokens(&self, generation: &Generation, now: Instant) -> f64 {
        now.duration_since(generation.started).as_secs_f64() * self.rate
    }

    /// Returns the estimated memory use of a generation, in tokens.
    fn memory_use(&self, generation: &Generation, now: Instant) -> f64 {
        generation.candidate.prompt as f64 + self.output_tokens(generation, now)
    }
}
