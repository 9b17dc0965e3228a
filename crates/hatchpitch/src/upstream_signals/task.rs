//! Applies the signals in response heads to the state of this box and notifies other boxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::leaving::{LEAVING_TTL, LeavingNotice};
use super::notices;
use super::signals::UpstreamSignals;
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::upstream_limits::task as upstream_limits;

/// Path for notices of leaving upstreams.
pub const LEAVING_PATH: &str = "/box/upstreams-leaving";
/// Cause given while an upstream's backoff is active.
pub const BACKING_OFF: &str = "the upstream asked for rest";
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
    if signals.leaving {
        mark_leaving(cx, upstream, LEAVING_TTL);
    }
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

/// Sends a box that has joined the notices of all leaving upstreams.
pub fn send_leaving_notices(cx: &EntryCx, peer: SocketAddr) {
    let notices = cx.leaving.borrow().notices(clock::now());
    notices::send(cx, peer, LEAVING_PATH, &notices);
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
