//! Forwards signals that one box received from upstreams to other boxes.
//!
//! Each box forwards a notice once, to [`FANOUT`] others, so the load per box does not grow with
//! the fleet.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;

use crate::entry::EntryCx;
use crate::ids::RunnerName;

/// Number of boxes to which each box forwards a notice. In a small fleet it reaches every box; in a
/// large one about 98 of 100, and the others learn of it from their own next response.
pub const FANOUT: usize = 4;
/// Time for which notices are collected before they are sent. It is far below the 500 ms within
/// which a box is expected to act on a signal.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a message with notices.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of notices in one message, of about 100 bytes each.
const MAX_NOTICES: usize = 128;

/// Upstreams about which this box has notices to send.
#[derive(Default)]
pub struct NoticeQueue(RefCell<BTreeSet<RunnerName>>);

/// Queues an upstream for a notice to [`FANOUT`] other boxes. `queue` selects the queue, and `send`
/// sends one box the current state of the queued upstreams.
pub fn broadcast(
    cx: &Rc<EntryCx>,
    upstream: &str,
    queue: fn(&EntryCx) -> &NoticeQueue,
    send: fn(&EntryCx, SocketAddr, &[RunnerName]),
) {
    let is_first = {
        let mut queue = queue(cx).0.borrow_mut();
        queue.insert(upstream.to_owned());
        queue.len() == 1
    };
    if !is_first {
        return;
    }
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        compio::time::sleep(BATCH_DELAY).await;
        let upstreams: Vec<RunnerName> = queue(&cx).0.take().into_iter().collect();
        let peers = cx.membership.borrow_mut().peers(FANOUT);
        for peer in peers {
            send(&cx, peer, &upstreams);
        }
    })
    .detach();
}

/// Sends notices to a box, in batches of at most `MAX_NOTICES`, without waiting for replies.
pub fn send<T>(cx: &EntryCx, peer: SocketAddr, path: &'static str, notices: &[T])
where
    T: Serialize + Clone + 'static,
{
    for batch in notices.chunks(MAX_NOTICES) {
        let (client, batch) = (cx.boxes.clone(), batch.to_vec());
        compio::runtime::spawn(async move {
            if let Err(err) = client.call::<_, ()>(peer, path, &batch, SEND_TIMEOUT).await {
                log::debug!(
                    "upstream notices not sent to a box, which learns of them from its next response: {err}"
                );
            }
        })
        .detach();
    }
}
