//! One request: upstreams are tried until there is a final answer.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hatchpitch_net::{Body, SendError, SendStep, clock, is_framed, read_stream};
use http::response::Parts;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;

use super::budget::SharedBudgets;
use super::dialect::{Attempt, Reading, RunnerDialect};
use super::request::HostedRequest;
use super::{answer, stream};
use crate::config::hosted::{HostedRoute, RunPolicy};
use crate::dispatch::{Refusal, Want};
use crate::entry::EntryCx;
use crate::grants::Slot;
use crate::grants::task::obtain;
use crate::ids::{FailureDomainName, RegionName, RunnerName, ServiceName, new_id};
use crate::metrics::{Count, Timing};
use crate::outcome::{Outcome, Problem};
use crate::quarantine::ContentId;
use crate::quarantine::observer::{self, RunLocation};
use crate::routing::Verdict;
use crate::upstream_heads::task as upstream_heads;

/// Largest answer that is held until it is whole, in bytes; a larger one is passed on as it comes.
const MAX_HELD_ANSWER: usize = 256 * 1024;
/// Upstreams that turn a request away before it is refused: enough to pass over a few that are
/// full or gone, few enough to stay far inside the time to an answer.
const MAX_TURNED_AWAY: usize = 4;
/// Part of the time to its answer, or its first event, that a request may be expected to wait for a
/// slot on an engine, or for upstreams at their limits: the rest goes to its work. One that would
/// wait longer is refused at once.
const EXPECTED_WAIT: f64 = 0.5;
/// Longest wait of a generation, in times to its first event: callers leave after four.
const LONGEST_WAIT: f64 = 2.0;
/// When a caller may come back while all upstreams that could serve it are evacuated: the order
/// that ends it is in force everywhere within about this time, and its runners are cold then.
const EVACUATED_RETRY: Duration = Duration::from_secs(2);
/// When a caller may come back whose route and workspace leave no failure domain: configurations
/// change a few times an hour.
const NO_REGION_RETRY: Duration = Duration::from_secs(30);
/// When a caller may come back after a failure that passes in moments.
const SOON: Duration = Duration::from_millis(250);
/// Time within which every upstream announces itself again: one heartbeat and its travel.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1_400);
/// Time between looks for an upstream that announced itself.
const UPSTREAM_LOOK: Duration = Duration::from_millis(25);

/// What all requests of hosted routes at one box share.
pub struct Relay {
    /// The box.
    pub cx: Rc<EntryCx>,
    /// What upstreams speak.
    pub dialect: RunnerDialect,
    /// Budgets for second upstreams.
    pub budgets: RefCell<SharedBudgets>,
}

impl Relay {
    /// Returns the failure domains whose upstreams may run a request; none means all of them.
    ///
    /// # Errors
    ///
    /// Returns a refusal if its route and its workspace leave none.
    pub fn domains_for(&self, req: &HostedRequest) -> Result<Vec<FailureDomainName>, Refusal> {
        let (of_route, of_workspace) = (&req.route.regions, &req.regions);
        let allowed: Vec<RegionName> = match (of_route.is_empty(), of_workspace.is_empty()) {
            (true, true) => return Ok(Vec::new()),
            (true, false) => of_workspace.clone(),
            (false, true) => of_route.clone(),
            (false, false) => {
                of_route.iter().filter(|region| of_workspace.contains(region)).cloned().collect()
            }
        };
        let domains = self.cx.domains_in_regions(&allowed);
        if domains.is_empty() {
            let cause = "no failure domain lies in a region that the request may run in";
            return Err(Refusal::new(cause, NO_REGION_RETRY));
        }
        Ok(domains)
    }
}

/// How one try at an upstream ended without the final answer.
enum Failure {
    /// The upstream did not run it. The flag tells whether the request arrived there.
    NotRun { cause: String, arrived: bool },
    /// It may have run.
    MayHaveRun { cause: String },
    /// It ran and failed; this is the upstream's answer.
    Ran(Response<Body>),
}

impl Failure {
    /// Returns the outcome and its cause, for the log.
    fn describe(&self) -> (&'static str, Cow<'_, str>) {
        match self {
            Self::NotRun { cause, .. } => ("not_run", Cow::Borrowed(cause)),
            Self::MayHaveRun { cause } => ("may_have_run", Cow::Borrowed(cause)),
            Self::Ran(res) => ("failed", Cow::Owned(res.status().as_str().to_owned())),
        }
    }
}

/// Which upstreams are left for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Untried {
    /// Some that may run it.
    Some,
    /// Only some in evacuated failure domains.
    Evacuated,
    /// None that is known.
    None,
}

/// What follows a try that ended without the final answer.
enum Next {
    /// Another upstream is tried. Holds the answer of one that ran the request and failed, for
    /// the case that no other gives a better one.
    Another(Option<Response<Body>>),
    /// The request ends with this; before a problem goes the answer of an earlier upstream.
    End(Result<Response<Body>, Problem>),
}

