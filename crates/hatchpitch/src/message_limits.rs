//! Largest messages between boxes, by path.
//!
//! Each kind of message has a limit of its own, so that a box that errs cannot take the memory of
//! another one through a path whose messages are small.

use crate::claims::client::{CLAIM_PATH, SETTLE_PATH};
use crate::config::feed::FEED_PATH;
use crate::control::join::{JOIN_PATH, LEAVE_PATH};
use crate::grants::task::{ADOPT_PATH, GRANT_PATH, RELEASE_PATH, SYNC_PATH};
use crate::membership::task::{GOSSIP_PATH, PING_PATH, PROBE_PATH};
use crate::moves::task::{TURN_DONE_PATH, TURN_PATH};
use crate::pace::task::PACE_PATH;
use crate::quarantine::observer::EVIDENCE_PATH;
use crate::reachability::task::{FORWARD_PATH, MAX_FORWARD_BYTES};
use crate::reachability::watch::ANSWERS_PATH;
use crate::registry::follow::FOLLOW_PATH;
use crate::registry::peers::NEWS_PATH;
use crate::replication::bootstrap::HELLO_PATH;
use crate::replication::task::{LOG_PATH, MAX_BATCH_MESSAGE};
use crate::replication::transfer::{MAX_PART_MESSAGE, PART_PATH};
use crate::upstream_limits::task::{LIMIT_NOTICES_PATH, PERMIT_PATH};
use crate::upstream_signals::task::{BRITTLE_PATH, LEAVING_PATH};

/// Largest message that names a few boxes, upstreams or requests, in bytes.
const MAX_SMALL: usize = 64 * 1024;
/// Largest message with a list of upstreams or slots, in bytes: several thousand of them.
const MAX_LIST: usize = 2 * 1024 * 1024;
/// Largest message with evidence of crashes, in bytes: as many crashes, runs and parts of prompts as
/// a message may name take 2.5 MB.
const MAX_EVIDENCE: usize = 4 * 1024 * 1024;
/// Largest message that settles a claim, in bytes: an answer of 4 MiB, each byte of which takes up to
/// two when encoded.
const MAX_SETTLE: usize = 8 * 1024 * 1024 + MAX_SMALL;
/// Largest answer with a part of a configuration, all upstreams or all members, in bytes. Parts of a
/// configuration are far smaller unless one entity is that large.
const MAX_STATE: usize = 16 * 1024 * 1024;

/// Returns the size of the largest accepted message to a path, in bytes, or `None` if boxes send
/// nothing to it.
pub fn max_body(path: &str) -> Option<usize> {
    Some(match path {
        PING_PATH | PROBE_PATH | FEED_PATH | GRANT_PATH | RELEASE_PATH | TURN_PATH
        | TURN_DONE_PATH | PERMIT_PATH | FOLLOW_PATH | JOIN_PATH | LEAVE_PATH | HELLO_PATH
        | CLAIM_PATH => MAX_SMALL,
        GOSSIP_PATH | SYNC_PATH | ADOPT_PATH | LIMIT_NOTICES_PATH | LEAVING_PATH | BRITTLE_PATH
        | PACE_PATH | ANSWERS_PATH | NEWS_PATH => MAX_LIST,
        EVIDENCE_PATH => MAX_EVIDENCE,
        LOG_PATH => MAX_BATCH_MESSAGE,
        PART_PATH => MAX_PART_MESSAGE,
        SETTLE_PATH => MAX_SETTLE,
        FORWARD_PATH => MAX_FORWARD_BYTES,
        _ => return None,
    })
}

/// Returns the size of the largest accepted answer to a message to a path, in bytes.
pub fn max_answer(path: &str) -> usize {
    match path {
        FEED_PATH | FOLLOW_PATH | GOSSIP_PATH => MAX_STATE,
        ADOPT_PATH | ANSWERS_PATH | HELLO_PATH | JOIN_PATH => MAX_LIST,
        _ => MAX_SMALL,
    }
}
