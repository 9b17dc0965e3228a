//! Schedules requests onto the engines of one pool that a box owns, and queues the others.
//!
//! Handles more demand than the engines can run at once. Higher priorities go first, workspaces
//! of one priority share the service fairly, a request whose expected wait is longer than it
//! accepts is refused on arrival, and a running generation that is migrated bypasses the queue.
//! Smaller requests may bypass one that fits on no engine, up to a limit; from then on it blocks
//! the queue, because the longest prompts would starve otherwise.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use twox_hash::XxHash64;

use super::request::{DEFAULT_OUTPUT_TOKENS, Refusal, SlotRequest};
use super::search::Quote;
use crate::admission::lengths::LengthModel;
use crate::admission::recheck::{MARGIN, Untimely};
use crate::admission::returns::ReturnSchedule;
use crate::admission::state::{AdmissionConfig, AdmissionQueue, Enqueued, Ticket, Waiter};
use crate::ids::{AttemptId, RequestKind};
use crate::routing::state::{Closed, RunnerSpec};
use crate::routing::{RoutingConfig, RunReport, RunnerTable};
use crate::upstream_signals::SharedSignals;

/// Queued requests that are considered when a slot is free. Those with a prompt at least as long
/// as one of the same kind that did not fit are skipped, so that a scan costs only a few attempts.
const MAX_CANDIDATES: usize = 32;
/// Requests that may bypass one that does not fit. This is about the number that one engine runs
/// at once, so that a large request waits for an engine to drain once instead of starving.
const MAX_BYPASSES: u32 = 16;
/// Retry delay while no runner takes work and none has a known time of return: runners announce
/// themselves about once a second, and one starts within a few seconds.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(5);
/// Cause of a refusal if every eligible runner is at its rate limit.
pub const AT_LIMIT: &str = "every upstream that could take it is at the limit that it names";
/// Cause of a refusal if every eligible runner is in a rest period or at its rate limit.
pub const RESTING: &str = "every upstream that could take it asked for rest or is at its limit";
/// Cause of a refusal if no eligible runner takes work.
pub const NO_RUNNER: &str = "no runner of the pool takes work";
/// Cause of a refusal if the expected wait is longer than the request accepts.
pub const LONG_WAIT: &str = "more wait than can be served in time";
/// Cause of a refusal if a queued request can no longer start in time.
pub const UNTIMELY: &str = "the request can no longer start within the time that it allows";
/// Range of the jitter added to retry delays that end with the same rest period, so that the load
/// on an upstream rises gradually when the period ends.
const REST_JITTER: Duration = Duration::from_millis(250);
/// Shortest retry delay while no runner takes work: an earlier retry would find the same state.
const MIN_RETRY: Duration = Duration::from_secs(1);
/// Shortest retry delay after a refusal of the queue whose callers are told when to return.
const MIN_RETURN: Duration = Duration::from_millis(250);

/// The immediate result of scheduling a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A slot was taken on this engine.
    Run(RunnerSpec),
    /// The request was queued. An [`Answer`] with this ticket follows.
    Wait(Ticket),
    /// The request was refused.
    Refuse(Refusal),
}

/// The final result of a queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Ticket of the request in the queue.
    pub ticket: Ticket,
    /// Id of the run.
    pub id: AttemptId,
    /// The engine on which a slot was taken, or the refusal.
    pub slot: Result<RunnerSpec, Refusal>,
}

/// Schedules the engines of one pool at one owner, and holds the queue of waiting requests.
#[derive(Debug, Clone)]
pub struct PoolScheduler {
    pub(super) table: RunnerTable,
    pub(super) queue: AdmissionQueue,
    pub(super) waiting: BTreeMap<Ticket, SlotRequest>,
    lengths: LengthModel,
    answers: Vec<Answer>,
    returns: ReturnSchedule,
    refusals: QueueRefusals,
}

