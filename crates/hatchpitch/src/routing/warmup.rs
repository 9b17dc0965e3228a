//! Rate limit for requests to a cold runner.
//!
//! Load patterns covered: the runners of a failure domain come back together or their evacuation
//! ends, so that they are cold but the least loaded of all; and single runners become cold at any
//! time. A cold runner fails under a load well above a rate that operators know, whichever boxes
//! send it. Where one box decides for the runner, that box keeps to the rate. Where every box
//! decides for itself, each has one send window in a period that is long enough for the windows of
//! all boxes. An unused window is lost: saved windows would all be used at once in a burst of
//! callers.

use std::time::Instant;

/// Maximum length of a send window, in seconds. With this length, all boxes together may send a
/// quarter more than the rate within any second, while callers that send a few requests per second
/// to each box still reach a box whose window is open.
const MAX_WINDOW: f64 = 0.25;

/// Rate limit of one box for a cold runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that the runner sustains while it is cold, from all boxes together.
    pub rate: f64,
    /// Number of boxes that send to it by their own decision; 1 where one box decides.
    pub senders: usize,
    /// Start of this box's send window, as a fraction of the period from 0 to 1.
    pub phase: f64,
}

impl ColdLimit {
    /// Returns the length of the period in which this box has one window, in seconds.
    fn period(&self) -> f64 {
        self.senders.max(1) as f64 / self.rate
    }
}

/// One period of time during which a runner is cold.
#[derive(Debug, Clone, Copy)]
struct ColdPhase {
    started: Instant,
    until: Instant,
    /// Number of the send window that was used last.
    last_window: Option<u64>,
}

/// Whether a runner is cold, and which send windows were used since it became so.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmupLimiter {
    cold: Option<ColdPhase>,
}

impl WarmupLimiter {
    /// Sets the time at which the runner will be warm. It is warm already if that time has passed.
    pub fn set_until(&mut self, until: Instant, now: Instant) {
        if until <= now {
            self.cold = None;
            return;
        }
        match &mut self.cold {
            Some(cold) if now < cold.until => cold.until = until,
            _ => self.cold = Some(ColdPhase { started: now, until, last_window: None }),
        }
    }

    /// Returns whether the runner is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    /// Returns whether this box may send a request to the runner now.
    pub fn admits(&self, limit: Option<ColdLimit>, now: Instant) -> bool {
        match (self.cold, limit) {
            (Some(cold), Some(limit)) if now < cold.until => open_window(&cold, &limit, now)
                .is_some_and(|window| cold.last_window.is_none_or(|last| last < window)),
            _ => true,
        }
    }

    /// Records that this box sends a request to the runner, which uses up the open window.
    pub fn record_send(&mut self, limit: Option<ColdLimit>, now: Instant) {
        if let (Some(cold), Some(limit)) = (&mut self.cold, limit) {
            cold.last_window = open_window(cold, &limit, now).or(cold.last_window);
        }
    }
}

/// Returns the number of this box's send window that is open now, if any.
fn open_window(cold: &ColdPhase, limit: &ColdLimit, now: Instant) -> Option<u64> {
    let period = limit.period();
    let periods = now.duration_since(cold.started).as_secs_f64() / period + 1.0 - limit.phase;
    let is_open = periods.fract() * period < MAX_WINDOW.min(period);
    // Truncates to the number of whole periods since the runner became cold, far below 2^64.
    is_open.then_some(periods as u64)
}
