//! Handles one request: tries upstreams until there is a final response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hatchpitch_net::{
    Body, Framing, Holder, Reservation, ResponseBody, SendError, SendStep, clock, read_stream,
};
use http::response::Parts;
use http::{Response, StatusCode};

use super::context::Relay;
use super::ending::{BUFFERED_STATE_TIMEOUT, EndCheck, Ending, is_event_stream, open_end_verdict};
use super::failure::{Failure, Next, Untried};
use super::protocol::{Attempt, ResponseKind};
use super::request::HostedRequest;
use super::response::BegunResponse;
use super::{response, stream};
use crate::config::hosted::RunPolicy;
use crate::dispatch::scheduler::LONG_WAIT;
use crate::dispatch::{Refusal, SlotRequest};
use crate::drain::Stopping;
use crate::entry::callers::NO_ROOM_RETRY;
use crate::grants::Slot;
use crate::grants::task::obtain;
use crate::ids::{FailureDomainName, RunnerName, ServiceName, new_id};
use crate::metrics::{Count, Timing};
use crate::outcome::{Outcome, Problem};
use crate::quarantine::Causes;
use crate::quarantine::observer::{self, RunLocation};
use crate::reachability::SendOptions;
use crate::routing::Verdict;
use crate::upstream_signals::task as upstream_signals;

/// Largest response that is buffered, in bytes. A larger one is streamed to the caller.
const MAX_BUFFERED_RESPONSE: usize = 256 * 1024;
/// Upstreams that are tried before a request that none of them ran is refused: enough to skip a
/// few that are full or gone, few enough to stay well within the time allowed for a response.
const MAX_REJECTIONS: usize = 4;
/// Longest expected wait for a slot on an engine, or for upstreams at their limits, as a fraction
/// of the route's target time to the response or its first event. The remainder is left for the
/// work itself. A request that would wait longer is refused at once.
const EXPECTED_WAIT_FRACTION: f64 = 0.5;
/// Longest expected wait of a request for a brittle service, as a fraction of the time that is left
/// for it. The queue of an overloaded service settles at this wait, so it has to leave time for the
/// work also where the estimate is too short.
const BRITTLE_WAIT_FRACTION: f64 = 0.25;
/// Longest wait of a generation for a slot, as a multiple of the route's target time to the first
/// event: callers disconnect after four times that target.
const MAX_WAIT_FACTOR: f64 = 2.0;
/// Retry delay while all eligible upstreams are in evacuated failure domains. The end of an
/// evacuation takes about this long to reach all boxes, and the runners are cold then.
const EVACUATED_RETRY: Duration = Duration::from_secs(2);
/// Retry delay after a failure that is expected to be brief.
const SHORT_RETRY: Duration = Duration::from_millis(250);
/// Time within which every upstream announces itself again: one heartbeat interval plus
/// propagation.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1_400);
/// Interval at which a waiting request checks for a newly announced upstream.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Handles a request and returns its final response.
///
/// # Errors
///
/// Returns a [`Problem`] whose outcome tells whether the request was run.
pub async fn serve(relay: &Rc<Relay>, req: HostedRequest) -> Result<Response<Body>, Problem> {
    let within = relay.domains_for(&req);
    let mut run = Run::new(relay.clone(), Rc::new(req));
    relay.cx.metrics.count(Count::Requests, &run.service);
    relay.budgets.borrow_mut().credit(&run.service);
    let left = run.req.time_left(clock::now());
    let result = match within {
        Err(refusal) => Err(run.refused(refusal)),
        Ok(within) => {
            run.within = within;
            let result = compio::time::timeout(left, run.try_upstreams()).await;
            result.unwrap_or_else(|_| Err(run.timed_out()))
        }
    };
    run.log(&result);
    result
}

