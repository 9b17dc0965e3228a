//! One replica: its state, what goes in and what comes out.
//!
//! The driver feeds messages, ticks and proposals in, then takes a [`Ready`],
//! makes its durable part durable, and only then sends its messages and
//! applies its entries. That order is what every promise of the log rests on.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::entries::Entries;
use super::messages::{Entry, Index, LogEnd, Members, Message, NodeId, Payload, Round, Term};
use super::restart::Restart;

/// Periods and bounds.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaConfig {
    /// Time between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader after which an election may be won.
    pub election_min: Duration,
    /// Longest time without a leader before this replica asks for votes.
    pub election_max: Duration,
    /// Whether a group in which no lease can be in force after a restart elects at once.
    pub elects_at_once: bool,
    /// Entries that one message carries at most.
    pub max_entries: usize,
    /// Bytes of entries that one message carries, roughly.
    pub max_bytes: usize,
    /// Bytes of entries or state from which on a message is large: a replica is sent one such
    /// message at a time, and only heartbeats beside it.
    pub large_bytes: usize,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(800),
            election_max: Duration::from_millis(1_600),
            elects_at_once: true,
            max_entries: 512,
            max_bytes: 1024 * 1024,
            large_bytes: 16 * 1024,
        }
    }
}

impl ReplicaConfig {
    /// Returns how long a leader's lease lasts after the send time of the round that renewed it.
    ///
    /// A quarter less than the time for which followers refuse votes: clocks
    /// may drift apart by that much and two leases still never overlap.
    pub fn lease(&self) -> Duration {
        self.election_min * 3 / 4
    }
}

/// What must be durable before anything else that a replica says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub voted_for: Option<NodeId>,
}

/// The state up to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it holds.
    pub end: LogEnd,
    /// Who took part at that entry.
    pub members: Members,
    /// The state, encoded.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What a replica's disk holds when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot; its data may be empty before the first one.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What the driver has to do, in this order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// First: make this snapshot durable in place of everything before.
    pub snapshot: Option<Snapshot>,
    /// With the entries: make term and vote durable.
    pub hard: Option<HardState>,
    /// With the entries: drop what the disk holds from this position on.
    pub truncate_from: Option<Index>,
    /// Make these entries durable.
    pub entries: Vec<Entry>,
    /// Then: send these.
    pub messages: Vec<(NodeId, Message)>,
    /// Then: apply these.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a replica does.
#[derive(Debug, Clone)]
pub(super) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Leadership),
}

/// What a leader knows of another replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    pub(super) next: Index,
    pub(super) matched: Index,
    /// Send time of the newest round that it answered.
    pub(super) heard: Option<Instant>,
    /// When a snapshot was last sent to it.
    pub(super) installing: Option<Instant>,
    /// Whether a large message is on its way to it.
    pub(super) large_on_its_way: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Position of the leader's first entry.
    pub(super) first_index: Index,
    /// Last own entry that is durable here.
    pub(super) persisted: Index,
    pub(super) round: Round,
    /// Send times of recent rounds.
    pub(super) rounds: VecDeque<(Round, Instant)>,
    pub(super) next_heartbeat: Instant,
    pub(super) since: Instant,
}

/// One replica of the log.
#[derive(Debug, Clone)]
pub struct Replica {
    pub(super) id: NodeId,
    pub(super) cfg: ReplicaConfig,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Entries,
    /// Data of the snapshot that `log` starts after, for replicas that are behind.
    pub(super) snapshot_data: Vec<u8>,
    pub(super) members: Members,
    pub(super) members_index: Index,
    pub(super) commit: Index,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) started: Instant,
    pub(super) last_contact: Option<Instant>,
    pub(super) restart: Restart,
    pub(super) election_at: Instant,
    pub(super) out: Ready,
}

impl Replica {
    /// Starts a replica from what its disk holds.
    pub fn new(
        id: NodeId,
        cfg: ReplicaConfig,
        restored: Restored,
        seed: u64,
        now: Instant,
    ) -> Self {
        let Restored { hard, snapshot, entries } = restored;
        let log = Entries::new(snapshot.end, snapshot.members, entries);
        let (members, members_index) = log.members();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut replica = Self {
            id,
            cfg,
            restart: Restart::new(rng.random(), now),
            rng,
            hard,
            commit: log.start.index,
            log,
            snapshot_data: snapshot.data,
            members,
            members_index,
            role: Role::Follower,
            leader: None,
            started: now,
            last_contact: None,
            election_at: now,
            out: Ready::default(),
        };
        replica.reset_election(now);
        replica
    }

