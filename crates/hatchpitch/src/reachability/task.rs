//! Asks other boxes to reach upstreams, and answers such requests of others.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{
    Body, Framing, Holder, Listening, Reservation, ResponseBody, SendError, SendStep, clock,
    read_body,
};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_bytes::ByteBuf;

use super::messages::{
    ForwardAction, ForwardFailure, ForwardRequest, ForwardedMessage, ProbeResult,
};
use super::watch::{Link, SendOptions};
use crate::entry::EntryCx;
use crate::entry::context::Intake;
use crate::ids::RunnerName;
use crate::membership::task::PING_PATH;
use crate::metrics::Count;
use crate::outcome::text_response;
use crate::relay::headers::strip_hop_by_hop;
use crate::upstream_signals::signals::parse_backoff;

/// Path of requests to reach an upstream.
pub const FORWARD_PATH: &str = "/box/forward";
/// Header of a response that an upstream made; its value tells whether the body was framed.
const FORWARDED_HEADER: &str = "x-hatchpitch-forwarded";
const FRAMED: &str = "framed";
const UNFRAMED: &str = "unframed";
/// Time limit for connecting to another box, and for a box to connect to an upstream for another
/// one: many round trips between failure domains.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a box to show that it responds: many round trips between failure domains.
const PING_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for the answer to a probe: three connects, and round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Other upstreams that are tried to find out whether the links of this box work.
const MAX_TRIED_UPSTREAMS: usize = 2;
/// Largest answer of a box that has no response of an upstream, in bytes.
const MAX_FAILURE: usize = 16 * 1024;
/// Time limit for reading such an answer.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a box sends to upstreams for others at one time.
const MAX_FORWARDS: usize = 512;
/// Total size of these requests while they are being received and sent, in bytes.
pub const MAX_FORWARD_BYTES: usize = 16 * 1024 * 1024;

/// Answer of another box that was asked to send a request.
pub enum PeerAnswer {
    /// The response of the upstream.
    Response(Response<ResponseBody>),
    /// The request may have reached the upstream. Holds the cause.
    MayHaveRun(String),
    /// The request may have reached the upstream, and the box found that the link it was sent on is
    /// lost. Holds the cause.
    LinkLost(String),
    /// The box has links to upstreams, but not to this one. Holds the cause.
    UpstreamFailed(String),
    /// The box could not be reached, or cannot help. Nothing was sent.
    NoHelp,
}

/// Counts the requests that a box is sending to upstreams for others.
#[derive(Debug, Default)]
pub struct ForwardCounts {
    requests: Cell<usize>,
    bytes: Cell<usize>,
}

/// Guard that counts a request until its response head is there.
struct ForwardGuard {
    cx: Rc<EntryCx>,
    bytes: usize,
}

impl ForwardGuard {
    fn new(cx: &Rc<EntryCx>, bytes: usize) -> Option<Self> {
        let counts = &cx.forwards;
        let (requests, total) = (counts.requests.get() + 1, counts.bytes.get() + bytes);
        if requests > MAX_FORWARDS || total > MAX_FORWARD_BYTES {
            return None;
        }
        counts.requests.set(requests);
        counts.bytes.set(total);
        Some(Self { cx: cx.clone(), bytes })
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let counts = &self.cx.forwards;
        counts.requests.set(counts.requests.get() - 1);
        counts.bytes.set(counts.bytes.get() - self.bytes);
    }
}

/// Returns other boxes in the order in which they should be asked, of which `sample` are drawn.
pub(super) fn candidates(cx: &EntryCx, sample: usize) -> Vec<SocketAddr> {
    let sample = cx.membership.borrow_mut().peers(sample);
    cx.reachability.peers.borrow().order(&sample, cx.next_rotation(), clock::now())
}

/// Returns whether another box responds.
pub(super) async fn responds(cx: &EntryCx, peer: SocketAddr) -> bool {
    if cx.reachability.peers.borrow().is_responsive(peer, clock::now()) {
        return true;
    }
    let answer = cx.boxes.call::<_, ()>(peer, PING_PATH, &(), PING_TIMEOUT).await;
    answer.inspect_err(|err| log::debug!("request not forwarded: {err}")).is_ok()
}

