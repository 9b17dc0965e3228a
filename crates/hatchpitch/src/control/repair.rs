//! Replaces a control box that lost its disk.
//!
//! The new replica is let in as a learner, promoted once it holds everything,
//! and the lost one is removed. Done is said only when the new replica holds
//! every committed entry durably, counts, and the last change is committed: a
//! second loss right then costs nothing.

use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::clock;
use serde::{Deserialize, Serialize};

use super::context::ControlCx;
use crate::ids::BoxName;
use crate::replication::bootstrap;
use crate::replication::membership::{ChangeError, MemberChange};
use crate::replication::task::ReplicaHandle;
use crate::replication::{Members, NodeId, Peer};

const POLL: Duration = Duration::from_millis(20);
/// Time for each step of a repair.
const STEP_LIMIT: Duration = Duration::from_secs(20);

/// What a repair led to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repaired {
    /// The box.
    pub name: BoxName,
    /// Identity of its new disk.
    pub id: NodeId,
    /// Names of the boxes that now count.
    pub voters: Vec<BoxName>,
}

/// Why a repair is not done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairError {
    /// The step that failed.
    pub step: &'static str,
    /// Why.
    pub cause: String,
}

impl std::fmt::Display for RepairError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.step, self.cause)
    }
}

impl std::error::Error for RepairError {}

/// Replaces the replica of box `name`. Asking again goes on where an earlier try ended.
///
/// # Errors
///
/// Returns the step that failed; what was done until then stays and does no harm.
pub async fn replace(cx: &Rc<ControlCx>, name: &str) -> Result<Repaired, RepairError> {
    let fail = |step, cause: &dyn std::fmt::Display| RepairError { step, cause: cause.to_string() };
    let log = cx.log().ok_or_else(|| fail("begin", &"the log has not begun"))?;
    let peer = find_peer(cx, log, name).ok_or_else(|| fail("begin", &"no such control box"))?;
    let hello = bootstrap::hello(&cx.boxes, peer.boxes_addr, &cx.hello()).await;
    let hello = hello.map_err(|err| fail("introduction", &err))?;
    if hello.name != name {
        return Err(fail("introduction", &format!("{} answers there", hello.name)));
    }
    let id = hello.id;
    if log.with(|replica| replica.members().get(id).is_none()) {
        let peer = Peer { name: name.to_owned(), ..peer };
        step(log, "add", &MemberChange::AddLearner(id, peer)).await?;
    }
    wait(log, "catch up", |log| log.with(|replica| replica.replication_lag(id)) == Some(0)).await?;
    if log.with(|replica| replica.members().learners.contains_key(&id)) {
        step(log, "promote", &MemberChange::Promote(id)).await?;
    }
    for old in others_named(&log.with(|replica| replica.members().clone()), name, id) {
        step(log, "remove", &MemberChange::Remove(old)).await?;
    }
    wait(log, "confirm", |log| {
        log.with(|replica| replica.members_committed() && replica.replication_lag(id) == Some(0))
    })
    .await?;
    let voters = log.with(|replica| replica.members().voters.clone());
    let voters = voters.into_values().map(|peer| peer.name).collect();
    Ok(Repaired { name: name.to_owned(), id, voters })
}

fn find_peer(cx: &ControlCx, log: &ReplicaHandle, name: &str) -> Option<Peer> {
    let members = log.with(|replica| replica.members().clone());
    let member = members.all().find(|(_, peer)| peer.name == name).map(|(_, peer)| peer.clone());
    let settings = || cx.settings.peers.iter().find(|peer| peer.name == name);
    member.or_else(|| settings().map(bootstrap::as_peer))
}

/// Returns the other replicas of a box: those whose disks it lost.
pub(super) fn others_named(members: &Members, name: &str, keep: NodeId) -> Vec<NodeId> {
    let named = members.all().filter(|(id, peer)| peer.name == name && *id != keep);
    named.map(|(id, _)| id).collect()
}

/// Begins a change, as soon as the one before is committed, and waits until it is committed.
pub(super) async fn step(
    log: &ReplicaHandle,
    step: &'static str,
    change: &MemberChange,
) -> Result<(), RepairError> {
    let started = clock::now();
    loop {
        match log.change_members(change.clone()).await {
            Ok(()) => break,
            Err(ChangeError::Busy | ChangeError::Behind) if clock::since(started) < STEP_LIMIT => {
                compio::time::sleep(POLL).await;
            }
            Err(err) => return Err(RepairError { step, cause: err.to_string() }),
        }
    }
    wait(log, step, |log| log.with(|replica| replica.members_committed())).await
}

pub(super) async fn wait(
    log: &ReplicaHandle,
    step: &'static str,
    done: impl Fn(&ReplicaHandle) -> bool,
) -> Result<(), RepairError> {
    let started = clock::now();
    while !done(log) {
        if !log.with(|replica| replica.leads()) {
            return Err(RepairError { step, cause: "this box lost the lead".to_owned() });
        }
        if clock::since(started) > STEP_LIMIT {
            let cause = format!("not done within {STEP_LIMIT:?}");
            return Err(RepairError { step, cause });
        }
        compio::time::sleep(POLL).await;
    }
    Ok(())
}
