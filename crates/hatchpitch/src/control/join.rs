//! Automatic repair of the membership of the replication group.
//!
//! A control box that is not a voter asks the leader to add it; one that stops asks to be removed
//! if the group has more voters than its target size. The leader makes the changes one at a time;
//! [`core_changes`](super::core_changes) decides which. A box does not vote before it is promoted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::StreamExt;
use hatchpitch_net::{CallStep, Stop, clock};
use serde::{Deserialize, Serialize};

use super::context::{ControlCx, LogState};
use super::core_changes::CoreChange;
use super::repair;
use crate::replication::bootstrap::{self, as_peer};
use crate::replication::membership::ChangeError;
use crate::replication::task::ReplicaHandle;
use crate::replication::{Members, NodeId, Peer};

/// Path of a [`JoinRequest`].
pub const JOIN_PATH: &str = "/box/join";
/// Path of a [`LeaveRequest`].
pub const LEAVE_PATH: &str = "/box/leave";
/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between checks while a box waits to join or leave, or to hear whether it has left.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the leader asks the other voters for their target size while the group exceeds
/// its own.
const CORE_SIZE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a leader after which a voter asks to join again, since it may have been removed;
/// longer than the longest election.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit of one [`JoinRequest`] or [`LeaveRequest`].
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the leader answers that a box has not left yet, well below [`CALL_TIMEOUT`].
const LEAVE_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for leaving the group at a stop. A box that could not leave stops all the same.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Asks the leader to add the sender to the replication group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica on the sender's disk.
    pub id: NodeId,
    /// Name and addresses of the sender.
    pub peer: Peer,
    /// Target size of the group in the settings of the sender; 0 from earlier versions.
    #[serde(default)]
    pub core_size: usize,
}

/// Response to a [`JoinRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinAnswer {
    /// This box leads and received the request; the sender repeats it until it is a voter.
    Joining,
    /// This box does not lead. Names the address of the leader if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Asks the leader to remove the sender, which stops, if the group exceeds its target size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Identity of the sender's replica.
    pub id: NodeId,
    /// Target size of the group in the settings of the sender.
    pub core_size: usize,
}

/// Response to a [`LeaveRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveAnswer {
    /// The sender is not a voter any more, and the change is committed.
    Left,
    /// The group does not exceed its target size: the sender remains a voter.
    Needed,
    /// The removal is not committed yet; the sender asks again.
    Leaving,
    /// This box does not lead. Names the address of the leader if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Answers a [`JoinRequest`]. The leader adds the sender in the background.
pub fn answer(cx: &ControlCx, req: &JoinRequest) -> JoinAnswer {
    if !cx.is_elected() {
        return JoinAnswer::NotLeader(cx.leader().map(|leader| leader.boxes_addr));
    }
    if !cx.members().is_some_and(|members| members.voters.contains_key(&req.id)) {
        cx.core_requests.borrow_mut().join(req, clock::now());
        cx.check_members();
    }
    JoinAnswer::Joining
}

/// Answers a [`LeaveRequest`] once the sender has left, or after a while.
pub async fn answer_leave(cx: &ControlCx, req: &LeaveRequest) -> LeaveAnswer {
    let started = clock::now();
    loop {
        let Some(log) = cx.log().filter(|_| cx.is_elected()) else {
            return LeaveAnswer::NotLeader(cx.leader().map(|leader| leader.boxes_addr));
        };
        let (is_voter, voters, is_committed) = log.with(|replica| {
            let voters = &replica.members().voters;
            (voters.contains_key(&req.id), voters.len(), replica.members_committed())
        });
        if !is_voter && is_committed {
            return LeaveAnswer::Left;
        }
        let target = cx.core_requests.borrow().target_size(cx.settings.core_size);
        if is_voter && voters <= target.max(req.core_size) {
            return LeaveAnswer::Needed;
        }
        if clock::since(started) > LEAVE_ANSWER_TIMEOUT {
            return LeaveAnswer::Leaving;
        }
        cx.core_requests.borrow_mut().leave(req, clock::now());
        cx.check_members();
        compio::time::sleep(BUSY_INTERVAL).await;
    }
}

