//! One process of a test fleet.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context as _;

/// Clock ticks a second that the kernel reports in.
const TICKS: u64 = 100;
/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Held while a process is started, and while ports are looked for.
static STARTING: Mutex<()> = Mutex::new(());

/// Keeps this program from starting processes. One that was forked and has not begun its own
/// program yet holds all listeners of this one open, so that a port that was just given back
/// can't be bound: with six threads that start processes, four times in ten.
pub fn no_process_starts() -> MutexGuard<'static, ()> {
    // The guard protects no data that a panic could have left half changed.
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Memory in use, in bytes.
    pub memory: u64,
}

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name for messages.
    pub name: String,
    bin: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program of this workspace; its log is appended to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program was not built or does not start.
    pub fn start(name: &str, bin: &str, args: Vec<String>, log: PathBuf) -> anyhow::Result<Self> {
        let bin = program(bin)?;
        let mut process = Self { name: name.to_owned(), bin, args, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again after it ended.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.kill();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let starting = no_process_starts();
        let child = Command::new(&self.bin)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {}", self.bin.display()))?;
        drop(starting);
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the id of the running process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the id of the running process as system calls take it.
    fn pid(&self) -> Option<libc::pid_t> {
        libc::pid_t::try_from(self.id()?).ok()
    }

    /// Bounds the size of the files that the process writes; `None` takes the bound away. A
    /// write beyond it fails as on a full disk, as long as the process ignores `SIGXFSZ`.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn bound_files(&self, bytes: Option<u64>) -> std::io::Result<()> {
        let Some(pid) = self.pid() else { return Ok(()) };
        let limit = libc::rlimit {
            rlim_cur: bytes.unwrap_or(libc::RLIM_INFINITY),
            rlim_max: libc::RLIM_INFINITY,
        };
        // SAFETY: the limit outlives the call; the id is that of a child not yet waited for.
        let set = unsafe {
            libc::prlimit(pid, libc::RLIMIT_FSIZE, &raw const limit, std::ptr::null_mut())
        };
        if set == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: `kill` has no memory effects; the id is that of a child not yet waited for.
            unsafe { libc::kill(pid, signal) };
        }
    }

    /// Stops the process from running until [`Self::thaw`].
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a frozen process run again.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            // Its id may be given to another process from now on.
            self.child = None;
        }
        ended
    }

    /// Waits until the process ends; returns whether it did within `limit`.
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

    /// Returns the processor time used so far and the memory in use, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.id().context("the process has ended")?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name in brackets may hold blanks; what follows it does not.
        let rest = stat.rsplit_once(')').context("stat")?.1;
        let field = |i: usize| rest.split_whitespace().nth(i).and_then(|f| f.parse::<u64>().ok());
        let ticks = field(11).context("utime")? + field(12).context("stime")?;
        let pages = field(21).context("rss")?;
        Ok(Usage { cpu: Duration::from_millis(ticks * 1_000 / TICKS), memory: pages * PAGE })
    }

    /// Returns the log so far.
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

/// Runs a program of this workspace to its end; returns its exit code and what it printed.
///
/// # Errors
///
/// Returns an error if the program was not built or does not start.
pub fn run(bin: &str, args: &[&str]) -> anyhow::Result<(i32, String)> {
    let output = Command::new(program(bin)?).args(args).stdin(Stdio::null()).output()?;
    let text = [output.stdout, output.stderr].concat();
    Ok((output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned()))
}

/// Finds a program that this workspace built, beside the running test.
fn program(name: &str) -> anyhow::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let folders = exe.ancestors().skip(1).take(3);
    let found = folders.map(|folder: &Path| folder.join(name)).find(|path| path.is_file());
    found.with_context(|| format!("{name} is not built: run `cargo build --workspace` first"))
}
