//! Reassembles a configuration that is received in parts, as a state machine without I/O.
//!
//! Parts are ordered by entity key. They may come from several parents, and the
//! configuration may change during the transfer. In that case a further pass
//! requests what changed since the oldest part of the pass was made, so that a
//! transfer that takes longer than the time between two changes still ends.

use std::collections::BTreeMap;

use super::entity::{Entity, EntityKey};
use super::messages::{Delta, FeedAnswer, FeedRequest, Rest};
use crate::ids::ConfigNumber;

/// The result of processing one answer of a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartOutcome {
    /// The answer does not match the next request, because another answer was processed
    /// first; nothing changed.
    Duplicate,
    /// The parent is behind or withheld its part; nothing changed.
    Unavailable,
    /// The parent can't continue this transfer; it has to be restarted.
    Restart,
    /// The part was merged, and more parts are to be requested.
    Incomplete,
    /// The part was the last one of the transfer.
    Complete {
        /// Whether the changes start from an empty configuration.
        snapshot: bool,
        /// The changes.
        delta: Delta,
    },
}

/// The state of a transfer of a newer configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transfer {
    /// The number from which the current pass requests changes.
    since: ConfigNumber,
    /// The key of the last received entity of this pass; `None` before the first part.
    after: Option<EntityKey>,
    /// Lowest number at which a part of this pass was made; `None` before the first part.
    lowest: Option<ConfigNumber>,
    /// Whether the parts of this pass start from an empty configuration.
    pass_is_snapshot: bool,
    /// Whether the merged changes of all passes start from an empty configuration.
    snapshot: bool,
    /// Merged changes; `None` for a removed entity.
    changes: BTreeMap<EntityKey, Option<Entity>>,
}

impl Transfer {
    /// Begins a transfer to a box whose number is `have`.
    pub fn new(have: ConfigNumber) -> Self {
        Self { since: have, ..Self::default() }
    }

    /// Returns the number and the entity key that the next request has to name.
    pub fn next(&self) -> (ConfigNumber, Option<&EntityKey>) {
        (self.since, self.after.as_ref())
    }

    /// Processes the answer to a request.
    pub fn process(&mut self, req: &FeedRequest, answer: FeedAnswer) -> PartOutcome {
        if (req.have, req.after.as_ref()) != self.next() {
            return PartOutcome::Duplicate;
        }
        if answer.number < self.since || answer.rest == Rest::Withheld {
            return PartOutcome::Unavailable;
        }
        let is_first = self.after.is_none();
        if !is_first && answer.snapshot != self.pass_is_snapshot {
            return PartOutcome::Restart;
        }
        if is_first {
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
                PartOutcome::Incomplete
            }
            // Changes made since the oldest part may be missing from it, so start another pass.
            _ if lowest < answer.number => {
                (self.since, self.after, self.lowest) = (lowest, None, None);
                PartOutcome::Incomplete
            }
            _ => self.complete(),
        }
    }

    fn merge(&mut self, delta: Delta) {
        self.changes.extend(delta.removals.into_iter().map(|key| (key, None)));
        self.changes.extend(delta.upserts.into_iter().map(|e| (e.key(), Some(e))));
    }

    fn complete(&mut self) -> PartOutcome {
        let mut delta = Delta::default();
        for (key, entity) in std::mem::take(&mut self.changes) {
            match entity {
                Some(entity) => delta.upserts.push(entity),
                None => delta.removals.push(key),
            }
        }
        PartOutcome::Complete { snapshot: self.snapshot, delta }
    }
}
