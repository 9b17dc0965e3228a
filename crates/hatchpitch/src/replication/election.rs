//! Elections: pre-votes, votes, terms and leadership transfer. Votes are refused while a lease may
//! be in force.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use super::messages::{LogEnd, Message, NodeId, Payload, Term};
use super::state::{HardState, Leadership, Progress, Replica, Role};

impl Replica {
    /// Rejects a message of an older term; returns whether it was one. Requests are answered with
    /// the current term, so that the sender learns it.
    pub(super) fn reject_stale_term(&mut self, from: NodeId, message: &Message) -> bool {
        if message.term() >= self.hard.term {
            return false;
        }
        let term = self.hard.term;
        match message {
            Message::PreVote { .. } => {
                self.send(from, Message::PreVoteReply { term, granted: false });
            }
            Message::Vote { .. } => self.send(from, Message::VoteReply { term, granted: false }),
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let reply = Message::AppendReply { term, matched: false, index: 0, round: *round };
                self.send(from, reply);
            }
            Message::PreVoteReply { .. }
            | Message::VoteReply { .. }
            | Message::HandOver { .. }
            | Message::AskLead { .. }
            | Message::NotLeading { .. }
            | Message::AppendReply { .. } => {}
        }
        true
    }

    /// Adopts the term of a message if it is newer.
    ///
    /// Pre-votes never change the term. A vote request while a leader may hold a lease is ignored,
    /// unless that leader gave up its lease and handed leadership over to the candidate.
    pub(super) fn adopt_newer_term(&mut self, from: NodeId, message: &Message, now: Instant) {
        let term = message.term();
        if term <= self.hard.term {
            return;
        }
        let leader = match message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true, .. } => return,
            Message::Vote { handed_over: false, .. } if self.lease_may_be_held(now) => return,
            Message::Append { .. } | Message::Install { .. } => Some(from),
            _ => None,
        };
        self.set_hard_state(HardState { term, voted_for: None });
        self.become_follower(leader, now);
    }

    /// Returns whether a leader may hold a lease that this replica granted, possibly before it
    /// restarted. A leader counts its own lease.
    pub(super) fn lease_may_be_held(&self, now: Instant) -> bool {
        let granted_at = self.leader_contact.unwrap_or(self.started_at);
        let recent = now.duration_since(granted_at) < self.cfg.election_min;
        self.leads() || (recent && !self.rules_out_leases())
    }

    /// Starts a pre-vote, if this replica is a voter.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.reset_election_timer(now);
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id]) };
        let message = Message::PreVote { term: self.hard.term + 1, end: self.log.end() };
        self.send_to_voters(&message);
        self.count_pre_votes(now);
    }

    pub(super) fn on_pre_vote(&mut self, from: NodeId, term: Term, end: LogEnd, now: Instant) {
        let granted =
            term > self.hard.term && end >= self.log.end() && !self.lease_may_be_held(now);
        let term = if granted { term } else { self.hard.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        let next = self.hard.term + 1;
        if let Role::PreCandidate { granted: votes } = &mut self.role
            && granted
            && term == next
        {
            votes.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Instant) {
        if let Role::PreCandidate { granted } = &self.role
            && self.is_majority(granted)
        {
            self.start_election(false, now);
        }
    }

    /// Hands leadership over to a voter that holds the whole log, to `next` if one is named; returns
    /// whether there is such a voter.
    ///
    /// This replica becomes a follower at once, so its lease ends before another replica can lead.
    pub fn hand_over(&mut self, next: Option<NodeId>, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let end = self.log.end().index;
        let caught_up = leadership.progress.iter().filter(|(id, progress)| {
            self.members.voters.contains_key(id)
                && progress.matched == end
                && next.is_none_or(|next| next == **id)
        });
        // Of the voters that are caught up, choose the one with the most recent contact.
        let next = caught_up.max_by_key(|(_, progress)| progress.last_contact).map(|(id, _)| *id);
        let Some(next) = next else { return false };
        self.send(next, Message::HandOver { term: self.hard.term });
        self.become_follower(None, now);
        true
    }

    /// Starts an election at the request of the leader of the current term, which has given up its
    /// lease.
    pub(super) fn on_hand_over(&mut self, now: Instant) {
        if self.is_voter() && !self.leads() {
            self.start_election(true, now);
        }
    }

    /// Starts an election in the next term; `handed_over` tells voters that the previous leader
    /// gave up its lease.
    fn start_election(&mut self, handed_over: bool, now: Instant) {
        let term = self.hard.term + 1;
        self.set_hard_state(HardState { term, voted_for: Some(self.id) });
        self.role = Role::Candidate { granted: BTreeSet::from([self.id]) };
        let message = Message::Vote { term, end: self.log.end(), handed_over };
        self.send_to_voters(&message);
        self.count_votes(now);
    }

    pub(super) fn on_vote(
        &mut self,
        from: NodeId,
        term: Term,
        end: LogEnd,
        handed_over: bool,
        now: Instant,
    ) {
        let vote_free = self.hard.voted_for.is_none_or(|voted| voted == from);
        let lease_allows = handed_over || !self.lease_may_be_held(now);
        let granted = term == self.hard.term && vote_free && end >= self.log.end() && lease_allows;
        if granted {
            self.set_hard_state(HardState { term, voted_for: Some(from) });
            self.reset_election_timer(now);
        }
        self.send(from, Message::VoteReply { term: self.hard.term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: NodeId, granted: bool, now: Instant) {
        if let Role::Candidate { granted: votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Instant) {
        if let Role::Candidate { granted } = &self.role
            && self.is_majority(granted)
        {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Instant) {
        let next = self.log.end().index + 1;
        let others = self.members.all().map(|(id, _)| id).filter(|id| *id != self.id);
        let progress: BTreeMap<NodeId, Progress> =
            others.map(|id| (id, Progress::new(next))).collect();
        self.leader = Some(self.id);
        self.role = Role::Leader(Leadership {
            progress,
            first_index: next,
            persisted: 0,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: now,
            elected_at: now,
        });
        self.append_entry(Payload::Noop);
        self.broadcast(now);
    }

    fn is_majority(&self, granted: &BTreeSet<NodeId>) -> bool {
        let count = granted.iter().filter(|id| self.members.voters.contains_key(id)).count();
        count >= self.members.quorum()
    }

    fn send_to_voters(&mut self, message: &Message) {
        let own_id = self.id;
        let voters: Vec<NodeId> = self.members.voters.keys().copied().collect();
        for id in voters.into_iter().filter(|id| *id != own_id) {
            self.send(id, message.clone());
        }
    }
}