    /// Returns the replica's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the newest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns who leads, as far as is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns whether this replica leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the role and the votes held, for logs and searches.
    pub fn role_label(&self) -> String {
        match &self.role {
            Role::Follower => "follower".to_owned(),
            Role::PreCandidate { granted } => format!("pre-candidate {granted:?}"),
            Role::Candidate { granted } => format!("candidate {granted:?}"),
            Role::Leader(leadership) => {
                let known = leadership.progress.iter();
                let known = known.map(|(id, p)| format!("{id}:{}/{}", p.matched, p.next));
                format!("leader {}", known.collect::<Vec<_>>().join(" "))
            }
        }
    }

    /// Returns who takes part, according to the newest entry.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the last committed position.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the last entry.
    pub fn end(&self) -> LogEnd {
        self.log.end()
    }

    /// Returns the kept part of the log.
    pub fn log(&self) -> &Entries {
        &self.log
    }

    /// Takes what has to be done next.
    pub fn ready(&mut self) -> Ready {
        std::mem::take(&mut self.out)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.tick_restart(now);
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at => self.ask_pre_votes(now),
            _ => {}
        }
    }

    /// Takes in a message.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Instant) {
        if message.is_of_a_term() {
            if self.answer_old_term(from, &message) {
                return;
            }
            self.follow_newer_term(from, &message, now);
        }
        match message {
            Message::AskLead { life } => self.on_ask_lead(from, life, now),
            Message::NotLeading { life } => self.on_not_leading(from, life, now),
            Message::PreVote { term, end } => self.on_pre_vote(from, term, end, now),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, term, granted, now);
            }
            Message::Vote { term, end, handed_over } => {
                self.on_vote(from, term, end, handed_over, now);
            }
            Message::HandOver { .. } => self.on_hand_over(now),
            Message::VoteReply { granted, .. } => self.on_vote_reply(from, granted, now),
            Message::Append { prev, entries, commit, round, .. } => {
                self.on_append(from, prev, entries, commit, round, now);
            }
            Message::Install { end, members, data, round, .. } => {
                let snapshot = Snapshot { end, members, data };
                self.on_install(from, snapshot, round, now);
            }
            Message::AppendReply { matched, index, round, .. } => {
                self.on_append_reply(from, matched, index, round, now);
            }
        }
    }

    /// Adds commands to the log if this replica leads; returns the term and the first position.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>, now: Instant) -> Option<LogEnd> {
        if !self.leads() || commands.is_empty() {
            return None;
        }
        let first = LogEnd { term: self.hard.term, index: self.log.end().index + 1 };
        for command in commands {
            self.append_own(Payload::Command(command));
        }
        self.broadcast(now);
        Some(first)
    }

    /// Notes that the own entries up to `upto` are durable.
    pub fn persisted(&mut self, upto: Index, now: Instant) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.persisted = leadership.persisted.max(upto);
            self.advance_commit(now);
        }
    }

    /// Replaces the entries up to `end` by a snapshot of the state that was applied there.
    ///
    /// The driver has to make the snapshot durable itself.
    pub fn compact(&mut self, end: Index, data: Vec<u8>) -> Option<Snapshot> {
        if end <= self.log.start.index || end > self.commit {
            return None;
        }
        let term = self.log.term_at(end)?;
        let end = LogEnd { term, index: end };
        let members = self.log.members_at(end.index);
        self.log.compact(end, members.clone());
        self.refresh_members();
        self.snapshot_data.clone_from(&data);
        Some(Snapshot { end, members, data })
    }

    pub(super) fn send(&mut self, to: NodeId, message: Message) {
        self.out.messages.push((to, message));
    }

    pub(super) fn set_hard(&mut self, hard: HardState) {
        if self.hard != hard {
            self.hard = hard;
            self.out.hard = Some(hard);
        }
    }

    pub(super) fn reset_election(&mut self, now: Instant) {
        let [min, max] = self.election_bounds(now);
        let spread = max.saturating_sub(min);
        self.election_at = now + min + spread.mul_f64(self.rng.random::<f64>());
    }

    pub(super) fn become_follower(&mut self, leader: Option<NodeId>, now: Instant) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members.voters.contains_key(&self.id)
    }

    /// Re-reads who takes part after the log changed.
    pub(super) fn refresh_members(&mut self) {
        (self.members, self.members_index) = self.log.members();
    }
}
