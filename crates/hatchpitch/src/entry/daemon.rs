//! Wires an entry process: listeners, tasks, and the planned stop.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use futures_util::FutureExt;
use hatchpitch_net::{BoxClient, Handler, ServerLimits, Stop, bind, clock, serve, stop_pair};

use super::context::{EntryCx, Intake};
use super::{boxes, callers};
use crate::backlog_monitor;
use crate::config::feed;
use crate::essential::spawn_essential;
use crate::grants::task as grants;
use crate::ids::ConfigNumber;
use crate::listener::{self, ExtraListener, bind_addr};
use crate::logging::unix_ms;
use crate::membership::messages::{MemberRecord, MemberStatus, Subject};
use crate::membership::state::{Membership, MembershipConfig};
use crate::membership::task;
use crate::registry::follow::{self, OrderHints};
use crate::routing::task as routing;
use crate::settings::EntrySettings;
use crate::signals;
use crate::upstream_limits::task as upstream_limits;

/// Time for the feed to bring a configuration that a control box tells of: it is far below the
/// second within which a change has to be in force, and above a usual delivery.
const FEED_PATIENCE: Duration = Duration::from_millis(400);
/// How often the planned stop looks whether requests are still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Runs an entry process until it is asked to stop and every request has its answer.
///
/// # Errors
///
/// Returns an error that names the listener that could not be opened.
pub async fn run(settings: EntrySettings) -> anyhow::Result<()> {
    run_with(settings, |_| Vec::new(), |_| {}).await
}

/// Runs an entry process that serves further listeners beside its own. `reloaded` is called
/// when the settings file may have changed.
///
/// # Errors
///
/// Returns an error as [`run`] does.
pub async fn run_with(
    settings: EntrySettings,
    extra: impl FnOnce(&Rc<EntryCx>) -> Vec<ExtraListener>,
    reloaded: impl Fn(&Rc<EntryCx>) + 'static,
) -> anyhow::Result<()> {
    signals::prevent_sighup_termination().await;
    let listen_ip = settings.listen_ip;
    let callers = bind(bind_addr(settings.callers_addr, listen_ip)).await;
    let callers = callers.context("callers' listener")?;
    let boxes = bind(bind_addr(settings.boxes_addr, listen_ip)).await.context("boxes' listener")?;
    let client = BoxClient::new(settings.box_keys.clone())?;
    let membership = Rc::new(RefCell::new(new_membership(&settings)));
    let cx = EntryCx::new(settings, membership, client);
    log::info!("entry box {} serves callers at {}", cx.settings.name, cx.settings.callers_addr);

    let (stop_handle, stop) = stop_pair();
    let mut listeners = vec![
        compio::runtime::spawn(serve(callers, limits(&cx), callers_handler(&cx), stop.clone())),
        compio::runtime::spawn(serve(boxes, limits(&cx), boxes_handler(&cx), stop.clone())),
    ];
    listeners.extend(listener::open(extra(&cx), listen_ip, &stop).await?);
    spawn_tasks(&cx, &stop);
    let reload_cx = cx.clone();
    signals::on_sighup(move || reloaded(&reload_cx), stop.clone());

    signals::stop_requested().await?;
    begin_drain(&cx);
    let cut_short = signals::stop_requested().fuse();
    let drained = drained(&cx).fuse();
    futures_util::pin_mut!(cut_short, drained);
    futures_util::select! {
        () = drained => log::info!("every request has its answer"),
        _ = cut_short => log::warn!("cut short with {} requests in progress", cx.active()),
    }
    drop(stop_handle);
    listener::wait_closed(listeners).await;
    Ok(())
}

/// Begins the planned stop: leaves the lists of addresses, and closes the intake
/// once no caller can hold a list that names this box.
pub fn begin_drain(cx: &Rc<EntryCx>) {
    if cx.intake.get() != Intake::Open {
        return;
    }
    cx.intake.set(Intake::Leaving);
    let actions = cx.membership.borrow_mut().leave(clock::now());
    task::perform(&cx.membership, &cx.boxes, actions);
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(cx.settings.timing.stop_grace).await;
        cx.intake.set(Intake::Closed);
        log::info!("takes no new work; {} requests in progress", cx.active());
    })
    .detach();
}

/// Resolves once the intake is closed and no request is in progress.
async fn drained(cx: &EntryCx) {
    while cx.intake.get() != Intake::Closed || cx.active() > 0 {
        compio::time::sleep(DRAIN_POLL).await;
    }
}

