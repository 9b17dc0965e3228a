//! Runs a control process: its listeners, the replicated log and the configuration feed.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hatchpitch_net::{BoxClient, Handler, ServerLimits, Stop, bind, clock, stop_pair};

use super::context::ControlCx;
use super::machine::Order;
use super::{boxes, join, operators};
use crate::backlog_monitor;
use crate::commands::task as commands;
use crate::config::feed;
use crate::essential::spawn_essential;
use crate::lifecycle;
use crate::listener::{ExtraListener, Listeners, bind_addr};
use crate::logging::unix_ms;
use crate::registry::peers;
use crate::replication::bootstrap::BootstrapOutcome;
use crate::replication::disk::Disk;
use crate::replication::{NodeId, Storage, bootstrap, task};
use crate::settings::ControlSettings;
use crate::signals::{self, StopSignals};

/// Maximum size of a request body from another box, in bytes.
pub const MAX_BODY: usize = 64 * 1024 * 1024;
/// Time within which a request body must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for held requests whose term has expired, and for decisions that are due:
/// a part of prompts may crash several upstreams a second until it is held.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between confirmations of the configuration while this box leads. Also the interval at
/// which a box without a log checks whether a leader has contacted it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a box without a disk asks for the members of the replication group.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for the next leader after a hand-over: a few round trips and syncs of slow disks.
/// If nobody has taken the lead by then, the others elect a leader.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks for the next leader during a hand-over.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that calls of operators in progress get when a control process stops: longer than any of
/// them takes, and well below the time after which platforms kill.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Identity of a box without a disk; no replica has this identity.
const NO_IDENTITY: NodeId = 0;

/// Runs a control process until it is asked to stop.
///
/// # Errors
///
/// Returns an error that names the listener that could not be opened or the fault of the data
/// folder.
pub async fn run(settings: ControlSettings, stop_signals: StopSignals) -> anyhow::Result<()> {
    run_with(settings, stop_signals, |_| Vec::new(), |_| {}).await
}

/// Runs a control process that also serves the listeners that `extra` returns. `reloaded` is called
/// when the settings file may have changed.
///
/// # Errors
///
/// Returns the same errors as [`run`].
pub async fn run_with(
    settings: ControlSettings,
    mut stop_signals: StopSignals,
    extra: impl FnOnce(&Rc<ControlCx>) -> Vec<ExtraListener>,
    reloaded: impl Fn(&Rc<ControlCx>) + 'static,
) -> anyhow::Result<()> {
    let limits = ServerLimits::default();
    lifecycle::log_start("control", limits.connections, settings.data_folder.as_deref());
    let disk = settings.data_folder.as_deref().map(open_disk).transpose()?;
    let id = disk.as_ref().map_or(Ok(NO_IDENTITY), bootstrap::identity)?;
    let (own, listen_ip) = (&settings.own, settings.listen_ip);
    let operators = bind(bind_addr(own.operators_addr, listen_ip)).await;
    let operators = operators.context("operators' listener")?;
    let boxes = bind(bind_addr(own.boxes_addr, listen_ip)).await.context("boxes' listener")?;
    let client = BoxClient::new(settings.box_keys.clone())?;
    let cx = ControlCx::new(settings, id, client);
    let own = &cx.settings.own;
    log::info!("control box {} serves operators at {}", own.name, own.operators_addr);
    let (stop_handle, stop) = stop_pair();
    let mut listeners = Listeners::new(stop.clone());
    listeners.serve_callers(operators, limits, operators_handler(&cx));
    listeners.serve_boxes(boxes, limits, boxes_handler(&cx));
    listeners.open(extra(&cx), listen_ip).await?;
    spawn_tasks(&cx, &stop);
    let reload_cx = cx.clone();
    signals::on_sighup(move || reloaded(&reload_cx), stop.clone());
    let work = match disk {
        Some(disk) => run_log(&cx, disk, stop.clone()).boxed_local(),
        None => follow_core(&cx, stop.clone()).boxed_local(),
    };
    let ended = select(work, Box::pin(stop_signals.next()));
    match ended.await {
        Either::Left((failed, _)) => failed?,
        Either::Right((asked, _)) => {
            asked?;
            hand_over(&cx).await;
        }
    }
    drop(stop_handle);
    if compio::time::timeout(STOP_TIMEOUT, listeners.wait_closed()).await.is_err() {
        log::warn!("calls in progress are left as the time limit of {STOP_TIMEOUT:?} is over");
    }
    Ok(())
}

fn open_disk(folder: &Path) -> anyhow::Result<Disk> {
    Disk::folder(folder).with_context(|| format!("data folder {}", folder.display()))
}

