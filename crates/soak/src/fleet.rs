//! The boxes of a run: processes behind proxies, and what can be done to them from outside.

use std::cell::RefCell;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use hatchpitch_e2e::Process;

use crate::condition::Party;
use crate::proxy::{self, ProxyCx};
use crate::record::Record;
use crate::wire::{BoxPlan, Ports, Role, Wire};

/// Time after a SIGTERM at which a process is killed, as a platform would.
const GRACE: Duration = Duration::from_secs(8);
/// Time after which a process that ended by itself is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks at the processes.
const LOOK: Duration = Duration::from_millis(50);
/// Failure domains, to which boxes go in turn.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Bytes of a record that was torn off: its head, and not all of its payload.
const TORN: [u8; 21] = [0xab; 21];

struct Managed {
    role: Role,
    process: Process,
    /// Counts its starts.
    life: u64,
    /// Whether it should run.
    wanted: bool,
}

/// All boxes.
pub struct Fleet {
    wire: Wire,
    cx: Rc<ProxyCx>,
    record: Rc<Record>,
    /// How each box is set up.
    pub plans: RefCell<Vec<BoxPlan>>,
    processes: RefCell<Vec<Vec<Managed>>>,
    folder: PathBuf,
}

/// Finds ports in a row that are free at every address, the kernel naming the first.
fn free_ports(ips: &[Ipv4Addr], count: u16) -> anyhow::Result<Vec<u16>> {
    let at = ips.first().context("no address")?;
    loop {
        let first = TcpListener::bind((*at, 0))?.local_addr()?.port();
        let ports: Vec<u16> = (first..first.saturating_add(count)).collect();
        let free = |port: &u16| ips.iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok());
        if ports.len() == usize::from(count) && ports.iter().all(free) {
            return Ok(ports);
        }
    }
}

impl Fleet {
    /// Sets up `boxes` boxes, of which the first `core` have a disk, and starts them.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound or a process does not start.
    pub async fn start(
        wire: Wire,
        cx: Rc<ProxyCx>,
        record: Rc<Record>,
        folder: &Path,
        net: [u8; 3],
        shape: crate::schedule::Shape,
    ) -> anyhow::Result<Rc<Self>> {
        let plans = plans(folder, net, shape)?;
        let fleet = Rc::new(Self {
            wire,
            cx,
            record,
            processes: RefCell::default(),
            plans: RefCell::new(plans),
            folder: folder.to_owned(),
        });
        for place in 0..shape.boxes {
            fleet.open_proxies(place).await?;
        }
        for place in 0..shape.boxes {
            let roles = [Role::Control, Role::Entry];
            let started = roles.into_iter().map(|role| fleet.first_start(place, role));
            let started = started.collect::<anyhow::Result<Vec<Managed>>>()?;
            fleet.processes.borrow_mut().push(started);
        }
        for plan in fleet.plans.borrow_mut().iter_mut() {
            plan.first_start = false;
        }
        Ok(fleet)
    }

    async fn open_proxies(&self, place: usize) -> anyhow::Result<()> {
        let plan = self.plans.borrow()[place].clone();
        let Ports { boxes, own: _, front, ready, directory, control } = plan.ports;
        let listeners = [
            (boxes[0], true),
            (boxes[1], true),
            (front, false),
            (ready, false),
            (directory, false),
            (control, false),
        ];
        for (port, by_box) in listeners {
            let addr = SocketAddr::from((plan.ip, port));
            let target = SocketAddr::from((plan.listen_ip, port));
            proxy::open(self.cx.clone(), addr, target, Party::Box(place), by_box).await?;
        }
        Ok(())
    }

    fn first_start(&self, place: usize, role: Role) -> anyhow::Result<Managed> {
        let name = format!("box-{place}-{role:?}").to_lowercase();
        let file = self.write_settings(place)?;
        let args = (self.wire.arguments)(role, &file);
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(&name, self.wire.program, args, log)?;
        self.note_start(place, &process);
        Ok(Managed { role, process, life: 1, wanted: true })
    }

