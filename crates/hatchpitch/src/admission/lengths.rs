//! Learned distribution of output lengths, by kind of request.
//!
//! The length of an output is not known in advance. A histogram with four buckets per power of
//! two estimates the probability that an output exceeds a number of tokens. The estimate of a
//! kind with few samples is smoothed towards that of its pool, and the estimate of the pool
//! towards a heavy-tailed prior.

use std::collections::HashMap;

use crate::ids::RequestKind;

/// Histogram buckets per power of two.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets. The last one also counts all longer outputs.
const BUCKETS: usize = 72;
/// Total weight at which the weight of all samples is halved.
const MAX_WEIGHT: f64 = 4_096.0;
/// Weight of the distribution that an estimate is smoothed towards, in samples.
const PRIOR_WEIGHT: f64 = 16.0;
/// Length above which the tail of the prior decays, in tokens.
const PRIOR_SCALE: f64 = 64.0;
/// Samples from which on the mean length of a kind is used instead of that of its pool.
const MIN_SAMPLES: f64 = 4.0;
/// Smallest weight of a new sample in a mean, which covers about the last hundred.
const MIN_MEAN_WEIGHT: f64 = 0.01;
/// Number of kinds with a histogram of their own. Further kinds use the one of the pool.
const MAX_KINDS: usize = 8_192;

/// Histogram of observed lengths with exponential decay: newer samples weigh more.
#[derive(Debug, Clone)]
struct Samples {
    counts: [f32; BUCKETS],
    /// Suffix sums of `counts`, each without its own bucket, for look-ups in constant time.
    above: [f32; BUCKETS],
    total: f64,
    /// Mean length in tokens, smoothed.
    mean: f64,
}

impl Default for Samples {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], above: [0.0; BUCKETS], total: 0.0, mean: 0.0 }
    }
}

impl Samples {
    fn add(&mut self, tokens: u64) {
        if self.total >= MAX_WEIGHT {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket_index(tokens)] += 1.0;
        self.total += 1.0;
        self.mean += (tokens as f64 - self.mean) * (1.0 / self.total).max(MIN_MEAN_WEIGHT);
        let mut sum = 0.0;
        for (count, above) in self.counts.iter().zip(&mut self.above).rev() {
            *above = sum;
            sum += count;
        }
    }

    /// Returns the weight of the samples longer than `tokens`. The bucket that contains `tokens`
    /// is interpolated.
    fn weight_above(&self, tokens: f64) -> f64 {
        let position = bucket_position(tokens);
        let bucket = (position as usize).min(BUCKETS - 1);
        let fraction = 1.0 - (position - bucket as f64).clamp(0.0, 1.0);
        f64::from(self.above[bucket]) + f64::from(self.counts[bucket]) * fraction
    }
}

/// Returns the fractional index of the bucket that contains `tokens`.
fn bucket_position(tokens: f64) -> f64 {
    tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE
}

fn bucket_index(tokens: u64) -> usize {
    (bucket_position(tokens as f64) as usize).min(BUCKETS - 1)
}

/// Distribution of the output lengths of one pool.
#[derive(Debug, Clone, Default)]
pub struct LengthModel {
    pool: Samples,
    kinds: HashMap<RequestKind, Samples>,
    mean: f64,
}

impl LengthModel {
    /// Adds the length of a finished output.
    pub fn observe(&mut self, kind: &str, tokens: u64) {
        self.pool.add(tokens);
        let weight = (1.0 / self.pool.total).max(MIN_MEAN_WEIGHT);
        self.mean += (tokens as f64 - self.mean) * weight;
        if let Some(samples) = self.kinds.get_mut(kind) {
            samples.add(tokens);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.entry(kind.to_owned()).or_default().add(tokens);
        }
    }

    /// Returns the probability that an output of `kind` is longer than `tokens`.
    pub fn survival(&self, kind: &str, tokens: f64) -> f64 {
        let prior = (PRIOR_SCALE / tokens.max(PRIOR_SCALE)).powf(1.1);
        let pool = (self.pool.weight_above(tokens) + PRIOR_WEIGHT * prior)
            / (self.pool.total + PRIOR_WEIGHT);
        match self.kinds.get(kind) {
            Some(kind) => {
                (kind.weight_above(tokens) + PRIOR_WEIGHT * pool) / (kind.total + PRIOR_WEIGHT)
            }
            None => pool,
        }
    }

    /// Returns the length in tokens that an output of `kind` does not exceed with probability
    /// `probability`.
    pub fn quantile(&self, kind: &str, probability: f64) -> u64 {
        let bounds = (0..BUCKETS).map(|b| 2_f64.powf(b as f64 / BUCKETS_PER_OCTAVE));
        let mut bounds = bounds.skip_while(|len| self.survival(kind, *len) > 1.0 - probability);
        bounds.next().map_or(u64::MAX / 4, |len| len as u64)
    }

    /// Returns the mean output length of a kind in tokens, or that of the pool while few outputs of
    /// the kind are known. `default` stands for it before the first sample.
    pub fn mean_of(&self, kind: &str, default: u64) -> f64 {
        let known = self.kinds.get(kind).filter(|samples| samples.total >= MIN_SAMPLES);
        known.map_or(self.mean(default) as f64, |samples| samples.mean)
    }

    /// Returns the mean output length of the pool in tokens, or `default` before the first sample.
    pub fn mean(&self, default: u64) -> u64 {
        if self.pool.total > 0.0 { (self.mean as u64).saturating_add(1) } else { default }
    }
}
