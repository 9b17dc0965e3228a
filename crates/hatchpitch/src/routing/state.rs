//! The runners of one pool as one box sees them, without I/O.
//!
//! What this box runs itself is known exactly; load reports lag and only break
//! ties between runners. A runner that fails is ejected for a time that
//! doubles, and comes back with one request at a time until one succeeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::reading::Reading;
use super::warming::{ColdLimit, Warming};
use crate::admission::lengths::LengthModel;
use crate::admission::memory::{Candidate, EngineMemory, MemoryPolicy};
use crate::admission::policy::Pick;
use crate::engine::EngineLoad;
use crate::ids::{AttemptId, FailureDomainName, Priority, RunnerName};
use crate::upstream_signals::SharedSignals;

/// Bounds of ejection.
#[derive(Debug, Clone, Copy)]
pub struct RoutingConfig {
    /// First time of ejection.
    pub eject_min: Duration,
    /// Longest time of ejection.
    pub eject_max: Duration,
    /// Whether runners that fail are ejected at all.
    pub ejects: bool,
    /// Which of the fitting runners is taken.
    pub pick: Pick,
    /// When a runner's memory is full.
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

/// A runner as the fleet file defines it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerSpec {
    /// Its name.
    pub name: RunnerName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
    /// Requests that this box may run on it at once.
    pub slots: u64,
    /// Size of its memory in tokens, where it is known without a report.
    pub memory: Option<u64>,
    /// Tokens of copied memory that its link takes in a second; infinite if none are copied.
    pub copy_rate: f64,
}

#[derive(Debug, Clone)]
pub(super) struct RunnerState {
    pub(super) spec: RunnerSpec,
    pub(super) running: u64,
    /// Whether the fleet file still holds it.
    pub(super) configured: bool,
    /// Whether membership lets it take new work.
    pub(super) serving: bool,
    pub(super) failures: u32,
    /// Faulty answers since the last good one, none of which led to an ejection.
    pub(super) faults: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) load: Option<EngineLoad>,
    pub(super) memory: EngineMemory,
    /// Prompts to be read.
    pub(super) reading: Reading,
    /// Copies on their way here.
    pub(super) copies: Backlog,
    /// Whether it is cold, and what it bears then.
    pub(super) warming: Warming,
    pub(super) cold_limit: Option<ColdLimit>,
}

/// Tokens that a runner has still to take in, worked down by the clock.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Backlog {
    tokens: f64,
    at: Option<Instant>,
}

/// Time for which an engine may have prompts to read and still get more. What waits in an engine
/// is read in the order of its arrival; what waits here goes by what was paid and by fair
/// service. This long keeps engines busy, and leaves half of the usual time to a first token.
const MAX_READING: f64 = 0.8;

impl Backlog {
    /// Adds tokens; `rate` is how many are taken in a second.
    fn add(&mut self, tokens: f64, rate: f64, now: Instant) {
        self.tokens = self.left(rate, now) + tokens;
        self.at = Some(now);
    }

    /// Returns the tokens that are left.
    fn left(&self, rate: f64, now: Instant) -> f64 {
        let passed = self.at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        (self.tokens - passed * rate).max(0.0)
    }
}

/// Tokens a second that a runner makes for one generation, and that it reads of prompts.
#[derive(Debug, Clone, Copy)]
struct Pace {
    made: f64,
    read: f64,
}

/// What a run says about its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Nothing.
    Released,
    /// It works.
    Succeeded,
    /// It gave an answer that is none, or broke one off: counts from the second in a row.
    Faulty,
    /// It failed.
    Failed,
}

/// What is known of a run when its slot is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// What it says about its runner.
    pub verdict: Verdict,
    /// Length of its output, if it is known.
    pub tokens: Option<u64>,
    /// Time from its slot to its first token, if it made one where it began.
    #[serde(default)]
    pub first: Option<Duration>,
}

impl RunReport {
    /// A run that says nothing.
    pub const RELEASED: Self = Self { verdict: Verdict::Released, tokens: None, first: None };
}

/// Which runners a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// The run.
    pub id: &'a AttemptId,
    /// What it pays for.
    pub priority: Priority,
    /// Runners that are not picked.
    pub avoid: &'a [RunnerName],
    /// Failure domain whose runners are preferred.
    pub near: Option<&'a str>,
    /// Tokens that are copied there first; 0 for a run that begins.
    pub copied: u64,
    /// Failure domains whose runners may run it; all if there are none.
    pub within: &'a [FailureDomainName],
    /// Whether runners that name a limit are not picked.
    pub skips_limited: bool,
    /// Whether this box sends the request, so that it is bound by rests that runners asked it for.
    pub sends_here: bool,
    /// Whether the request could not go elsewhere if its runner turned it away.
    pub only_try: bool,
}

