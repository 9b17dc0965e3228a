//! Entries of the log and the messages that replicate them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::restart::Life;
use crate::ids::BoxName;

/// Identity of a replica, bound to its disk: a box that lost its disk has a new one.
pub type NodeId = u64;
/// Term of a leader.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;
/// Number of a round of messages of one leader.
pub type Round = u64;

/// A replica as others reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of its box.
    pub name: BoxName,
    /// Where other boxes reach it.
    pub boxes_addr: SocketAddr,
    /// Where operators reach it.
    pub operators_addr: SocketAddr,
}

/// Who takes part. Changes differ by one replica, so that majorities always meet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count.
    pub voters: BTreeMap<NodeId, Peer>,
    /// Replicas that receive the log and do not count yet.
    pub learners: BTreeMap<NodeId, Peer>,
}

impl Members {
    /// Returns how many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Iterates over all replicas.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        self.voters.iter().chain(&self.learners).map(|(id, peer)| (*id, peer))
    }

    /// Looks a replica up.
    pub fn get(&self, id: NodeId) -> Option<&Peer> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// A command of the state machine, encoded.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A change of who takes part.
    Members(Members),
}

impl Payload {
    /// Returns the length of the encoding in bytes, roughly.
    pub fn encoded_len(&self) -> usize {
        const SMALL: usize = 64;
        match self {
            Self::Command(bytes) => bytes.len() + SMALL,
            Self::Noop | Self::Members(_) => SMALL,
        }
    }
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

/// The last entry of a log, which decides who may lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogEnd {
    /// Its term.
    pub term: Term,
    /// Its position.
    pub index: Index,
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election in `term` could be won; changes nothing.
    PreVote {
        /// The term that the election would have.
        term: Term,
        /// End of the asker's log.
        end: LogEnd,
    },
    /// Answers a [`Message::PreVote`].
    PreVoteReply {
        /// The term asked about if granted, else the answerer's.
        term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the election.
        term: Term,
        /// End of the candidate's log.
        end: LogEnd,
        /// Whether the leader before gave its lead, and its lease, to the candidate.
        #[serde(default)]
        handed_over: bool,
    },
    /// Asks a replica that holds everything to take the lead over. The sender leads no longer.
    HandOver {
        /// The term that the sender led.
        term: Term,
    },
    /// Asks a voter whether it leads, by a replica that restarted; without regard to terms.
    AskLead {
        /// The asker's life.
        life: Life,
    },
    /// Answers a [`Message::AskLead`]: the sender does not lead.
    NotLeading {
        /// The life that asked.
        life: Life,
    },
    /// Answers a [`Message::Vote`].
    VoteReply {
        /// The answerer's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Replicates entries; without any it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        prev: LogEnd,
        /// Entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Round, for the lease.
        round: Round,
    },
    /// Replaces a log that is too far behind.
    Install {
        /// The leader's term.
        term: Term,
        /// Last entry that the snapshot holds.
        end: LogEnd,
        /// Who took part at that entry.
        members: Members,
        /// The state, encoded.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Round, for the lease.
        round: Round,
    },
    /// Answers a [`Message::Append`] or [`Message::Install`].
    AppendReply {
        /// The answerer's term.
        term: Term,
        /// Whether the log now matches the leader's up to `index`.
        matched: bool,
        /// Last matching position, or a position to try from.
        index: Index,
        /// Round of the message that is answered.
        round: Round,
    },
}

impl Message {
    /// Returns whether only a leader sends such a message, and only to who takes part.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Self::Append { .. } | Self::Install { .. })
    }

    /// Returns whether the message belongs to a term. Questions about leases of before a restart
    /// do not: terms say nothing about those.
    pub fn is_of_a_term(&self) -> bool {
        !matches!(self, Self::AskLead { .. } | Self::NotLeading { .. })
    }

    /// Returns how many bytes of commands or state the message carries, roughly.
    pub fn payload_len(&self) -> usize {
        match self {
            Self::Append { entries, .. } => entries.iter().map(|e| e.payload.encoded_len()).sum(),
            Self::Install { data, .. } => data.len(),
            _ => 0,
        }
    }

    /// Returns the term that the message carries; 0 for messages without regard to terms.
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

/// A message with its sender and receiver; one for another identity is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// Messages from one box to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// Where the sender takes answers: a box that was just let in knows nobody yet.
    pub reply_to: SocketAddr,
    /// The messages.
    pub envelopes: Vec<Envelope>,
}
