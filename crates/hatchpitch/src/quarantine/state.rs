//! Which requests crash upstreams, as a deterministic state machine without I/O.
//!
//! The load that it answers: one request ends every upstream that begins to run it, within some
//! 100 ms, and is sent anew about once a second to any box under new ids; beside it run others,
//! which are lost with the upstream, come again as well, and must be served. Runs of single
//! upstreams that crash for reasons of their own, a domain at a time included, must not add up.
//!
//! A crash speaks against the runs that began last on the upstream, and half as much against those
//! before. A content that three crashes speak against, of three lives, and that no upstream has
//! answered meanwhile, is held: refused at every box for a term. An answer to the end clears a content. What began earlier on the same
//! upstream as a held content is cleared of that crash. A term over, one more crash is enough.
//!
//! Invariants, checked by [`super::verify`]:
//! - crashes and suspects name each other;
//! - numbers of crashes, runs, held and known contents are bounded, and each ends by time;
//! - the list that boxes have follows from what is known here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::content::ContentId;
use super::messages::{Crash, Evidence, MAX_RUNS, MAX_TOLD, QuarantineList};
use crate::claims::state::LogTime;
use crate::registry::LifeName;

/// Crashed lives after which a content is held: an upstream that crashes for a reason of its own
/// takes a request with it, and the second one that its caller's next try meets may do so in the
/// same failure; a third, without an answer in between, is no chance.
pub const ENOUGH_CRASHES: usize = 3;
/// What a crash says against a run that began last, and against any other. Twice as many of the
/// second kind are enough: what takes long to crash an upstream always has others that began later.
const CHARGE: usize = 2;
const LESSER_CHARGE: usize = 1;
/// Crashes from which on boxes tell of answers to a content, so that one that is popular is
/// cleared before it could be held.
pub const WATCHED_CRASHES: usize = 2;
/// A crash speaks against the runs that began within this time of the one that began last there:
/// what crashes an upstream does so as it is begun, and boxes see beginnings some 10 ms late.
pub const BEGAN_TOGETHER: Duration = Duration::from_secs(1);
/// Time for which a crash counts: whoever waits for an answer comes again within minutes.
pub const CRASH_COUNTS: Duration = Duration::from_secs(600);
/// First term of a held content. Each further one is twice as long, so what crashes upstreams for
/// good ends seven of them in the first day after the first three.
pub const FIRST_TERM: Duration = Duration::from_secs(600);
/// Longest term.
pub const LONGEST_TERM: Duration = Duration::from_secs(24 * 3_600);
/// Crashes that are remembered: more than a failure domain of 3,000 upstreams loses at once; about
/// 200 bytes each with three runs.
pub const MAX_CRASHES: usize = 1_024;
/// Contents that are held or were: 27 bytes each in the list that every box has.
pub const MAX_KNOWN: usize = 256;
/// Contents whose answers are awaited, bounded as those that are held are.
pub const MAX_WATCHED: usize = 256;

/// A crash that counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KnownCrash {
    pub(super) at: LogTime,
    /// What ran, and for how long, in milliseconds.
    pub(super) runs: BTreeMap<ContentId, u64>,
}

impl KnownCrash {
    /// Returns whether a run began with the last one.
    fn speaks_against(&self, ran_for: u64) -> bool {
        let shortest = self.runs.values().min().copied().unwrap_or(0);
        ran_for <= shortest.saturating_add(millis(BEGAN_TOGETHER))
    }
}

/// A content that is held or was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Known {
    /// End of the term; past it, one more crash is enough.
    pub(super) until: LogTime,
    /// Length of the term, in milliseconds.
    pub(super) term: u64,
    pub(super) is_held: bool,
}

/// Crashes of upstreams and the contents under which they happened.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) crashes: BTreeMap<LifeName, KnownCrash>,
    /// The lives that crashed under a content.
    pub(super) suspects: BTreeMap<ContentId, BTreeSet<LifeName>>,
    pub(super) known: BTreeMap<ContentId, Known>,
    pub(super) list: QuarantineList,
}

