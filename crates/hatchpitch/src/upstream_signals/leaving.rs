//! Upstreams that announced in a response that they are leaving, without I/O.
//!
//! Upstreams that register themselves have a new name in each life and leave at most once. An
//! upstream of the fleet file keeps its name across restarts, and nothing reports the restart. Its
//! announcement therefore expires, and the next request shows whether it serves again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::RunnerName;

/// Time after its last announcement for which an upstream counts as leaving. It is longer than a
/// drain and a restart take, so that most requests after it reach the restarted upstream.
pub const LEAVING_TTL: Duration = Duration::from_secs(30);

/// Tells another box that an upstream is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: RunnerName,
    /// Remaining validity. Forwarding a notice does not extend it.
    pub left: Duration,
}

/// Upstreams that are leaving, by the names of their lives, with the time at which each expires.
#[derive(Debug, Clone, Default)]
pub struct LeavingUpstreams(BTreeMap<RunnerName, Instant>);

impl LeavingUpstreams {
    /// Records that an upstream is leaving, for `ttl`; returns whether it was not known to be.
    pub fn record(&mut self, upstream: &str, ttl: Duration, now: Instant) -> bool {
        self.0.retain(|_, until| now < *until);
        let until = now + ttl.min(LEAVING_TTL);
        let known = self.0.get_mut(upstream);
        let is_new = known.is_none() && now < until;
        match known {
            Some(known) => *known = until.max(*known),
            None if is_new => drop(self.0.insert(upstream.to_owned(), until)),
            None => {}
        }
        is_new
    }

    /// Returns whether an upstream is leaving.
    pub fn contains(&self, upstream: &str, now: Instant) -> bool {
        self.0.get(upstream).is_some_and(|until| now < *until)
    }

    /// Returns the notices that tell another box about all leaving upstreams.
    pub fn notices(&self, now: Instant) -> Vec<LeavingNotice> {
        let notices = self.0.iter().map(|(upstream, until)| LeavingNotice {
            upstream: upstream.clone(),
            left: until.saturating_duration_since(now),
        });
        notices.filter(|notice| !notice.left.is_zero()).collect()
    }
}
