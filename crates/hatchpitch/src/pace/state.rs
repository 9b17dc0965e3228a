//! Pace of the engines of one pool at their owner, without I/O.
//!
//! Answers how likely a gap between two events of a stream is longer than a limit on a given
//! engine. Each engine has a histogram of its recent gaps. While it holds few gaps, the estimate
//! relies on the pool: the distribution of gaps relative to the mean of their engine, which has
//! about the same shape on fast and on slow engines.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::histogram::GapHistogram;
use crate::ids::RunnerName;

/// Time in which the weight of an engine's gaps halves: engines slow down and recover within
/// seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The same for the gaps that show whether an engine has become slow or has recovered.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of recent gaps from which on they are compared with the others.
const MIN_RECENT: f64 = 24.0;
/// Factor between the mean of the recent gaps and that of all from which on the older ones are
/// dropped.
const CHANGE_FACTOR: f64 = 1.25;
/// Gaps from which on the mean gap of an engine is used: three streams for a few events each.
const MIN_GAPS: f64 = 12.0;
/// Weight of the shape of the pool in the estimate of an engine, in gaps.
const SHAPE_WEIGHT: f64 = 100.0;
/// Weight at which the shape of the pool is halved.
const MAX_SHAPE_WEIGHT: f64 = 8_192.0;
/// Mean gap to which the gaps of all engines are scaled for the shape of the pool.
const UNIT: Duration = Duration::from_millis(64);
/// Engines that stand for an engine whose gaps are not known yet.
const MAX_RECENT: usize = 32;
/// Standard deviation of the logarithm of the prefill rates of equally fast engines, whose load
/// differs.
const PREFILL_DEVIATION: f64 = 0.25;
/// Share of the engines seen last that are assumed to be better than one of which nothing is known.
/// Requests that keep no pause show within a second how fast it is.
const UNKNOWN_QUANTILE: f64 = 0.9;
/// Largest growth of the mean gap for one more running generation.
const MAX_GROWTH: f64 = 0.1;
/// Growth before any was measured, and its weight in the regression, in squared generations.
const INITIAL_GROWTH: f64 = 0.01;
const GROWTH_WEIGHT: f64 = 50.0;
/// Factor by which the weight of the regression shrinks with each report, so that it covers about
/// the last thousand.
const GROWTH_DECAY: f64 = 0.999;

/// Pace of one engine.
#[derive(Debug, Clone)]
pub(super) struct EnginePace {
    pub(super) gaps: GapHistogram,
    /// The gaps of about the last second.
    recent: GapHistogram,
    /// Mean number of generations that ran while the gaps were observed.
    running: f64,
    updated: Instant,
}

/// What was learned of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Learned {
    /// Mean gap, in seconds.
    pub(super) mean: f64,
    /// Prefill rate in tokens per second, if it was measured.
    prefill: Option<f64>,
}

impl EnginePace {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.gaps.decay((-elapsed / HALF_LIFE.as_secs_f64()).exp2());
        self.recent.decay((-elapsed / RECENT_HALF_LIFE.as_secs_f64()).exp2());
        self.updated = now.max(self.updated);
    }

    /// Drops the older gaps if the recent ones show that the engine has become slow or has
    /// recovered.
    fn drop_outdated(&mut self) {
        let (Some(all), Some(recent)) = (self.gaps.mean(), self.recent.mean()) else { return };
        let change = recent.as_secs_f64() / all.as_secs_f64();
        let is_changed = !(1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&change);
        if is_changed && self.recent.count() >= MIN_RECENT {
            self.gaps = self.recent.clone();
        }
    }

    /// Returns the mean gap in seconds, once enough gaps are known.
    fn mean(&self) -> Option<f64> {
        let known = self.gaps.count() >= MIN_GAPS;
        self.gaps.mean().filter(|_| known).map(|mean| mean.as_secs_f64()).filter(|mean| *mean > 0.0)
    }
}

/// Relative growth of the mean gap for one more running generation: a regression through the
/// origin.
#[derive(Debug, Clone)]
struct BatchGrowth {
    products: f64,
    squares: f64,
}

