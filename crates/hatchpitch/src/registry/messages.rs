//! Messages about upstreams that announce themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::life::{Birth, LifeName, life_name};
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, FailureDomainName, RunnerName, ServiceName};
use crate::quarantine::{self, QuarantineList};

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

/// What an upstream announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id under which it announces itself; a later life may have it again.
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
    /// Time for which it stays cold, counted from the announcement.
    pub warm_in: Duration,
    /// Grows with each announcement of this life.
    pub sequence: u64,
    /// When this life began, if the upstream tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Birth>,
}

/// Largest sequence of a life's first announcement: the one before it may have been lost.
const FIRST_SEQUENCE: u64 = 2;

impl UpstreamRecord {
    /// Returns the name of this life.
    pub fn life(&self) -> LifeName {
        life_name(&self.id, self.born)
    }

    /// Returns whether the life has just begun, so that any other at its address is over. A life
    /// that is older and yet unknown may be one of before, whose announcement was held up.
    pub fn is_new_life(&self) -> bool {
        self.sequence <= FIRST_SEQUENCE
    }

    /// Returns whether this record takes the place of `known`, one of the same life: a later
    /// phase, or a later announcement of the same phase. An announcement that arrives late never
    /// brings an upstream back.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.phase, self.sequence) > (known.phase, known.sequence)
    }

    /// Returns whether this life began after `other`; `None` if one of them does not tell.
    pub fn is_younger_than(&self, other: &Self) -> Option<bool> {
        Some(self.born? > other.born?)
    }
}

/// What one control box tells another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RegistryNews {
    /// Announcements, new or renewed.
    pub records: Vec<UpstreamRecord>,
    /// Ids whose only life ended, for boxes that know of no others.
    pub ended: Vec<RunnerName>,
    /// Lives that ended; `None` from a box that names them by id.
    #[serde(default)]
    pub ended_lives: Option<Vec<LifeName>>,
    /// The announcements, if all control boxes that the sender knows can unpack them.
    #[serde(default)]
    pub packed: Option<PackedRecords>,
    /// Whether the sender can unpack records.
    #[serde(default)]
    pub unpacks: bool,
    /// Life of the sender's table; a new one knows nothing yet.
    #[serde(default)]
    pub epoch: Epoch,
    /// Where other boxes reach the sender.
    pub from: Option<SocketAddr>,
    /// Where other boxes reach the control boxes that the sender knows.
    pub control: Vec<SocketAddr>,
}

impl RegistryNews {
    /// Returns news of lives that ended.
    pub fn of_ends(lives: Vec<LifeName>) -> Self {
        let ended = lives.iter().map(|life| super::life::announced_id(life).to_owned()).collect();
        Self { ended, ended_lives: Some(lives), ..Self::default() }
    }

    /// Adds what other news hold.
    pub fn merge(&mut self, other: Self) {
        self.records.extend(other.records);
        self.ended.extend(other.ended);
        if let Some(lives) = other.ended_lives {
            self.ended_lives.get_or_insert_default().extend(lives);
        }
    }

    /// Packs the announcements.
    pub fn pack(&mut self) {
        self.packed = Some(PackedRecords::new(&std::mem::take(&mut self.records)));
    }

    /// Unpacks the announcements, if they are packed.
    ///
    /// # Errors
    ///
    /// Returns an error as [`PackedRecords::records`] does.
    pub fn unpack(&mut self) -> Result<(), rmp_serde::decode::Error> {
        if let Some(packed) = self.packed.take() {
            self.records.extend(packed.records()?);
        }
        Ok(())
    }

    /// Returns the lives that ended, as far as the sender names them.
    pub fn ends(&self) -> &[LifeName] {
        self.ended_lives.as_deref().unwrap_or(&self.ended)
    }
}

/// How much a follower wants to be told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Detail {
    /// Every change, with whole records by their field names: what boxes of before ask for.
    #[default]
    Named,
    /// Every change, with records packed.
    Whole,
    /// Only which lives leave or ended.
    Departures,
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
    /// How much it wants to be told.
    #[serde(default)]
    pub detail: Detail,
    /// The revision of the evacuations that it has.
    #[serde(default)]
    pub evacuations: Revision,
    /// The revision of the list of held requests that it has.
    #[serde(default)]
    pub quarantine: quarantine::Revision,
}

/// The answer to a [`FollowRequest`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// The table's life.
    pub epoch: Epoch,
    /// Its version.
    pub version: Version,
    /// How much is told.
    #[serde(default)]
    pub detail: Detail,
    /// The version since which it is told; 0 tells all.
    #[serde(default)]
    pub since: Version,
    /// Records that changed since, for [`Detail::Named`].
    pub records: Vec<UpstreamRecord>,
    /// The same for [`Detail::Whole`]: field after field, a third of the size.
    #[serde(default)]
    pub packed: Option<PackedRecords>,
    /// Lives that leave: all of them for [`Detail::Departures`], those of which nothing else is to
    /// be told for [`Detail::Whole`].
    #[serde(default)]
    pub leaving: Vec<LifeName>,
    /// Lives that ended since; by their ids for [`Detail::Named`].
    pub ended: Vec<LifeName>,
    /// Lives whose lease ran out since; they may announce themselves again.
    pub lapsed: Vec<LifeName>,
    /// The configuration number in force at the control box.
    pub config: ConfigNumber,
    /// Whether the table is older than a lease, so that it knows every upstream in its reach, and
    /// this answer tells the last of it.
    pub settled: bool,
    /// Whether there are further changes, to be asked for at once.
    #[serde(default)]
    pub more: bool,
    /// Whether the control box is out of touch with the core, so that its table may be behind.
    #[serde(default)]
    pub out_of_touch: bool,
    /// Where other boxes reach the control boxes, as far as is known there.
    pub control: Vec<SocketAddr>,
    /// The evacuations, if they are newer than those asked with.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The list of held requests, if it is newer than the one asked with.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
}

/// Records without the names of their fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRecords(#[serde(with = "serde_bytes")] Vec<u8>);

impl PackedRecords {
    /// Packs records.
    ///
    /// # Panics
    ///
    /// Panics if a record does not encode, which its types rule out.
    pub fn new(records: &[UpstreamRecord]) -> Self {
        let packed: Vec<Packed<'_>> = records.iter().map(Packed::from).collect();
        Self(rmp_serde::to_vec(&packed).expect("records always encode"))
    }

    /// Unpacks the records.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are none of [`PackedRecords::new`].
    pub fn records(&self) -> Result<Vec<UpstreamRecord>, rmp_serde::decode::Error> {
        let packed: Vec<Packed<'_>> = rmp_serde::from_slice(&self.0)?;
        Ok(packed.into_iter().map(UpstreamRecord::from).collect())
    }
}

/// A record as it is packed: id, service, address, failure domain, slots, whether it leaves, time
/// until it is warm in ms, sequence, time of birth.
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
