//! Runs an entry process: its listeners, its tasks and its graceful shutdown.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Either, select};
use hatchpitch_net::{
    BoxClient, Handler, MemoryBudget, PendingAnswers, ServerLimits, Stop, StopHandle, clock,
    stop_pair,
};

use super::context::{EntryCx, Intake};
use super::{boxes, callers};
use crate::backlog_monitor;
use crate::config::feed;
use crate::drain;
use crate::essential::spawn_essential;
use crate::grants::task as grants;
use crate::ids::ConfigNumber;
use crate::lifecycle;
use crate::listener::{ExtraListener, Listeners};
use crate::logging::unix_ms;
use crate::membership::messages::{MemberRecord, MemberStatus, Subject};
use crate::membership::state::{Membership, MembershipConfig};
use crate::membership::task as membership_task;
use crate::memory_monitor;
use crate::message_limits::max_answer;
use crate::pace::task as pace;
use crate::quarantine::observer;
use crate::registry::follow::{self, FollowCallbacks};
use crate::routing::task as routing;
use crate::settings::EntrySettings;
use crate::signals::{self, StopSignals};
use crate::upstream_limits::task as upstream_limits;

/// Time allowed for the feed to deliver a configuration that a control box reports, before it is
/// fetched directly. It is longer than a usual delivery and far below the second within which a
/// change has to be in force.
const FEED_DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which startup and shutdown check whether they can proceed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of a stopping process at which it logs what it leaves.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// Runs an entry process until it is asked to stop and every request in progress has its answer, or
/// until the time that it has for this is over.
///
/// # Errors
///
/// Returns an error if the client for other boxes or the signal handlers can't be created.
pub async fn run(settings: EntrySettings, stop_signals: StopSignals) -> anyhow::Result<()> {
    run_with(settings, stop_signals, |_| Vec::new(), |_| {}).await
}

/// Runs an entry process with additional listeners. `reloaded` is called when the settings file may
/// have changed.
///
/// # Errors
///
/// Returns the same errors as [`run`].
pub async fn run_with(
    settings: EntrySettings,
    mut stop_signals: StopSignals,
    extra: impl FnOnce(&Rc<EntryCx>) -> Vec<ExtraListener>,
    reloaded: impl Fn(&Rc<EntryCx>) + 'static,
) -> anyhow::Result<()> {
    let limits = &settings.limits;
    lifecycle::log_start("entry", limits.memory, limits.max_connections, None);
    let listen_ip = settings.listen_ip;
    let memory = MemoryBudget::new(settings.limits.memory);
    let client = BoxClient::new(settings.box_keys.clone())?
        .with_memory(memory)
        .with_answer_limits(max_answer);
    let membership = Rc::new(RefCell::new(new_membership(&settings)));
    let cx = EntryCx::new(settings, membership, client);
    log::info!("entry box {} serves callers at {}", cx.settings.name, cx.settings.callers_addr);

    let (stop_handle, stop) = stop_pair();
    let mut listeners = Listeners::new(stop.clone(), listen_ip, cx.unopened.clone());
    let own = &cx.settings;
    listeners.serve_callers(own.callers_addr, server_limits(&cx), callers_handler(&cx));
    listeners.serve_boxes(own.boxes_addr, server_limits(&cx), boxes_handler(&cx));
    listeners.serve_extra(extra(&cx));
    spawn_tasks(&cx, &stop);
    let reload_cx = cx.clone();
    signals::on_sighup(move || reloaded(&reload_cx), stop.clone());

    stop_signals.next().await?;
    compio::runtime::spawn(stop_signals.log_further()).detach();
    shut_down(&cx, listeners, stop_handle, stop).await;
    Ok(())
}

/// Shuts the process down: returns once every caller has its answer, or when the time limit is over.
async fn shut_down(cx: &Rc<EntryCx>, listeners: Listeners, stop_handle: StopHandle, stop: Stop) {
    let begun = clock::now();
    cx.drain.begin(begun);
    begin_drain(cx);
    compio::runtime::spawn(drain::task::run(cx.clone(), stop)).detach();
    let pending = listeners.pending();
    let finished = async {
        drained(cx).await;
        log::info!("every request has its answer; {} are being sent", pending.count());
        drop(stop_handle);
        listeners.wait_closed().await;
    };
    match select(Box::pin(finished), Box::pin(await_stop_limit(cx, &pending))).await {
        Either::Left(((), _)) => log::info!("stopped {:?} after the signal", clock::since(begun)),
        Either::Right(((), _)) => {}
    }
}

/// Waits until the time limit of a shutdown that begins now is over. Logs shortly before what is
/// left then, as the platform may kill the process at that time.
async fn await_stop_limit(cx: &EntryCx, pending: &PendingAnswers) {
    let limit = cx.settings.timing.stop_limit;
    compio::time::sleep(limit.saturating_sub(REPORT_TIME)).await;
    let (active, pending) = (cx.active(), pending.count());
    log::warn!(
        active = active, pending = pending;
        "cut short with {active} requests in progress and {pending} answers not sent whole, as \
         the time limit of {limit:?} is over"
    );
    compio::time::sleep(REPORT_TIME.min(limit)).await;
}

/// Begins the graceful shutdown: announces that this box leaves, so that it is no longer listed for
/// callers, and closes the intake once every list that names this box has expired.
pub fn begin_drain(cx: &Rc<EntryCx>) {
    if cx.intake.get() != Intake::Open {
        return;
    }
    cx.intake.set(Intake::Leaving);
    let actions = cx.membership.borrow_mut().leave(clock::now());
    membership_task::perform(&cx.membership, &cx.boxes, actions);
    // Hands the engines of this box, and the requests that wait for them, to their new owners.
    cx.sync_gates();
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(cx.settings.timing.stop_grace).await;
        cx.intake.set(Intake::Closed);
        log::info!("takes no new work; {} requests in progress", cx.active());
    })
    .detach();
}