fn spawn_tasks(cx: &Rc<EntryCx>, stop: &Stop) {
    let membership = cx.membership.clone();
    let seeds = cx.settings.seeds.clone();
    let (joining, client, membership_stop) = (cx.clone(), cx.boxes.clone(), stop.clone());
    spawn_essential("membership", async move {
        // Others send callers to every box that they know, so one joins once it can serve.
        while joining.config.confirmed_age().is_none() && !membership_stop.is_set() {
            compio::time::sleep(DRAIN_POLL).await;
        }
        task::run(membership, client, seeds, membership_stop).await;
    });
    let followed = cx.upstreams.clone();
    let (numbered, fetching) = (cx.clone(), cx.clone());
    let (at_revision, evacuating) = (cx.clone(), cx.clone());
    let (listed, listing) = (cx.clone(), cx.clone());
    let hints = OrderHints {
        number: Rc::new(move || numbered.config.number().max(numbered.config_seen.get())),
        newer_at: Rc::new(move |source, number| fetch_config(&fetching, source, number)),
        evacuations: Rc::new(move || at_revision.config.evacuations().revision()),
        evacuated: Rc::new(move |evacuations| {
            evacuating.config.set_evacuations(evacuations);
        }),
        quarantine: Rc::new(move || listed.config.quarantine().revision),
        quarantined: Rc::new(move |list| {
            listing.config.set_quarantine(list);
        }),
    };
    let name = cx.settings.name.clone();
    let upstreams = follow::run(name, followed, cx.boxes.clone(), hints, stop.clone());
    spawn_essential("upstreams", upstreams);
    spawn_essential("pressure", backlog_monitor::run(cx.boxes.clone(), stop.clone()));
    spawn_essential("configuration", follow_config(cx.clone(), stop.clone()));
    spawn_essential("routing", routing::run(cx.clone(), stop.clone()));
    spawn_essential("grants", grants::run(cx.clone(), stop.clone()));
    spawn_essential("limits", upstream_limits::run(cx.clone(), stop.clone()));
    spawn_essential("hand-over", grants::hand_over(cx.clone(), stop.clone()));
}

/// Fetches a configuration from a control box that was seen to have it, unless the feed brings
/// it first: it is brought once, whichever control boxes tell of it.
fn fetch_config(cx: &Rc<EntryCx>, source: SocketAddr, number: ConfigNumber) {
    if cx.config_seen.get() >= number || cx.config.is_arriving() {
        return;
    }
    cx.config_seen.set(number);
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        if cx.config.number() > 0 {
            compio::time::sleep(FEED_PATIENCE).await;
        }
        if cx.config.number() < number {
            feed::fetch(&cx.settings.name, &cx.config, &cx.boxes, source, Duration::ZERO).await;
        }
        if cx.config.number() < number {
            log::info!("configuration {number} was not fetched from {source}");
            // The next control box that tells of it is asked.
            cx.config_seen.set(0);
        }
    })
    .detach();
}

async fn follow_config(cx: Rc<EntryCx>, stop: Stop) {
    let find = || config_parents(&cx);
    feed::follow(cx.settings.name.clone(), &cx.config, &cx.boxes, find, stop).await;
}

fn config_parents(cx: &EntryCx) -> Vec<SocketAddr> {
    let membership = cx.membership.borrow();
    let own = membership.own_record().subject.clone();
    let live: Vec<&MemberRecord> = membership.serving_boxes().collect();
    let position = live.iter().position(|r| r.subject == own).unwrap_or(0);
    let addrs: Vec<SocketAddr> = live.iter().map(|r| r.box_addr).collect();
    feed::parents(position, &addrs, &cx.upstreams.control(), cx.settings.limits.feed_fanout)
}

fn new_membership(settings: &EntrySettings) -> Membership {
    let own = MemberRecord {
        subject: Subject::Box(settings.name.clone()),
        incarnation: unix_ms(),
        status: MemberStatus::Alive,
        addr: settings.advertised_addr.unwrap_or(settings.callers_addr),
        box_addr: settings.boxes_addr,
        failure_domain: settings.failure_domain.clone(),
    };
    Membership::new(own, MembershipConfig::default(), rand::random(), clock::now())
}

fn limits(cx: &EntryCx) -> ServerLimits {
    ServerLimits { connections: cx.settings.limits.max_connections, ..ServerLimits::default() }
}

fn callers_handler(cx: &Rc<EntryCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, peer| callers::handle(cx.clone(), req, peer).boxed_local())
}

fn boxes_handler(cx: &Rc<EntryCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| boxes::handle(cx.clone(), req).boxed_local())
}
