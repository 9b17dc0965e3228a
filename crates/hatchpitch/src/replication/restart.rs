//! After a restart: whether a lease that was granted before it can still be in force.
//!
//! A replica forgets at its end which leader it followed, so after its start it lets as much
//! time pass as a lease lasts before it votes. It need not where no replica can hold a lease:
//! a lease ends with its holder's process, so it is enough that every voter says that it does
//! not lead, after this replica started. A silent voter may be the holder, and then the time
//! has to pass.
//!
//! Why that is safe: whoever holds a lease counts only voters that keep its first entry of the
//! term, and is a voter itself. One of them takes part in any later election. Either it is in
//! the same life as then and remembers the leader, or its log names the leader among the voters
//! whose word it waits for, and a leader does not give it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::messages::{Envelope, Message, NodeId};
use super::state::Replica;

/// Names one life of a replica, so that an answer to a former life counts for nothing.
pub type Life = u64;

/// Time between two questions to a voter that has not answered: a few round trips between
/// failure domains.
const ASK_PERIOD: Duration = Duration::from_millis(25);
/// Shortest and longest time to an election once no lease can be in force: apart by more than a
/// round of votes takes, so that one of the replicas comes first.
const QUICK_ELECTION: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(60)];

/// Answers a question to an identity that this box no longer has: its disk was lost, and the
/// process that may have led under it ended before this one could listen at the same address.
/// Returns `None` for any other message.
pub fn answer_for_former_identity(asked: &Envelope) -> Option<Envelope> {
    let Message::AskLead { life } = asked.message else { return None };
    let message = Message::NotLeading { life };
    Some(Envelope { from: asked.to, to: asked.from, message })
}

/// What a replica has learned in its present life about the leases of before.
#[derive(Debug, Clone)]
pub(super) struct Restart {
    life: Life,
    /// Voters that said in answer to this life that they do not lead.
    not_leading: BTreeSet<NodeId>,
    next_ask: Instant,
}

impl Restart {
    pub(super) fn new(life: Life, now: Instant) -> Self {
        Self { life, not_leading: BTreeSet::new(), next_ask: now }
    }
}

impl Replica {
    /// Returns whether no lease of before this replica's start can be in force, and none has
    /// been granted by it since.
    pub fn knows_of_no_lease(&self) -> bool {
        let mut others = self.members.voters.keys().filter(|id| **id != self.id);
        let heard_nobody = self.last_contact.is_none() && self.is_voter();
        self.cfg.elects_at_once
            && heard_nobody
            && others.all(|id| self.restart.not_leading.contains(id))
    }

    /// Asks the voters that have not answered yet, while it is worth something.
    pub(super) fn tick_restart(&mut self, now: Instant) {
        let waits = self.last_contact.is_none() && self.is_voter() && !self.leads();
        let young = now.duration_since(self.started) < self.cfg.election_min;
        if !waits || !young || now < self.restart.next_ask || self.knows_of_no_lease() {
            return;
        }
        self.restart.next_ask = now + ASK_PERIOD;
        let (own, life) = (self.id, self.restart.life);
        let asked: Vec<NodeId> = self.members.voters.keys().copied().collect();
        for id in asked {
            if id != own && !self.restart.not_leading.contains(&id) {
                self.send(id, Message::AskLead { life });
            }
        }
    }

    /// Answers a replica that restarted, unless this one leads: its heartbeat says so.
    pub(super) fn on_ask_lead(&mut self, from: NodeId, life: Life, now: Instant) {
        if self.leads() {
            return;
        }
        self.send(from, Message::NotLeading { life });
        if !self.restart.not_leading.contains(&from) {
            // The asker runs now, and may not have when it was asked.
            self.restart.next_ask = now;
            self.tick_restart(now);
        }
    }

    pub(super) fn on_not_leading(&mut self, from: NodeId, life: Life, now: Instant) {
        if life != self.restart.life {
            return;
        }
        let knew = self.knows_of_no_lease();
        self.restart.not_leading.insert(from);
        if !knew && self.knows_of_no_lease() {
            self.reset_election(now);
        }
    }

    /// Returns the shortest and the longest time until this replica asks for votes.
    pub(super) fn election_bounds(&self, now: Instant) -> [Duration; 2] {
        let young = now.duration_since(self.started) < self.cfg.election_max;
        if young && self.knows_of_no_lease() {
            return QUICK_ELECTION;
        }
        [self.cfg.election_min, self.cfg.election_max]
    }
}
