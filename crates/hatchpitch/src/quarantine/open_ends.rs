//! Responses that ended with their connection, without I/O.
//!
//! The end of such a response leaves open whether its upstream ended it or crashed. Its content is
//! suspected if the upstream goes down right after it. It is not suspected of other crashes once the
//! upstream was seen to live on, and counts as answered only if the same upstream is seen to live
//! long enough afterwards that a restart would have been announced.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::content::ContentId;
use super::messages::{CrashedRun, MAX_RUNS_PER_CRASH};
use crate::ids::RunnerName;

/// Interval between probes of an upstream with recent open ends. A crash is blamed on a response
/// that ended within one to two intervals before it was found; one that comes later has another
/// cause.
pub const OPEN_END_WINDOW: Duration = Duration::from_millis(150);
/// Time in which another incarnation is announced at an address that accepts connections, if a
/// crashed upstream has restarted already. It covers a heartbeat interval of 1.2 s and the
/// propagation of the announcement.
pub const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of upstreams with open ends: about 5 KB each.
pub const MAX_OPEN_UPSTREAMS: usize = 256;
/// Maximum number of unconfirmed contents of one upstream.
pub const MAX_UNCONFIRMED: usize = 32;

/// The end of one response.
#[derive(Debug, Clone, Copy)]
struct OpenEnd {
    run: CrashedRun,
    at: Instant,
}

/// The open ends of one upstream.
#[derive(Debug, Default)]
struct OpenUpstream {
    /// Ends that a crash may still be blamed on.
    recent: Vec<OpenEnd>,
    /// The first end of each content since it was confirmed last.
    unconfirmed: BTreeMap<ContentId, Unconfirmed>,
    is_watched: bool,
}

/// An end after which the upstream may have crashed and restarted.
#[derive(Debug, Clone, Copy)]
struct Unconfirmed {
    at: Instant,
    /// Time of the first probe, at least [`OPEN_END_WINDOW`] after the end, at which the upstream
    /// listened.
    listened_at: Option<Instant>,
}

/// Open ends of the responses that one box received.
#[derive(Debug, Default)]
pub struct OpenEnds {
    upstreams: BTreeMap<RunnerName, OpenUpstream>,
}

impl OpenEnds {
    /// Records the end of a response. Returns whether a watch of its upstream is to be started.
    pub fn record(&mut self, upstream: &str, run: CrashedRun, now: Instant) -> bool {
        if !self.upstreams.contains_key(upstream) && self.upstreams.len() >= MAX_OPEN_UPSTREAMS {
            return false;
        }
        let open = self.upstreams.entry(upstream.to_owned()).or_default();
        // Callers that repeat a request must not displace other contents.
        open.recent.retain(|end| end.run.content != run.content);
        if open.recent.len() >= MAX_RUNS_PER_CRASH {
            open.recent.remove(0);
        }
        open.recent.push(OpenEnd { run, at: now });
        if open.unconfirmed.len() < MAX_UNCONFIRMED {
            open.unconfirmed
                .entry(run.content)
                .or_insert(Unconfirmed { at: now, listened_at: None });
        }
        !std::mem::replace(&mut open.is_watched, true)
    }

    /// Returns the runs whose responses ended within [`OPEN_END_WINDOW`], as of now.
    pub fn recent(&self, upstream: &str, now: Instant) -> Vec<CrashedRun> {
        let open = self.upstreams.get(upstream).into_iter();
        let ends = open.flat_map(|open| &open.recent);
        let ends = ends.filter(|end| now.saturating_duration_since(end.at) <= OPEN_END_WINDOW);
        ends.map(|end| end.run_until(now)).collect()
    }

    /// Removes an upstream that went down or cannot be reached, and returns the runs that its crash
    /// may be blamed on.
    pub fn remove(&mut self, upstream: &str, now: Instant) -> Vec<CrashedRun> {
        let open = self.upstreams.remove(upstream).unwrap_or_default();
        open.recent.iter().map(|end| end.run_until(now)).collect()
    }

    /// Forgets the ends of an upstream that crashed; its watch goes on.
    pub fn clear(&mut self, upstream: &str) {
        if let Some(open) = self.upstreams.get_mut(upstream) {
            open.recent.clear();
            open.unconfirmed.clear();
        }
    }

    /// Records that an upstream listens and that no other incarnation is announced at its address.
    /// Returns the contents that count as answered.
    pub fn record_listening(&mut self, upstream: &str, now: Instant) -> BTreeSet<ContentId> {
        let Some(open) = self.upstreams.get_mut(upstream) else { return BTreeSet::new() };
        let age = |at: Instant| now.saturating_duration_since(at);
        open.recent.retain(|end| age(end.at) < OPEN_END_WINDOW);
        let mut confirmed = BTreeSet::new();
        open.unconfirmed.retain(|content, end| {
            if age(end.at) >= OPEN_END_WINDOW {
                end.listened_at.get_or_insert(now);
            }
            let is_due = end.is_due(now);
            if is_due {
                confirmed.insert(*content);
            }
            !is_due
        });
        confirmed
    }

    /// Returns whether an upstream is to be probed now: because a response ended a short time ago,
    /// or to confirm a content for which `is_tracked` holds.
    pub fn needs_probe(
        &self,
        upstream: &str,
        now: Instant,
        is_tracked: impl Fn(&ContentId) -> bool,
    ) -> bool {
        let Some(open) = self.upstreams.get(upstream) else { return false };
        let mut unconfirmed = open.unconfirmed.iter();
        !open.recent.is_empty()
            || unconfirmed.any(|(content, end)| end.is_due(now) && is_tracked(content))
    }

    /// Forgets the contents of an upstream that are due but were not confirmed. Returns whether its
    /// watch goes on.
    pub fn keeps_watch(&mut self, upstream: &str, now: Instant) -> bool {
        let Some(open) = self.upstreams.get_mut(upstream) else { return false };
        open.unconfirmed.retain(|_, end| !end.is_due(now));
        let is_over = open.recent.is_empty() && open.unconfirmed.is_empty();
        if is_over {
            self.upstreams.remove(upstream);
        }
        !is_over
    }

    /// Returns the upstreams that were seen to live on after a response to a content.
    pub fn survivors(&self, content: &ContentId) -> impl Iterator<Item = &RunnerName> {
        let has_survived = |open: &OpenUpstream| {
            open.unconfirmed.get(content).is_some_and(|end| end.listened_at.is_some())
        };
        self.upstreams.iter().filter(move |(_, open)| has_survived(open)).map(|(name, _)| name)
    }

    /// Returns the number of upstreams, and of ends and contents stored for them.
    pub fn len(&self) -> (usize, usize) {
        let stored = self.upstreams.values().map(|open| open.recent.len() + open.unconfirmed.len());
        (self.upstreams.len(), stored.sum())
    }

    /// Returns whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

impl Unconfirmed {
    /// Returns whether the process that listened then would have been announced by now if it had
    /// been another one.
    fn is_due(&self, now: Instant) -> bool {
        let listened_at = self.listened_at;
        listened_at.is_some_and(|at| now.saturating_duration_since(at) >= REPLACEMENT_TIMEOUT)
    }
}

impl OpenEnd {
    /// Returns the run with the time from its start until now.
    fn run_until(&self, now: Instant) -> CrashedRun {
        let ran_for = self.run.ran_for + now.saturating_duration_since(self.at);
        CrashedRun { ran_for, ..self.run }
    }
}
