//! The upstreams as one entry box knows them: the union of what the control boxes tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::messages::{Epoch, FollowAnswer, Phase, UpstreamRecord, Version};
use crate::ids::RunnerName;

/// Ended lives that are remembered; beyond it the oldest are forgotten.
const MAX_ENDED: usize = 65_536;

#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) record: UpstreamRecord,
    /// Control boxes that name it, and the life of the table that did.
    pub(super) sources: BTreeMap<SocketAddr, Epoch>,
    /// Version at which it was first named, and whether its life was new then.
    pub(super) named: (Version, bool),
}

/// What one entry box knows of all upstreams.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    pub(super) known: BTreeMap<RunnerName, Known>,
    /// Lives that ended, with the order in which this box heard of it.
    pub(super) ended: BTreeMap<RunnerName, Version>,
    followed: BTreeMap<SocketAddr, (Epoch, Version)>,
    version: Version,
}

impl Roster {
    /// Returns a number that grows with every change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns what this box has of a control box's table.
    pub fn position(&self, source: SocketAddr) -> (Epoch, Version) {
        self.followed.get(&source).copied().unwrap_or_default()
    }

    /// Takes a control box's answer in; returns whether anything changed.
    pub fn take(&mut self, source: SocketAddr, answer: FollowAnswer) -> bool {
        let before = self.version;
        self.followed.insert(source, (answer.epoch, answer.version));
        for id in answer.ended {
            self.end(id);
        }
        for id in answer.lapsed {
            self.unname(&id, source);
        }
        for record in answer.records {
            self.name(record, source, answer.epoch);
        }
        if answer.settled {
            self.forget_former_lives(source, answer.epoch);
        }
        before != self.version
    }

    /// Iterates over the upstreams that take work.
    pub fn serving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Serving)
    }

    /// Looks an upstream up, whether it takes work or not.
    pub fn get(&self, id: &str) -> Option<&UpstreamRecord> {
        self.known.get(id).map(|known| &known.record)
    }

    /// Iterates over the upstreams that finish what they have.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Leaving)
    }

    fn end(&mut self, id: RunnerName) {
        if self.ended.contains_key(&id) {
            return;
        }
        self.version += 1;
        self.known.remove(&id);
        self.ended.insert(id, self.version);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone());
            oldest.map(|id| self.ended.remove(&id));
        }
    }

    fn unname(&mut self, id: &str, source: SocketAddr) {
        let Some(known) = self.known.get_mut(id) else { return };
        known.sources.remove(&source);
        if known.sources.is_empty() {
            self.known.remove(id);
            self.version += 1;
        }
    }

    fn name(&mut self, record: UpstreamRecord, source: SocketAddr, epoch: Epoch) {
        if self.ended.contains_key(&record.id) {
            return;
        }
        if let Some(known) = self.known.get_mut(&record.id) {
            known.sources.insert(source, epoch);
            if record.supersedes(&known.record) && record.addr == known.record.addr {
                let changed = record.phase != known.record.phase;
                known.record = record;
                self.version += u64::from(changed);
            }
            return;
        }
        // Of two older lives at one address the control boxes come to know which one ended.
        let is_new = record.is_new_life();
        let former = self.known.values().filter(|known| known.record.addr == record.addr);
        let former: Vec<RunnerName> = former.map(|known| known.record.id.clone()).collect();
        for id in former.into_iter().filter(|_| is_new) {
            self.end(id);
        }
        self.version += 1;
        let sources = BTreeMap::from([(source, epoch)]);
        let named = (self.version, is_new);
        self.known.insert(record.id.clone(), Known { record, sources, named });
    }

    /// Drops what only an earlier life of a control box named.
    fn forget_former_lives(&mut self, source: SocketAddr, epoch: Epoch) {
        let before = self.known.len();
        self.known.retain(|_, known| {
            if known.sources.get(&source).is_some_and(|named| *named != epoch) {
                known.sources.remove(&source);
            }
            !known.sources.is_empty()
        });
        self.version += u64::from(before != self.known.len());
    }
}
