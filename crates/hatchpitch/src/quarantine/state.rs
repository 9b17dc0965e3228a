//! Detection of requests that crash upstreams, as a deterministic state machine without I/O.
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
//! Invariants, checked by [`super::verify`]:
//! - each run of a crash is listed as a suspect, and each suspect ran in the crash;
//! - the numbers of crashes, runs, held and known contents are bounded, and all of them expire;
//! - the list distributed to boxes is consistent with the state.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::content::ContentId;
use super::messages::{Crash, Evidence, MAX_REPORTED, MAX_RUNS_PER_CRASH, QuarantineList};
use crate::claims::state::LogTime;
use crate::registry::LifeName;

/// Number of crashed incarnations after which a content is held. An unrelated crash interrupts a
/// request, and its retry may hit a second upstream that crashes in the same failure; a third crash
/// without an answer in between is no coincidence.
pub const CRASHES_TO_HOLD: usize = 3;
/// Weight of a crash against a run that started last.
const LAST_STARTED_WEIGHT: usize = 2;
/// Weight of a crash against a run that started earlier. Twice as many such crashes lead to a hold:
/// a request that takes long to crash an upstream always has runs beside it that started later.
const EARLIER_STARTED_WEIGHT: usize = 1;
/// Number of crashes from which on boxes report answers to a content, so that a popular content is
/// cleared before it would be held.
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
/// Maximum number of contents that are or were held: 27 bytes each in the list sent to every box.
pub const MAX_KNOWN: usize = 256;
/// Maximum number of watched contents, the same as for held ones.
pub const MAX_WATCHED: usize = 256;

/// A crash within [`CRASH_RETENTION`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KnownCrash {
    pub(super) at: LogTime,
    /// Contents that were running, and for how long each had run, in milliseconds.
    pub(super) runs: BTreeMap<ContentId, u64>,
}

impl KnownCrash {
    /// Returns whether a run started within [`START_WINDOW`] of the last one.
    fn started_with_last(&self, ran_for: u64) -> bool {
        let shortest = self.runs.values().min().copied().unwrap_or(0);
        ran_for <= shortest.saturating_add(millis(START_WINDOW))
    }
}

/// A content that is or was held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Known {
    /// End of the term; after it, one more crash leads to the next hold.
    pub(super) until: LogTime,
    /// Length of the term, in milliseconds.
    pub(super) term: u64,
    pub(super) is_held: bool,
}

