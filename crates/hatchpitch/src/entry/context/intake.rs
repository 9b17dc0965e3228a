//! Decides whether a box takes a request, before anything of the request is looked at.

use std::time::Duration;

use hatchpitch_net::clock;
use http::StatusCode;

use super::{EntryCx, Intake};
use crate::drain::Stopping;
use crate::outcome::Problem;

/// Maximum time that a request waits for the configuration. It covers a start, an election and the
/// delivery of the configuration.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(2_000);
/// Divisor of a caller's time limit that gives the time its request may wait for the configuration.
/// With 3, two more attempts fit, which may reach boxes that have the configuration.
const CONFIG_WAIT_DIVISOR: u32 = 3;
/// Interval at which a waiting request checks for the configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl EntryCx {
    /// Waits until this box has a fresh configuration, for at most `MAX_CONFIG_WAIT`. After a
    /// start the configuration may be missing until the control boxes have elected a leader, and a
    /// late answer is better for callers than a refusal. For a caller with a time limit the wait is
    /// shorter, so that it can still try another box.
    ///
    /// # Errors
    ///
    /// Returns a problem if this box stops and the request cannot be served any more.
    pub async fn await_config(&self, caller_timeout: Option<Duration>) -> Result<(), Problem> {
        let limit = caller_timeout.map_or(MAX_CONFIG_WAIT, |timeout| {
            (timeout / CONFIG_WAIT_DIVISOR).min(MAX_CONFIG_WAIT)
        });
        let started = clock::now();
        let is_missing = || self.config.number() == 0 || !self.config_is_fresh();
        while is_missing() && clock::since(started) < limit {
            let pause = compio::time::sleep(CONFIG_POLL_INTERVAL);
            self.drain.wait("", pause).await.map_err(Stopping::problem)?;
        }
        Ok(())
    }

    /// Checks that the box is not stopping and that its configuration is fresh.
    ///
    /// # Errors
    ///
    /// Returns the problem with which new work is refused, with the time after which to retry.
    pub fn check_intake(&self) -> Result<(), Problem> {
        if self.intake.get() == Intake::Closed {
            return Err(Stopping.problem());
        }
        self.check_config_known()?;
        if !self.config_is_fresh() {
            let message = "this box is cut off and its configuration may be old; use another one";
            let problem =
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "config_stale", message);
            return Err(problem.retry_after(self.short_retry()));
        }
        Ok(())
    }

    /// Checks that the box has a configuration, without which it knows no route and no key.
    ///
    /// # Errors
    ///
    /// Returns the problem with which requests are refused, with the time after which to retry.
    pub fn check_config_known(&self) -> Result<(), Problem> {
        if self.config.number() > 0 {
            return Ok(());
        }
        let message = "this box knows no configuration yet";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_config", message);
        Err(problem.retry_after(self.short_retry()))
    }
}
