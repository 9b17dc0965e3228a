//! One run: storms, mending, calm parts, and the verdict.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use hatchpitch_net::{Upstream, stop_pair};

use crate::callers::{Caller, CallerCx};
use crate::condition::{Condition, Links, Party};
use crate::fleet::{BOTH, Fleet};
use crate::operator::OperatorCx;
use crate::proxy::ProxyCx;
use crate::record::Record;
use crate::schedule::{self, Fault, Shape, Step};
use crate::sources::Sources;
use crate::upstreams::{Pool, Trouble};
use crate::verify::{Broken, verify};
use crate::wire::{Role, Wire};

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
/// Time that a killed process stays down, at least.
const DOWN: Duration = Duration::from_millis(300);

/// What a run is like.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where chance starts.
    pub seed: u64,
    /// Boxes, of which the first three hold the log.
    pub boxes: usize,
    /// Engines, and upstreams of all kinds.
    pub upstreams: [usize; 2],
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

struct Soak {
    opts: Options,
    shape: Shape,
    links: Rc<ProxyCx>,
    fleet: Rc<Fleet>,
    pool: Rc<Pool>,
    record: Rc<Record>,
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
    let links = Rc::new(ProxyCx { links: Links::default(), sources: Sources::default(), stop });
    let soak = Soak::start(wire, opts, links).await?;
    soak.operator.put(1, 0).await;
    soak.serves_again().await.context("the first start")?;
    soak.begin_callers(wire);
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
    async fn start(wire: Wire, opts: Options, links: Rc<ProxyCx>) -> anyhow::Result<Self> {
        let shape = Shape { boxes: opts.boxes, core: 3, upstreams: opts.upstreams[1] };
        let net = net_of(opts.seed);
        let record = Rc::new(Record::default());
        let folder = opts.folder.clone();
        let fleet = Fleet::start(wire, links.clone(), record.clone(), &folder, net, shape).await?;
        let control: Vec<SocketAddr> =
            (0..shape.boxes).map(|place| fleet.addr(place, |ports| ports.control)).collect();
        let ips = UPSTREAM_IPS.map(|last| Ipv4Addr::new(net[0], net[1], net[2], last));
        let pool = Pool::start(
            wire,
            links.clone(),
            record.clone(),
            ips,
            opts.upstreams,
            control.clone(),
            opts.timed,
        )
        .await?;
        let operator = Rc::new(OperatorCx {
            wire,
            proxies: links.clone(),
            record: record.clone(),
            control,
            newest: Rc::new(Cell::new(1)),
            texts: RefCell::default(),
            refused: RefCell::default(),
        });
        compio::runtime::spawn(fleet.clone().supervise()).detach();
        let done = RefCell::default();
        Ok(Self { opts, shape, links, fleet, pool, record, operator, done })
    }

