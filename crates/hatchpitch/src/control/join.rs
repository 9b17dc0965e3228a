//! A core that mends its own membership.
//!
//! A control box without a place in the log asks for one. The leader lets it
//! in as a learner, promotes it once it holds everything, and removes the
//! replica whose box it takes: the one of the same name, whose disk is lost, or
//! one that has been silent while there are more replicas than the core needs.
//! A box never votes before it was promoted, and each change moves one replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};
use serde::{Deserialize, Serialize};

use super::context::ControlCx;
use super::repair::{self, RepairError};
use crate::replication::bootstrap::as_peer;
use crate::replication::membership::MemberChange;
use crate::replication::task::ReplicaHandle;
use crate::replication::{Members, NodeId, Peer};

/// Path on which a box asks for a place.
pub const JOIN_PATH: &str = "/box/join";
/// Time between two looks at the membership.
const LOOK_PERIOD: Duration = Duration::from_millis(300);
/// Time without a leader after which a box asks whether it still has a place: longer than the
/// longest election.
const NO_LEADER: Duration = Duration::from_millis(2_500);
/// Silence after which a replica may be the one that a new box replaces: twice the time after
/// which a leader would be replaced.
const SILENT: Duration = Duration::from_millis(1_600);
/// Time for one request for a place.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Asks for a place in the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the asker's disk.
    pub id: NodeId,
    /// The asker.
    pub peer: Peer,
}

/// The answer to a [`JoinRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinAnswer {
    /// The asker has a place or is getting one.
    Joining,
    /// Another box leads, if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Answers a box that asks for a place; the leader begins to let it in.
pub fn answer(cx: &Rc<ControlCx>, req: JoinRequest) -> JoinAnswer {
    if !cx.is_elected() {
        return JoinAnswer::NotLeader(cx.leader().map(|leader| leader.boxes_addr));
    }
    if !cx.joining.replace(true) {
        let cx = cx.clone();
        compio::runtime::spawn(async move {
            match admit(&cx, &req).await {
                Ok(false) => {}
                Ok(true) => {
                    log::info!("control box {} takes part, identity {:016x}", req.peer.name, req.id)
                }
                Err(err) => log::warn!("control box {} is not let in yet: {err}", req.peer.name),
            }
            cx.joining.set(false);
        })
        .detach();
    }
    JoinAnswer::Joining
}

/// Lets a box in and removes the replica that it replaces; returns whether it was new.
async fn admit(cx: &ControlCx, req: &JoinRequest) -> Result<bool, RepairError> {
    let Some(log) = cx.log() else { return Ok(false) };
    let members = || log.with(|replica| replica.members().clone());
    if members().voters.contains_key(&req.id) {
        return Ok(false);
    }
    if members().get(req.id).is_none() {
        let change = MemberChange::AddLearner(req.id, req.peer.clone());
        repair::step(log, "add", &change).await?;
    }
    repair::wait(log, "catch up", |log| {
        log.with(|replica| replica.replication_lag(req.id)) == Some(0)
    })
    .await?;
    repair::step(log, "promote", &MemberChange::Promote(req.id)).await?;
    for old in repair::others_named(&members(), &req.peer.name, req.id) {
        repair::step(log, "remove", &MemberChange::Remove(old)).await?;
    }
    remove_silent(cx, log).await?;
    Ok(true)
}

/// Removes the replica that has been silent longest, while the core has more than it needs.
async fn remove_silent(cx: &ControlCx, log: &ReplicaHandle) -> Result<(), RepairError> {
    let now = clock::now();
    let silent = log.with(|replica| {
        let voters = replica.members().voters.keys().copied();
        let silent = voters.filter_map(|id| Some((replica.silent_for(id, now)?, id)));
        let longest = silent.max().filter(|(silence, _)| *silence >= SILENT);
        longest.filter(|_| replica.members().voters.len() > cx.settings.core_size)
    });
    let Some((silence, id)) = silent else { return Ok(()) };
    repair::step(log, "remove", &MemberChange::Remove(id)).await?;
    // Only now may another replica be lost: before it, two of four would be gone.
    log::info!(
        "control replica {id:016x} is removed: silent for {silence:?}, others took its place"
    );
    Ok(())
}

/// Asks for a place while this box has none, and keeps the core at its size while it leads.
pub async fn run(cx: Rc<ControlCx>, stop: Stop) {
    let mut led_at = clock::now();
    while !stop.is_set() {
        compio::time::sleep(LOOK_PERIOD).await;
        let Some(log) = cx.log() else {
            ask(&cx).await;
            continue;
        };
        if log.with(|replica| replica.leads()) {
            led_at = clock::now();
            if !cx.joining.replace(true) {
                if let Err(err) = remove_silent(&cx, log).await {
                    log::warn!("a silent control replica is not removed yet: {err}");
                }
                cx.joining.set(false);
            }
            continue;
        }
        if log.with(|replica| replica.leader().is_some()) {
            led_at = clock::now();
        }
        if log.with(|replica| asks(replica.members(), cx.id, clock::since(led_at))) {
            ask(&cx).await;
        }
    }
}

/// Returns whether a box asks for a place: while it has no vote, and when it has heard of no
/// leader for so long that it may have lost it. A learner asks as well: the leader that let it in
/// may have lost the lead before it gave it a vote, and no other one would.
pub fn asks(members: &Members, own: NodeId, leaderless: Duration) -> bool {
    !members.voters.contains_key(&own) || leaderless > NO_LEADER
}

/// Asks every control box that is known until one that leads answers.
async fn ask(cx: &ControlCx) {
    let req = JoinRequest { id: cx.id, peer: as_peer(&cx.settings.own) };
    let mut targets = cx.peer_addrs();
    let mut asked = 0;
    while asked < targets.len() {
        let target = targets[asked];
        asked += 1;
        match cx.boxes.call::<_, JoinAnswer>(target, JOIN_PATH, &req, CALL_LIMIT).await {
            Ok(JoinAnswer::Joining) => return,
            Ok(JoinAnswer::NotLeader(Some(leader))) if !targets.contains(&leader) => {
                targets.push(leader);
            }
            Ok(JoinAnswer::NotLeader(_)) => {}
            Err(err) => log::debug!("asking for a place: {err}"),
        }
    }
}
