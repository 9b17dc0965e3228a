//! The engines that one box decides for, and the requests that wait for them.
//!
//! Load pattern answered: more work than the engines take at once. Who pays more goes first,
//! workspaces that pay the same get the same service, a request that would wait longer than it
//! accepts is turned away on arrival, and a running generation that is moved goes past the line.
//! A request that finds no room on any engine lets smaller ones go past it, but only so many:
//! then it holds up those behind it, or the longest prompts would wait for ever.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use super::search::Quote;
use crate::admission::lengths::LengthModel;
use crate::admission::memory::Candidate;
use crate::admission::state::{AdmissionConfig, AdmissionQueue, Enqueued, Ticket, Waiter};
use crate::ids::{AttemptId, FailureDomainName, Priority, RequestKind, RunnerName, WorkspaceName};
use crate::routing::state::{Asked, Closed, RunnerSpec};
use crate::routing::{RoutingConfig, RunReport, RunnerTable};
use crate::upstream_signals::SharedSignals;

/// Requests of the line that are tried for a slot that is free. Those with a prompt as long as one
/// that found no room are not tried, so that looking costs a few trials.
const LOOKED_AT: usize = 32;
/// Requests that may go past one that finds no room: about those that one engine runs at once, so
/// that it waits for an engine to empty once, and not for ever.
const MAX_PASSED: u32 = 16;
/// Output expected of a pool of which nothing is known, in tokens.
const EXPECTED_OUTPUT: u64 = 256;
/// When to come back while no runner takes work and none is known to return: announcements come
/// about once a second, and a runner starts within a few.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(5);
/// Why a request is refused that finds every runner at its limit.
pub const AT_LIMIT: &str = "every upstream that could take it is at the limit that it names";
/// Why a request is refused that finds every runner resting, or at its limit.
pub const RESTING: &str = "every upstream that could take it asked for rest or is at its limit";
/// Time over which those come back that are told the end of the same rest: what an upstream gets
/// then grows with what it answers.
const REST_SPREAD: Duration = Duration::from_millis(250);
/// Shortest time to come back after: an earlier return finds the same runners away.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// A request for a slot on an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Names the run.
    pub id: AttemptId,
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it pays for.
    pub priority: Priority,
    /// Requests of one kind have outputs of like length.
    pub kind: RequestKind,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Bound on the output, in tokens.
    pub max_tokens: u64,
    /// Runners that failed this request before.
    pub avoid: Vec<RunnerName>,
    /// Failure domain whose runners are preferred while they are not much busier.
    #[serde(default)]
    pub near: Option<FailureDomainName>,
    /// Tokens that are copied from another runner first; 0 for a run that begins.
    #[serde(default)]
    pub copied: u64,
    /// Longest wait, if it is shorter than the pool's.
    #[serde(default)]
    pub max_wait: Option<Duration>,
    /// Expected wait beyond which the request is refused at once, if it is shorter than the
    /// pool's.
    #[serde(default)]
    pub accepts: Option<Duration>,
    /// Failure domains whose runners may run it; all if there are none.
    #[serde(default)]
    pub within: Vec<FailureDomainName>,
    /// Longest wait for runners that are at their limits or rest, if it is shorter than the pool's.
    #[serde(default)]
    pub limit_wait: Option<Duration>,
    /// Whether it goes to runners only that name no limit.
    #[serde(default)]
    pub skips_limited: bool,
    /// Whether this box sends it, so that it is bound by rests that runners asked this box for; it
    /// is never so at another box.
    #[serde(skip)]
    pub sends_here: bool,
    /// Whether it could not go elsewhere if its runner turned it away.
    #[serde(skip)]
    pub only_try: bool,
}

impl Want {
    /// Returns whether the request may run at a runner, as far as it says itself.
    pub fn may_run_at(&self, runner: &RunnerName, domain: &FailureDomainName) -> bool {
        !self.avoid.contains(runner) && (self.within.is_empty() || self.within.contains(domain))
    }