/// Leaves the group before this process ends, if the group exceeds its target size.
pub async fn leave(cx: &ControlCx) {
    let Some(log) = cx.log() else { return };
    let (id, core_size) = (cx.id.get(), cx.settings.core_size);
    // In a group of the target size a stop is an ordinary restart, and nobody is asked.
    let exceeds_target = log.with(|replica| {
        let voters = &replica.members().voters;
        voters.contains_key(&id) && voters.len() > core_size
    });
    if !exceeds_target {
        return;
    }
    cx.is_leaving.set(true);
    let started = clock::now();
    let req = LeaveRequest { id, core_size };
    let mut redirect = None;
    while clock::since(started) < LEAVE_TIMEOUT {
        let target = redirect.take().or_else(|| cx.leader().map(|leader| leader.boxes_addr));
        let target = target.filter(|addr| *addr != cx.settings.own.boxes_addr);
        // No other voter may have held the whole log at the first attempt.
        cx.hand_over().await;
        let answer = match target {
            Some(addr) => cx.boxes.call(addr, LEAVE_PATH, &req, CALL_TIMEOUT).await,
            None => Ok(LeaveAnswer::NotLeader(None)),
        };
        let took_ms = clock::since(started).as_millis();
        match answer {
            Ok(LeaveAnswer::Left) => {
                log::info!(took_ms = took_ms; "this box has left the core");
                return;
            }
            Ok(LeaveAnswer::Needed) => {
                log::info!("this box stays in the core, which has no voter too many");
                return;
            }
            Ok(LeaveAnswer::NotLeader(leader)) => redirect = leader,
            Ok(LeaveAnswer::Leaving) => {}
            Err(err) if err.step == CallStep::Refused => {
                log::warn!("the leader takes no request to leave the core: {err}");
                return;
            }
            Err(err) => log::info!("request to leave the core failed: {err}"),
        }
        compio::time::sleep(BUSY_INTERVAL).await;
    }
    log::warn!("this box could not leave the core within {LEAVE_TIMEOUT:?}; it stops as a voter");
}

/// Makes one membership change and waits until it is committed. Returns `false` if it is not
/// possible yet.
async fn make_change(log: &ReplicaHandle, change: &CoreChange) -> anyhow::Result<bool> {
    match log.change_members(change.into()).await {
        Ok(()) => {}
        Err(ChangeError::Busy | ChangeError::Behind) => return Ok(false),
        Err(err) => return Err(err.into()),
    }
    let step = match change {
        CoreChange::Add(..) => "add",
        CoreChange::Promote(..) => "promote",
        CoreChange::Remove(..) => "remove",
    };
    repair::wait_until(log, step, |log| log.with(|replica| replica.members_committed())).await?;
    Ok(true)
}

/// Makes all membership changes that are due and possible while this box leads.
///
/// While the group exceeds its target size, the newest voter leads: it is a successor, and the box
/// that is about to go is another one. The end of a leader would keep the group from removing it
/// until the next one is elected.
async fn make_changes(cx: &ControlCx, log: &ReplicaHandle) {
    let mut promoted = None;
    loop {
        let now = clock::now();
        let change = log.with(|replica| {
            let mut requests = cx.core_requests.borrow_mut();
            requests.expire(replica.members(), now);
            let is_absent = |id| log.absent().contains(id);
            requests.next_change(replica, cx.settings.core_size, is_absent, now)
        });
        let Some(change) = change else { break };
        match make_change(log, &change).await {
            Ok(true) => log_change(&change),
            Ok(false) => break,
            Err(err) => {
                log::warn!("the members of the core could not be changed yet: {err:#}");
                return;
            }
        }
        if let CoreChange::Promote(id, _) = change {
            promoted = Some(id);
        }
    }
    let exceeds_target = log.with(|replica| replica.members().voters.len() > cx.settings.core_size);
    if let Some(id) = promoted.filter(|_| exceeds_target)
        && log.hand_over(Some(id)).await
    {
        log::info!("the newest control box is asked to lead, identity {id:016x}");
    }
}