/// Crashes of upstreams and the contents that were running in them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) crashes: BTreeMap<LifeName, KnownCrash>,
    /// The crashed incarnations on which a content was running.
    pub(super) suspects: BTreeMap<ContentId, BTreeSet<LifeName>>,
    pub(super) known: BTreeMap<ContentId, Known>,
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
            for content in &evidence.answered {
                ledger.clear(content);
            }
            for crash in evidence.crashes {
                ledger.record_crash(crash, now);
            }
        });
    }

    /// Returns whether the term of a held content has ended, so that [`Self::expire`] is due.
    pub fn is_due(&self, now: LogTime) -> bool {
        self.known.values().any(|known| known.is_held && known.until <= now)
    }

    /// Ends expired holds, and removes crashes and contents whose retention is over.
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
            let contents: Vec<ContentId> = ledger.known.keys().copied().collect();
            for known in ledger.known.values_mut().filter(|known| known.until <= now) {
                known.is_held = false;
            }
            ledger.known.retain(|_, known| !is_obsolete(known));
            contents.iter().for_each(|content| ledger.refresh_listing(content));
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

    /// Clears a content that an upstream answered completely.
    fn clear(&mut self, content: &ContentId) {
        self.known.remove(content);
        for life in self.suspects.remove(content).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&life) {
                crash.runs.remove(content);
            }
        }
        self.refresh_listing(content);
    }

    /// Records a crash, or adds the runs of another report of the same crash.
    fn record_crash(&mut self, crash: Crash, now: LogTime) {
        let life = crash.life;
        let known = self
            .crashes
            .entry(life.clone())
            .or_insert_with(|| KnownCrash { at: now, runs: BTreeMap::new() });
        for run in crash.runs {
            let ran_for = millis(run.ran_for);
            let shortest = known.runs.entry(run.content).or_insert(ran_for);
            *shortest = (*shortest).min(ran_for);
        }
        while known.runs.len() > MAX_RUNS_PER_CRASH {
            let longest = known.runs.iter().max_by_key(|(_, ran_for)| **ran_for);
            let Some(content) = longest.map(|(content, _)| *content) else { break };
            known.runs.remove(&content);
            remove_suspect(&mut self.suspects, &content, &life);
        }
        let affected: Vec<ContentId> = known.runs.keys().copied().collect();
        for content in &affected {
            self.suspects.entry(*content).or_default().insert(life.clone());
        }
        affected.iter().for_each(|content| self.refresh_listing(content));
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(life, _)| life.clone()) else { break };
            self.remove_crash(&oldest);
        }
        self.update_holds(affected, now);
    }

    fn remove_crash(&mut self, life: &str) {
        let Some(crash) = self.crashes.remove(life) else { return };
        for content in crash.runs.keys() {
            remove_suspect(&mut self.suspects, content, life);
            self.refresh_listing(content);
        }
    }

    /// Holds those of the affected contents that have enough weight against them, and releases
    /// those whose crashes are explained by another content.
    fn update_holds(&mut self, affected: Vec<ContentId>, now: LogTime) {
        // The content with the highest weight comes first: it may explain the others' crashes.
        let mut candidates = affected.clone();
        candidates
            .sort_by_cached_key(|c| Reverse((self.total_weight(c), self.last_started_count(c))));
        for content in candidates {
            if self.should_hold(&content) {
                self.hold(content, now);
                self.release_explained_neighbours(&content);
            }
        }
        for content in &affected {
            self.release_if_explained(content);
        }
    }

    fn should_hold(&self, content: &ContentId) -> bool {
        let needed = match self.known.get(content) {
            Some(known) if known.is_held => return false,
            Some(_) => 1,
            None => CRASHES_TO_HOLD,
        };
        self.total_weight(content) >= needed * LAST_STARTED_WEIGHT
    }

    /// Holds a content for its next term.
    fn hold(&mut self, content: ContentId, now: LogTime) {
        let former = self.known.get(&content).map(|known| known.term);
        let term = former.map_or(millis(INITIAL_TERM), |term| term.saturating_mul(2));
        let term = term.min(millis(MAX_TERM));
        let until = now.saturating_add(term);
        self.known.insert(content, Known { until, term, is_held: true });
        while self.known.len() > MAX_KNOWN {
            let first = self.known.iter().min_by_key(|(_, known)| (known.is_held, known.until));
            let Some(first) = first.map(|(content, _)| *content) else { break };
            self.known.remove(&first);
            self.refresh_listing(&first);
        }
        self.refresh_listing(&content);
    }

    /// Re-evaluates the held contents that ran on the same upstreams as a newly held content.
    fn release_explained_neighbours(&mut self, content: &ContentId) {
        let lives = self.suspects.get(content).into_iter().flatten();
        let neighbours: BTreeSet<ContentId> = lives
            .filter_map(|life| self.crashes.get(life))
            .flat_map(|crash| crash.runs.keys().copied())
            .filter(|other| other != content)
            .collect();
        neighbours.iter().for_each(|other| self.release_if_explained(other));
    }

    /// Releases a held content if the remaining weight against it no longer justifies the hold.
    fn release_if_explained(&mut self, content: &ContentId) {
        let is_held = self.known.get(content).is_some_and(|known| known.is_held);
        let crash_count = self.suspects.get(content).map_or(0, BTreeSet::len);
        // After a first term, or with its crashes expired, too few crashes are left to re-evaluate.
        if is_held
            && crash_count >= CRASHES_TO_HOLD
            && self.total_weight(content) < CRASHES_TO_HOLD * LAST_STARTED_WEIGHT
        {
            self.known.remove(content);
            self.refresh_listing(content);
        }
    }

    /// Returns the total weight of all crashes against a content.
    fn total_weight(&self, content: &ContentId) -> usize {
        let lives = self.suspects.get(content).into_iter().flatten();
        let crashes = lives.filter_map(|life| self.crashes.get(life));
        crashes.map(|crash| self.crash_weight(crash, content)).sum()
    }

    /// Returns the weight of a crash against a content: none if a held content that started later
    /// explains the crash.
    fn crash_weight(&self, crash: &KnownCrash, content: &ContentId) -> usize {
        let Some(ran_for) = crash.runs.get(content).copied() else { return 0 };
        let is_held = |other: &ContentId| self.known.get(other).is_some_and(|known| known.is_held);
        let started_later = |(other, other_ran): (&ContentId, &u64)| {
            other != content && *other_ran < ran_for && is_held(other)
        };
        if crash.runs.iter().any(started_later) {
            return 0;
        }
        if crash.started_with_last(ran_for) { LAST_STARTED_WEIGHT } else { EARLIER_STARTED_WEIGHT }
    }

    /// Returns the number of crashes in which a content was the last to start.
    fn last_started_count(&self, content: &ContentId) -> usize {
        let lives = self.suspects.get(content).into_iter().flatten();
        let crashes = lives.filter_map(|life| self.crashes.get(life));
        let is_last = |crash: &&KnownCrash| crash.runs.get(content) == crash.runs.values().min();
        crashes.filter(is_last).count()
    }

    /// Updates the entry of a content in the list from the state.
    fn refresh_listing(&mut self, content: &ContentId) {
        let known = self.known.get(content);
        match known.filter(|known| known.is_held) {
            Some(known) => self.list.held.insert(*content, known.until),
            None => self.list.held.remove(content),
        };
        let crash_count = self.suspects.get(content).map_or(0, BTreeSet::len);
        let is_watched = crash_count >= CRASHES_TO_WATCH || known.is_some();
        if !is_watched || self.list.held.contains_key(content) {
            self.list.watched.remove(content);
        } else if self.list.watched.len() < MAX_WATCHED {
            self.list.watched.insert(*content);
        }
    }
}

/// Maximum encoded size of the list, in bytes: 18 for each content with its marker, 9 for each end
/// of a term, and the field names.
pub const MAX_LIST_BYTES: usize = MAX_KNOWN * 27 + MAX_WATCHED * 18 + 64;

const _: () =
    assert!(MAX_REPORTED <= MAX_CRASHES, "the crashes of one message must all fit into the ledger");

fn remove_suspect(
    suspects: &mut BTreeMap<ContentId, BTreeSet<LifeName>>,
    content: &ContentId,
    life: &str,
) {
    let Some(lives) = suspects.get_mut(content) else { return };
    lives.remove(life);
    if lives.is_empty() {
        suspects.remove(content);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
