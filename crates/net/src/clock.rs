//! Monotonic clock for leases and timeouts that includes time spent suspended.
//!
//! A box may be suspended for seconds. The monotonic clock of the standard library stops during
//! that time: after a resume, leases, confirmations and answers would seem no older than before the
//! suspension, and a former leader would answer with stale data. This clock does not stop.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Reference point: an [`Instant`] and the time since boot at that instant.
static BASE: OnceLock<(Instant, Duration)> = OnceLock::new();
/// Total time added by [`skip`], in milliseconds.
static SKIPPED_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the current instant. The clock never goes backwards and includes suspensions of the
/// machine. Its instants may be compared only with each other.
pub fn now() -> Instant {
    let (base, base_since_boot) = *BASE.get_or_init(|| (Instant::now(), since_boot()));
    base + since_boot().saturating_sub(base_since_boot)
}

/// Returns the time elapsed since an instant of this clock.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// Advances the clock by `by`, as a suspension does. For tests only, in a process of their own,
/// because it affects the whole process.
pub fn skip(by: Duration) {
    let by = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
    SKIPPED_MS.fetch_add(by, Ordering::Relaxed);
}

/// Returns the time since boot, including suspensions.
fn since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(at.tv_sec).unwrap_or_default());
    let nanos = Duration::from_nanos(u64::try_from(at.tv_nsec).unwrap_or_default());
    seconds + nanos + Duration::from_millis(SKIPPED_MS.load(Ordering::Relaxed))
}