    fn note_start(&self, place: usize, process: &Process) {
        if let Some(id) = process.id() {
            self.cx.sources.add(id, place);
        }
    }

    fn write_settings(&self, place: usize) -> anyhow::Result<PathBuf> {
        let file = self.folder.join(format!("box-{place}.settings"));
        let text = (self.wire.settings)(&self.plans.borrow()[place]);
        std::fs::write(&file, text)?;
        Ok(file)
    }

    /// Returns an address of a box that everybody uses.
    pub fn addr(&self, place: usize, port: impl Fn(&Ports) -> u16) -> SocketAddr {
        let plans = self.plans.borrow();
        SocketAddr::from((plans[place].ip, port(&plans[place].ports)))
    }

    /// Returns the box at an address, if one is.
    pub fn place_of(&self, addr: SocketAddr) -> Option<usize> {
        self.plans.borrow().iter().position(|plan| addr.ip() == plan.ip)
    }

    /// Returns how often the entry process of a box was started.
    pub fn entry_life(&self, place: usize) -> u64 {
        let processes = self.processes.borrow();
        let mut roles = processes[place].iter();
        roles.find(|managed| managed.role == Role::Entry).map_or(0, |managed| managed.life)
    }

    /// Kills the processes of a box that have one of the roles.
    pub fn kill(&self, place: usize, roles: &[Role]) {
        self.each(place, roles, |managed| {
            managed.wanted = false;
            if let Some(id) = managed.process.id() {
                self.cx.sources.remove(id);
            }
            managed.process.thaw();
            managed.process.kill();
        });
    }

    /// Starts the processes of a box that do not run.
    pub fn start_again(&self, place: usize) {
        if let Err(err) = self.write_settings(place) {
            log::error!("settings of box {place}: {err:#}");
        }
        self.each(place, &BOTH, |managed| {
            managed.wanted = true;
            if managed.process.has_ended() {
                self.restart(place, managed);
            }
        });
    }

    fn restart(&self, place: usize, managed: &mut Managed) {
        managed.life += 1;
        match managed.process.restart() {
            Ok(()) => self.note_start(place, &managed.process),
            Err(err) => log::error!("start of {}: {err:#}", managed.process.name),
        }
    }

    /// Lets a box stand still, or go on.
    pub fn freeze(&self, place: usize, still: bool) {
        self.each(place, &BOTH, |managed| match still {
            true => managed.process.freeze(),
            false => managed.process.thaw(),
        });
    }

    /// Sends a signal to the processes of a box.
    pub fn signal(&self, place: usize, signal: i32) {
        self.each(place, &BOTH, |managed| managed.process.signal(signal));
    }

    /// Asks a box to stop, kills what has not ended when its time is over, and starts it again.
    pub async fn stop_and_start(&self, place: usize) {
        self.each(place, &BOTH, |managed| {
            managed.wanted = false;
            managed.process.signal(libc::SIGTERM);
        });
        let started = Instant::now();
        while started.elapsed() < GRACE && !self.has_ended(place) {
            compio::time::sleep(LOOK).await;
        }
        self.kill(place, &BOTH);
        self.start_again(place);
    }

    fn has_ended(&self, place: usize) -> bool {
        self.processes.borrow_mut()[place].iter_mut().all(|managed| managed.process.has_ended())
    }

    /// Empties the data folder of a box whose control process does not run.
    pub fn lose_disk(&self, place: usize) {
        let Some(data) = self.plans.borrow()[place].data.clone() else { return };
        if let Err(err) = std::fs::remove_dir_all(&data) {
            log::warn!("{}: {err}", data.display());
        }
    }