/// Why no runner that could run a request takes one now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// Time until the first one may.
    pub opens_in: Duration,
    /// Whether some of them asked for rest; the others are at their limits.
    pub rests: bool,
}

/// When a request may come back that goes to runners without a limit only and finds none: it was
/// turned away by several that have one, and those open at different times.
const SKIPPED_RETRY: Duration = Duration::from_millis(250);
/// Load by which a runner of another failure domain has to be less busy to be picked: the share
/// of a runner that a few requests make.
const DISTANCE: f64 = 0.15;

/// Load by which a runner that returns from a rest has to be less busy to be picked for a request that
/// could not go elsewhere if it were turned away again: about that of a full runner.
const RETURN_RISK: f64 = 1.0;

/// Weight of a second that a copy takes, in load: a runner that leaves has two seconds for all.
const COPY_WEIGHT: f64 = 3.0;
/// Load that another copy on a runner's link counts as: the last part of a copy, for which its
/// stream stands still, would wait behind it.
const SHARED_LINK: f64 = 0.3;
/// Time that a move takes beside its copy: asking, and the last part.
const LAST_PART: Duration = Duration::from_millis(80);
/// How much longer a copy to another failure domain takes.
const FAR_COPY_FACTOR: f64 = 2.0;

impl Asked<'_> {
    fn allows(&self, spec: &RunnerSpec) -> bool {
        !self.avoid.contains(&spec.name)
            && (self.within.is_empty() || self.within.contains(&spec.failure_domain))
    }

    fn is_far(&self, spec: &RunnerSpec) -> bool {
        self.near.is_some_and(|near| near != spec.failure_domain)
    }

    fn copy_factor(&self, spec: &RunnerSpec) -> f64 {
        if self.is_far(spec) { FAR_COPY_FACTOR } else { 1.0 }
    }

    /// Returns what it costs, in load, to bring the request to a runner.
    fn distance(&self, runner: &RunnerState, now: Instant) -> f64 {
        let spec = &runner.spec;
        let far = if self.is_far(spec) { DISTANCE } else { 0.0 };
        if self.copied == 0 {
            return far;
        }
        let left = runner.copies.left(spec.copy_rate, now);
        let shared = if left > 0.0 { SHARED_LINK } else { 0.0 };
        let own = self.copied as f64 * self.copy_factor(spec);
        let seconds = (left + own) / spec.copy_rate;
        far + shared + seconds * COPY_WEIGHT
    }
}

/// The runners of one pool.
#[derive(Debug, Clone)]
pub struct RunnerTable {
    cfg: RoutingConfig,
    pub(super) runners: BTreeMap<RunnerName, RunnerState>,
    picks: usize,
    signals: SharedSignals,
}

impl RunnerTable {
    /// Creates an empty table.
    pub fn new(cfg: RoutingConfig) -> Self {
        Self { cfg, runners: BTreeMap::new(), picks: 0, signals: SharedSignals::default() }
    }

    /// Takes limits and rests of upstreams from those that the whole box knows.
    pub fn share_signals(&mut self, signals: SharedSignals) {
        self.signals = signals;
    }

