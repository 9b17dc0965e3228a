//! Passes on what the heads of answers say to whoever decides by it.

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

/// Path for news of upstreams that leave.
pub const LEAVING_PATH: &str = "/box/upstreams-leaving";
/// Why nothing is sent to an upstream that asked for rest.
pub const BACKING_OFF: &str = "the upstream asked for rest";
/// Why nothing is sent to an upstream of which no permit is to be had.
const AT_ITS_LIMIT: &str = "the upstream is at its limit";

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn record(cx: &Rc<EntryCx>, upstream: &str, signals: UpstreamSignals, sent: Instant) {
    upstream_limits::record(cx, upstream, signals.limit, sent);
    if signals.rest.is_none() {
        cx.backoffs.borrow_mut().record_answer(upstream, sent);
    }
    record_background(cx, upstream, signals);
}

/// Notes what the head of an answer says to something that is no request of a caller, such as a
/// question for a load report: a limit does not end with it, nor does the return from a rest.
pub fn record_background(cx: &Rc<EntryCx>, upstream: &str, signals: UpstreamSignals) {
    if let Some(rest) = signals.rest {
        log::info!(upstream = upstream, rest_ms = rest.as_millis(); "an upstream asks for rest");
        cx.backoffs.borrow_mut().start(upstream, rest, clock::now());
    }
    if signals.leaving {
        hear_leaving(cx, upstream, LEAVING_TTL);
    }
}

/// Gives an upstream that leaves no more work, and tells other boxes.
fn hear_leaving(cx: &Rc<EntryCx>, upstream: &str, holds: Duration) {
    cx.upstreams.roster.borrow_mut().said_leaving(upstream);
    if !cx.leaving.borrow_mut().note(upstream, holds, clock::now()) {
        return;
    }
    log::info!(upstream = upstream; "an upstream said that it leaves");
    cx.apply_leaving();
    let send = |cx: &EntryCx, peer, upstreams: &[RunnerName]| {
        let mut leavers = cx.leaving.borrow().news(clock::now());
        leavers.retain(|news| upstreams.contains(&news.upstream));
        notices::send(cx, peer, LEAVING_PATH, &leavers);
    };
    notices::broadcast(cx, upstream, |cx| &cx.leaving_notices, send);
}

/// Takes in which upstreams leave, from another box.
pub fn receive_leaving_notices(cx: &Rc<EntryCx>, news: &[LeavingNotice]) {
    for LeavingNotice { upstream, left } in news {
        hear_leaving(cx, upstream, *left);
    }
}

/// Tells a box that has joined which upstreams leave.
pub fn send_leaving_notices(cx: &EntryCx, peer: SocketAddr) {
    let leavers = cx.leaving.borrow().news(clock::now());
    notices::send(cx, peer, LEAVING_PATH, &leavers);
}

/// Gets leave to send something that a limit does not hold back, such as the next step of a run.
///
/// # Errors
///
/// Returns why nothing may be sent: the upstream rests, or is far beyond its limit.
pub async fn obtain_in_advance(cx: &Rc<EntryCx>, upstream: &str) -> Result<(), &'static str> {
    if backoff_remaining(cx, upstream).is_some() {
        return Err(BACKING_OFF);
    }
    match upstream_limits::obtain_in_advance(cx, upstream).await {
        true => Ok(()),
        false => Err(AT_ITS_LIMIT),
    }
}

/// Returns how much of an upstream's rest is left, if it rests.
pub fn backoff_remaining(cx: &EntryCx, upstream: &str) -> Option<Duration> {
    cx.backoffs.borrow().remaining(upstream, clock::now())
}

/// Waits for the end of an upstream's rest, if it ends within `longest`.
pub async fn wait_for_backoff(cx: &EntryCx, upstream: &str, longest: Duration) {
    if let Some(left) = backoff_remaining(cx, upstream).filter(|left| *left <= longest) {
        compio::time::sleep(left).await;
    }
}

/// Returns whether something may be sent that nobody waits for.
pub fn take_spare(cx: &EntryCx, upstream: &str) -> bool {
    backoff_remaining(cx, upstream).is_none() && upstream_limits::take_spare(cx, upstream)
}
