//! The slots that a box holds, and the owners that have to know of them.
//!
//! Load pattern answered: an owner that is gone, or engines that change owners because boxes come
//! and go. The new owner knows nothing of what runs, and would fill engines that are full; so
//! each box tells it of the slots that it holds there.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use super::messages::AdoptedSlot;
use crate::dispatch::SlotRequest;
use crate::ids::{AttemptId, PoolName, RunnerName};

/// A slot that this box holds.
#[derive(Debug, Clone)]
pub struct HeldSlot {
    /// The box that counts it.
    pub owner: SocketAddr,
    /// The pool.
    pub pool: PoolName,
    /// The engine.
    pub runner: RunnerName,
    /// What was asked for.
    pub want: SlotRequest,
    /// When it was granted.
    pub since: Instant,
    /// Whether this box granted it, and so counts it until it is given back.
    pub granted_here: bool,
}

/// Slots by run.
#[derive(Debug, Default)]
pub struct HeldSlots(HashMap<AttemptId, HeldSlot>);

impl HeldSlots {
    /// Notes a slot.
    pub fn put(&mut self, id: AttemptId, held: HeldSlot) {
        self.0.insert(id, held);
    }

    /// Takes a slot that is given back.
    pub fn remove(&mut self, id: &str) -> Option<HeldSlot> {
        self.0.remove(id)
    }

    /// Returns the runs whose slots each owner counts.
    pub fn by_owner(&self) -> BTreeMap<SocketAddr, Vec<AttemptId>> {
        let mut owners: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
        for (id, held) in &self.0 {
            owners.entry(held.owner).or_default().push(id.clone());
        }
        owners
    }

    /// Returns the slots whose engine has another owner now, by that owner; `own` is the address
    /// of this box.
    pub fn strays(
        &mut self,
        own: SocketAddr,
        owner_of: impl Fn(&str) -> Option<SocketAddr>,
        now: Instant,
    ) -> BTreeMap<SocketAddr, Vec<AdoptedSlot>> {
        let mut strays: BTreeMap<SocketAddr, Vec<AdoptedSlot>> = BTreeMap::new();
        for held in self.0.values_mut() {
            let Some(owner) = owner_of(&held.runner).filter(|owner| *owner != held.owner) else {
                continue;
            };
            if owner == own && held.granted_here {
                held.owner = own;
                continue;
            }
            strays.entry(owner).or_default().push(AdoptedSlot {
                pool: held.pool.clone(),
                runner: held.runner.clone(),
                want: held.want.clone(),
                age: now.duration_since(held.since),
            });
        }
        strays
    }

    /// Notes that an owner counts these slots from now on; returns those that were given back
    /// meanwhile, of which the owner has to be told.
    pub fn adopted(&mut self, owner: SocketAddr, ids: Vec<AttemptId>) -> Vec<AttemptId> {
        let mut given_back = Vec::new();
        for id in ids {
            match self.0.get_mut(&id) {
                Some(held) => held.owner = owner,
                None => given_back.push(id),
            }
        }
        given_back
    }
}
