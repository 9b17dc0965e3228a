//! Replaces a control box that lost its disk.
//!
//! The new replica is added as a learner. Once it holds the whole log, the lost
//! replica is removed and the new one promoted. Success is reported only when the new
//! replica is a voter that durably holds every committed entry and the last
//! membership change is committed, so that losing another replica immediately
//! afterwards loses no data.

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

/// Interval between checks whether a step is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for each step of a repair.
const STEP_LIMIT: Duration = Duration::from_secs(20);

/// Result of a repair.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repaired {
    /// Name of the repaired box.
    pub name: BoxName,
    /// Identity of the replica on its new disk.
    pub id: NodeId,
    /// Names of the boxes that are voters after the repair.
    pub voters: Vec<BoxName>,
}

/// Why a repair could not be completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepairError {
    /// The step that failed.
    pub step: &'static str,
    /// Cause of the failure.
    pub cause: String,
}

impl std::fmt::Display for RepairError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.step, self.cause)
    }
}

impl std::error::Error for RepairError {}

/// Replaces the replica of box `name`. A repeated call continues where an earlier one failed.
///
/// # Errors
///
/// Returns the step that failed. Completed steps are kept; they leave the group in a valid state.
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
        change_members(log, "add", &MemberChange::AddLearner(id, peer)).await?;
    }
    wait_until(log, "catch up", |log| log.with(|replica| replica.replication_lag(id)) == Some(0))
        .await?;
    // In the other order, a box that fails between the two steps would leave two voters missing.
    for replaced in other_replicas_of(&log.with(|replica| replica.members().clone()), name, id) {
        change_members(log, "remove", &MemberChange::Remove(replaced)).await?;
    }
    if log.with(|replica| replica.members().learners.contains_key(&id)) {
        change_members(log, "promote", &MemberChange::Promote(id)).await?;
    }
    wait_until(log, "confirm", |log| {
        log.with(|replica| replica.members_committed() && replica.replication_lag(id) == Some(0))
    })
    .await?;
    let voters = log.with(|replica| replica.members().voters.clone());
    let voters = voters.into_values().map(|peer| peer.name).collect();
    Ok(Repaired { name: name.to_owned(), id, voters })
}

/// Returns the peer called `name` among the members, or else among the peers in the settings.
fn find_peer(cx: &ControlCx, log: &ReplicaHandle, name: &str) -> Option<Peer> {
    let members = log.with(|replica| replica.members().clone());
    let member = members.all().find(|(_, peer)| peer.name == name).map(|(_, peer)| peer.clone());
    let from_settings = || cx.settings.peers.iter().find(|peer| peer.name == name);
    member.or_else(|| from_settings().map(bootstrap::as_peer))
}

/// Returns the replicas of box `name` other than `keep`: those on disks that the box lost.
fn other_replicas_of(members: &Members, name: &str, keep: NodeId) -> Vec<NodeId> {
    let named = members.all().filter(|(id, peer)| peer.name == name && *id != keep);
    named.map(|(id, _)| id).collect()
}

/// Performs a membership change and waits until it is committed. While another change is in
/// progress or the replica is behind, the change is retried.
async fn change_members(
    log: &ReplicaHandle,
    step: &'static str,
    change: &MemberChange,
) -> Result<(), RepairError> {
    let started = clock::now();
    loop {
        match log.change_members(change.clone()).await {
            Ok(()) => break,
            Err(ChangeError::Busy | ChangeError::Behind) if clock::since(started) < STEP_LIMIT => {
                compio::time::sleep(POLL_INTERVAL).await;
            }
            // The leader may have made the same change by itself meanwhile.
            Err(ChangeError::InvalidMember)
                if log.with(|replica| change.is_made(replica.members())) =>
            {
                break;
            }
            Err(err) => return Err(RepairError { step, cause: err.to_string() }),
        }
    }
    wait_until(log, step, |log| log.with(|replica| replica.members_committed())).await
}

/// Polls until `done` returns true. Fails if this box loses leadership or the time limit passes.
pub(super) async fn wait_until(
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
        compio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