struct Run {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    causes: Rc<Causes>,
    service: ServiceName,
    /// Failure domains whose upstreams may run the request; empty means all.
    within: Vec<FailureDomainName>,
    /// Upstreams that rejected the request or failed to run it.
    tried: RefCell<Vec<RunnerName>>,
    /// Number of upstreams that may have run the request.
    possible_runs: Cell<u32>,
    /// Total time spent waiting for slots.
    waited: Cell<Duration>,
    /// Whether an upstream may be running the request now.
    in_flight: Cell<bool>,
    /// The upstream that the request was sent to last.
    sent_to: RefCell<RunnerName>,
    /// Framing of the last response of an upstream; `None` before the first one.
    framing: Cell<Option<Framing>>,
    /// Memory of a stream, until the stream is there.
    stream_held: RefCell<Option<Reservation>>,
}

impl Run {
    fn new(relay: Rc<Relay>, req: Rc<HostedRequest>) -> Self {
        let service = req.route.choose_service(&mut rand::rng()).to_owned();
        let causes = Rc::new(req.causes(&service));
        Self {
            relay,
            req,
            causes,
            service,
            within: Vec::new(),
            tried: RefCell::default(),
            possible_runs: Cell::new(0),
            waited: Cell::new(Duration::ZERO),
            in_flight: Cell::new(false),
            sent_to: RefCell::default(),
            framing: Cell::new(None),
            stream_held: RefCell::default(),
        }
    }

    async fn try_upstreams(&self) -> Result<Response<Body>, Problem> {
        let mut last: Option<Response<Body>> = None;
        let reserved = stream::reserve(&self.relay, &self.req).map_err(|err| err.to_string());
        let held = reserved.map_err(|err| self.refused(Refusal::new(&err, NO_ROOM_RETRY)))?;
        self.stream_held.replace(held);
        loop {
            if let Err(problem) = self.check_quarantine() {
                return last.ok_or(problem);
            }
            let acquired = self.relay.cx.drain.wait(&self.req.route.name, self.acquire_slot());
            let slot = match acquired.await.unwrap_or_else(|stopping| Err(stopping.refusal())) {
                Ok(slot) => slot,
                Err(refusal) => {
                    return last.map_or_else(|| Err(self.refused_after_tries(refusal)), Ok);
                }
            };
            // Its content may have been quarantined while it waited for the slot.
            if let Err(problem) = self.check_quarantine() {
                return last.ok_or(problem);
            }
            if self.is_too_late() {
                let cause = "too little time was left for the request when its turn came";
                return last
                    .map_or_else(|| Err(self.refused(Refusal::new(cause, SHORT_RETRY))), Ok);
            }
            let (runner, started) = (slot.runner.clone(), clock::now());
            let failure = match self.attempt(slot).await {
                Ok(res) => return Ok(res),
                Err(failure) => failure,
            };
            self.log_attempt(&runner, &failure, started);
            // A lost link says nothing about the upstream, which another box may reach.
            if !matches!(failure, Failure::LinkLost { .. }) {
                self.tried.borrow_mut().push(runner);
            }
            match self.next_step(failure) {
                Next::TryAnother(failed) => last = failed.or(last),
                Next::End(Ok(res)) => return Ok(res),
                Next::End(Err(problem)) => return last.ok_or(problem),
            }
        }
    }

    /// Returns whether the request has waited until too little time is left to run it. Streams have
    /// begun by the end of their time, and need no more.
    fn is_too_late(&self) -> bool {
        let (waited, left) = (self.waited.get(), self.req.time_left(clock::now()));
        self.req.route.runs != RunPolicy::Stream
            && self.relay.run_times.borrow().is_too_late(&self.req.route.name, waited, left)
    }

    /// Refuses a request with a content or a part of its prompt that is held for crashing upstreams.
    fn check_quarantine(&self) -> Result<(), Problem> {
        observer::check(&self.relay.cx, &self.causes).map_err(|problem| {
            match self.possible_runs.get() {
                0 => problem,
                _ => Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", problem.message),
            }
        })
    }

    /// Records that an upstream broke off the run. `started` is when the run is known to have started
    /// there, if at all.
    fn note_break(&self, slot: &Slot, started: Option<Instant>) {
        let place = RunLocation { upstream: &slot.runner, addr: slot.addr };
        observer::record_interruption(&self.relay.cx, place, &self.causes, started);
    }

