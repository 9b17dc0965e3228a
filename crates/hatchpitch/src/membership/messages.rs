//! Membership records and the messages that carry them between boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxName, ConfigNumber, FailureDomainName, Incarnation, RunnerName};

/// The member that a record describes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// An entry box.
    Box(BoxName),
    /// An upstream: a model runner or a runner of a service.
    Upstream(RunnerName),
}

/// Status of a member within one incarnation; it only moves towards later variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// Accepts work.
    Alive,
    /// Did not answer at least one box; accepts work until it is confirmed dead.
    Suspect,
    /// Finishes its work and accepts no new work.
    Leaving,
    /// Terminated or unreachable.
    Dead,
}

/// The state of one member. Of two records of a member, the one with the greater
/// `(incarnation, status)` wins, so an outdated source cannot revive a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member described.
    pub subject: Subject,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Status in that incarnation.
    pub status: MemberStatus,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for other boxes.
    pub box_addr: SocketAddr,
    /// Failure domain of the member.
    pub failure_domain: FailureDomainName,
}

impl MemberRecord {
    /// Returns the key by which records of one member are ordered; the greater one wins.
    pub fn version(&self) -> (Incarnation, MemberStatus) {
        (self.incarnation, self.status)
    }
}

/// A heartbeat or the answer to one. It carries recently changed records, or all of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: BoxName,
    /// Number of the configuration in force at the sender.
    pub config_number: ConfigNumber,
    /// Whether the sender asks for all records of the receiver.
    pub want_all: bool,
    /// Records that the receiver may lack.
    pub records: Vec<MemberRecord>,
}

/// Asks a box to probe another one on behalf of the sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The box to probe.
    pub target: SocketAddr,
}

/// Answer to a [`ProbeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Whether the target answered the probe.
    pub answered: bool,
}
