//! Start and end of a process.
//!
//! A process that ends without a line leaves its operators to guess, so each end that the process
//! can see is one line with the cause and the exit status, as are its start and each panic. An end
//! that it can't see, such as a kill or a loss of power, shows in the start line of the next run:
//! a file in the data folder records each end, on a best effort.

use std::any::Any;
use std::cell::Cell;
use std::fs;
use std::future::poll_fn;
use std::io;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::OnceLock;
use std::time::Duration;

use anyhow::Context as _;
use futures_util::future::{Either, select};
use hatchpitch_net::clock;
use serde::{Deserialize, Serialize};

use crate::logging::{self, unix_ms};
use crate::signals::{self, StopSignals};

/// Exit status of a process that stopped in order.
const STOPPED: u8 = 0;
/// Exit status of a process that can't run, for example because of its settings.
const FAILED: u8 = 1;
/// Exit status of a process that ends because of a panic, as in the standard library.
pub const PANICKED: u8 = 101;
/// Longest cause or panic message in a line, in characters: too long a line would be dropped.
const MAX_CAUSE_CHARS: usize = 1_024;
/// Name of the file that records how the last run ended.
const RECORD: &str = "last-run";
/// What the start line says if nothing is known about the end of the last run.
const UNKNOWN: &str = "unknown";
/// Time for which a process waits for settings that it can read, since their file last changed. A
/// file that is being written or moved into place is complete long before.
const SETTINGS_PATIENCE: Duration = Duration::from_secs(10);
/// Interval between attempts to read the settings.
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Folder of the record, if the process has one.
static RECORD_FOLDER: OnceLock<PathBuf> = OnceLock::new();

thread_local! {
    /// Name of the essential task that runs now, for the line about a panic.
    static TASK: Cell<Option<&'static str>> = const { Cell::new(None) };
}

/// What the file in the data folder records.
#[derive(Debug, Serialize, Deserialize)]
struct RunRecord {
    /// Identifies the run of the kernel: the file isn't synced, so it says nothing about a process
    /// that a loss of power may have ended.
    boot: String,
    /// How the process ended, unless it runs.
    end: Option<End>,
}

/// How a process ended.
#[derive(Debug, Serialize, Deserialize)]
struct End {
    cause: String,
    status: u8,
    time_ms: u64,
}

/// Runs `main` on a new runtime, logs how it ended and returns the exit status.
pub fn run<F>(main: impl FnOnce(StopSignals) -> F) -> ExitCode
where
    F: Future<Output = anyhow::Result<()>>,
{
    begin();
    let ended = panic::catch_unwind(AssertUnwindSafe(|| {
        let runtime = compio::runtime::Runtime::new().context("runtime")?;
        runtime.block_on(async {
            signals::prevent_sighup_termination().await;
            main(StopSignals::listen().await.context("stop signals")?).await
        })
    }));
    let (cause, status) = match ended {
        Ok(Ok(())) => ("asked to stop".to_owned(), STOPPED),
        Ok(Err(err)) => (format!("{err:#}"), FAILED),
        Err(_) => ("the main task panicked".to_owned(), PANICKED),
    };
    log_end(&cause, status);
    ExitCode::from(status)
}

/// Ends the process with a line that says why.
pub fn end(cause: &str, status: u8) -> ! {
    log_end(cause, status);
    std::process::exit(status.into())
}

/// Starts logging and logs panics from now on. [`run`] does so as well.
pub fn begin() {
    if let Err(err) = logging::start() {
        // A program that embeds the library may have installed a logger of its own.
        log::debug!("logger: {err}");
        return;
    }
    panic::set_hook(Box::new(log_panic));
}

/// Logs the start of a process with its limits and, if a record in `data_folder` says so, how the
/// last run ended. Records ends of this run there from now on.
pub fn log_start(role: &str, memory: usize, connections: usize, data_folder: Option<&Path>) {
    let last_end = data_folder.map_or_else(|| UNKNOWN.to_owned(), begin_record);
    let memory = memory.to_string();
    let descriptors = descriptor_limit().unwrap_or_else(|| UNKNOWN.to_owned());
    log::info!(
        version = env!("CARGO_PKG_VERSION"), role = role, memory_limit_bytes = memory.as_str(),
        descriptors = descriptors.as_str(), connections = connections,
        last_end = last_end.as_str();
        "the process starts"
    );
}

