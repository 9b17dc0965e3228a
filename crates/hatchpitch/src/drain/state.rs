//! When a stopping box gives up requests that have not started.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use hatchpitch_net::{Stop, StopHandle, clock, stop_pair};
use http::StatusCode;

use super::estimates::{RunEstimates, RunTimer};
use crate::dispatch::Refusal;
use crate::outcome::Problem;

/// Cause of the refusal of a request that a stopping box cannot serve in time.
pub const STOPPING: &str = "this box is stopping; use another one";
/// Time before the end of the process by which every waiting request is refused, so that the
/// refusals reach their callers on a busy machine.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// The same for a process that is given little time, as a fraction of that time.
const ANSWER_FRACTION: u32 = 4;
/// Interval at which a stopping box checks whether it is too late for its waiting requests.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request that has not started cannot be served before the box is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopping;

impl Stopping {
    /// Returns the refusal of the request. Another box can take it at once.
    pub fn refusal(self) -> Refusal {
        Refusal::new(STOPPING, Duration::ZERO)
    }

    /// Returns the problem for a request that was not run.
    pub fn problem(self) -> Problem {
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", STOPPING);
        problem.retry_after(Duration::ZERO)
    }
}

/// The graceful shutdown of this box.
pub struct Drain {
    /// Time from the begin of the shutdown until the process ends or is killed.
    limit: Duration,
    begun: Cell<Option<Instant>>,
    /// Dropped when the shutdown begins, which wakes waiting requests.
    handle: RefCell<Option<StopHandle>>,
    begins: Stop,
    estimates: Rc<RefCell<RunEstimates>>,
}

impl Drain {
    /// Creates the state of a box that is not stopping. `limit` is the time from the begin of its
    /// shutdown until its process ends or is killed.
    pub fn new(limit: Duration) -> Self {
        let (handle, begins) = stop_pair();
        Self {
            limit,
            begun: Cell::new(None),
            handle: RefCell::new(Some(handle)),
            begins,
            estimates: Rc::default(),
        }
    }

    /// Begins the shutdown. Has no effect if it has begun.
    pub fn begin(&self, now: Instant) {
        if self.begun.get().is_none() {
            self.begun.set(Some(now));
            self.handle.borrow_mut().take();
        }
    }

    /// Returns when the process ends or is killed, if the shutdown has begun.
    pub fn ends_at(&self) -> Option<Instant> {
        self.begun.get().map(|begun| begun + self.limit)
    }

    /// Returns the time that is left for a request of a kind to start, so that it can be served
    /// before the process ends; `None` if the box is not stopping.
    pub fn time_to_start(&self, kind: &str, now: Instant) -> Option<Duration> {
        let ends_at = self.ends_at()?;
        let run = self.estimates.borrow().estimate(kind, now);
        let answer_time = ANSWER_TIME.min(self.limit / ANSWER_FRACTION);
        Some(ends_at.saturating_duration_since(now + run.max(answer_time)))
    }

    /// Returns whether it is too late for a request of a kind to start.
    pub fn is_too_late(&self, kind: &str, now: Instant) -> bool {
        self.time_to_start(kind, now).is_some_and(|left| left.is_zero())
    }

    /// Starts the timer of a run of a kind.
    pub fn start_run(&self, kind: &str) -> RunTimer {
        RunTimer::start(&self.estimates, kind, clock::now())
    }

    /// Runs `work`, on which a request of a kind waits before it starts, and drops it as soon as it
    /// is too late for the request.
    ///
    /// # Errors
    ///
    /// Returns [`Stopping`] if it is too late.
    pub async fn wait<T>(&self, kind: &str, work: impl Future<Output = T>) -> Result<T, Stopping> {
        if self.is_too_late(kind, clock::now()) {
            return Err(Stopping);
        }
        let too_late = self.until_too_late(kind);
        futures_util::pin_mut!(work, too_late);
        match select(work, too_late).await {
            Either::Left((done, _)) => Ok(done),
            Either::Right(((), _)) => Err(Stopping),
        }
    }

    /// Waits until it is too late for a request of a kind to start. The estimates may change
    /// meanwhile.
    async fn until_too_late(&self, kind: &str) {
        self.begins.wait().await;
        while !self.is_too_late(kind, clock::now()) {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
