//! Assigns an owner box to each engine by rendezvous hashing over the serving boxes.
//!
//! A full assignment costs boxes times engines hashes, so the result is cached and updated
//! incrementally when the membership or the configuration changes, never per request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use twox_hash::XxHash64;

use crate::config::FleetView;
use crate::ids::{BoxName, FailureDomainName, PoolName, RunnerName};
use crate::membership::{MemberRecord, Subject};

/// Seed of the hash. All boxes must use the same one.
const HASH_SEED: u64 = 0x6861_7463_6870;

/// Returns the box with the highest rendezvous weight for an engine. When a box leaves, only its
/// engines change their owner.
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
    XxHash64::oneshot(HASH_SEED, &bytes)
}

/// Largest number of engines in a shard: high enough that most requests find an idle engine at a
/// single owner, low enough that the loss of an owner leaves most engines of a failure domain
/// reachable.
const MAX_SHARD_ENGINES: usize = 8;

/// Identifies a shard: engines of one pool and failure domain that share an owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ShardKey {
    pool: PoolName,
    domain: FailureDomainName,
    number: usize,
}

impl ShardKey {
    fn hash_key(&self) -> String {
        format!("{}/{}/{}", self.pool, self.domain, self.number)
    }
}

/// Returns the number of shards for so many engines of one pool and failure domain. It is a power
/// of two: engines that join or leave seldom change it, and when it doubles, half of the engines
/// keep their shard.
pub fn shard_count(engines: usize) -> usize {
    engines.div_ceil(MAX_SHARD_ENGINES).next_power_of_two()
}

/// Returns the shard number of an engine, given the number of shards.
pub fn shard_of(runner: &str, shards: usize) -> usize {
    (0..shards).max_by_key(|number| weight(runner, &number.to_string())).unwrap_or(0)
}

/// Maps each engine to its owner. Updated incrementally.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnerMap {
    boxes: BTreeMap<BoxName, (SocketAddr, FailureDomainName)>,
    engines: BTreeMap<RunnerName, ShardKey>,
    /// Owner of each shard, with its rendezvous weight; `None` while no box serves.
    owners: BTreeMap<ShardKey, Option<(u64, BoxName)>>,
    /// Name of this box.
    own: BoxName,
    /// Number of engines of each pool, by owner.
    counts_by_pool: HashMap<PoolName, HashMap<SocketAddr, usize>>,
    /// Boxes that own engines in each failure domain.
    owners_by_domain: HashMap<FailureDomainName, HashSet<SocketAddr>>,
}

impl OwnerMap {
    /// Replaces the engines by those of a configuration. Their owners are assigned by the next
    /// [`OwnerMap::update`].
    pub fn set_engines(&mut self, view: &FleetView) {
        self.engines = shards_by_engine(view);
    }

    /// Replaces the serving boxes and reassigns the shards. Returns whether the boxes or any owner
    /// changed.
    ///
    /// A box that joined is compared only with the current owner of each shard. Shards that are
    /// new or lost their owner are compared with all boxes of their failure domain.
    pub fn update(&mut self, boxes: &[&MemberRecord], own: &MemberRecord) -> bool {
        self.own = box_name(own);
        let location = |record: &&MemberRecord| (record.box_addr, record.failure_domain.clone());
        let current: BTreeMap<BoxName, (SocketAddr, FailureDomainName)> =
            boxes.iter().map(|record| (box_name(record), location(record))).collect();
        let joined: Vec<BoxName> =
            current.keys().filter(|name| !self.boxes.contains_key(*name)).cloned().collect();
        let boxes_changed = self.boxes != current;
        self.boxes = current;
        let mut owners = BTreeMap::new();
        for key in self.engines.values() {
            if !owners.contains_key(key) {
                owners.insert(key.clone(), self.update_owner(key, &joined));
            }
        }
        let changed = boxes_changed || self.owners != owners;
        self.owners = owners;
        self.rebuild_counts(own.box_addr);
        changed
    }

    /// Returns whether this box owns an engine, which it also does while no box serves.
    pub fn owns(&self, runner: &str) -> bool {
        self.engines.contains_key(runner) && self.owner(runner).is_none_or(|name| *name == self.own)
    }

    /// Returns how many engines of a pool each box owns, by the address of the box.
    pub fn owners_of(&self, pool: &str) -> HashMap<SocketAddr, usize> {
        self.counts_by_pool.get(pool).cloned().unwrap_or_default()
    }

    /// Returns whether a box owns any engine in a failure domain.
    pub fn owns_in(&self, domain: &str, addr: SocketAddr) -> bool {
        self.owners_by_domain.get(domain).is_some_and(|owners| owners.contains(&addr))
    }

    /// Returns the name of an engine's owner, if the engine is known and a box serves.
    pub fn owner(&self, runner: &str) -> Option<&BoxName> {
        let shard = self.owners.get(self.engines.get(runner)?)?;
        shard.as_ref().map(|(_, name)| name)
    }

    /// Returns the address of an engine's owner, if the engine is known and a box serves.
    pub fn owner_addr(&self, runner: &str) -> Option<SocketAddr> {
        self.boxes.get(self.owner(runner)?).map(|(addr, _)| *addr)
    }

    /// Computes the owner of a shard over all boxes of its failure domain, or over all boxes while
    /// none serves there.
    fn compute_owner(&self, key: &ShardKey) -> Option<(u64, BoxName)> {
        let hash_key = key.hash_key();
        let weighted = |name: &BoxName| (weight(&hash_key, name), name.clone());
        let local = self.boxes.keys().filter(|name| self.is_in_domain(name, key));
        local.map(weighted).max().or_else(|| self.boxes.keys().map(weighted).max())
    }

    /// Computes the owner of a shard from its previous owner and the boxes that joined.
    fn update_owner(&self, key: &ShardKey, joined: &[BoxName]) -> Option<(u64, BoxName)> {
        let known = self.owners.get(key).and_then(|known| known.as_ref());
        let Some(known) = known.filter(|(_, name)| self.is_in_domain(name, key)) else {
            return self.compute_owner(key);
        };
        let hash_key = key.hash_key();
        let joined = joined.iter().filter(|name| self.is_in_domain(name, key));
        joined.map(|name| (weight(&hash_key, name), name.clone())).chain([known.clone()]).max()
    }

    fn is_in_domain(&self, name: &str, key: &ShardKey) -> bool {
        self.boxes.get(name).is_some_and(|(_, domain)| *domain == key.domain)
    }

    /// Rebuilds the counts of engines per owner. While no box serves, this box owns all engines.
    fn rebuild_counts(&mut self, own: SocketAddr) {
        self.counts_by_pool.clear();
        self.owners_by_domain.clear();
        for key in self.engines.values() {
            let owner = self.owners.get(key).and_then(|best| best.as_ref());
            let owner = owner.and_then(|(_, name)| self.boxes.get(name));
            let counts = self.counts_by_pool.entry(key.pool.clone()).or_default();
            let owner = owner.map_or(own, |(addr, _)| *addr);
            *counts.entry(owner).or_default() += 1;
            self.owners_by_domain.entry(key.domain.clone()).or_default().insert(owner);
        }
    }
}

/// Assigns each engine of a configuration to a shard.
fn shards_by_engine(view: &FleetView) -> BTreeMap<RunnerName, ShardKey> {
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
