//! One entry box: the product's state of admission, signals and run times, and the slots that it
//! granted. Stands in for `EntryCx`, `Gate` and `GrantTable`, which do I/O or read the clock.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, Placement, Policy, Ticket};
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, Refusal, SlotRequest};
use hatchpitch::ids::{AttemptId, FailureDomainName, RunnerName};
use hatchpitch::relay::budget::{RetryBudgets, RetryLimits};
use hatchpitch::relay::run_times::RunTimes;
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport};
use hatchpitch::upstream_signals::SharedSignals;
use hatchpitch::upstream_signals::brittle::BRITTLE_TTL;

use crate::upstream::MAX_REJECTIONS;

/// Maximum number of requests that wait for a hosted service, and their longest wait, as
/// `config::view` and the default settings have them.
const MAX_WAITING: usize = 512;
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A request in the queue of a box, or one whose slot is on its way to the box that asked.
#[derive(Debug, Clone)]
pub struct Asker {
    /// Index of the request.
    pub request: usize,
    /// Number of the message that asked.
    pub serial: u32,
    pub want: SlotRequest,
    /// Expected cost when it asked.
    pub cost: u64,
}

/// A slot that a box granted.
struct Grant {
    runner: RunnerName,
    want: SlotRequest,
    cost: u64,
}

/// Answer of a box to a request for a slot.
#[derive(Debug, Clone)]
pub enum Reply {
    Slot(RunnerSpec),
    Busy(Duration),
    Refused(Refusal),
    /// The request was queued.
    Queued(Ticket),
    NotOwner,
}

/// The final answer to a queued request.
pub type QueueAnswer = (Asker, Result<RunnerSpec, Refusal>);

pub struct SimBox {
    pub domain: FailureDomainName,
    pub line: PoolScheduler,
    pub signals: SharedSignals,
    pub run_times: RunTimes,
    pub budgets: RetryBudgets,
    pub placement: Placement,
    /// Requests in the queue of this box.
    waiting: HashMap<Ticket, Asker>,
    grants: HashMap<AttemptId, Grant>,
    /// Queue over all upstreams, used while no owner takes a request.
    fallback: Option<PoolScheduler>,
    /// Upstreams about which other boxes are yet to be told.
    pub notices: BTreeSet<RunnerName>,
    /// Whether the next check of the queue is scheduled.
    pub ticks: bool,
    /// Until when upstreams are brittle, as `signals` has it: thousands of notices a second would
    /// go through all of that table.
    brittle_until: HashMap<RunnerName, Instant>,
}

impl SimBox {
    pub fn new(domain: FailureDomainName, specs: &[RunnerSpec], now: Instant) -> Self {
        let signals = SharedSignals::default();
        let mut line = new_line(&signals);
        line.configure(AdmissionConfig {
            max_waiting: MAX_WAITING,
            max_wait: MAX_WAIT,
            ..AdmissionConfig::default()
        });
        let mut sim_box = Self {
            domain,
            line,
            signals,
            run_times: RunTimes::default(),
            budgets: RetryBudgets::new(RetryLimits::default()),
            placement: Placement::Local,
            waiting: HashMap::new(),
            grants: HashMap::new(),
            fallback: None,
            notices: BTreeSet::new(),
            ticks: false,
            brittle_until: HashMap::new(),
        };
        sim_box.apply_placement(Placement::Local, specs.to_vec(), 1.0, now);
        sim_box
    }

    /// Places and gives back so many requests, as a box that has been running for a while has.
    pub fn place_earlier_requests(&mut self, count: usize, now: Instant) {
        let want = SlotRequest { id: "earlier".to_owned(), ..SlotRequest::default() };
        let cost = self.line.cost(&want);
        for _ in 0..count {
            let placed = self.line.place(&want, now).expect("upstreams serve");
            let spec = placed.expect("a box without requests has free slots");
            self.line.release_unused(&spec.name, &want, cost, now);
        }
    }

    /// Returns whether any upstream is brittle.
    pub fn sees_brittle(&self, specs: &[RunnerSpec], now: Instant) -> bool {
        let mut brittle = self.signals.brittle.borrow_mut();
        if brittle.is_empty() {
            return false;
        }
        let is_brittle = |spec: &RunnerSpec| brittle.max_rejections(&spec.name, now).is_some();
        let found = specs.iter().any(is_brittle);
        if !found {
            // Forgets the upstreams that no longer are.
            brittle.revision(now);
        }
        found
    }

    /// Returns whether owners place the requests for any upstream, as
    /// `EntryCx::has_brittle_runner` does.
    pub fn is_placed_by_owners(&self, specs: &[RunnerSpec], now: Instant) -> bool {
        let brittle = self.signals.brittle.borrow();
        specs.iter().any(|spec| brittle.is_placed_by_owner(&spec.name, now))
    }

    /// Records an announcement; returns whether other boxes are to be told.
    pub fn record_brittle(&mut self, upstream: &str, ttl: Duration, now: Instant) -> bool {
        self.extend_brittle(upstream, now + ttl)
            && self.signals.brittle.borrow_mut().record(upstream, MAX_REJECTIONS, ttl, now)
    }

