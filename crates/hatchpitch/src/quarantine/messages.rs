//! Messages about requests that crash upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::content::ContentId;
use crate::claims::state::LogTime;
use crate::registry::LifeName;

/// Position among all changes of a list; a larger one is newer.
pub type Revision = u64;

/// Crashes that one message tells of: a whole failure domain lost at once, as one box sees it. A
/// request that crashes upstreams ends one at a time.
pub const MAX_TOLD: usize = 64;
/// Runs of one crash that are told of: those that began last, of more than an upstream works on at
/// once.
pub const MAX_RUNS: usize = 32;

/// A run that was under way when its upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// What ran.
    pub content: ContentId,
    /// Time from its first sign to the crash; zero if it gave none.
    pub ran_for: Duration,
}

/// The crash of one life of an upstream, as one box saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The life.
    pub life: LifeName,
    /// The box's runs there.
    pub runs: Vec<CrashedRun>,
}

/// What one box saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Contents of the list that an upstream answered to the end.
    pub answered: BTreeSet<ContentId>,
}

impl Evidence {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty()
    }

    /// Adds what was seen later, and leaves out what is beyond the bounds.
    pub fn merge(&mut self, later: Self) {
        self.crashes.extend(later.crashes);
        self.answered.extend(later.answered);
        self.bound();
    }

    /// Leaves out what is beyond the bounds, the earliest first.
    pub fn bound(&mut self) {
        let excess = self.crashes.len().saturating_sub(MAX_TOLD);
        self.crashes.drain(..excess);
        for crash in &mut self.crashes {
            crash.runs.sort_by_key(|run| run.ran_for);
            crash.runs.truncate(MAX_RUNS);
        }
        while self.answered.len() > MAX_TOLD {
            self.answered.pop_first();
        }
    }
}

/// What entry boxes have to know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Position among all changes, 0 before the first one.
    pub revision: Revision,
    /// Contents that are refused, and until when.
    pub held: BTreeMap<ContentId, LogTime>,
    /// Contents of which an answer to the end is to be told.
    pub watched: BTreeSet<ContentId>,
}

impl QuarantineList {
    /// Returns until when a content is refused, if it is.
    pub fn held_until(&self, content: &ContentId) -> Option<LogTime> {
        self.held.get(content).copied()
    }

    /// Returns whether an answer to a content is to be told.
    pub fn awaits_answer(&self, content: &ContentId) -> bool {
        self.held.contains_key(content) || self.watched.contains(content)
    }
}