    fn asked(&self) -> Asked<'_> {
        let near = self.near.as_deref();
        Asked {
            id: &self.id,
            priority: self.priority,
            avoid: &self.avoid,
            near,
            copied: self.copied,
            within: &self.within,
            skips_limited: self.skips_limited,
            sends_here: self.sends_here,
            only_try: self.only_try,
        }
    }

    fn candidate(&self) -> Candidate {
        Candidate { kind: self.kind.clone(), prompt: self.prompt, max_output: self.max_tokens }
    }
}

/// A request that was given up on before it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub cause: String,
    /// When to come back.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(cause: &str, retry_after: Duration) -> Self {
        Self { cause: cause.to_owned(), retry_after }
    }
}

/// What becomes of a request that comes.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It runs here, and a slot is taken.
    Run(RunnerSpec),
    /// It waits; an [`Answer`] with this ticket follows.
    Wait(Ticket),
    /// It is turned away.
    Refuse(Refusal),
}

/// What became of a request that waited.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The request's place in the line.
    pub ticket: Ticket,
    /// Names the run.
    pub id: AttemptId,
    /// The engine on which a slot was taken, or why there is none.
    pub slot: Result<RunnerSpec, Refusal>,
}

/// The engines of one pool at one owner, and the requests that wait for them.
#[derive(Debug, Clone)]
pub struct Line {
    pub(super) table: RunnerTable,
    pub(super) queue: AdmissionQueue,
    pub(super) waiting: BTreeMap<Ticket, Want>,
    lengths: LengthModel,
    answers: Vec<Answer>,
}