    /// Decides how to continue after an attempt that gave no final response.
    fn next_step(&self, failure: Failure) -> Next {
        match failure {
            Failure::NotRun { cause, arrived } => {
                let Err(end) = self.check_rejected(arrived) else { return Next::TryAnother(None) };
                let cause = format!("{cause}; {end}");
                Next::End(Err(self.refused(Refusal::new(&cause, self.retry_delay()))))
            }
            Failure::MayHaveRun { cause } | Failure::LinkLost { cause } => {
                self.possible_runs.set(self.possible_runs.get() + 1);
                // The attempt and the time limit of the request may end at the same moment.
                if self.req.time_left(clock::now()).is_zero() {
                    return Next::End(Err(self.timed_out()));
                }
                if self.may_repeat() {
                    return Next::TryAnother(None);
                }
                Next::End(Err(Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", cause)))
            }
            Failure::Ran(res) => {
                self.possible_runs.set(self.possible_runs.get() + 1);
                if self.may_repeat() {
                    return Next::TryAnother(Some(res));
                }
                Next::End(Ok(res))
            }
        }
    }

    /// Checks whether a request that was not run may go to another upstream. The error is the
    /// reason why it may not.
    fn check_rejected(&self, arrived: bool) -> Result<(), &'static str> {
        if self.tried.borrow().len() >= MAX_REJECTIONS {
            return Err("as many upstreams were tried as may be");
        }
        if !self.has_untried() {
            return Err("no other upstream is known");
        }
        if arrived && !self.withdraw_retry() {
            return Err("the budget for other upstreams is used up");
        }
        Ok(())
    }

    /// Returns the retry delay of a rejected request: short, unless all upstreams asked this box
    /// for a rest period. Then it is the time until the first of these periods ends.
    fn retry_delay(&self) -> Duration {
        let (cx, now) = (&self.relay.cx, clock::now());
        let (roster, rests) = (cx.upstreams.roster.borrow(), cx.backoffs.borrow());
        let could = roster.serving().filter(|record| {
            record.service == self.service && self.may_run_in(&record.failure_domain)
        });
        let opens_in = could.map(|record| rests.opens_in(&record.life(), now)).min();
        opens_in.unwrap_or_default().max(SHORT_RETRY)
    }

    /// Returns whether a request that may have run may be retried, and charges the retry budget.
    fn may_repeat(&self) -> bool {
        self.relay.cx.settings.policy.second_tries
            && self.req.route.runs == RunPolicy::Repeatable
            && self.possible_runs.get() < self.req.route.max_upstreams
            && self.has_untried()
            && self.withdraw_retry()
    }

    /// Returns how a request may be sent while its link may be found to be lost. It is abandoned
    /// there only if it could be tried again.
    fn send_options(&self) -> SendOptions<'_> {
        let is_repeatable = self.relay.cx.settings.policy.second_tries
            && self.req.route.runs == RunPolicy::Repeatable
            && self.possible_runs.get() + 1 < self.req.route.max_upstreams
            && self.relay.budgets.borrow().allows(&self.service);
        SendOptions { kind: &self.req.route.name, is_repeatable }
    }

    /// Returns which upstreams are left to try.
    fn untried(&self) -> Untried {
        let (roster, tried) = (self.relay.cx.upstreams.roster.borrow(), self.tried.borrow());
        let evacuations = self.relay.cx.config.evacuations();
        let mut untried = Untried::None;
        for record in roster.serving().filter(|record| record.service == self.service) {
            let domain = &record.failure_domain;
            if tried.contains(&record.life()) || !self.may_run_in(domain) {
                continue;
            }
            if !evacuations.is_evacuated(domain) {
                return Untried::Some;
            }
            untried = Untried::Evacuated;
        }
        untried
    }

    fn has_untried(&self) -> bool {
        self.untried() == Untried::Some
    }

    fn may_run_in(&self, domain: &FailureDomainName) -> bool {
        self.within.is_empty() || self.within.contains(domain)
    }

    fn withdraw_retry(&self) -> bool {
        let boxes = self.relay.cx.membership.borrow().serving_boxes().count();
        let mut budgets = self.relay.budgets.borrow_mut();
        budgets.set_boxes(boxes);
        budgets.try_withdraw(&self.service)
    }

