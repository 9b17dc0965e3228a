//! State that the tasks of one entry process share. They run on one thread, so `Cell` and `RefCell`
//! suffice.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{BoxClient, Upstream, clock};

use crate::admission::{AdmissionConfig, Gate, Placement, ReturnSchedule};
use crate::claims::ClaimClient;
use crate::config::feed::ConfigCell;
use crate::config::view::PoolView;
use crate::config::{FleetView, Runner};
use crate::control::leader::LeaderClient;
use crate::dispatch::owners::OwnerMap;
use crate::drain::Drain;
use crate::evacuation::Revision;
use crate::grants::{GrantTable, HeldSlots};
use crate::ids::{ConfigNumber, FailureDomainName, PoolName, RegionName, WorkspaceName};
use crate::limits::RetryBudgets;
use crate::listener::Unopened;
use crate::membership::MemberRecord;
use crate::membership::task::SharedMembership;
use crate::metrics::Metrics;
use crate::moves::Turns;
use crate::pace::Collector;
use crate::quarantine::Observer;
use crate::reachability::{ForwardCounts, Reachability, UpstreamClient};
use crate::registry::Phase;
use crate::registry::follow::FollowState;
use crate::routing::state::RunnerSpec;
use crate::routing::{ColdLimit, RoutingConfig};
use crate::settings::EntrySettings;
use crate::trace::Tracer;
use crate::upstream_limits::SharedLimits;
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::{
    BrittleUpstreams, LeavingUpstreams, NoticeQueue, SharedBackoffs, SharedSignals,
};

mod intake;
mod placement;

/// Whether the process accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// It accepts new work.
    Open,
    /// It is no longer listed for callers but still accepts new work, as callers may hold an older
    /// list.
    Leaving,
    /// It refuses new work and finishes the requests in progress.
    Closed,
}

/// Versions of the inputs from which the gates are configured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct GateInputs {
    config: ConfigNumber,
    members: u64,
    roster: u64,
    evacuations: Revision,
    brittle: u64,
}

/// Shared state of an entry process.
pub struct EntryCx {
    /// Settings.
    pub settings: EntrySettings,
    /// Configuration in force.
    pub config: ConfigCell,
    /// Membership.
    pub membership: SharedMembership,
    /// Spans.
    pub tracer: Tracer,
    /// Metrics.
    pub metrics: Metrics,
    /// Client for other boxes.
    pub boxes: BoxClient,
    /// Claims.
    pub claims: ClaimClient,
    /// Client for the control leader.
    pub leader: LeaderClient,
    /// Records crashes of upstreams and the requests that ran there.
    pub quarantine: Observer,
    /// Request rate limits that upstreams have named.
    pub limits: SharedLimits,
    /// Backoffs that upstreams have asked this box for.
    pub backoffs: SharedBackoffs,
    /// Which upstreams this box reaches on its own links, and which boxes reach others.
    pub reachability: Reachability,
    /// Requests that this box is sending to upstreams for other boxes.
    pub forwards: ForwardCounts,
    /// Upstreams that bear only so many rejections by all boxes together.
    pub brittle: Rc<RefCell<BrittleUpstreams>>,
    /// Brittle upstreams that still have to be reported to other boxes.
    pub brittle_notices: NoticeQueue,
    /// Upstreams whose limits still have to be sent to other boxes.
    pub limit_notices: NoticeQueue,
    /// Upstreams that announced in an answer that they are leaving.
    pub leaving: RefCell<LeavingUpstreams>,
    /// Leaving upstreams that still have to be reported to other boxes.
    pub leaving_notices: NoticeQueue,
    /// Budgets for running requests again on another engine.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Whether new work is accepted.
    pub intake: Cell<Intake>,
    /// Listeners of this box that are not open yet.
    pub unopened: Unopened,
    /// The graceful shutdown.
    pub drain: Drain,
    /// Turns for moving generations off leaving runners.
    pub move_turns: RefCell<Turns>,
    /// Turns for copying generations to runners, separate from those of the sources.
    pub target_turns: RefCell<Turns>,
    /// What this box has seen of the pace of engines and not reported to their owners yet.
    pub pace: RefCell<Collector>,
    /// Slots granted to other boxes.
    pub grants: RefCell<GrantTable>,
    /// Slots that this box holds, by attempt.
    pub held_slots: RefCell<HeldSlots>,
    /// Gates over the engines that this box owns.
    gates: RefCell<HashMap<PoolName, Gate>>,
    /// Gates over all engines of a pool, used while no owner is reachable.
    fallback: RefCell<HashMap<PoolName, Gate>>,
    /// Upstreams that announce themselves, and the control boxes that report them.
    pub upstreams: Rc<FollowState>,
    /// Highest configuration number that a control box has reported and that is being fetched, or
    /// 0.
    pub reported_config_number: Cell<ConfigNumber>,
    /// The configuration in force, with the announced upstreams that serve and without evacuated
    /// ones.
    view: RefCell<Rc<FleetView>>,
    /// Times of return of the callers that this box refused, by pool.
    pub returns: RefCell<HashMap<PoolName, ReturnSchedule>>,
    /// Inputs from which the gates were last configured.
    gate_inputs: Cell<GateInputs>,
    /// Failure domains whose evacuation has ended, with the time at which this box learned of it.
    reopened: RefCell<BTreeMap<FailureDomainName, Instant>>,
    started: Instant,
    /// Assignment of engines to owner boxes.
    owners: RefCell<OwnerMap>,
    /// Streams in progress per workspace.
    streams: RefCell<HashMap<WorkspaceName, u64>>,
    /// Requests in progress.
    active: Cell<usize>,
    /// Counter that spreads calls to services over their upstreams.
    upstream_rotation: Cell<usize>,
}

