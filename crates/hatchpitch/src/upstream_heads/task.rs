//! Passes on what the heads of answers say to whoever decides by it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::leavers::{HOLDS, LeaverNews};
use super::news;
use super::signals::HeadSignals;
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::upstream_limits::task as upstream_limits;

/// Path for news of upstreams that leave.
pub const LEAVING_PATH: &str = "/box/upstreams-leaving";
/// Why nothing is sent to an upstream that asked for rest.
pub const RESTS: &str = "the upstream asked for rest";
/// Why nothing is sent to an upstream of which no permit is to be had.
const AT_ITS_LIMIT: &str = "the upstream is at its limit";

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn note(cx: &Rc<EntryCx>, upstream: &str, signals: HeadSignals, sent: Instant) {
    upstream_limits::note(cx, upstream, signals.limit, sent);
    if signals.rest.is_none() {
        cx.rests.borrow_mut().answered(upstream, sent);
    }
    note_aside(cx, upstream, signals);
}

/// Notes what the head of an answer says to something that is no request of a caller, such as a
/// question for a load report: a limit does not end with it, nor does the return from a rest.
pub fn note_aside(cx: &Rc<EntryCx>, upstream: &str, signals: HeadSignals) {
    if let Some(rest) = signals.rest {
        log::info!(upstream = upstream, rest_ms = rest.as_millis(); "an upstream asks for rest");
        cx.rests.borrow_mut().ask(upstream, rest, clock::now());
    }
    if signals.leaving {
        hear_leaving(cx, upstream, HOLDS);
    }
}

/// Gives an upstream that leaves no more work, and tells other boxes.
fn hear_leaving(cx: &Rc<EntryCx>, upstream: &str, holds: Duration) {
    cx.upstreams.roster.borrow_mut().said_leaving(upstream);
    if !cx.leavers.borrow_mut().note(upstream, holds, clock::now()) {
        return;
    }
    log::info!(upstream = upstream; "an upstream said that it leaves");
    cx.apply_leaving();
    let send = |cx: &EntryCx, peer, upstreams: &[RunnerName]| {
        let mut leavers = cx.leavers.borrow().news(clock::now());
        leavers.retain(|news| upstreams.contains(&news.upstream));
        news::send(cx, peer, LEAVING_PATH, &leavers);
    };
    news::spread(cx, upstream, |cx| &cx.leaver_news, send);
}

/// Takes in which upstreams leave, from another box.
pub fn take_leavers(cx: &Rc<EntryCx>, news: &[LeaverNews]) {
    for LeaverNews { upstream, left } in news {
        hear_leaving(cx, upstream, *left);
    }
}

/// Tells a box that has joined which upstreams leave.
pub fn tell_leavers(cx: &EntryCx, peer: SocketAddr) {
    let leavers = cx.leavers.borrow().news(clock::now());
    news::send(cx, peer, LEAVING_PATH, &leavers);
}

/// Gets leave to send something that a limit does not hold back, such as the next step of a run.
///
/// # Errors
///
/// Returns why nothing may be sent: the upstream rests, or is far beyond its limit.
pub async fn obtain_in_advance(cx: &Rc<EntryCx>, upstream: &str) -> Result<(), &'static str> {
    if rest_left(cx, upstream).is_some() {
        return Err(RESTS);
    }
    match upstream_limits::obtain_in_advance(cx, upstream).await {
        true => Ok(()),
        false => Err(AT_ITS_LIMIT),
    }
}

/// Returns how much of an upstream's rest is left, if it rests.
pub fn rest_left(cx: &EntryCx, upstream: &str) -> Option<Duration> {
    cx.rests.borrow().left(upstream, clock::now())
}

/// Waits for the end of an upstream's rest, if it ends within `longest`.
pub async fn await_rest(cx: &EntryCx, upstream: &str, longest: Duration) {
    if let Some(left) = rest_left(cx, upstream).filter(|left| *left <= longest) {
        compio::time::sleep(left).await;
    }
}

/// Returns whether something may be sent that nobody waits for.
pub fn take_spare(cx: &EntryCx, upstream: &str) -> bool {
    rest_left(cx, upstream).is_none() && upstream_limits::take_spare(cx, upstream)
}
