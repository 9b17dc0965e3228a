//! Decides which causes are held, for which requests, and which are released.
//!
//! A part of prompts is shared by requests of others, so more is asked before it is held than of a
//! whole content:
//! - Boxes have had [`SETTLING_TIME`] since its first crash to report a recent answer to it.
//! - Its crashes are independent of those that it can't have caused.
//! - It is held for one workspace only, unless it crashed upstreams for others as well: a workspace
//!   may name parts of others in prompts that crash upstreams for another reason.
//! - As long as other causes were in all of its runs, only requests that hold these as well are
//!   refused. The next answer or crash of a request with a few of them tells which one it is.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use super::blame::LAST_STARTED_WEIGHT;
use super::content::ContentId;
use super::messages::Condition;
use super::state::{
    CRASHES_TO_HOLD, INITIAL_TERM, Known, Ledger, MAX_COMPANIONS, MAX_KNOWN, MAX_TERM, millis,
};
use crate::claims::state::LogTime;
use crate::ids::WorkspaceName;
use crate::registry::LifeName;

/// Time from the first crash of a part of prompts until it may be held: the list reaches boxes, and
/// their answers the leader, within about half of it.
pub const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Number of crashes with requests of other workspaces after which a part is held for all of them.
const CRASHES_ELSEWHERE: usize = 2;

/// What a hold was decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReason {
    /// Whether the cause is a part of prompts.
    pub is_part: bool,
    /// What limits the hold.
    pub condition: Condition,
    /// The crashed incarnations, the age of each crash, and how long the cause had run there.
    pub crashes: Vec<(LifeName, Duration, Duration)>,
    /// Number of causes that answers cleared of these crashes, and the age of the last answer.
    pub cleared: (u32, Duration),
}

impl Ledger {
    /// Returns what the hold of a cause was decided on.
    pub fn hold_reason(&self, cause: &ContentId, now: LogTime) -> HoldReason {
        let age = |at: LogTime| Duration::from_millis(now.saturating_sub(at));
        let crashes = self.crashes_of(cause).map(|(life, crash)| {
            let ran_for = crash.runs.get(cause).copied().unwrap_or_default();
            (life.clone(), age(crash.at), Duration::from_millis(ran_for))
        });
        let cleared = self.crashes_of(cause).map(|(_, crash)| crash.cleared);
        let (count, last) =
            cleared.fold((0, 0), |(count, last), (more, at)| (count + more, last.max(at)));
        let known = self.known.get(cause);
        HoldReason {
            is_part: known.is_some_and(|known| known.is_part),
            condition: known.map(|known| known.condition.clone()).unwrap_or_default(),
            crashes: crashes.collect(),
            cleared: (count, age(last)),
        }
    }

    /// Holds those of the affected causes that have enough weight against them, and releases those
    /// whose crashes are explained by another cause.
    pub(super) fn update_holds(&mut self, affected: &[ContentId], now: LogTime) {
        // The cause with the highest weight comes first: it may explain the others' crashes. Of equal
        // ones a whole content comes first, since it refuses the least.
        let mut candidates = affected.to_vec();
        candidates.sort_by_cached_key(|cause| (Reverse(self.rank(cause)), self.is_part(cause)));
        for cause in candidates {
            self.deferred.remove(&cause);
            if let Some(condition) = self.decide(&cause, now) {
                self.hold(cause, condition, now);
                self.release_explained_neighbours(&cause);
            }
        }
        for cause in affected {
            self.release_if_explained(cause);
            self.narrow_condition(cause);
        }
    }

    /// Decides whether to hold a cause, and for which requests.
    fn decide(&mut self, cause: &ContentId, now: LogTime) -> Option<Condition> {
        let known = self.known.get(cause);
        let needed = match known {
            Some(known) if known.is_held => return None,
            Some(_) => LAST_STARTED_WEIGHT,
            None => CRASHES_TO_HOLD * LAST_STARTED_WEIGHT,
        };
        if self.unexplained_weight(cause) < needed {
            return None;
        }
        if !self.is_part(cause) {
            return Some(Condition::default());
        }
        // What told the part apart before its first hold still does.
        let former = known.map(|known| known.condition.clone());
        let first = self.crashes_of(cause).map(|(_, crash)| crash.at).min()?;
        let settled_at = first.saturating_add(millis(SETTLING_TIME));
        if now < settled_at {
            self.deferred.insert(*cause, settled_at);
            return None;
        }
        if !self.list.watched.contains(cause) || self.independent_weight(cause) < needed {
            return None;
        }
        let mut with = self.companions(cause);
        if let Some(former) = &former {
            with.retain(|other| former.with.contains(other));
        }
        let is_for_all = former.is_some_and(|former| former.workspace.is_none());
        let workspace = if is_for_all { None } else { self.hold_scope(cause, needed)? };
        Some(Condition { workspace, with: with.into_iter().take(MAX_COMPANIONS).collect() })
    }

