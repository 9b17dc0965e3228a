//! Detection of requests that crash upstreams, as a deterministic state machine without I/O.
//!
//! A cause is what may crash an upstream: the whole content of a request, or a part of its prompt.
//! Both are counted here in the same way; `blame` weighs crashes, [`super::holds`] decides.
//!
//! The scenario: a request crashes every upstream that starts to run it, within about 100 ms, and
//! is retried about once a second, at any box and with new ids. Other requests that run on the same
//! upstreams are interrupted and retried as well, and must still be served. Crashes that no request
//! causes, such as the loss of a whole failure domain, must not lead to a hold.
//!
//! A crash counts fully against the runs that started last on the upstream, and half against runs
//! that started earlier. A content is held (refused at every box for a term) once it has the weight
//! of three full crashes, each of another incarnation, with no complete answer in between.
//! A complete answer clears a content. A crash under a held content no longer counts against the
//! contents that started earlier on that upstream. After the end of a term, one more crash suffices
//! for the next hold.
//!
//! The same scenario with a part of prompts: no two of its requests are alike, and each holds other
//! parts as well, which sound requests share. A part counts for the runs that started last only, and
//! is held once boxes have had the time to report an answer to it, see [`super::holds`].
//!
//! Invariants, checked by [`super::verify`]:
//! - each cause in a crash is listed as a suspect, and each suspect ran in the crash;
//! - the numbers of crashes, runs, held and known causes are bounded, and all of them expire;
//! - the list distributed to boxes is consistent with the state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::content::ContentId;
use super::messages::{
    Condition, Crash, Evidence, MAX_REPORTED, MAX_RUNS_PER_CRASH, QuarantineList, SuspectedParts,
};
use crate::claims::state::LogTime;
use crate::registry::LifeName;

/// Number of crashed incarnations after which a content is held. An unrelated crash interrupts a
/// request, and its retry may hit a second upstream that crashes in the same failure; a third crash
/// without an answer in between is no coincidence.
pub const CRASHES_TO_HOLD: usize = 3;
/// Number of crashes from which on boxes report answers to a content, so that a popular content is
/// cleared before it would be held. Parts of prompts are watched from the first one on, since other
/// requests share them.
pub const CRASHES_TO_WATCH: usize = 2;
/// Runs that started within this time before the last one count as started last: a request crashes
/// its upstream at its start, and boxes see the start of a run with a delay of about 10 ms.
pub const START_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a crash counts: callers that wait for an answer retry within minutes.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// First term of a held content. Each further term is twice as long, so a request that always
/// crashes upstreams crashes seven more in the first day after the first three.
pub const INITIAL_TERM: Duration = Duration::from_secs(600);
/// Maximum term of a held content.
pub const MAX_TERM: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of stored crashes, about 200 bytes each with three runs: more than occur at
/// once when 3,000 upstreams in three failure domains lose one domain.
pub const MAX_CRASHES: usize = 1_024;
/// Maximum number of causes suspected of one crash: the runs that boxes report, with three parts of
/// prompts each. Most parts were answered recently and are not suspected.
pub const MAX_SUSPECTS_PER_CRASH: usize = 4 * MAX_RUNS_PER_CRASH;
/// Maximum number of causes that are or were held: 27 bytes each in the list sent to every box.
pub const MAX_KNOWN: usize = 256;
/// Maximum number of watched causes, the same as for held ones.
pub const MAX_WATCHED: usize = 256;

/// A crash within [`CRASH_RETENTION`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KnownCrash {
    pub(super) at: LogTime,
    /// Causes that were running, and for how long each had run, in milliseconds.
    pub(super) runs: BTreeMap<ContentId, u64>,
    /// Which of the causes are parts of the prompt of a run, by whole content.
    #[serde(default)]
    pub(super) prompts: BTreeMap<ContentId, SuspectedParts>,
    /// Number of causes that were cleared of this crash, and when the last one was.
    #[serde(default)]
    pub(super) cleared: (u32, LogTime),
}

