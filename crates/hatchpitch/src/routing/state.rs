//! The runners of one pool as seen by one box, without I/O.
//!
//! The requests that this box itself placed on a runner are known exactly; load reports lag and
//! only break ties between runners. A runner that fails is ejected for a time that doubles with
//! each failure, and is readmitted with one request at a time until one succeeds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::objective::{PausePlacement, RiskView};
use super::prefill::{FirstRuns, PrefillBacklog};
pub use super::query::RunnerQuery;
use super::report::{RunReport, Verdict};
pub use super::runner::RunnerSpec;
use super::runner::{CopyBacklog, RunnerState};
use super::warmup::{ColdLimit, WarmupLimiter};
use crate::admission::lengths::LengthModel;
use crate::admission::memory::{Candidate, EngineMemory, MemoryPolicy};
use crate::admission::policy::Pick;
use crate::engine::EngineLoad;
use crate::ids::{Priority, RunnerName};
use crate::pace::GapHistogram;
use crate::pace::state::PaceView;
use crate::upstream_signals::brittle::BRITTLE_TTL;
use crate::upstream_signals::{RejectionGuard, SharedSignals};

/// Configuration of ejection and of the choice between runners.
#[derive(Debug, Clone, Copy)]
pub struct RoutingConfig {
    /// Duration of the first ejection.
    pub eject_min: Duration,
    /// Maximum duration of an ejection.
    pub eject_max: Duration,
    /// Whether failing runners are ejected.
    pub ejects: bool,
    /// How one of the runners that have room is picked.
    pub pick: Pick,
    /// When a generation is admitted to a runner's memory.
    pub memory: MemoryPolicy,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            eject_min: Duration::from_millis(500),
            eject_max: Duration::from_secs(30),
            ejects: true,
            pick: Pick::LeastLoaded,
            memory: MemoryPolicy::Unlimited,
        }
    }
}

/// Prefill backlog above which an engine gets no further prompts, in seconds. Prompts that wait in
/// an engine are prefilled in order of arrival; requests that wait in this box are ordered by
/// priority and fair queueing. This value keeps engines busy, and leaves half of the usual time to
/// first token.
const MAX_PREFILL_BACKLOG: f64 = 0.8;

/// Rates of a runner in tokens per second: decode of one generation, and prefill of prompts.
#[derive(Debug, Clone, Copy)]
struct TokenRates {
    decode: f64,
    prefill: f64,
}

/// State in which every runner that could run a request is at its rate limit or resting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// Time until the first of them accepts the request.
    pub opens_in: Duration,
    /// Whether any of them requested a rest; the others are at their limits.
    pub rests: bool,
}

/// Number of runs over which the time that a request holds its slot is smoothed.
const HOLD_TIME_WEIGHT: u32 = 16;
/// Minimum retry delay of a request that is restricted to runners without a rate limit and finds
/// none. Such a request was rejected by several limited runners, which accept requests again at
/// different times.
const UNLIMITED_RETRY: Duration = Duration::from_millis(250);
/// Load penalty of a runner that has just ended a rest, for a request that cannot be retried
/// elsewhere if the runner rejects it: about the load of a full runner.
const REJECTION_PENALTY: f64 = 1.0;

/// Time that a move takes beside the bulk copy: the request for it, and the final part.
const MOVE_OVERHEAD: Duration = Duration::from_millis(80);

/// The runners of one pool.
#[derive(Debug, Clone)]
pub struct RunnerTable {
    cfg: RoutingConfig,
    pub(super) runners: BTreeMap<RunnerName, RunnerState>,
    picks: usize,
    signals: SharedSignals,
    /// Fraction of the rejections of a brittle runner that this table may cause.
    rejection_share: f64,
    /// Smoothed time for which a request that succeeded held its slot.
    hold_time: Option<Duration>,
    pub(super) pauses: PausePlacement,
}

impl RunnerTable {
    /// Creates an empty table.
    pub fn new(cfg: RoutingConfig) -> Self {
        let signals = SharedSignals::default();
        Self {
            cfg,
            runners: BTreeMap::new(),
            picks: 0,
            signals,
            rejection_share: 1.0,
            hold_time: None,
            pauses: PausePlacement::default(),
        }
    }

    /// Sets the fraction of the rejections of a brittle runner that this table may cause.
    pub fn set_rejection_share(&mut self, share: f64) {
        self.rejection_share = share;
    }

