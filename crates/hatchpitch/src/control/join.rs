//! Automatic repair of the membership of the replication group.
//!
//! A control box that is not a voter asks the leader to add it. The leader adds
//! it as a learner, promotes it once it holds the whole log, and removes the
//! replica that it replaces: one of the same name, whose disk is lost, or one
//! that has been silent while the group has more voters than its target size.
//! A box does not vote before it is promoted, and each membership change
//! concerns a single replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{Stop, clock};
use serde::{Deserialize, Serialize};

use super::context::{ControlCx, LogState};
use super::repair::{self, RepairError};
use crate::replication::bootstrap::as_peer;
use crate::replication::membership::MemberChange;
use crate::replication::task::ReplicaHandle;
use crate::replication::{Members, NodeId, Peer};

/// Path of a [`JoinRequest`].
pub const JOIN_PATH: &str = "/box/join";
/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a leader after which a voter asks to join again, since it may have been removed;
/// longer than the longest election.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a message after which a replica may be removed: twice the time after which a
/// silent leader is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time limit of one [`JoinRequest`].
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the leader to add the sender to the replication group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica on the sender's disk.
    pub id: NodeId,
    /// Name and addresses of the sender.
    pub peer: Peer,
}

/// Response to a [`JoinRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinAnswer {
    /// This box leads and received the request; the sender repeats it until it is a voter.
    Joining,
    /// This box does not lead. Names the address of the leader if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Answers a [`JoinRequest`]. The leader starts to add the sender in the background, unless a
/// membership change is under way already.
pub fn answer(cx: &Rc<ControlCx>, req: JoinRequest) -> JoinAnswer {
    if !cx.is_elected() {
        return JoinAnswer::NotLeader(cx.leader().map(|leader| leader.boxes_addr));
    }
    if !cx.changing_members.replace(true) {
        let cx = cx.clone();
        compio::runtime::spawn(async move {
            match admit(&cx, &req).await {
                Ok(false) => {}
                Ok(true) => {
                    log::info!("control box {} takes part, identity {:016x}", req.peer.name, req.id)
                }
                Err(err) => {
                    log::warn!("control box {} could not be added yet: {err}", req.peer.name)
                }
            }
            cx.changing_members.set(false);
        })
        .detach();
    }
    JoinAnswer::Joining
}

/// Adds a box to the replication group and removes the replica that it replaces. Returns `false` if
/// the box is a voter already.
async fn admit(cx: &ControlCx, req: &JoinRequest) -> Result<bool, RepairError> {
    let Some(log) = cx.log() else { return Ok(false) };
    let members = || log.with(|replica| replica.members().clone());
    if members().voters.contains_key(&req.id) {
        return Ok(false);
    }
    if members().get(req.id).is_none() {
        let change = MemberChange::AddLearner(req.id, req.peer.clone());
        repair::change_members(log, "add", &change).await?;
    }
    repair::wait_until(log, "catch up", |log| {
        log.with(|replica| replica.replication_lag(req.id)) == Some(0)
    })
    .await?;
    repair::change_members(log, "promote", &MemberChange::Promote(req.id)).await?;
    for old in repair::other_replicas_of(&members(), &req.peer.name, req.id) {
        repair::change_members(log, "remove", &MemberChange::Remove(old)).await?;
    }
    remove_silent(cx, log).await?;
    Ok(true)
}

/// Removes the voter that has been silent longest, if the group has more voters than its target
/// size.
async fn remove_silent(cx: &ControlCx, log: &ReplicaHandle) -> Result<(), RepairError> {
    let now = clock::now();
    let silent = log.with(|replica| {
        let voters = replica.members().voters.keys().copied();
        let silent = voters.filter_map(|id| Some((replica.silent_for(id, now)?, id)));
        let longest = silent.max().filter(|(silence, _)| *silence >= SILENCE_TIMEOUT);
        longest.filter(|_| replica.members().voters.len() > cx.settings.core_size)
    });
    let Some((silence, id)) = silent else { return Ok(()) };
    repair::change_members(log, "remove", &MemberChange::Remove(id)).await?;
    // Logged only once the removal is committed: the group then tolerates the loss of another
    // replica. Before that, it would leave only two of four voters.
    log::info!(
        "control replica {id:016x} is removed: silent for {silence:?}, enough other voters remain"
    );
    Ok(())
}

/// Asks to join while this box is not a voter; while it leads, removes silent voters beyond the
/// target size of the group.
pub async fn run(cx: Rc<ControlCx>, stop: Stop) {
    let mut leader_seen = clock::now();
    while !stop.is_set() {
        compio::time::sleep(CHECK_INTERVAL).await;
        let Some(log) = cx.log() else {
            // Without its log, this box doesn't know whether it is a voter.
            if cx.log_state.get() == LogState::Absent {
                request_join(&cx).await;
            }
            continue;
        };
        if log.with(|replica| replica.leads()) {
            leader_seen = clock::now();
            if !cx.changing_members.replace(true) {
                if let Err(err) = remove_silent(&cx, log).await {
                    log::warn!("a silent control replica could not be removed yet: {err}");
                }
                cx.changing_members.set(false);
            }
            continue;
        }
        if log.with(|replica| replica.leader().is_some()) {
            leader_seen = clock::now();
        }
        if log.with(|replica| {
            should_request_join(replica.members(), cx.id.get(), clock::since(leader_seen))
        }) {
            request_join(&cx).await;
        }
    }
}

/// Returns whether a box asks to join: while it is not a voter, and when it has known no leader for
/// so long that it may have been removed. A learner asks as well: the leader that added it may have
/// lost leadership before it promoted it, and no other leader would promote it unasked.
pub fn should_request_join(members: &Members, own: NodeId, without_leader: Duration) -> bool {
    !members.voters.contains_key(&own) || without_leader > LEADERLESS_TIMEOUT
}

/// Asks the known control boxes in turn until the leader answers.
async fn request_join(cx: &ControlCx) {
    let req = JoinRequest { id: cx.id.get(), peer: as_peer(&cx.settings.own) };
    let mut targets = cx.peer_addrs();
    let mut next = 0;
    while next < targets.len() {
        let target = targets[next];
        next += 1;
        match cx.boxes.call::<_, JoinAnswer>(target, JOIN_PATH, &req, CALL_TIMEOUT).await {
            Ok(JoinAnswer::Joining) => return,
            Ok(JoinAnswer::NotLeader(Some(leader))) if !targets.contains(&leader) => {
                targets.push(leader);
            }
            Ok(JoinAnswer::NotLeader(_)) => {}
            Err(err) => log::debug!("join request to control box {target} failed: {err}"),
        }
    }
}
