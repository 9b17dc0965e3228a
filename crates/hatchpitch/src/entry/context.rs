//! What the tasks of one entry process share. One thread, so plain cells.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{BoxClient, Upstream, clock};
use http::StatusCode;
use twox_hash::XxHash64;

use crate::admission::{AdmissionConfig, Gate, Placement};
use crate::claims::ClaimClient;
use crate::config::feed::ConfigCell;
use crate::config::view::PoolView;
use crate::config::{FleetView, Runner};
use crate::control::leader::LeaderClient;
use crate::dispatch::owners::OwnerMap;
use crate::evacuation::Revision;
use crate::grants::{GrantTable, HeldSlots};
use crate::ids::{ConfigNumber, FailureDomainName, PoolName, RegionName, WorkspaceName};
use crate::limits::RetryBudgets;
use crate::membership::task::SharedMembership;
use crate::membership::{MemberRecord, Subject};
use crate::metrics::Metrics;
use crate::moves::Turns;
use crate::outcome::Problem;
use crate::quarantine::Observer;
use crate::registry::Phase;
use crate::registry::follow::FollowState;
use crate::routing::state::RunnerSpec;
use crate::routing::{ColdLimit, RoutingConfig};
use crate::settings::EntrySettings;
use crate::trace::Tracer;
use crate::upstream_limits::SharedLimits;
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::{LeavingUpstreams, NoticeQueue, SharedBackoffs, SharedSignals};

/// Whether the process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// It does.
    Open,
    /// It left the lists of addresses but still takes what comes.
    Leaving,
    /// It refuses new work and finishes what it has.
    Closed,
}

/// Versions of what the gates are made from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct MadeFrom {
    config: ConfigNumber,
    members: u64,
    roster: u64,
    evacuations: Revision,
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
    /// Crashes of upstreams that this box saw.
    pub quarantine: Observer,
    /// Limits that upstreams name.
    pub limits: SharedLimits,
    /// Rests that upstreams asked this box for.
    pub backoffs: SharedBackoffs,
    /// Upstreams whose limits are to be told to other boxes.
    pub limit_notices: NoticeQueue,
    /// Upstreams that said in an answer that they leave.
    pub leaving: RefCell<LeavingUpstreams>,
    /// Those of which other boxes are to be told.
    pub leaving_notices: NoticeQueue,
    /// Budgets for runs elsewhere.
    pub retries: RefCell<RetryBudgets>,
    /// Whether new work is taken.
    pub intake: Cell<Intake>,
    /// Turns to move generations off runners that leave.
    pub turns: RefCell<Turns>,
    /// Slots given out to other boxes.
    pub grants: RefCell<GrantTable>,
    /// Slots held, by run.
    pub held: RefCell<HeldSlots>,
    gates: RefCell<HashMap<PoolName, Gate>>,
    /// Gates over all engines, for when no owner is in reach.
    fallback: RefCell<HashMap<PoolName, Gate>>,
    /// Upstreams that announce themselves, and the control boxes that tell of them.
    pub upstreams: Rc<FollowState>,
    /// Highest configuration number that a control box was seen to have and that is being
    /// fetched.
    pub config_seen: Cell<ConfigNumber>,
    /// The configuration in force with the upstreams that serve.
    view: RefCell<Rc<FleetView>>,
    /// What the gates were made from.
    synced: Cell<MadeFrom>,
    /// Failure domains whose evacuation ended of late, with when that was heard of.
    reopened: RefCell<BTreeMap<FailureDomainName, Instant>>,
    started: Instant,
    owners: RefCell<OwnerMap>,
    streams: RefCell<HashMap<WorkspaceName, u64>>,
    active: Cell<usize>,
    app_turn: Cell<usize>,
}

impl EntryCx {
    /// Creates the shared state.
    pub fn new(
        settings: EntrySettings,
        membership: SharedMembership,
        boxes: BoxClient,
    ) -> Rc<Self> {
        let upstreams = FollowState::new(&settings.control);
        let control = upstreams.clone();
        let leader = LeaderClient::new(boxes.clone(), move || control.control());
        Rc::new(Self {
            tracer: Tracer::new(settings.name.clone()),
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
            limit_notices: NoticeQueue::default(),
            leaving: RefCell::default(),
            leaving_notices: NoticeQueue::default(),
            retries: RefCell::default(),
            intake: Cell::new(Intake::Open),
            turns: RefCell::default(),
            grants: RefCell::default(),
            held: RefCell::default(),
            gates: RefCell::default(),
            fallback: RefCell::default(),
            upstreams,
            config_seen: Cell::new(0),
            view: RefCell::default(),
            synced: Cell::default(),
            reopened: RefCell::default(),
            started: clock::now(),
            owners: RefCell::default(),
            streams: RefCell::default(),
            active: Cell::new(0),
            app_turn: Cell::new(0),
        })
    }

