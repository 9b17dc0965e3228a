//! Cluster bootstrap: the first start of a control box.
//!
//! Replicas are identified by ids bound to their disks, which the settings cannot contain. At its
//! first start a box therefore asks every peer in its settings for its id. A new log is created
//! only if all peers answer and none of them has a log. If a log exists, this box takes part in it
//! only if its id is already a member. A box that lost its disk therefore never creates a second
//! log; it waits for `repair`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hatchpitch_net::BoxClient;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::disk::Disk;
use super::messages::{Members, NodeId, Peer};
use super::storage::{Storage, StorageError};
use crate::ids::BoxName;
use crate::settings::ControlPeer;

/// Path of [`Hello`] calls.
pub const HELLO_PATH: &str = "/box/hello";
/// Timeout of a [`Hello`] call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between rounds of calls to all peers.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Rounds between warnings that the box is still waiting for its peers.
const ROUNDS_PER_WARNING: u32 = 50;

/// What a control box tells its peers about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the box.
    pub name: BoxName,
    /// Replica id, bound to the box's disk.
    pub id: NodeId,
    /// Members of its log, if it has one.
    pub members: Option<Members>,
    /// The leader, if it knows one.
    #[serde(default)]
    pub leader: Option<Peer>,
    /// Whether the box has no disk and is therefore not a replica.
    #[serde(default)]
    pub without_disk: bool,
    /// Target size of the group in the settings of the box; 0 from earlier versions.
    #[serde(default)]
    pub core_size: usize,
}

/// What to do after one round of calls to the peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Create the log with these members, of which this box is one. If the log exists, these are
    /// its members.
    Begin(Members),
    /// Ask again: not all peers answered.
    Wait,
    /// A log exists and this replica is not a member; an operator has to add it by `repair`.
    NotMember,
}

/// Outcome of [`bootstrap`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootstrapOutcome {
    /// This box is a member of the log, which was created on its disk.
    Member,
    /// A log exists and this replica is not a member; it has to be added.
    NotMember,
}

/// Returns the replica id bound to this disk. At the first start, draws a random one and binds it.
/// Keeps the id in `drawn` until it is durable, for the next attempt.
///
/// # Errors
///
/// Returns a [`StorageError`] if the file cannot be read or written. A box whose file can't be read
/// never draws another id.
pub fn identity(disk: &Disk, drawn: &mut Option<NodeId>) -> Result<NodeId, StorageError> {
    let id = match (Storage::identity(disk)?, *drawn) {
        (Some(id), None) => return Ok(id),
        // The attempt that failed may have written the file and not synced its name.
        (Some(id), Some(_)) | (None, Some(id)) => id,
        (None, None) => rand::rng().random_range(1..=NodeId::MAX),
    };
    *drawn = Some(id);
    Storage::bind_identity(disk, id)?;
    *drawn = None;
    Ok(id)
}

/// Decides from the peers' answers what the replica `own` does. A log that has it as a member is
/// preferred over one that does not.
pub fn decide(own: NodeId, peers: &[ControlPeer], answers: &[Hello]) -> Decision {
    let members = answers.iter().filter_map(|hello| hello.members.as_ref());
    let existing = members.max_by_key(|members| members.get(own).is_some());
    match existing {
        Some(members) if members.get(own).is_some() => return Decision::Begin(members.clone()),
        Some(_) => return Decision::NotMember,
        None => {}
    }
    let mut voters = BTreeMap::new();
    for peer in peers {
        let Some(hello) = answers.iter().find(|hello| hello.name == peer.name) else {
            return Decision::Wait;
        };
        if !hello.without_disk {
            voters.insert(hello.id, as_peer(peer));
        }
    }
    Decision::Begin(Members { voters, learners: BTreeMap::new() })
}

/// Calls the peers until this box can create its log durably, or until a peer has a log that this
/// replica is not a member of.
///
/// Messages from a leader do not imply that the log lacks this replica: one of the initial members
/// may receive them before it has the ids of the others, and the messages do not contain those.
///
/// # Errors
///
/// Returns a [`StorageError`] if the log cannot be written.
pub async fn bootstrap(
    disk: &Disk,
    own: &Hello,
    peers: &[ControlPeer],
    client: &BoxClient,
) -> Result<BootstrapOutcome, StorageError> {
    let mut rounds = 0_u32;
    loop {
        let answers = exchange_hellos(own, peers, client).await;
        match decide(own.id, peers, &answers) {
            Decision::Begin(members) => {
                Storage::create(disk, members)?;
                return Ok(BootstrapOutcome::Member);
            }
            Decision::NotMember => return Ok(BootstrapOutcome::NotMember),
            decision @ Decision::Wait if rounds.is_multiple_of(ROUNDS_PER_WARNING) => {
                log::warn!(
                    "no log here yet: {decision:?}; {} of {} peers answered",
                    answers.len(),
                    peers.len()
                );
            }
            Decision::Wait => {}
        }
        rounds += 1;
        compio::time::sleep(RETRY_DELAY).await;
    }
}

/// Calls every peer once; returns the own [`Hello`] and those of the peers that answered.
async fn exchange_hellos(own: &Hello, peers: &[ControlPeer], client: &BoxClient) -> Vec<Hello> {
    let mut answers = vec![own.clone()];
    for peer in peers.iter().filter(|peer| peer.name != own.name) {
        match hello(client, peer.boxes_addr, own).await {
            Ok(answer) if answer.name == peer.name => answers.push(answer),
            Ok(answer) => {
                log::warn!("the box at {} identifies itself as {}", peer.boxes_addr, answer.name);
            }
            Err(err) => log::debug!("hello to {}: {err}", peer.name),
        }
    }
    answers
}

/// Sends this box's [`Hello`] to another box and returns the one it answers with.
///
/// # Errors
///
/// Returns the error of the call.
pub async fn hello(
    client: &BoxClient,
    addr: SocketAddr,
    own: &Hello,
) -> Result<Hello, hatchpitch_net::CallError> {
    client.call(addr, HELLO_PATH, own, CALL_TIMEOUT).await
}

/// Converts a peer of the settings to a replica's addresses.
pub fn as_peer(peer: &ControlPeer) -> Peer {
    Peer {
        name: peer.name.clone(),
        boxes_addr: peer.boxes_addr,
        operators_addr: peer.operators_addr,
    }
}
