//! How long outputs are: learned a kind of request, without knowing any length ahead.
//!
//! A histogram with buckets that grow by a quarter of a power of two gives the
//! chance that an output is longer than so many tokens. A kind with few
//! samples borrows from its pool, and a pool from a heavy-tailed prior.

use std::collections::HashMap;

use crate::ids::RequestKind;

/// Buckets a power of two.
const PER_OCTAVE: f64 = 4.0;
/// Buckets; the last one holds everything longer.
const BUCKETS: usize = 72;
/// Samples after which older ones lose half of their weight.
const MAX_SAMPLES: f64 = 4_096.0;
/// Samples that the borrowed distribution is worth.
const BORROWED: f64 = 16.0;
/// Length from which the prior's tail falls, in tokens.
const PRIOR_SCALE: f64 = 64.0;
/// Kinds that are kept apart; more share their pool's samples.
const MAX_KINDS: usize = 8_192;

/// Lengths seen, newest ones weighing most.
#[derive(Debug, Clone)]
struct Samples {
    counts: [f32; BUCKETS],
    /// Samples in all later buckets, so that a look-up costs the same whatever was seen.
    above: [f32; BUCKETS],
    total: f64,
}

impl Default for Samples {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], above: [0.0; BUCKETS], total: 0.0 }
    }
}

impl Samples {
    fn add(&mut self, tokens: u64) {
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket(tokens)] += 1.0;
        self.total += 1.0;
        let mut above = 0.0;
        for (count, sum) in self.counts.iter().zip(&mut self.above).rev() {
            *sum = above;
            above += count;
        }
    }

    /// Returns how many samples are longer than `tokens`; the bucket it lies in counts in part.
    fn longer(&self, tokens: f64) -> f64 {
        let at = position(tokens);
        let within = (at as usize).min(BUCKETS - 1);
        let part = 1.0 - (at - within as f64).clamp(0.0, 1.0);
        f64::from(self.above[within]) + f64::from(self.counts[within]) * part
    }
}

fn position(tokens: f64) -> f64 {
    tokens.max(1.0).log2() * PER_OCTAVE
}

fn bucket(tokens: u64) -> usize {
    (position(tokens as f64) as usize).min(BUCKETS - 1)
}

/// Lengths of the outputs of one pool.
#[derive(Debug, Clone, Default)]
pub struct LengthModel {
    pool: Samples,
    kinds: HashMap<RequestKind, Samples>,
    mean: f64,
}

impl LengthModel {
    /// Takes in the length of a finished output.
    pub fn observe(&mut self, kind: &str, tokens: u64) {
        self.pool.add(tokens);
        let weight = (1.0 / self.pool.total).max(0.01);
        self.mean += (tokens as f64 - self.mean) * weight;
        if let Some(samples) = self.kinds.get_mut(kind) {
            samples.add(tokens);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.entry(kind.to_owned()).or_default().add(tokens);
        }
    }

    /// Returns the chance that an output of a kind is longer than `tokens`.
    pub fn survival(&self, kind: &str, tokens: f64) -> f64 {
        let prior = (PRIOR_SCALE / tokens.max(PRIOR_SCALE)).powf(1.1);
        let pool = (self.pool.longer(tokens) + BORROWED * prior) / (self.pool.total + BORROWED);
        match self.kinds.get(kind) {
            Some(own) => (own.longer(tokens) + BORROWED * pool) / (own.total + BORROWED),
            None => pool,
        }
    }

    /// Returns the length that an output of a kind stays below with chance `share`.
    pub fn quantile(&self, kind: &str, share: f64) -> u64 {
        let found = (0..BUCKETS).map(|b| 2_f64.powf(b as f64 / PER_OCTAVE));
        let mut found = found.skip_while(|len| self.survival(kind, *len) > 1.0 - share);
        found.next().map_or(u64::MAX / 4, |len| len as u64)
    }

    /// Returns the mean length of the pool's outputs, or `default` before the first one.
    pub fn mean(&self, default: u64) -> u64 {
        if self.pool.total > 0.0 { self.mean as u64 + 1 } else { default }
    }
}