    fn begin_callers(&self, wire: Wire) {
        let cx = Rc::new(CallerCx {
            wire,
            proxies: self.links.clone(),
            fleet: self.fleet.clone(),
            record: self.record.clone(),
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

    async fn round(&self, round: u32) -> anyhow::Result<()> {
        let seed = self.opts.seed.wrapping_mul(100) + u64::from(round);
        let faults = schedule::storm(seed, self.shape, self.opts.storm);
        self.play(&faults, self.opts.storm).await;
        self.mend().await;
        self.serves_again().await?;
        self.record.set_calm(Some(round));
        self.note(format!("round {round}: calm"));
        let before = self.record.answered();
        let work = schedule::calm(seed, self.shape, self.opts.calm);
        self.play(&work, self.opts.calm).await;
        self.serves_again().await?;
        self.record.set_calm(None);
        let answered = self.record.answered().saturating_sub(before);
        ensure!(answered >= self.opts.callers, "{answered} requests answered in a calm part");
        Ok(())
    }

    /// Plays steps, each beside the others, until all are over.
    async fn play(&self, steps: &[Step], length: Duration) {
        let all = steps.iter().map(|step| self.step(step));
        let (_, ()) = futures_util::future::join(
            futures_util::future::join_all(all),
            compio::time::sleep(length),
        )
        .await;
    }

    async fn step(&self, step: &Step) {
        compio::time::sleep(step.at).await;
        self.note(format!("{:?} for {:?}", step.fault, step.lasts));
        self.carry_out(step.fault, step.lasts).await;
    }

    async fn carry_out(&self, fault: Fault, lasts: Duration) {
        let last = compio::time::sleep(lasts);
        match fault {
            Fault::KillBox(at) => self.kill(&[at], &BOTH, lasts).await,
            Fault::KillCore => self.kill(&self.all_boxes(), &[Role::Control], DOWN).await,
            Fault::KillAll => self.kill(&self.all_boxes(), &BOTH, DOWN).await,
            Fault::Freeze(at) => {
                self.fleet.freeze(at, true);
                last.await;
                self.fleet.freeze(at, false);
            }
            Fault::StopBox(at) => self.fleet.stop_and_start(at).await,
            Fault::HangUp(at) => self.fleet.signal(at, libc::SIGHUP),
            Fault::LoseDisk(at) => {
                self.fleet.kill(at, &[Role::Control]);
                self.fleet.lose_disk(at);
                last.await;
                self.fleet.start_again(at);
            }
            Fault::TornWrite(at) => {
                self.fleet.kill(at, &[Role::Control]);
                self.fleet.tear_log(at);
                last.await;
                self.fleet.start_again(at);
            }
            Fault::FullDisk(at) => {
                self.fleet.fill_disk(at, true);
                last.await;
                self.fleet.fill_disk(at, false);
            }
            Fault::CutOneWay(from, to) => {
                let (from, to) = (Party::Box(from), Party::Box(to));
                self.links.links.set(from, to, Condition::Silent);
                last.await;
                self.links.links.set(from, to, Condition::Clear);
            }
            Fault::CutOff(at) => {
                self.cut_off(at, Condition::Silent);
                last.await;
                self.cut_off(at, Condition::Clear);
            }
            Fault::Slow(at, ms) => {
                self.cut_off(at, Condition::Delayed(Duration::from_millis(ms)));
                last.await;
                self.cut_off(at, Condition::Clear);
            }
            Fault::ResetBox(at) => self.links.links.reset(Party::Box(at)),
            upstream => self.carry_out_upstream(upstream, lasts).await,
        }
    }

    async fn carry_out_upstream(&self, fault: Fault, lasts: Duration) {
        let last = compio::time::sleep(lasts);
        match fault {
            Fault::CrashUpstream(at) => {
                self.pool.crash(at);
                last.await;
                self.pool.revive(at);
            }
            Fault::SilenceUpstream(at) => {
                let party = Party::Upstream(at);
                self.links.links.set(party, Party::Outside, Condition::Silent);
                last.await;
                self.links.links.set(party, Party::Outside, Condition::Clear);
            }
            Fault::ResetUpstream(at) => self.links.links.reset(Party::Upstream(at)),
            Fault::LoseAnswers(at) | Fault::SpoilAnswers(at) => {
                let trouble = match fault {
                    Fault::LoseAnswers(_) => Trouble::LosesAnswers,
                    _ => Trouble::SpoilsAnswers,
                };
                self.pool.trouble(at, trouble);
                last.await;
                self.pool.trouble(at, Trouble::None);
            }
            Fault::Reclaim(at) => self.pool.reclaim(at).await,
            Fault::Leave(at) => self.pool.leave(at).await,
            _ => {}
        }
    }

    async fn kill(&self, boxes: &[usize], roles: &[Role], down: Duration) {
        for at in boxes {
            self.fleet.kill(*at, roles);
        }
        compio::time::sleep(down).await;
        for at in boxes {
            self.fleet.start_again(*at);
        }
    }

    /// Sets the links between a box and all others, both ways.
    fn cut_off(&self, at: usize, condition: Condition) {
        for other in self.all_boxes().into_iter().filter(|other| *other != at) {
            self.links.links.set(Party::Box(at), Party::Box(other), condition);
            self.links.links.set(Party::Box(other), Party::Box(at), condition);
        }
    }

    fn all_boxes(&self) -> Vec<usize> {
        (0..self.shape.boxes).collect()
    }

    /// Ends everything that may still be wrong.
    async fn mend(&self) {
        self.links.links.clear();
        for at in self.all_boxes() {
            self.fleet.freeze(at, false);
            self.fleet.fill_disk(at, false);
            self.fleet.start_again(at);
        }
        for at in 0..self.shape.upstreams {
            self.pool.trouble(at, Trouble::None);
            self.pool.revive(at);
        }
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

    async fn missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for at in self.all_boxes() {
            let addr = self.fleet.addr(at, |ports| ports.ready);
            let asked = Upstream { addr, connect_timeout: LOOK_LIMIT };
            let answer = asked.send((self.operator.wire.ready)(), LOOK_LIMIT).await;
            if !answer.is_ok_and(|answer| answer.status().is_success()) {
                missing.push(format!("box {at} is not ready"));
            }
        }
        if self.operator.read().await.is_none() {
            missing.push("no configuration is read back".to_owned());
        }
        missing
    }

    fn note(&self, what: String) {
        let at = self.record.tick();
        self.done.borrow_mut().push(format!("{at}: {what}"));
    }

    fn report(&self, rounds: anyhow::Result<()>) -> Report {
        let mut broken = verify(&self.record);
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
            ends: self.record.counts(),
            configs: self.record.configs.borrow().len(),
            own_ends: self.record.own_ends.get(),
            done: self.done.borrow().clone(),
        }
    }
}

/// Returns the first parts of loopback addresses that no other run on this machine uses.
fn net_of(seed: u64) -> [u8; 3] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, (high & 0x7f).max(1), low ^ (seed as u8)]
}
