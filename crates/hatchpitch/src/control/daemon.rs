//! Runs a control process: its listeners, the replicated log and the configuration feed.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hatchpitch_net::{BoxClient, Handler, MemoryBudget, ServerLimits, Stop, clock, stop_pair};

use super::context::ControlCx;
use super::machine::Order;
use super::{boxes, join, majority, operators, replica};
use crate::backlog_monitor;
use crate::commands::task as commands;
use crate::config::feed;
use crate::essential::spawn_essential;
use crate::lifecycle;
use crate::listener::{ExtraListener, Listeners};
use crate::logging::unix_ms;
use crate::memory_monitor;
use crate::message_limits::max_answer;
use crate::registry::peers;
use crate::replication::bootstrap;
use crate::settings::ControlSettings;
use crate::signals::{self, StopSignals};

/// Time within which a request body must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for held requests whose term has expired, and for decisions that are due:
/// a part of prompts may crash several upstreams a second until it is held.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between confirmations of the configuration while this box leads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a box without a log asks for the members of the replication group.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for the next leader after a hand-over: a few round trips and syncs of slow disks.
/// If nobody has taken the lead by then, the others elect a leader.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks for the next leader during a hand-over.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that calls of operators in progress get when a control process stops: longer than any of
/// them takes, and well below the time after which platforms kill.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a control process until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the client for other boxes or the signal handlers can't be created.
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
    let memory = MemoryBudget::new(settings.memory);
    let limits = ServerLimits { memory: memory.clone(), ..ServerLimits::default() };
    let folder = settings.data_folder.as_deref();
    lifecycle::log_start("control", settings.memory, limits.connections, folder);
    let client = BoxClient::new(settings.box_keys.clone())?
        .with_memory(memory)
        .with_answer_limits(max_answer);
    let cx = ControlCx::new(settings, client);
    let own = &cx.settings.own;
    log::info!("control box {} serves operators at {}", own.name, own.operators_addr);
    let (stop_handle, stop) = stop_pair();
    let mut listeners = Listeners::new(stop.clone(), cx.settings.listen_ip, cx.unopened.clone());
    listeners.serve_callers(own.operators_addr, limits.clone(), operators_handler(&cx));
    listeners.serve_boxes(own.boxes_addr, limits, boxes_handler(&cx));
    listeners.serve_extra(extra(&cx));
    spawn_tasks(&cx, &stop);
    let reload_cx = cx.clone();
    signals::on_sighup(move || reloaded(&reload_cx), stop.clone());
    stop_signals.next().await?;
    hand_over(&cx).await;
    join::leave(&cx).await;
    drop(stop_handle);
    if compio::time::timeout(STOP_TIMEOUT, listeners.wait_closed()).await.is_err() {
        log::warn!("calls in progress are left as the time limit of {STOP_TIMEOUT:?} is over");
    }
    Ok(())
}

/// Starts the background tasks that do not depend on the log.
fn spawn_tasks(cx: &Rc<ControlCx>, stop: &Stop) {
    if let Some(folder) = cx.settings.data_folder.clone() {
        spawn_essential("members", join::run(cx.clone(), cx.members_wake(), stop.clone()));
        let (log_cx, log_stop) = (cx.clone(), stop.clone());
        spawn_essential("replica", async move {
            let stopping = Box::pin(log_stop.wait());
            let started = Box::pin(replica::start(&log_cx, &folder, &log_stop));
            // Once the listener for boxes is closed, another process may use the disk.
            if let Either::Left(_) = select(stopping, started).await {
                return;
            }
            spawn_essential("commands", commands::run(log_cx.clone(), log_stop.clone()));
            let expiry_cx = log_cx.clone();
            spawn_essential("held requests", async move { expire_held_requests(&expiry_cx).await });
            while !log_stop.is_set() {
                log_cx.confirm_config();
                compio::time::sleep(CONFIRM_INTERVAL).await;
            }
        });
    } else {
        log::info!("no data folder: this box is not a replica of the log");
    }
    follow_leader(cx, stop.clone());
    let core_cx = cx.clone();
    spawn_essential("core", async move { follow_core(&core_cx).await });
    spawn_essential("majority", majority::run(cx.clone(), stop.clone()));
    spawn_essential("pressure", backlog_monitor::run(cx.boxes.clone(), stop.clone()));
    let memory = cx.boxes.memory().clone();
    spawn_essential("memory", memory_monitor::run(memory, stop.clone()));
    let leader_cx = cx.clone();
    let has_no_leader = move || leader_cx.has_no_leader();
    let renewal = peers::run(cx.registry.clone(), cx.registry_peers(), has_no_leader, stop.clone());
    spawn_essential("upstreams", renewal);
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

/// Keeps the members and the leader of the replication group known on a box without a log. Returns
/// once it has one.
async fn follow_core(cx: &Rc<ControlCx>) {
    while cx.log().is_none() {
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

fn operators_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| operators::handle(cx.clone(), req).boxed_local())
}

fn boxes_handler(cx: &Rc<ControlCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| boxes::handle(cx.clone(), req).boxed_local())
}