/// Logs a committed change. A line before that would promise more than the group bears: a removal
/// that is not committed leaves two of four voters.
fn log_change(change: &CoreChange) {
    match change {
        CoreChange::Add(id, peer) => {
            log::info!("control box {} is a learner, identity {id:016x}", peer.name);
        }
        CoreChange::Promote(id, peer) => {
            log::info!("control box {} takes part, identity {id:016x}", peer.name);
        }
        CoreChange::Remove(id, peer, cause) => {
            log::info!("control box {} is removed, identity {id:016x}: {cause}", peer.name);
        }
    }
}

/// Asks the other voters for the target size in their settings.
async fn ask_core_sizes(cx: Rc<ControlCx>, voters: Vec<(NodeId, SocketAddr)>) {
    for (id, addr) in voters {
        match bootstrap::hello(&cx.boxes, addr, &cx.hello()).await {
            Ok(hello) if hello.id == id => {
                cx.core_requests.borrow_mut().record_core_size(id, hello.core_size);
            }
            Ok(_) => {}
            Err(err) => log::debug!("introduction to control box {addr} failed: {err}"),
        }
    }
}

/// Asks to join while this box is not a voter; while it leads, changes the members of the group.
/// A message on `wake` means that a change may be due. Returns when it is closed.
pub async fn run(cx: Rc<ControlCx>, mut wake: mpsc::Receiver<()>, stop: Stop) {
    let mut leader_seen = clock::now();
    let mut sizes_asked: Option<Instant> = None;
    while !stop.is_set() {
        let is_busy = cx.is_elected() && !cx.core_requests.borrow().is_empty();
        let pause = if is_busy { BUSY_INTERVAL } else { CHECK_INTERVAL };
        if let Ok(None) = compio::time::timeout(pause, wake.next()).await {
            return;
        }
        let Some(log) = cx.log() else {
            // Without its log, this box doesn't know whether it is a voter.
            if cx.log_state.get() == LogState::Absent {
                request_join(&cx).await;
            }
            continue;
        };
        if log.with(|replica| replica.leads()) {
            leader_seen = clock::now();
            let sizes_due = sizes_asked.is_none_or(|at| clock::since(at) >= CORE_SIZE_INTERVAL);
            if sizes_due && let Some(voters) = other_voters_beyond_target(&cx, log) {
                sizes_asked = Some(clock::now());
                compio::runtime::spawn(ask_core_sizes(cx.clone(), voters)).detach();
            }
            make_changes(&cx, log).await;
            continue;
        }
        sizes_asked = None;
        if log.with(|replica| replica.leader().is_some()) {
            leader_seen = clock::now();
        }
        let should_join = log.with(|replica| {
            should_request_join(replica.members(), cx.id.get(), clock::since(leader_seen))
        });
        if should_join && !cx.is_leaving.get() {
            request_join(&cx).await;
        }
    }
}

/// Returns the other voters if the group has more than the target size in the settings of this box.
fn other_voters_beyond_target(
    cx: &ControlCx,
    log: &ReplicaHandle,
) -> Option<Vec<(NodeId, SocketAddr)>> {
    log.with(|replica| {
        let voters = &replica.members().voters;
        let others = voters.iter().filter(|(id, _)| **id != replica.id());
        (voters.len() > cx.settings.core_size)
            .then(|| others.map(|(id, peer)| (*id, peer.boxes_addr)).collect())
    })
}

/// Returns whether a box asks to join: while it is not a voter, and when it has known no leader for
/// so long that it may have been removed. A learner asks as well: the leader that added it may have
/// lost leadership before it promoted it, and no other leader would promote it unasked.
pub fn should_request_join(members: &Members, own: NodeId, without_leader: Duration) -> bool {
    !members.voters.contains_key(&own) || without_leader > LEADERLESS_TIMEOUT
}

/// Asks the known control boxes in turn until the leader answers.
async fn request_join(cx: &ControlCx) {
    let core_size = cx.settings.core_size;
    let req = JoinRequest { id: cx.id.get(), peer: as_peer(&cx.settings.own), core_size };
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
