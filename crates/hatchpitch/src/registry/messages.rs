//! Records of announced upstreams and the messages that distribute them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::life::{Birth, LifeName, life_name};
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, FailureDomainName, RunnerName, ServiceName};
use crate::quarantine::{self, QuarantineList};

/// Identifies one run of a control process, whose table starts empty.
pub type Epoch = u64;
/// Sequence number of a change of one table.
pub type Version = u64;

/// Phase of an upstream within one incarnation; it only moves towards later variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The upstream accepts work.
    Serving,
    /// The upstream finishes its work and accepts no more.
    Leaving,
}

/// The announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id under which the upstream announces itself; a later incarnation may reuse it.
    pub id: RunnerName,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address on which it listens; another upstream may get the address later.
    pub addr: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomainName,
    /// Number of requests that it processes concurrently.
    pub slots: u64,
    /// Phase of the upstream.
    pub phase: Phase,
    /// Time from the announcement until the upstream is warm.
    pub warm_in: Duration,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Birth time of the incarnation, if the upstream announces one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Birth>,
}

/// Longest time until an upstream is warm that is taken from an announcement; longer ones count as
/// this. No upstream takes a day, and an instant cannot hold every duration.
pub const MAX_WARM_IN: Duration = Duration::from_secs(24 * 3_600);

/// Greatest sequence number at which an incarnation counts as new. It is 2 because the first
/// announcement may have been lost.
const MAX_NEW_SEQUENCE: u64 = 2;

impl UpstreamRecord {
    /// Returns the name of this incarnation.
    pub fn life(&self) -> LifeName {
        life_name(&self.id, self.born)
    }

    /// Bounds the time until the upstream is warm, so that it can be added to an instant.
    pub(super) fn bounded(self) -> Self {
        Self { warm_in: self.warm_in.min(MAX_WARM_IN), ..self }
    }

    /// Returns whether the incarnation has just started, so that any other one at its address has
    /// ended. An unknown incarnation with a greater sequence number may be an earlier one whose
    /// announcement was delayed.
    pub fn is_new_life(&self) -> bool {
        self.sequence <= MAX_NEW_SEQUENCE
    }

    /// Returns whether this record replaces `known`, a record of the same incarnation. It does if
    /// it has a later phase, or the same phase and a greater sequence number, so a delayed
    /// announcement never returns a leaving upstream to service.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.phase, self.sequence) > (known.phase, known.sequence)
    }

    /// Returns whether this incarnation started after `other`, or `None` if either birth time is
    /// unknown.
    pub fn is_younger_than(&self, other: &Self) -> Option<bool> {
        Some(self.born? > other.born?)
    }
}

/// Changes of the registry, sent from one control box to another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RegistryNews {
    /// New or renewed announcements.
    pub records: Vec<UpstreamRecord>,
    /// Ids whose incarnation ended, for boxes of earlier versions, which know only ids.
    pub ended: Vec<RunnerName>,
    /// Incarnations that ended; `None` if the sender reports only ids.
    #[serde(default)]
    pub ended_lives: Option<Vec<LifeName>>,
    /// Packed announcements, used if all control boxes known to the sender can unpack them.
    #[serde(default)]
    pub packed: Option<PackedRecords>,
    /// Whether the sender can unpack packed records.
    #[serde(default)]
    pub unpacks: bool,
    /// Epoch of the sender's table; the table of a new epoch is empty.
    #[serde(default)]
    pub epoch: Epoch,
    /// Address of the sender for other boxes.
    pub from: Option<SocketAddr>,
    /// Addresses for other boxes of the control boxes known to the sender.
    pub control: Vec<SocketAddr>,
}

impl RegistryNews {
    /// Creates a message that reports ended incarnations.
    pub fn of_ends(lives: Vec<LifeName>) -> Self {
        let ended = lives.iter().map(|life| super::life::announced_id(life).to_owned()).collect();
        Self { ended, ended_lives: Some(lives), ..Self::default() }
    }

    /// Appends the announcements and ends of another message.
    pub fn merge(&mut self, other: Self) {
        self.records.extend(other.records);
        self.ended.extend(other.ended);
        if let Some(lives) = other.ended_lives {
            self.ended_lives.get_or_insert_default().extend(lives);
        }
    }

    /// Moves the announcements into packed form.
    pub fn pack(&mut self) {
        self.packed = Some(PackedRecords::new(&std::mem::take(&mut self.records)));
    }

    /// Appends the packed announcements, if any, to the plain ones.
    ///
    /// # Errors
    ///
    /// Returns the error of [`PackedRecords::records`].
    pub fn unpack(&mut self) -> Result<(), rmp_serde::decode::Error> {
        if let Some(packed) = self.packed.take() {
            self.records.extend(packed.records()?);
        }
        Ok(())
    }