    /// Sets the rate limits and rests of upstreams, which all tables of a box share.
    pub fn share_signals(&mut self, signals: SharedSignals) {
        self.signals = signals;
    }

    /// Replaces the set of configured runners. Runners that are no longer in it finish their
    /// requests and get no new ones.
    pub fn sync(&mut self, specs: impl IntoIterator<Item = RunnerSpec>) {
        for runner in self.runners.values_mut() {
            runner.configured = false;
        }
        let rates = self.mean_rates();
        for spec in specs {
            let runner = self.runners.entry(spec.name.clone()).or_insert_with(|| RunnerState {
                spec: spec.clone(),
                running: 0,
                configured: true,
                serving: true,
                failures: 0,
                faults: 0,
                ejected_until: None,
                load: None,
                memory: rates.map(|rates| EngineMemory::at_rate(rates.decode)).unwrap_or_default(),
                prefill: rates
                    .map(|rates| PrefillBacklog::at_rate(rates.prefill))
                    .unwrap_or_default(),
                copies: CopyBacklog::default(),
                warmup: WarmupLimiter::default(),
                cold_limit: None,
                rejections: None,
            });
            runner.configured = true;
            if let Some(tokens) = spec.memory {
                runner.memory.set_limit(tokens);
            }
            runner.spec = spec;
        }
        self.runners.retain(|_, runner| runner.configured || runner.running > 0);
        let runners = &self.runners;
        self.pauses.retain(|name| runners.contains_key(name));
    }

    /// Makes the table cautious with runners that it does not know yet and that are brittle: they
    /// may be running requests that another box admitted.
    pub fn guard_new_runners(&mut self, now: Instant) {
        let brittle = self.signals.brittle.borrow();
        for (name, runner) in &mut self.runners {
            let is_brittle = brittle.max_rejections(name, now).is_some();
            runner.rejections.get_or_insert_with(|| match is_brittle {
                true => RejectionGuard::cautious(now),
                false => RejectionGuard::default(),
            });
        }
    }

    /// Returns the mean rates of the runners. A new runner starts with them, so that its memory use
    /// and prefill backlog are not misjudged until its first generations have ended.
    fn mean_rates(&self) -> Option<TokenRates> {
        let count = self.runners.len() as f64;
        let sum = |rate: fn(&RunnerState) -> f64| self.runners.values().map(rate).sum::<f64>();
        (count > 0.0).then(|| TokenRates {
            decode: sum(|runner| runner.memory.rate()) / count,
            prefill: sum(|runner| runner.prefill.rate()) / count,
        })
    }

