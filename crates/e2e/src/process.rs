//! Processes of a test fleet.

use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context as _;

/// Clock ticks per second in `/proc/{pid}/stat` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Size of a memory page, in bytes.
const PAGE_SIZE: u64 = 4_096;

/// Held while a process is spawned and while free ports are reserved.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Prevents this test program from spawning processes while the guard is held.
///
/// Between `fork` and `exec`, a child inherits all listening sockets of this program, so a port
/// that was just released cannot be bound again. With six threads that spawn processes, this
/// failed four times in ten.
pub fn lock_process_spawning() -> MutexGuard<'static, ()> {
    // The mutex protects no data, so a panic of a holder leaves nothing inconsistent.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// User and system CPU time.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name used in error messages.
    pub name: String,
    bin: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    /// How the process ended, until the caller takes it.
    exit: Option<ExitStatus>,
    /// Limit of the size of files at each start.
    file_size_at_start: Option<u64>,
}

impl Process {
    /// Starts a binary of this workspace and appends its output to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary was not built or cannot be spawned.
    pub fn start(name: &str, bin: &str, args: Vec<String>, log: PathBuf) -> anyhow::Result<Self> {
        let bin = find_binary(bin)?;
        let mut process = Self {
            name: name.to_owned(),
            bin,
            args,
            log,
            child: None,
            exit: None,
            file_size_at_start: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Kills the process if it is running and starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the process cannot be spawned.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.kill();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.bin);
        command.args(&self.args).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        if let Some(bytes) = self.file_size_at_start {
            let limit = file_size_limit(Some(bytes));
            // SAFETY: `prlimit` is a plain system call, which may follow a fork, and allocates no
            // memory; `limit` lives in the closure.
            unsafe { command.pre_exec(move || set_file_size_limit(0, &limit)) };
        }
        let spawn_guard = lock_process_spawning();
        let child = command.spawn().with_context(|| format!("start {}", self.bin.display()))?;
        drop(spawn_guard);
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            self.exit = child.wait().ok();
        }
    }

    /// Returns the process id, or `None` if the process was killed or reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the process id in the type that system calls take.
    fn pid(&self) -> Option<libc::pid_t> {
        libc::pid_t::try_from(self.id()?).ok()
    }

    /// Limits the size of files that the process writes, in bytes; `None` removes the limit.
    ///
    /// A write beyond the limit fails like one on a full disk if the process ignores `SIGXFSZ`.
    ///
    /// # Errors
    ///
    /// Returns the error of `prlimit`.
    pub fn limit_file_size(&self, bytes: Option<u64>) -> std::io::Result<()> {
        let Some(pid) = self.pid() else { return Ok(()) };
        set_file_size_limit(pid, &file_size_limit(bytes))
    }

    /// Limits the size of files that the process writes from each later start on, as
    /// [`Self::limit_file_size`] does for one that runs.
    pub fn limit_file_size_at_start(&mut self, bytes: Option<u64>) {
        self.file_size_at_start = bytes;
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: `kill` has no memory effects, and the pid belongs to a child not yet reaped.
            unsafe { libc::kill(pid, signal) };
        }
    }

    /// Suspends the process with `SIGSTOP` until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns whether the process has exited, and reaps it if so.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let Ok(Some(status)) = child.try_wait() else { return false };
        // The kernel may reuse the pid once the child is reaped.
        self.child = None;
        self.exit = Some(status);
        true
    }

    /// Returns the status with which the process ended, unless it was taken.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.exit
    }

    /// Takes the status with which the process ended, once it was reaped.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        self.exit.take()
    }

    /// Waits until the process exits; returns `false` if it did not within `limit`.
    pub async fn wait_end(&mut self, limit: Duration) -> bool {
        let started = Instant::now();
        while !self.has_ended() {
            if started.elapsed() > limit {
                return false;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Returns the CPU time used so far and the resident memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.id().context("the process has exited")?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The process name in parentheses may contain spaces; later fields do not.
        let fields = stat.rsplit_once(')').context("stat")?.1;
        let field = |i: usize| fields.split_whitespace().nth(i).and_then(|f| f.parse::<u64>().ok());
        let ticks = field(11).context("utime")? + field(12).context("stime")?;
        let pages = field(21).context("rss")?;
        Ok(Usage {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory: pages * PAGE_SIZE,
        })
    }

    /// Returns the log written so far, or an empty string if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}

/// Returns the limit of the size of files, in bytes; `None` is no limit.
fn file_size_limit(bytes: Option<u64>) -> libc::rlimit {
    libc::rlimit { rlim_cur: bytes.unwrap_or(libc::RLIM_INFINITY), rlim_max: libc::RLIM_INFINITY }
}

/// Limits the size of files that a process writes, where 0 is the calling process.
fn set_file_size_limit(pid: libc::pid_t, limit: &libc::rlimit) -> std::io::Result<()> {
    // SAFETY: `limit` outlives the call. The pid is 0 or belongs to a child not yet reaped.
    let result = unsafe { libc::prlimit(pid, libc::RLIMIT_FSIZE, limit, std::ptr::null_mut()) };
    if result == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
}

/// Runs a binary of this workspace to completion; returns its exit code, or -1 if a signal ended
/// it, and its standard output followed by its standard error.
///
/// # Errors
///
/// Returns an error if the binary was not built or cannot be spawned.
pub fn run(bin: &str, args: &[&str]) -> anyhow::Result<(i32, String)> {
    let output = Command::new(find_binary(bin)?).args(args).stdin(Stdio::null()).output()?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned()))
}

/// Finds a built binary of this workspace near the running test executable.
fn find_binary(name: &str) -> anyhow::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let dirs = exe.ancestors().skip(1).take(3);
    let binary = dirs.map(|dir: &Path| dir.join(name)).find(|path| path.is_file());
    binary.with_context(|| format!("{name} is not built: run `cargo build --workspace` first"))
}