    /// Returns the ended incarnations, or their ids if the sender reports only ids.
    pub fn ends(&self) -> &[LifeName] {
        self.ended_lives.as_deref().unwrap_or(&self.ended)
    }
}

/// The level of detail of an answer to a follower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Detail {
    /// All changes, with records encoded by field names. Boxes of earlier versions request this.
    #[default]
    Named,
    /// All changes, with packed records.
    Whole,
    /// Only the incarnations that leave or ended.
    Departures,
}

/// Asks a control box for changes of its table. The answer may be delayed by up to `hold`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Name of the requesting box.
    pub from: BoxName,
    /// Epoch of the table that the requester last followed.
    pub epoch: Epoch,
    /// Table version that the requester has.
    pub have: Version,
    /// Configuration number that the requester has.
    pub config: ConfigNumber,
    /// Maximum time to wait for a change before answering.
    pub hold: Duration,
    /// Requested level of detail.
    #[serde(default)]
    pub detail: Detail,
    /// Revision of the evacuations that the requester has.
    #[serde(default)]
    pub evacuations: Revision,
    /// Revision of the quarantine list that the requester has.
    #[serde(default)]
    pub quarantine: quarantine::Revision,
}

/// The answer to a [`FollowRequest`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// Epoch of the table.
    pub epoch: Epoch,
    /// Table version up to which changes are reported.
    pub version: Version,
    /// Level of detail of the answer.
    #[serde(default)]
    pub detail: Detail,
    /// Table version after which changes are reported; 0 reports the whole table.
    #[serde(default)]
    pub since: Version,
    /// Changed records, for [`Detail::Named`].
    pub records: Vec<UpstreamRecord>,
    /// Changed records for [`Detail::Whole`], packed to a third of the size.
    #[serde(default)]
    pub packed: Option<PackedRecords>,
    /// Incarnations that leave. For [`Detail::Whole`], only those of which nothing else changed.
    #[serde(default)]
    pub leaving: Vec<LifeName>,
    /// Incarnations that ended; for [`Detail::Named`], their ids.
    pub ended: Vec<LifeName>,
    /// Incarnations whose lease expired; they may announce themselves again.
    pub lapsed: Vec<LifeName>,
    /// Number of the configuration in force at the control box.
    pub config: ConfigNumber,
    /// Whether the answer reaches the end of a table that has received announcements for at least
    /// one lease, so that it holds every upstream that can reach the control box.
    pub settled: bool,
    /// Whether more changes remain, which the follower should request immediately.
    #[serde(default)]
    pub more: bool,
    /// Whether the control box is disconnected from the control core, so that its table may be
    /// outdated.
    #[serde(default)]
    pub out_of_touch: bool,
    /// Addresses for other boxes of the control boxes known to the answering one.
    pub control: Vec<SocketAddr>,
    /// The evacuations, if newer than those of the requester.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The quarantine list, if newer than that of the requester.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
}

/// Upstream records encoded without field names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRecords(#[serde(with = "serde_bytes")] Vec<u8>);

impl PackedRecords {
    /// Encodes records.
    ///
    /// # Panics
    ///
    /// Panics if a record does not encode, which its field types rule out.
    pub fn new(records: &[UpstreamRecord]) -> Self {
        let packed: Vec<Packed<'_>> = records.iter().map(Packed::from).collect();
        Self(rmp_serde::to_vec(&packed).expect("records always encode"))
    }

    /// Decodes the records.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes were not written by [`PackedRecords::new`].
    pub fn records(&self) -> Result<Vec<UpstreamRecord>, rmp_serde::decode::Error> {
        let packed: Vec<Packed<'_>> = rmp_serde::from_slice(&self.0)?;
        Ok(packed.into_iter().map(UpstreamRecord::from).collect())
    }
}

/// The packed form of a record: id, service, address, failure domain, slots, whether it leaves,
/// time until it is warm in ms, sequence number and birth time.
#[derive(Serialize, Deserialize)]
struct Packed<'a>(&'a str, &'a str, SocketAddr, &'a str, u64, bool, u64, u64, Option<Birth>);

impl<'a> From<&'a UpstreamRecord> for Packed<'a> {
    fn from(r: &'a UpstreamRecord) -> Self {
        let leaves = r.phase == Phase::Leaving;
        let warm_in = u64::try_from(r.warm_in.as_millis()).unwrap_or(u64::MAX);
        let domain = r.failure_domain.as_str();
        Self(&r.id, &r.service, r.addr, domain, r.slots, leaves, warm_in, r.sequence, r.born)
    }
}

impl From<Packed<'_>> for UpstreamRecord {
    fn from(packed: Packed<'_>) -> Self {
        let Packed(id, service, addr, domain, slots, leaves, warm_in, sequence, born) = packed;
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            failure_domain: domain.to_owned(),
            slots,
            phase: if leaves { Phase::Leaving } else { Phase::Serving },
            warm_in: Duration::from_millis(warm_in),
            sequence,
            born,
        }
    }
}
