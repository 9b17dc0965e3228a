//! Answers that are passed on without a look at what is in them: whole, or as they come.

use std::rc::Rc;

use bytes::Bytes;
use hatchpitch_net::{Body, BodyError, BodySender, clock, is_framed, read_stream};
use http::response::Parts;
use http::{Response, Version, header};
use hyper::body::Incoming;

use super::headers::strip_connection_headers;
use super::request::HostedRequest;
use super::run::Relay;
use super::stream::BUFFERED_PIECES;
use crate::grants::Slot;
use crate::quarantine::observer::{self, RunLocation};
use crate::routing::Verdict;

/// Makes the caller's answer out of an upstream's, with the length known.
pub(super) fn with_length(mut parts: Parts, body: Bytes) -> Response<Body> {
    for_caller(&mut parts);
    parts.headers.remove(header::CONTENT_LENGTH);
    Response::from_parts(parts, Body::from(body))
}

/// Makes the head of an upstream's answer fit for the caller's connection.
pub(super) fn for_caller(parts: &mut Parts) {
    strip_connection_headers(&mut parts.headers);
    parts.version = Version::HTTP_11;
}

/// Passes on an answer that is too large to be held.
pub(super) fn pass_on(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    mut slot: Slot,
    mut parts: Parts,
    first: Bytes,
    mut body: Incoming,
) -> Response<Body> {
    let is_framed = is_framed(&parts.headers);
    for_caller(&mut parts);
    let (mut tx, out) = Body::stream(BUFFERED_PIECES);
    let (cx, content) = (relay.cx.clone(), req.content());
    let (active, end) = (relay.cx.begin_request(), req.end());
    compio::runtime::spawn(async move {
        let left = end.saturating_duration_since(clock::now());
        match compio::time::timeout(left, pass_pieces(first, &mut body, &mut tx)).await {
            Ok(Ok(())) => {
                slot.finish(Verdict::Succeeded, None);
                if is_framed {
                    observer::record_answer(&cx, content);
                }
            }
            Ok(Err(err)) => {
                log::info!(upstream = slot.runner.as_str(); "large answer not passed on: {err}");
                // A caller that left is told apart by the look at the upstream, which then serves.
                let place = RunLocation { upstream: &slot.runner, addr: slot.addr };
                observer::record_interruption(&cx, place, content, None);
                tx.abort();
            }
            Err(_) => tx.abort(),
        }
        drop(active);
    })
    .detach();
    Response::from_parts(parts, out)
}

async fn pass_pieces(
    first: Bytes,
    body: &mut Incoming,
    tx: &mut BodySender,
) -> Result<(), BodyError> {
    tx.send(first).await?;
    while let Some(piece) = read_stream(body).await? {
        tx.send(piece).await?;
    }
    Ok(())
}