/// Gives a request its final answer.
///
/// # Errors
///
/// Returns a [`Problem`] that tells whether the request was run.
pub async fn serve(relay: &Rc<Relay>, req: HostedRequest) -> Result<Response<Body>, Problem> {
    let within = relay.domains_for(&req);
    let mut run = Run::new(relay.clone(), Rc::new(req));
    relay.cx.metrics.count(Count::Requests, &run.service);
    relay.budgets.borrow_mut().earn(&run.service);
    let left = run.req.time_left(clock::now());
    let answered = match within {
        Err(refusal) => Err(run.refused(refusal)),
        Ok(within) => {
            run.within = within;
            let answered = compio::time::timeout(left, run.answer()).await;
            answered.unwrap_or_else(|_| Err(run.out_of_time()))
        }
    };
    run.log(&answered);
    answered
}

struct Run {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    content: ContentId,
    service: ServiceName,
    /// Failure domains whose upstreams may run it; all if there are none.
    within: Vec<FailureDomainName>,
    /// Upstreams that turned the request away or failed it.
    tried: RefCell<Vec<RunnerName>>,
    /// Upstreams that the request may have run at.
    ran_at: Cell<u32>,
    /// Time spent waiting for slots.
    waited: Cell<Duration>,
    /// Whether an upstream has the request now.
    offered: Cell<bool>,
    /// The upstream that it was sent to last.
    sent_to: RefCell<RunnerName>,
}

impl Run {
    fn new(relay: Rc<Relay>, req: Rc<HostedRequest>) -> Self {
        let service = choose_target(&req.route).to_owned();
        let content = req.content();
        Self {
            relay,
            req,
            content,
            service,
            within: Vec::new(),
            tried: RefCell::default(),
            ran_at: Cell::new(0),
            waited: Cell::new(Duration::ZERO),
            offered: Cell::new(false),
            sent_to: RefCell::default(),
        }
    }

    async fn answer(&self) -> Result<Response<Body>, Problem> {
        let mut last: Option<Response<Body>> = None;
        loop {
            if let Err(problem) = self.check_quarantine() {
                return last.ok_or(problem);
            }
            let slot = match self.slot().await {
                Ok(slot) => slot,
                Err(refusal) => {
                    return last.map_or_else(|| Err(self.refused_after_tries(refusal)), Ok);
                }
            };
            // It may have come to be held while it waited.
            if let Err(problem) = self.check_quarantine() {
                return last.ok_or(problem);
            }
            let (runner, started) = (slot.runner.clone(), clock::now());
            let failure = match self.attempt(slot).await {
                Ok(res) => return Ok(res),
                Err(failure) => failure,
            };
            self.log_try(&runner, &failure, started);
            self.tried.borrow_mut().push(runner);
            match self.after(failure) {
                Next::Another(failed) => last = failed.or(last),
                Next::End(Ok(res)) => return Ok(res),
                Next::End(Err(problem)) => return last.ok_or(problem),
            }
        }
    }

    /// Refuses a request that crashes what runs it.
    fn check_quarantine(&self) -> Result<(), Problem> {
        observer::check(&self.relay.cx, &self.content).map_err(|problem| match self.ran_at.get() {
            0 => problem,
            _ => Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", problem.message),
        })
    }

    /// Notes that an upstream broke its run off.
    fn note_break(&self, slot: &Slot) {
        let place = RunLocation { upstream: &slot.runner, addr: slot.addr };
        observer::record_interruption(&self.relay.cx, place, self.content, None);
    }

