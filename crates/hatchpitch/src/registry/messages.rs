//! Messages about upstreams that announce themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxName, ConfigNumber, FailureDomainName, RunnerName, ServiceName};

/// Life of a control process; a table of another life starts from nothing.
pub type Epoch = u64;
/// Position among the changes of one table.
pub type Version = u64;

/// Where an upstream stands in its life; it only moves to the right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// What an upstream announces. Its id names one life of it, never used again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of this life.
    pub id: RunnerName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens; another upstream may get the address later.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
    /// Requests that it works on at once.
    pub slots: u64,
    /// Its phase.
    pub phase: Phase,
    /// Time for which it stays slow after its start.
    pub warm_in: Duration,
    /// Grows with each announcement of this life.
    pub sequence: u64,
}

/// Largest sequence of a life's first announcement: the one before it may have been lost.
const FIRST_SEQUENCE: u64 = 2;

impl UpstreamRecord {
    /// Returns whether the life has just begun, so that any other at its address is over. A life
    /// that is older and yet unknown may be one of before, whose announcement was held up.
    pub fn is_new_life(&self) -> bool {
        self.sequence <= FIRST_SEQUENCE
    }

    /// Returns whether this record takes the place of `known`: a later phase, or a later
    /// announcement of the same phase. An announcement that arrives late never brings an
    /// upstream back.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.phase, self.sequence) > (known.phase, known.sequence)
    }
}

/// What one control box tells another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RegistryNews {
    /// Announcements, new or renewed.
    pub records: Vec<UpstreamRecord>,
    /// Lives that ended.
    pub ended: Vec<RunnerName>,
    /// Where other boxes reach the sender.
    pub from: Option<SocketAddr>,
    /// Where other boxes reach the control boxes that the sender knows.
    pub control: Vec<SocketAddr>,
}

/// Asks a control box for changes of its table; the answer may be held back for `hold`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Who asks.
    pub from: BoxName,
    /// The table's life that the asker followed last.
    pub epoch: Epoch,
    /// The version that it has.
    pub have: Version,
    /// The configuration number that it has.
    pub config: ConfigNumber,
    /// How long the answer may be held back.
    pub hold: Duration,
}

/// The answer to a [`FollowRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// The table's life.
    pub epoch: Epoch,
    /// Its version.
    pub version: Version,
    /// Records that changed since.
    pub records: Vec<UpstreamRecord>,
    /// Lives that ended since.
    pub ended: Vec<RunnerName>,
    /// Upstreams whose lease ran out since; they may announce themselves again.
    pub lapsed: Vec<RunnerName>,
    /// The configuration number in force at the control box.
    pub config: ConfigNumber,
    /// Whether the table is older than a lease, so that it knows every upstream in its reach.
    pub settled: bool,
    /// Where other boxes reach the control boxes, as far as is known there.
    pub control: Vec<SocketAddr>,
}