impl EntryCx {
    /// Creates the shared state.
    pub fn new(
        settings: EntrySettings,
        membership: SharedMembership,
        boxes: BoxClient,
    ) -> Rc<Self> {
        let upstreams = FollowState::new(&settings.control);
        let followed = upstreams.clone();
        let leader = LeaderClient::new(boxes.clone(), move || followed.control());
        let pace = RefCell::new(Collector::new(settings.policy.pick));
        Rc::new(Self {
            tracer: Tracer::new(settings.name.clone()),
            drain: Drain::new(settings.timing.stop_limit),
            settings,
            config: ConfigCell::new(boxes.backlog().clone()),
            membership,
            metrics: Metrics::default(),
            boxes,
            claims: ClaimClient::new(leader.clone()),
            leader,
            quarantine: Observer::default(),
            limits: SharedLimits::default(),
            backoffs: SharedBackoffs::default(),
            reachability: Reachability::default(),
            forwards: ForwardCounts::default(),
            brittle: Rc::default(),
            brittle_notices: NoticeQueue::default(),
            limit_notices: NoticeQueue::default(),
            leaving: RefCell::default(),
            leaving_notices: NoticeQueue::default(),
            retry_budgets: RefCell::default(),
            intake: Cell::new(Intake::Open),
            unopened: Unopened::default(),
            move_turns: RefCell::default(),
            pace,
            target_turns: RefCell::default(),
            grants: RefCell::default(),
            held_slots: RefCell::default(),
            gates: RefCell::default(),
            fallback: RefCell::default(),
            upstreams,
            reported_config_number: Cell::new(0),
            view: RefCell::default(),
            returns: RefCell::default(),
            gate_inputs: Cell::default(),
            reopened: RefCell::default(),
            started: clock::now(),
            owners: RefCell::default(),
            streams: RefCell::default(),
            active: Cell::new(0),
            upstream_rotation: Cell::new(0),
        })
    }

    /// Returns the gate to the engines of a pool that this box owns.
    pub fn gate(&self, pool: &str) -> Gate {
        let mut gates = self.gates.borrow_mut();
        gates.entry(pool.to_owned()).or_insert_with(|| self.new_gate()).clone()
    }

