//! One run: storms, mending, calm parts, and the verdict.

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
use crate::faults::Faults;
use crate::fleet::Fleet;
use crate::operator::OperatorCx;
use crate::plan::plan_boxes;
use crate::record::Record;
use crate::schedule::{self, Shape, Step};
use crate::sources::Sources;
use crate::upstreams::{Pool, PoolPlan};
use crate::verify::{Broken, verify};
use crate::wire::Wire;

/// Time in which a mended fleet has to serve again. Machines that run tests may be busy.
const MEND_PATIENCE: Duration = Duration::from_secs(60);
/// Time between looks at what is waited for.
const LOOK: Duration = Duration::from_millis(50);
/// Time for a look at one box.
const LOOK_LIMIT: Duration = Duration::from_secs(1);
/// Time after the last part in which open requests end.
const END_PATIENCE: Duration = Duration::from_secs(10);
/// Last parts of the addresses of upstreams: of their proxies, and where they listen.
const UPSTREAM_IPS: [u8; 2] = [200, 201];
/// Boxes that hold the log: three bear the loss of one disk.
const CORE: usize = 3;

/// What a run is like.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where chance starts.
    pub seed: u64,
    /// Boxes, of which the first three hold the log.
    pub boxes: usize,
    /// Engines.
    pub engines: usize,
    /// Plain upstreams.
    pub plain: usize,
    /// Callers.
    pub callers: usize,
    /// Rounds of a storm and a calm part.
    pub rounds: u32,
    /// Length of a storm.
    pub storm: Duration,
    /// Length of a calm part.
    pub calm: Duration,
    /// Whether work that comes to leaving upstreams too late is a broken promise: it depends on
    /// the speed of the machine.
    pub timed: bool,
    /// Whether upstreams name limits, from the start of a storm to the end of its calm part.
    pub limits: bool,
    /// Whether upstreams turn requests away and ask for rest, as long as that.
    pub rests: bool,
    /// Where settings, data and logs go.
    pub folder: PathBuf,
}

/// How a run ended.
#[derive(Debug, Clone)]
pub struct Report {
    /// Promises that were not kept.
    pub broken: Vec<Broken>,
    /// Requests by how they ended.
    pub ends: BTreeMap<&'static str, usize>,
    /// Configurations acknowledged and read.
    pub configs: usize,
    /// Processes that ended by themselves.
    pub own_ends: u64,
    /// What was done, in order.
    pub done: Vec<String>,
}

/// A run that goes on.
struct Soak {
    opts: Options,
    cx: Rc<RunCx>,
    shape: Shape,
    fleet: Rc<Fleet>,
    faults: Faults,
    operator: Rc<OperatorCx>,
    done: RefCell<Vec<String>>,
}

/// Carries out one run.
///
/// # Errors
///
/// Returns an error if the fleet can't be started.
pub async fn run(wire: Wire, opts: Options) -> anyhow::Result<Report> {
    // SAFETY: no handler is installed. Processes started from here inherit that the signal is
    // ignored, so that a write beyond a bound fails as on a full disk.
    unsafe { libc::signal(libc::SIGXFSZ, libc::SIG_IGN) };
    let (handle, stop) = stop_pair();
    let cx = Rc::new(RunCx {
        wire,
        links: Links::default(),
        sources: Sources::default(),
        record: Record::default(),
        stop,
    });
    ensure!(opts.boxes >= CORE, "{} boxes: expected {CORE} or more", opts.boxes);
    let soak = Soak::start(cx, opts).await?;
    soak.operator.put(1, 0).await;
    soak.serves_again().await.context("the first start")?;
    soak.begin_callers();
    let mut rounds = Ok(());
    for round in 0..soak.opts.rounds {
        rounds = soak.round(round).await.with_context(|| format!("round {round}"));
        if rounds.is_err() {
            break;
        }
    }
    drop(handle);
    compio::time::sleep(END_PATIENCE).await;
    Ok(soak.report(rounds))
}

impl Soak {
    async fn start(cx: Rc<RunCx>, opts: Options) -> anyhow::Result<Self> {
        cx.record.boxes.set(opts.boxes);
        let upstreams = opts.engines + opts.plain;
        let shape = Shape { boxes: opts.boxes, core: CORE, upstreams };
        let net = net_of(opts.seed);
        let plans = plan_boxes(&opts.folder, net, shape)?;
        let fleet = Fleet::start(cx.clone(), &opts.folder, plans).await?;
        let control: Vec<SocketAddr> =
            shape.control_boxes().map(|place| fleet.addr(place, |ports| ports.control)).collect();
        let [ip, listen_ip] = UPSTREAM_IPS.map(|last| Ipv4Addr::new(net[0], net[1], net[2], last));
        let plan = PoolPlan {
            engines: opts.engines,
            plain: opts.plain,
            ip,
            listen_ip,
            control: control.clone(),
            notes_late_work: opts.timed,
        };
        let pool = Pool::start(cx.clone(), plan).await?;
        let operator = Rc::new(OperatorCx {
            run: cx.clone(),
            control,
            newest: Rc::new(Cell::new(1)),
            texts: RefCell::default(),
            refused: RefCell::default(),
        });
        compio::runtime::spawn(fleet.clone().supervise()).detach();
        let faults = Faults { cx: cx.clone(), shape, fleet: fleet.clone(), pool };
        Ok(Self { opts, cx, shape, fleet, faults, operator, done: RefCell::default() })
    }