    /// Obtains a slot on an upstream. An owner that does not know yet that a failure domain is
    /// evacuated may grant a slot there; such a slot is released unused.
    async fn acquire_slot(&self) -> Result<Slot, Refusal> {
        loop {
            let slot = self.request_slot().await?;
            if !self.relay.cx.is_evacuated(&slot.failure_domain) {
                return Ok(slot);
            }
            log::info!(
                request = self.req.id.as_str(), upstream = slot.runner.as_str(),
                domain = slot.failure_domain.as_str();
                "slot in an evacuated failure domain given back"
            );
            self.tried.borrow_mut().push(slot.runner.clone());
        }
    }

    async fn request_slot(&self) -> Result<Slot, Refusal> {
        let (needs, aim) = (self.req.generation, self.req.route.answer_aim);
        let settings = &self.relay.cx.settings;
        let refuses_early = needs.is_some() && settings.policy.early_refusal;
        let waits_as_brittle = !refuses_early && self.relay.cx.is_brittle(&self.service);
        let brittle_left = waits_as_brittle.then(|| self.req.time_left(clock::now()));
        let max_wait = needs.map(|_| aim.mul_f64(MAX_WAIT_FACTOR));
        let time_to_start = self.relay.cx.drain.time_to_start(&self.req.route.name, clock::now());
        let accepts = if refuses_early {
            Some(aim.mul_f64(EXPECTED_WAIT_FRACTION))
        } else {
            brittle_left.map(|left| left.mul_f64(BRITTLE_WAIT_FRACTION))
        };
        // The owner has to know when it is too late for the request.
        let until_end = settings.policy.requeue_checks.then(|| self.req.time_left(clock::now()));
        let want = SlotRequest {
            id: new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: needs.map_or(0, |needs| needs.prompt),
            max_tokens: needs.map_or(u64::MAX, |needs| needs.max_output),
            avoid: self.tried.borrow().clone(),
            near: settings.policy.near.then(|| settings.failure_domain.clone()),
            copied: 0,
            max_wait: max_wait.into_iter().chain(until_end).min(),
            accepts: accepts.into_iter().chain(time_to_start).min(),
            // The queue settles at the accepted wait, so half of its requests exceed it. They are
            // still worth serving while time is left for them.
            overdue_after: brittle_left,
            within: self.within.clone(),
            limit_wait: Some(aim.mul_f64(EXPECTED_WAIT_FRACTION)),
            skips_limited: false,
            sends_here: true,
            only_try: !self.relay.budgets.borrow().allows(&self.service),
            max_gap: self.req.max_gap(),
            event_tokens: self.relay.cx.event_tokens(&self.service),
        };
        let started = clock::now();
        if self.await_upstreams(started).await == Untried::Evacuated {
            let cause = "all upstreams of the service are in evacuated failure domains";
            return Err(Refusal::new(cause, EVACUATED_RETRY));
        }
        let slot = obtain(&self.relay.cx, &self.service, want).await.map_err(|refusal| {
            let is_stopping = time_to_start.is_some_and(|left| accepts.is_none_or(|a| left < a));
            match is_stopping && refusal.cause == LONG_WAIT {
                true => Stopping.refusal(),
                false => refusal,
            }
        });
        let (metrics, priority) = (&self.relay.cx.metrics, self.req.priority());
        metrics.time(Timing::Wait, &self.service, priority, clock::since(started));
        self.waited.set(self.waited.get() + clock::since(started));
        slot
    }

    /// Waits up to [`HEARTBEAT_WAIT`] while no upstream of the service is known: after a restart of
    /// the control boxes, all upstreams announce themselves within one heartbeat. Returns which
    /// are left to try then.
    async fn await_upstreams(&self, started: Instant) -> Untried {
        loop {
            let untried = self.untried();
            if untried != Untried::None || clock::since(started) >= HEARTBEAT_WAIT {
                return untried;
            }
            compio::time::sleep(UPSTREAM_POLL_INTERVAL).await;
        }
    }

