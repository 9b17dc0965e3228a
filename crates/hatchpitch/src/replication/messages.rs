//! Log entries and the messages that replicate them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::restart::Incarnation;
use crate::ids::BoxName;

/// Id of a replica. It is bound to the replica's disk: a box that lost its disk gets a new id.
pub type NodeId = u64;
/// Raft term.
pub type Term = u64;
/// Index of a log entry, starting at 1.
pub type Index = u64;
/// Number of a round of `Append` and `Install` messages of one leader.
pub type Round = u64;

/// Name and addresses of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the box.
    pub name: BoxName,
    /// Address for other boxes.
    pub boxes_addr: SocketAddr,
    /// Address for operators.
    pub operators_addr: SocketAddr,
}

impl Peer {
    /// Returns whether two replicas belong to the same box. Only one process listens at an address.
    pub fn is_same_box(&self, other: &Self) -> bool {
        self.name == other.name || self.boxes_addr == other.boxes_addr
    }
}

/// The members of the group. Each change adds or removes one voter at most, so that the majorities
/// before and after it overlap.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards a majority.
    pub voters: BTreeMap<NodeId, Peer>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeMap<NodeId, Peer>,
}

impl Members {
    /// Returns the number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Iterates over voters and learners.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        self.voters.iter().chain(&self.learners).map(|(id, peer)| (*id, peer))
    }

    /// Looks up a voter or learner.
    pub fn get(&self, id: NodeId) -> Option<&Peer> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Iterates over the replicas of a box.
    pub fn replicas_of<'a>(&'a self, peer: &'a Peer) -> impl Iterator<Item = NodeId> + 'a {
        self.all().filter(|(_, other)| other.is_same_box(peer)).map(|(id, _)| id)
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry of every leader.
    Noop,
    /// An encoded command of the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A membership change; holds the new members.
    Members(Members),
}

impl Payload {
    /// Returns the approximate encoded length, in bytes.
    pub fn encoded_len(&self) -> usize {
        const SMALL: usize = 64;
        match self {
            Self::Command(bytes) => bytes.len() + SMALL,
            Self::Noop | Self::Members(_) => SMALL,
        }
    }
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// Term and index of an entry, usually the last one of a log. Ordered by term, then index: a
/// candidate's log must not end before that of the voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogEnd {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`; changes no state.
    PreVote {
        /// Term of the possible election.
        term: Term,
        /// End of the sender's log.
        end: LogEnd,
    },
    /// Answers a [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, otherwise the sender's current term.
        term: Term,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the election.
        term: Term,
        /// End of the candidate's log.
        end: LogEnd,
        /// Whether the previous leader gave up its lease and handed leadership over to the
        /// candidate.
        #[serde(default)]
        handed_over: bool,
    },
    /// Asks a replica that holds the whole log to start an election at once (`TimeoutNow` in Raft).
    /// The sender no longer leads.
    HandOver {
        /// Term in which the sender was leader.
        term: Term,
    },
    /// Asks a voter whether it is the leader, after a restart of the sender. Independent of terms.
    AskLead {
        /// Incarnation of the sender.
        life: Incarnation,
    },
    /// Answers a [`Message::AskLead`]: the sender does not lead.
    NotLeading {
        /// Incarnation that asked.
        life: Incarnation,
    },
    /// Answers a [`Message::Vote`].
    VoteReply {
        /// The sender's current term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries. Without entries, it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Entry that precedes the first one sent.
        prev: LogEnd,
        /// Entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Round, whose answers renew the lease.
        round: Round,
    },
    /// Replaces the log of a replica that lacks entries which the leader has compacted.
    Install {
        /// The leader's term.
        term: Term,
        /// Last entry that the snapshot covers.
        end: LogEnd,
        /// Members as of that entry.
        members: Members,
        /// Encoded state.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Round, whose answers renew the lease.
        round: Round,
    },
    /// Answers a [`Message::Append`] or [`Message::Install`].
    AppendReply {
        /// The sender's current term.
        term: Term,
        /// Whether the log now matches the leader's up to `index`.
        matched: bool,
        /// Last matching index, or on a mismatch the one after which the leader should try next.
        index: Index,
        /// Round of the answered message.
        round: Round,
    },
}

/// Greatest term or index that a message may hold. No group reaches it, and a few more fit into the
/// type.
const MAX_NUMBER: u64 = u64::MAX / 2;

impl Message {
    /// Checks what holds for every message of a replica, whatever it has missed.
    ///
    /// # Errors
    ///
    /// Returns what is wrong: a term or index is too great, or entries do not follow each other.
    pub fn check(&self) -> Result<(), &'static str> {
        let (end, last) = match self {
            Self::PreVote { end, .. } | Self::Vote { end, .. } | Self::Install { end, .. } => {
                (*end, end.index)
            }
            Self::Append { prev, entries, commit, .. } => {
                (*prev, entries.iter().map(|entry| entry.index).fold(*commit, Index::max))
            }
            Self::AppendReply { index, .. } => (LogEnd { term: 0, index: *index }, *index),
            _ => (LogEnd { term: 0, index: 0 }, 0),
        };
        if self.term().max(end.term).max(end.index).max(last) > MAX_NUMBER {
            return Err("a term or an index is too great");
        }
        if let Self::Append { term, prev, entries, .. } = self {
            let mut before = *prev;
            if before.index == 0 && before.term != 0 {
                return Err("the entry before the first one has a term");
            }
            for entry in entries {
                if entry.index != before.index + 1 || !(before.term..=*term).contains(&entry.term) {
                    return Err("its entries do not follow each other");
                }
                before = LogEnd { term: entry.term, index: entry.index };
            }
        }
        Ok(())
    }

    /// Returns whether only leaders send such a message, and only to members.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Install { .. })
    }

    /// Returns whether the message belongs to a term. Queries about leases granted before a restart
    /// do not, because such a lease is independent of the receiver's term.
    pub fn has_term(&self) -> bool {
        !matches!(self, Self::AskLead { .. } | Self::NotLeading { .. })
    }

    /// Returns the approximate size of the commands or state in the message, in bytes.
    pub fn payload_len(&self) -> usize {
        match self {
            Self::Append { entries, .. } => entries.iter().map(|e| e.payload.encoded_len()).sum(),
            Self::Install { data, .. } => data.len(),
            _ => 0,
        }
    }

    /// Returns the term of the message, or 0 if it belongs to none.
    pub fn term(&self) -> Term {
        match self {
            Self::AskLead { .. } | Self::NotLeading { .. } => 0,
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::HandOver { term }
            | Self::Append { term, .. }
            | Self::Install { term, .. }
            | Self::AppendReply { term, .. } => *term,
        }
    }
}

/// A message with its sender and receiver. A replica drops messages for another id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// A batch of messages from one box to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Address to which answers are sent: a box that was just added may not know the other members
    /// yet.
    pub reply_to: SocketAddr,
    /// The messages.
    pub envelopes: Vec<Envelope>,
}