    /// Returns the only workspace that a part is to be held for, or `None` if it is to be held for
    /// all. Returns no scope if there is too little weight against it in each.
    fn hold_scope(&self, part: &ContentId, needed: usize) -> Option<Option<WorkspaceName>> {
        let weights = self.weight_by_workspace(part);
        let (workspace, most) = weights.iter().max_by_key(|(_, weight)| **weight)?;
        let elsewhere = self.rank(part).0.saturating_sub(*most);
        if elsewhere >= CRASHES_ELSEWHERE * LAST_STARTED_WEIGHT {
            return Some(None);
        }
        (*most >= needed).then(|| Some((*workspace).clone()))
    }

    /// Holds a cause for its next term.
    fn hold(&mut self, cause: ContentId, condition: Condition, now: LogTime) {
        let former = self.known.get(&cause).map(|known| known.term);
        let term = former.map_or(millis(INITIAL_TERM), |term| term.saturating_mul(2));
        let term = term.min(millis(MAX_TERM));
        let until = now.saturating_add(term);
        let is_part = self.is_part(&cause);
        self.known.insert(cause, Known { until, term, is_held: true, is_part, condition });
        while self.known.len() > MAX_KNOWN {
            let first = self.known.iter().min_by_key(|(_, known)| (known.is_held, known.until));
            let Some(first) = first.map(|(cause, _)| *cause) else { break };
            self.known.remove(&first);
            self.refresh_listing(&first);
        }
        self.refresh_listing(&cause);
    }

    /// Re-evaluates the held causes that ran on the same upstreams as a newly held one.
    fn release_explained_neighbours(&mut self, cause: &ContentId) {
        let crashes = self.crashes_of(cause).map(|(_, crash)| crash);
        let neighbours: BTreeSet<ContentId> = crashes
            .flat_map(|crash| crash.runs.keys().copied())
            .filter(|other| other != cause)
            .collect();
        neighbours.iter().for_each(|other| self.release_if_explained(other));
    }

    /// Releases a held cause if the remaining weight against it no longer justifies the hold.
    fn release_if_explained(&mut self, cause: &ContentId) {
        let crash_count = self.suspects.get(cause).map_or(0, BTreeSet::len);
        // After a first term, or with its crashes expired, too few crashes are left to re-evaluate.
        if self.is_held(cause)
            && crash_count >= CRASHES_TO_HOLD
            && self.unexplained_weight(cause) < CRASHES_TO_HOLD * LAST_STARTED_WEIGHT
        {
            self.known.remove(cause);
            self.refresh_listing(cause);
        }
    }

    /// Narrows the condition of a held part after another crash: without companions that were not in
    /// it, and for all workspaces if it has crashed upstreams for enough of them.
    fn narrow_condition(&mut self, part: &ContentId) {
        let Some(known) = self.known.get(part).filter(|known| known.is_held) else { return };
        let Condition { workspace, with } = known.condition.clone();
        if workspace.is_none() && with.is_empty() {
            return;
        }
        let needed = CRASHES_TO_HOLD * LAST_STARTED_WEIGHT;
        let is_limited = workspace.is_some() && self.hold_scope(part, needed) != Some(None);
        let companions = self.companions(part);
        let condition = Condition {
            workspace: workspace.filter(|_| is_limited),
            with: with.intersection(&companions).copied().collect(),
        };
        if let Some(known) = self.known.get_mut(part) {
            known.condition = condition;
        }
        self.refresh_listing(part);
    }

    /// Removes a cleared cause from the conditions of held parts.
    pub(super) fn remove_companion(&mut self, cleared: &ContentId) {
        let mut changed = Vec::new();
        for (cause, known) in &mut self.known {
            if known.condition.with.remove(cleared) {
                changed.push(*cause);
            }
        }
        changed.iter().for_each(|cause| self.refresh_listing(cause));
    }
}
