//! Elections: pre-votes, votes, terms, and the lease that they respect.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use super::messages::{LogEnd, Message, NodeId, Payload, Term};
use super::state::{HardState, Leadership, Progress, Replica, Role};

impl Replica {
    /// Answers a message of an old term so that its sender learns the present one.
    pub(super) fn answer_old_term(&mut self, from: NodeId, message: &Message) -> bool {
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

    /// Moves on to a newer term. Pre-votes move nobody, and a vote asked for
    /// within a leader's lease is not listened to, unless that leader gave it up.
    pub(super) fn follow_newer_term(&mut self, from: NodeId, message: &Message, now: Instant) {
        let term = message.term();
        if term <= self.hard.term {
            return;
        }
        let leader = match message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true, .. } => return,
            Message::Vote { handed_over: false, .. } if self.may_have_leader(now) => return,
            Message::Append { .. } | Message::Install { .. } => Some(from),
            _ => None,
        };
        self.set_hard(HardState { term, voted_for: None });
        self.become_follower(leader, now);
    }

    /// Returns whether a leader may hold a lease that this replica granted, also before a restart.
    pub(super) fn may_have_leader(&self, now: Instant) -> bool {
        let granted = self.last_contact.unwrap_or(self.started);
        let recent = now.duration_since(granted) < self.cfg.election_min;
        self.leads() || (recent && !self.knows_of_no_lease())
    }

    pub(super) fn ask_pre_votes(&mut self, now: Instant) {
        self.reset_election(now);
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
        let granted = term > self.hard.term && end >= self.log.end() && !self.may_have_leader(now);
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
            self.ask_votes(false, now);
        }
    }

    /// Gives the lead to a voter that holds the whole log; returns whether there is one.
    ///
    /// This replica follows from here on, so its lease is over before anybody else can lead.
    pub fn hand_over(&mut self, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let end = self.log.end().index;
        let whole = leadership.progress.iter().filter(|(id, progress)| {
            self.members.voters.contains_key(id) && progress.matched == end
        });
        // Of those that hold everything, the one that was heard from last.
        let next = whole.max_by_key(|(_, progress)| progress.heard).map(|(id, _)| *id);
        let Some(next) = next else { return false };
        self.send(next, Message::HandOver { term: self.hard.term });
        self.become_follower(None, now);
        true
    }

    /// Takes over from the leader of the present term, which has given up its lease.
    pub(super) fn on_hand_over(&mut self, now: Instant) {
        if self.is_voter() && !self.leads() {
            self.ask_votes(true, now);
        }
    }

    fn ask_votes(&mut self, handed_over: bool, now: Instant) {
        let term = self.hard.term + 1;
        self.set_hard(HardState { term, voted_for: Some(self.id) });
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
        let free = self.hard.voted_for.is_none_or(|voted| voted == from);
        let allowed = handed_over || !self.may_have_leader(now);
        let granted = term == self.hard.term && free && end >= self.log.end() && allowed;
        if granted {
            self.set_hard(HardState { term, voted_for: Some(from) });
            self.reset_election(now);
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
            since: now,
        });
        self.append_own(Payload::Noop);
        self.broadcast(now);
    }

    fn is_majority(&self, granted: &BTreeSet<NodeId>) -> bool {
        let count = granted.iter().filter(|id| self.members.voters.contains_key(id)).count();
        count >= self.members.quorum()
    }

    fn send_to_voters(&mut self, message: &Message) {
        let own = self.id;
        let voters: Vec<NodeId> = self.members.voters.keys().copied().collect();
        for id in voters.into_iter().filter(|id| *id != own) {
            self.send(id, message.clone());
        }
    }
}
