//! The boxes of a run: processes behind proxies, and the faults that can be applied to them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_e2e::Process;

use crate::condition::Party;
use crate::context::RunCx;
use crate::proxy::Proxy;
use crate::record::ProcessEnd;
use crate::verify::MEGABYTE;
use crate::wire::{BoxPlan, Ports, Role};

/// Time after a SIGTERM at which a process is killed, as a platform would do.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Delay before a process that exited unexpectedly is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls from one look at the memory of processes to the next.
const POLLS_PER_SAMPLE: u32 = 2;
/// All roles that a process of a box can have.
pub const ALL_ROLES: [Role; 2] = [Role::Control, Role::Entry];
/// Bytes of a partially written log record: its header and the first bytes of its payload.
const PARTIAL_RECORD: [u8; 21] = [0xab; 21];
/// Number of the last lines of a log that are kept when its process ends.
const LOG_LINES: usize = 3;

/// A process that is restarted when it ends while it should be running.
struct ManagedProcess {
    role: Role,
    process: Process,
    /// Number of times that the process was started.
    starts: u64,
    /// When the process was last started.
    started: Instant,
    /// Whether the process should be running.
    should_run: bool,
    /// Signals that were sent to the process since its last start, and when.
    signals: Vec<(i32, Instant)>,
}

impl ManagedProcess {
    /// Sends a signal and notes it.
    fn signal(&mut self, signal: i32) {
        self.signals.push((signal, Instant::now()));
        self.process.signal(signal);
    }
}

/// All boxes of a run.
pub struct Fleet {
    cx: Rc<RunCx>,
    /// Settings of each box.
    plans: RefCell<Vec<BoxPlan>>,
    processes: RefCell<Vec<Vec<ManagedProcess>>>,
    folder: PathBuf,
    /// Start of the run.
    started: Instant,
}