    /// Returns the gate to all engines of a pool, for use while no owner is reachable.
    pub fn fallback_gate(&self, pool: &str) -> Gate {
        let mut gates = self.fallback.borrow_mut();
        let gate = gates.entry(pool.to_owned()).or_insert_with(|| self.new_gate()).clone();
        let view = self.sync_gates();
        if let Some(pool) = view.pools.iter().find(|p| p.pool.name == pool) {
            gate.update(|table| {
                table.sync(pool.runners.iter().map(|r| runner_spec(pool, r)));
                table.guard_new_runners(clock::now());
            });
            self.update_serving(&gate);
            let share = self.rejection_share(Placement::Local);
            gate.update(|table| table.set_rejection_share(share));
            self.update_cold_limits(&gate, pool, Placement::Local);
        }
        gate
    }

    /// Creates a gate with the policies of the settings.
    fn new_gate(&self) -> Gate {
        let policy = self.settings.policy;
        let admission = AdmissionConfig {
            order: policy.order,
            rechecks: policy.requeue_checks,
            ..AdmissionConfig::default()
        };
        let routing = RoutingConfig {
            ejects: policy.ejection,
            pick: policy.pick,
            memory: policy.memory,
            ..RoutingConfig::default()
        };
        let signals = SharedSignals {
            limits: self.limits.clone(),
            backoffs: self.backoffs.clone(),
            brittle: self.brittle.clone(),
        };
        Gate::new(admission, routing, signals)
    }

    /// Returns how many engines of a pool each box owns, by the address of the box.
    pub fn owners_of(&self, pool: &str) -> HashMap<SocketAddr, usize> {
        self.sync_gates();
        self.owners.borrow().owners_of(pool)
    }

    /// Returns whether the box at `addr` owns an engine in a failure domain.
    pub fn owns_in(&self, domain: &str, addr: SocketAddr) -> bool {
        self.owners.borrow().owns_in(domain, addr)
    }

    /// Returns the address of the box that owns an engine, or `None` if no box is serving.
    pub fn owner_addr(&self, runner: &str) -> Option<SocketAddr> {
        self.owners.borrow().owner_addr(runner)
    }

    /// Returns the gates of all pools over the engines that this box owns.
    pub fn gates(&self) -> Vec<(PoolName, Gate)> {
        self.gates.borrow().iter().map(|(name, gate)| (name.clone(), gate.clone())).collect()
    }

    /// Updates the gates if the configuration, the upstreams or the serving boxes have changed, and
    /// returns the current view of the fleet.
    pub fn sync_gates(&self) -> Rc<FleetView> {
        let evacuations = self.config.evacuations();
        let inputs = GateInputs {
            config: self.config.number(),
            members: self.membership.borrow().version(),
            roster: self.upstreams.roster.borrow().version(),
            evacuations: evacuations.revision(),
            brittle: self.brittle.borrow_mut().revision(clock::now()),
        };
        let previous = self.gate_inputs.replace(inputs);
        if previous == inputs {
            return self.view.borrow().clone();
        }
        let view_changed = GateInputs { members: inputs.members, ..previous } != inputs;
        if view_changed {
            let ended = evacuations.ended_since(previous.evacuations).cloned();
            let now = clock::now();
            self.reopened.borrow_mut().extend(ended.map(|domain| (domain, now)));
            let roster = self.upstreams.roster.borrow();
            let view = self.config.view().with_upstreams(roster.serving());
            *self.view.borrow_mut() = Rc::new(view.without_evacuated(&evacuations));
        }
        let view = self.view.borrow().clone();
        let owners_changed = {
            let membership = self.membership.borrow();
            let boxes: Vec<&MemberRecord> = membership.serving_boxes().collect();
            let mut owners = self.owners.borrow_mut();
            if view_changed {
                owners.set_engines(&view);
            }
            owners.update(&boxes, membership.own_record())
        };
        if owners_changed || view_changed {
            self.sync_all_gates(&view);
        }
        upstream_limits::update_deciders(self);
        view
    }

