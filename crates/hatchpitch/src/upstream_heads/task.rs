//! Passes on what the heads of answers say to whoever decides by it.

use std::rc::Rc;
use std::time::Instant;

use super::signals::HeadSignals;
use crate::entry::EntryCx;
use crate::upstream_limits::task as upstream_limits;

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn note(cx: &Rc<EntryCx>, upstream: &str, signals: HeadSignals, sent: Instant) {
    upstream_limits::note(cx, upstream, signals.limit, sent);
    if let Some(rest) = signals.rest {
        log::info!(upstream = upstream, rest_ms = rest.as_millis(); "an upstream asks for rest");
    }
    if signals.leaving {
        log::debug!(upstream = upstream; "an upstream says that it leaves");
    }
}
