//! The slots that a box holds, and the owner box that accounts for each of them.
//!
//! An engine changes owner when its owner fails or when boxes join and leave. The new owner does
//! not know which runs occupy the engine and would overcommit it, so each box reports the slots
//! that it holds there.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use super::messages::AdoptedSlot;
use crate::dispatch::SlotRequest;
use crate::ids::{AttemptId, PoolName, RunnerName};

/// A slot that this box holds.
#[derive(Debug, Clone)]
pub struct HeldSlot {
    /// Address of the owner box that accounts for the slot.
    pub owner: SocketAddr,
    /// Pool of the engine.
    pub pool: PoolName,
    /// Engine that the slot is on.
    pub runner: RunnerName,
    /// Request that the slot was granted for.
    pub want: SlotRequest,
    /// Time of the grant.
    pub since: Instant,
    /// Whether this box granted the slot; its own gate then accounts for it until the release.
    pub granted_here: bool,
}

/// The slots that this box holds, by attempt id.
#[derive(Debug, Default)]
pub struct HeldSlots(HashMap<AttemptId, HeldSlot>);

impl HeldSlots {
    /// Records a slot.
    pub fn insert(&mut self, id: AttemptId, held: HeldSlot) {
        self.0.insert(id, held);
    }

    /// Removes a slot that is being released.
    pub fn remove(&mut self, id: &str) -> Option<HeldSlot> {
        self.0.remove(id)
    }

    /// Returns the attempts whose slots each owner accounts for.
    pub fn by_owner(&self) -> BTreeMap<SocketAddr, Vec<AttemptId>> {
        let mut owners: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
        for (id, held) in &self.0 {
            owners.entry(held.owner).or_default().push(id.clone());
        }
        owners
    }

    /// Returns the slots whose engine has changed owner, by new owner. `own_addr` is the address of
    /// this box. A slot that this box granted and whose engine it owns again is still accounted for
    /// here, so its owner is updated and it is not returned.
    pub fn reassigned(
        &mut self,
        own_addr: SocketAddr,
        owner_of: impl Fn(&str) -> Option<SocketAddr>,
        now: Instant,
    ) -> BTreeMap<SocketAddr, Vec<AdoptedSlot>> {
        let mut reassigned: BTreeMap<SocketAddr, Vec<AdoptedSlot>> = BTreeMap::new();
        for held in self.0.values_mut() {
            let Some(owner) = owner_of(&held.runner).filter(|owner| *owner != held.owner) else {
                continue;
            };
            if owner == own_addr && held.granted_here {
                held.owner = own_addr;
                continue;
            }
            reassigned.entry(owner).or_default().push(AdoptedSlot {
                pool: held.pool.clone(),
                runner: held.runner.clone(),
                want: held.want.clone(),
                age: now.duration_since(held.since),
            });
        }
        reassigned
    }

    /// Records that `owner` now accounts for these slots. Returns the attempts whose slots were
    /// released in the meantime; the caller has to send their release to `owner`.
    pub fn mark_adopted(&mut self, owner: SocketAddr, ids: Vec<AttemptId>) -> Vec<AttemptId> {
        let mut released = Vec::new();
        for id in ids {
            match self.0.get_mut(&id) {
                Some(held) => held.owner = owner,
                None => released.push(id),
            }
        }
        released
    }
}
