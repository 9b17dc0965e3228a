//! The configuration in force, as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - the number in force never decreases;
//! - the digest matches the entities;
//! - the content of an accepted number never changes (the digests of the last
//!   [`MAX_ACCEPTED`] numbers are kept; older numbers are rejected as stale).

use std::collections::BTreeMap;
use std::ops::Bound;

use hatchpitch_net::keys::to_hex;
use serde::{Deserialize, Serialize};

use super::entity::{Entity, EntityKey, Fleet, xor};
use super::messages::{ApplyOutcome, Delta};
use crate::ids::{ConfigNumber, Digest};

/// Number of accepted numbers whose digests are kept: enough for five days at 13,000 changes a day.
pub const MAX_ACCEPTED: usize = 65_536;
/// Number of removals that are kept for deltas; a box that is further behind gets a snapshot.
pub const MAX_REMOVALS: usize = 16_384;

/// Size of an encoded entity key without its name, in bytes.
const KEY_BYTES: usize = 4;

/// A part of the changes since a number.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Part {
    /// Whether the changes start from an empty configuration instead of the requested number.
    pub snapshot: bool,
    /// The changes.
    pub delta: Delta,
    /// Key of the last entity; `None` if this is the last part.
    pub end: Option<EntityKey>,
}

/// A change as stored in the replicated log: the difference from `base`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The number of the new configuration.
    pub number: ConfigNumber,
    /// Digest of the complete new fleet.
    pub content: Digest,
    /// The number that `delta` is relative to.
    pub base: ConfigNumber,
    /// The changes.
    pub delta: Delta,
    /// Name of the operator.
    pub by: String,
    /// The source text of the file, for operators to read back.
    #[serde(default)]
    pub document: Option<serde_bytes::ByteBuf>,
}

/// The content accepted under a number: its digest, and the operator who submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AcceptedContent {
    pub(super) content: Digest,
    pub(super) by: String,
}

/// An entity and the number at which it last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Versioned {
    pub(super) entity: Entity,
    pub(super) changed_at: ConfigNumber,
}

/// The reason why a delta could not be installed at a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstallError {
    /// The delta's number is lower than the one in force.
    NumberDecreases {
        /// The number in force.
        have: ConfigNumber,
        /// The number offered.
        offered: ConfigNumber,
    },
    /// The digest of the result differs from the one that the parent sent.
    DigestDiffers,
}

impl std::fmt::Display for InstallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NumberDecreases { have, offered } => {
                write!(f, "number {offered} offered while {have} is in force")
            }
            Self::DigestDiffers => write!(f, "digest of the configuration differs"),
        }
    }
}

impl std::error::Error for InstallError {}

/// The configuration in force, with the history that deltas for other boxes are made from.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    pub(super) number: ConfigNumber,
    pub(super) digest: Digest,
    pub(super) entities: BTreeMap<EntityKey, Versioned>,
    pub(super) removed: BTreeMap<EntityKey, ConfigNumber>,
    /// Lowest number that a delta can start from; a box with a lower one gets a snapshot.
    pub(super) delta_floor: ConfigNumber,
    pub(super) accepted: BTreeMap<ConfigNumber, AcceptedContent>,
}

impl ConfigState {
    /// Returns the number in force, 0 before the first fleet file.
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Returns the digest of the complete fleet in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Iterates over the entities in force.
    pub fn entities(&self) -> impl Iterator<Item = &Entity> {
        self.entities.values().map(|v| &v.entity)
    }

    /// Returns the digest of the content accepted under `number` and the operator who submitted
    /// it, if it is still kept.
    pub fn accepted_under(&self, number: ConfigNumber) -> Option<(Digest, &str)> {
        self.accepted.get(&number).map(|a| (a.content, a.by.as_str()))
    }

    /// Computes the change that a submitted fleet makes.
    ///
    /// # Errors
    ///
    /// Returns the final outcome if the number is already taken or stale.
    pub fn prepare(&self, fleet: &Fleet, by: &str) -> Result<ConfigChange, ApplyOutcome> {
        let content = fleet.digest();
        if let Some(outcome) = self.existing_outcome(fleet.number, content) {
            return Err(outcome);
        }
        let changed = |key: &EntityKey, entity: &Entity| {
            self.entities.get(key).is_none_or(|have| have.entity != *entity)
        };
        let new = fleet.entities.iter().filter(|(key, entity)| changed(key, entity));
        let removed = self.entities.keys().filter(|key| !fleet.entities.contains_key(*key));
        let delta = Delta {
            upserts: new.map(|(_, entity)| entity.clone()).collect(),
            removals: removed.cloned().collect(),
        };
        let by = by.to_owned();
        let document = fleet.document.clone().map(serde_bytes::ByteBuf::from);
        Ok(ConfigChange { number: fleet.number, content, base: self.number, delta, by, document })
    }

    /// Applies a committed change; returns `None` if its base is outdated, so that it has to be
    /// prepared again.
    pub fn apply(&mut self, change: ConfigChange) -> Option<ApplyOutcome> {
        if let Some(outcome) = self.existing_outcome(change.number, change.content) {
            return Some(outcome);
        }
        if change.base != self.number {
            return None;
        }
        self.merge(&change.delta, change.number);
        self.number = change.number;
        debug_assert_eq!(self.digest, change.content, "the delta results in the announced content");
        let accepted = AcceptedContent { content: change.content, by: change.by };
        self.accepted.insert(change.number, accepted);
        while self.accepted.len() > MAX_ACCEPTED {
            self.accepted.pop_first();
        }
        Some(accepted_outcome(change.number, change.content))
    }

