//! Distribution of the gaps between the events of streams.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets per doubling of the gap. A bucket is 6 % wide, so that gaps just above a limit are told
/// from those just below it.
const BUCKETS_PER_OCTAVE: f64 = 12.0;
/// Lower bound of the first bucket, in milliseconds. Shorter gaps are counted there.
const MIN_MS: f64 = 1.0;
/// Index of the last bucket, which counts gaps of 16 s and more.
const LAST_BUCKET: u8 = 168;
/// Weight below which a bucket that has decayed is dropped.
const MIN_WEIGHT: f32 = 0.05;

/// Histogram of gaps. Weights are counts until they decay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GapHistogram {
    /// Weight of each bucket that is not empty.
    #[serde(rename = "b", with = "compact")]
    buckets: BTreeMap<u8, f32>,
    /// Sum of the gaps, in milliseconds.
    #[serde(rename = "s", deserialize_with = "compact::deserialize_sum")]
    sum_ms: f64,
}

impl GapHistogram {
    /// Adds one gap.
    pub fn record(&mut self, gap: Duration) {
        let ms = gap.as_secs_f64() * 1_000.0;
        *self.buckets.entry(bucket(ms)).or_default() += 1.0;
        self.sum_ms += ms;
    }

    /// Adds the gaps of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, weight) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += weight;
        }
        self.sum_ms += other.sum_ms;
    }

    /// Adds the gaps of another histogram, each multiplied by `factor`.
    pub fn merge_scaled(&mut self, other: &Self, factor: f64) {
        for (bucket_of_other, weight) in &other.buckets {
            let ms = middle_ms(*bucket_of_other) * factor;
            *self.buckets.entry(bucket(ms)).or_default() += weight;
        }
        self.sum_ms += other.sum_ms * factor;
    }

    /// Multiplies all weights by `factor`, which is at most 1.
    pub fn decay(&mut self, factor: f64) {
        let mut dropped_ms = 0.0;
        self.buckets.retain(|bucket, weight| {
            *weight *= factor as f32;
            let is_kept = *weight >= MIN_WEIGHT;
            if !is_kept {
                dropped_ms += middle_ms(*bucket) * f64::from(*weight);
            }
            is_kept
        });
        self.sum_ms = (self.sum_ms * factor - dropped_ms).max(0.0);
    }

    /// Returns whether it holds no gap.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns the weight of all gaps.
    pub fn count(&self) -> f64 {
        self.buckets.values().map(|weight| f64::from(*weight)).sum()
    }

    /// Returns the mean gap, or `None` if there is no gap.
    pub fn mean(&self) -> Option<Duration> {
        let count = self.count();
        let (lowest, _) = self.buckets.first_key_value()?;
        let (highest, _) = self.buckets.last_key_value()?;
        // Buckets that were dropped leave a rest in the sum, which may exceed that of the others.
        let ms =
            (self.sum_ms / count).clamp(lower_ms(*lowest), lower_ms(highest.saturating_add(1)));
        (count > 0.0 && ms.is_finite()).then(|| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Returns the share of gaps that are longer than `limit`, from 0 to 1. The bucket of the limit
    /// is interpolated.
    pub fn share_above(&self, limit: Duration) -> f64 {
        let count = self.count();
        if count <= 0.0 {
            return 0.0;
        }
        let position = position(limit.as_secs_f64() * 1_000.0);
        let bucket = position as u8;
        let above: f64 =
            self.buckets.range(bucket.saturating_add(1)..).map(|(_, w)| f64::from(*w)).sum();
        let own = self.buckets.get(&bucket).map_or(0.0, |weight| f64::from(*weight));
        (above + own * (1.0 - position.fract())) / count
    }
}

/// Returns the fractional index of the bucket of a gap.
fn position(ms: f64) -> f64 {
    ((ms.max(MIN_MS) / MIN_MS).log2() * BUCKETS_PER_OCTAVE).min(f64::from(LAST_BUCKET))
}

fn bucket(ms: f64) -> u8 {
    position(ms) as u8
}

/// Returns the shortest gap of a bucket, in milliseconds.
fn lower_ms(bucket: u8) -> f64 {
    MIN_MS * (f64::from(bucket) / BUCKETS_PER_OCTAVE).exp2()
}

/// Returns the gap in the middle of a bucket, in milliseconds.
fn middle_ms(bucket: u8) -> f64 {
    MIN_MS * ((f64::from(bucket) + 0.5) / BUCKETS_PER_OCTAVE).exp2()
}

/// Encodes weights in three bytes for each bucket.
mod compact {
    use std::collections::BTreeMap;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::LAST_BUCKET;

    /// Steps per unit of weight. Weights that have not decayed are whole numbers.
    const STEPS: f32 = 16.0;

    pub fn serialize<S: Serializer>(
        buckets: &BTreeMap<u8, f32>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let entry = |(bucket, weight): (&u8, &f32)| {
            let [high, low] = ((weight * STEPS).round() as u16).to_be_bytes();
            [*bucket, high, low]
        };
        let bytes: Vec<u8> = buckets.iter().flat_map(entry).collect();
        serializer.serialize_bytes(&bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<u8, f32>, D::Error> {
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        let is_valid = |entry: &[u8]| matches!(entry, [0..=LAST_BUCKET, _, _]);
        if !bytes.chunks(3).all(is_valid) {
            return Err(D::Error::custom("buckets: found an invalid entry"));
        }
        let weight = |entry: &[u8]| f32::from(u16::from_be_bytes([entry[1], entry[2]])) / STEPS;
        let weights = bytes.chunks_exact(3).map(|entry| (entry[0], weight(entry)));
        Ok(weights.filter(|(_, weight)| *weight > 0.0).collect())
    }

    pub fn deserialize_sum<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        let sum = f64::deserialize(deserializer)?;
        let is_valid = sum.is_finite() && sum >= 0.0;
        is_valid.then_some(sum).ok_or_else(|| D::Error::custom("sum of gaps: found no such sum"))
    }
}