    /// Leaves a part of a record at the end of a box's log, whose control process does not run.
    pub fn tear_log(&self, place: usize) {
        let Some(data) = self.plans.borrow()[place].data.clone() else { return };
        for file in log_files(&data) {
            let opened = std::fs::OpenOptions::new().append(true).open(&file);
            if let Err(err) = opened.and_then(|mut f| f.write_all(&TORN)) {
                log::warn!("{}: {err}", file.display());
            }
        }
    }

    /// Lets the disk of a box take no more bytes, or take them again.
    pub fn fill_disk(&self, place: usize, full: bool) {
        self.each(place, &[Role::Control], |managed| {
            if let Err(err) = managed.process.bound_files(full.then_some(0)) {
                log::warn!("{}: {err}", managed.process.name);
            }
        });
    }

    /// Starts again what ended by itself, for as long as the run goes on.
    pub async fn supervise(self: Rc<Self>) {
        while !self.cx.stop.is_set() {
            compio::time::sleep(LOOK).await;
            let boxes = self.plans.borrow().len();
            for place in 0..boxes {
                if self.ended_by_itself(place) {
                    compio::time::sleep(RESTART_AFTER).await;
                    self.restart_ended(place);
                }
            }
        }
    }

    fn ended_by_itself(&self, place: usize) -> bool {
        let mut processes = self.processes.borrow_mut();
        let ended = |managed: &mut Managed| managed.wanted && managed.process.has_ended();
        let count = processes[place].iter_mut().filter_map(|m| ended(m).then_some(())).count();
        self.record.own_ends.set(self.record.own_ends.get() + count as u64);
        count > 0
    }

    fn restart_ended(&self, place: usize) {
        self.each(place, &BOTH, |managed| {
            if managed.wanted && managed.process.has_ended() {
                self.restart(place, managed);
            }
        });
    }

    fn each(&self, place: usize, roles: &[Role], mut act: impl FnMut(&mut Managed)) {
        let mut processes = self.processes.borrow_mut();
        let Some(of_box) = processes.get_mut(place) else { return };
        of_box.iter_mut().filter(|managed| roles.contains(&managed.role)).for_each(&mut act);
    }
}

/// Every role.
pub const BOTH: [Role; 2] = [Role::Control, Role::Entry];

fn plans(
    folder: &Path,
    [a, b, c]: [u8; 3],
    shape: crate::schedule::Shape,
) -> anyhow::Result<Vec<BoxPlan>> {
    let ip = |place: usize, base: u8| {
        let last = base.saturating_add(u8::try_from(place).unwrap_or(u8::MAX));
        Ipv4Addr::new(a, b, c, last)
    };
    let used: Vec<Ipv4Addr> =
        (0..shape.boxes).flat_map(|place| [ip(place, ANNOUNCED), ip(place, BOUND)]).collect();
    let ports = free_ports(&used, 8)?;
    let ports = Ports {
        boxes: [ports[0], ports[1]],
        own: [ports[2], ports[3]],
        front: ports[4],
        ready: ports[5],
        directory: ports[6],
        control: ports[7],
    };
    let control = |place| SocketAddr::from((ip(place, ANNOUNCED), ports.control));
    let seeds: Vec<SocketAddr> = (0..shape.core).map(control).collect();
    let plan = |place: usize| BoxPlan {
        domain: DOMAINS[place % DOMAINS.len()].to_owned(),
        ip: ip(place, ANNOUNCED),
        listen_ip: ip(place, BOUND),
        ports,
        data: (place < shape.core).then(|| folder.join(format!("data-{place}"))),
        first_start: true,
        seeds: seeds.clone(),
    };
    Ok((0..shape.boxes).map(plan).collect())
}

/// Last parts of the addresses that everybody uses, and of those where processes listen.
const ANNOUNCED: u8 = 10;
const BOUND: u8 = 110;

fn log_files(data: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(data) else { return Vec::new() };
    let is_log = |path: &PathBuf| {
        path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with("log"))
    };
    entries.flatten().map(|entry| entry.path()).filter(is_log).collect()
}
