//! Start of the replica of the log, for as long as the disk takes to allow it.
//!
//! A disk that is full, slow or failing may recover, so each step is tried again and the process
//! serves meanwhile what a box without a disk serves. A damaged log doesn't recover by itself: what
//! this box acknowledged or voted may be lost there, so the replica is not started, and the process
//! goes on without it. Its files stay as they are for the operator.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::Stop;

use super::context::{ControlCx, LogState, NO_IDENTITY};
use crate::replication::bootstrap::{self, BootstrapOutcome};
use crate::replication::disk::Disk;
use crate::replication::storage::StorageError;
use crate::replication::{Members, NodeId, Storage, task};
use crate::retry::Retry;

/// Interval between log lines that tell operators of a damaged log.
const DAMAGE_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Interval at which a box that waits for a condition without a notification checks it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// First pause before the start checks whether its listener is open, which usually takes one turn of
/// the runtime. It doubles while the port is in use.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Starts the replica of the log in a folder. Returns once it runs, which is never if the log is
/// damaged.
pub async fn start(cx: &Rc<ControlCx>, folder: &Path, stop: &Stop) {
    // Only the process that listens at the address of this box may use its disk and its identity.
    let mut pause = OPEN_CHECK_INTERVAL;
    while cx.unopened.contains(cx.settings.own.boxes_addr) {
        compio::time::sleep(pause).await;
        pause = (pause * 2).min(CHECK_INTERVAL);
    }
    let mut retry = Retry::new(format!("log in {}", folder.display()));
    let mut drawn = None;
    loop {
        let err = match try_start(cx, folder, &mut drawn, stop).await {
            Ok(()) => break,
            Err(err) => err,
        };
        if !may_pass(&err) {
            report_damage(cx, &err).await;
        }
        cx.log_state.set(LogState::Waiting);
        retry.failed(format!("{err:#}")).await;
    }
    retry.succeeded();
    log::info!("replica of the log started, identity {:016x}", cx.id.get());
}

/// Makes one attempt to start the replica. Each attempt reads the disk anew, since the one before
/// may have failed after it had an effect.
async fn try_start(
    cx: &Rc<ControlCx>,
    folder: &Path,
    drawn: &mut Option<NodeId>,
    stop: &Stop,
) -> anyhow::Result<()> {
    let disk = Disk::folder(folder)?;
    if cx.id.get() == NO_IDENTITY {
        cx.id.set(bootstrap::identity(&disk, drawn)?);
    }
    if !Storage::has_log(&disk)? {
        cx.log_state.set(LogState::Absent);
        let outcome = match cx.settings.bootstrap {
            true => bootstrap::bootstrap(&disk, &cx.hello(), &cx.settings.peers, &cx.boxes).await?,
            false => BootstrapOutcome::NotMember,
        };
        if outcome == BootstrapOutcome::NotMember {
            log::info!("no log on this disk; asking to join the running replication group");
            wait_for_leader_contact(cx).await;
            // The members arrive with the log; until then this box is not one of them.
            Storage::create(&disk, Members::default())?;
        }
    }
    let (client, own_addr) = (cx.boxes.clone(), cx.settings.own.boxes_addr);
    let (id, cfg) = (cx.id.get(), cx.settings.replica);
    let log = task::start(disk, id, cfg, cx.applier(), client, own_addr, stop.clone())?;
    cx.set_log(log);
    Ok(())
}

/// Returns whether another attempt may succeed without an operator. Errors of the system may pass;
/// damage and a state that doesn't decode do not.
fn may_pass(err: &anyhow::Error) -> bool {
    err.is::<std::io::Error>()
        || matches!(err.downcast_ref::<StorageError>(), Some(StorageError::Io { .. }))
}

/// Tells operators of a damaged log at a limited rate, for as long as the process runs.
async fn report_damage(cx: &ControlCx, err: &anyhow::Error) {
    cx.log_state.set(LogState::Damaged);
    let cause = format!("{err:#}");
    loop {
        log::error!(
            cause = cause.as_str();
            "the log of this box is damaged; it takes no part in the log until it is repaired"
        );
        compio::time::sleep(DAMAGE_LOG_INTERVAL).await;
    }
}

/// Waits until the leader that adds this box to the group has sent a first message.
async fn wait_for_leader_contact(cx: &ControlCx) {
    while !cx.contacted_by_leader.get() {
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}
