//! Upstreams that said in an answer that they leave, without I/O.
//!
//! Upstreams that announce themselves have another name in each life, and leave once. One of the
//! fleet file keeps its name when it starts again, which nobody tells, so its word holds for a time,
//! after which a request shows whether it serves again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::RunnerName;

/// Time for which an upstream is taken to leave after it said so last: longer than a drain and a
/// start take, so that most requests after it meet the next life.
pub const LEAVING_TTL: Duration = Duration::from_secs(30);

/// Tells another box that an upstream leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: RunnerName,
    /// Time for which that still holds; it does not begin anew with each box that passes it on.
    pub left: Duration,
}

/// Upstreams that leave, by the names of their lives, with until when that holds.
#[derive(Debug, Clone, Default)]
pub struct LeavingUpstreams(BTreeMap<RunnerName, Instant>);

impl LeavingUpstreams {
    /// Notes that an upstream leaves, which holds for `left`; returns whether that is news.
    pub fn note(&mut self, upstream: &str, left: Duration, now: Instant) -> bool {
        self.0.retain(|_, until| now < *until);
        let until = now + left.min(LEAVING_TTL);
        let known = self.0.get_mut(upstream);
        let is_news = known.is_none() && now < until;
        match known {
            Some(known) => *known = until.max(*known),
            None if is_news => drop(self.0.insert(upstream.to_owned(), until)),
            None => {}
        }
        is_news
    }

    /// Returns whether an upstream leaves.
    pub fn contains(&self, upstream: &str, now: Instant) -> bool {
        self.0.get(upstream).is_some_and(|until| now < *until)
    }

    /// Returns what to tell another box of the upstreams that leave.
    pub fn news(&self, now: Instant) -> Vec<LeavingNotice> {
        let left = self.0.iter().map(|(upstream, until)| LeavingNotice {
            upstream: upstream.clone(),
            left: until.saturating_duration_since(now),
        });
        left.filter(|news| !news.left.is_zero()).collect()
    }
}
