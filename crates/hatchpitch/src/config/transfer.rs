//! A configuration that arrives in parts, as a state machine without I/O.
//!
//! Parts come in order of entities. They may come from several parents, and the
//! configuration may change meanwhile: then what changed since the oldest part
//! was made is asked for in a further pass, so that a transfer that takes longer
//! than the time between two changes still ends.

use std::collections::BTreeMap;

use super::entity::{Entity, EntityKey};
use super::messages::{Delta, FeedAnswer, FeedRequest, Rest};
use crate::ids::ConfigNumber;

/// What became of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is not what is asked for now, as another answer came before it; nothing changed.
    Duplicate,
    /// The parent is behind or withheld its part; nothing changed.
    Nothing,
    /// The parent can't go on from what arrived: all of it has to be asked for anew.
    Unfit,
    /// It was taken, and more is to be asked for.
    More,
    /// It was the last one; this is what changed.
    Whole {
        /// Whether the changes start from nothing.
        snapshot: bool,
        /// The changes.
        delta: Delta,
    },
}

/// What has arrived so far of a newer configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Arriving {
    /// Changes since this number are asked for.
    since: ConfigNumber,
    /// Those of entities after this one; `None` at the beginning of a pass.
    after: Option<EntityKey>,
    /// Lowest number that a part of this pass was made at; `None` before the first one.
    lowest: Option<ConfigNumber>,
    /// Whether the parts of this pass start from nothing.
    pass_is_snapshot: bool,
    /// Whether all that arrived starts from nothing.
    snapshot: bool,
    /// What arrived; `None` for an entity that is gone.
    changes: BTreeMap<EntityKey, Option<Entity>>,
}

impl Arriving {
    /// Begins with what a box that has `have` lacks.
    pub fn new(have: ConfigNumber) -> Self {
        Self { since: have, ..Self::default() }
    }

    /// Returns what to ask for next: changes since a number, of the entities after one.
    pub fn next(&self) -> (ConfigNumber, Option<&EntityKey>) {
        (self.since, self.after.as_ref())
    }

    /// Takes in the answer to a request.
    pub fn take(&mut self, req: &FeedRequest, answer: FeedAnswer) -> Taken {
        if (req.have, req.after.as_ref()) != self.next() {
            return Taken::Duplicate;
        }
        if answer.number < self.since || answer.rest == Rest::Withheld {
            return Taken::Nothing;
        }
        let begins = self.after.is_none();
        if !begins && answer.snapshot != self.pass_is_snapshot {
            return Taken::Unfit;
        }
        if begins {
            self.pass_is_snapshot = answer.snapshot;
            if answer.snapshot {
                self.snapshot = true;
                self.changes.clear();
            }
        }
        self.merge(answer.delta);
        let lowest = self.lowest.map_or(answer.number, |lowest| lowest.min(answer.number));
        self.lowest = Some(lowest);
        match answer.rest {
            Rest::After(key) => {
                self.after = Some(key);
                Taken::More
            }
            // What changed since the oldest part may be missing.
            _ if lowest < answer.number => {
                (self.since, self.after, self.lowest) = (lowest, None, None);
                Taken::More
            }
            _ => self.whole(),
        }
    }

    fn merge(&mut self, delta: Delta) {
        self.changes.extend(delta.removals.into_iter().map(|key| (key, None)));
        self.changes.extend(delta.upserts.into_iter().map(|e| (e.key(), Some(e))));
    }

    fn whole(&mut self) -> Taken {
        let mut delta = Delta::default();
        for (key, entity) in std::mem::take(&mut self.changes) {
            match entity {
                Some(entity) => delta.upserts.push(entity),
                None => delta.removals.push(key),
            }
        }
        Taken::Whole { snapshot: self.snapshot, delta }
    }
}