/// Numbers of requests refused by the queue, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueRefusals {
    /// Refused on arrival, because the expected wait was too long or the queue was full.
    pub on_arrival: u64,
    /// Refused while they waited, because they could no longer start in time.
    pub untimely: u64,
    /// Refused after they had waited for as long as they or the pool allow.
    pub waited: u64,
}

impl PoolScheduler {
    /// Creates a scheduler without engines.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig) -> Self {
        Self {
            table: RunnerTable::new(routing),
            queue: AdmissionQueue::new(admission),
            waiting: BTreeMap::new(),
            lengths: LengthModel::default(),
            answers: Vec::new(),
            returns: ReturnSchedule::default(),
            refusals: QueueRefusals::default(),
        }
    }

    /// Makes the scheduler respect the rate limits and rest periods that all schedulers of the box
    /// share.
    pub fn with_signals(mut self, signals: SharedSignals) -> Self {
        self.table.share_signals(signals);
        self
    }

    /// Takes the answers to queued requests that have accumulated since the last call.
    pub fn take_answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Takes a slot if one is free and no queued request goes first.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no eligible runner takes work; `Ok(None)` means that the request
    /// would have to queue.
    pub fn place(
        &mut self,
        req: &SlotRequest,
        now: Instant,
    ) -> Result<Option<RunnerSpec>, Refusal> {
        if !self.table.any_serving_for(&req.asked(&self.lengths)) {
            return Err(self.no_runner_refusal(now));
        }
        if self.must_queue(req) {
            return Ok(None);
        }
        let Some(spec) = pick(&mut self.table, &self.lengths, req, now) else { return Ok(None) };
        self.queue.charge(&req.workspace, self.cost(req));
        self.queue.set_service_interval(self.table.service_interval());
        Ok(Some(spec))
    }

    /// Takes a slot for the request, queues it or refuses it.
    pub fn decide(&mut self, req: &SlotRequest, now: Instant) -> Decision {
        match self.place(req, now) {
            Ok(Some(spec)) => return Decision::Run(spec),
            Ok(None) => {}
            Err(refusal) => return Decision::Refuse(refusal),
        }
        if let Some(closed) = self.closed(req, now)
            && closed.opens_in > req.limit_wait.unwrap_or(Duration::MAX)
        {
            return Decision::Refuse(unavailable_refusal(req, closed));
        }
        let waiter = Waiter {
            workspace: req.workspace.clone(),
            priority: req.priority,
            cost: self.cost(req),
            since: now,
            acceptable_wait: req.accepts.unwrap_or(Duration::MAX),
        };
        let overdue_after = req.overdue_after.unwrap_or(waiter.acceptable_wait);
        let limit = req.max_wait.or(req.overdue_after).unwrap_or(Duration::MAX);
        let ticket = match self.queue.enqueue_with(waiter, overdue_after, limit) {
            Enqueued::Waiting(ticket) => ticket,
            Enqueued::Displaced { ticket, refused } => {
                self.refuse(refused, "displaced by a higher priority", now);
                ticket
            }
            Enqueued::Refused => {
                self.refusals.on_arrival += 1;
                let retry_after = self.retry_after(req, Duration::ZERO, now);
                return Decision::Refuse(Refusal::new(LONG_WAIT, retry_after));
            }
        };
        self.waiting.insert(ticket, req.clone());
        Decision::Wait(ticket)
    }

    /// Estimates what the request would get now, without taking a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no eligible runner takes work.
    pub fn quote(&self, req: &SlotRequest, now: Instant) -> Result<Quote, Refusal> {
        if !self.table.any_serving_for(&req.asked(&self.lengths)) {
            return Err(self.no_runner_refusal(now));
        }
        let busy = Quote::Busy(self.expected_wait(req, now));
        if self.must_queue(req) {
            return Ok(busy);
        }
        let load =
            self.table.quote(&req.asked(&self.lengths), &req.candidate(), &self.lengths, now);
        Ok(load.map_or(busy, Quote::Room))
    }

    /// Accounts for a slot that another owner granted at `since`. Returns the engine, or `None` if
    /// it is not one of this scheduler's.
    pub fn adopt(&mut self, runner: &str, req: &SlotRequest, since: Instant) -> Option<RunnerSpec> {
        let spec = self.table.adopt(runner, &req.asked(&self.lengths), &req.candidate(), since)?;
        self.queue.charge(&req.workspace, self.cost(req));
        Some(spec)
    }

    /// Releases a slot, and corrects the workspace's charge by the reported output.
    pub fn release(
        &mut self,
        runner: &str,
        req: &SlotRequest,
        cost: u64,
        report: RunReport,
        now: Instant,
    ) {
        self.table.give_back(runner, &req.id, report, now);
        if let Some(tokens) = report.tokens {
            self.lengths.observe(&req.kind, tokens);
            self.queue.correct(&req.workspace, cost, req.prompt.saturating_add(tokens));
        }
        self.schedule_queued(now);
    }

    /// Releases a slot that was not used, and refunds its charge.
    pub fn release_unused(&mut self, runner: &str, req: &SlotRequest, cost: u64, now: Instant) {
        self.queue.correct(&req.workspace, cost, 0);
        self.release_abandoned(runner, &req.id, now);
    }

    /// Releases a slot whose request was cancelled before it received the slot. The charge stays.
    pub fn release_abandoned(&mut self, runner: &str, id: &str, now: Instant) {
        self.table.give_back(runner, id, RunReport::RELEASED, now);
        self.schedule_queued(now);
    }

    /// Removes a cancelled request from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.waiting.remove(&ticket);
    }

    /// Applies a change to the engine table, then schedules queued requests.
    pub fn update<T>(&mut self, now: Instant, change: impl FnOnce(&mut RunnerTable) -> T) -> T {
        let changed = change(&mut self.table);
        self.schedule_queued(now);
        changed
    }

    /// Returns the engine table.
    pub fn table(&self) -> &RunnerTable {
        &self.table
    }

    /// Replaces the bounds of the queue.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.queue.configure(cfg);
    }

    /// Refuses requests that have waited too long and schedules those that fit. To be called a few
    /// times a second.
    pub fn tick(&mut self, now: Instant) {
        for ticket in self.queue.expire(now) {
            self.refusals.waited += 1;
            self.refuse(ticket, "waited as long as the pool allows", now);
        }
        if !self.table.any_serving() {
            let refusal = self.no_runner_refusal(now);
            for (ticket, req) in std::mem::take(&mut self.waiting) {
                self.queue.cancel(ticket);
                self.answers.push(Answer { ticket, id: req.id, slot: Err(refusal.clone()) });
            }
        }
        self.schedule_queued(now);
        self.refuse_closed(now);
    }

    /// Returns the expected wait of a request.
    pub fn expected_wait(&self, req: &SlotRequest, now: Instant) -> Duration {
        let in_queue = self.queue.expected_wait(&req.workspace, req.priority);
        self.closed(req, now).map_or(in_queue, |closed| closed.opens_in.max(in_queue))
    }

    /// Returns when a runner becomes available, if all eligible ones are at their rate limits or in
    /// a rest period. The time includes the expected wait in the queue.
    fn closed(&self, req: &SlotRequest, now: Instant) -> Option<Closed> {
        let mut closed = self.table.closed(&req.asked(&self.lengths), now)?;
        closed.opens_in += self.queue.expected_wait(&req.workspace, req.priority);
        Some(closed)
    }

    /// Returns the retry delay for a refused request, which is at least `wait`.
    fn retry_after(&mut self, req: &SlotRequest, wait: Duration, now: Instant) -> Duration {
        if !self.queue.rechecks() {
            return self.queue.retry_after(&req.workspace, req.priority);
        }
        let expected = self.queue.expected_wait(&req.workspace, req.priority);
        let wait = wait.max(expected).max(MIN_RETURN);
        self.returns.assign(req.priority, wait, self.table.service_interval(), now)
    }

    /// Returns the refusal of a request that has waited for as long as it allows.
    pub fn refuse_waited(&mut self, req: &SlotRequest, now: Instant) -> Refusal {
        self.refusals.waited += 1;
        let retry_after = self.retry_after(req, Duration::ZERO, now);
        Refusal::new("waited as long as the request allows", retry_after)
    }

    /// Returns the numbers of requests refused since the last call.
    pub fn take_refusals(&mut self) -> QueueRefusals {
        std::mem::take(&mut self.refusals)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the expected cost of a request, in tokens of prompt and output.
    pub fn cost(&self, req: &SlotRequest) -> u64 {
        let output = self.lengths.mean(DEFAULT_OUTPUT_TOKENS).min(req.max_tokens);
        req.prompt.saturating_add(output)
    }

    /// Returns whether queued requests go first. A running generation that is migrated bypasses the
    /// queue: its stream would stall, and its engine shuts down within seconds.
    fn must_queue(&self, req: &SlotRequest) -> bool {
        req.copied == 0 && !self.queue.is_empty()
    }

    /// Schedules queued requests until none of them fits.
    fn schedule_queued(&mut self, now: Instant) {
        self.queue.demote_overdue(now);
        while let Some((ticket, spec)) = self.next_fitting(now) {
            self.queue.grant_to(ticket, now);
            let Some(req) = self.waiting.remove(&ticket) else { continue };
            self.answers.push(Answer { ticket, id: req.id, slot: Ok(spec) });
        }
        self.queue.set_service_interval(self.table.service_interval());
        // While runners rest, are at their limits or are ejected, few requests run, so that the
        // time between grants tells nothing of what they sustain.
        if self.queue.rechecks() && !self.table.has_closed(now) {
            let found = self.queue.find_untimely(now);
            // Removed together, so that none of them counts for the time of return of another.
            for untimely in &found {
                self.queue.cancel(untimely.ticket);
            }
            // Those in front return first.
            for untimely in found.iter().rev() {
                self.refuse_untimely(untimely, now);
            }
        }
    }

    /// Examines the next queued requests, and returns the ids of those that can no longer start in
    /// time. They stay in the queue.
    pub fn find_untimely(&mut self, now: Instant) -> Vec<(AttemptId, Untimely)> {
        let found = self.queue.find_untimely(now).into_iter();
        found.filter_map(|u| Some((self.waiting.get(&u.ticket)?.id.clone(), u))).collect()
    }

    /// Refuses a request that was removed from the queue because it can no longer start in time.
    fn refuse_untimely(&mut self, untimely: &Untimely, now: Instant) {
        let Some(req) = self.waiting.remove(&untimely.ticket) else { return };
        self.refusals.untimely += 1;
        let retry_after = self.retry_after(&req, untimely.expected, now);
        log::info!(
            run = req.id.as_str(), priority = req.priority, ahead = untimely.ahead,
            expected_ms = untimely.expected.as_millis(), left_ms = untimely.left.as_millis(),
            waited_ms = untimely.waited.as_millis(),
            estimate_age_ms = untimely.doubtful.as_millis(),
            retry_after_ms = retry_after.as_millis();
            "a queued request is refused because it cannot start in time"
        );
        let slot = Err(Refusal::new(UNTIMELY, retry_after));
        self.answers.push(Answer { ticket: untimely.ticket, id: req.id, slot });
    }

    /// Refuses queued requests of this box whose expected wait exceeds the time that is left for a
    /// request of their kind to start, if there is such a limit.
    pub fn refuse_late(
        &mut self,
        refusal: &Refusal,
        time_to_start: impl Fn(&str) -> Option<Duration>,
    ) {
        for (ticket, expected) in self.queue.expected_starts() {
            let Some(req) = self.waiting.get(&ticket).filter(|req| req.sends_here) else {
                continue;
            };
            let Some(left) = time_to_start(&req.kind) else { continue };
            if expected <= left.mul_f64(MARGIN) {
                continue;
            }
            self.queue.cancel(ticket);
            if let Some(req) = self.waiting.remove(&ticket) {
                self.answers.push(Answer { ticket, id: req.id, slot: Err(refusal.clone()) });
            }
        }
    }

    /// Finds the first queued request, in service order, that fits on an engine, and takes a slot
    /// for it.
    fn next_fitting(&mut self, now: Instant) -> Option<(Ticket, RunnerSpec)> {
        // Requests that did not fit, and the kinds and prompt lengths of those that were tried.
        let mut unfit: Vec<Ticket> = Vec::new();
        let mut too_long_prompts: Vec<(&RequestKind, u64)> = Vec::new();
        let candidates: Vec<Ticket> = self.queue.candidates().take(MAX_CANDIDATES).collect();
        for ticket in candidates {
            let Some(req) = self.waiting.get(&ticket) else { continue };
            let known_too_long = too_long_prompts
                .iter()
                .any(|(kind, prompt)| **kind == req.kind && *prompt <= req.prompt);
            if !known_too_long {
                if let Some(spec) = pick(&mut self.table, &self.lengths, req, now) {
                    self.queue.record_bypass(&unfit);
                    return Some((ticket, spec));
                }
                if req.avoid.is_empty() && req.within.is_empty() {
                    too_long_prompts.push((&req.kind, req.prompt));
                }
            }
            if self.queue.bypass_count(ticket) >= MAX_BYPASSES {
                return None;
            }
            unfit.push(ticket);
        }
        None
    }

    fn refuse(&mut self, ticket: Ticket, cause: &str, now: Instant) {
        if let Some(req) = self.waiting.remove(&ticket) {
            let retry_after = self.retry_after(&req, Duration::ZERO, now);
            let slot = Err(Refusal::new(cause, retry_after));
            self.answers.push(Answer { ticket, id: req.id, slot });
        }
    }

    /// Refuses requests whose maximum wait for runners at their rate limits or in a rest period is
    /// refused. The estimate on arrival does not suffice: other boxes may take every permit first.
    fn refuse_closed(&mut self, now: Instant) {
        let expired = |(ticket, req): (&Ticket, &SlotRequest)| {
            let waited = self.queue.waited(*ticket, now)?;
            let longest = req.limit_wait?;
            let closed = self.closed(req, now).filter(|_| waited >= longest)?;
            Some((*ticket, closed))
        };
        let refused: Vec<(Ticket, Closed)> = self.waiting.iter().filter_map(expired).collect();
        for (ticket, closed) in refused {
            self.queue.cancel(ticket);
            if let Some(req) = self.waiting.remove(&ticket) {
                let slot = Err(unavailable_refusal(&req, closed));
                self.answers.push(Answer { ticket, id: req.id, slot });
            }
        }
    }

    fn no_runner_refusal(&self, now: Instant) -> Refusal {
        let until = self.table.next_readmission().map(|at| at.saturating_duration_since(now));
        let retry_after = until.unwrap_or(NO_RUNNER_RETRY).max(MIN_RETRY);
        Refusal::new(NO_RUNNER, retry_after)
    }
}

/// Returns the refusal of a request for which no eligible runner is available before
/// `closed.opens_in`. The retry delay after a rest period is jittered by the id of the run.
pub fn unavailable_refusal(req: &SlotRequest, closed: Closed) -> Refusal {
    if !closed.rests {
        return Refusal::new(AT_LIMIT, closed.opens_in);
    }
    let fraction = XxHash64::oneshot(0, req.id.as_bytes()) as f64 / u64::MAX as f64;
    Refusal::new(RESTING, closed.opens_in + REST_JITTER.mul_f64(fraction))
}

/// Takes a slot on the best engine that the request fits on.
fn pick(
    table: &mut RunnerTable,
    lengths: &LengthModel,
    req: &SlotRequest,
    now: Instant,
) -> Option<RunnerSpec> {
    table.pick(&req.asked(lengths), &req.candidate(), lengths, now)
}
