//! Passes on what the heads of answers say to whoever decides by it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::signals::HeadSignals;
use crate::entry::EntryCx;
use crate::upstream_limits::task as upstream_limits;

/// Why nothing is sent to an upstream that asked for rest.
pub const RESTS: &str = "the upstream asked for rest";
/// Why nothing is sent to an upstream of which no permit is to be had.
const AT_ITS_LIMIT: &str = "the upstream is at its limit";

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn note(cx: &Rc<EntryCx>, upstream: &str, signals: HeadSignals, sent: Instant) {
    upstream_limits::note(cx, upstream, signals.limit, sent);
    match signals.rest {
        Some(rest) => {
            log::info!(upstream = upstream, rest_ms = rest.as_millis(); "an upstream asks for rest");
            cx.rests.borrow_mut().ask(upstream, rest, clock::now());
        }
        None => cx.rests.borrow_mut().answered(upstream, sent),
    }
    if signals.leaving {
        log::debug!(upstream = upstream; "an upstream says that it leaves");
    }
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
