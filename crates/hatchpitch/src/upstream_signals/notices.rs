//! Passes on to other boxes what upstreams told one of them.
//!
//! Each box passes news on once, to a few others, so what a box sends does not grow with the fleet.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;

use crate::entry::EntryCx;
use crate::ids::RunnerName;

/// Boxes that each box passes news on to. Of few boxes all hear of it; of many about 98 of 100 do,
/// and the others with their own next answer.
pub const FANOUT: usize = 4;
/// Time in which news are gathered before they are passed on: far below the half second after
/// which a box is expected to keep to what it was told.
const GATHER: Duration = Duration::from_millis(20);
/// Time for a message of news.
const NEWS_LIMIT: Duration = Duration::from_millis(500);
/// Most news in one message, of about 100 bytes each.
const MAX_NEWS: usize = 128;

/// Upstreams of which this box has something to pass on.
#[derive(Default)]
pub struct NoticeQueue(RefCell<BTreeSet<RunnerName>>);

/// Passes on what is new of an upstream; `queue` finds those that wait, and `send` sends what is
/// known of them to a box.
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
        compio::time::sleep(GATHER).await;
        let upstreams: Vec<RunnerName> = queue(&cx).0.take().into_iter().collect();
        let peers = cx.membership.borrow_mut().peers(FANOUT);
        for peer in peers {
            send(&cx, peer, &upstreams);
        }
    })
    .detach();
}

/// Sends news to a box, in as many messages as they take, without waiting for answers.
pub fn send<T>(cx: &EntryCx, peer: SocketAddr, path: &'static str, news: &[T])
where
    T: Serialize + Clone + 'static,
{
    for part in news.chunks(MAX_NEWS) {
        let (client, part) = (cx.boxes.clone(), part.to_vec());
        compio::runtime::spawn(async move {
            if let Err(err) = client.call::<_, ()>(peer, path, &part, NEWS_LIMIT).await {
                log::debug!(
                    "news of upstreams: {err}; the box hears of them with its own next answer"
                );
            }
        })
        .detach();
    }
}
