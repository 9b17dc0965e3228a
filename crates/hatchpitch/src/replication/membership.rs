//! Membership changes, one replica at a time.

use std::time::Instant;

use super::messages::{Members, NodeId, Payload, Peer};
use super::state::{Progress, Replica, Role};

/// A membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica that receives the log but has no vote.
    AddLearner(NodeId, Peer),
    /// Turns a learner into a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}

impl MemberChange {
    /// Returns whether `members` are those after the change.
    pub fn is_made(&self, members: &Members) -> bool {
        match self {
            Self::AddLearner(id, _) => members.get(*id).is_some(),
            Self::Promote(id) => members.voters.contains_key(id),
            Self::Remove(id) => members.get(*id).is_none(),
        }
    }
}

/// Why a membership change was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeError {
    /// This replica does not lead.
    NotLeader,
    /// The previous change, or the first entry of this leader's term, is not committed yet.
    Busy,
    /// The replica is unknown, is already a member, or is the last voter.
    InvalidMember,
    /// The learner does not hold every committed entry yet.
    Behind,
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this box does not lead",
            Self::Busy => "another change of the control boxes is under way",
            Self::InvalidMember => "the box is not known, or known already",
            Self::Behind => "the box does not hold everything yet",
        })
    }
}

impl std::error::Error for ChangeError {}

impl Replica {
    /// Appends a membership change. This replica applies it at once; it is final once committed.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangeError`] if the change was rejected; nothing is appended then.
    pub fn change_members(
        &mut self,
        change: &MemberChange,
        now: Instant,
    ) -> Result<(), ChangeError> {
        let Role::Leader(leadership) = &self.role else { return Err(ChangeError::NotLeader) };
        if self.members_index > self.commit || self.commit < leadership.first_index {
            return Err(ChangeError::Busy);
        }
        let members = self.members_after(change)?;
        self.append_entry(Payload::Members(members));
        self.sync_progress();
        self.broadcast(now);
        Ok(())
    }

    /// Returns how many committed entries a replica is not known to hold; `None` if it is unknown,
    /// this replica itself, or this one does not lead.
    pub fn replication_lag(&self, id: NodeId) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.progress.get(&id)?;
        Some(self.commit.saturating_sub(progress.matched))
    }

    /// Returns the time since the newest round that a replica answered was sent, or since this
    /// leader's election if it answered none; `None` if the replica is unknown, this one itself, or
    /// this one does not lead.
    pub fn silent_for(&self, id: NodeId, now: Instant) -> Option<std::time::Duration> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.progress.get(&id)?;
        Some(now.duration_since(progress.last_contact.unwrap_or(leadership.elected_at)))
    }

    /// Returns whether the newest membership change is committed.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit
    }

    /// Returns the members after a change, if the change is valid.
    fn members_after(&self, change: &MemberChange) -> Result<Members, ChangeError> {
        let mut members = self.members.clone();
        match change {
            MemberChange::AddLearner(id, peer) => {
                if members.get(*id).is_some() {
                    return Err(ChangeError::InvalidMember);
                }
                members.learners.insert(*id, peer.clone());
            }
            MemberChange::Promote(id) => {
                if self.replication_lag(*id).is_none_or(|lag| lag > 0) {
                    return Err(ChangeError::Behind);
                }
                let peer = members.learners.remove(id).ok_or(ChangeError::InvalidMember)?;
                members.voters.insert(*id, peer);
            }
            MemberChange::Remove(id) => {
                let removed = members.voters.remove(id).or_else(|| members.learners.remove(id));
                removed.ok_or(ChangeError::InvalidMember)?;
                if members.voters.is_empty() {
                    return Err(ChangeError::InvalidMember);
                }
            }
        }
        Ok(members)
    }

    /// Starts tracking the progress of added replicas and drops that of removed ones.
    fn sync_progress(&mut self) {
        let next = self.log.end().index + 1;
        let (own, members) = (self.id, self.members.clone());
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.progress.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.all().filter(|(id, _)| *id != own) {
            leadership.progress.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// Steps down if this leader is no longer a voter and that change is committed.
    pub(super) fn step_down_if_removed(&mut self, now: Instant) {
        if self.members_index <= self.commit && !self.is_voter() {
            self.broadcast(now);
            self.become_follower(None, now);
        }
    }
}
