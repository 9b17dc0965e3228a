//! The first start of a control box: who is who, and when a log may begin.
//!
//! Replicas are known by identities bound to their disks, which the settings
//! cannot name. So at its first start a box asks all peers of its settings who
//! they are. A log begins only if every peer answers and none has begun one;
//! if one has, this box joins it only if its identity already takes part. A
//! box that lost its disk therefore never begins anew: it waits for `repair`.

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

/// Path of introductions.
pub const HELLO_PATH: &str = "/box/hello";
const CALL_LIMIT: Duration = Duration::from_millis(500);
const RETRY_REST: Duration = Duration::from_millis(100);
/// Rounds between notes in the log that the box still waits.
const NOTE_EVERY: u32 = 50;

/// A box's introduction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub name: BoxName,
    /// Its identity.
    pub id: NodeId,
    /// Who takes part in its log, if it has one.
    pub members: Option<Members>,
    /// Who leads, as far as it knows.
    #[serde(default)]
    pub leader: Option<Peer>,
    /// Whether it has no disk, so that it takes no part.
    #[serde(default)]
    pub without_disk: bool,
}

/// What a round of introductions led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Introduced {
    /// The log begins, or began, with these members, and this box is one of them.
    Begin(Members),
    /// Not all peers answered.
    Wait,
    /// A log goes on without this identity; it has to be let in by `repair`.
    Outside,
}

/// Where the log is that a box asked for at its first start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootstrapOutcome {
    /// It begins, or began, with this box, whose disk now holds its members.
    Member,
    /// It goes on without this identity, which has to be let in.
    NotMember,
}

/// Returns this disk's identity, making one at the first start.
///
/// # Errors
///
/// Returns a [`StorageError`] if the file cannot be read or written.
pub fn identity(disk: &Disk) -> Result<NodeId, StorageError> {
    if let Some(id) = Storage::identity(disk)? {
        return Ok(id);
    }
    let id = rand::rng().random_range(1..=NodeId::MAX);
    Storage::bind_identity(disk, id)?;
    Ok(id)
}

/// Decides what the answers of the peers mean for the box `own`.
pub fn decide(own: NodeId, peers: &[ControlPeer], answers: &[Hello]) -> Introduced {
    let begun = answers.iter().filter_map(|hello| hello.members.as_ref());
    let newest = begun.max_by_key(|members| members.get(own).is_some());
    match newest {
        Some(members) if members.get(own).is_some() => return Introduced::Begin(members.clone()),
        Some(_) => return Introduced::Outside,
        None => {}
    }
    let mut voters = BTreeMap::new();
    for peer in peers {
        let Some(hello) = answers.iter().find(|hello| hello.name == peer.name) else {
            return Introduced::Wait;
        };
        if !hello.without_disk {
            voters.insert(hello.id, as_peer(peer));
        }
    }
    Introduced::Begin(Members { voters, learners: BTreeMap::new() })
}

/// Asks the peers until a log may begin, and makes it durable, or until one goes on without this
/// box. Messages of its leader are no sign of the latter: one of the first members may get them
/// before it has heard who the others are, and the log does not tell.
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
        let answers = introductions(own, peers, client).await;
        match decide(own.id, peers, &answers) {
            Introduced::Begin(members) => {
                Storage::create(disk, members)?;
                return Ok(BootstrapOutcome::Member);
            }
            Introduced::Outside => return Ok(BootstrapOutcome::NotMember),
            state @ Introduced::Wait if rounds.is_multiple_of(NOTE_EVERY) => {
                log::warn!(
                    "no log here yet: {state:?}; {} of {} peers answered",
                    answers.len(),
                    peers.len()
                );
            }
            Introduced::Wait => {}
        }
        rounds += 1;
        compio::time::sleep(RETRY_REST).await;
    }
}

async fn introductions(own: &Hello, peers: &[ControlPeer], client: &BoxClient) -> Vec<Hello> {
    let mut answers = vec![own.clone()];
    for peer in peers.iter().filter(|peer| peer.name != own.name) {
        match hello(client, peer.boxes_addr, own).await {
            Ok(answer) if answer.name == peer.name => answers.push(answer),
            Ok(answer) => {
                log::warn!("{} introduces itself as {}", peer.boxes_addr, answer.name);
            }
            Err(err) => log::debug!("introduction to {}: {err}", peer.name),
        }
    }
    answers
}

/// Introduces this box to another one and returns its introduction.
///
/// # Errors
///
/// Returns the failed call.
pub async fn hello(
    client: &BoxClient,
    addr: SocketAddr,
    own: &Hello,
) -> Result<Hello, hatchpitch_net::CallError> {
    client.call(addr, HELLO_PATH, own, CALL_LIMIT).await
}

/// Returns a box of the settings as a replica.
pub fn as_peer(peer: &ControlPeer) -> Peer {
    Peer {
        name: peer.name.clone(),
        boxes_addr: peer.boxes_addr,
        operators_addr: peer.operators_addr,
    }
}
