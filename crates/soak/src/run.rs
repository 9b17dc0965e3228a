//! One run: storm phases, repairs, calm phases and verification.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use futures_util::future::{join, join_all};
use hatchpitch_net::{Upstream, stop_pair};

use crate::callers::{Caller, CallerCx};
use crate::condition::Links;
use crate::context::RunCx;
use crate::faults::FaultInjector;
use crate::fleet::Fleet;
use crate::operator::OperatorCx;
use crate::plan::plan_boxes;
use crate::record::Record;
use crate::schedule::{self, FleetSize, ScheduledFault};
use crate::sources::Sources;
use crate::upstreams::{Pool, PoolPlan};
use crate::verify::{MEGABYTE, Violation, verify};
use crate::wire::Wire;

/// Time limit for a repaired fleet to serve again; long, because test machines may be busy.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for one readiness check of a box.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the last phase in which open requests may complete.
const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Last octets of the upstreams' proxy address and listen address.
const UPSTREAM_OCTETS: [u8; 2] = [200, 201];
/// Number of boxes that hold the log. Three of them survive the loss of one disk.
const LOG_BOXES: usize = 3;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the random schedule.
    pub seed: u64,
    /// Number of boxes; the first three hold the log.
    pub boxes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain upstreams.
    pub plain: usize,
    /// Number of callers.
    pub callers: usize,
    /// Number of rounds, each with a storm phase and a calm phase.
    pub rounds: u32,
    /// Length of a storm phase.
    pub storm: Duration,
    /// Length of a calm phase.
    pub calm: Duration,
    /// Whether late requests at leaving upstreams count as violations. This check depends on the
    /// speed of the machine.
    pub check_late_requests: bool,
    /// Whether upstreams announce rate limits for the duration of a round.
    pub limits: bool,
    /// Whether upstreams reject requests and ask for a rest for the duration of a round.
    pub rests: bool,
    /// Limit of the resident memory of each process, in megabytes.
    pub memory_mb: u64,
    /// Whether storms contain loads on the memory of processes.
    pub memory: bool,
    /// Whether storms contain starts with a held port or a full disk.
    pub starts: bool,
    /// Whether storms contain faults that spoil the heads of answers.
    pub heads: bool,
    /// Whether each round ends with the replacement of a box that holds the log, beside the loss of
    /// another one's disk.
    pub replace: bool,
    /// Folder for settings, data and logs.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Number of requests per outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Number of configuration events, acknowledged or read.
    pub configs: usize,
    /// Number of processes that ended, for whatever cause.
    pub process_ends: usize,
    /// Most resident memory of a process of each role, in megabytes.
    pub memory_mb: BTreeMap<String, u64>,
    /// Actions of the run, in order.
    pub actions: Vec<String>,
}

/// A run in progress.
struct Soak {
    opts: Options,
    cx: Rc<RunCx>,
    size: FleetSize,
    fleet: Rc<Fleet>,
    injector: FaultInjector,
    operator: Rc<OperatorCx>,
    actions: RefCell<Vec<String>>,
}

/// Performs one run.
///
/// # Errors
///
/// Returns an error if the fleet can't be started.
pub async fn run(wire: Wire, opts: Options) -> anyhow::Result<Report> {
    // SAFETY: no handler is installed. Child processes inherit the ignored signal, so a write
    // beyond the file size limit fails as on a full disk.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (handle, stop) = stop_pair();
    let cx = Rc::new(RunCx {
        wire,
        links: Links::default(),
        sources: Sources::default(),
        record: Record::default(),
        stop,
    });
    ensure!(opts.boxes >= LOG_BOXES, "{} boxes: expected {LOG_BOXES} or more", opts.boxes);
    ensure!(!opts.memory || opts.engines > 0, "no engines: loads on memory need one");
    let soak = Soak::start(cx, opts).await?;
    soak.operator.put(1, 0).await;
    soak.wait_until_serving().await.context("first start")?;
    soak.start_clients();
    let mut rounds = Ok(());
    for round in 0..soak.opts.rounds {
        rounds = soak.round(round).await.with_context(|| format!("round {round}"));
        if rounds.is_err() {
            break;
        }
    }
    drop(handle);
    compio::time::sleep(DRAIN_TIME).await;
    Ok(soak.report(rounds))
}

