//! Whether one more generation fits into an engine's memory, without knowing any length.
//!
//! All generations of a batch grow by a token a step, so tokens serve as the
//! common clock. For some moments ahead the memory in use is a sum of
//! independent parts: each generation is either over, or holds its prompt and
//! what it has by then. Mean and variance of that sum come from the learned
//! survival of lengths; the request is admitted while mean plus a number of
//! standard deviations stays below the limit at each moment.

use std::collections::HashMap;
use std::time::Instant;

use super::lengths::LengthModel;
use crate::engine::EngineLoad;
use crate::ids::{AttemptId, RequestKind};

/// Moments ahead that are looked at, in tokens. What may be held between two of them is
/// bounded by who is alive at the earlier and the size at the later one.
const MOMENTS: [f64; 14] = [
    0.0, 32.0, 64.0, 96.0, 144.0, 216.0, 324.0, 486.0, 730.0, 1_095.0, 1_640.0, 2_460.0, 3_690.0,
    5_535.0,
];
/// Tokens a second of one generation before any was measured.
const FIRST_RATE: f64 = 40.0;
/// Reports whose smallest unexplained use counts: a lagging report also shows what has ended.
const KEPT_REPORTS: usize = 4;

/// When one more generation is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MemoryPolicy {
    /// Always.
    Unlimited,
    /// While the memory in use now is below this share of the limit.
    Watermark(f64),
    /// While prompts and this quantile of the lengths together are below the limit.
    Quantile(f64),
    /// While the mean plus so many standard deviations stay below the limit at each moment ahead.
    Survival(f64),
}

/// A request for memory.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Requests of one kind have outputs of like length.
    pub kind: RequestKind,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Bound on its output, in tokens.
    pub max_output: u64,
}

impl Candidate {
    /// Returns the chance that the output is longer than `tokens`.
    fn survival(&self, lengths: &LengthModel, tokens: f64) -> f64 {
        if tokens >= self.max_output as f64 {
            return 0.0;
        }
        lengths.survival(&self.kind, tokens)
    }
}

#[derive(Debug, Clone)]
struct Held {
    candidate: Candidate,
    since: Instant,
}

/// The memory of one engine as its owner sees it.
#[derive(Debug, Clone)]
pub struct EngineMemory {
    held: HashMap<AttemptId, Held>,
    /// Tokens a second of one generation, smoothed.
    rate: f64,
    limit: Option<u64>,
    /// Use that the newest reports show beyond what is held here.
    unexplained: Vec<f64>,
}

impl Default for EngineMemory {
    fn default() -> Self {
        Self { held: HashMap::new(), rate: FIRST_RATE, limit: None, unexplained: Vec::new() }
    }
}

impl EngineMemory {
    /// Creates the empty memory of an engine whose generations are expected to make `rate` tokens
    /// a second each, until some have ended.
    pub fn at_rate(rate: f64) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Returns the tokens a second of one generation, smoothed.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Notes that a generation runs.
    pub fn add(&mut self, id: AttemptId, candidate: Candidate, now: Instant) {
        self.held.insert(id, Held { candidate, since: now });
    }

    /// Notes that a generation ended, with its length if it is known.
    pub fn remove(&mut self, id: &str, tokens: Option<u64>, now: Instant) {
        let Some(held) = self.held.remove(id) else { return };
        let seconds = now.duration_since(held.since).as_secs_f64();
        if let Some(tokens) = tokens.filter(|_| seconds > 0.05) {
            self.rate += (tokens as f64 / seconds - self.rate) * 0.1;
        }
    }

    /// Sets the size of the memory, where it is known without a report.
    pub fn set_limit(&mut self, tokens: u64) {
        self.limit = Some(tokens);
    }

    /// Takes in a load report.
    pub fn report(&mut self, load: &EngineLoad, now: Instant) {
        self.limit = Some(load.memory_limit);
        let known: f64 = self.held.values().map(|held| self.in_use(held, now)).sum();
        self.unexplained.push((load.memory_used as f64 - known).max(0.0));
        if self.unexplained.len() > KEPT_REPORTS {
            self.unexplained.remove(0);
        }
    }

    /// Returns the share of the memory that is in use, as far as is known here.
    pub fn share(&self, now: Instant) -> f64 {
        let Some(limit) = self.limit else { return 0.0 };
        let known: f64 = self.held.values().map(|held| self.in_use(held, now)).sum();
        (known + self.foreign()) / limit.max(1) as f64
    }

    /// Returns whether one more generation fits. Costs the batch times the moments ahead.
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
                self.share(now) + candidate.prompt as f64 / limit <= share
            }
            MemoryPolicy::Quantile(share) => {
                let all = self.held.values().map(|held| &held.candidate).chain([candidate]);
                let reserve = |c: &Candidate| {
                    (c.prompt + lengths.quantile(&c.kind, share).min(c.max_output)) as f64
                };
                self.foreign() + all.map(reserve).sum::<f64>() <= limit
            }
            MemoryPolicy::Survival(deviations) => {
                self.survives(deviations, candidate, lengths, now, limit)
            }
        }
    }

    fn survives(
        &self,
        deviations: f64,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
        limit: f64,
    ) -> bool {
        let others = self.held.values().map(|held| (&held.candidate, self.tokens(held, now)));
        let parts: Vec<(&Candidate, f64, f64)> = others
            .chain([(candidate, 0.0)])
            .map(|(c, age)| (c, age, c.survival(lengths, age).max(1e-6)))
            .collect();
        let mut before = 0.0;
        MOMENTS.iter().all(|ahead| {
            let (mut mean, mut variance) = (self.foreign(), 0.0);
            for (c, age, alive_now) in &parts {
                // Whoever is alive at the moment before may hold what this one would.
                let alive = (c.survival(lengths, age + before) / alive_now).min(1.0);
                let size = c.prompt as f64 + age + ahead;
                mean += alive * size;
                variance += alive * (1.0 - alive) * size * size;
            }
            before = *ahead;
            mean + deviations * variance.sqrt() <= limit
        })
    }

    /// Use by generations that this box did not let in.
    fn foreign(&self) -> f64 {
        self.unexplained.iter().copied().reduce(f64::min).unwrap_or(0.0)
    }

    fn tokens(&self, held: &Held, now: Instant) -> f64 {
        now.duration_since(held.since).as_secs_f64() * self.rate
    }

    fn in_use(&self, held: &Held, now: Instant) -> f64 {
        held.candidate.prompt as f64 + self.tokens(held, now)
    }
}
