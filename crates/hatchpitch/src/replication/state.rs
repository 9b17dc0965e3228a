//! The state of one replica, its inputs and its outputs.
//!
//! The driver passes in messages, ticks and proposals and then takes a [`Ready`]. It first makes
//! the durable part of the [`Ready`] durable and only then sends its messages and applies its
//! committed entries. All guarantees of the log depend on this order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::entries::Entries;
use super::messages::{Entry, Index, LogEnd, Members, Message, NodeId, Payload, Round, Term};
use super::restart::RestartState;

/// Timeouts and limits of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaConfig {
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout. Replicas grant no vote for this long after contact with a leader.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Whether a group elects a leader at once after a restart if no lease can be in force.
    pub elects_at_once: bool,
    /// Maximum number of entries in a message.
    pub max_entries: usize,
    /// Approximate maximum size of the entries in a message, in bytes. A single larger entry is
    /// sent alone.
    pub max_bytes: usize,
    /// Bytes of entries or state above which a message is large. At most one large message to a
    /// replica is in flight at a time, and only heartbeats are sent to it meanwhile.
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
    /// Returns the duration of a leader's lease, counted from the send time of the round that
    /// renewed it.
    ///
    /// It is a quarter shorter than the time for which followers refuse votes, so that two leases
    /// never overlap even if clocks drift apart by that much.
    pub fn lease(&self) -> Duration {
        self.election_min * 3 / 4
    }
}

/// State that must be durable before a replica sends any message that depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Current term, the newest one seen.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub voted_for: Option<NodeId>,
}

/// The state of the state machine up to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub end: LogEnd,
    /// Members as of that entry.
    pub members: Members,
    /// Encoded state.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What a replica's disk contains at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restored {
    /// Current term and vote.
    pub hard: HardState,
    /// Newest snapshot. Before the first one, its data is empty.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What the driver has to do, in the order of the fields. `hard`, `truncate_from` and `entries` are
/// made durable together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// Snapshot to make durable first. It replaces everything on the disk.
    pub snapshot: Option<Snapshot>,
    /// Term and vote to make durable.
    pub hard: Option<HardState>,
    /// Index from which on to drop entries on the disk.
    pub truncate_from: Option<Index>,
    /// Entries to make durable.
    pub entries: Vec<Entry>,
    /// Messages to send once the above is durable.
    pub messages: Vec<(NodeId, Message)>,
    /// Entries to apply to the state machine.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Raft role of a replica.
#[derive(Debug, Clone)]
pub(super) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Leadership),
}

/// What a leader knows about another replica.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// Last index at which its log is known to match the leader's.
    pub(super) matched: Index,
    /// Send time of the newest round that it answered.
    pub(super) last_contact: Option<Instant>,
    /// When a snapshot was sent that is not acknowledged yet.
    pub(super) snapshot_sent_at: Option<Instant>,
    /// Whether a large message to it is in flight.
    pub(super) large_in_flight: bool,
}

/// State that only a leader has.
#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Index of the leader's first entry.
    pub(super) first_index: Index,
    /// Last entry that is durable on the leader's own disk.
    pub(super) persisted: Index,
    /// Newest round.
    pub(super) round: Round,
    /// Send times of recent rounds.
    pub(super) rounds: VecDeque<(Round, Instant)>,
    pub(super) next_heartbeat: Instant,
    pub(super) elected_at: Instant,
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
    /// Index of the entry, or snapshot end, that set `members`.
    pub(super) members_index: Index,
    pub(super) commit: Index,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) started_at: Instant,
    /// Last message from a current leader since the start.
    pub(super) leader_contact: Option<Instant>,
    pub(super) restart: RestartState,
    pub(super) election_deadline: Instant,
    /// Work for the driver that [`Self::ready`] has not returned yet.
    pub(super) pending: Ready,
}

impl Replica {
    /// Creates a replica from the contents of its disk.
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
            restart: RestartState::new(rng.random(), now),
            rng,
            hard,
            commit: log.start.index,
            log,
            snapshot_data: snapshot.data,
            members,
            members_index,
            role: Role::Follower,
            leader: None,
            started_at: now,
            leader_contact: None,
            election_deadline: now,
            pending: Ready::default(),
        };
        replica.reset_election_timer(now);
        replica
    }

    /// Returns the replica's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns whether this replica leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the role, with the votes received or the replication progress, for logs and state
    /// space exploration.
    pub fn role_label(&self) -> String {
        match &self.role {
            Role::Follower => "follower".to_owned(),
            Role::PreCandidate { granted } => format!("pre-candidate {granted:?}"),
            Role::Candidate { granted } => format!("candidate {granted:?}"),
            Role::Leader(leadership) => {
                let progress = leadership.progress.iter();
                let progress = progress.map(|(id, p)| format!("{id}:{}/{}", p.matched, p.next));
                format!("leader {}", progress.collect::<Vec<_>>().join(" "))
            }
        }
    }

    /// Returns the newest members, which may not be committed yet.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the commit index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the term and index of the last entry.
    pub fn end(&self) -> LogEnd {
        self.log.end()
    }

    /// Returns the in-memory part of the log.
    pub fn log(&self) -> &Entries {
        &self.log
    }

    /// Takes the pending work of the driver.
    pub fn ready(&mut self) -> Ready {
        std::mem::take(&mut self.pending)
    }

    /// Handles timeouts that have expired by `now`.
    pub fn tick(&mut self, now: Instant) {
        self.query_voters(now);
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Processes a message.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Instant) {
        if let Err(cause) = message.check() {
            log::warn!("dropped a message of replica {from:016x}: {cause}");
            return;
        }
        if message.has_term() {
            if self.reject_stale_term(from, &message) {
                return;
            }
            self.adopt_newer_term(from, &message, now);
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

    /// Appends commands to the log if this replica leads. Returns the term and index of the first.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>, now: Instant) -> Option<LogEnd> {
        if !self.leads() || commands.is_empty() {
            return None;
        }
        let first = LogEnd { term: self.hard.term, index: self.log.end().index + 1 };
        for command in commands {
            self.append_entry(Payload::Command(command));
        }
        self.broadcast(now);
        Some(first)
    }

    /// Records that the entries up to `index` are durable on this replica's disk.
    pub fn persisted(&mut self, index: Index, now: Instant) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.persisted = leadership.persisted.max(index);
            self.advance_commit(now);
        }
    }

    /// Replaces the entries up to `end` by a snapshot whose `data` is the state after `end` was
    /// applied. Returns `None` if `end` is not committed or is covered by a snapshot already.
    ///
    /// The driver has to make the returned snapshot durable.
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
        self.pending.messages.push((to, message));
    }

    pub(super) fn set_hard_state(&mut self, hard: HardState) {
        if self.hard != hard {
            self.hard = hard;
            self.pending.hard = Some(hard);
        }
    }

    /// Draws a new random election timeout, starting at `now`.
    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let [min, max] = self.election_timeout_range(now);
        let spread = max.saturating_sub(min);
        self.election_deadline = now + min + spread.mul_f64(self.rng.random::<f64>());
    }

    pub(super) fn become_follower(&mut self, leader: Option<NodeId>, now: Instant) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members.voters.contains_key(&self.id)
    }

    /// Updates the cached members after the log changed.
    pub(super) fn refresh_members(&mut self) {
        (self.members, self.members_index) = self.log.members();
    }
}