    /// Sends the request to one upstream.
    async fn attempt(&self, mut slot: Slot) -> Result<Response<Body>, Failure> {
        let left = self.req.time_left(clock::now());
        let encode = |time_left| {
            let attempt = Attempt { upstream: slot.runner.clone(), time_left, resume: None };
            (self.relay.protocol.request)(&self.req, &attempt)
        };
        self.in_flight.set(true);
        self.sent_to.borrow_mut().clone_from(&slot.runner);
        let sent_at = clock::now();
        let upstream = self.relay.cx.upstream(&slot.runner, slot.addr);
        let sent = upstream.send_encoded(&encode, left, self.send_options()).await;
        let res = sent.map_err(|err| {
            let verdict = match err.step {
                SendStep::Connect | SendStep::Unsent => Verdict::Failed,
                SendStep::NoPath | SendStep::LinkLost => Verdict::Released,
                SendStep::AwaitHead | SendStep::InvalidResponse => Verdict::Faulty,
            };
            slot.finish(verdict, None);
            if err.is_broken_response() && !self.req.time_left(clock::now()).is_zero() {
                self.note_break(&slot, None);
            }
            self.send_failure(&err)
        })?;
        let (parts, body) = res.into_parts();
        let check = EndCheck::new(body.framing(), &parts.headers);
        self.framing.set(Some(check.framing()));
        let kind = (self.relay.protocol.classify)(&self.req, &parts);
        let signals = kind.trusted_signals(self.relay.protocol.signals(&parts));
        upstream_signals::record(&self.relay.cx, &slot.runner, signals, sent_at);
        match kind {
            ResponseKind::Answer => {}
            ResponseKind::NotRun { cause, is_replaced } => {
                self.in_flight.set(false);
                let verdict = if is_replaced { Verdict::Failed } else { Verdict::Released };
                slot.finish(verdict, None);
                if !is_replaced {
                    slot.record_rejection();
                }
                return Err(Failure::NotRun { cause, arrived: true });
            }
            ResponseKind::Foreign(cause) => {
                slot.finish(Verdict::Faulty, None);
                return Err(Failure::MayHaveRun { cause });
            }
        }
        if self.req.route.runs == RunPolicy::Stream
            && parts.status.is_success()
            && is_event_stream(&parts.headers)
        {
            return Ok(stream::forward(
                &self.relay,
                self.req.clone(),
                self.causes.clone(),
                &self.service,
                slot,
                Response::from_parts(parts, body),
                self.stream_held.take(),
            ));
        }
        let read = self.read_response(slot, parts, check, body).await;
        if read.is_ok() {
            let took = clock::since(sent_at);
            self.relay.run_times.borrow_mut().record(&self.req.route.name, took);
        }
        read
    }

    fn send_failure(&self, err: &SendError) -> Failure {
        let cause = err.to_string();
        match err.step {
            SendStep::Connect | SendStep::Unsent | SendStep::NoPath => {
                self.in_flight.set(false);
                Failure::NotRun { cause, arrived: false }
            }
            SendStep::AwaitHead | SendStep::InvalidResponse => Failure::MayHaveRun { cause },
            SendStep::LinkLost => Failure::LinkLost { cause },
        }
    }

