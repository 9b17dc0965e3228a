//! Which box owns which engine: rendezvous hashing over the boxes that serve.
//!
//! At full size one pass costs boxes times engines hashes, so the outcome is
//! kept and mended by what changed, not worked out on requests.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use twox_hash::XxHash64;

use crate::config::FleetView;
use crate::ids::{BoxName, FailureDomainName, PoolName, RunnerName};
use crate::membership::{MemberRecord, Subject};

/// Seed of the hash; all boxes have to use the same.
const SEED: u64 = 0x6861_7463_6870;

/// Finds the owner of an engine. When a box leaves, only its engines move.
pub fn owner_of<'a>(
    runner: &str,
    boxes: impl Iterator<Item = &'a MemberRecord>,
) -> Option<&'a MemberRecord> {
    boxes.max_by_key(|record| {
        let Subject::Box(name) = &record.subject else { return (0, "") };
        (weight(runner, name), name.as_str())
    })
}

fn weight(runner: &str, name: &str) -> u64 {
    let bytes = [runner.as_bytes(), b"/", name.as_bytes()].concat();
    XxHash64::oneshot(SEED, &bytes)
}

/// An engine's owner so far.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Owned {
    pool: PoolName,
    domain: FailureDomainName,
    /// Weight and name of the owner; `None` while no box serves.
    best: Option<(u64, BoxName)>,
}

/// Who decides for which engine, mended by what changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnerMap {
    boxes: BTreeMap<BoxName, SocketAddr>,
    engines: BTreeMap<RunnerName, Owned>,
    own: BoxName,
    by_pool: HashMap<PoolName, HashMap<SocketAddr, usize>>,
    /// Boxes that own an engine in a failure domain.
    in_domain: HashMap<FailureDomainName, HashSet<SocketAddr>>,
}

impl OwnerMap {
    /// Takes in the configuration and the boxes that serve; returns whether any owner changed.
    ///
    /// A box that came is compared with the owner of each engine; only the engines of a box
    /// that went, and new ones, are compared with all boxes.
    pub fn update(
        &mut self,
        view: &FleetView,
        boxes: &[&MemberRecord],
        own: &MemberRecord,
    ) -> bool {
        let before = self.engines.clone();
        self.own = box_name(own);
        let now: BTreeMap<BoxName, SocketAddr> =
            boxes.iter().map(|record| (box_name(record), record.box_addr)).collect();
        let came: Vec<BoxName> =
            now.keys().filter(|name| !self.boxes.contains_key(*name)).cloned().collect();
        let moved = self.boxes != now;
        self.boxes = now;
        let mut engines = std::mem::take(&mut self.engines);
        for pool in &view.pools {
            for runner in &pool.runners {
                let known = engines.remove(&runner.name);
                let owned = Owned {
                    pool: pool.pool.name.clone(),
                    domain: runner.failure_domain.clone(),
                    best: self.best(&runner.name, known.and_then(|known| known.best), &came),
                };
                self.engines.insert(runner.name.clone(), owned);
            }
        }
        self.count(own.box_addr);
        moved || self.engines != before
    }

    /// Returns whether this box decides for an engine.
    pub fn owns(&self, runner: &str) -> bool {
        let owned = self.engines.get(runner);
        owned.is_some_and(|owned| owned.best.as_ref().is_none_or(|(_, name)| *name == self.own))
    }

    /// Returns how many engines of a pool each box decides for, by the box's address.
    pub fn owners_of(&self, pool: &str) -> HashMap<SocketAddr, usize> {
        self.by_pool.get(pool).cloned().unwrap_or_default()
    }

    /// Returns whether a box owns an engine in a failure domain.
    pub fn owns_in(&self, domain: &str, addr: SocketAddr) -> bool {
        self.in_domain.get(domain).is_some_and(|owners| owners.contains(&addr))
    }

    /// Returns the owner's name of an engine, if any box serves.
    pub fn owner(&self, runner: &str) -> Option<&BoxName> {
        self.engines.get(runner)?.best.as_ref().map(|(_, name)| name)
    }

    fn best(
        &self,
        runner: &str,
        known: Option<(u64, BoxName)>,
        came: &[BoxName],
    ) -> Option<(u64, BoxName)> {
        let weighed = |name: &BoxName| (weight(runner, name), name.clone());
        match known.filter(|(_, name)| self.boxes.contains_key(name)) {
            Some(known) => came.iter().map(weighed).chain([known]).max(),
            None => self.boxes.keys().map(weighed).max(),
        }
    }

    /// Counts the engines of each box; with no box serving, this one decides for all.
    fn count(&mut self, own: SocketAddr) {
        self.by_pool.clear();
        self.in_domain.clear();
        for owned in self.engines.values() {
            let owner = owned.best.as_ref().and_then(|(_, name)| self.boxes.get(name));
            let counts = self.by_pool.entry(owned.pool.clone()).or_default();
            let owner = owner.copied().unwrap_or(own);
            *counts.entry(owner).or_default() += 1;
            self.in_domain.entry(owned.domain.clone()).or_default().insert(owner);
        }
    }
}

fn box_name(record: &MemberRecord) -> BoxName {
    match &record.subject {
        Subject::Box(name) | Subject::Upstream(name) => name.clone(),
    }
}
