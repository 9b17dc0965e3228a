//! Requests and grants permits, and sends observed limits to other boxes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Stop, clock};
use twox_hash::XxHash64;

use super::messages::{AgedObservation, LimitNotice, PermitAnswer, PermitKind, PermitRequest};
use super::observation::{LimitObservation, LimitSignal, RateLimit};
use super::table::{Acquired, Change, Decider};
use crate::dispatch::owners::owner_of;
use crate::entry::EntryCx;
use crate::ids::{Incarnation, Priority, RunnerName};
use crate::upstream_signals::notices::{self, FANOUT};
use crate::upstream_signals::task as upstream_signals;

/// Path for permit requests.
pub const PERMIT_PATH: &str = "/box/limit-permit";
/// Path for notices of limits.
pub const LIMIT_NOTICES_PATH: &str = "/box/limit-news";
/// Timeout of a permit request: a few round trips between failure domains. It delays a caller's
/// request.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which membership is checked for boxes that were lost, forgotten or have joined. The
/// share of a limit that this box may grant follows from it.
const MEMBERSHIP_POLL: Duration = Duration::from_millis(500);

/// Applies the limit in the response to a request that was sent at `sent`.
pub fn record(cx: &Rc<EntryCx>, upstream: &str, signal: LimitSignal, sent: Instant) {
    let limit = match signal {
        LimitSignal::Limit(limit) => Some(limit),
        LimitSignal::NoLimit => None,
        LimitSignal::Unknown => return,
    };
    let now = clock::now();
    observe(cx, upstream, LimitObservation { limit, sent, received: now });
    let decider = cx.limits.borrow_mut().take_report(upstream, now);
    if let Some(decider) = decider {
        send_notices(cx, decider, &[upstream.to_owned()]);
    }
}

fn observe(cx: &Rc<EntryCx>, upstream: &str, observed: LimitObservation) {
    let change = cx.limits.borrow_mut().observe(upstream, observed, clock::now());
    let Some(change) = change else { return };
    log_change(upstream, change);
    update_decider(cx, upstream, cx.reachable_share());
    if change.needs_broadcast() {
        broadcast(cx, upstream);
    }
}

fn log_change(upstream: &str, change: Change) {
    let text = |limit: Option<RateLimit>| limit.map_or("none".to_owned(), |l| l.to_string());
    log::info!(
        upstream = upstream, from = text(change.from).as_str(), to = text(change.to).as_str();
        "limit of an upstream"
    );
}

/// Updates the deciders of all upstreams in the table to the boxes that serve.
pub fn update_deciders(cx: &EntryCx) {
    let upstreams = cx.limits.borrow().upstreams();
    if upstreams.is_empty() {
        return;
    }
    let share = cx.reachable_share();
    for upstream in upstreams {
        update_decider(cx, &upstream, share);
    }
}

fn update_decider(cx: &EntryCx, upstream: &str, share: f64) {
    let (addr, own) = (decider_of(cx, upstream), cx.settings.boxes_addr);
    let decider = Decider { addr, is_own: addr == own, share };
    cx.limits.borrow_mut().set_decider(upstream, decider, clock::now());
}

/// Returns the address of the decider of an upstream: the owner of an engine, which admits its
/// requests, or else the box selected for the name by rendezvous hashing.
fn decider_of(cx: &EntryCx, upstream: &str) -> SocketAddr {
    let by_name = || {
        let membership = cx.membership.borrow();
        owner_of(upstream, membership.serving_boxes()).map(|record| record.box_addr)
    };
    cx.owner_addr(upstream).or_else(by_name).unwrap_or(cx.settings.boxes_addr)
}

/// Obtains the permit for a request that a gate admitted, unless the gate has taken it already.
///
/// # Errors
///
/// Returns the time until the request may be retried, if there is no permit.
pub async fn confirm(cx: &Rc<EntryCx>, upstream: &str, priority: Priority) -> Result<(), Duration> {
    let decider = cx.limits.borrow().decider_to_ask(upstream, clock::now());
    match decider {
        Some(decider) => ask(cx, decider, upstream, priority, PermitKind::Request).await,
        None => Ok(()),
    }
}

/// Obtains the permit for a request that does not pass a gate.
///
/// # Errors
///
/// Returns the time until the request may be retried, if there is no permit.
pub async fn obtain(cx: &Rc<EntryCx>, upstream: &str, priority: Priority) -> Result<(), Duration> {
    let taken = cx.limits.borrow_mut().take(upstream, priority, clock::now());
    match taken {
        Acquired::Unlimited | Acquired::Granted => Ok(()),
        Acquired::AskDecider => confirm(cx, upstream, priority).await,
        Acquired::Denied(wait) => Err(wait),
    }
}

