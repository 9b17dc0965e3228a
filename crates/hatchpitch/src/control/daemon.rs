//! Wires a control process: listeners, the log, and the feed of configuration.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hatchpitch_net::{BoxClient, Handler, ServerLimits, Stop, bind, clock, serve, stop_pair};

use super::context::ControlCx;
use super::machine::Order;
use super::{boxes, join, operators};
use crate::backlog_monitor;
use crate::commands::task as commands;
use crate::config::feed;
use crate::essential::spawn_essential;
use crate::listener::{self, ExtraListener, bound_at};
use crate::logging::unix_ms;
use crate::registry::peers;
use crate::replication::bootstrap::BootstrapOutcome;
use crate::replication::disk::Disk;
use crate::replication::{NodeId, Storage, bootstrap, task};
use crate::settings::ControlSettings;
use crate::signals;

/// Largest message of another box, in bytes.
pub const MAX_BODY: usize = 64 * 1024 * 1024;
/// Time in which a body must arrive.
pub const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time between looks for terms of held requests that are over: a thousandth of the shortest.
const TERMS_LOOK: Duration = Duration::from_millis(600);
/// Time between confirmations of the configuration while this box leads.
const CONFIRM_PERIOD: Duration = Duration::from_millis(100);

/// Time between looks of a box without a disk at the core.
const WATCH_PERIOD: Duration = Duration::from_millis(300);
/// Longest wait for the next leader: some round trips and syncs of slow disks. Without one the
/// others elect a leader by themselves.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(300);
/// Time between looks for the next leader.
const HAND_OVER_LOOK: Duration = Duration::from_millis(10);
/// Identity of a box without a disk; no replica has it.
const NO_IDENTITY: NodeId = 0;

/// Runs a control process until it is asked to stop.
///
/// # Errors
///
/// Returns an error that names the listener that could not be opened, or what is
/// wrong with the data folder.
pub async fn run(settings: ControlSettings) -> anyhow::Result<()> {
    run_with(settings, |_| Vec::new(), |_| {}).await
}

/// Runs a control process that serves further listeners beside its own. `reloaded` is called
/// when the settings file may have changed.
///
/// # Errors
///
/// Returns an error as [`run`] does.
pub async fn run_with(
    settings: ControlSettings,
    extra: impl FnOnce(&Rc<ControlCx>) -> Vec<ExtraListener>,
    reloaded: impl Fn(&Rc<ControlCx>) + 'static,
) -> anyhow::Result<()> {
    signals::hold_hangups().await;
    let disk = settings.data_folder.as_deref().map(open_disk).transpose()?;
    let id = disk.as_ref().map_or(Ok(NO_IDENTITY), bootstrap::identity)?;
    let (own, listen_ip) = (&settings.own, settings.listen_ip);
    let operators = bind(bound_at(own.operators_addr, listen_ip)).await;
    let operators = operators.context("operators' listener")?;
    let boxes = bind(bound_at(own.boxes_addr, listen_ip)).await.context("boxes' listener")?;
    let client = BoxClient::new(settings.box_keys.clone())?;
    let cx = ControlCx::new(settings, id, client);
    let own = &cx.settings.own;
    log::info!("control box {} serves operators at {}", own.name, own.operators_addr);
    let (stop_handle, stop) = stop_pair();
    let limits = ServerLimits::default();
    let mut listeners = vec![
        compio::runtime::spawn(serve(operators, limits, operators_handler(&cx), stop.clone())),
        compio::runtime::spawn(serve(boxes, limits, boxes_handler(&cx), stop.clone())),
    ];
    listeners.extend(listener::open(extra(&cx), listen_ip, &stop).await?);
    spawn_tasks(&cx, &stop);
    let reload_cx = cx.clone();
    signals::on_hangup(move || reloaded(&reload_cx), stop.clone());
    let work = match disk {
        Some(disk) => run_log(&cx, disk, stop.clone()).boxed_local(),
        None => watch_core(&cx, stop.clone()).boxed_local(),
    };
    let ended = select(work, Box::pin(signals::stop_requested()));
    match ended.await {
        Either::Left((failed, _)) => failed?,
        Either::Right((asked, _)) => {
            asked?;
            hand_over(&cx).await;
        }
    }
    drop(stop_handle);
    listener::ended(listeners).await;
    Ok(())
}