    /// Returns the delta from `have` to the number in force; `true` means that it is a snapshot.
    pub fn delta_since(&self, have: ConfigNumber) -> (bool, Delta) {
        let part = self.part_since(have, None, usize::MAX);
        (part.snapshot, part.delta)
    }

    /// Returns the next part of the changes since `have`, beginning after the entity `after`, in
    /// order of keys. It holds at least one change if there is any, and exceeds `max_bytes` by
    /// less than its last change.
    pub fn part_since(
        &self,
        have: ConfigNumber,
        after: Option<&EntityKey>,
        max_bytes: usize,
    ) -> Part {
        let snapshot = have < self.delta_floor || have > self.number;
        let since = if snapshot { 0 } else { have };
        let mut part = Part { snapshot, ..Part::default() };
        let (mut bytes, mut last) = (0, None::<&EntityKey>);
        for (key, change) in self.changes(since, !snapshot, after) {
            if last.is_some() && bytes >= max_bytes {
                part.end = last.cloned();
                break;
            }
            match change {
                Some(entity) => {
                    bytes += entity.encoded_len();
                    part.delta.upserts.push(entity.clone());
                }
                None => {
                    bytes += key.1.len() + KEY_BYTES;
                    part.delta.removals.push(key.clone());
                }
            }
            last = Some(key);
        }
        part
    }

    /// Iterates in order of keys over the changes since a number that follow the entity `after`;
    /// `None` stands for a removed entity.
    fn changes<'a>(
        &'a self,
        since: ConfigNumber,
        with_removals: bool,
        after: Option<&EntityKey>,
    ) -> impl Iterator<Item = (&'a EntityKey, Option<&'a Entity>)> {
        let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let upserts = self.entities.range::<EntityKey, _>(range);
        let mut upserts = upserts.filter(move |(_, v)| v.changed_at > since).peekable();
        let removals = self.removed.range::<EntityKey, _>(range);
        let mut removals = removals.filter(move |(_, at)| with_removals && **at > since).peekable();
        std::iter::from_fn(move || {
            let removal_is_next = match (upserts.peek(), removals.peek()) {
                // No key is both present and removed.
                (Some((upsert, _)), Some((removal, _))) => removal < upsert,
                (upsert, _) => upsert.is_none(),
            };
            if removal_is_next {
                removals.next().map(|(key, _)| (key, None))
            } else {
                upserts.next().map(|(key, v)| (key, Some(&v.entity)))
            }
        })
    }

    /// Applies a delta or snapshot from another box; the state is unchanged on an error.
    ///
    /// # Errors
    ///
    /// Returns an [`InstallError`] if the number would decrease or the digest differs.
    pub fn install(
        &mut self,
        number: ConfigNumber,
        digest: Digest,
        snapshot: bool,
        delta: &Delta,
    ) -> Result<(), InstallError> {
        if number < self.number {
            return Err(InstallError::NumberDecreases { have: self.number, offered: number });
        }
        if self.digest_after(snapshot, delta) != digest {
            return Err(InstallError::DigestDiffers);
        }
        if snapshot {
            self.entities.clear();
            self.removed.clear();
            self.digest = [0; 32];
            self.delta_floor = number;
        }
        self.merge(delta, number);
        self.number = number;
        Ok(())
    }

    /// Returns the digest after merging `delta`, in time proportional to the size of the delta.
    fn digest_after(&self, snapshot: bool, delta: &Delta) -> Digest {
        let have = |key: &EntityKey| if snapshot { None } else { self.entities.get(key) };
        let mut digest = if snapshot { [0; 32] } else { self.digest };
        for old in delta.removals.iter().filter_map(have) {
            digest = xor(digest, old.entity.digest());
        }
        for entity in &delta.upserts {
            digest = xor(digest, entity.digest());
            if let Some(old) = have(&entity.key()) {
                digest = xor(digest, old.entity.digest());
            }
        }
        digest
    }

    /// Returns the outcome of a submission whose number is already taken or stale.
    fn existing_outcome(&self, number: ConfigNumber, content: Digest) -> Option<ApplyOutcome> {
        if let Some(accepted) = self.accepted.get(&number) {
            if accepted.content == content {
                return Some(accepted_outcome(number, content));
            }
            let (winner, by) = (to_hex(&accepted.content), accepted.by.clone());
            return Some(ApplyOutcome::Taken { number, winner, by });
        }
        let stale = number <= self.number;
        stale.then_some(ApplyOutcome::Stale { number, newest: self.number })
    }

    fn merge(&mut self, delta: &Delta, number: ConfigNumber) {
        for key in &delta.removals {
            if let Some(old) = self.entities.remove(key) {
                self.digest = xor(self.digest, old.entity.digest());
                self.removed.insert(key.clone(), number);
            }
        }
        for entity in &delta.upserts {
            let key = entity.key();
            self.digest = xor(self.digest, entity.digest());
            self.removed.remove(&key);
            let versioned = Versioned { entity: entity.clone(), changed_at: number };
            if let Some(old) = self.entities.insert(key, versioned) {
                self.digest = xor(self.digest, old.entity.digest());
            }
        }
        self.trim_removed();
    }

    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) else { return };
            self.removed.remove(&key);
            self.delta_floor = self.delta_floor.max(at);
        }
    }
}

fn accepted_outcome(number: ConfigNumber, content: Digest) -> ApplyOutcome {
    ApplyOutcome::Accepted { number, content: to_hex(&content) }
}
