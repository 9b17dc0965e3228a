//! The clock by which everything that holds for a time is measured.
//!
//! A box may be suspended for seconds. The steady clock of the standard library misses that time:
//! to a process that wakes, a lease, a confirmation or an answer of before would seem as young as
//! when it fell asleep, and a former leader would answer with what has changed since. This clock
//! counts it.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// An instant of the steady clock, and the time since the start of the machine at it.
static BASE: OnceLock<(Instant, Duration)> = OnceLock::new();
/// Time that [`skip`] added, in milliseconds.
static SKIPPED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the present instant. It never goes back, and it goes on while the machine is suspended.
/// Only instants of this clock may be compared with it.
pub fn now() -> Instant {
    let (base, at_base) = *BASE.get_or_init(|| (Instant::now(), since_start()));
    base + since_start().saturating_sub(at_base)
}

/// Returns the time since an instant of this clock.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Has the clock go on by `by`, as it does over a suspension that the steady clock misses; for
/// tests, in a process of their own.
pub fn skip(by: Duration) {
    let by = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
    SKIPPED_MS.fetch_add(by, Ordering::Relaxed);
}

/// Returns the time since the start of the machine, suspensions included.
fn since_start() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(at.tv_sec).unwrap_or_default());
    let rest = Duration::from_nanos(u64::try_from(at.tv_nsec).unwrap_or_default());
    seconds + rest + Duration::from_millis(SKIPPED_MS.load(Ordering::Relaxed))
}