impl Fleet {
    /// Starts the boxes, with their settings and logs in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound or a process can't be started.
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
            started: Instant::now(),
        });
        for index in 0..boxes {
            fleet.open_proxies(index).await?;
        }
        for index in 0..boxes {
            let has_control = fleet.plans.borrow()[index].has_control;
            let roles = ALL_ROLES.into_iter().filter(|role| has_control || *role == Role::Entry);
            let started = roles.map(|role| fleet.start_process(index, role));
            let started = started.collect::<anyhow::Result<Vec<ManagedProcess>>>()?;
            fleet.processes.borrow_mut().push(started);
        }
        for plan in fleet.plans.borrow_mut().iter_mut() {
            plan.first_start = false;
        }
        Ok(fleet)
    }

    /// Opens a proxy in front of the listeners of a box.
    async fn open_proxies(&self, index: usize) -> anyhow::Result<()> {
        let plan = self.plans.borrow()[index].clone();
        for port in plan.ports.proxied() {
            let identifies_box = plan.ports.boxes.contains(&port);
            let addr = SocketAddr::from((plan.ip, port));
            let target = SocketAddr::from((plan.listen_ip, port));
            let proxy = Proxy { addr, target, party: Party::Box(index), identifies_box };
            proxy.open(self.cx.clone()).await?;
        }
        Ok(())
    }

    /// Starts a process for the first time.
    fn start_process(&self, index: usize, role: Role) -> anyhow::Result<ManagedProcess> {
        let name = format!("box-{index}-{role:?}").to_lowercase();
        let file = self.write_settings(index)?;
        let args = (self.cx.wire.arguments)(role, &file);
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(&name, self.cx.wire.program, args, log)?;
        self.register(index, &process);
        let started = Instant::now();
        let signals = Vec::new();
        Ok(ManagedProcess { role, process, starts: 1, started, should_run: true, signals })
    }

    /// Registers a process as belonging to a box.
    fn register(&self, index: usize, process: &Process) {
        if let Some(id) = process.id() {
            self.cx.sources.add(id, index);
        }
    }

    /// Writes the current settings of a box.
    fn write_settings(&self, index: usize) -> anyhow::Result<PathBuf> {
        let file = self.folder.join(format!("box-{index}.settings"));
        let text = (self.cx.wire.settings)(&self.plans.borrow()[index]);
        // A process of the box may read the file at this moment, so it is replaced as a whole.
        let new = file.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, &file)?;
        Ok(file)
    }

    /// Returns the number of boxes.
    pub fn boxes(&self) -> usize {
        self.plans.borrow().len()
    }

    /// Returns the address of a box's proxy for the chosen port.
    pub fn addr(&self, index: usize, port: impl Fn(&Ports) -> u16) -> SocketAddr {
        let plans = self.plans.borrow();
        SocketAddr::from((plans[index].ip, port(&plans[index].ports)))
    }

    /// Returns the index of the box with this address, if there is one.
    pub fn box_at(&self, addr: SocketAddr) -> Option<usize> {
        self.plans.borrow().iter().position(|plan| addr.ip() == plan.ip)
    }

    /// Returns how often the entry process of a box was started.
    pub fn entry_starts(&self, index: usize) -> u64 {
        let processes = self.processes.borrow();
        let mut roles = processes[index].iter();
        roles.find(|managed| managed.role == Role::Entry).map_or(0, |managed| managed.starts)
    }

    /// Kills the processes of a box that have one of `roles`.
    pub fn kill(&self, index: usize, roles: &[Role]) {
        self.for_each_process(index, roles, |managed| {
            managed.should_run = false;
            if let Some(id) = managed.process.id() {
                self.cx.sources.remove(id);
            }
            managed.process.thaw();
            managed.signals.push((libc::SIGKILL, Instant::now()));
            managed.process.kill();
            self.record_end(managed);
        });
    }

    /// Restarts the processes of a box that are not running.
    pub fn start_again(&self, index: usize) {
        if let Err(err) = self.write_settings(index) {
            log::error!("can't write settings of box {index}: {err:#}");
        }
        self.for_each_process(index, &ALL_ROLES, |managed| {
            managed.should_run = true;
            if self.has_ended(managed) {
                self.restart(index, managed);
            }
        });
    }

    /// Restarts a process that has exited.
    fn restart(&self, index: usize, managed: &mut ManagedProcess) {
        managed.starts += 1;
        managed.started = Instant::now();
        managed.signals.clear();
        match managed.process.restart() {
            Ok(()) => self.register(index, &managed.process),
            Err(err) => log::error!("can't start {}: {err:#}", managed.process.name),
        }
    }

    /// Suspends or resumes the processes of a box.
    pub fn freeze(&self, index: usize, frozen: bool) {
        self.for_each_process(index, &ALL_ROLES, |managed| match frozen {
            true => managed.process.freeze(),
            false => managed.process.thaw(),
        });
    }

    /// Sends a signal to the processes of a box.
    pub fn signal(&self, index: usize, signal: i32) {
        self.for_each_process(index, &ALL_ROLES, |managed| managed.signal(signal));
    }

    /// Asks the processes of a box to stop, and kills those that exceed the grace period.
    pub async fn stop(&self, index: usize) {
        self.for_each_process(index, &ALL_ROLES, |managed| {
            managed.should_run = false;
            managed.signal(libc::SIGTERM);
        });
        let started = Instant::now();
        while started.elapsed() < STOP_GRACE && !self.have_exited(index) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.kill(index, &ALL_ROLES);
    }

    /// Stops the processes of a box as [`Self::stop`] does and restarts all.
    pub async fn stop_and_start(&self, index: usize) {
        self.stop(index).await;
        self.start_again(index);
    }

    /// Gives a box whose processes are not running an empty disk.
    pub fn give_disk(&self, index: usize) {
        let data = self.folder.join(format!("data-{index}"));
        self.plans.borrow_mut()[index].data_folder = Some(data);
    }

    /// Takes the disk of a box whose processes are not running away for good.
    pub fn take_disk(&self, index: usize) {
        self.lose_disk(index);
        self.plans.borrow_mut()[index].data_folder = None;
    }

    /// Returns whether a box has a disk and a control process.
    pub fn has_disk(&self, index: usize) -> bool {
        let plan = &self.plans.borrow()[index];
        plan.has_control && plan.data_folder.is_some()
    }

    /// Returns whether all processes of a box have exited.
    fn have_exited(&self, index: usize) -> bool {
        self.processes.borrow_mut()[index].iter_mut().all(|managed| self.has_ended(managed))
    }

    /// Deletes the data folder of a box whose control process is not running.
    pub fn lose_disk(&self, index: usize) {
        let Some(data) = self.plans.borrow()[index].data_folder.clone() else { return };
        if let Err(err) = std::fs::remove_dir_all(&data) {
            log::warn!("can't delete {}: {err}", data.display());
        }
    }

    /// Appends a partial record to the log of a box whose control process is not running.
    pub fn tear_log(&self, index: usize) {
        let Some(data) = self.plans.borrow()[index].data_folder.clone() else { return };
        for file in log_files(&data) {
            let opened = std::fs::OpenOptions::new().append(true).open(&file);
            if let Err(err) = opened.and_then(|mut f| f.write_all(&PARTIAL_RECORD)) {
                log::warn!("can't append to {}: {err}", file.display());
            }
        }
    }

    /// Makes writes of a box's control process fail as on a full disk, or succeed again.
    pub fn fill_disk(&self, index: usize, full: bool) {
        self.for_each_process(index, &[Role::Control], |managed| {
            if let Err(err) = managed.process.limit_file_size(full.then_some(0)) {
                log::warn!("can't limit file sizes of {}: {err}", managed.process.name);
            }
        });
    }

    /// Makes the control process of a box start with a disk that takes no bytes, or no longer.
    pub fn fill_disk_at_start(&self, index: usize, full: bool) {
        self.for_each_process(index, &[Role::Control], |managed| {
            managed.process.limit_file_size_at_start(full.then_some(0));
        });
        if !full {
            self.fill_disk(index, false);
        }
    }

    /// Holds the proxied port at `position` of a box that is not running, until the listener is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub fn hold_port(&self, index: usize, position: usize) -> std::io::Result<TcpListener> {
        let plans = self.plans.borrow();
        let plan = &plans[index];
        TcpListener::bind((plan.listen_ip, plan.ports.proxied()[position]))
    }

    /// Restarts processes that end while they should be running, until the run stops.
    pub async fn supervise(self: Rc<Self>) {
        while !self.cx.stop.is_set() {
            compio::time::sleep(POLL_INTERVAL).await;
            for index in 0..self.boxes() {
                if self.record_ends_of(index) {
                    compio::time::sleep(RESTART_DELAY).await;
                    self.restart_exited(index);
                }
            }
        }
    }

    /// Looks at the memory of all processes repeatedly, until the run stops. A look at a process that
    /// has just ended is passed over: its end is recorded elsewhere.
    pub async fn watch_memory(self: Rc<Self>) {
        while !self.cx.stop.is_set() {
            compio::time::sleep(POLL_INTERVAL * POLLS_PER_SAMPLE).await;
            for managed in self.processes.borrow().iter().flatten() {
                let Ok(usage) = managed.process.usage() else { continue };
                let (name, at) = (&managed.process.name, self.started.elapsed());
                self.cx.record.note_memory(name, managed.starts, usage.memory, at);
            }
        }
    }

    /// Returns the most memory of a process of each role, in megabytes.
    pub fn memory_peaks(&self) -> BTreeMap<String, u64> {
        let mut peaks = BTreeMap::new();
        for ((process, _), peak) in self.cx.record.memory.borrow().iter() {
            let role = process.rsplit('-').next().unwrap_or(process);
            let most: &mut u64 = peaks.entry(role.to_owned()).or_default();
            *most = (*most).max(peak.bytes / MEGABYTE);
        }
        peaks
    }

    /// Records the ends of processes that were not noticed yet.
    pub fn record_ends(&self) {
        for index in 0..self.boxes() {
            self.record_ends_of(index);
        }
    }

    /// Records the ends of a box's processes. Returns whether any process has to be restarted.
    fn record_ends_of(&self, index: usize) -> bool {
        let mut must_restart = false;
        self.for_each_process(index, &ALL_ROLES, |managed| {
            must_restart |= self.has_ended(managed) && managed.should_run;
        });
        must_restart
    }

    /// Returns whether a process has ended, and records its end when it is first seen.
    fn has_ended(&self, managed: &mut ManagedProcess) -> bool {
        let has_ended = managed.process.has_ended();
        self.record_end(managed);
        has_ended
    }

    /// Records the end of a process that was reaped, once.
    fn record_end(&self, managed: &mut ManagedProcess) {
        let Some(status) = managed.process.take_exit() else { return };
        let since_start = |(signal, at): &(i32, Instant)| (*signal, *at - self.started);
        let log = managed.process.log();
        let lines: Vec<&str> = log.lines().filter(|line| is_message(line)).collect();
        self.cx.record.ends.borrow_mut().push(ProcessEnd {
            process: managed.process.name.clone(),
            status,
            at: self.started.elapsed(),
            age: managed.started.elapsed(),
            signals: managed.signals.iter().map(since_start).collect(),
            log: lines[lines.len().saturating_sub(LOG_LINES)..].join(" / "),
        });
    }

    /// Restarts the processes of a box that should be running but have exited.
    fn restart_exited(&self, index: usize) {
        self.for_each_process(index, &ALL_ROLES, |managed| {
            if managed.should_run && self.has_ended(managed) {
                self.restart(index, managed);
            }
        });
    }

    /// Applies `act` to the processes of a box that have one of `roles`.
    fn for_each_process(
        &self,
        index: usize,
        roles: &[Role],
        mut act: impl FnMut(&mut ManagedProcess),
    ) {
        let mut processes = self.processes.borrow_mut();
        let Some(box_processes) = processes.get_mut(index) else { return };
        box_processes.iter_mut().filter(|managed| roles.contains(&managed.role)).for_each(&mut act);
    }
}

/// Returns whether a line of a log is none of a backtrace.
fn is_message(line: &str) -> bool {
    let text = line.trim_start();
    let is_frame = text.split_once(": ").is_some_and(|(n, _)| n.parse::<u32>().is_ok());
    !(text.is_empty() || is_frame || text.starts_with("at ") || text.ends_with("backtrace:"))
}

/// Returns the log files in a data folder.
fn log_files(data: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(data) else { return Vec::new() };
    let is_log = |path: &PathBuf| {
        path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with("log"))
    };
    entries.flatten().map(|entry| entry.path()).filter(is_log).collect()
}