impl Ledger {
    /// Returns what entry boxes have to know.
    pub fn list(&self) -> &QuarantineList {
        &self.list
    }

    /// Takes in what a box saw. The same evidence may come again.
    pub fn take(&mut self, mut evidence: Evidence, now: LogTime) {
        self.expire(now);
        evidence.bound();
        self.change_list(|ledger| {
            for content in &evidence.answered {
                ledger.clear(content);
            }
            for crash in evidence.crashes {
                ledger.note(crash, now);
            }
        });
    }

    /// Returns whether time alone changes what is held.
    pub fn is_due(&self, now: LogTime) -> bool {
        self.known.values().any(|known| known.is_held && known.until <= now)
    }

    /// Lets terms end, and forgets what is long ago.
    pub fn expire(&mut self, now: LogTime) {
        let over = |at: LogTime, after: Duration| at.saturating_add(millis(after)) <= now;
        let late = self.crashes.iter().filter(|(_, crash)| over(crash.at, CRASH_COUNTS));
        let late: Vec<LifeName> = late.map(|(life, _)| life.clone()).collect();
        let forgotten = |known: &Known| !known.is_held && over(known.until, LONGEST_TERM);
        if late.is_empty() && !self.is_due(now) && !self.known.values().any(forgotten) {
            return;
        }
        self.change_list(|ledger| {
            late.iter().for_each(|life| ledger.forget_crash(life));
            let contents: Vec<ContentId> = ledger.known.keys().copied().collect();
            for known in ledger.known.values_mut().filter(|known| known.until <= now) {
                known.is_held = false;
            }
            ledger.known.retain(|_, known| !forgotten(known));
            contents.iter().for_each(|content| ledger.relist(content));
        });
    }

    /// Makes a change after which the list has a revision of its own, if it differs.
    fn change_list(&mut self, change: impl FnOnce(&mut Self)) {
        let before = self.list.clone();
        change(self);
        if self.list != before {
            self.list.revision = before.revision + 1;
        }
    }