fn open_disk(folder: &Path) -> anyhow::Result<Disk> {
    Disk::folder(folder).with_context(|| format!("data folder {}", folder.display()))
}

fn spawn_tasks(cx: &Rc<ControlCx>, stop: &Stop) {
    if cx.settings.data_folder.is_some() {
        spawn_essential("members", join::run(cx.clone(), stop.clone()));
    }
    spawn_essential("pressure", backlog_monitor::run(cx.boxes.clone(), stop.clone()));
    let look = cx.clone();
    let lonely = move || look.is_out_of_touch();
    let renew = peers::run(cx.registry.clone(), cx.registry_peers(), lonely, stop.clone());
    spawn_essential("upstreams", renew);
}

/// Begins the log, then confirms the configuration for as long as the process runs.
async fn run_log(cx: &Rc<ControlCx>, disk: Disk, stop: Stop) -> anyhow::Result<()> {
    if !Storage::has_log(&disk)? {
        let begun = match cx.settings.bootstrap {
            true => bootstrap::bootstrap(&disk, &cx.hello(), &cx.settings.peers, &cx.boxes).await?,
            false => BootstrapOutcome::NotMember,
        };
        if begun == BootstrapOutcome::NotMember {
            log::info!("no log here; asks for a place in the one that goes on");
            joined(cx, &disk).await?;
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
    cx.begin_log(log);
    log::info!("the log goes on; identity {:016x}", cx.id);
    spawn_essential("commands", commands::run(cx.clone(), stop.clone()));
    follow_leader(cx, stop);
    let terms = cx.clone();
    spawn_essential("held requests", async move { end_terms(&terms).await });
    loop {
        cx.confirm_config();
        compio::time::sleep(CONFIRM_PERIOD).await;
    }
}

/// Has the log note the time once the term of a held request is over, as any order does.
async fn end_terms(cx: &ControlCx) {
    loop {
        compio::time::sleep(TERMS_LOOK).await;
        let is_due = cx.with_machine(|machine| machine.quarantine.is_due(unix_ms()));
        if is_due
            && cx.leads()
            && let Err(err) = cx.propose(Order::Read).await
        {
            log::debug!("terms of held requests: {err:?}");
        }
    }
}

/// Gives the lead to another control box before this one ends, so that the core is not without a
/// leader for as long as an election takes.
async fn hand_over(cx: &ControlCx) {
    if !cx.hand_over().await {
        return;
    }
    let asked = clock::now();
    while cx.leader().is_none() && clock::since(asked) < HAND_OVER_LIMIT {
        compio::time::sleep(HAND_OVER_LOOK).await;
    }
    let took_ms = clock::since(asked).as_millis();
    match cx.leader() {
        Some(next) => {
            log::info!(next = next.name.as_str(), took_ms = took_ms; "the lead was handed over");
        }
        None => log::warn!(took_ms = took_ms; "the lead was given up and nobody has taken it yet"),
    }
}

/// Follows the leader's configuration, so that boxes that ask here get the newest.
fn follow_leader(cx: &Rc<ControlCx>, stop: Stop) {
    let follower = cx.clone();
    spawn_essential("configuration", async move {
        let find = || follower.config_parents();
        let name = follower.settings.own.name.clone();
        feed::follow(name, &follower.config, &follower.boxes, find, stop).await;
    });
}

/// On a box without a disk: keeps up with who takes part and who leads.
async fn watch_core(cx: &Rc<ControlCx>, stop: Stop) -> anyhow::Result<()> {
    log::info!("no data folder: this box takes no part in the log");
    follow_leader(cx, stop);
    loop {
        for addr in cx.peer_addrs() {
            match bootstrap::hello(&cx.boxes, addr, &cx.hello()).await {
                Ok(hello) if hello.members.is_some() && hello.leader.is_some() => {
                    cx.note_core(hello);
                    break;
                }
                Ok(_) => {}
                Err(err) => log::debug!("introduction: {err}"),
            }
        }
        compio::time::sleep(WATCH_PERIOD).await;
    }
}

/// Waits until a leader that lets this box in has sent a first message.
async fn joined(cx: &ControlCx, disk: &Disk) -> anyhow::Result<()> {
    loop {
        if cx.invited.get() {
            // Who takes part comes with the log; until then this box is none of them.
            return Ok(Storage::create(disk, crate::replication::Members::default())?);
        }
        compio::time::sleep(CONFIRM_PERIOD).await;
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
