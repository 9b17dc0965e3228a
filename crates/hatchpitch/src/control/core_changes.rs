//! Decides which membership change of the replication group comes next.
//!
//! A voter beyond the target size is a risk once it is gone: four voters need three, so no other one
//! may fail, whereas the three without it need two. The leader therefore removes such a voter as soon
//! as it knows that it is gone, and not only once it has been silent. A group at its target size or
//! below it keeps its voters, since most of them return.
//!
//! Each change is decided from the present state alone, so no change waits for a box that may be
//! gone again. Whatever the evidence, a change takes effect only by a majority of the group;
//! wrong evidence costs the removed box a return as a learner.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::join::{JoinRequest, LeaveRequest};
use crate::replication::membership::MemberChange;
use crate::replication::{Members, NodeId, Peer, Replica};

/// Time without a message after which a voter counts as gone.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time for which a request is valid; boxes repeat theirs several times within it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a replica is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its box stops and asked to leave.
    Leaves,
    /// Its box has another identity now: the disk of this one is lost.
    Replaced,
    /// Its box refuses connections: the process has ended.
    NoListener,
    /// Nothing was heard of it for this long. This is a guess: it may be slow or disconnected.
    Silent(Duration),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaves => f.write_str("its box stops"),
            Self::Replaced => f.write_str("its box has another identity"),
            Self::NoListener => f.write_str("its box refuses connections"),
            Self::Silent(silence) => write!(f, "silent for {silence:?}"),
        }
    }
}

/// A membership change that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoreChange {
    /// Adds a box that asked to join.
    Add(NodeId, Peer),
    /// Makes a learner that holds the whole log a voter.
    Promote(NodeId, Peer),
    /// Removes a replica.
    Remove(NodeId, Peer, Cause),
}

impl From<&CoreChange> for MemberChange {
    fn from(change: &CoreChange) -> Self {
        match change {
            CoreChange::Add(id, peer) => Self::AddLearner(*id, peer.clone()),
            CoreChange::Promote(id, _) => Self::Promote(*id),
            CoreChange::Remove(id, ..) => Self::Remove(*id),
        }
    }
}

/// A box that asked to join.
#[derive(Debug, Clone)]
struct Joining {
    peer: Peer,
    asked_at: Instant,
}

/// What boxes asked of the leader, and the target sizes that they named.
#[derive(Debug, Clone, Default)]
pub struct CoreRequests {
    joining: BTreeMap<NodeId, Joining>,
    leaving: BTreeMap<NodeId, Instant>,
    /// Target size of the group according to the settings of other boxes.
    core_sizes: BTreeMap<NodeId, usize>,
}

impl CoreRequests {
    /// Records a request to join. It replaces the request of an earlier identity of the same box.
    pub fn join(&mut self, req: &JoinRequest, now: Instant) {
        self.joining.retain(|id, other| *id == req.id || !other.peer.is_same_box(&req.peer));
        self.joining.insert(req.id, Joining { peer: req.peer.clone(), asked_at: now });
        self.leaving.remove(&req.id);
        self.record_core_size(req.id, req.core_size);
    }

    /// Records a request to leave.
    pub fn leave(&mut self, req: &LeaveRequest, now: Instant) {
        self.joining.remove(&req.id);
        self.leaving.insert(req.id, now);
        self.record_core_size(req.id, req.core_size);
    }

    /// Records the target size in the settings of a replica's box.
    pub fn record_core_size(&mut self, id: NodeId, size: usize) {
        self.core_sizes.insert(id, size);
    }

    /// Drops requests that were not repeated, those that are carried out, and what former members
    /// said.
    pub fn expire(&mut self, members: &Members, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < REQUEST_TIMEOUT;
        self.joining.retain(|id, joining| match members.voters.contains_key(id) {
            // A voter doesn't ask any more; its request is carried out once it replaced the others.
            true => members.replicas_of(&joining.peer).any(|other| other != *id),
            false => is_recent(joining.asked_at),
        });
        self.leaving.retain(|id, at| members.voters.contains_key(id) && is_recent(*at));
        self.core_sizes.retain(|id, _| members.get(*id).is_some() || self.joining.contains_key(id));
    }

    /// Returns whether a box waits for a change.
    pub fn is_empty(&self) -> bool {
        self.joining.is_empty() && self.leaving.is_empty()
    }

    /// Returns the target size of the group: the largest one in the settings of a known box, since
    /// boxes that started at different times may have different ones.
    pub fn target_size(&self, own: usize) -> usize {
        self.core_sizes.values().copied().fold(own, usize::max)
    }

    /// Returns the change that the leader `replica` is to make next. `own_size` is the target size
    /// in its settings; `is_absent` returns whether the box of a replica refuses connections.
    pub fn next_change(
        &self,
        replica: &Replica,
        own_size: usize,
        is_absent: impl Fn(NodeId) -> bool,
        now: Instant,
    ) -> Option<CoreChange> {
        if !replica.leads() {
            return None;
        }
        let members = replica.members();
        let remove =
            |id: NodeId, cause| Some(CoreChange::Remove(id, members.get(id)?.clone(), cause));
        if members.voters.len() > self.target_size(own_size)
            && let Some((id, cause)) = self.departed_voter(replica, is_absent, now)
        {
            return remove(id, cause);
        }
        self.joining.iter().find_map(|(id, Joining { peer, .. })| {
            let others = members.replicas_of(peer).filter(|other| other != id);
            let mut others = others.filter(|other| *other != replica.id());
            let is_learner = members.learners.contains_key(id);
            let is_ready = members.voters.contains_key(id)
                || (is_learner && replica.replication_lag(*id) == Some(0));
            // A lost voter is removed just before its successor is promoted. In the other order, a
            // box that fails between the two steps would leave two voters missing.
            let is_due = |other: &NodeId| is_ready || members.learners.contains_key(other);
            if let Some(other) = others.find(is_due) {
                return remove(other, Cause::Replaced);
            }
            match members.get(*id) {
                None => Some(CoreChange::Add(*id, peer.clone())),
                Some(peer) if is_learner && is_ready => {
                    Some(CoreChange::Promote(*id, peer.clone()))
                }
                Some(_) => None,
            }
        })
    }

    /// Returns the voter that is most certain to be gone, and the evidence.
    fn departed_voter(
        &self,
        replica: &Replica,
        is_absent: impl Fn(NodeId) -> bool,
        now: Instant,
    ) -> Option<(NodeId, Cause)> {
        let members = replica.members();
        let others = || members.voters.iter().filter(|(id, _)| **id != replica.id());
        let is_replaced = |id: NodeId, peer: &Peer| {
            self.joining.iter().any(|(other, j)| *other != id && j.peer.is_same_box(peer))
        };
        let leaves = others().find(|(id, _)| self.leaving.contains_key(id));
        let leaves = leaves.map(|(id, _)| (*id, Cause::Leaves));
        let replaced = || others().find(|(id, peer)| is_replaced(**id, peer));
        let absent = || others().find(|(id, _)| is_absent(**id));
        let silent = || {
            let silent = others().filter_map(|(id, _)| Some((replica.silent_for(*id, now)?, *id)));
            silent.max().filter(|(silence, _)| *silence >= SILENCE_TIMEOUT)
        };
        leaves
            .or_else(|| replaced().map(|(id, _)| (*id, Cause::Replaced)))
            .or_else(|| absent().map(|(id, _)| (*id, Cause::NoListener)))
            .or_else(|| silent().map(|(silence, id)| (id, Cause::Silent(silence))))
    }
}
