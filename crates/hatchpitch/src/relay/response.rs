//! Forwards responses of upstreams without interpreting their bodies, buffered or streamed.

use std::rc::Rc;

use bytes::Bytes;
use hatchpitch_net::{Body, BodyError, BodySender, clock, is_framed, read_stream};
use http::response::Parts;
use http::{Response, Version, header};
use hyper::body::Incoming;

use super::headers::strip_hop_by_hop;
use super::request::HostedRequest;
use super::run::Relay;
use super::stream::BUFFERED_CHUNKS;
use crate::grants::Slot;
use crate::quarantine::observer::{self, RunLocation};
use crate::routing::Verdict;

/// Builds the caller's response from the head of an upstream's and its complete body.
pub(super) fn buffered_response(mut parts: Parts, body: Bytes) -> Response<Body> {
    adapt_head(&mut parts);
    parts.headers.remove(header::CONTENT_LENGTH);
    Response::from_parts(parts, Body::from(body))
}

/// Adapts the head of an upstream's response to the caller's connection.
pub(super) fn adapt_head(parts: &mut Parts) {
    strip_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
}

/// Streams a response that is too large to be buffered: first the bytes received so far, then the
/// rest of the body as it arrives.
pub(super) fn forward(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    mut slot: Slot,
    mut parts: Parts,
    first: Bytes,
    mut body: Incoming,
) -> Response<Body> {
    let is_framed = is_framed(&parts.headers);
    adapt_head(&mut parts);
    let (mut tx, out) = Body::stream(BUFFERED_CHUNKS);
    let (cx, content) = (relay.cx.clone(), req.content());
    let (active, end) = (relay.cx.begin_request(), req.end());
    compio::runtime::spawn(async move {
        let left = end.saturating_duration_since(clock::now());
        match compio::time::timeout(left, forward_body(first, &mut body, &mut tx)).await {
            Ok(Ok(())) => {
                slot.finish(Verdict::Succeeded, None);
                if is_framed {
                    observer::record_answer(&cx, content);
                }
            }
            Ok(Err(err)) => {
                log::info!(upstream = slot.runner.as_str(); "large response was not forwarded: {err}");
                // The error may stem from a caller that disconnected. The observer tells this
                // apart by checking the upstream, which still serves then.
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

async fn forward_body(
    first: Bytes,
    body: &mut Incoming,
    tx: &mut BodySender,
) -> Result<(), BodyError> {
    tx.send(first).await?;
    while let Some(chunk) = read_stream(body).await? {
        tx.send(chunk).await?;
    }
    Ok(())
}
