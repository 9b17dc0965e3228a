//! Changes of who takes part, one replica at a time.

use std::time::Instant;

use super::messages::{Members, NodeId, Payload, Peer};
use super::state::{Progress, Replica, Role};

/// A change of who takes part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Send the log to a replica that does not count yet.
    AddLearner(NodeId, Peer),
    /// Let a learner count.
    Promote(NodeId),
    /// Let a replica no longer take part.
    Remove(NodeId),
}

/// Why a change was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeError {
    /// This replica does not lead.
    NotLeader,
    /// The change before is not committed, or nothing of this term is.
    Busy,
    /// The replica is not known, or known already.
    Unfit,
    /// The learner does not hold everything committed yet.
    Behind,
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this box does not lead",
            Self::Busy => "another change of the control boxes is under way",
            Self::Unfit => "the box is not known, or known already",
            Self::Behind => "the box does not hold everything yet",
        })
    }
}

impl std::error::Error for ChangeError {}

impl Replica {
    /// Begins a change; it is in force here at once and counts once it is committed.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangeError`]; nothing was begun then.
    pub fn change_members(
        &mut self,
        change: &MemberChange,
        now: Instant,
    ) -> Result<(), ChangeError> {
        let Role::Leader(leadership) = &self.role else { return Err(ChangeError::NotLeader) };
        if self.members_index > self.commit || self.commit < leadership.first_index {
            return Err(ChangeError::Busy);
        }
        let members = self.changed(change)?;
        self.append_own(Payload::Members(members));
        self.follow_members();
        self.broadcast(now);
        Ok(())
    }

    /// Returns how many committed entries a replica lacks, as far as this leader knows.
    pub fn replication_lag(&self, id: NodeId) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.progress.get(&id)?;
        Some(self.commit.saturating_sub(progress.matched))
    }

    /// Returns how long a replica has not answered this leader; `None` if it is unknown, this
    /// replica itself, or this one does not lead.
    pub fn silent_for(&self, id: NodeId, now: Instant) -> Option<std::time::Duration> {
        let Role::Leader(leadership) = &self.role else { return None };
        let progress = leadership.progress.get(&id)?;
        Some(now.duration_since(progress.heard.unwrap_or(leadership.since)))
    }

    /// Returns whether the newest change of members is committed.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit
    }

    fn changed(&self, change: &MemberChange) -> Result<Members, ChangeError> {
        let mut members = self.members.clone();
        match change {
            MemberChange::AddLearner(id, peer) => {
                if members.get(*id).is_some() {
                    return Err(ChangeError::Unfit);
                }
                members.learners.insert(*id, peer.clone());
            }
            MemberChange::Promote(id) => {
                if self.replication_lag(*id).is_none_or(|lag| lag > 0) {
                    return Err(ChangeError::Behind);
                }
                let peer = members.learners.remove(id).ok_or(ChangeError::Unfit)?;
                members.voters.insert(*id, peer);
            }
            MemberChange::Remove(id) => {
                let known = members.voters.remove(id).or_else(|| members.learners.remove(id));
                known.ok_or(ChangeError::Unfit)?;
                if members.voters.is_empty() {
                    return Err(ChangeError::Unfit);
                }
            }
        }
        Ok(members)
    }

    /// Begins or ends sending to replicas after a change.
    fn follow_members(&mut self) {
        let next = self.log.end().index + 1;
        let (own, members) = (self.id, self.members.clone());
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.progress.retain(|id, _| members.get(*id).is_some());
        for (id, _) in members.all().filter(|(id, _)| *id != own) {
            leadership.progress.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// A leader that is no longer a voter steps down once that is committed.
    pub(super) fn after_commit(&mut self, now: Instant) {
        if self.members_index <= self.commit && !self.is_voter() {
            self.broadcast(now);
            self.become_follower(None, now);
        }
    }
}