    /// Buffers a response until it is complete, so that a broken one can still be retried. One that
    /// exceeds [`MAX_BUFFERED_RESPONSE`], or for which there is no room, is streamed instead.
    async fn read_response(
        &self,
        mut slot: Slot,
        parts: Parts,
        mut check: EndCheck,
        mut body: ResponseBody,
    ) -> Result<Response<Body>, Failure> {
        let (mut buf, started) = (BytesMut::new(), clock::now());
        let held = response::open_memory(&self.relay, &self.req, slot.addr, Holder::Answer);
        loop {
            let has_room = match read_stream(&mut body).await {
                Ok(Some(chunk)) => {
                    check.push(&chunk);
                    buf.extend_from_slice(&chunk);
                    held.resize(buf.len()).is_ok()
                }
                Ok(None) => break,
                Err(err) => {
                    return Err(self.broken_response(&mut slot, started, &err.to_string()));
                }
            };
            if buf.len() > MAX_BUFFERED_RESPONSE || !has_room {
                let begun = BegunResponse { parts, bytes: buf.freeze(), held };
                return Ok(response::forward(
                    &self.relay,
                    &self.req,
                    self.causes.clone(),
                    slot,
                    begun,
                    check,
                    body,
                ));
            }
        }
        let place = RunLocation { upstream: &slot.runner, addr: slot.addr };
        // A response that is there must not be lost to the time limit of the request.
        let limit = (self.req.time_left(clock::now()) / 2).min(BUFFERED_STATE_TIMEOUT);
        let ending = check.judge(&self.relay.cx, place, &self.causes, limit).await;
        let verdict = match ending.at_announced() {
            Ending::Complete => {
                observer::record_answer(&self.relay.cx, &self.causes);
                Verdict::Succeeded
            }
            Ending::Open(state) => {
                self.relay.cx.metrics.count(Count::OpenEnded, &self.req.route.name);
                open_end_verdict(state)
            }
            Ending::Truncated(cause) => {
                return Err(self.broken_response(&mut slot, started, cause));
            }
        };
        let failed = parts.status.is_server_error();
        slot.finish(if failed { Verdict::Released } else { verdict }, None);
        let res = response::buffered_response(parts, held.attach(buf), check.framing());
        if failed { Err(Failure::Ran(res)) } else { Ok(res) }
    }

    /// Records that the upstream broke off its response.
    fn broken_response(&self, slot: &mut Slot, started: Instant, cause: &str) -> Failure {
        slot.finish(Verdict::Faulty, None);
        self.note_break(slot, Some(started));
        Failure::MayHaveRun { cause: format!("{}: {cause}", slot.runner) }
    }

    /// Refuses a request for which no further upstream is available. The retry delay covers the
    /// upstreams that were tried as well, because the caller's next request may use them.
    fn refused_after_tries(&self, mut refusal: Refusal) -> Problem {
        if !self.tried.borrow().is_empty() {
            refusal.retry_after = refusal.retry_after.min(self.retry_delay());
        }
        self.refused(refusal)
    }

    /// Returns a problem for a refused request: its outcome is "unknown" if an earlier attempt may
    /// have run, else "not run".
    fn refused(&self, refusal: Refusal) -> Problem {
        if self.possible_runs.get() > 0 {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", refusal.cause);
        }
        self.relay.cx.metrics.count(Count::Refused, &self.service);
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_upstream", refusal.cause)
            .retry_after(refusal.retry_after)
    }

    fn timed_out(&self) -> Problem {
        let message = "no answer within the time that the request may be held";
        if self.in_flight.get() || self.possible_runs.get() > 0 {
            return Problem::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time", message);
        }
        self.refused(Refusal::new(message, SHORT_RETRY))
    }

    fn log_attempt(&self, runner: &str, failure: &Failure, started: Instant) {
        let (outcome, cause) = failure.describe();
        log::info!(
            request = self.req.id.as_str(), content:% = self.causes.content(),
            route = self.req.route.name.as_str(), service = self.service.as_str(),
            upstream = runner, outcome = outcome, cause = &*cause,
            took_ms = clock::since(started).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "an upstream did not answer the request"
        );
    }

    fn log(&self, result: &Result<Response<Body>, Problem>) {
        let (status, outcome, cause) = match result {
            Ok(res) if res.body().is_until_close() => (res.status(), Outcome::Unknown, ""),
            Ok(res) => (res.status(), Outcome::Done, ""),
            Err(problem) => (problem.status, problem.outcome, problem.message.as_str()),
        };
        log::info!(
            request = self.req.id.as_str(), content:% = self.causes.content(),
            route = self.req.route.name.as_str(), service = self.service.as_str(),
            workspace = self.req.workspace.as_deref().unwrap_or(""),
            urgency = self.req.urgency, status = status.as_u16(), outcome = outcome.as_str(),
            cause = cause, upstream = self.sent_to.borrow().as_str(),
            framed = self.framing.get().map(|framing| !framing.is_until_close()),
            tries = self.tried.borrow().len(),
            waited_ms = self.waited.get().as_millis(),
            held_ms = clock::since(self.req.received).as_millis(),
            config = self.relay.cx.config.number(),
            config_age_ms = self.relay.cx.config.confirmed_age().unwrap_or_default().as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "answered"
        );
    }
}
