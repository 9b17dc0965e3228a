//! Takes in what answers say about the limits of their upstreams.

use std::rc::Rc;
use std::time::Instant;

use hatchpitch_net::clock;

use super::heard::{Heard, Statement};
use crate::entry::EntryCx;

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn note(cx: &Rc<EntryCx>, upstream: &str, said: Statement, sent: Instant) {
    let limit = match said {
        Statement::Limit(limit) => Some(limit),
        Statement::NoLimit => None,
        Statement::Unclear => return,
    };
    let heard = Heard { limit, sent, at: clock::now() };
    let Some(change) = cx.limits.borrow_mut().hear(upstream, heard) else { return };
    let text = |limit: Option<super::RateLimit>| limit.map_or("none".to_owned(), |l| l.to_string());
    log::info!(
        upstream = upstream, from = text(change.from).as_str(), to = text(change.to).as_str();
        "limit of an upstream"
    );
}