    /// Begins the callers and the operator's tasks.
    fn begin_callers(&self) {
        let cx = Rc::new(CallerCx {
            run: self.cx.clone(),
            fleet: self.fleet.clone(),
            newest_config: self.operator.newest.clone(),
            sent: Cell::new(0),
        });
        for caller in 0..self.opts.callers {
            let seed = self.opts.seed.wrapping_mul(1_000) + caller as u64;
            compio::runtime::spawn(Caller::new(cx.clone(), seed).run()).detach();
        }
        compio::runtime::spawn(self.operator.clone().change(self.opts.seed)).detach();
        compio::runtime::spawn(self.operator.clone().read_all(self.opts.seed + 1)).detach();
    }

    /// Plays a storm, mends, and plays a calm part.
    async fn round(&self, round: u32) -> anyhow::Result<()> {
        let seed = self.opts.seed.wrapping_mul(100) + u64::from(round);
        let limits = if self.opts.limits { schedule::limits(seed, self.shape) } else { Vec::new() };
        for (at, per_second) in &limits {
            self.note(format!("upstream {at} names a limit of {per_second}"));
            self.faults.pool.limit(*at, Some(*per_second));
        }
        let rests = if self.opts.rests { schedule::rests(seed, self.shape) } else { Vec::new() };
        for (at, rest) in &rests {
            self.note(format!("upstream {at} asks for {rest:?} of rest"));
            self.faults.pool.rest(*at, Some(*rest));
        }
        let faults = schedule::storm(seed, self.shape, self.opts.storm);
        self.play(&faults, self.opts.storm).await;
        self.faults.mend();
        self.serves_again().await?;
        self.cx.record.set_calm(Some(round));
        self.note(format!("round {round}: calm"));
        let before = self.cx.record.answered();
        let work = schedule::calm(seed, self.shape, self.opts.calm);
        self.play(&work, self.opts.calm).await;
        self.serves_again().await?;
        self.cx.record.set_calm(None);
        for (at, _) in &limits {
            self.faults.pool.limit(*at, None);
        }
        for (at, _) in &rests {
            self.faults.pool.rest(*at, None);
        }
        let answered = self.cx.record.answered().saturating_sub(before);
        // What upstreams at their limits or at rest do not take is refused.
        let least = if limits.is_empty() && rests.is_empty() { self.opts.callers } else { 1 };
        ensure!(answered >= least, "{answered} requests answered in a calm part");
        Ok(())
    }

    /// Plays steps, each beside the others, until all are over.
    async fn play(&self, steps: &[Step], length: Duration) {
        let all = steps.iter().map(|step| self.step(step));
        join(join_all(all), compio::time::sleep(length)).await;
    }

    /// Waits for the time of a step, notes it, and carries it out.
    async fn step(&self, step: &Step) {
        compio::time::sleep(step.at).await;
        self.note(format!("{:?} for {:?}", step.fault, step.lasts));
        self.faults.inject(step.fault, step.lasts).await;
    }

    /// Waits until every box takes requests and the newest acknowledged configuration is read.
    async fn serves_again(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut missing = self.missing().await;
        while !missing.is_empty() {
            ensure!(started.elapsed() < MEND_PATIENCE, "not serving again: {missing:?}");
            compio::time::sleep(LOOK).await;
            missing = self.missing().await;
        }
        self.note("serves".to_owned());
        Ok(())
    }

    /// Returns what keeps the fleet from serving.
    async fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for at in self.shape.all_boxes() {
            let addr = self.fleet.addr(at, |ports| ports.ready);
            let asked = Upstream { addr, connect_timeout: LOOK_LIMIT };
            let answer = asked.send((self.cx.wire.ready)(), LOOK_LIMIT).await;
            if !answer.is_ok_and(|answer| answer.status().is_success()) {
                missing.push(format!("box {at} is not ready"));
            }
        }
        if self.operator.read().await.is_none() {
            missing.push("no configuration is read back".to_owned());
        }
        missing
    }

    /// Notes something that was done.
    fn note(&self, what: String) {
        let at = self.cx.record.tick();
        self.done.borrow_mut().push(format!("{at}: {what}"));
    }

    /// Composes the report, the end of the rounds included.
    fn report(&self, rounds: anyhow::Result<()>) -> Report {
        let mut broken = verify(&self.cx.record);
        broken.extend(rounds.err().map(|err| Broken {
            promise: "a fleet that was mended serves again",
            seen: format!("{err:#}"),
        }));
        let refused = self.operator.refused.borrow();
        broken.extend(refused.iter().map(|number| Broken {
            promise: "a valid configuration is not refused",
            seen: format!("{number} was refused"),
        }));
        Report {
            broken,
            ends: self.cx.record.counts(),
            configs: self.cx.record.configs.borrow().len(),
            own_ends: self.cx.record.own_ends.get(),
            done: self.done.borrow().clone(),
        }
    }
}

/// Returns the first parts of loopback addresses that no other run on this machine uses.
fn net_of(seed: u64) -> [u8; 3] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, (high & 0x7f).max(1), low ^ (seed as u8)]
}
