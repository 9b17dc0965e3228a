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

/// Engines of a pool and failure domain that one box decides for, at the most: enough that most
/// requests find an idle one among those of a single owner, few enough that the loss of an owner
/// leaves most engines of a failure domain in reach.
const ENGINES_A_SHARD: usize = 8;

/// Engines of one pool and failure domain that share an owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ShardKey {
    pool: PoolName,
    domain: FailureDomainName,
    number: usize,
}

impl ShardKey {
    fn hashed(&self) -> String {
        format!("{}/{}/{}", self.pool, self.domain, self.number)
    }
}

/// Returns how many shards the engines of one pool and failure domain make: a power of two, so
/// that engines that come and go seldom change it, and half of the engines stay when they do.
pub fn shard_count(engines: usize) -> usize {
    engines.div_ceil(ENGINES_A_SHARD).next_power_of_two()
}

/// Returns the shard of an engine, of so many.
pub fn shard_of(runner: &str, shards: usize) -> usize {
    (0..shards).max_by_key(|number| weight(runner, &number.to_string())).unwrap_or(0)
}

/// Who decides for which engine, mended by what changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnerMap {
    boxes: BTreeMap<BoxName, (SocketAddr, FailureDomainName)>,
    engines: BTreeMap<RunnerName, ShardKey>,
    /// Weight and name of each shard's owner; `None` while no box serves.
    owners: BTreeMap<ShardKey, Option<(u64, BoxName)>>,
    own: BoxName,
    by_pool: HashMap<PoolName, HashMap<SocketAddr, usize>>,
    /// Boxes that own an engine in a failure domain.
    in_domain: HashMap<FailureDomainName, HashSet<SocketAddr>>,
}

impl OwnerMap {
    /// Takes in the engines of a configuration; [`OwnerMap::update`] then finds their owners.
    pub fn set_engines(&mut self, view: &FleetView) {
        self.engines = engines_of(view);
    }

    /// Takes in the boxes that serve; returns whether any owner changed.
    ///
    /// A box that came is compared with the owner of each shard; only the shards of a box that
    /// went, and new ones, are compared with all boxes of their failure domain.
    pub fn update(&mut self, boxes: &[&MemberRecord], own: &MemberRecord) -> bool {
        self.own = box_name(own);
        let place = |record: &&MemberRecord| (record.box_addr, record.failure_domain.clone());
        let now: BTreeMap<BoxName, (SocketAddr, FailureDomainName)> =
            boxes.iter().map(|record| (box_name(record), place(record))).collect();
        let came: Vec<BoxName> =
            now.keys().filter(|name| !self.boxes.contains_key(*name)).cloned().collect();
        let moved = self.boxes != now;
        self.boxes = now;
        let mut owners = BTreeMap::new();
        for key in self.engines.values() {
            if !owners.contains_key(key) {
                owners.insert(key.clone(), self.mended(key, &came));
            }
        }
        let changed = moved || self.owners != owners;
        self.owners = owners;
        self.count(own.box_addr);
        changed
    }

    /// Returns whether this box decides for an engine.
    pub fn owns(&self, runner: &str) -> bool {
        self.engines.contains_key(runner) && self.owner(runner).is_none_or(|name| *name == self.own)
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
        let shard = self.owners.get(self.engines.get(runner)?)?;
        shard.as_ref().map(|(_, name)| name)
    }

    /// Returns the address of an engine's owner, if any box serves.
    pub fn owner_addr(&self, runner: &str) -> Option<SocketAddr> {
        self.boxes.get(self.owner(runner)?).map(|(addr, _)| *addr)
    }

    /// Finds the owner of a shard: a box of its failure domain, or any while none serves there.
    fn best(&self, key: &ShardKey) -> Option<(u64, BoxName)> {
        let hashed = key.hashed();
        let weighed = |name: &BoxName| (weight(&hashed, name), name.clone());
        let near = self.boxes.keys().filter(|name| self.is_near(name, key));
        near.map(weighed).max().or_else(|| self.boxes.keys().map(weighed).max())
    }

    /// Finds the owner of a shard from the one it had and the boxes that came.
    fn mended(&self, key: &ShardKey, came: &[BoxName]) -> Option<(u64, BoxName)> {
        let known = self.owners.get(key).and_then(|known| known.as_ref());
        let Some(known) = known.filter(|(_, name)| self.is_near(name, key)) else {
            return self.best(key);
        };
        let hashed = key.hashed();
        let came = came.iter().filter(|name| self.is_near(name, key));
        came.map(|name| (weight(&hashed, name), name.clone())).chain([known.clone()]).max()
    }

    fn is_near(&self, name: &str, key: &ShardKey) -> bool {
        self.boxes.get(name).is_some_and(|(_, domain)| *domain == key.domain)
    }

    /// Counts the engines of each box; with no box serving, this one decides for all.
    fn count(&mut self, own: SocketAddr) {
        self.by_pool.clear();
        self.in_domain.clear();
        for key in self.engines.values() {
            let owner = self.owners.get(key).and_then(|best| best.as_ref());
            let owner = owner.and_then(|(_, name)| self.boxes.get(name));
            let counts = self.by_pool.entry(key.pool.clone()).or_default();
            let owner = owner.map_or(own, |(addr, _)| *addr);
            *counts.entry(owner).or_default() += 1;
            self.in_domain.entry(key.domain.clone()).or_default().insert(owner);
        }
    }
}

/// Returns the shard of each engine.
fn engines_of(view: &FleetView) -> BTreeMap<RunnerName, ShardKey> {
    let mut engines = BTreeMap::new();
    for pool in &view.pools {
        let mut sizes: HashMap<&str, usize> = HashMap::new();
        for runner in &pool.runners {
            *sizes.entry(&runner.failure_domain).or_default() += 1;
        }
        for runner in &pool.runners {
            let key = ShardKey {
                pool: pool.pool.name.clone(),
                domain: runner.failure_domain.clone(),
                number: shard_of(&runner.name, shard_count(sizes[runner.failure_domain.as_str()])),
            };
            engines.insert(runner.name.clone(), key);
        }
    }
    engines
}

fn box_name(record: &MemberRecord) -> BoxName {
    match &record.subject {
        Subject::Box(name) | Subject::Upstream(name) => name.clone(),
    }
}