impl KnownCrash {
    /// Returns the run time of the run that started last.
    pub(super) fn last_start(&self) -> Option<u64> {
        self.runs.values().min().copied()
    }

    /// Returns the run time of the run that started last among those that show that they started, if
    /// there is one shortly before the crash, else that of all.
    pub(super) fn last_begun(&self) -> Option<u64> {
        let begun =
            self.runs.values().filter(|ran_for| (1..=millis(START_WINDOW)).contains(*ran_for));
        begun.min().copied().or_else(|| self.last_start())
    }

    /// Returns whether a run started within [`START_WINDOW`] of the last one.
    pub(super) fn started_with_last(&self, ran_for: u64) -> bool {
        let shortest = self.last_start().unwrap_or(0);
        ran_for <= shortest.saturating_add(millis(START_WINDOW))
    }

    fn add_suspect(&mut self, cause: ContentId, ran_for: u64) {
        let shortest = self.runs.entry(cause).or_insert(ran_for);
        *shortest = (*shortest).min(ran_for);
    }

    /// Adds the runs of a report.
    fn add_runs(&mut self, crash: &Crash, prompts: &BTreeMap<ContentId, SuspectedParts>) {
        for run in &crash.runs {
            let ran_for = millis(run.ran_for);
            self.add_suspect(run.content, ran_for);
            let Some(prompt) = prompts.get(&run.content) else { continue };
            prompt.parts.iter().for_each(|part| self.add_suspect(*part, ran_for));
            let known = self.prompts.entry(run.content).or_insert_with(|| prompt.clone());
            known.parts.extend(&prompt.parts);
        }
    }

    /// Removes and returns the suspects that exceed the limit, those that started first.
    fn remove_excess(&mut self) -> Vec<ContentId> {
        let excess = self.runs.len().saturating_sub(MAX_SUSPECTS_PER_CRASH);
        let mut by_start: Vec<(u64, ContentId)> =
            self.runs.iter().map(|(cause, ran_for)| (*ran_for, *cause)).collect();
        by_start.sort_unstable();
        let first = by_start.split_off(by_start.len() - excess);
        let removed: Vec<ContentId> = first.into_iter().map(|(_, cause)| cause).collect();
        for cause in &removed {
            self.runs.remove(cause);
        }
        let runs = &self.runs;
        self.prompts.retain(|_, prompt| prompt.parts.iter().any(|part| runs.contains_key(part)));
        while self.prompts.len() > MAX_SUSPECTS_PER_CRASH {
            self.prompts.pop_last();
        }
        removed
    }
}

/// A cause that is or was held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Known {
    /// End of the term; after it, one more crash leads to the next hold.
    pub(super) until: LogTime,
    /// Length of the term, in milliseconds.
    pub(super) term: u64,
    pub(super) is_held: bool,
    /// Whether it is a part of prompts.
    #[serde(default)]
    pub(super) is_part: bool,
    /// What limits the hold.
    #[serde(default)]
    pub(super) condition: Condition,
}

/// Crashes of upstreams and the causes that were running in them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) crashes: BTreeMap<LifeName, KnownCrash>,
    /// The crashed incarnations on which a cause was running.
    pub(super) suspects: BTreeMap<ContentId, BTreeSet<LifeName>>,
    /// The suspects that are parts of prompts.
    #[serde(default)]
    pub(super) parts: BTreeSet<ContentId>,
    pub(super) known: BTreeMap<ContentId, Known>,
    /// When to decide on parts that boxes may still report answers to.
    #[serde(default)]
    pub(super) deferred: BTreeMap<ContentId, LogTime>,
    pub(super) list: QuarantineList,
}

impl Ledger {
    /// Returns the list to distribute to entry boxes.
    pub fn list(&self) -> &QuarantineList {
        &self.list
    }

