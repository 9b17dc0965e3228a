//! Weighs the crashes against the causes that were running in them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::content::ContentId;
use super::state::{KnownCrash, Ledger, millis};
use crate::claims::state::LogTime;
use crate::ids::WorkspaceName;

/// Weight of a crash against a run that started last.
pub(super) const LAST_STARTED_WEIGHT: usize = 2;
/// Weight of a crash against a run that started earlier. Twice as many such crashes lead to a hold:
/// a request that takes long to crash an upstream always has runs beside it that started later.
/// A part of a prompt is not suspected then, as the run has shown that it can be answered.
const EARLIER_STARTED_WEIGHT: usize = 1;
/// Crashes that are reported within this time of each other may have one cause, such as the loss of a
/// failure domain. Boxes find and report a crash after 0.1 to 0.2 s.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(100);

/// Evidence against a cause for comparison with others: its weight, and the number of crashes in which
/// it was the last to start.
pub(super) type Rank = (usize, usize);

impl Ledger {
    /// Returns the rank of a cause, whatever explains its crashes.
    pub(super) fn rank(&self, cause: &ContentId) -> Rank {
        let crashes = self.crashes_of(cause);
        crashes.fold((0, 0), |(weight, last), (_, crash)| {
            let last_start =
                if self.is_part(cause) { crash.last_begun() } else { crash.last_start() };
            let is_last = crash.runs.get(cause).copied() == last_start;
            (weight + self.start_weight(crash, cause), last + usize::from(is_last))
        })
    }

    /// Returns the total weight of the crashes against a cause that no held cause explains.
    pub(super) fn unexplained_weight(&self, cause: &ContentId) -> usize {
        let rank = self.rank(cause);
        let crashes = self.crashes_of(cause).map(|(_, crash)| crash);
        let unexplained = crashes.filter(|crash| !self.is_explained(crash, cause, rank));
        unexplained.map(|crash| self.start_weight(crash, cause)).sum()
    }

    /// Returns whether a held cause explains a crash better than `cause`, which has `rank`.
    ///
    /// Of two whole contents it is the one that started later. Parts of prompts run many times at
    /// once, and those of one run start together, so they are told apart by the evidence against them.
    fn is_explained(&self, crash: &KnownCrash, cause: &ContentId, rank: Rank) -> bool {
        let Some(ran_for) = crash.runs.get(cause) else { return true };
        crash.runs.iter().any(|(other, other_ran)| {
            if other == cause || !self.is_held(other) {
                return false;
            }
            match self.is_part(cause) || self.is_part(other) {
                true => self.rank(other) >= rank,
                false => other_ran < ran_for,
            }
        })
    }

    /// Returns the weight of the unexplained crashes against a part of prompts, in which crashes at one
    /// moment count once if the part can't have caused all of that moment.
    pub(super) fn independent_weight(&self, part: &ContentId) -> usize {
        let rank = self.rank(part);
        let crashes = self.crashes_of(part).map(|(_, crash)| crash);
        let mut crashes: Vec<&KnownCrash> =
            crashes.filter(|crash| !self.is_explained(crash, part, rank)).collect();
        crashes.sort_by_key(|crash| crash.at);
        let (mut weight, mut coincidence) = (0, None);
        for crash in crashes {
            if coincidence.is_some_and(|at| is_coincident(at, crash.at)) {
                continue;
            }
            coincidence = self.has_other_cause(crash.at, part).then_some(crash.at);
            weight += self.start_weight(crash, part);
        }
        weight
    }

    /// Returns whether an upstream crashed at about the same time without the part, and no held cause
    /// explains it.
    fn has_other_cause(&self, at: LogTime, part: &ContentId) -> bool {
        self.crashes.values().any(|other| {
            is_coincident(at, other.at)
                && !other.runs.contains_key(part)
                && !other.runs.keys().any(|cause| self.is_held(cause))
        })
    }

    /// Returns the weight of the crashes against a part by the workspaces whose requests had it.
    pub(super) fn weight_by_workspace(&self, part: &ContentId) -> BTreeMap<&WorkspaceName, usize> {
        let mut weights = BTreeMap::new();
        for (_, crash) in self.crashes_of(part) {
            let prompts = crash.prompts.values().filter(|prompt| prompt.parts.contains(part));
            let workspaces: BTreeSet<&WorkspaceName> =
                prompts.map(|prompt| &prompt.workspace).collect();
            for workspace in workspaces {
                *weights.entry(workspace).or_default() += self.start_weight(crash, part);
            }
        }
        weights
    }

    /// Returns the causes that are suspected of all crashes of a part and were in all of its runs
    /// there. If one of them is a whole content, it stands for its parts as well.
    pub(super) fn companions(&self, part: &ContentId) -> BTreeSet<ContentId> {
        let runs = self.crashes_of(part).flat_map(|(_, crash)| runs_with(crash, part));
        let common = runs.reduce(|common, run| common.intersection(&run).copied().collect());
        let mut common = common.unwrap_or_default();
        common.remove(part);
        let content = common.iter().find(|cause| !self.is_part(cause)).copied();
        content.map_or(common, |content| [content].into())
    }

    /// Returns the weight of a crash against a cause by the time at which its run started.
    fn start_weight(&self, crash: &KnownCrash, cause: &ContentId) -> usize {
        let Some(ran_for) = crash.runs.get(cause).copied() else { return 0 };
        if crash.started_with_last(ran_for) {
            LAST_STARTED_WEIGHT
        } else if self.is_part(cause) {
            0
        } else {
            EARLIER_STARTED_WEIGHT
        }
    }
}

/// Returns the suspected causes of each run of a crash whose prompt has a part.
fn runs_with(crash: &KnownCrash, part: &ContentId) -> impl Iterator<Item = BTreeSet<ContentId>> {
    let runs = crash.prompts.iter().filter(|(_, prompt)| prompt.parts.contains(part));
    runs.map(|(content, prompt)| {
        let causes = std::iter::once(content).chain(&prompt.parts);
        causes.filter(|cause| crash.runs.contains_key(cause)).copied().collect()
    })
}

fn is_coincident(at: LogTime, other: LogTime) -> bool {
    at.abs_diff(other) <= millis(COINCIDENCE_WINDOW)
}