    /// Extends the time for which an upstream is brittle; returns whether it was shorter.
    fn extend_brittle(&mut self, upstream: &str, until: Instant) -> bool {
        match self.brittle_until.get_mut(upstream) {
            Some(known) if until <= *known => return false,
            Some(known) => *known = until,
            None => {
                self.brittle_until.insert(upstream.to_owned(), until);
            }
        }
        true
    }

    /// Takes the notices that other boxes are yet to get.
    pub fn take_notices(&mut self, now: Instant) -> Vec<(RunnerName, Duration)> {
        let left = |upstream: RunnerName| {
            let left = self.brittle_until.get(&upstream)?.saturating_duration_since(now);
            (!left.is_zero()).then_some((upstream, left))
        };
        std::mem::take(&mut self.notices).into_iter().filter_map(left).collect()
    }

    /// Makes this box admit requests to these upstreams.
    pub fn apply_placement(
        &mut self,
        placement: Placement,
        specs: Vec<RunnerSpec>,
        share: f64,
        now: Instant,
    ) {
        self.placement = placement;
        self.line.update(now, |table| {
            table.sync(specs);
            table.guard_new_runners(now);
            table.set_rejection_share(share);
        });
    }

    pub fn quote(&self, want: &SlotRequest, now: Instant) -> Option<Quote> {
        self.line.quote(want, now).ok()
    }

    /// Decides on a request for a slot as an owner. Only one that `waits` may be queued.
    pub fn decide(&mut self, asker: Asker, waits: bool, now: Instant) -> Reply {
        match self.line.place(&asker.want, now) {
            Ok(Some(spec)) => self.granted(asker, spec),
            Ok(None) if !waits => Reply::Busy(self.line.expected_wait(&asker.want, now)),
            Ok(None) => self.admit(asker, now),
            Err(_) => Reply::NotOwner,
        }
    }

    /// Grants a request a slot, queues it or refuses it.
    pub fn admit(&mut self, asker: Asker, now: Instant) -> Reply {
        match self.line.decide(&asker.want, now) {
            Decision::Run(spec) => self.granted(asker, spec),
            Decision::Refuse(refusal) => Reply::Refused(refusal),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, asker);
                self.line.tick(now);
                Reply::Queued(ticket)
            }
        }
    }

    fn granted(&mut self, asker: Asker, spec: RunnerSpec) -> Reply {
        self.record_grant(&asker, &spec);
        Reply::Slot(spec)
    }

    fn record_grant(&mut self, asker: &Asker, spec: &RunnerSpec) {
        let Asker { want, cost, .. } = asker.clone();
        self.grants.insert(want.id.clone(), Grant { runner: spec.name.clone(), want, cost });
    }

    /// Takes the answers to queued requests. Slots whose requests have left are given back.
    pub fn take_answers(&mut self, now: Instant) -> Vec<QueueAnswer> {
        let mut taken = Vec::new();
        loop {
            let answers = self.line.take_answers();
            if answers.is_empty() {
                return taken;
            }
            for answer in answers {
                match (self.waiting.remove(&answer.ticket), answer.slot) {
                    (Some(asker), slot) => {
                        if let Ok(spec) = &slot {
                            self.record_grant(&asker, spec);
                        }
                        taken.push((asker, slot));
                    }
                    (None, Ok(spec)) => self.line.release_abandoned(&spec.name, &answer.id, now),
                    (None, Err(_)) => {}
                }
            }
        }
    }

    /// Removes a request from the queue whose caller stopped to wait.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.line.cancel(ticket);
        self.waiting.remove(&ticket);
    }

    /// Gives a slot back that this box granted.
    pub fn release(&mut self, id: &str, report: RunReport, now: Instant) {
        let Some(Grant { runner, want, cost }) = self.grants.remove(id) else { return };
        if report.brittle.is_some() {
            let left = report.brittle_left.unwrap_or(BRITTLE_TTL);
            self.extend_brittle(&runner, now + left);
        }
        self.line.release(&runner, &want, cost, report, now);
    }

    /// Takes a slot without an owner.
    pub fn place_without_owner(
        &mut self,
        want: &SlotRequest,
        specs: &[RunnerSpec],
        share: f64,
        now: Instant,
    ) -> Option<RunnerSpec> {
        let signals = &self.signals;
        let line = self.fallback.get_or_insert_with(|| new_line(signals));
        line.update(now, |table| {
            table.sync(specs.to_vec());
            table.guard_new_runners(now);
            table.set_rejection_share(share);
        });
        line.place(want, now).ok().flatten()
    }

    /// Gives a slot back that was taken without an owner.
    pub fn release_without_owner(
        &mut self,
        runner: &str,
        want: &SlotRequest,
        report: RunReport,
        now: Instant,
    ) {
        if let Some(line) = &mut self.fallback {
            let cost = line.cost(want);
            line.release(runner, want, cost, report, now);
        }
    }

    pub fn waiting(&self) -> usize {
        self.line.waiting()
    }
}

fn new_line(signals: &SharedSignals) -> PoolScheduler {
    let policy = Policy::default();
    let admission = AdmissionConfig { order: policy.order, ..AdmissionConfig::default() };
    let routing = RoutingConfig {
        ejects: policy.ejection,
        pick: policy.pick,
        memory: policy.memory,
        ..RoutingConfig::default()
    };
    PoolScheduler::new(admission, routing).with_signals(signals.clone())
}