/// Obtains a permit for something that cannot be delayed, in advance if necessary; returns whether
/// there is one.
pub async fn obtain_in_advance(cx: &Rc<EntryCx>, upstream: &str) -> bool {
    let now = clock::now();
    let taken = cx.limits.borrow_mut().take_in_advance(upstream, now);
    let decider = cx.limits.borrow().decider_to_ask(upstream, now);
    match (taken, decider) {
        (Acquired::Unlimited | Acquired::Granted, _) => true,
        (Acquired::AskDecider, Some(decider)) => {
            let asked = ask(cx, decider, upstream, Priority::MAX, PermitKind::InAdvance);
            asked.await.is_ok()
        }
        (Acquired::AskDecider | Acquired::Denied(_), _) => false,
    }
}

/// Takes a permit for background traffic that no caller waits for; returns whether there is one.
pub fn take_spare(cx: &EntryCx, upstream: &str) -> bool {
    cx.limits.borrow_mut().take_spare(upstream, clock::now())
}

async fn ask(
    cx: &Rc<EntryCx>,
    decider: SocketAddr,
    upstream: &str,
    priority: Priority,
    kind: PermitKind,
) -> Result<(), Duration> {
    let known = {
        let mut limits = cx.limits.borrow_mut();
        let now = clock::now();
        limits.record_asking(upstream, now);
        let Some(observed) = limits.observed(upstream) else { return Ok(()) };
        AgedObservation::new(observed, now)
    };
    let asker = XxHash64::oneshot(0, cx.settings.name.as_bytes());
    let req = PermitRequest { upstream: upstream.to_owned(), asker, priority, kind, known };
    let answer = cx.boxes.call::<_, PermitAnswer>(decider, PERMIT_PATH, &req, PERMIT_TIMEOUT).await;
    let now = clock::now();
    let mut limits = cx.limits.borrow_mut();
    match answer {
        Ok(answer) => limits.apply_answer(upstream, priority, answer, rand::random::<f64>(), now),
        Err(err) => {
            log::info!(upstream = upstream; "permit: {err}");
            let boxes = cx.membership.borrow().serving_boxes().count();
            Err(limits.record_no_answer(upstream, boxes, now))
        }
    }
}

/// Answers a permit request of another box.
pub fn answer(cx: &Rc<EntryCx>, req: &PermitRequest) -> PermitAnswer {
    cx.sync_gates();
    let now = clock::now();
    observe(cx, &req.upstream, req.known.to_local(now));
    cx.limits.borrow_mut().answer(req, now)
}

/// Applies notices of limits from another box.
pub fn receive_notices(cx: &Rc<EntryCx>, notices: &[LimitNotice]) {
    let now = clock::now();
    for LimitNotice { upstream, heard } in notices {
        observe(cx, upstream, heard.to_local(now));
    }
}

fn broadcast(cx: &Rc<EntryCx>, upstream: &str) {
    let send = |cx: &EntryCx, peer, names: &[RunnerName]| send_notices(cx, peer, names);
    notices::broadcast(cx, upstream, |cx| &cx.limit_notices, send);
}

/// Sends a box the limits of some upstreams.
fn send_notices(cx: &EntryCx, peer: SocketAddr, upstreams: &[RunnerName]) {
    notices::send(cx, peer, LIMIT_NOTICES_PATH, &notices_for(cx, upstreams));
}

fn notices_for(cx: &EntryCx, upstreams: &[RunnerName]) -> Vec<LimitNotice> {
    let (limits, now) = (cx.limits.borrow(), clock::now());
    let notices = upstreams.iter().filter_map(|upstream| {
        let heard = AgedObservation::new(limits.observed(upstream)?, now);
        Some(LimitNotice { upstream: upstream.clone(), heard })
    });
    notices.collect()
}

/// The serving boxes, each with its incarnation.
type Serving = BTreeSet<(SocketAddr, Incarnation)>;

/// Tracks boxes that are lost or have joined, until `stop`.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    let mut known = Serving::new();
    while !stop.is_set() {
        compio::time::sleep(MEMBERSHIP_POLL).await;
        update_deciders(&cx);
        let membership = cx.membership.borrow();
        let serving: Serving =
            membership.serving_boxes().map(|r| (r.box_addr, r.incarnation)).collect();
        drop(membership);
        notify_joined(&cx, &known, &serving);
        known = serving;
    }
}

/// Sends boxes that have joined the state that they would otherwise learn only from their first
/// responses. Each decider sends its limits. About [`FANOUT`] boxes, selected at random, send the
/// limits of which the new box is the decider, and the leaving and brittle upstreams.
fn notify_joined(cx: &EntryCx, known: &Serving, serving: &Serving) {
    let own = cx.settings.boxes_addr;
    let notify_probability = FANOUT as f64 / serving.len().max(1) as f64;
    for addr in serving.difference(known).map(|(addr, _)| *addr).filter(|addr| *addr != own) {
        let mut upstreams = cx.limits.borrow().decided_by(own);
        if rand::random::<f64>() < notify_probability {
            upstream_signals::send_all_notices(cx, addr);
            upstreams.extend(cx.limits.borrow().decided_by(addr));
        }
        send_notices(cx, addr, &upstreams);
    }
}
