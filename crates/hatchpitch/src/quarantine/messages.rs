//! Messages about upstream crashes and the requests suspected of causing them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::causes::{Causes, MAX_PARTS};
use super::content::ContentId;
use crate::claims::state::LogTime;
use crate::ids::WorkspaceName;
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

/// The parts of a prompt that are suspected along with its whole content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedParts {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Parts that the observing box did not see answered recently.
    pub parts: BTreeSet<ContentId>,
}

/// Observations of one box, as reported to the control leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Observed crashes.
    pub crashes: Vec<Crash>,
    /// Held or watched causes that an upstream answered: whole contents completely, parts of prompts
    /// at least for longer than they take to crash one.
    pub answered: BTreeSet<ContentId>,
    /// Parts of the prompts of crashed runs, by whole content.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub prompts: BTreeMap<ContentId, SuspectedParts>,
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
        self.prompts.extend(later.prompts);
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
        let runs = self.crashes.iter().flat_map(|crash| &crash.runs);
        let contents: BTreeSet<ContentId> = runs.map(|run| run.content).collect();
        self.prompts.retain(|content, _| contents.contains(content));
        for prompt in self.prompts.values_mut() {
            while prompt.parts.len() > MAX_PARTS {
                prompt.parts.pop_last();
            }
        }
    }
}

/// What limits the hold of a part of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The only workspace whose requests are refused; `None` for all workspaces.
    pub workspace: Option<WorkspaceName>,
    /// Causes that were in all crashed runs with the part, so that each of them may be the one that
    /// crashes upstreams. Only requests that hold them as well are refused.
    pub with: BTreeSet<ContentId>,
}

impl Condition {
    fn applies_to(&self, causes: &Causes) -> bool {
        self.workspace.as_ref().is_none_or(|only| only == causes.workspace())
            && self.with.iter().all(|other| causes.contains(other))
    }
}

/// List of held and watched causes that control boxes distribute to entry boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Revision number of the list; 0 before the first change.
    pub revision: Revision,
    /// Held causes, with the time at which the hold ends. Entry boxes refuse requests that have one.
    pub held: BTreeMap<ContentId, LogTime>,
    /// Causes under suspicion, whose answers entry boxes report.
    pub watched: BTreeSet<ContentId>,
    /// Those of the held and watched causes that are parts of prompts.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub parts: BTreeSet<ContentId>,
    /// Conditions of holds that are limited.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub conditions: BTreeMap<ContentId, Condition>,
}

impl QuarantineList {
    /// Returns the time until which a cause is held, if it is held.
    pub fn held_until(&self, content: &ContentId) -> Option<LogTime> {
        self.held.get(content).copied()
    }

    /// Returns a held cause of a request that is to be refused, and the time until which it is held.
    pub fn find_held(&self, causes: &Causes) -> Option<(ContentId, LogTime)> {
        let applies =
            |id: &ContentId| self.conditions.get(id).is_none_or(|limit| limit.applies_to(causes));
        let held = causes.ids().filter_map(|id| Some((id, self.held_until(&id)?)));
        held.filter(|(id, _)| applies(id)).max_by_key(|(_, until)| *until)
    }

    /// Returns whether entry boxes report answers to a cause.
    pub fn wants_answer_reports(&self, content: &ContentId) -> bool {
        self.held.contains_key(content) || self.watched.contains(content)
    }
}
