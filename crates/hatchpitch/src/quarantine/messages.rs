//! Messages about upstream crashes and the requests suspected of causing them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::content::ContentId;
use crate::claims::state::LogTime;
use crate::registry::LifeName;

/// Revision number of a [`QuarantineList`]; a larger number is newer.
pub type Revision = u64;

/// Maximum number of crashes, and of answered contents, in one message. A box sees this many
/// crashes when a whole failure domain is lost at once; a request that crashes upstreams does so
/// one at a time.
pub const MAX_REPORTED: usize = 64;
/// Maximum number of runs reported for one crash, those that started last. It exceeds the number of
/// requests that an upstream runs concurrently.
pub const MAX_RUNS_PER_CRASH: usize = 32;

/// A request run that was in progress when its upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Content of the request.
    pub content: ContentId,
    /// Time from the first sign that the upstream ran the request to the crash; zero if there was
    /// none.
    pub ran_for: Duration,
}

/// The crash of one incarnation of an upstream, as observed by one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the crashed incarnation.
    pub life: LifeName,
    /// Runs of the observing box that were in progress on the upstream.
    pub runs: Vec<CrashedRun>,
}

/// Observations of one box, as reported to the control leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Observed crashes.
    pub crashes: Vec<Crash>,
    /// Held or watched contents that an upstream answered completely.
    pub answered: BTreeSet<ContentId>,
}

impl Evidence {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty()
    }

    /// Adds later observations, and drops what exceeds the limits.
    pub fn merge(&mut self, later: Self) {
        self.crashes.extend(later.crashes);
        self.answered.extend(later.answered);
        self.enforce_limits();
    }

    /// Drops what exceeds the limits: the earliest crashes, and in each crash the runs that started
    /// first.
    pub fn enforce_limits(&mut self) {
        let excess = self.crashes.len().saturating_sub(MAX_REPORTED);
        self.crashes.drain(..excess);
        for crash in &mut self.crashes {
            crash.runs.sort_by_key(|run| run.ran_for);
            crash.runs.truncate(MAX_RUNS_PER_CRASH);
        }
        while self.answered.len() > MAX_REPORTED {
            self.answered.pop_first();
        }
    }
}

/// List of held and watched contents that control boxes distribute to entry boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Revision number of the list; 0 before the first change.
    pub revision: Revision,
    /// Held contents, which entry boxes refuse, with the time at which the hold ends.
    pub held: BTreeMap<ContentId, LogTime>,
    /// Contents under suspicion, whose complete answers entry boxes report.
    pub watched: BTreeSet<ContentId>,
}

impl QuarantineList {
    /// Returns the time until which a content is held, if it is held.
    pub fn held_until(&self, content: &ContentId) -> Option<LogTime> {
        self.held.get(content).copied()
    }

    /// Returns whether entry boxes report complete answers to a content.
    pub fn wants_answer_reports(&self, content: &ContentId) -> bool {
        self.held.contains_key(content) || self.watched.contains(content)
    }
}