    /// Takes in what the fleet file says; runners that are gone finish what they have.
    pub fn sync(&mut self, specs: impl IntoIterator<Item = RunnerSpec>) {
        for runner in self.runners.values_mut() {
            runner.configured = false;
        }
        let pace = self.pace();
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
                memory: pace.map(|pace| EngineMemory::at_rate(pace.made)).unwrap_or_default(),
                reading: pace.map(|pace| Reading::at_rate(pace.read)).unwrap_or_default(),
                copies: Backlog::default(),
                warming: Warming::default(),
                cold_limit: None,
            });
            runner.configured = true;
            if let Some(tokens) = spec.memory {
                runner.memory.set_limit(tokens);
            }
            runner.spec = spec;
        }
        self.runners.retain(|_, runner| runner.configured || runner.running > 0);
    }

    /// Returns the mean pace of the runners: what a new one is taken to have, so that neither the
    /// memory that it needs nor its prompts are misjudged until its first generations have ended.
    fn pace(&self) -> Option<Pace> {
        let count = self.runners.len() as f64;
        let sum = |of: fn(&RunnerState) -> f64| self.runners.values().map(of).sum::<f64>();
        (count > 0.0).then(|| Pace {
            made: sum(|runner| runner.memory.rate()) / count,
            read: sum(|runner| runner.reading.rate()) / count,
        })
    }

    /// Picks a runner that takes new work, has room and is not to be avoided, and takes a slot
    /// on it.
    pub fn pick(
        &mut self,
        asked: &Asked<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<RunnerSpec> {
        self.picks += 1;
        self.expect(asked, now);
        let (_, name) = self.best(asked, candidate, lengths, now)?;
        let best = self.runners.get_mut(&name)?;
        best.running += 1;
        best.warming.take(best.cold_limit, now);
        // Where another box gives out the permits, it is asked next.
        let _ = self.signals.limits.borrow_mut().take(&name, asked.priority, now);
        if asked.sends_here {
            self.signals.backoffs.borrow_mut().take(&name, now);
        }
        match asked.copied {
            0 => best.reading.add(asked.id.clone(), candidate.prompt, now),
            copied => {
                let tokens = copied as f64 * asked.copy_factor(&best.spec);
                let rest = best.spec.copy_rate * LAST_PART.as_secs_f64();
                best.copies.add(tokens + rest, best.spec.copy_rate, now);
            }
        }
        best.memory.take(asked.id.clone(), candidate.clone(), now);
        Some(best.spec.clone())
    }

    /// Counts a request that runs on a runner `since` then; returns the runner if it is known.
    pub fn adopt(
        &mut self,
        name: &str,
        asked: &Asked<'_>,
        candidate: &Candidate,
        since: Instant,
    ) -> Option<RunnerSpec> {
        let runner = self.runners.get_mut(name).filter(|runner| runner.configured)?;
        runner.running += 1;
        runner.memory.take(asked.id.clone(), candidate.clone(), since);
        Some(runner.spec.clone())
    }

    /// Returns the load of the runner that would be picked, if any has room.
    pub fn quote(
        &self,
        asked: &Asked<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<f64> {
        self.best(asked, candidate, lengths, now).map(|(load, _)| load)
    }

    /// Finds the least loaded runner that takes the request, and its load.
    fn best(
        &self,
        asked: &Asked<'_>,
        candidate: &Candidate,
        lengths: &LengthModel,
        now: Instant,
    ) -> Option<(f64, RunnerName)> {
        let (cfg, turn, count) = (self.cfg, self.picks, self.runners.len().max(1));
        let wanted = |r: &&RunnerState| asked.allows(&r.spec);
        let floor = !self.runners.values().filter(wanted).any(|r| r.takes_work(now));
        let open = self.runners.values().enumerate();
        let open = open.filter(|(_, r)| {
            let reads = asked.copied == 0;
            r.has_slot(now, floor)
                && asked.allows(&r.spec)
                && r.warming.admits(r.cold_limit, now)
                && self.admits(asked, &r.spec.name, now)
                && !(reads && r.reading.seconds(now) > MAX_READING)
        });
        let mut open: Vec<(f64, usize, &RunnerName)> = open
            .map(|(i, r)| {
                let share = match cfg.pick {
                    Pick::RoundRobin => 0.0,
                    Pick::LeastLoaded => {
                        r.load_share(now) + asked.distance(r, now) + self.risk(asked, r, now)
                    }
                };
                (share, (i + turn) % count, &r.spec.name)
            })
            .collect();
        open.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // Whether a request fits costs far more than the order, so it is asked one by one.
        let fits =
            |name: &RunnerName| self.runners[name].memory.fits(cfg.memory, candidate, lengths, now);
        let found = open.into_iter().find(|(.., name)| fits(name));
        found.map(|(load, _, name)| (load, name.clone()))
    }

    /// Returns when one of the runners that could run a request may get it, if all of them are at
    /// their limits or asked for rest.
    pub fn closed(&self, asked: &Asked<'_>, now: Instant) -> Option<Closed> {
        let (limits, rests) = (self.signals.limits.borrow(), self.signals.backoffs.borrow());
        if limits.limited() == 0 && rests.is_empty() {
            return None;
        }
        let could = self.runners.values().filter(|r| asked.allows(&r.spec) && r.takes_work(now));
        let names: Vec<&RunnerName> = could.map(|r| &r.spec.name).collect();
        if names.iter().any(|name| self.admits(asked, name, now)) {
            return None;
        }
        let rests_now = |name: &RunnerName| asked.sends_here && !rests.admits(name, now);
        let opens_in = |name: &RunnerName| {
            let limit = limits.opens_in(name, asked.priority, now);
            if rests_now(name) { limit.max(rests.opens_in(name, now)) } else { limit }
        };
        let least = if asked.skips_limited { SKIPPED_RETRY } else { Duration::ZERO };
        let first = names.iter().map(|name| opens_in(name)).min()?;
        let rests = names.iter().any(|name| rests_now(name));
        Some(Closed { opens_in: first.max(least), rests })
    }

    /// Returns what it costs, in load, that a runner may turn the request away.
    fn risk(&self, asked: &Asked<'_>, runner: &RunnerState, now: Instant) -> f64 {
        let returns = |name| self.signals.backoffs.borrow().is_recovering(name, now);
        let is_at_risk = asked.only_try && asked.sends_here && returns(&runner.spec.name);
        if is_at_risk { RETURN_RISK } else { 0.0 }
    }

    /// Returns whether limit and rest of a runner leave room for a request.
    fn admits(&self, asked: &Asked<'_>, runner: &str, now: Instant) -> bool {
        let limits = self.signals.limits.borrow();
        let skipped = asked.skips_limited && limits.limit(runner).is_some();
        let rested = asked.sends_here && !self.signals.backoffs.borrow().admits(runner, now);
        !skipped && !rested && limits.admits(runner, asked.priority, now)
    }

    /// Notes at the limits of its runners that a request wants to be sent.
    fn expect(&self, asked: &Asked<'_>, now: Instant) {
        let mut limits = self.signals.limits.borrow_mut();
        if limits.limited() == 0 {
            return;
        }
        for runner in self.runners.values().filter(|runner| asked.allows(&runner.spec)) {
            limits.record_demand(&runner.spec.name, asked.priority, now);
        }
    }

    /// Returns whether any runner could take new work now or after others finish. With every
    /// runner ejected all of them can: one that may fail is better than none.
    pub fn any_serving(&self) -> bool {
        self.runners.values().any(|r| r.configured && r.serving)
    }

    /// Returns whether any runner that a request asks for could take it now or later.
    pub fn any_serving_for(&self, asked: &Asked<'_>) -> bool {
        self.runners.values().any(|r| r.configured && r.serving && asked.allows(&r.spec))
    }

    /// Returns when the first ejected runner comes back, if none serves.
    pub fn next_return(&self) -> Option<Instant> {
        let back = self.runners.values().filter(|r| r.configured && r.serving);
        back.filter_map(|r| r.ejected_until).min()
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, name: &str, id: &str, report: RunReport, now: Instant) {
        let cfg = self.cfg;
        let Some(runner) = self.runners.get_mut(name) else { return };
        runner.running = runner.running.saturating_sub(1);
        runner.memory.give_back(id, report.tokens, now);
        runner.reading.give_back(id, report.first);
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
                runner.ejected_until = Some(now + doubled.min(cfg.eject_max));
            }
        }
    }

    /// Notes which runners membership lets take new work.
    pub fn set_serving(&mut self, serves: impl Fn(&str) -> bool) {
        for (name, runner) in &mut self.runners {
            runner.serving = serves(name);
        }
    }

    /// Notes until when each runner is cold, and what it bears then.
    pub fn set_cold(
        &mut self,
        cold: impl Fn(&RunnerSpec) -> Option<(Instant, ColdLimit)>,
        now: Instant,
    ) {
        for runner in self.runners.values_mut() {
            let found = cold(&runner.spec);
            runner.cold_limit = found.map(|(_, limit)| limit);
            runner.warming.set_until(found.map_or(now, |(until, _)| until), now);
        }
    }

    /// Takes in a load report.
    pub fn report(&mut self, name: &str, load: EngineLoad, now: Instant) {
        if let Some(runner) = self.runners.get_mut(name) {
            runner.memory.report(&load, now);
            runner.load = Some(load);
        }
    }

    /// Returns name, requests of this box and whether it takes new work, for operators.
    pub fn overview(&self, now: Instant) -> Vec<(RunnerName, u64, bool)> {
        let rows = self.runners.values();
        rows.map(|r| (r.spec.name.clone(), r.running, r.takes_work(now))).collect()
    }
}

impl RunnerState {
    fn takes_work(&self, now: Instant) -> bool {
        self.configured && self.serving && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns whether it has room; `floor` lets ejected runners take work as well.
    fn has_slot(&self, now: Instant, floor: bool) -> bool {
        let slots = if self.failures > 0 && !floor { 1 } else { self.spec.slots };
        let open = if floor { self.configured && self.serving } else { self.takes_work(now) };
        open && self.running < slots
    }

    /// Share of slots and memory in use, and seconds of prompts to be read; what other boxes have
    /// waiting there counts too.
    fn load_share(&self, now: Instant) -> f64 {
        let slots = self.spec.slots.max(1) as f64;
        let waiting = self.load.as_ref().map_or(0.0, |load| load.waiting as f64);
        let reading = self.reading.seconds(now);
        (self.running as f64 + waiting) / slots + self.memory.share(now) + reading
    }
}