/// Starts the background tasks that do not depend on the log.
fn spawn_tasks(cx: &Rc<ControlCx>, stop: &Stop) {
    if cx.settings.data_folder.is_some() {
        spawn_essential("members", join::run(cx.clone(), stop.clone()));
    }
    spawn_essential("pressure", backlog_monitor::run(cx.boxes.clone(), stop.clone()));
    let leader_cx = cx.clone();
    let has_no_leader = move || leader_cx.has_no_leader();
    let renewal = peers::run(cx.registry.clone(), cx.registry_peers(), has_no_leader, stop.clone());
    spawn_essential("upstreams", renewal);
}

/// Starts the replica of the log, then confirms the configuration for as long as the process runs.
async fn run_log(cx: &Rc<ControlCx>, disk: Disk, stop: Stop) -> anyhow::Result<()> {
    if !Storage::has_log(&disk)? {
        let outcome = match cx.settings.bootstrap {
            true => bootstrap::bootstrap(&disk, &cx.hello(), &cx.settings.peers, &cx.boxes).await?,
            false => BootstrapOutcome::NotMember,
        };
        if outcome == BootstrapOutcome::NotMember {
            log::info!("no log on this disk; asking to join the running replication group");
            wait_for_leader_contact(cx, &disk).await?;
        }
    }
    let own_addr = cx.settings.own.boxes_addr;
    let client = cx.boxes.clone();
    let log = task::start(
        disk,
        cx.id,
        cx.settings.replica,
        cx.applier(),
        client,
        own_addr,
        stop.clone(),
    )?;
    cx.set_log(log);
    log::info!("replica of the log started, identity {:016x}", cx.id);
    spawn_essential("commands", commands::run(cx.clone(), stop.clone()));
    follow_leader(cx, stop);
    let expiry_cx = cx.clone();
    spawn_essential("held requests", async move { expire_held_requests(&expiry_cx).await });
    loop {
        cx.confirm_config();
        compio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Proposes an order without effect when the term of a held request has expired or a decision on one
/// is due: applying any order advances the time of the state machine, which makes it.
async fn expire_held_requests(cx: &ControlCx) {
    loop {
        compio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        let is_due = cx.with_machine(|machine| machine.quarantine.is_due(unix_ms()));
        if is_due
            && cx.leads()
            && let Err(err) = cx.propose(Order::Read).await
        {
            log::debug!("failed to expire held requests: {err:?}");
        }
    }
}

/// Hands leadership over to another control box before this process ends, so that the group is not
/// without a leader for the duration of an election.
async fn hand_over(cx: &ControlCx) {
    if !cx.hand_over().await {
        return;
    }
    let started = clock::now();
    while cx.leader().is_none() && clock::since(started) < HAND_OVER_TIMEOUT {
        compio::time::sleep(HAND_OVER_POLL_INTERVAL).await;
    }
    let took_ms = clock::since(started).as_millis();
    match cx.leader() {
        Some(next) => {
            log::info!(next = next.name.as_str(), took_ms = took_ms; "the lead was handed over");
        }
        None => {
            log::warn!(took_ms = took_ms; "no control box has taken over the lead yet")
        }
    }
}

/// Fetches the configuration from the leader, so that this box serves the newest one.
fn follow_leader(cx: &Rc<ControlCx>, stop: Stop) {
    let follower = cx.clone();
    spawn_essential("configuration", async move {
        let find = || follower.config_parents();
        let name = follower.settings.own.name.clone();
        feed::follow(name, &follower.config, &follower.boxes, find, stop).await;
    });
}

/// Keeps the members and the leader of the replication group known on a box without a disk.
async fn follow_core(cx: &Rc<ControlCx>, stop: Stop) -> anyhow::Result<()> {
    log::info!("no data folder: this box is not a replica of the log");
    follow_leader(cx, stop);
    loop {
        for addr in cx.peer_addrs() {
            match bootstrap::hello(&cx.boxes, addr, &cx.hello()).await {
                Ok(hello) if hello.members.is_some() && hello.leader.is_some() => {
                    cx.set_core_hello(hello);
                    break;
                }
                Ok(_) => {}
                Err(err) => log::debug!("introduction to control box {addr} failed: {err}"),
            }
        }
        compio::time::sleep(HELLO_INTERVAL).await;
    }
}

/// Waits until the leader that adds this box to the group has sent a first message, then creates an
/// empty log.
async fn wait_for_leader_contact(cx: &ControlCx, disk: &Disk) -> anyhow::Result<()> {
    loop {
        if cx.contacted_by_leader.get() {
            // The members arrive with the log; until then this box is not one of them.
            return Ok(Storage::create(disk, crate::replication::Members::default())?);
        }
        compio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

fn operators_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| operators::handle(cx.clone(), req).boxed_local())
}

fn boxes_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| boxes::handle(cx.clone(), req).boxed_local())
}