    /// Picks the best runner that meets the query and has room, and takes a slot on it.
    pub fn pick(
        &mut self,
        query: &RunnerQuery<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<RunnerSpec> {
        self.picks += 1;
        self.record_demand(query, now);
        let (_, name) = self.best(query, candidate, lengths, now)?;
        let best = self.runners.get_mut(&name)?;
        best.running += 1;
        best.warmup.record_send(best.cold_limit, now);
        // If another box grants the permits for this limit, the caller asks it next.
        let _ = self.signals.limits.borrow_mut().take(&name, query.priority, now);
        if query.sends_here {
            self.signals.backoffs.borrow_mut().take(&name, now);
        }
        match query.copied {
            0 => best.prefill.add(query.id.clone(), candidate.prompt, now),
            copied => {
                let tokens = copied as f64 * query.copy_factor(&best.spec);
                let overhead = best.spec.copy_rate * MOVE_OVERHEAD.as_secs_f64();
                best.copies.add(tokens + overhead, best.spec.copy_rate, now);
            }
        }
        best.memory.add(query.id.clone(), candidate.clone(), now);
        let spec = best.spec.clone();
        self.record_objective(&name, query);
        Some(spec)
    }

    /// Accounts for a request that has been running on a runner since `since`, and returns the
    /// runner, or `None` if it is not configured.
    pub fn adopt(
        &mut self,
        name: &str,
        query: &RunnerQuery<'_>,
        candidate: &Candidate,
        since: Instant,
    ) -> Option<RunnerSpec> {
        let runner = self.runners.get_mut(name).filter(|runner| runner.configured)?;
        runner.running += 1;
        runner.memory.add(query.id.clone(), candidate.clone(), since);
        let spec = runner.spec.clone();
        self.record_objective(name, query);
        Some(spec)
    }

    fn record_objective(&mut self, name: &str, query: &RunnerQuery<'_>) {
        if let Some(objective) = query.objective.filter(|_| self.cfg.pick == Pick::Objective) {
            self.pauses.start(name, query.id, objective);
        }
    }

    /// Returns whether a runner is in the table.
    pub fn contains(&self, name: &str) -> bool {
        self.runners.contains_key(name)
    }

    /// Records the gaps between events of streams on a runner. Gaps of runners that are not in the
    /// table are ignored; returns whether the runner is.
    pub fn observe_gaps(&mut self, name: &str, gaps: &GapHistogram, now: Instant) -> bool {
        let Some(runner) = self.runners.get(name) else { return false };
        self.pauses.pace.observe(name, gaps, runner.running, now);
        true
    }

    /// Records the time from the grant of a slot to the first token of its run, before the run ends.
    pub fn record_first_token(&mut self, name: &str, id: &str, took: Duration) {
        self.end_prefill(name, id, Some(took));
    }

    /// Records that the prompt of a run was prefilled, or that the run has ended.
    fn end_prefill(&mut self, name: &str, id: &str, first_token: Option<Duration>) {
        let Some(runner) = self.runners.get_mut(name) else { return };
        let first_runs =
            if self.pauses.any_risk() { FirstRuns::Replace } else { FirstRuns::Smoothed };
        runner.prefill.remove_with(id, first_token, first_runs);
        let is_used = self.cfg.pick == Pick::Objective;
        if let Some(rate) = runner.prefill.own_rate().filter(|_| is_used) {
            self.pauses.pace.set_prefill_rate(name, rate);
        }
    }

    /// Returns the pace of a runner, if it is known, and the risk that a typical stream pauses for
    /// too long there.
    pub fn pace(&self, name: &str, now: Instant) -> Option<(PaceView, f64)> {
        let running = self.runners.get(name)?.running;
        let view = self.pauses.pace.view(name, now)?;
        Some((view, self.pauses.typical_risk(name, running.max(1), now)))
    }

    /// Returns the load score of the runner that would be picked, or `None` if none has room.
    pub fn quote(
        &self,
        query: &RunnerQuery<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<f64> {
        self.best(query, candidate, lengths, now).map(|(load, _)| load)
    }

    /// Finds the runner with the lowest load score among those that meet the query and have room.
    fn best(
        &self,
        query: &RunnerQuery<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<(f64, RunnerName)> {
        let (cfg, offset, count) = (self.cfg, self.picks, self.runners.len().max(1));
        let allowed = |r: &&RunnerState| query.allows(&r.spec);
        let use_ejected = !self.runners.values().filter(allowed).any(|r| r.takes_work(now));
        let open = self.runners.values().enumerate();
        let open = open.filter(|(_, r)| {
            let needs_prefill = query.copied == 0;
            r.has_slot(now, use_ejected)
                && query.allows(&r.spec)
                && r.warmup.admits(r.cold_limit, now)
                && self.admits(query, &r.spec.name, now)
                && self.bears_rejection(r, now)
                && !(needs_prefill && r.prefill.seconds(now) > MAX_PREFILL_BACKLOG)
        });
        let open: Vec<(usize, &RunnerState)> = open.collect();
        let risks = (cfg.pick == Pick::Objective).then(|| self.risk_view(query, &open, now));
        let mut open: Vec<(f64, usize, &RunnerName)> = open
            .into_iter()
            .map(|(i, r)| {
                let score = match cfg.pick {
                    Pick::RoundRobin => 0.0,
                    Pick::LeastLoaded | Pick::Objective => {
                        r.load_score(now)
                            + query.placement_penalty(r, now)
                            + self.rejection_penalty(query, r, now)
                    }
                };
                let risk = |risks: &RiskView<'_>| risks.penalty(&r.spec.name, r.running);
                let score = score + risks.as_ref().map_or(0.0, risk);
                (score, (i + offset) % count, &r.spec.name)
            })
            .collect();
        open.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // The memory check costs far more than the sort, so runners are checked in order.
        let fits =
            |name: &RunnerName| self.runners[name].memory.fits(cfg.memory, candidate, lengths, now);
        let found = open.into_iter().find(|(.., name)| fits(name));
        found.map(|(score, _, name)| (score, name.clone()))
    }

    /// Returns the risks that streams pause for too long on the runners that a request may get.
    fn risk_view<'a>(
        &'a self,
        query: &RunnerQuery<'_>,
        open: &[(usize, &'a RunnerState)],
        now: Instant,
    ) -> RiskView<'a> {
        let engines = open.iter().map(|(_, r)| (r.spec.name.as_str(), r.running));
        self.pauses.view(query.objective, engines, now)
    }

    /// Returns the time until a runner accepts a request, if all runners that could run it are at
    /// their rate limits or resting; otherwise `None`.
    pub fn closed(&self, query: &RunnerQuery<'_>, now: Instant) -> Option<Closed> {
        let (limits, rests) = (self.signals.limits.borrow(), self.signals.backoffs.borrow());
        if limits.limited() == 0 && rests.is_empty() {
            return None;
        }
        let able = self.runners.values().filter(|r| query.allows(&r.spec) && r.takes_work(now));
        let names: Vec<&RunnerName> = able.map(|r| &r.spec.name).collect();
        if names.iter().any(|name| self.admits(query, name, now)) {
            return None;
        }
        let rests_now = |name: &RunnerName| query.sends_here && !rests.admits(name, now);
        let opens_in = |name: &RunnerName| {
            let limit = limits.opens_in(name, query.priority, now);
            if rests_now(name) { limit.max(rests.opens_in(name, now)) } else { limit }
        };
        let least = if query.skips_limited { UNLIMITED_RETRY } else { Duration::ZERO };
        let first = names.iter().map(|name| opens_in(name)).min()?;
        let rests = names.iter().any(|name| rests_now(name));
        Some(Closed { opens_in: first.max(least), rests })
    }

    /// Returns the load penalty for the risk that a runner that has just ended a rest rejects the
    /// request.
    fn rejection_penalty(
        &self,
        query: &RunnerQuery<'_>,
        runner: &RunnerState,
        now: Instant,
    ) -> f64 {
        let returns = |name| self.signals.backoffs.borrow().is_recovering(name, now);
        let is_at_risk = query.only_try && query.sends_here && returns(&runner.spec.name);
        if is_at_risk { REJECTION_PENALTY } else { 0.0 }
    }

    /// Returns whether a runner would bear to reject a request.
    fn bears_rejection(&self, runner: &RunnerState, now: Instant) -> bool {
        let max = self.signals.brittle.borrow().max_rejections(&runner.spec.name, now);
        let share = self.rejection_share;
        let guard = runner.rejections.as_ref();
        let Some((max, guard)) = max.zip(guard) else { return true };
        guard.admits(runner.running, max, share, now)
    }

    /// Records what a run shows about the rejections of its runner.
    fn record_rejection(&mut self, name: &str, report: RunReport, now: Instant) {
        let mut brittle = self.signals.brittle.borrow_mut();
        if let Some(max) = report.brittle {
            // The box that sent the request notifies the others. The remaining validity is kept, as
            // each run would renew the announcement otherwise.
            let left = report.brittle_left.unwrap_or(BRITTLE_TTL);
            brittle.record(name, max, left, now);
        }
        let Some(runner) = self.runners.get_mut(name) else { return };
        let Some(max) = brittle.max_rejections(name, now) else {
            runner.rejections = Some(RejectionGuard::default());
            return;
        };
        let guard = runner.rejections.get_or_insert_default();
        if report.is_rejected {
            guard.record_rejection(runner.running, max, self.rejection_share, now);
        } else if report.verdict == Verdict::Succeeded {
            guard.record_success(now);
        }
    }

    /// Returns whether the rate limit and the rest of a runner admit a request.
    fn admits(&self, query: &RunnerQuery<'_>, runner: &str, now: Instant) -> bool {
        let limits = self.signals.limits.borrow();
        let excluded = query.skips_limited && limits.limit(runner).is_some();
        let resting = query.sends_here && !self.signals.backoffs.borrow().admits(runner, now);
        !excluded && !resting && limits.admits(runner, query.priority, now)
    }

    /// Records the demand of a request at the rate limits of the runners that could run it.
    fn record_demand(&self, query: &RunnerQuery<'_>, now: Instant) {
        let mut limits = self.signals.limits.borrow_mut();
        if limits.limited() == 0 {
            return;
        }
        for runner in self.runners.values().filter(|runner| query.allows(&runner.spec)) {
            limits.record_demand(&runner.spec.name, query.priority, now);
        }
    }

    /// Returns whether any runner can take new work now or once others finish. Ejected runners
    /// count: if all are ejected they are used anyway, since a runner that may fail is better than
    /// none.
    pub fn any_serving(&self) -> bool {
        self.runners.values().any(|r| r.configured && r.serving)
    }

    /// Returns whether any runner that meets the query can take the request now or later.
    pub fn any_serving_for(&self, query: &RunnerQuery<'_>) -> bool {
        self.runners.values().any(|r| r.configured && r.serving && query.allows(&r.spec))
    }

    /// Returns the mean time between the ends of requests, which follows from the requests that run
    /// now and the time that each takes. While requests wait, this is the rate at which the runners
    /// serve. `None` if nothing runs or no request has ended yet.
    pub fn service_interval(&self) -> Option<Duration> {
        let serving = self.runners.values().filter(|runner| runner.configured && runner.serving);
        let running: u64 = serving.map(|runner| runner.running).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        self.hold_time?.checked_div(running)
    }

    /// Returns whether any serving runner takes no work for now although it will again: it is
    /// ejected, in a rest period or at its rate limit.
    pub fn has_closed(&self, now: Instant) -> bool {
        let (limits, rests) = (self.signals.limits.borrow(), self.signals.backoffs.borrow());
        let is_closed = |runner: &RunnerState| {
            let name = &runner.spec.name;
            runner.ejected_until.is_some_and(|until| now < until)
                || !rests.admits(name, now)
                || !limits.opens_in(name, Priority::MAX, now).is_zero()
        };
        self.runners.values().any(|runner| runner.configured && runner.serving && is_closed(runner))
    }

    /// Returns the earliest end of an ejection among the serving runners, if any is ejected.
    pub fn next_readmission(&self) -> Option<Instant> {
        let serving = self.runners.values().filter(|r| r.configured && r.serving);
        serving.filter_map(|r| r.ejected_until).min()
    }

    /// Gives a slot back and applies the report of its run.
    pub fn give_back(&mut self, name: &str, id: &str, report: RunReport, now: Instant) {
        let cfg = self.cfg;
        let Some(runner) = self.runners.get_mut(name) else { return };
        runner.running = runner.running.saturating_sub(1);
        let held = runner.memory.remove(id, report.tokens, now);
        if let Some(held) = held.filter(|_| report.verdict == Verdict::Succeeded) {
            let smoothed = |old: Duration| (old * (HOLD_TIME_WEIGHT - 1) + held) / HOLD_TIME_WEIGHT;
            self.hold_time = Some(self.hold_time.map_or(held, smoothed));
        }
        self.end_prefill(name, id, report.first);
        self.pauses.end(name, id);
        self.record_rejection(name, report, now);
        let Some(runner) = self.runners.get_mut(name) else { return };
        match report.verdict {
            Verdict::Released => {}
            Verdict::Succeeded => {
                runner.failures = 0;
                runner.faults = 0;
                runner.ejected_until = None;
            }
            Verdict::Faulty | Verdict::Failed if !cfg.ejects => {}
            Verdict::Faulty if runner.faults == 0 => runner.faults = 1,
            Verdict::Faulty | Verdict::Failed => {
                let doubled = cfg.eject_min.saturating_mul(1 << runner.failures.min(16));
                runner.failures += 1;
                let ejection = doubled.min(cfg.eject_max);
                runner.ejected_until = Some(now + ejection);
                log::info!(
                    upstream = name, failures = runner.failures, eject_ms = ejection.as_millis();
                    "an upstream is ejected"
                );
            }
        }
    }

    /// Sets which runners take new work according to membership.
    pub fn set_serving(&mut self, serves: impl Fn(&str) -> bool) {
        for (name, runner) in &mut self.runners {
            runner.serving = serves(name);
        }
    }

    /// Sets until when each runner is cold, and its rate limit while it is.
    pub fn set_cold(
        &mut self,
        cold: impl Fn(&RunnerSpec) -> Option<(Instant, ColdLimit)>,
        now: Instant,
    ) {
        for runner in self.runners.values_mut() {
            let found = cold(&runner.spec);
            runner.cold_limit = found.map(|(_, limit)| limit);
            runner.warmup.set_until(found.map_or(now, |(until, _)| until), now);
        }
    }

    /// Applies a load report of a runner.
    pub fn report(&mut self, name: &str, load: EngineLoad, now: Instant) {
        if let Some(runner) = self.runners.get_mut(name) {
            runner.memory.report(&load, now);
            runner.load = Some(load);
        }
    }

    /// Returns the name of each runner, its requests of this box and whether it takes new work, for
    /// display to operators.
    pub fn overview(&self, now: Instant) -> Vec<(RunnerName, u64, bool)> {
        let rows = self.runners.values();
        rows.map(|r| (r.spec.name.clone(), r.running, r.takes_work(now))).collect()
    }
}