    /// Updates the gates of all pools, and empties those of removed pools.
    fn sync_all_gates(&self, view: &FleetView) {
        for pool in &view.pools {
            self.sync_gate(pool);
        }
        let is_removed = |name: &str| !view.pools.iter().any(|p| p.pool.name == name);
        for (_, gate) in self.gates().iter().filter(|(name, _)| is_removed(name)) {
            gate.update(|table| table.sync([]));
        }
    }

    /// Updates the gate of a pool to the configuration and to the engines that this box owns.
    fn sync_gate(&self, pool: &PoolView) {
        let gate = self.gate(&pool.pool.name);
        gate.configure(AdmissionConfig {
            max_waiting: usize::try_from(pool.pool.max_waiting).unwrap_or(usize::MAX),
            max_wait: self.settings.timing.max_wait,
            order: self.settings.policy.order,
            rechecks: self.settings.policy.requeue_checks,
            ..AdmissionConfig::default()
        });
        let placement = self.placement(pool);
        let owners = self.owners.borrow();
        let owns = |name: &str| placement == Placement::Local || owners.owns(name);
        let owned = pool.runners.iter().filter(|runner| owns(&runner.name));
        let specs: Vec<RunnerSpec> = owned.map(|runner| runner_spec(pool, runner)).collect();
        drop(owners);
        gate.update(|table| {
            table.sync(specs);
            table.guard_new_runners(clock::now());
        });
        self.update_serving(&gate);
        gate.update(|table| table.set_rejection_share(self.rejection_share(placement)));
        self.update_cold_limits(&gate, pool, placement);
    }