impl Default for BatchGrowth {
    fn default() -> Self {
        Self { products: INITIAL_GROWTH * GROWTH_WEIGHT, squares: GROWTH_WEIGHT }
    }
}

impl BatchGrowth {
    fn observe(&mut self, more_running: f64, growth: f64) {
        let initial = Self::default();
        let toward = |sum: f64, initial: f64| initial + (sum - initial) * GROWTH_DECAY;
        self.products = toward(self.products, initial.products) + more_running * growth;
        self.squares = toward(self.squares, initial.squares) + more_running * more_running;
    }

    fn per_generation(&self) -> f64 {
        (self.products / self.squares).clamp(0.0, MAX_GROWTH)
    }
}

/// Pace of one engine for display to operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceView {
    /// Mean gap between events.
    pub mean_gap: Duration,
    /// Weight of the gaps that the estimate relies on; older gaps count less.
    pub gaps: f64,
    /// Time since the last report.
    pub age: Duration,
}

/// Pace of the engines of one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolPace {
    pub(super) engines: BTreeMap<RunnerName, EnginePace>,
    /// Gaps of all engines, scaled to a mean of [`UNIT`].
    pub(super) shape: GapHistogram,
    growth: BatchGrowth,
    /// Prefill rates in tokens per second that were measured on the engines.
    pub(super) prefill: BTreeMap<RunnerName, f64>,
    /// The engines seen last that are gone.
    pub(super) gone: VecDeque<Learned>,
}

impl PoolPace {
    /// Records gaps of an engine on which `running` generations run.
    pub fn observe(&mut self, runner: &str, gaps: &GapHistogram, running: u64, now: Instant) {
        if gaps.count() <= 0.0 {
            return;
        }
        let running = running as f64;
        let engine = self.engines.entry(runner.to_owned()).or_insert_with(|| EnginePace {
            gaps: GapHistogram::default(),
            recent: GapHistogram::default(),
            running,
            updated: now,
        });
        engine.decay(now);
        if let (Some(mean), Some(seen)) = (engine.mean(), gaps.mean()) {
            let growth = seen.as_secs_f64() / mean - 1.0;
            self.growth.observe(running - engine.running, growth.clamp(-1.0, 1.0));
        }
        let (known, added) = (engine.gaps.count(), gaps.count());
        engine.running += (running - engine.running) * added / (known + added);
        engine.gaps.merge(gaps);
        engine.recent.merge(gaps);
        engine.drop_outdated();
        if let Some(mean) = engine.mean() {
            self.shape.merge_scaled(gaps, UNIT.as_secs_f64() / mean);
            if self.shape.count() > MAX_SHAPE_WEIGHT {
                self.shape.decay(0.5);
            }
        }
    }

    /// Records the prefill rate that was measured on an engine, in tokens per second.
    pub fn set_prefill_rate(&mut self, runner: &str, rate: f64) {
        self.prefill.insert(runner.to_owned(), rate);
    }

