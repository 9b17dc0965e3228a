//! Applies the signals in response heads to the state of this box and notifies other boxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::brittle::{BRITTLE_TTL, BrittleNotice, MaxRejections};
use super::leaving::{LEAVING_TTL, LeavingNotice};
use super::notices;
use super::signals::{MAX_BACKOFF, UpstreamSignals};
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::upstream_limits::task as upstream_limits;

/// Path for notices of leaving upstreams.
pub const LEAVING_PATH: &str = "/box/upstreams-leaving";
/// Path for notices of brittle upstreams.
pub const BRITTLE_PATH: &str = "/box/upstreams-brittle";
/// Cause given while an upstream's backoff is active.
pub const BACKING_OFF: &str = "the upstream asked for rest";
/// Fraction of the rejections that an upstream bears which all boxes together may cause without
/// its owner.
const UNOWNED_REJECTION_FRACTION: f64 = 0.5;
/// Cause given when there is no permit for an upstream.
const AT_LIMIT: &str = "the upstream is at its limit";

/// Applies the signals in the response to a request that was sent at `sent`.
pub fn record(cx: &Rc<EntryCx>, upstream: &str, signals: UpstreamSignals, sent: Instant) {
    upstream_limits::record(cx, upstream, signals.limit, sent);
    if signals.backoff.is_none() {
        cx.backoffs.borrow_mut().record_answer(upstream, sent);
    }
    record_background(cx, upstream, signals);
}

/// Applies the signals in the response to something other than a caller's request, such as a load
/// query. It neither changes a limit nor counts toward recovery from a backoff.
pub fn record_background(cx: &Rc<EntryCx>, upstream: &str, signals: UpstreamSignals) {
    if let Some(backoff) = signals.backoff {
        log::info!(upstream = upstream, rest_ms = backoff.as_millis(); "an upstream asks for rest");
        cx.backoffs.borrow_mut().start(upstream, backoff, clock::now());
    }
    if let Some(max_rejections) = signals.brittle {
        mark_brittle(cx, upstream, max_rejections, BRITTLE_TTL);
    }
    if signals.leaving {
        mark_leaving(cx, upstream, LEAVING_TTL);
    }
}

/// Records how many rejections an upstream bears and notifies other boxes.
fn mark_brittle(cx: &Rc<EntryCx>, upstream: &str, max_rejections: MaxRejections, ttl: Duration) {
    let now = clock::now();
    let is_new = cx.brittle.borrow().max_rejections(upstream, now) != Some(max_rejections);
    if !cx.brittle.borrow_mut().record(upstream, max_rejections, ttl, now) {
        return;
    }
    if is_new {
        log::info!(upstream = upstream, max_rejections; "an upstream bears few rejections");
    }
    let send = |cx: &EntryCx, peer, upstreams: &[RunnerName]| {
        let mut notices = cx.brittle.borrow().notices(clock::now());
        notices.retain(|notice| upstreams.contains(&notice.upstream));
        notices::send(cx, peer, BRITTLE_PATH, &notices);
    };
    notices::broadcast(cx, upstream, |cx| &cx.brittle_notices, send);
}

/// Applies notices of brittle upstreams from another box.
pub fn receive_brittle_notices(cx: &Rc<EntryCx>, notices: &[BrittleNotice]) {
    for BrittleNotice { upstream, max_rejections, left } in notices {
        mark_brittle(cx, upstream, *max_rejections, *left);
    }
}

/// Records that an upstream rejected a request that no owner of the upstream admitted. All boxes
/// may be sending such requests, so each waits for its share of the rejections.
pub fn record_unowned_rejection(cx: &EntryCx, upstream: &str) {
    let now = clock::now();
    let Some(max_rejections) = cx.brittle.borrow().max_rejections(upstream, now) else { return };
    let boxes = cx.membership.borrow().serving_boxes().count().max(1);
    let per_second = f64::from(max_rejections.max(1)) * UNOWNED_REJECTION_FRACTION;
    let backoff = Duration::from_secs_f64(boxes as f64 / per_second);
    cx.backoffs.borrow_mut().start(upstream, backoff.min(MAX_BACKOFF), now);
}

/// Stops sending new work to a leaving upstream and notifies other boxes.
fn mark_leaving(cx: &Rc<EntryCx>, upstream: &str, ttl: Duration) {
    cx.upstreams.roster.borrow_mut().said_leaving(upstream);
    if !cx.leaving.borrow_mut().record(upstream, ttl, clock::now()) {
        return;
    }
    log::info!(upstream = upstream; "an upstream said that it leaves");
    cx.apply_leaving();
    let send = |cx: &EntryCx, peer, upstreams: &[RunnerName]| {
        let mut notices = cx.leaving.borrow().notices(clock::now());
        notices.retain(|notice| upstreams.contains(&notice.upstream));
        notices::send(cx, peer, LEAVING_PATH, &notices);
    };
    notices::broadcast(cx, upstream, |cx| &cx.leaving_notices, send);
}

/// Applies notices of leaving upstreams from another box.
pub fn receive_leaving_notices(cx: &Rc<EntryCx>, notices: &[LeavingNotice]) {
    for LeavingNotice { upstream, left } in notices {
        mark_leaving(cx, upstream, *left);
    }
}

/// Sends a box that has joined the notices of all leaving and all brittle upstreams.
pub fn send_all_notices(cx: &EntryCx, peer: SocketAddr) {
    let leaving = cx.leaving.borrow().notices(clock::now());
    notices::send(cx, peer, LEAVING_PATH, &leaving);
    let brittle = cx.brittle.borrow().notices(clock::now());
    notices::send(cx, peer, BRITTLE_PATH, &brittle);
}

/// Obtains permission to send something that cannot be delayed, such as the next step of a run.
/// Permits for it may be taken in advance of the limit.
///
/// # Errors
///
/// Returns the cause if nothing may be sent: a backoff is active, or as many permits as possible
/// were taken in advance.
pub async fn obtain_in_advance(cx: &Rc<EntryCx>, upstream: &str) -> Result<(), &'static str> {
    if backoff_remaining(cx, upstream).is_some() {
        return Err(BACKING_OFF);
    }
    match upstream_limits::obtain_in_advance(cx, upstream).await {
        true => Ok(()),
        false => Err(AT_LIMIT),
    }
}

/// Returns the remaining time of an upstream's backoff, if one is active.
pub fn backoff_remaining(cx: &EntryCx, upstream: &str) -> Option<Duration> {
    cx.backoffs.borrow().remaining(upstream, clock::now())
}

/// Waits for an upstream's backoff to end, if that takes at most `max_wait`.
pub async fn wait_for_backoff(cx: &EntryCx, upstream: &str, max_wait: Duration) {
    if let Some(remaining) =
        backoff_remaining(cx, upstream).filter(|remaining| *remaining <= max_wait)
    {
        compio::time::sleep(remaining).await;
    }
}

/// Takes a permit for low-priority background traffic that no caller waits for; returns whether
/// it may be sent.
pub fn take_spare(cx: &EntryCx, upstream: &str) -> bool {
    backoff_remaining(cx, upstream).is_none() && upstream_limits::take_spare(cx, upstream)
}