/// Names `task` in the line about a panic in it.
pub async fn named<T>(name: &'static str, task: impl Future<Output = T>) -> T {
    let mut task = Box::pin(task);
    poll_fn(move |cx| {
        let outer = TASK.replace(Some(name));
        let polled = task.as_mut().poll(cx);
        TASK.set(outer);
        polled
    })
    .await
}

/// Reads the settings by `load`. A file that is missing, empty or half written is read again until
/// it's valid or has stayed unchanged for some time. Returns `None` if the process is asked to stop
/// first.
///
/// # Errors
///
/// Returns the error of `load`, which can't be expected to pass.
pub async fn await_settings<T, E: Into<anyhow::Error>>(
    path: &Path,
    stop_signals: &mut StopSignals,
    load: impl Fn(&Path) -> Result<T, E>,
) -> anyhow::Result<Option<T>> {
    let mut logged = String::new();
    let (mut seen, mut since) = (fs::read(path).ok(), clock::now());
    loop {
        let err: anyhow::Error = match load(path) {
            Ok(settings) => return Ok(Some(settings)),
            Err(err) => err.into(),
        };
        let now_seen = fs::read(path).ok();
        if now_seen != seen {
            (seen, since) = (now_seen, clock::now());
        }
        if clock::since(since) >= SETTINGS_PATIENCE {
            return Err(err);
        }
        let text = shorten(&format!("{err:#}"));
        if text != logged {
            let patience_s = SETTINGS_PATIENCE.as_secs();
            log::warn!(
                cause = text.as_str(), patience_s = patience_s;
                "the settings can't be used; waiting for the file to change"
            );
            logged = text;
        }
        let pause = Box::pin(compio::time::sleep(SETTINGS_RETRY_INTERVAL));
        if let Either::Left((asked, _)) = select(Box::pin(stop_signals.next()), pause).await {
            asked?;
            return Ok(None);
        }
    }
}

fn log_end(cause: &str, status: u8) {
    let cause = shorten(cause);
    let level = if status == STOPPED { log::Level::Info } else { log::Level::Error };
    log::log!(level, cause = cause.as_str(), status = status; "the process ends");
    record(Some(End { cause, status, time_ms: unix_ms() }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let at = info.location().map_or_else(|| UNKNOWN.to_owned(), ToString::to_string);
    let cause = shorten(panic_message(info.payload()));
    let task = TASK.take().unwrap_or(UNKNOWN);
    log::error!(at = at.as_str(), cause = cause.as_str(), task = task; "a task panicked");
}

fn panic_message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or(UNKNOWN)
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_CAUSE_CHARS).collect()
}

/// Returns how the last run ended according to the record, and records that a run has begun.
fn begin_record(folder: &Path) -> String {
    let last = fs::read(folder.join(RECORD)).ok();
    let last = last.and_then(|bytes| serde_json::from_slice::<RunRecord>(&bytes).ok());
    // The process runs once, so the folder is not set before.
    let _ = RECORD_FOLDER.set(folder.to_owned());
    record(None);
    match last {
        None => UNKNOWN.to_owned(),
        Some(last) if last.boot != boot_id() => {
            format!("{UNKNOWN}: the machine restarted since")
        }
        Some(RunRecord { end: None, .. }) => "without a line: killed or crashed".to_owned(),
        Some(RunRecord { end: Some(end), .. }) => {
            format!("{} (status {}, time_ms {})", end.cause, end.status, end.time_ms)
        }
    }
}

/// Records the state of this run. Nothing depends on the record, so a failure is only logged; a
/// record that can't be written is removed, as it would describe an earlier run.
fn record(end: Option<End>) {
    let Some(folder) = RECORD_FOLDER.get() else { return };
    let path = folder.join(RECORD);
    let written = serde_json::to_vec(&RunRecord { boot: boot_id(), end })
        .map_err(io::Error::from)
        .and_then(|bytes| fs::write(&path, bytes));
    if let Err(err) = written {
        log::debug!("{}: {err}", path.display());
        if let Err(err) = fs::remove_file(&path) {
            log::debug!("{}: {err}", path.display());
        }
    }
}

fn boot_id() -> String {
    let id = fs::read_to_string("/proc/sys/kernel/random/boot_id");
    id.map_or_else(|_| UNKNOWN.to_owned(), |id| id.trim().to_owned())
}

fn descriptor_limit() -> Option<String> {
    limit_of("Max open files")
}

/// Returns a soft limit of this process.
fn limit_of(name: &str) -> Option<String> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next().map(str::to_owned)
}