    /// Returns the gate to the engines of a pool for which this box decides.
    pub fn gate(&self, pool: &str) -> Gate {
        let mut gates = self.gates.borrow_mut();
        gates.entry(pool.to_owned()).or_insert_with(|| self.new_gate()).clone()
    }

    /// Returns the gate to all engines of a pool, for when no owner is in reach.
    pub fn fallback_gate(&self, pool: &str) -> Gate {
        let mut gates = self.fallback.borrow_mut();
        let gate = gates.entry(pool.to_owned()).or_insert_with(|| self.new_gate()).clone();
        let view = self.sync_gates();
        if let Some(pool) = view.pools.iter().find(|p| p.pool.name == pool) {
            gate.update(|table| table.sync(pool.runners.iter().map(|r| runner_spec(pool, r))));
            self.tell_membership(&gate);
            self.tell_cold(&gate, pool, Placement::Local);
        }
        gate
    }

    fn new_gate(&self) -> Gate {
        let policy = self.settings.policy;
        let admission = AdmissionConfig { order: policy.order, ..AdmissionConfig::default() };
        let routing = RoutingConfig {
            ejects: policy.ejection,
            pick: policy.pick,
            memory: policy.memory,
            ..RoutingConfig::default()
        };
        let signals =
            SharedSignals { limits: self.limits.clone(), backoffs: self.backoffs.clone() };
        Gate::new(admission, routing, signals)
    }

    /// Returns how many engines of a pool each box owns, by the address of the box.
    pub fn owners_of(&self, pool: &str) -> HashMap<SocketAddr, usize> {
        self.sync_gates();
        self.owners.borrow().owners_of(pool)
    }

    /// Returns whether the box at `addr` decides for an engine in a failure domain.
    pub fn owns_in(&self, domain: &str, addr: SocketAddr) -> bool {
        self.owners.borrow().owns_in(domain, addr)
    }

    /// Returns the address of the box that decides for an engine, if any box serves.
    pub fn owner_addr(&self, runner: &str) -> Option<SocketAddr> {
        self.owners.borrow().owner_addr(runner)
    }

    /// Returns whether this box decides for an engine of a pool.
    pub fn owns(&self, pool: &PoolView, runner: &str) -> bool {
        let local = self.placement(pool) == Placement::Local;
        local || self.owners.borrow().owns(runner)
    }

    /// Returns who decides for the engines of a pool.
    pub fn placement(&self, pool: &PoolView) -> Placement {
        pool.hosted.map_or(self.settings.policy.placement, |hosted| hosted.placement)
    }

    /// Returns the gates of all pools.
    pub fn gates(&self) -> Vec<(PoolName, Gate)> {
        self.gates.borrow().iter().map(|(name, gate)| (name.clone(), gate.clone())).collect()
    }

    /// Brings the gates up to the configuration in force and the boxes that serve.
    pub fn sync_gates(&self) -> Rc<FleetView> {
        let evacuations = self.config.evacuations();
        let made_from = MadeFrom {
            config: self.config.number(),
            members: self.membership.borrow().version(),
            roster: self.upstreams.roster.borrow().version(),
            evacuations: evacuations.revision(),
        };
        let former = self.synced.replace(made_from);
        if former == made_from {
            return self.view.borrow().clone();
        }
        let new_view = MadeFrom { members: made_from.members, ..former } != made_from;
        if new_view {
            let ended = evacuations.ended_since(former.evacuations).cloned();
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
            if new_view {
                owners.set_engines(&view);
            }
            owners.update(&boxes, membership.own_record())
        };
        if owners_changed || new_view {
            self.remake_gates(&view);
        }
        upstream_limits::update_deciders(self);
        view
    }

    fn remake_gates(&self, view: &FleetView) {
        for pool in &view.pools {
            self.sync_gate(pool);
        }
        let gone = |name: &str| !view.pools.iter().any(|p| p.pool.name == name);
        for (_, gate) in self.gates().iter().filter(|(name, _)| gone(name)) {
            gate.update(|table| table.sync([]));
        }
    }