    /// Forgets the engines for which `is_kept` returns false. What was learned of them still stands
    /// for engines that are not known.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        let gone = self.engines.keys().filter(|name| !is_kept(name));
        let learned: Vec<Learned> = gone.filter_map(|name| self.learned(name)).collect();
        self.gone.extend(learned);
        self.engines.retain(|name, _| is_kept(name));
        self.prefill.retain(|name, _| is_kept(name));
        while self.gone.len() > MAX_RECENT {
            self.gone.pop_front();
        }
    }

    /// Returns the probability that a gap on an engine that runs `running` generations is longer
    /// than `limit`.
    pub fn gap_risk(&self, runner: &str, limit: Duration, running: u64, now: Instant) -> f64 {
        let engine = self.engines.get(runner);
        let Some((engine, mean)) = engine.and_then(|engine| Some((engine, engine.mean()?))) else {
            return self.unknown_risk(runner, limit);
        };
        let elapsed = now.saturating_duration_since(engine.updated).as_secs_f64();
        let weight = engine.gaps.count() * (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        if weight < MIN_GAPS {
            return self.unknown_risk(runner, limit);
        }
        let more = running as f64 - engine.running;
        let factor = (1.0 + self.growth.per_generation() * more).max(0.5);
        let own = engine.gaps.share_above(limit.div_f64(factor));
        let shape = self.shape_risk(limit, mean * factor);
        (own * weight + shape * SHAPE_WEIGHT) / (weight + SHAPE_WEIGHT)
    }

    /// Returns the probability that at least one of `events` gaps on an engine is longer than
    /// `limit`.
    pub fn miss_risk(
        &self,
        runner: &str,
        limit: Duration,
        events: f64,
        running: u64,
        now: Instant,
    ) -> f64 {
        any_of(self.gap_risk(runner, limit, running, now), events)
    }

    /// Returns the highest risk that at least one of `events` gaps is longer than `limit` on an
    /// engine seen lately, or 0 if none is known.
    pub fn highest_risk(&self, limit: Duration, events: f64) -> f64 {
        let risks = self.recent_risks(limit).into_iter().map(|(_, risk)| any_of(risk, events));
        risks.fold(0.0, f64::max)
    }

    /// Returns the pace of an engine, if it is known.
    pub fn view(&self, runner: &str, now: Instant) -> Option<PaceView> {
        let engine = self.engines.get(runner)?;
        let mean_gap = Duration::from_secs_f64(engine.mean()?);
        let age = now.saturating_duration_since(engine.updated);
        Some(PaceView { mean_gap, gaps: engine.gaps.count(), age })
    }

    /// Returns whether neither gaps nor the prefill rate of an engine are known.
    pub fn is_unknown(&self, runner: &str) -> bool {
        !self.prefill.contains_key(runner)
            && self.engines.get(runner).is_none_or(|engine| engine.mean().is_none())
    }

    /// Returns the engines seen last of which the pace was learned, with their risk.
    fn recent_risks(&self, limit: Duration) -> Vec<(Learned, f64)> {
        let known = self.engines.keys().filter_map(|name| self.learned(name));
        let recent = known.chain(self.gone.iter().rev().copied()).take(MAX_RECENT);
        recent.map(|learned| (learned, self.shape_risk(limit, learned.mean))).collect()
    }

    fn learned(&self, runner: &str) -> Option<Learned> {
        let mean = self.engines.get(runner)?.mean()?;
        Some(Learned { mean, prefill: self.prefill.get(runner).copied() })
    }

    /// Returns the risk on an engine whose gaps are not known: that of the engines seen last that
    /// prefill prompts about as fast or, if its prefill rate is not known either, that of the
    /// slowest ones.
    fn unknown_risk(&self, runner: &str, limit: Duration) -> f64 {
        let mut recent = self.recent_risks(limit);
        let Some(rate) = self.prefill.get(runner) else {
            recent.sort_by(|a, b| a.1.total_cmp(&b.1));
            let at = (recent.len() as f64 * UNKNOWN_QUANTILE) as usize;
            return recent.get(at).map_or(0.0, |(_, risk)| *risk);
        };
        let weight = |learned: &Learned| {
            let distance = (learned.prefill? / rate).ln() / PREFILL_DEVIATION;
            Some((-0.5 * distance * distance).exp())
        };
        let weighted = recent.iter().filter_map(|(learned, risk)| Some((weight(learned)?, risk)));
        let (sum, weights) = weighted
            .fold((0.0, 0.0), |(sum, all), (weight, risk)| (sum + weight * risk, all + weight));
        if weights > 0.0 { sum / weights } else { 0.0 }
    }

    /// Returns the probability that a gap is longer than `limit` on an engine with a mean gap of
    /// `mean` seconds, by the shape of the pool.
    fn shape_risk(&self, limit: Duration, mean: f64) -> f64 {
        self.shape.share_above(limit.mul_f64(UNIT.as_secs_f64() / mean))
    }
}

/// Returns the probability that at least one of `events` independent events of probability `risk`
/// occurs.
pub fn any_of(risk: f64, events: f64) -> f64 {
    1.0 - (1.0 - risk.clamp(0.0, 1.0)).powf(events.max(0.0))
}