    /// Applies the observations of a box. Repeated evidence has no further effect.
    pub fn apply(&mut self, mut evidence: Evidence, now: LogTime) {
        self.expire(now);
        evidence.enforce_limits();
        self.update_list(|ledger| {
            for cause in &evidence.answered {
                ledger.clear(cause, now);
            }
            for crash in &evidence.crashes {
                ledger.record_crash(crash, &evidence.prompts, now);
            }
        });
    }

    /// Returns whether a term has ended or a decision is to be made, so that [`Self::expire`] is due.
    pub fn is_due(&self, now: LogTime) -> bool {
        self.known.values().any(|known| known.is_held && known.until <= now)
            || self.deferred.values().any(|at| *at <= now)
    }

    /// Ends expired holds, makes deferred decisions, and removes crashes and causes whose retention is
    /// over.
    pub fn expire(&mut self, now: LogTime) {
        let over = |at: LogTime, after: Duration| at.saturating_add(millis(after)) <= now;
        let outdated = self.crashes.iter().filter(|(_, crash)| over(crash.at, CRASH_RETENTION));
        let outdated: Vec<LifeName> = outdated.map(|(life, _)| life.clone()).collect();
        let is_obsolete = |known: &Known| !known.is_held && over(known.until, MAX_TERM);
        if outdated.is_empty() && !self.is_due(now) && !self.known.values().any(is_obsolete) {
            return;
        }
        self.update_list(|ledger| {
            outdated.iter().for_each(|life| ledger.remove_crash(life));
            let causes: Vec<ContentId> = ledger.known.keys().copied().collect();
            for known in ledger.known.values_mut().filter(|known| known.until <= now) {
                known.is_held = false;
            }
            ledger.known.retain(|_, known| !is_obsolete(known));
            causes.iter().for_each(|cause| ledger.refresh_listing(cause));
            let due = ledger.deferred.iter().filter(|(_, at)| **at <= now);
            let due: Vec<ContentId> = due.map(|(cause, _)| *cause).collect();
            ledger.update_holds(&due, now);
        });
    }

    /// Runs `change`, and increments the revision if the list differs afterwards.
    fn update_list(&mut self, change: impl FnOnce(&mut Self)) {
        let before = self.list.clone();
        change(self);
        if self.list != before {
            self.list.revision = before.revision + 1;
        }
    }

