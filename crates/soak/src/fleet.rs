//! The boxes of a run: processes behind proxies, and what can be done to them from outside.

use std::cell::RefCell;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_e2e::Process;

use crate::condition::Party;
use crate::context::RunCx;
use crate::proxy::Proxy;
use crate::wire::{BoxPlan, Ports, Role};

/// Time after a SIGTERM at which a process is killed, as a platform would.
const GRACE: Duration = Duration::from_secs(8);
/// Time after which a process that ended by itself is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks at the processes.
const LOOK: Duration = Duration::from_millis(50);
/// Both roles of processes.
pub const BOTH: [Role; 2] = [Role::Control, Role::Entry];
/// Bytes of a record that was torn off: its head, and not all of its payload.
const TORN: [u8; 21] = [0xab; 21];

/// A process that is started again when it ends by itself.
struct Managed {
    role: Role,
    process: Process,
    /// Counts its starts.
    life: u64,
    /// Whether it should run.
    wanted: bool,
    /// Whether it was asked to stop, so that its end is none of its own, whatever other faults
    /// want of its box meanwhile.
    asked_to_stop: bool,
}

/// All boxes.
pub struct Fleet {
    cx: Rc<RunCx>,
    /// How each box is set up.
    plans: RefCell<Vec<BoxPlan>>,
    processes: RefCell<Vec<Vec<Managed>>>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts boxes that keep their files in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound or a process does not start.
    pub async fn start(
        cx: Rc<RunCx>,
        folder: &Path,
        plans: Vec<BoxPlan>,
    ) -> anyhow::Result<Rc<Self>> {
        let boxes = plans.len();
        let fleet = Rc::new(Self {
            cx,
            processes: RefCell::default(),
            plans: RefCell::new(plans),
            folder: folder.to_owned(),
        });
        for place in 0..boxes {
            fleet.open_proxies(place).await?;
        }
        for place in 0..boxes {
            let has_control = fleet.plans.borrow()[place].control;
            let roles = BOTH.into_iter().filter(|role| has_control || *role == Role::Entry);
            let started = roles.map(|role| fleet.first_start(place, role));
            let started = started.collect::<anyhow::Result<Vec<Managed>>>()?;
            fleet.processes.borrow_mut().push(started);
        }
        for plan in fleet.plans.borrow_mut().iter_mut() {
            plan.first_start = false;
        }
        Ok(fleet)
    }

    /// Opens a proxy before every listener of a box but those of the product's own interfaces,
    /// which nobody calls in a run.
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
            let proxy = Proxy { addr, target, party: Party::Box(place), by_box };
            proxy.open(self.cx.clone()).await?;
        }
        Ok(())
    }

    /// Starts a process for the first time.
    fn first_start(&self, place: usize, role: Role) -> anyhow::Result<Managed> {
        let name = format!("box-{place}-{role:?}").to_lowercase();
        let file = self.write_settings(place)?;
        let args = (self.cx.wire.arguments)(role, &file);
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(&name, self.cx.wire.program, args, log)?;
        self.note_start(place, &process);
        Ok(Managed { role, process, life: 1, wanted: true, asked_to_stop: false })
    }

    /// Notes which box a process belongs to.
    fn note_start(&self, place: usize, process: &Process) {
        if let Some(id) = process.id() {
            self.cx.sources.add(id, place);
        }
    }

    /// Writes the settings of a box as they are now.
    fn write_settings(&self, place: usize) -> anyhow::Result<PathBuf> {
        let file = self.folder.join(format!("box-{place}.settings"));
        let text = (self.cx.wire.settings)(&self.plans.borrow()[place]);
        std::fs::write(&file, text)?;
        Ok(file)
    }

    /// Returns how many boxes there are.
    pub fn boxes(&self) -> usize {
        self.plans.borrow().len()
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

    /// Starts a process that has ended.
    fn restart(&self, place: usize, managed: &mut Managed) {
        managed.life += 1;
        managed.asked_to_stop = false;
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
            managed.asked_to_stop = true;
            managed.process.signal(libc::SIGTERM);
        });
        let started = Instant::now();
        while started.elapsed() < GRACE && !self.has_ended(place) {
            compio::time::sleep(LOOK).await;
        }
        self.kill(place, &BOTH);
        self.start_again(place);
    }

    /// Returns whether all processes of a box have ended.
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
            if let Err(err) = managed.process.limit_file_size(full.then_some(0)) {
                log::warn!("{}: {err}", managed.process.name);
            }
        });
    }

    /// Starts again what ended by itself, for as long as the run goes on.
    pub async fn supervise(self: Rc<Self>) {
        while !self.cx.stop.is_set() {
            compio::time::sleep(LOOK).await;
            for place in 0..self.boxes() {
                if self.ended_by_itself(place) {
                    compio::time::sleep(RESTART_AFTER).await;
                    self.restart_ended(place);
                }
            }
        }
    }

    /// Counts the processes of a box that ended by themselves; returns whether any has to be
    /// started again.
    fn ended_by_itself(&self, place: usize) -> bool {
        let (mut count, mut ended) = (0, false);
        self.each(place, &BOTH, |managed| {
            if managed.wanted && managed.process.has_ended() {
                ended = true;
                count += u64::from(!managed.asked_to_stop);
            }
        });
        let own_ends = &self.cx.record.own_ends;
        own_ends.set(own_ends.get() + count);
        ended
    }

    /// Starts the processes of a box that ended by themselves.
    fn restart_ended(&self, place: usize) {
        self.each(place, &BOTH, |managed| {
            if managed.wanted && managed.process.has_ended() {
                self.restart(place, managed);
            }
        });
    }

    /// Acts on the processes of a box that have one of the roles.
    fn each(&self, place: usize, roles: &[Role], mut act: impl FnMut(&mut Managed)) {
        let mut processes = self.processes.borrow_mut();
        let Some(of_box) = processes.get_mut(place) else { return };
        of_box.iter_mut().filter(|managed| roles.contains(&managed.role)).for_each(&mut act);
    }
}

/// Returns the files that hold a box's log.
fn log_files(data: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(data) else { return Vec::new() };
    let is_log = |path: &PathBuf| {
        path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with("log"))
    };
    entries.flatten().map(|entry| entry.path()).filter(is_log).collect()
}
