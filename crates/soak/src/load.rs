//! Loads that press on the memory of processes: many large messages that are open at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hatchpitch_net::{Body, BodySender, Reservation, Upstream};
use http::Request;

use crate::callers::{Caller, CallerCx};
use crate::context::RunCx;

/// Number and size of the bodies of callers that are sent at once, in bytes.
const CALLER_BODIES: u64 = 40;
const CALLER_BODY: usize = 4_000_000;
/// Number and size of the messages to other listeners that are sent at once, in bytes.
const MESSAGES: usize = 10;
const MESSAGE: usize = 15_000_000;
/// A piece of a large message or event.
pub const PIECE: Bytes = Bytes::from_static(&[b'x'; 64 * 1024]);
/// Number of pieces that are buffered.
const BUFFERED_PIECES: usize = 4;
/// Time before the end of a large message, so that all messages of a load are open at once.
const HOLD_TIME: Duration = Duration::from_millis(800);
/// Time limits for a connection, and for a message and the head of its answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Sends requests with large bodies to a box, all at once, and records their outcomes.
pub async fn call_at_once(cx: &Rc<CallerCx>, box_index: usize) {
    let calls = (0..CALLER_BODIES).map(|seed| {
        let caller = Caller::new(cx.clone(), seed);
        async move { caller.request_once(box_index, large_body(CALLER_BODY)).await }
    });
    join_all(calls).await;
}

/// Sends large messages that must be rejected, all at once, and records those that are accepted.
pub async fn send_at_once(cx: &RunCx, addr: SocketAddr, message: impl Fn() -> Request<Body>) {
    let send = |mut message: Request<Body>| async move {
        *message.body_mut() = large_body(MESSAGE);
        let path = message.uri().path().to_owned();
        let listener = Upstream { addr, connect_timeout: CONNECT_TIMEOUT, source: None };
        match listener.send(message, ANSWER_TIMEOUT).await {
            Ok(res) if res.status().is_success() => {
                let seen = format!("{path} at {addr}: {}", res.status());
                cx.record.accepted.borrow_mut().push(seen);
            }
            Ok(res) => log::debug!("{path} at {addr}: {}", res.status()),
            Err(err) => log::debug!("{path} at {addr}: {err}"),
        }
    };
    join_all((0..MESSAGES).map(|_| send(message()))).await;
}

/// Returns a body of `bytes` bytes, which is sent without its length and ends after a pause.
fn large_body(bytes: usize) -> Body {
    let (tx, body) = Body::stream(BUFFERED_PIECES, Reservation::uncounted());
    compio::runtime::spawn(send_pieces(tx, bytes)).detach();
    body
}

async fn send_pieces(mut tx: BodySender, bytes: usize) {
    for _ in 0..bytes / PIECE.len() {
        if tx.send(PIECE).await.is_err() {
            return;
        }
    }
    compio::time::sleep(HOLD_TIME).await;
    tx.finish();
}
