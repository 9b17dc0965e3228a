//! Repeats a step of the start that may succeed later, such as binding a port that is in use.
//!
//! Nothing that may pass by itself ends a process: it would fail again at each restart, and take
//! with it what the process can serve meanwhile.

use std::fmt::Display;
use std::time::Duration;

/// Longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Attempts at one step.
#[derive(Debug)]
pub struct Retry {
    what: String,
    pause: Duration,
    /// Cause of the last failure.
    cause: String,
}

impl Retry {
    /// Creates the attempts at the step that log lines call `what`.
    pub fn new(what: String) -> Self {
        Self { what, pause: FIRST_PAUSE, cause: String::new() }
    }

    /// Waits after a failure. Logs the cause if it isn't that of the last one.
    pub async fn failed(&mut self, cause: impl Display) {
        let cause = cause.to_string();
        if cause != self.cause {
            log::warn!(
                step = self.what.as_str(), cause = cause.as_str();
                "a step of the start failed; the process goes on without it and tries again"
            );
            self.cause = cause;
        }
        compio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Logs that the step succeeded, if it failed before.
    pub fn succeeded(self) {
        if !self.cause.is_empty() {
            log::info!(step = self.what.as_str(); "a step of the start succeeded after all");
        }
    }
}