/// Encodes a request for another box.
///
/// # Errors
///
/// Returns a description if the body is not complete.
pub(super) fn encode_action(
    req: Request<Body>,
    head_timeout: Duration,
    options: SendOptions<'_>,
) -> Result<ForwardAction, &'static str> {
    let (parts, body) = req.into_parts();
    let Body::Full(body) = body else { return Err("its body is a stream") };
    let headers = parts.headers.iter();
    Ok(ForwardAction::Send(ForwardedMessage {
        method: parts.method.to_string(),
        target: parts.uri.to_string(),
        headers: headers
            .map(|(name, value)| (name.to_string(), ByteBuf::from(value.as_bytes())))
            .collect(),
        body: ByteBuf::from(body.unwrap_or_default()),
        head_timeout,
        kind: options.kind.to_owned(),
        is_repeatable: options.is_repeatable,
    }))
}

/// Asks another box to send a request.
pub(super) async fn ask(
    cx: &EntryCx,
    peer: SocketAddr,
    upstream: &str,
    addr: SocketAddr,
    action: ForwardAction,
    timeout: Duration,
) -> PeerAnswer {
    let req = ForwardRequest { upstream: upstream.to_owned(), addr, action };
    let call = cx.boxes.request_stream(peer, FORWARD_PATH, &req, CONNECT_TIMEOUT, timeout);
    let mut res = match call.await {
        Ok(res) => res,
        Err(err) if err.is_not_run() => {
            log::debug!("request not forwarded: {err}");
            return PeerAnswer::NoHelp;
        }
        Err(err) => return PeerAnswer::MayHaveRun(format!("through {peer}: {err}")),
    };
    if let Some(framing) = res.headers_mut().remove(FORWARDED_HEADER) {
        if framing == UNFRAMED {
            // The chunks between the boxes show that the response came through whole, not that the
            // upstream completed it.
            res = res.map(|body| body.with_framing(Framing::UntilClose));
        }
        cx.metrics.count(Count::SentByPeer, "");
        return PeerAnswer::Response(res);
    }
    if res.status() != StatusCode::OK {
        log::debug!("request not forwarded: {peer} answered with {}", res.status());
        return PeerAnswer::NoHelp;
    }
    let held = cx.boxes.open_memory(Holder::BoxMessage, FORWARD_PATH);
    match read_failure(res.into_body(), held).await {
        Ok(ForwardFailure { link_lost: true, cause, .. }) => {
            PeerAnswer::LinkLost(format!("through {peer}: {cause}"))
        }
        Ok(ForwardFailure { not_run: false, cause, .. }) => {
            PeerAnswer::MayHaveRun(format!("through {peer}: {cause}"))
        }
        Ok(ForwardFailure { is_conclusive: true, cause, .. }) => {
            PeerAnswer::UpstreamFailed(format!("through {peer}: {cause}"))
        }
        Ok(ForwardFailure { cause, .. }) => {
            log::debug!("request not forwarded: {peer}: {cause}");
            PeerAnswer::NoHelp
        }
        Err(cause) => PeerAnswer::MayHaveRun(format!("through {peer}: {cause}")),
    }
}

async fn read_failure(body: ResponseBody, held: Reservation) -> Result<ForwardFailure, String> {
    let bytes = read_body(body, MAX_FAILURE, FAILURE_TIMEOUT, held).await;
    let bytes = bytes.map_err(|err| err.to_string())?;
    rmp_serde::from_slice(&bytes).map_err(|err| err.to_string())
}

/// Asks another box whether an upstream accepts connections; `None` if it does not answer.
pub(super) async fn probe(
    cx: &EntryCx,
    peer: SocketAddr,
    upstream: &str,
    addr: SocketAddr,
) -> Option<ProbeResult> {
    let action = ForwardAction::Probe;
    let req = ForwardRequest { upstream: upstream.to_owned(), addr, action };
    let answer = cx.boxes.call(peer, FORWARD_PATH, &req, PROBE_TIMEOUT).await;
    answer.inspect_err(|err| log::debug!("probe of an upstream by another box: {err}")).ok()
}

