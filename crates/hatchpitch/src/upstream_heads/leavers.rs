//! Upstreams that said in an answer that they leave, without I/O.
//!
//! Upstreams that announce themselves have a name of its own for each life, and leave once. One of
//! the fleet file keeps its name when it starts again, which nobody tells, so its word holds for a
//! time, after which a request shows whether it serves again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::RunnerName;

/// Time for which an upstream is taken to leave after it said so last: longer than a drain and a
/// start take, so that most requests after it meet the next life.
pub const HOLDS: Duration = Duration::from_secs(30);

/// Upstreams that leave, by the names of their lives, with until when that holds.
#[derive(Debug, Clone, Default)]
pub struct Leavers(BTreeMap<RunnerName, Instant>);

impl Leavers {
    /// Notes that an upstream leaves; returns whether that is news. What another box passes on is
    /// about as old as its travel, so it counts from now.
    pub fn note(&mut self, upstream: &str, now: Instant) -> bool {
        self.0.retain(|_, until| now < *until);
        self.0.insert(upstream.to_owned(), now + HOLDS).is_none()
    }

    /// Returns whether an upstream leaves.
    pub fn contains(&self, upstream: &str, now: Instant) -> bool {
        self.0.get(upstream).is_some_and(|until| now < *until)
    }

    /// Returns the upstreams that leave.
    pub fn names(&self, now: Instant) -> Vec<RunnerName> {
        let leaving = self.0.iter().filter(|(_, until)| now < **until);
        leaving.map(|(name, _)| name.clone()).collect()
    }
}
