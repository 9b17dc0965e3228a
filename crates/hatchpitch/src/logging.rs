//! Logs as JSON lines on standard output, bounded in number.
//!
//! Key-value pairs of a record become fields of its line. Under load, lines
//! beyond the bound are left out and counted; warnings and errors have a bound
//! of their own, so that a flood of routine lines does not hide them. A reader
//! that is behind never holds the process up: lines it has no room for are left
//! out as well.

use std::cell::Cell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hatchpitch_net::clock;
use log::LevelFilter;

/// Starts logging at `level` for the process of box `name`.
///
/// # Errors
///
/// Returns an error if logging was started before.
pub fn start(name: &str, level: LevelFilter) -> anyhow::Result<()> {
    let name = name.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("hatchpitch", level)
        .level_for("hatchpitch_net", level)
        .level_for("hatchpitch_entry", level)
        .level_for("hatchpitch_control", level)
        .level_for("hatchpitch_platform", level)
        .level_for("span", level)
        .filter(|meta| allowed(meta.level()))
        .format(move |out, message, record| {
            let mut line = serde_json::Map::new();
            line.insert("time_ms".to_owned(), unix_ms().into());
            line.insert("level".to_owned(), record.level().as_str().into());
            line.insert("box".to_owned(), name.as_str().into());
            line.insert("target".to_owned(), record.target().into());
            line.insert("message".to_owned(), message.to_string().into());
            if record.key_values().visit(&mut Fields(&mut line)).is_err() {
                line.insert("fields".to_owned(), "unreadable".into());
            }
            out.finish(format_args!("{}", serde_json::Value::Object(line)));
        })
        .chain(Box::new(PatientWriter::new(io::stdout())) as Box<dyn Write + Send>)
        .apply()?;
    Ok(())
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

/// Lines that found no room, or could not be written, since the last note of lines left out.
static NO_ROOM: AtomicU32 = AtomicU32::new(0);
/// Bytes that a pipe takes without blocking once it is ready; a longer line is left out.
const MAX_LINE: usize = 4_096;

/// Writes whole lines to a file, pipe or terminal, and leaves out those that would block.
pub struct PatientWriter<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write + AsFd> PatientWriter<W> {
    /// Creates a writer.
    pub fn new(out: W) -> Self {
        Self { out, line: Vec::new() }
    }

    fn has_room(&self) -> bool {
        use rustix::event::{PollFd, PollFlags, Timespec, poll};
        let mut fds = [PollFd::new(&self.out, PollFlags::OUT)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut fds, Some(&now)).is_ok_and(|ready| ready > 0)
            && fds[0].revents().contains(PollFlags::OUT)
    }
}

impl<W: Write + AsFd> Write for PatientWriter<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    /// Writes what was gathered if there is room for it now. A line that can't be written, as on
    /// a full disk, counts as left out: reported as an error, it would end the task that logs.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        let fits = line.len() <= MAX_LINE && self.has_room();
        if !fits || self.out.write_all(&line).and_then(|()| self.out.flush()).is_err() {
            NO_ROOM.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Routine lines a second: about ten times what a box writes at its usual load.
const LINES_PER_SECOND: u32 = 200;
/// Warnings and errors a second.
const WARNINGS_PER_SECOND: u32 = 50;
const SECOND: Duration = Duration::from_secs(1);

/// Lines written and left out in the present second.
#[derive(Clone, Copy)]
struct Written {
    since: Option<Instant>,
    lines: u32,
    warnings: u32,
    left_out: u32,
}

thread_local! {
    static WRITTEN: Cell<Written> =
        const { Cell::new(Written { since: None, lines: 0, warnings: 0, left_out: 0 }) };
}

/// Returns whether one more line may be written now.
fn allowed(level: log::Level) -> bool {
    let mut written = WRITTEN.get();
    if written.since.is_none_or(|since| clock::since(since) >= SECOND) {
        let left_out = written.left_out + NO_ROOM.swap(0, Ordering::Relaxed);
        written = Written { since: Some(clock::now()), lines: 0, warnings: 0, left_out: 0 };
        WRITTEN.set(written);
        if left_out > 0 {
            log::warn!(left_out = left_out; "log lines left out in the last second");
        }
        written = WRITTEN.get();
    }
    let (count, bound) = match level {
        log::Level::Error | log::Level::Warn => (&mut written.warnings, WARNINGS_PER_SECOND),
        _ => (&mut written.lines, LINES_PER_SECOND),
    };
    *count += 1;
    let allowed = *count <= bound;
    written.left_out += u32::from(!allowed);
    WRITTEN.set(written);
    allowed
}

/// Returns the wall clock in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