impl Soak {
    async fn start(cx: Rc<RunCx>, opts: Options) -> anyhow::Result<Self> {
        cx.record.boxes.set(opts.boxes);
        cx.record.memory_limit.set(opts.memory_mb * MEGABYTE);
        let upstreams = opts.engines + opts.plain;
        let size =
            FleetSize { boxes: opts.boxes, log_boxes: LOG_BOXES, upstreams, engines: opts.engines };
        let net = loopback_net(opts.seed);
        let plans = plan_boxes(&opts.folder, net, size, opts.memory_mb)?;
        let fleet = Fleet::start(cx.clone(), &opts.folder, plans).await?;
        let control: Vec<SocketAddr> =
            size.control_boxes().map(|index| fleet.addr(index, |ports| ports.control)).collect();
        let [ip, listen_ip] =
            UPSTREAM_OCTETS.map(|last| Ipv4Addr::new(net[0], net[1], net[2], last));
        let plan = PoolPlan {
            engines: opts.engines,
            plain: opts.plain,
            ip,
            listen_ip,
            control: control.clone(),
            records_late_requests: opts.check_late_requests,
            seed: opts.seed,
        };
        let pool = Pool::start(cx.clone(), plan).await?;
        let operator = Rc::new(OperatorCx {
            run: cx.clone(),
            control,
            newest: Rc::new(Cell::new(1)),
            sent_texts: RefCell::default(),
            refused: RefCell::default(),
        });
        compio::runtime::spawn(fleet.clone().supervise()).detach();
        compio::runtime::spawn(fleet.clone().watch_memory()).detach();
        let callers = Rc::new(CallerCx {
            run: cx.clone(),
            fleet: fleet.clone(),
            newest_config: operator.newest.clone(),
            request_count: Cell::new(0),
            stalled: Cell::new(false),
        });
        let injector = FaultInjector { cx: cx.clone(), size, fleet: fleet.clone(), pool, callers };
        Ok(Self { opts, cx, size, fleet, injector, operator, actions: RefCell::default() })
    }

    /// Starts the callers and the operator's tasks.
    fn start_clients(&self) {
        let cx = &self.injector.callers;
        for caller in 0..self.opts.callers {
            let seed = self.opts.seed.wrapping_mul(1_000) + caller as u64;
            compio::runtime::spawn(Caller::new(cx.clone(), seed).run()).detach();
        }
        compio::runtime::spawn(self.operator.clone().change_repeatedly(self.opts.seed)).detach();
        compio::runtime::spawn(self.operator.clone().read_repeatedly(self.opts.seed + 1)).detach();
    }

    /// Runs a storm phase, repairs all faults and runs a calm phase.
    async fn round(&self, round: u32) -> anyhow::Result<()> {
        let seed = self.opts.seed.wrapping_mul(100) + u64::from(round);
        let limits = if self.opts.limits { schedule::limits(seed, self.size) } else { Vec::new() };
        for (index, per_second) in &limits {
            self.log_action(format!(
                "upstream {index} announces a limit of {per_second} requests/s"
            ));
            self.injector.pool.set_limit(*index, Some(*per_second));
        }
        let rests = if self.opts.rests { schedule::rests(seed, self.size) } else { Vec::new() };
        for (index, rest) in &rests {
            self.log_action(format!("upstream {index} asks for a rest of {rest:?}"));
            self.injector.pool.set_rest(*index, Some(*rest));
        }
        let framing = schedule::framing(seed, self.size, self.opts.storm);
        self.log_action(format!("shares of unframed answers: {:?}", framing.storm));
        for (index, share) in framing.storm.iter().enumerate() {
            self.injector.pool.set_unframed_share(index, *share);
        }
        let mut faults = schedule::storm(seed, self.size, self.opts.storm);
        faults.extend(framing.faults);
        if self.opts.memory {
            faults.extend(schedule::memory(seed, self.size, self.opts.storm));
        }
        if self.opts.starts {
            let starts = schedule::starts(seed, self.size, self.opts.storm, &faults);
            faults.extend(starts);
        }
        if self.opts.heads {
            faults.extend(schedule::heads(seed, self.size, self.opts.storm));
        }
        self.run_schedule(&faults, self.opts.storm).await;
        self.injector.repair();
        for index in 0..self.size.upstreams {
            self.injector.pool.set_unframed_share(index, framing.calm);
        }
        self.wait_until_serving().await?;
        self.cx.record.set_calm(Some(round));
        self.log_action(format!("round {round}: calm phase"));
        let before = self.cx.record.answered();
        let maintenance = schedule::calm(seed, self.size, self.opts.calm);
        self.run_schedule(&maintenance, self.opts.calm).await;
        self.wait_until_serving().await?;
        self.cx.record.set_calm(None);
        if self.opts.replace {
            self.replace_box(seed).await?;
        }
        for (index, _) in &limits {
            self.injector.pool.set_limit(*index, None);
        }
        for (index, _) in &rests {
            self.injector.pool.set_rest(*index, None);
        }
        let answered = self.cx.record.answered().saturating_sub(before);
        // Upstreams that limit or reject requests cause refusals, so fewer answers are required.
        let least = if limits.is_empty() && rests.is_empty() { self.opts.callers } else { 1 };
        ensure!(
            answered >= least,
            "{answered} requests answered in a calm phase, expected {least}"
        );
        Ok(())
    }