/// Answers a request of another box to reach an upstream. A request is sent at most once, and only
/// on a link of this box.
pub async fn answer(cx: &Rc<EntryCx>, parts: Parts, body: Incoming) -> Response<Body> {
    let size = hyper::body::Body::size_hint(&body).upper();
    let size = size.and_then(|size| usize::try_from(size).ok()).unwrap_or(MAX_FORWARD_BYTES);
    let Some(_guard) = ForwardGuard::new(cx, size) else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "too many requests of other boxes");
    };
    let timeout = cx.settings.timing.body_timeout;
    let message = match cx.boxes.receive(&parts, body, MAX_FORWARD_BYTES, timeout).await {
        Ok(message) => message,
        Err(refusal) => return *refusal,
    };
    // The decoded request is a copy, which is kept until the upstream has it.
    let held = cx.boxes.open_memory(Holder::BoxMessage, FORWARD_PATH);
    if let Err(err) = held.resize(message.size()) {
        log::info!("request of another box refused: {err}");
        return text_response(StatusCode::SERVICE_UNAVAILABLE, err.to_string());
    }
    let opened = message.decode::<ForwardRequest>();
    drop(message);
    let ForwardRequest { upstream, addr, action } = match opened {
        Ok(req) => req,
        Err(refusal) => return *refusal,
    };
    match action {
        ForwardAction::Probe => cx.boxes.respond(&answer_probe(cx, addr).await),
        ForwardAction::Send(message) => {
            // Delays the shutdown of the process until the whole answer has been passed on.
            let active = cx.begin_request();
            match send(cx, &upstream, addr, message, held).await {
                Ok(res) => {
                    cx.metrics.count(Count::SentForPeer, "");
                    res.map(|body| body.guarded(active))
                }
                Err(failure) => cx.boxes.respond(&failure),
            }
        }
    }
}

async fn answer_probe(cx: &EntryCx, addr: SocketAddr) -> ProbeResult {
    let now = clock::now();
    if !cx.reachability.paths.borrow_mut().is_direct(addr, now) {
        return ProbeResult { listening: Listening::Unclear, is_conclusive: false };
    }
    let listening = cx.direct_path(addr, CONNECT_TIMEOUT).listening().await;
    if listening == Listening::Yes {
        return ProbeResult { listening, is_conclusive: true };
    }
    cx.reachability.paths.borrow_mut().record_failure(addr, clock::now());
    ProbeResult { listening, is_conclusive: is_witness(cx, addr).await }
}

/// Returns whether the failure of this box at an upstream is evidence against the upstream. Tries
/// others if nothing shows that the links of this box work.
async fn is_witness(cx: &EntryCx, addr: SocketAddr) -> bool {
    let now = clock::now();
    {
        let paths = cx.reachability.paths.borrow();
        if !paths.is_link_known(addr) || paths.is_witness(addr, now) {
            return paths.is_link_known(addr);
        }
    }
    let view = cx.sync_gates();
    let others = view.pools.iter().flat_map(|pool| &pool.runners).map(|runner| runner.addr);
    let others: Vec<SocketAddr> = others.filter(|other| *other != addr).collect();
    if others.is_empty() {
        // Nothing else could show it.
        return true;
    }
    let untried: Vec<SocketAddr> = {
        let paths = cx.reachability.paths.borrow();
        others.into_iter().filter(|other| !paths.has_failed(*other, now)).collect()
    };
    let first = cx.next_rotation() % untried.len().max(1);
    let tried = untried.iter().cycle().skip(first).take(untried.len().min(MAX_TRIED_UPSTREAMS));
    let tries = tried.map(|other| async move {
        let path = cx.direct_path(*other, CONNECT_TIMEOUT);
        (*other, path.listening().await)
    });
    let found = futures_util::future::join_all(tries).await;
    let mut paths = cx.reachability.paths.borrow_mut();
    for (other, listening) in &found {
        if *listening != Listening::Yes {
            paths.record_failure(*other, now);
        }
    }
    let linked = found.iter().find(|(_, listening)| *listening == Listening::Yes);
    let Some((other, _)) = linked else { return false };
    // The failures above may be those of upstreams; one link that works shows that this box has it.
    paths.record_witness(*other, addr, clock::now())
}