    /// Decides what follows a try without the final answer.
    fn after(&self, failure: Failure) -> Next {
        match failure {
            Failure::NotRun { cause, arrived } => {
                let Err(end) = self.check_other(arrived) else { return Next::Another(None) };
                let cause = format!("{cause}; {end}");
                Next::End(Err(self.refused(Refusal::new(&cause, self.come_back()))))
            }
            Failure::MayHaveRun { cause } => {
                self.ran_at.set(self.ran_at.get() + 1);
                if self.may_repeat() {
                    return Next::Another(None);
                }
                Next::End(Err(Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", cause)))
            }
            Failure::Ran(res) => {
                self.ran_at.set(self.ran_at.get() + 1);
                if self.may_repeat() {
                    return Next::Another(Some(res));
                }
                Next::End(Ok(res))
            }
        }
    }

    /// Checks that a request that was not run may go to another upstream, or returns why not.
    fn check_other(&self, arrived: bool) -> Result<(), &'static str> {
        if self.tried.borrow().len() >= MAX_TURNED_AWAY {
            return Err("as many upstreams were tried as may be");
        }
        if !self.has_untried() {
            return Err("no other upstream is known");
        }
        if arrived && !self.take_budget() {
            return Err("the budget for other upstreams is used up");
        }
        Ok(())
    }

    /// Returns when a request may come back that was turned away: soon, or when the first of the
    /// upstreams wants work again, if all of them asked this box for rest.
    fn come_back(&self) -> Duration {
        let (cx, now) = (&self.relay.cx, clock::now());
        let (roster, rests) = (cx.upstreams.roster.borrow(), cx.rests.borrow());
        let could = roster.serving().filter(|record| {
            record.service == self.service && self.may_run_in(&record.failure_domain)
        });
        let opens_in = could.map(|record| rests.opens_in(&record.life(), now)).min();
        opens_in.unwrap_or_default().max(SOON)
    }

    /// Returns whether a request that may have run may run again.
    fn may_repeat(&self) -> bool {
        self.relay.cx.settings.policy.second_tries
            && self.req.route.runs == RunPolicy::Repeatable
            && self.ran_at.get() < self.req.route.max_upstreams
            && self.has_untried()
            && self.take_budget()
    }

    /// Returns which upstreams are left that could run the request.
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

    fn take_budget(&self) -> bool {
        let boxes = self.relay.cx.membership.borrow().serving_boxes().count();
        let mut budgets = self.relay.budgets.borrow_mut();
        budgets.set_boxes(boxes);
        budgets.take(&self.service)
    }

    /// Gets a slot on an upstream. An owner that has not heard yet that a failure domain is
    /// evacuated may grant one there, which goes back unused.
    async fn slot(&self) -> Result<Slot, Refusal> {
        loop {
            let slot = self.granted_slot().await?;
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

    async fn granted_slot(&self) -> Result<Slot, Refusal> {
        let (needs, aim) = (self.req.generation, self.req.route.answer_aim);
        let settings = &self.relay.cx.settings;
        let refuses_early = needs.is_some() && settings.policy.early_refusal;
        let want = Want {
            id: new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: needs.map_or(0, |needs| needs.prompt),
            max_tokens: needs.map_or(u64::MAX, |needs| needs.max_output),
            avoid: self.tried.borrow().clone(),
            near: settings.policy.near.then(|| settings.failure_domain.clone()),
            copied: 0,
            max_wait: needs.map(|_| aim.mul_f64(LONGEST_WAIT)),
            accepts: refuses_early.then(|| aim.mul_f64(EXPECTED_WAIT)),
            within: self.within.clone(),
            limit_wait: Some(aim.mul_f64(EXPECTED_WAIT)),
            skips_limited: false,
            sends_here: true,
            only_try: !self.relay.budgets.borrow().allows(&self.service),
        };
        let started = clock::now();
        if self.await_upstreams(started).await == Untried::Evacuated {
            let cause = "all upstreams of the service are in evacuated failure domains";
            return Err(Refusal::new(cause, EVACUATED_RETRY));
        }
        let slot = obtain(&self.relay.cx, &self.service, want).await;
        let (metrics, priority) = (&self.relay.cx.metrics, self.req.priority());
        metrics.time(Timing::Wait, &self.service, priority, clock::since(started));
        self.waited.set(self.waited.get() + clock::since(started));
        slot
    }

    /// Waits a little while no upstream of the service has announced itself: after a restart of
    /// the control boxes they all do within one heartbeat. Returns which are left then.
    async fn await_upstreams(&self, started: Instant) -> Untried {
        loop {
            let untried = self.untried();
            if untried != Untried::None || clock::since(started) >= HEARTBEAT_WAIT {
                return untried;
            }
            compio::time::sleep(UPSTREAM_LOOK).await;
        }
    }

    /// Sends the request to one upstream.
    async fn attempt(&self, mut slot: Slot) -> Result<Response<Body>, Failure> {
        let left = self.req.time_left(clock::now());
        let attempt = Attempt { upstream: slot.runner.clone(), time_left: left, resume: None };
        let message = (self.relay.dialect.request)(&self.req, &attempt);
        self.offered.set(true);
        self.sent_to.borrow_mut().clone_from(&slot.runner);
        let sent_at = clock::now();
        let sent = self.relay.cx.upstream(slot.addr).send(message, left).await;
        let res = sent.map_err(|err| {
            let verdict = if err.is_not_run() { Verdict::Failed } else { Verdict::Faulty };
            slot.finish(verdict, None);
            if !err.is_not_run() && !self.req.time_left(clock::now()).is_zero() {
                self.note_break(&slot);
            }
            self.send_failure(&err)
        })?;
        let (parts, body) = res.into_parts();
        let reading = (self.relay.dialect.read)(&self.req, &parts);
        let signals = reading.vouched(self.relay.dialect.signals(&parts));
        upstream_heads::note(&self.relay.cx, &slot.runner, signals, sent_at);
        match reading {
            Reading::Answer => {}
            Reading::NotRun { cause, other_life } => {
                self.offered.set(false);
                let verdict = if other_life { Verdict::Failed } else { Verdict::Released };
                slot.finish(verdict, None);
                return Err(Failure::NotRun { cause, arrived: true });
            }
            Reading::Foreign(cause) => {
                slot.finish(Verdict::Faulty, None);
                return Err(Failure::MayHaveRun { cause });
            }
        }
        if self.req.route.runs == RunPolicy::Stream && parts.status.is_success() {
            return Ok(stream::pass_on(
                &self.relay,
                self.req.clone(),
                self.content,
                &self.service,
                slot,
                parts,
                body,
            ));
        }
        self.whole_answer(slot, parts, body).await
    }

    fn send_failure(&self, err: &SendError) -> Failure {
        let cause = err.to_string();
        match err.step {
            SendStep::Connect | SendStep::Unsent => {
                self.offered.set(false);
                Failure::NotRun { cause, arrived: false }
            }
            SendStep::AwaitHead => Failure::MayHaveRun { cause },
        }
    }

    /// Holds an answer until it is whole, so that a broken one can be made up for.
    async fn whole_answer(
        &self,
        mut slot: Slot,
        parts: Parts,
        mut body: Incoming,
    ) -> Result<Response<Body>, Failure> {
        let mut buf = BytesMut::new();
        let is_framed = is_framed(&parts.headers);
        loop {
            match read_stream(&mut body).await {
                Ok(Some(piece)) => buf.extend_from_slice(&piece),
                Ok(None) => break,
                Err(err) => {
                    slot.finish(Verdict::Faulty, None);
                    self.note_break(&slot);
                    let cause = format!("{}: {err}", slot.runner);
                    return Err(Failure::MayHaveRun { cause });
                }
            }
            if buf.len() > MAX_HELD_ANSWER {
                let first = buf.freeze();
                return Ok(answer::pass_on(&self.relay, &self.req, slot, parts, first, body));
            }
        }
        if is_framed {
            observer::record_answer(&self.relay.cx, self.content);
        }
        let failed = parts.status.is_server_error();
        slot.finish(if failed { Verdict::Released } else { Verdict::Succeeded }, None);
        let res = answer::with_length(parts, buf.freeze());
        if failed { Err(Failure::Ran(res)) } else { Ok(res) }
    }

    /// Refuses a request for which there is no other upstream. The caller's next one may go to those
    /// that this one tried.
    fn refused_after_tries(&self, mut refusal: Refusal) -> Problem {
        if !self.tried.borrow().is_empty() {
            refusal.retry_after = refusal.retry_after.min(self.come_back());
        }
        self.refused(refusal)
    }

    /// Says that the request was not run, or that an earlier try of it may have been.
    fn refused(&self, refusal: Refusal) -> Problem {
        if self.ran_at.get() > 0 {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", refusal.cause);
        }
        self.relay.cx.metrics.count(Count::Refused, &self.service);
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_upstream", refusal.cause)
            .retry_after(refusal.retry_after)
    }

    fn out_of_time(&self) -> Problem {
        let message = "no answer within the time that the request may be held";
        if self.offered.get() || self.ran_at.get() > 0 {
            return Problem::unknown(StatusCode::GATEWAY_TIMEOUT, "out_of_time", message);
        }
        self.refused(Refusal::new(message, SOON))
    }

    fn log_try(&self, runner: &str, failure: &Failure, started: Instant) {
        let (outcome, cause) = failure.describe();
        log::info!(
            request = self.req.id.as_str(), content:% = self.content,
            route = self.req.route.name.as_str(), service = self.service.as_str(),
            upstream = runner, outcome = outcome, cause = &*cause,
            took_ms = clock::since(started).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "an upstream did not answer the request"
        );
    }

    fn log(&self, answered: &Result<Response<Body>, Problem>) {
        let (status, outcome, cause) = match answered {
            Ok(res) => (res.status(), Outcome::Done, ""),
            Err(problem) => (problem.status, problem.outcome, problem.message.as_str()),
        };
        log::info!(
            request = self.req.id.as_str(), content:% = self.content,
            route = self.req.route.name.as_str(), service = self.service.as_str(),
            workspace = self.req.workspace.as_deref().unwrap_or(""),
            urgency = self.req.urgency, status = status.as_u16(), outcome = outcome.as_str(),
            cause = cause, upstream = self.sent_to.borrow().as_str(),
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

/// Draws one of the route's services by weight.
fn choose_target(route: &HostedRoute) -> &str {
    let sum: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut draw = rand::rng().random_range(0..sum.max(1));
    for target in &route.targets {
        if draw < target.weight {
            return &target.service;
        }
        draw -= target.weight;
    }
    route.targets.last().map_or("", |target| &target.service)
}
