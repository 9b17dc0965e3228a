//! Detects after a restart whether a lease that was granted before it can still be in force.
//!
//! A replica does not persist which leader it followed. After a start it therefore grants no vote
//! until any lease it may have granted has expired. The wait is unnecessary if no replica can hold
//! a lease. A lease ends with its holder's process, so it suffices that every other voter reports,
//! after this replica started, that it is not the leader. A voter that does not answer may hold the
//! lease; then the replica has to wait.
//!
//! Safety: a lease holder is a voter and counts only voters that hold the first entry of its term.
//! At least one of those takes part in any later election. If it has not restarted since, it
//! remembers the leader. If it has, its log lists the leader among the voters whose reports it
//! needs, and a leader does not report that it is not leading.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::messages::{Envelope, Message, NodeId};
use super::state::Replica;

/// Random id of one start of a replica. Answers to an earlier incarnation are ignored.
pub type Incarnation = u64;

/// Interval at which voters that have not answered are queried again: a few round trips between
/// failure domains.
const QUERY_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest and longest election timeout once no lease can be in force. The range is wider than a
/// round of votes takes, so that one replica is likely to start its election first.
const FAST_ELECTION_TIMEOUT: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(60)];

/// Answers a lease query to a replica id that this box no longer has because it lost its disk. The
/// process that may have led under that id ended before this one could listen at the same address,
/// so the old id does not lead. Returns `None` for any other message.
pub fn answer_for_former_identity(envelope: &Envelope) -> Option<Envelope> {
    let Message::AskLead { life } = envelope.message else { return None };
    let message = Message::NotLeading { life };
    Some(Envelope { from: envelope.to, to: envelope.from, message })
}

/// What a replica has learned since its start about leases granted before it.
#[derive(Debug, Clone)]
pub(super) struct RestartState {
    life: Incarnation,
    /// Voters that answered this incarnation that they do not lead.
    not_leading: BTreeSet<NodeId>,
    next_query: Instant,
}

impl RestartState {
    pub(super) fn new(life: Incarnation, now: Instant) -> Self {
        Self { life, not_leading: BTreeSet::new(), next_query: now }
    }
}

impl Replica {
    /// Returns whether no lease from before this replica's start can be in force and it has granted
    /// none since.
    pub fn rules_out_leases(&self) -> bool {
        let mut others = self.members.voters.keys().filter(|id| **id != self.id);
        let no_leader_contact = self.leader_contact.is_none() && self.is_voter();
        self.cfg.elects_at_once
            && no_leader_contact
            && others.all(|id| self.restart.not_leading.contains(id))
    }

    /// Queries the voters that have not answered yet, as long as the answers can shorten the wait.
    pub(super) fn query_voters(&mut self, now: Instant) {
        let waiting = self.leader_contact.is_none() && self.is_voter() && !self.leads();
        let recently_started = now.duration_since(self.started_at) < self.cfg.election_min;
        if !waiting || !recently_started || now < self.restart.next_query || self.rules_out_leases()
        {
            return;
        }
        self.restart.next_query = now + QUERY_INTERVAL;
        let (own_id, life) = (self.id, self.restart.life);
        let voters: Vec<NodeId> = self.members.voters.keys().copied().collect();
        for id in voters {
            if id != own_id && !self.restart.not_leading.contains(&id) {
                self.send(id, Message::AskLead { life });
            }
        }
    }

    /// Answers a query of a restarted replica. A leader does not answer; its heartbeats reveal it.
    pub(super) fn on_ask_lead(&mut self, from: NodeId, life: Incarnation, now: Instant) {
        if self.leads() {
            return;
        }
        self.send(from, Message::NotLeading { life });
        if !self.restart.not_leading.contains(&from) {
            // The sender is running now; it may not have been when it was last queried.
            self.restart.next_query = now;
            self.query_voters(now);
        }
    }

    pub(super) fn on_not_leading(&mut self, from: NodeId, life: Incarnation, now: Instant) {
        if life != self.restart.life {
            return;
        }
        let ruled_out_before = self.rules_out_leases();
        self.restart.not_leading.insert(from);
        if !ruled_out_before && self.rules_out_leases() {
            self.reset_election_timer(now);
        }
    }

    /// Returns the shortest and longest election timeout.
    pub(super) fn election_timeout_range(&self, now: Instant) -> [Duration; 2] {
        let recently_started = now.duration_since(self.started_at) < self.cfg.election_max;
        if recently_started && self.rules_out_leases() {
            return FAST_ELECTION_TIMEOUT;
        }
        [self.cfg.election_min, self.cfg.election_max]
    }
}
