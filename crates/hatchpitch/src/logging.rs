//! Rate-limited logging as JSON lines on standard output.
//!
//! Key-value pairs of a record become fields of its line. Lines beyond the rate
//! limit are dropped and counted; warnings and errors have a limit of their own,
//! so that a flood of routine lines does not hide them. A slow reader never
//! blocks the process: lines that would block are dropped as well.

use std::cell::Cell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hatchpitch_net::clock;
use log::LevelFilter;

/// Target of the lines about the start and end of a process.
const LIFECYCLE: &str = "hatchpitch::lifecycle";
/// Level until the settings are known.
const FIRST_LEVEL: LevelFilter = LevelFilter::Info;

/// Name of the box, once the settings are known.
static BOX_NAME: OnceLock<String> = OnceLock::new();

/// Installs the logger. Its lines name no box until [`set_box`].
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start() -> Result<(), log::SetLoggerError> {
    let own = LevelFilter::Trace;
    let (_, logger) = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("hatchpitch", own)
        .level_for("hatchpitch_net", own)
        .level_for("hatchpitch_entry", own)
        .level_for("hatchpitch_control", own)
        .level_for("hatchpitch_platform", own)
        .level_for("span", own)
        // What ended a process must not be lost among the lines about it.
        .filter(|meta| meta.target() == LIFECYCLE || within_limit(meta.level()))
        .format(move |out, message, record| {
            let mut line = serde_json::Map::new();
            line.insert("time_ms".to_owned(), unix_ms().into());
            line.insert("level".to_owned(), record.level().as_str().into());
            line.insert("box".to_owned(), BOX_NAME.get().map_or("", String::as_str).into());
            line.insert("target".to_owned(), record.target().into());
            line.insert("message".to_owned(), message.to_string().into());
            if record.key_values().visit(&mut Fields(&mut line)).is_err() {
                line.insert("fields".to_owned(), "unreadable".into());
            }
            out.finish(format_args!("{}", serde_json::Value::Object(line)));
        })
        .chain(Box::new(NonBlockingWriter::new(io::stdout())) as Box<dyn Write + Send>)
        .into_log();
    log::set_boxed_logger(logger)?;
    log::set_max_level(FIRST_LEVEL);
    Ok(())
}

/// Names box `name` in further lines and logs at `level`.
pub fn set_box(name: &str, level: LevelFilter) {
    // The first name stays: a process runs one box.
    let _ = BOX_NAME.set(name.to_owned());
    log::set_max_level(level);
}

/// Writes the key-value pairs of a record into its line.
struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Lines dropped since the last report because the write would block or failed.
static UNWRITABLE_LINES: AtomicU32 = AtomicU32::new(0);
/// Longest line in bytes; longer lines are dropped. A pipe that polls as writable accepts this
/// much without blocking.
const MAX_LINE_BYTES: usize = 4_096;

/// Writes whole lines to a file, pipe or terminal, and drops lines that would block.
pub struct NonBlockingWriter<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write + AsFd> NonBlockingWriter<W> {
    /// Creates a writer on top of `out`.
    pub fn new(out: W) -> Self {
        Self { out, line: Vec::new() }
    }

    fn is_writable(&self) -> bool {
        use rustix::event::{PollFd, PollFlags, Timespec, poll};
        let mut fds = [PollFd::new(&self.out, PollFlags::OUT)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut fds, Some(&now)).is_ok_and(|ready| ready > 0)
            && fds[0].revents().contains(PollFlags::OUT)
    }
}

impl<W: Write + AsFd> Write for NonBlockingWriter<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    /// Writes the buffered line if that does not block. A line that cannot be written, for example
    /// because the disk is full, is counted as dropped: reported as an error, it would terminate
    /// the task that logs.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        let fits = line.len() <= MAX_LINE_BYTES && self.is_writable();
        if !fits || self.out.write_all(&line).and_then(|()| self.out.flush()).is_err() {
            UNWRITABLE_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Limit for lines below the level of a warning, per second: about ten times what a box writes
/// under typical load.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Limit for warnings and errors, per second.
const MAX_WARNINGS_PER_SECOND: u32 = 50;
const SECOND: Duration = Duration::from_secs(1);

/// Lines counted in the current one-second window.
#[derive(Clone, Copy)]
struct Window {
    started: Option<Instant>,
    lines: u32,
    warnings: u32,
    dropped: u32,
}

thread_local! {
    static WINDOW: Cell<Window> =
        const { Cell::new(Window { started: None, lines: 0, warnings: 0, dropped: 0 }) };
}

/// Counts a line and returns whether it is within the rate limit of its level.
fn within_limit(level: log::Level) -> bool {
    let mut window = WINDOW.get();
    if window.started.is_none_or(|started| clock::since(started) >= SECOND) {
        let dropped = window.dropped + UNWRITABLE_LINES.swap(0, Ordering::Relaxed);
        window = Window { started: Some(clock::now()), lines: 0, warnings: 0, dropped: 0 };
        WINDOW.set(window);
        if dropped > 0 {
            log::warn!(left_out = dropped; "log lines left out in the last second");
        }
        window = WINDOW.get();
    }
    let (count, limit) = match level {
        log::Level::Error | log::Level::Warn => (&mut window.warnings, MAX_WARNINGS_PER_SECOND),
        _ => (&mut window.lines, MAX_LINES_PER_SECOND),
    };
    *count += 1;
    let within_limit = *count <= limit;
    window.dropped += u32::from(!within_limit);
    WINDOW.set(window);
    within_limit
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