impl Line {
    /// Creates a line without engines.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig) -> Self {
        Self {
            table: RunnerTable::new(routing),
            queue: AdmissionQueue::new(admission),
            waiting: BTreeMap::new(),
            lengths: LengthModel::default(),
            answers: Vec::new(),
        }
    }

    /// Makes the line keep to limits and rests that the whole box knows of.
    pub fn sharing(mut self, signals: SharedSignals) -> Self {
        self.table.share_signals(signals);
        self
    }

    /// Takes the answers to requests that waited, which the last calls gave.
    pub fn take_answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Takes a slot if one is free and nobody waits for it.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner that it asks for takes work; `Ok(None)` means that the
    /// request would wait.
    pub fn place(&mut self, want: &Want, now: Instant) -> Result<Option<RunnerSpec>, Refusal> {
        if !self.table.any_serving_for(&want.asked()) {
            return Err(self.no_runner(now));
        }
        if self.waits_in_line(want) {
            return Ok(None);
        }
        let Some(spec) = pick(&mut self.table, &self.lengths, want, now) else { return Ok(None) };
        self.queue.charge(&want.workspace, self.cost(want));
        Ok(Some(spec))
    }

    /// Takes a slot, or a place in the line, or turns the request away.
    pub fn decide(&mut self, want: &Want, now: Instant) -> Decision {
        match self.place(want, now) {
            Ok(Some(spec)) => return Decision::Run(spec),
            Ok(None) => {}
            Err(refusal) => return Decision::Refuse(refusal),
        }
        if let Some(closed) = self.closed(want, now)
            && closed.opens_in > want.limit_wait.unwrap_or(Duration::MAX)
        {
            return Decision::Refuse(closed_to(want, closed));
        }
        let waiter = Waiter {
            workspace: want.workspace.clone(),
            priority: want.priority,
            cost: self.cost(want),
            since: now,
            accepts: want.accepts.unwrap_or(Duration::MAX),
        };
        let ticket = match self.queue.enqueue(waiter) {
            Enqueued::Waiting(ticket) => ticket,
            Enqueued::Displaced { ticket, refused } => {
                self.refuse(refused, "displaced by a higher priority");
                ticket
            }
            Enqueued::Refused => {
                let retry_after = self.retry_after(want);
                let cause = "more wait than can be served in time";
                return Decision::Refuse(Refusal::new(cause, retry_after));
            }
        };
        self.waiting.insert(ticket, want.clone());
        Decision::Wait(ticket)
    }

    /// Returns what the request would get at once; nothing is taken.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner that it asks for takes work.
    pub fn quote(&self, want: &Want, now: Instant) -> Result<Quote, Refusal> {
        if !self.table.any_serving_for(&want.asked()) {
            return Err(self.no_runner(now));
        }
        let busy = Quote::Busy(self.expected_wait(want, now));
        if self.waits_in_line(want) {
            return Ok(busy);
        }
        let load = self.table.quote(&want.asked(), &want.candidate(), &self.lengths, now);
        Ok(load.map_or(busy, Quote::Room))
    }

    /// Counts a slot that another owner granted, `since` when; returns the engine, unless it
    /// belongs to another owner.
    pub fn adopt(&mut self, runner: &str, want: &Want, since: Instant) -> Option<RunnerSpec> {
        let spec = self.table.adopt(runner, &want.asked(), &want.candidate(), since)?;
        self.queue.charge(&want.workspace, self.cost(want));
        Some(spec)
    }

    /// Gives a slot back.
    pub fn give_back(
        &mut self,
        runner: &str,
        want: &Want,
        cost: u64,
        report: RunReport,
        now: Instant,
    ) {
        self.table.give_back(runner, &want.id, report, now);
        if let Some(tokens) = report.tokens {
            self.lengths.observe(&want.kind, tokens);
            self.queue.correct(&want.workspace, cost, want.prompt + tokens);
        }
        self.pump(now);
    }

    /// Gives back a slot that was not used, and what it was charged for.
    pub fn give_up_unused(&mut self, runner: &str, want: &Want, cost: u64, now: Instant) {
        self.queue.correct(&want.workspace, cost, 0);
        self.give_up(runner, &want.id, now);
    }

    /// Gives back a slot whose request left before it had it.
    pub fn give_up(&mut self, runner: &str, id: &str, now: Instant) {
        self.table.give_back(runner, id, RunReport::RELEASED, now);
        self.pump(now);
    }

    /// Takes a request that stopped waiting out of the line.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.waiting.remove(&ticket);
    }

    /// Changes the engines, then lets in whoever can run now.
    pub fn update<T>(&mut self, now: Instant, change: impl FnOnce(&mut RunnerTable) -> T) -> T {
        let changed = change(&mut self.table);
        self.pump(now);
        changed
    }

    /// Changes the bounds of the line.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.queue.configure(cfg);
    }

    /// Refuses who waited too long and lets in who can run; call it a few times a second.
    pub fn tick(&mut self, now: Instant) {
        for ticket in self.queue.expire(now) {
            self.refuse(ticket, "waited as long as the pool allows");
        }
        if !self.table.any_serving() {
            let refusal = self.no_runner(now);
            for (ticket, want) in std::mem::take(&mut self.waiting) {
                self.queue.cancel(ticket);
                self.answers.push(Answer { ticket, id: want.id, slot: Err(refusal.clone()) });
            }
        }
        self.pump(now);
        self.refuse_closed(now);
    }

    /// Returns how long a request would wait.
    pub fn expected_wait(&self, want: &Want, now: Instant) -> Duration {
        let in_line = self.queue.expected_wait(&want.workspace, want.priority);
        self.closed(want, now).map_or(in_line, |closed| closed.opens_in.max(in_line))
    }

    /// Returns how long a request would wait for runners that are at their limits or rest, if all
    /// are that could run it.
    fn closed(&self, want: &Want, now: Instant) -> Option<Closed> {
        let mut closed = self.table.closed(&want.asked(), now)?;
        closed.opens_in += self.queue.expected_wait(&want.workspace, want.priority);
        Some(closed)
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self, want: &Want) -> Duration {
        self.queue.retry_after(&want.workspace, want.priority)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the tokens that a request is expected to cost.
    pub fn cost(&self, want: &Want) -> u64 {
        want.prompt + self.lengths.mean(EXPECTED_OUTPUT).min(want.max_tokens)
    }

    /// Returns whether others go first. A running generation that is moved goes past the line: its
    /// stream would stand still, and its engine is gone within seconds.
    fn waits_in_line(&self, want: &Want) -> bool {
        want.copied == 0 && !self.queue.is_empty()
    }

    /// Lets in whoever is next for as long as there is room.
    fn pump(&mut self, now: Instant) {
        self.queue.age(now);
        while let Some((ticket, spec)) = self.next_fitting(now) {
            self.queue.grant_to(ticket, now);
            let Some(want) = self.waiting.remove(&ticket) else { continue };
            self.answers.push(Answer { ticket, id: want.id, slot: Ok(spec) });
        }
    }

    /// Finds the first request of the order that an engine has room for, and takes a slot for it.
    fn next_fitting(&mut self, now: Instant) -> Option<(Ticket, RunnerSpec)> {
        // Requests that found no room, and kinds and prompts of those that were tried.
        let mut without_room: Vec<Ticket> = Vec::new();
        let mut too_long: Vec<(&RequestKind, u64)> = Vec::new();
        let candidates: Vec<Ticket> = self.queue.candidates().take(LOOKED_AT).collect();
        for ticket in candidates {
            let Some(want) = self.waiting.get(&ticket) else { continue };
            let hopeless =
                too_long.iter().any(|(kind, prompt)| **kind == want.kind && *prompt <= want.prompt);
            if !hopeless {
                if let Some(spec) = pick(&mut self.table, &self.lengths, want, now) {
                    self.queue.note_passed(&without_room);
                    return Some((ticket, spec));
                }
                if want.avoid.is_empty() && want.within.is_empty() {
                    too_long.push((&want.kind, want.prompt));
                }
            }
            if self.queue.passed(ticket) >= MAX_PASSED {
                return None;
            }
            without_room.push(ticket);
        }
        None
    }

    fn refuse(&mut self, ticket: Ticket, cause: &str) {
        if let Some(want) = self.waiting.remove(&ticket) {
            let retry_after = self.retry_after(&want);
            let slot = Err(Refusal::new(cause, retry_after));
            self.answers.push(Answer { ticket, id: want.id, slot });
        }
    }

    /// Refuses who has waited in vain for as long as it may for runners at their limits or at rest:
    /// other boxes may take each permit before this line looks.
    fn refuse_closed(&mut self, now: Instant) {
        let has_waited = |(ticket, want): (&Ticket, &Want)| {
            let waited = self.queue.waited(*ticket, now)?;
            let longest = want.limit_wait?;
            let closed = self.closed(want, now).filter(|_| waited >= longest)?;
            Some((*ticket, closed))
        };
        let over: Vec<(Ticket, Closed)> = self.waiting.iter().filter_map(has_waited).collect();
        for (ticket, closed) in over {
            self.queue.cancel(ticket);
            if let Some(want) = self.waiting.remove(&ticket) {
                let slot = Err(closed_to(&want, closed));
                self.answers.push(Answer { ticket, id: want.id, slot });
            }
        }
    }

    fn no_runner(&self, now: Instant) -> Refusal {
        let until = self.table.next_return().map(|at| at.saturating_duration_since(now));
        let retry_after = until.unwrap_or(NO_RUNNER_RETRY).max(MIN_RETRY);
        Refusal::new("no runner of the pool takes work", retry_after)
    }
}

/// Refuses a request to which all runners are closed.
pub fn closed_to(want: &Want, closed: Closed) -> Refusal {
    if !closed.rests {
        return Refusal::new(AT_LIMIT, closed.opens_in);
    }
    let part = XxHash64::oneshot(0, want.id.as_bytes()) as f64 / u64::MAX as f64;
    Refusal::new(RESTING, closed.opens_in + REST_SPREAD.mul_f64(part))
}

/// Takes a slot on the best of the engines that have room for a request.
fn pick(
    table: &mut RunnerTable,
    lengths: &LengthModel,
    want: &Want,
    now: Instant,
) -> Option<RunnerSpec> {
    table.pick(&want.asked(), &want.candidate(), lengths, now)
}
