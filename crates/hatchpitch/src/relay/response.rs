//! Forwards responses of upstreams without interpreting their bodies, buffered or streamed.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hatchpitch_net::{
    Body, BodyError, BodySender, Framing, Holder, Origin, Reservation, ResponseBody, clock,
    read_stream,
};
use http::response::Parts;
use http::{HeaderValue, Response, Version, header};
use hyper::body::Body as _;

use super::context::Relay;
use super::ending::{EndCheck, Ending, STREAM_STATE_TIMEOUT, open_end_verdict};
use super::headers::strip_hop_by_hop;
use super::request::HostedRequest;
use super::stream::BUFFERED_CHUNKS;
use crate::entry::EntryCx;
use crate::grants::Slot;
use crate::metrics::Count;
use crate::quarantine::Causes;
use crate::quarantine::observer::{self, RunLocation};
use crate::routing::Verdict;

/// Builds the caller's response from the head of an upstream's and its body.
pub(super) fn buffered_response(mut parts: Parts, body: Bytes, framing: Framing) -> Response<Body> {
    adapt_head(&mut parts);
    Response::from_parts(parts, Body::from(body).framed(framing))
}

/// Adapts the head of an upstream's response to the caller's connection.
pub(super) fn adapt_head(parts: &mut Parts) {
    strip_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
}

/// Opens an empty reservation for bytes that an upstream answers to a request.
pub(super) fn open_memory(
    relay: &Relay,
    req: &HostedRequest,
    upstream: SocketAddr,
    holder: Holder,
) -> Reservation {
    let (request, path) = (req.id.clone(), req.route.name.clone());
    relay.cx.boxes.memory().open(holder, Origin { peer: Some(upstream), request, path })
}

/// The part of a response that was received before it is streamed.
pub(super) struct BegunResponse {
    pub(super) parts: Parts,
    /// Bytes of the body.
    pub(super) bytes: Bytes,
    /// Memory of these bytes.
    pub(super) held: Reservation,
}

/// Streams a response that is too large to be buffered: first the bytes received so far, then the rest
/// of the body as it arrives.
pub(super) fn forward(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    causes: Rc<Causes>,
    mut slot: Slot,
    begun: BegunResponse,
    mut check: EndCheck,
    mut body: ResponseBody,
) -> Response<Body> {
    let BegunResponse { mut parts, bytes: first, held } = begun;
    adapt_head(&mut parts);
    if let Some(rest) = body.size_hint().exact() {
        let len = HeaderValue::from(first.len() as u64 + rest);
        parts.headers.insert(header::CONTENT_LENGTH, len);
    }
    let (mut tx, out) = Body::stream(BUFFERED_CHUNKS, held);
    let out = out.framed(check.framing());
    let cx = relay.cx.clone();
    let (active, end) = (relay.cx.begin_request(), req.end());
    let route = req.route.name.clone();
    compio::runtime::spawn(async move {
        let runner = slot.runner.clone();
        let place = RunLocation { upstream: &runner, addr: slot.addr };
        let left = end.saturating_duration_since(clock::now());
        let forwarded = forward_body(first, &mut check, &mut body, &mut tx);
        let ending = match compio::time::timeout(left, forwarded).await {
            Ok(Ok(())) => {
                let left = end.saturating_duration_since(clock::now()).min(STREAM_STATE_TIMEOUT);
                Ok(check.judge(&cx, place, &causes, left).await.at_announced())
            }
            Ok(Err(err)) => Err(err.to_string()),
            // Dropping the sender breaks the response off.
            Err(_) => return,
        };
        match ending {
            Ok(Ending::Complete) => {
                slot.finish(Verdict::Succeeded, None);
                observer::record_answer(&cx, &causes);
                tx.finish();
            }
            Ok(Ending::Open(state)) => {
                cx.metrics.count(Count::OpenEnded, &route);
                slot.finish(open_end_verdict(state), None);
                tx.finish();
            }
            Ok(Ending::Truncated(cause)) => break_off(&cx, place, &causes, cause, tx),
            // The error may stem from a caller that disconnected. The observer tells this apart by
            // checking the upstream, which still serves then.
            Err(cause) => break_off(&cx, place, &causes, &cause, tx),
        }
        drop(active);
    })
    .detach();
    Response::from_parts(parts, out)
}

/// Breaks off a response to the caller, and records that the run was interrupted.
fn break_off(
    cx: &Rc<EntryCx>,
    place: RunLocation<'_>,
    causes: &Causes,
    cause: &str,
    tx: BodySender,
) {
    log::info!(upstream = place.upstream; "large response was not forwarded: {cause}");
    observer::record_interruption(cx, place, causes, None);
    tx.abort();
}

async fn forward_body(
    first: Bytes,
    check: &mut EndCheck,
    body: &mut ResponseBody,
    tx: &mut BodySender,
) -> Result<(), BodyError> {
    tx.send_counted(first).await?;
    while let Some(chunk) = read_stream(body).await? {
        check.push(&chunk);
        tx.send(chunk).await?;
    }
    Ok(())
}
