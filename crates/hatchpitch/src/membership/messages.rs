//! Messages of membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxName, ConfigNumber, FailureDomainName, Incarnation, RunnerName};

/// What a record is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// An entry box.
    Box(BoxName),
    /// An upstream: a model runner or a runner of a service.
    Upstream(RunnerName),
}

/// Status within one incarnation; it only moves to the right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// Serves.
    Alive,
    /// Does not answer some box; serves until that is confirmed.
    Suspect,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Gone.
    Dead,
}

/// What is known about one member. Of two records the larger
/// `(incarnation, status)` wins, so a lagging source can never bring a member back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who it is about.
    pub subject: Subject,
    /// The life of the member.
    pub incarnation: Incarnation,
    /// Its status in that life.
    pub status: MemberStatus,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where other boxes reach it.
    pub box_addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
}

impl MemberRecord {
    /// Returns the order in which records win.
    pub fn version(&self) -> (Incarnation, MemberStatus) {
        (self.incarnation, self.status)
    }
}

/// A heartbeat, and its answer: what the sender learned lately, or all that it knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: BoxName,
    /// Configuration number in force at the sender.
    pub config_number: ConfigNumber,
    /// Whether the sender asks for everything the receiver knows.
    pub want_all: bool,
    /// Records that the receiver may not have.
    pub records: Vec<MemberRecord>,
}

/// Asks a box to send a heartbeat to another one for the asker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The box to probe.
    pub target: SocketAddr,
}

/// Answer to a [`ProbeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Whether the target answered.
    pub answered: bool,
}
