//! The configuration in force, as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - the number in force never goes down;
//! - the digest is that of the entities;
//! - each accepted number has one content for ever (kept for the last
//!   [`KEPT_NUMBERS`]; an older number is refused as stale).

use std::collections::BTreeMap;
use std::ops::Bound;

use hatchpitch_net::keys::to_hex;
use serde::{Deserialize, Serialize};

use super::entity::{Entity, EntityKey, Fleet, xor};
use super::messages::{ApplyOutcome, Delta};
use crate::ids::{ConfigNumber, Digest};

/// Accepted numbers whose content is remembered: five days at 13,000 changes a day.
pub const KEPT_NUMBERS: usize = 65_536;
/// Removed entities that are remembered; a box that is further behind gets a snapshot.
pub const KEPT_REMOVALS: usize = 16_384;

/// Bytes of an encoded key beside its name.
const KEY_BYTES: usize = 4;

/// A part of what changed since a number.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Part {
    /// Whether the changes start from nothing instead of from the number asked with.
    pub snapshot: bool,
    /// The changes.
    pub delta: Delta,
    /// The last entity of this part; `None` if nothing follows.
    pub end: Option<EntityKey>,
}

/// A change as the replicated log carries it: only what differs from `base`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The number of the new configuration.
    pub number: ConfigNumber,
    /// Digest of the whole new fleet.
    pub content: Digest,
    /// The number that `delta` starts from.
    pub base: ConfigNumber,
    /// What changes.
    pub delta: Delta,
    /// Name of the operator.
    pub by: String,
    /// The text that operators read back.
    #[serde(default)]
    pub document: Option<serde_bytes::ByteBuf>,
}

/// The content that holds a number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AcceptedContent {
    pub(super) content: Digest,
    pub(super) by: String,
}

/// An entity and the number that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Versioned {
    pub(super) entity: Entity,
    pub(super) changed_at: ConfigNumber,
}

/// Why a delta could not be put in force at a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstallError {
    /// The delta leads to a lower number than the one in force.
    GoesBack {
        /// The number in force.
        have: ConfigNumber,
        /// The number offered.
        offered: ConfigNumber,
    },
    /// The digest of the result is not the one announced.
    DigestDiffers,
}

impl std::fmt::Display for InstallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::GoesBack { have, offered } => {
                write!(f, "number {offered} offered while {have} is in force")
            }
            Self::DigestDiffers => write!(f, "digest of the configuration differs"),
        }
    }
}

impl std::error::Error for InstallError {}

/// The configuration in force and what is needed to bring others up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    pub(super) number: ConfigNumber,
    pub(super) digest: Digest,
    pub(super) entities: BTreeMap<EntityKey, Versioned>,
    pub(super) removed: BTreeMap<EntityKey, ConfigNumber>,
    /// Deltas can be made from this number on; from an older one only snapshots.
    pub(super) delta_floor: ConfigNumber,
    pub(super) accepted: BTreeMap<ConfigNumber, AcceptedContent>,
}

impl ConfigState {
    /// Returns the number in force, 0 before the first file.
    pub fn number(&self) -> ConfigNumber {
        self.number
    }

    /// Returns the digest of the whole fleet in force.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Iterates over the entities in force.
    pub fn entities(&self) -> impl Iterator<Item = &Entity> {
        self.entities.values().map(|v| &v.entity)
    }

    /// Returns the digest of the content accepted under `number` and who submitted it, if it
    /// is remembered.
    pub fn accepted_under(&self, number: ConfigNumber) -> Option<(Digest, &str)> {
        self.accepted.get(&number).map(|a| (a.content, a.by.as_str()))
    }

    /// Works out what a submitted fleet would change.
    ///
    /// # Errors
    ///
    /// Returns the outcome at once if the number is used or stale.
    pub fn prepare(&self, fleet: &Fleet, by: &str) -> Result<ConfigChange, ApplyOutcome> {
        let content = fleet.digest();
        if let Some(outcome) = self.settled(fleet.number, content) {
            return Err(outcome);
        }
        let changed = |key: &EntityKey, entity: &Entity| {
            self.entities.get(key).is_none_or(|have| have.entity != *entity)
        };
        let new = fleet.entities.iter().filter(|(key, entity)| changed(key, entity));
        let gone = self.entities.keys().filter(|key| !fleet.entities.contains_key(*key));
        let delta = Delta {
            upserts: new.map(|(_, entity)| entity.clone()).collect(),
            removals: gone.cloned().collect(),
        };
        let by = by.to_owned();
        let document = fleet.document.clone().map(serde_bytes::ByteBuf::from);
        Ok(ConfigChange { number: fleet.number, content, base: self.number, delta, by, document })
    }

    /// Applies a committed change; `None` if another change came between and it must be prepared anew.
    pub fn apply(&mut self, change: ConfigChange) -> Option<ApplyOutcome> {
        if let Some(outcome) = self.settled(change.number, change.content) {
            return Some(outcome);
        }
        if change.base != self.number {
            return None;
        }
        self.merge(&change.delta, change.number);
        self.number = change.number;
        debug_assert_eq!(self.digest, change.content, "the delta leads to the content");
        let accepted = AcceptedContent { content: change.content, by: change.by };
        self.accepted.insert(change.number, accepted);
        while self.accepted.len() > KEPT_NUMBERS {
            self.accepted.pop_first();
        }
        Some(accepted_outcome(change.number, change.content))
    }

    /// Returns what bringing a box from `have` to the number in force takes; `true` means a snapshot.
    pub fn delta_since(&self, have: ConfigNumber) -> (bool, Delta) {
        let part = self.part_since(have, None, usize::MAX);
        (part.snapshot, part.delta)
    }

    /// Returns the first changes since `have` of the entities after `after`, in order of their
    /// keys: at least one, and no more than about `max_bytes` of them.
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

    /// Iterates over what changed since a number after an entity, in order of keys; `None` stands
    /// for an entity that is gone.
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
                // No key is in both tables.
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

    /// Puts a delta or snapshot from another box in force here; nothing changes on an error.
    ///
    /// # Errors
    ///
    /// Returns an [`InstallError`] if the number would go back or the digest differs.
    pub fn install(
        &mut self,
        number: ConfigNumber,
        digest: Digest,
        snapshot: bool,
        delta: &Delta,
    ) -> Result<(), InstallError> {
        if number < self.number {
            return Err(InstallError::GoesBack { have: self.number, offered: number });
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

    /// Returns the digest that merging `delta` would lead to; costs what the delta holds.
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

    fn settled(&self, number: ConfigNumber, content: Digest) -> Option<ApplyOutcome> {
        if let Some(held) = self.accepted.get(&number) {
            if held.content == content {
                return Some(accepted_outcome(number, content));
            }
            let (winner, by) = (to_hex(&held.content), held.by.clone());
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
        while self.removed.len() > KEPT_REMOVALS {
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