    fn sync_gate(&self, pool: &PoolView) {
        let gate = self.gate(&pool.pool.name);
        gate.configure(AdmissionConfig {
            max_waiting: usize::try_from(pool.pool.max_waiting).unwrap_or(usize::MAX),
            max_wait: self.settings.timing.max_wait,
            order: self.settings.policy.order,
            ..AdmissionConfig::default()
        });
        let owned = pool.runners.iter().filter(|runner| self.owns(pool, &runner.name));
        let specs: Vec<RunnerSpec> = owned.map(|runner| runner_spec(pool, runner)).collect();
        gate.update(|table| table.sync(specs));
        self.tell_membership(&gate);
        self.tell_cold(&gate, pool, self.placement(pool));
    }

    /// Returns whether the upstreams of a failure domain get no new work.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.config.evacuations().is_evacuated(domain)
    }

    /// Returns the failure domains of some regions, as far as the settings and the configuration
    /// name them.
    pub fn domains_of(&self, regions: &[RegionName]) -> Vec<FailureDomainName> {
        let view = self.config.view();
        let known = self.settings.regions.iter().chain(&view.regions);
        let within = known.filter(|(_, region)| regions.contains(region));
        let mut domains: Vec<FailureDomainName> =
            within.map(|(domain, _)| domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Tells the gate of a pool which of its runners are cold, and what this box may send to them.
    fn tell_cold(&self, gate: &Gate, pool: &PoolView, placement: Placement) {
        let Some(cold) = pool.hosted.and_then(|hosted| hosted.cold) else { return };
        let (roster, reopened) = (self.upstreams.roster.borrow(), self.reopened.borrow());
        let senders = match placement {
            Placement::Owner => 1,
            Placement::Local => self.senders(),
        };
        let limit = |runner: &str| {
            let phase = self.phase_at(runner);
            ColdLimit { rate: cold.rate, senders, phase }
        };
        let until = |spec: &RunnerSpec| {
            // Its announcements told last what it was before the evacuation ended.
            let reopened = reopened.get(&spec.failure_domain);
            let reopened = reopened.map(|at| *at + cold.lasts.max(ANNOUNCEMENT_WAIT));
            let told = roster.warm_at(&spec.name);
            told.into_iter().chain(reopened).max()
        };
        let now = clock::now();
        gate.update(|table| {
            table.set_cold(|spec| until(spec).map(|until| (until, limit(&spec.name))), now);
        });
    }

    /// Returns how many boxes send to an upstream, each by its own decision: all that were known
    /// of late, as those that cannot be reached may go on sending.
    fn senders(&self) -> usize {
        let membership = self.membership.borrow();
        let boxes = membership.records().filter(|r| matches!(r.subject, Subject::Box(_))).count();
        let least = if clock::since(self.started) < ACQUAINTED { SENDERS_AT_START } else { 1 };
        boxes.max(least)
    }

    /// Returns the part of a limit of an upstream that the boxes in reach may use: boxes that were
    /// lost of late may be cut off with some callers and upstreams, and keep their part.
    pub fn part_in_reach(&self) -> f64 {
        let membership = self.membership.borrow();
        let serving = membership.serving_boxes().count().max(1);
        let lost = membership.lost_boxes(clock::now(), MAY_BE_CUT_OFF);
        // All boxes may have started at once, each without knowing of the others.
        let is_new = serving == 1 && clock::since(self.started) < ACQUAINTED;
        let all = if is_new { SENDERS_AT_START } else { serving + lost };
        serving as f64 / all as f64
    }

    /// Returns where this box's turn at a cold runner lies among those of the others.
    fn phase_at(&self, runner: &str) -> f64 {
        let bytes = [self.settings.name.as_bytes(), runner.as_bytes()].concat();
        XxHash64::oneshot(0, &bytes) as f64 / u64::MAX as f64
    }

    /// Tells the gate of a pool which of its runners membership lets serve.
    pub fn apply_membership(&self, pool: &str) {
        self.tell_membership(&self.gate(pool));
    }

    fn tell_membership(&self, gate: &Gate) {
        let serves = |runner: &str| self.upstream_serves(runner);
        gate.update(|table| table.set_serving(serves));
    }

    /// Tells the gates of all pools which of their runners leave.
    pub fn apply_leaving(&self) {
        for (_, gate) in self.gates() {
            self.tell_membership(&gate);
        }
    }

    /// Returns whether an upstream takes new work, by its membership, its announcements and its own
    /// answers.
    pub fn upstream_serves(&self, name: &str) -> bool {
        let roster = self.upstreams.roster.borrow();
        let leaves = roster.get(name).is_some_and(|record| record.phase == Phase::Leaving)
            || self.leaving.borrow().contains(name, clock::now());
        !leaves && self.membership.borrow().upstream_serves(name)
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

    /// Returns whether callers should be sent here.
    pub fn takes_work(&self) -> bool {
        self.intake.get() == Intake::Open && self.config.number() > 0 && self.config_is_fresh()
    }

    /// Waits a little for a box that has just started to learn the configuration: callers are
    /// better served late than refused, and after a restart of the core it takes an election. A
    /// caller that tells how long it waits is refused early enough to try another box.
    pub async fn await_config(&self, caller_waits: Option<Duration>) {
        let limit =
            caller_waits.map_or(CONFIG_WAIT, |waits| (waits / CONFIG_WAIT_SHARE).min(CONFIG_WAIT));
        let started = clock::now();
        while (self.config.number() == 0 || !self.config_is_fresh())
            && clock::since(started) < limit
        {
            compio::time::sleep(CONFIG_LOOK).await;
        }
    }

    /// Refuses new work while the box stops or its configuration may be old.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with when to come back.
    pub fn check_intake(&self) -> Result<(), Problem> {
        if self.intake.get() == Intake::Closed {
            let message = "this box is stopping; use another one";
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", message);
            return Err(problem.retry_after(Duration::ZERO));
        }
        if self.config.number() == 0 {
            let message = "this box knows no configuration yet";
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_config", message);
            return Err(problem.retry_after(self.short_retry()));
        }
        if !self.config_is_fresh() {
            let message = "this box is cut off and its configuration may be old; use another one";
            let problem =
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "config_stale", message);
            return Err(problem.retry_after(self.short_retry()));
        }
        Ok(())
    }

    /// Returns an upstream with the bounds of this box.
    pub fn upstream(&self, addr: SocketAddr) -> Upstream {
        Upstream { addr, connect_timeout: self.settings.timing.connect_timeout }
    }

    /// Returns how many requests are in progress.
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a request in progress until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard(self.clone())
    }

    /// Takes one of a workspace's streams, or `None` if it holds as many as it may.
    pub fn begin_stream(self: &Rc<Self>, workspace: &str, max: u64) -> Option<StreamGuard> {
        let mut streams = self.streams.borrow_mut();
        let held = streams.entry(workspace.to_owned()).or_default();
        if *held >= max {
            return None;
        }
        *held += 1;
        Some(StreamGuard { cx: self.clone(), workspace: workspace.to_owned() })
    }

    /// Returns streams in progress a workspace.
    pub fn stream_counts(&self) -> Vec<(WorkspaceName, u64)> {
        let mut counts: Vec<_> =
            self.streams.borrow().iter().map(|(name, n)| (name.clone(), *n)).collect();
        counts.sort();
        counts
    }

    /// Returns a number that differs from call to call, to spread calls over upstreams.
    pub fn next_turn(&self) -> usize {
        let turn = self.app_turn.get();
        self.app_turn.set(turn.wrapping_add(1));
        turn
    }

    /// Returns the time after which a refused caller may try this or another box again.
    pub fn short_retry(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// Time within which a runner tells that it has become cold: one heartbeat and its travel.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a lost box may be cut off and at work: a box that was killed is back far sooner,
/// and one that is gone for good costs its part of limits for so long.
const MAY_BE_CUT_OFF: Duration = Duration::from_secs(60);
/// Time after its start in which a box comes to know the others.
const ACQUAINTED: Duration = Duration::from_secs(5);
/// Boxes that a box takes the fleet to have until then: after a loss of all they start together,
/// and each knows a few of them only.
const SENDERS_AT_START: usize = 64;
/// Longest time that a request waits for this box to learn the configuration: a start, an
/// election and the travel of the answer.
const CONFIG_WAIT: Duration = Duration::from_millis(2_000);
/// Part of the time that a caller waits for which its request waits for the configuration: two
/// further tries fit, which may reach boxes that have it.
const CONFIG_WAIT_SHARE: u32 = 3;
/// Time between looks for the configuration.
const CONFIG_LOOK: Duration = Duration::from_millis(20);

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

/// A request in progress.
pub struct ActiveGuard(Rc<EntryCx>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// A stream of a workspace.
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