    /// Clears a content that an upstream answered to the end.
    fn clear(&mut self, content: &ContentId) {
        self.known.remove(content);
        for life in self.suspects.remove(content).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&life) {
                crash.runs.remove(content);
            }
        }
        self.relist(content);
    }

    fn note(&mut self, crash: Crash, now: LogTime) {
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
        while known.runs.len() > MAX_RUNS {
            let longest = known.runs.iter().max_by_key(|(_, ran_for)| **ran_for);
            let Some(content) = longest.map(|(content, _)| *content) else { break };
            known.runs.remove(&content);
            forget_suspect(&mut self.suspects, &content, &life);
        }
        let touched: Vec<ContentId> = known.runs.keys().copied().collect();
        for content in &touched {
            self.suspects.entry(*content).or_default().insert(life.clone());
        }
        touched.iter().for_each(|content| self.relist(content));
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(life, _)| life.clone()) else { break };
            self.forget_crash(&oldest);
        }
        self.judge(touched, now);
    }

    fn forget_crash(&mut self, life: &str) {
        let Some(crash) = self.crashes.remove(life) else { return };
        for content in crash.runs.keys() {
            forget_suspect(&mut self.suspects, content, life);
            self.relist(content);
        }
    }

    /// Holds those of some contents that enough crashes speak against, and lets go those whose
    /// crashes are another's.
    fn judge(&mut self, touched: Vec<ContentId>, now: LogTime) {
        // The one that most speaks against comes first: it may explain the others' crashes.
        let mut candidates = touched.clone();
        candidates.sort_by_cached_key(|c| Reverse((self.charges(c), self.last_begun(c))));
        for content in candidates {
            if self.is_to_be_held(&content) {
                self.hold(content, now);
                self.let_go_beside(&content);
            }
        }
        for content in &touched {
            self.let_go_if_explained(content);
        }
    }

    fn is_to_be_held(&self, content: &ContentId) -> bool {
        let needed = match self.known.get(content) {
            Some(known) if known.is_held => return false,
            Some(_) => 1,
            None => ENOUGH_CRASHES,
        };
        self.charges(content) >= needed * CHARGE
    }

    fn hold(&mut self, content: ContentId, now: LogTime) {
        let former = self.known.get(&content).map(|known| known.term);
        let term = former.map_or(millis(FIRST_TERM), |term| term.saturating_mul(2));
        let term = term.min(millis(LONGEST_TERM));
        let until = now.saturating_add(term);
        self.known.insert(content, Known { until, term, is_held: true });
        while self.known.len() > MAX_KNOWN {
            let first = self.known.iter().min_by_key(|(_, known)| (known.is_held, known.until));
            let Some(first) = first.map(|(content, _)| *content) else { break };
            self.known.remove(&first);
            self.relist(&first);
        }
        self.relist(&content);
    }

    /// Looks anew at what was held and ran beside a content that is held now.
    fn let_go_beside(&mut self, content: &ContentId) {
        let lives = self.suspects.get(content).into_iter().flatten();
        let beside: BTreeSet<ContentId> = lives
            .filter_map(|life| self.crashes.get(life))
            .flat_map(|crash| crash.runs.keys().copied())
            .filter(|other| other != content)
            .collect();
        beside.iter().for_each(|other| self.let_go_if_explained(other));
    }

    /// Lets a held content go if too few of the crashes that made it held are its own.
    fn let_go_if_explained(&mut self, content: &ContentId) {
        let is_held = self.known.get(content).is_some_and(|known| known.is_held);
        let crashed = self.suspects.get(content).map_or(0, BTreeSet::len);
        // After a term, or with its crashes forgotten, there is nothing to look at anew.
        if is_held && crashed >= ENOUGH_CRASHES && self.charges(content) < ENOUGH_CRASHES * CHARGE {
            self.known.remove(content);
            self.relist(content);
        }
    }

    /// Returns how much crashes speak against a content.
    fn charges(&self, content: &ContentId) -> usize {
        let lives = self.suspects.get(content).into_iter().flatten();
        let crashes = lives.filter_map(|life| self.crashes.get(life));
        crashes.map(|crash| self.charge(crash, content)).sum()
    }

    fn charge(&self, crash: &KnownCrash, content: &ContentId) -> usize {
        let Some(ran_for) = crash.runs.get(content).copied() else { return 0 };
        let is_held = |other: &ContentId| self.known.get(other).is_some_and(|known| known.is_held);
        let began_later = |(other, other_ran): (&ContentId, &u64)| {
            other != content && *other_ran < ran_for && is_held(other)
        };
        if crash.runs.iter().any(began_later) {
            return 0;
        }
        if crash.speaks_against(ran_for) { CHARGE } else { LESSER_CHARGE }
    }

    /// Returns at how many crashes a content was the one that began last.
    fn last_begun(&self, content: &ContentId) -> usize {
        let lives = self.suspects.get(content).into_iter().flatten();
        let crashes = lives.filter_map(|life| self.crashes.get(life));
        let last = |crash: &&KnownCrash| crash.runs.get(content) == crash.runs.values().min();
        crashes.filter(last).count()
    }

    /// Brings the list up to what is known of one content.
    fn relist(&mut self, content: &ContentId) {
        let known = self.known.get(content);
        match known.filter(|known| known.is_held) {
            Some(known) => self.list.held.insert(*content, known.until),
            None => self.list.held.remove(content),
        };
        let crashed = self.suspects.get(content).map_or(0, BTreeSet::len);
        let is_watched = crashed >= WATCHED_CRASHES || known.is_some();
        if !is_watched || self.list.held.contains_key(content) {
            self.list.watched.remove(content);
        } else if self.list.watched.len() < MAX_WATCHED {
            self.list.watched.insert(*content);
        }
    }
}

/// Bytes that the list takes at most on its way to a box: each content 18 with its mark, each term
/// 9, and the names of the fields.
pub const MAX_LIST_BYTES: usize = MAX_KNOWN * 27 + MAX_WATCHED * 18 + 64;

const _: () = assert!(MAX_TOLD <= MAX_CRASHES, "one message never forgets its own crashes");

fn forget_suspect(
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