    /// Replaces a box that holds the log and waits until the fleet serves again.
    async fn replace_box(&self, seed: u64) -> anyhow::Result<()> {
        let (holders, spares): (Vec<usize>, Vec<usize>) =
            self.size.control_boxes().partition(|index| self.fleet.has_disk(*index));
        let fault = schedule::replacement(seed, &holders, &spares);
        let fault = fault.context("no box can replace another one")?;
        self.run_fault(&fault).await;
        self.wait_until_serving().await
    }

    /// Injects all faults of a phase concurrently, and waits at least for the length of the phase.
    async fn run_schedule(&self, faults: &[ScheduledFault], length: Duration) {
        let all = faults.iter().map(|fault| self.run_fault(fault));
        join(join_all(all), compio::time::sleep(length)).await;
    }

    /// Waits until a fault is due, logs it and injects it.
    async fn run_fault(&self, scheduled: &ScheduledFault) {
        compio::time::sleep(scheduled.at).await;
        self.log_action(format!("{:?} for {:?}", scheduled.fault, scheduled.duration));
        let text = format!("{:?}", scheduled.fault);
        let faults = &self.cx.record.faults;
        faults.borrow_mut().push(text.clone());
        self.injector.inject(scheduled.fault, scheduled.duration).await;
        let mut faults = faults.borrow_mut();
        if let Some(position) = faults.iter().position(|fault| *fault == text) {
            faults.remove(position);
        }
    }

    /// Waits until every box is ready and a configuration can be read.
    async fn wait_until_serving(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut not_ready = self.not_ready().await;
        while !not_ready.is_empty() {
            ensure!(
                started.elapsed() < RECOVERY_TIMEOUT,
                "the fleet does not serve after {RECOVERY_TIMEOUT:?}: {not_ready:?}"
            );
            compio::time::sleep(POLL_INTERVAL).await;
            not_ready = self.not_ready().await;
        }
        self.log_action("the fleet serves".to_owned());
        Ok(())
    }

    /// Returns the reasons why the fleet is not serving yet.
    async fn not_ready(&self) -> Vec<String> {
        let mut not_ready = Vec::new();
        for index in self.size.all_boxes() {
            let addr = self.fleet.addr(index, |ports| ports.ready);
            let probed = Upstream { addr, connect_timeout: PROBE_TIMEOUT, source: None };
            let answer = probed.send((self.cx.wire.ready)(), PROBE_TIMEOUT).await;
            if !answer.is_ok_and(|answer| answer.status().is_success()) {
                not_ready.push(format!("box {index} is not ready"));
            }
        }
        if self.operator.read().await.is_none() {
            not_ready.push("no configuration can be read".to_owned());
        }
        not_ready
    }

    /// Adds an action to the log of the run.
    fn log_action(&self, action: String) {
        let at = self.cx.record.tick();
        self.actions.borrow_mut().push(format!("{at}: {action}"));
    }

    /// Builds the report, including an error that ended the rounds early.
    fn report(&self, rounds: anyhow::Result<()>) -> Report {
        self.fleet.record_ends();
        let mut violations = verify(&self.cx.record);
        violations.extend(rounds.err().map(|err| Violation {
            property: "the fleet serves again after its repair",
            observed: format!("{err:#}"),
        }));
        let refused = self.operator.refused.borrow();
        violations.extend(refused.iter().map(|number| Violation {
            property: "a valid configuration is not refused",
            observed: format!("configuration {number} was refused"),
        }));
        Report {
            violations,
            outcomes: self.cx.record.outcome_counts(),
            configs: self.cx.record.configs.borrow().len(),
            process_ends: self.cx.record.ends.borrow().len(),
            memory_mb: self.fleet.memory_peaks(),
            actions: self.actions.borrow().clone(),
        }
    }
}

/// Returns the first three octets of the loopback addresses, chosen by process id and seed so that
/// concurrent runs do not collide.
fn loopback_net(seed: u64) -> [u8; 3] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, (high & 0x7f).max(1), low ^ (seed as u8)]
}