    /// Returns whether a failure domain is evacuated, so that its upstreams get no new work.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.config.evacuations().is_evacuated(domain)
    }

    /// Returns the failure domains that the settings or the configuration assign to these regions.
    pub fn domains_in_regions(&self, regions: &[RegionName]) -> Vec<FailureDomainName> {
        let view = self.config.view();
        let assigned = self.settings.regions.iter().chain(&view.regions);
        let matching = assigned.filter(|(_, region)| regions.contains(region));
        let mut domains: Vec<FailureDomainName> =
            matching.map(|(domain, _)| domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Tells the gate of a pool which of its runners are cold, and at what rate this box may send
    /// to them.
    fn update_cold_limits(&self, gate: &Gate, pool: &PoolView, placement: Placement) {
        let Some(cold) = pool.hosted.and_then(|hosted| hosted.cold) else { return };
        let (roster, reopened) = (self.upstreams.roster.borrow(), self.reopened.borrow());
        let senders = match placement {
            Placement::Owner => 1,
            Placement::Local => self.sender_count(),
        };
        let cold_limit = |runner: &str| {
            let phase = self.turn_phase(runner);
            ColdLimit { rate: cold.rate, senders, phase }
        };
        let cold_until = |spec: &RunnerSpec| {
            // The last announcement may describe the runner as it was before the evacuation ended.
            let reopened = reopened.get(&spec.failure_domain);
            let reopened = reopened.map(|at| *at + cold.lasts.max(MAX_ANNOUNCEMENT_DELAY));
            let announced = roster.warm_at(&spec.name);
            announced.into_iter().chain(reopened).max()
        };
        let now = clock::now();
        gate.update(|table| {
            table.set_cold(
                |spec| cold_until(spec).map(|until| (until, cold_limit(&spec.name))),
                now,
            );
        });
    }

    /// Tells the gate of a pool which of its runners accept new work.
    pub fn apply_membership(&self, pool: &str) {
        self.update_serving(&self.gate(pool));
    }

    /// Tells a gate which of its runners accept new work.
    fn update_serving(&self, gate: &Gate) {
        let serves = |runner: &str| self.upstream_serves(runner);
        gate.update(|table| table.set_serving(serves));
    }

    /// Tells the gates of all pools which of their runners accept new work, after one began to
    /// leave.
    pub fn apply_leaving(&self) {
        for (_, gate) in self.gates() {
            self.update_serving(&gate);
        }
    }

    /// Returns whether an upstream accepts new work, according to the membership, its announcements
    /// and its answers.
    pub fn upstream_serves(&self, name: &str) -> bool {
        let roster = self.upstreams.roster.borrow();
        let is_leaving = roster.get(name).is_some_and(|record| record.phase == Phase::Leaving)
            || self.leaving.borrow().contains(name, clock::now());
        !is_leaving && self.membership.borrow().upstream_serves(name)
    }

    /// Returns whether the configuration is fresh enough for new work.
    pub fn config_is_fresh(&self) -> bool {
        let max_age = self.settings.timing.config_max_age;
        if self.config.confirmed_age().is_some_and(|age| age <= max_age) {
            return true;
        }
        let number = self.config.number();
        self.membership.borrow().peers_confirm(number, clock::now(), max_age)
    }

    /// Returns whether callers should be directed to this box.
    pub fn takes_work(&self) -> bool {
        self.intake.get() == Intake::Open
            && self.config.number() > 0
            && self.config_is_fresh()
            && self.is_reachable()
    }

    /// Returns the client of an upstream with the connect timeout of this box.
    pub fn upstream(self: &Rc<Self>, name: &str, addr: SocketAddr) -> UpstreamClient {
        UpstreamClient::new(
            self,
            name,
            self.direct_path(addr, self.settings.timing.connect_timeout),
        )
    }

    /// Returns the path from this box to an upstream.
    pub fn direct_path(&self, addr: SocketAddr, connect_timeout: Duration) -> Upstream {
        Upstream { addr, connect_timeout, source: self.settings.upstream_source_ip }
    }

    /// Returns how many requests are in progress.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard(self.clone())
    }

    /// Counts a stream of a workspace until the guard is dropped. Returns `None` if the workspace
    /// already has `max` streams.
    pub fn begin_stream(self: &Rc<Self>, workspace: &str, max: u64) -> Option<StreamGuard> {
        let mut streams = self.streams.borrow_mut();
        let held = streams.entry(workspace.to_owned()).or_default();
        if *held >= max {
            return None;
        }
        *held += 1;
        Some(StreamGuard { cx: self.clone(), workspace: workspace.to_owned() })
    }

    /// Returns the number of streams in progress per workspace, sorted by name.
    pub fn stream_counts(&self) -> Vec<(WorkspaceName, u64)> {
        let mut counts: Vec<_> =
            self.streams.borrow().iter().map(|(name, n)| (name.clone(), *n)).collect();
        counts.sort();
        counts
    }

    /// Returns the next value of a wrapping counter, used to spread calls over upstreams.
    pub fn next_rotation(&self) -> usize {
        let rotation = self.upstream_rotation.get();
        self.upstream_rotation.set(rotation.wrapping_add(1));
        rotation
    }

    /// Returns the time after which a refused caller may retry at this or another box.
    pub fn short_retry(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// Maximum time until the announcement of a runner that became cold arrives: one heartbeat interval
/// and the delivery.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1_500);

/// Returns what routing needs to know about a runner.
fn runner_spec(pool: &PoolView, runner: &Runner) -> RunnerSpec {
    RunnerSpec {
        name: runner.name.clone(),
        addr: runner.addr,
        failure_domain: runner.failure_domain.clone(),
        slots: runner.max_batch,
        memory: pool.hosted.and_then(|hosted| hosted.memory),
        copy_rate: pool.hosted.map_or(f64::INFINITY, |hosted| hosted.copy_rate),
    }
}

/// Guard that counts a request in progress until it is dropped.
pub struct ActiveGuard(Rc<EntryCx>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Guard that counts a stream of a workspace until it is dropped.
pub struct StreamGuard {
    cx: Rc<EntryCx>,
    workspace: WorkspaceName,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut streams = self.cx.streams.borrow_mut();
        if let Some(held) = streams.get_mut(&self.workspace) {
            *held -= 1;
            if *held == 0 {
                streams.remove(&self.workspace);
            }
        }
    }
}
