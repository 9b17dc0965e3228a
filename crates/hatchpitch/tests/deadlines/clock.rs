//! Virtual time.

use std::time::{Duration, Instant};

/// Virtual time since the start of a simulation, in microseconds.
pub type Micros = u64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Maps virtual time to instants.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    pub now: Micros,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now(), now: 0 }
    }
}

impl Clock {
    pub fn instant(&self) -> Instant {
        self.at(self.now)
    }

    pub fn at(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }
}

pub fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