/// Sends a request of another box.
async fn send(
    cx: &Rc<EntryCx>,
    upstream: &RunnerName,
    addr: SocketAddr,
    message: ForwardedMessage,
    held: Reservation,
) -> Result<Response<Body>, ForwardFailure> {
    let cannot = |cause: &str| ForwardFailure {
        not_run: true,
        is_conclusive: false,
        link_lost: false,
        cause: cause.to_owned(),
    };
    if cx.intake.get() == Intake::Closed {
        return Err(cannot("the box is stopping"));
    }
    let path = cx.direct_path(addr, CONNECT_TIMEOUT);
    let link = Link { cx: cx.clone(), name: upstream.clone(), path };
    if !cx.reachability.paths.borrow_mut().is_direct(addr, clock::now()) {
        link.probe();
        return Err(cannot("the box has no link to the upstream"));
    }
    if !cx.backoffs.borrow_mut().take(upstream, clock::now()) {
        return Err(cannot("the upstream asked the box for rest"));
    }
    let (head_timeout, kind) = (message.head_timeout, message.kind.clone());
    let options = SendOptions { kind: &kind, is_repeatable: message.is_repeatable };
    let Some(req) = decode(message, held) else {
        return Err(cannot("the request does not decode"));
    };
    let conn = match link.path.connect().await {
        Ok(conn) => conn,
        Err(err) => return Err(failure(cx, &err).await),
    };
    let connected = clock::now();
    let res = match link.send(conn, req, head_timeout, options).await {
        Ok(res) => res,
        Err(err) => return Err(failure(cx, &err).await),
    };
    // A path that was broken is only tried again by probes, so there is no change to log.
    cx.reachability.paths.borrow_mut().record_success(addr, connected);
    record_backoff(cx, upstream, &res, connected);
    Ok(forwarded_response(res))
}

async fn failure(cx: &EntryCx, err: &SendError) -> ForwardFailure {
    let not_run = err.is_not_run();
    if not_run {
        cx.reachability.paths.borrow_mut().record_failure(err.peer, clock::now());
    }
    let is_conclusive = not_run && is_witness(cx, err.peer).await;
    let link_lost = err.step == SendStep::LinkLost;
    ForwardFailure { not_run, is_conclusive, link_lost, cause: err.to_string() }
}

/// Records the backoff that the upstream asks for. It may mean the box that sent the request, so
/// both keep it; other signals are recorded by the box that took the request.
fn record_backoff(cx: &EntryCx, upstream: &str, res: &Response<ResponseBody>, sent: Instant) {
    let mut backoffs = cx.backoffs.borrow_mut();
    match parse_backoff(res.status(), res.headers()) {
        Some(backoff) => backoffs.start(upstream, backoff, clock::now()),
        None => backoffs.record_answer(upstream, sent),
    }
}

/// Decodes a request, whose body keeps `held` until the upstream has it.
fn decode(message: ForwardedMessage, held: Reservation) -> Option<Request<Body>> {
    let mut headers = HeaderMap::with_capacity(message.headers.len());
    for (name, value) in message.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    let body = message.body.into_vec();
    let body = if body.is_empty() { Body::empty() } else { Body::from(held.attach(body)) };
    let mut req = Request::new(body);
    *req.method_mut() = message.method.parse().ok()?;
    *req.uri_mut() = message.target.parse().ok()?;
    *req.headers_mut() = headers;
    Some(req)
}

/// Builds the response to another box from that of an upstream, whose body is passed on as it
/// arrives. If it breaks off, so does the response.
fn forwarded_response(res: Response<ResponseBody>) -> Response<Body> {
    let (mut parts, body) = res.into_parts();
    let framing = match body.framing() {
        Framing::Delimited => FRAMED,
        Framing::UntilClose => UNFRAMED,
    };
    strip_hop_by_hop(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    parts.headers.insert(FORWARDED_HEADER, HeaderValue::from_static(framing));
    Response::from_parts(parts, Body::from(body))
}