/// Waits until the intake is closed and no request is in progress.
async fn drained(cx: &EntryCx) {
    while cx.intake.get() != Intake::Closed || cx.active() > 0 {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts the background tasks of the process.
fn spawn_tasks(cx: &Rc<EntryCx>, stop: &Stop) {
    let membership = cx.membership.clone();
    let seeds = cx.settings.seeds.clone();
    let (membership_cx, client, membership_stop) = (cx.clone(), cx.boxes.clone(), stop.clone());
    spawn_essential("membership", async move {
        // Other boxes direct callers to every box they know, so a box joins only once it can serve.
        let can_serve =
            || membership_cx.config.confirmed_age().is_some() && membership_cx.is_reachable();
        while !can_serve() && !membership_stop.is_set() {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        membership_task::run(membership, client, seeds, membership_stop).await;
    });
    let followed = cx.upstreams.clone();
    let (number_cx, fetch_cx) = (cx.clone(), cx.clone());
    let (evacuation_revision_cx, evacuation_cx) = (cx.clone(), cx.clone());
    let (quarantine_revision_cx, quarantine_cx) = (cx.clone(), cx.clone());
    let callbacks = FollowCallbacks {
        number: Rc::new(move || {
            number_cx.config.number().max(number_cx.reported_config_number.get())
        }),
        newer_at: Rc::new(move |source, number| fetch_config(&fetch_cx, source, number)),
        evacuations: Rc::new(move || evacuation_revision_cx.config.evacuations().revision()),
        evacuated: Rc::new(move |evacuations| {
            evacuation_cx.config.set_evacuations(evacuations);
        }),
        quarantine: Rc::new(move || quarantine_revision_cx.config.quarantine().revision),
        quarantined: Rc::new(move |list| {
            if quarantine_cx.config.set_quarantine(list) {
                observer::review_list(&quarantine_cx);
            }
        }),
    };
    let name = cx.settings.name.clone();
    let upstreams = follow::run(name, followed, cx.boxes.clone(), callbacks, stop.clone());
    spawn_essential("upstreams", upstreams);
    spawn_essential("pressure", backlog_monitor::run(cx.boxes.clone(), stop.clone()));
    let memory = cx.boxes.memory().clone();
    spawn_essential("memory", memory_monitor::run(memory, stop.clone()));
    spawn_essential("configuration", follow_config(cx.clone(), stop.clone()));
    spawn_essential("routing", routing::run(cx.clone(), stop.clone()));
    spawn_essential("grants", grants::run(cx.clone(), stop.clone()));
    spawn_essential("limits", upstream_limits::run(cx.clone(), stop.clone()));
    spawn_essential("pace", pace::run(cx.clone(), stop.clone()));
    spawn_essential("hand-over", grants::hand_over(cx.clone(), stop.clone()));
}

impl EntryCx {
    /// Returns whether the listeners are open at which callers and other boxes expect this box.
    pub fn is_reachable(&self) -> bool {
        let callers_addr = self.settings.advertised_addr.unwrap_or(self.settings.callers_addr);
        !self.unopened.contains(callers_addr) && !self.unopened.contains(self.settings.boxes_addr)
    }
}

/// Fetches a configuration from a control box that reported it, unless the feed delivers it first.
/// It is fetched once, however many control boxes report it.
fn fetch_config(cx: &Rc<EntryCx>, source: SocketAddr, number: ConfigNumber) {
    if cx.reported_config_number.get() >= number || cx.config.is_transferring() {
        return;
    }
    cx.reported_config_number.set(number);
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        if cx.config.number() > 0 {
            compio::time::sleep(FEED_DELIVERY_TIMEOUT).await;
        }
        if cx.config.number() < number {
            feed::fetch(&cx.settings.name, &cx.config, &cx.boxes, source, Duration::ZERO).await;
        }
        if cx.config.number() < number {
            log::info!("could not fetch configuration {number} from {source}");
            // Lets the next control box that reports it be asked.
            cx.reported_config_number.set(0);
        }
    })
    .detach();
}

/// Keeps the configuration up to date from the feed.
async fn follow_config(cx: Rc<EntryCx>, stop: Stop) {
    let find_parents = || feed_parents(&cx);
    feed::follow(cx.settings.name.clone(), &cx.config, &cx.boxes, find_parents, stop).await;
}

/// Returns the boxes from which this box fetches the configuration.
fn feed_parents(cx: &EntryCx) -> Vec<SocketAddr> {
    let membership = cx.membership.borrow();
    let own = membership.own_record().subject.clone();
    let serving: Vec<&MemberRecord> = membership.serving_boxes().collect();
    let position = serving.iter().position(|r| r.subject == own).unwrap_or(0);
    let addrs: Vec<SocketAddr> = serving.iter().map(|r| r.box_addr).collect();
    feed::parents(position, &addrs, &cx.upstreams.control(), cx.settings.limits.feed_fanout)
}

/// Creates the membership with this box as its first member.
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

fn server_limits(cx: &EntryCx) -> ServerLimits {
    ServerLimits {
        connections: cx.settings.limits.max_connections,
        memory: cx.boxes.memory().clone(),
        ..ServerLimits::default()
    }
}

fn callers_handler(cx: &Rc<EntryCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, peer| callers::handle(cx.clone(), req, peer).boxed_local())
}

fn boxes_handler(cx: &Rc<EntryCx>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req, _peer| boxes::handle(cx.clone(), req).boxed_local())
}