    /// Clears a cause that an upstream answered.
    fn clear(&mut self, cause: &ContentId, now: LogTime) {
        let known = self.known.remove(cause);
        self.parts.remove(cause);
        self.deferred.remove(cause);
        for life in self.suspects.remove(cause).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&life) {
                crash.runs.remove(cause);
                crash.cleared = (crash.cleared.0 + 1, now);
            }
        }
        self.refresh_listing(cause);
        self.remove_companion(cause);
        // One of those that were held together with it may be held for itself.
        let companions = known.map(|known| known.condition.with).unwrap_or_default();
        self.update_holds(&companions.into_iter().collect::<Vec<_>>(), now);
    }

    /// Records a crash, or adds the runs of another report of the same crash.
    fn record_crash(
        &mut self,
        crash: &Crash,
        prompts: &BTreeMap<ContentId, SuspectedParts>,
        now: LogTime,
    ) {
        let life = &crash.life;
        let known = self.crashes.entry(life.clone()).or_insert_with(|| KnownCrash {
            at: now,
            runs: BTreeMap::new(),
            prompts: BTreeMap::new(),
            cleared: (0, 0),
        });
        known.add_runs(crash, prompts);
        let excess = known.remove_excess();
        let affected: Vec<ContentId> = known.runs.keys().copied().collect();
        let parts = known.prompts.values().flat_map(|prompt| &prompt.parts);
        self.parts.extend(parts.filter(|part| known.runs.contains_key(part)));
        excess.iter().for_each(|cause| self.remove_suspect(cause, life));
        for cause in &affected {
            self.suspects.entry(*cause).or_default().insert(life.clone());
        }
        affected.iter().for_each(|cause| self.refresh_listing(cause));
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(life, _)| life.clone()) else { break };
            self.remove_crash(&oldest);
        }
        self.update_holds(&affected, now);
    }

    fn remove_crash(&mut self, life: &str) {
        let Some(crash) = self.crashes.remove(life) else { return };
        for cause in crash.runs.keys() {
            self.remove_suspect(cause, life);
            self.refresh_listing(cause);
        }
    }

    fn remove_suspect(&mut self, cause: &ContentId, life: &str) {
        let Some(lives) = self.suspects.get_mut(cause) else { return };
        lives.remove(life);
        if lives.is_empty() {
            self.suspects.remove(cause);
            self.parts.remove(cause);
            self.deferred.remove(cause);
        }
    }

    /// Returns the crashes in which a cause was running, with their incarnations.
    pub(super) fn crashes_of(
        &self,
        cause: &ContentId,
    ) -> impl Iterator<Item = (&LifeName, &KnownCrash)> {
        let lives = self.suspects.get(cause).into_iter().flatten();
        lives.filter_map(|life| self.crashes.get_key_value(life))
    }

    /// Returns whether a cause is a part of prompts.
    pub(super) fn is_part(&self, cause: &ContentId) -> bool {
        self.parts.contains(cause)
    }

    pub(super) fn is_held(&self, cause: &ContentId) -> bool {
        self.known.get(cause).is_some_and(|known| known.is_held)
    }

    /// Updates the entry of a cause in the list from the state.
    pub(super) fn refresh_listing(&mut self, cause: &ContentId) {
        let known = self.known.get(cause);
        match known.filter(|known| known.is_held) {
            Some(known) => {
                self.list.held.insert(*cause, known.until);
                if known.condition == Condition::default() {
                    self.list.conditions.remove(cause);
                } else {
                    self.list.conditions.insert(*cause, known.condition.clone());
                }
            }
            None => {
                self.list.held.remove(cause);
                self.list.conditions.remove(cause);
            }
        };
        let is_part = self.is_part(cause) || known.is_some_and(|known| known.is_part);
        let crash_count = self.suspects.get(cause).map_or(0, BTreeSet::len);
        let is_watched =
            crash_count >= CRASHES_TO_WATCH || known.is_some() || (crash_count > 0 && is_part);
        if !is_watched || self.list.held.contains_key(cause) {
            self.list.watched.remove(cause);
        } else if self.list.watched.len() < MAX_WATCHED {
            self.list.watched.insert(*cause);
        } else if crash_count >= CRASHES_TO_WATCH && !self.list.watched.contains(cause) {
            self.replace_watched(*cause);
        }
        let is_listed = self.list.held.contains_key(cause) || self.list.watched.contains(cause);
        if is_part && is_listed {
            self.list.parts.insert(*cause);
        } else {
            self.list.parts.remove(cause);
        }
    }

    /// Watches a cause in place of a part that ran in a single crash, if there is one.
    fn replace_watched(&mut self, cause: ContentId) {
        let has_one_crash = |other: &&ContentId| {
            !self.known.contains_key(other)
                && self.suspects.get(other).is_none_or(|lives| lives.len() < CRASHES_TO_WATCH)
        };
        let Some(other) = self.list.watched.iter().find(has_one_crash).copied() else { return };
        self.list.watched.remove(&other);
        self.list.parts.remove(&other);
        self.list.watched.insert(cause);
    }
}

/// Maximum number of companions of a held part. Fewer companions refuse more requests, so the limit
/// may refuse sound ones that share as many parts.
pub const MAX_COMPANIONS: usize = 4;
/// Maximum encoded size of the list, in bytes: 18 for each cause with its marker, and as much again for
/// a part of prompts, 9 for each end of a term, the conditions of holds with the name of a workspace, and the field names.
pub const MAX_LIST_BYTES: usize =
    MAX_KNOWN * (45 + 18 + MAX_COMPANIONS * 18 + 96) + MAX_WATCHED * 36 + 96;

const _: () =
    assert!(MAX_REPORTED <= MAX_CRASHES, "the crashes of one message must all fit into the ledger");

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
