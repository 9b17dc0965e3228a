//! Which box owns which engine: rendezvous hashing over the boxes that serve.
//!
//! At full size one pass costs boxes times engines hashes, so the outcome is
//! kept until the boxes or the configuration change, not worked out on requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use twox_hash::XxHash64;

use crate::config::FleetView;
use crate::ids::{PoolName, RunnerName};
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

/// Who decides for which engine, worked out once for a set of boxes and a configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnerMap {
    owned: HashSet<RunnerName>,
    by_pool: HashMap<PoolName, HashMap<SocketAddr, usize>>,
}

impl OwnerMap {
    /// Works out the owners of all engines; with no box serving, `own` decides for all.
    pub fn new(view: &FleetView, boxes: &[&MemberRecord], own: &MemberRecord) -> Self {
        let mut map = Self::default();
        for pool in &view.pools {
            let counts = map.by_pool.entry(pool.pool.name.clone()).or_default();
            for runner in &pool.runners {
                let owner = owner_of(&runner.name, boxes.iter().copied()).unwrap_or(own);
                *counts.entry(owner.box_addr).or_default() += 1;
                if owner.subject == own.subject {
                    map.owned.insert(runner.name.clone());
                }
            }
        }
        map
    }

    /// Returns whether this box decides for an engine.
    pub fn owns(&self, runner: &str) -> bool {
        self.owned.contains(runner)
    }

    /// Returns how many engines of a pool each box decides for, by the box's address.
    pub fn owners_of(&self, pool: &str) -> HashMap<SocketAddr, usize> {
        self.by_pool.get(pool).cloned().unwrap_or_default()
    }
}
