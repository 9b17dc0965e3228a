//! Client for one upstream: sends directly while this box has a link, else through other boxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{
    Body, Holder, Listening, MemoryBudget, Origin, Reservation, ResponseBody, SendError, SendStep,
    Upstream, clock,
};
use http::{Request, Response};

use super::messages::{ForwardAction, ProbeResult};
use super::task::{self, PeerAnswer};
use super::watch::{Link, SendOptions};
use crate::entry::EntryCx;
use crate::ids::RunnerName;

/// Other boxes that are asked for one request.
const MAX_PEERS: usize = 3;
/// Other boxes that are drawn for one request.
const PEER_SAMPLE: usize = 6;
/// Time after which no further box is asked for a request. One that cannot connect answers within
/// its own connect timeout, and the request may still be served by another upstream.
const PEER_SEARCH_TIMEOUT: Duration = Duration::from_millis(250);

/// Encodes a request for one attempt, given the time left until its response is of no more use.
pub type Encode<'a> = &'a dyn Fn(Duration) -> Request<Body>;

/// Time for one request.
#[derive(Clone, Copy)]
struct TimeBudget {
    /// Time limit for receiving the response head, from the sending of the request on. The caller
    /// of the client has a time limit for all attempts.
    timeout: Duration,
    /// Time at which the response is of no more use.
    end: Instant,
}

impl TimeBudget {
    fn left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }
}

/// Client for one upstream.
#[derive(Clone)]
pub struct UpstreamClient {
    upstream: Upstream,
    detour: Option<Detour>,
    memory: MemoryBudget,
}

/// What is needed to reach the upstream through other boxes.
#[derive(Clone)]
struct Detour {
    cx: Rc<EntryCx>,
    name: RunnerName,
}

/// Result of the search for a box that reaches the upstream.
enum Search {
    /// A box sent the request.
    Sent(Result<Response<ResponseBody>, SendError>),
    /// A box that has links to other upstreams failed as well. Holds the cause.
    UpstreamFailed(String),
    /// No box could tell.
    NoPeer,
}

impl UpstreamClient {
    /// Creates a client that reaches the upstream only on the links of this box.
    pub fn direct(upstream: Upstream, memory: MemoryBudget) -> Self {
        Self { upstream, detour: None, memory }
    }

    /// Creates a client that also reaches the upstream through other boxes.
    pub fn new(cx: &Rc<EntryCx>, name: &str, upstream: Upstream) -> Self {
        let detour = Some(Detour { cx: cx.clone(), name: name.to_owned() });
        Self { upstream, detour, memory: cx.boxes.memory().clone() }
    }

    /// Returns the address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.upstream.addr
    }

    /// Opens a reservation for an answer of the upstream.
    pub fn open_answer(&self, path: &str) -> Reservation {
        let origin = Origin { path: path.to_owned(), ..Origin::peer(self.upstream.addr) };
        self.memory.open(Holder::Answer, origin)
    }

    /// Sends a request and waits up to `timeout` for the response head.
    ///
    /// Dropping the returned future or the response body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request can have reached the upstream.
    pub async fn send(
        &self,
        req: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let (parts, body) = req.into_parts();
        let bytes = match body {
            Body::Full(bytes) => bytes,
            body @ (Body::Stream(_)
            | Body::Incoming(_)
            | Body::UntilClose(_)
            | Body::Guarded(..)) => {
                // A body that can be read only once is sent only once.
                return self.upstream.send(Request::from_parts(parts, body), timeout).await;
            }
        };
        let req = Request::from_parts(parts, bytes);
        let encode = |_| req.clone().map(Body::Full);
        self.send_encoded(&encode, timeout, SendOptions::default()).await
    }

    /// Sends a request that is encoded for each attempt to send it, of which only the last one can
    /// have reached the upstream. Waits up to `timeout` for the response head. A request that may be
    /// sent again is abandoned if its link turns out to be lost.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request can have reached the upstream.
    pub async fn send_encoded(
        &self,
        encode: Encode<'_>,
        timeout: Duration,
        options: SendOptions<'_>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let budget = TimeBudget { timeout, end: clock::now() + timeout };
        let Some(detour) = &self.detour else {
            return self.send_directly(encode, budget, options).await;
        };
        let paths = &detour.cx.reachability.paths;
        let is_direct = paths.borrow_mut().is_direct(self.addr(), clock::now());
        let failed = if is_direct {
            match self.send_directly(encode, budget, options).await {
                Err(err) if err.is_not_run() => Some(err),
                result => return result,
            }
        } else {
            self.probe();
            None
        };
        match self.search_peers(detour, encode, budget, options).await {
            Search::Sent(result) => result,
            Search::UpstreamFailed(cause) => {
                Err(SendError { step: SendStep::Connect, peer: self.addr(), cause })
            }
            Search::NoPeer => match failed {
                Some(err) => Err(detour.without_witness(err)),
                None => {
                    let sent = self.send_directly(encode, budget, options).await;
                    sent.map_err(|err| detour.without_witness(err))
                }
            },
        }
    }

    /// Returns whether the upstream listens, by the word of another box where this one cannot tell.
    pub async fn listening(&self) -> Listening {
        let Some(detour) = &self.detour else { return self.upstream.listening().await };
        let candidates = task::candidates(&detour.cx, PEER_SAMPLE);
        let is_linked = detour.cx.reachability.paths.borrow().is_link_known(self.addr());
        let listening = match is_linked || candidates.is_empty() {
            true => self.upstream.listening().await,
            false => Listening::Unclear,
        };
        if listening == Listening::Yes || candidates.is_empty() {
            return listening;
        }
        let mut all_refused = listening == Listening::No;
        let asked = candidates.into_iter().take(MAX_PEERS);
        let mut probes: FuturesUnordered<_> =
            asked.map(|peer| task::probe(&detour.cx, peer, &detour.name, self.addr())).collect();
        while let Some(result) = probes.next().await {
            match result {
                Some(ProbeResult { listening: Listening::Yes, .. }) => return Listening::Yes,
                Some(ProbeResult { listening, is_conclusive: true }) => return listening,
                Some(ProbeResult { listening: Listening::No, .. }) => {}
                Some(_) | None => all_refused = false,
            }
        }
        // Where all upstreams are down, no box is a witness, but all see the same.
        if all_refused { Listening::No } else { Listening::Unclear }
    }

    async fn send_directly(
        &self,
        encode: Encode<'_>,
        budget: TimeBudget,
        options: SendOptions<'_>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let conn = self.upstream.connect().await.inspect_err(|_| self.record_failure())?;
        let connected = clock::now();
        let req = encode(budget.left(connected));
        let sent = match self.link() {
            Some(link) => link.send(conn, req, budget.timeout, options).await,
            None => conn.send(req, budget.timeout).await,
        };
        match &sent {
            Ok(_) => self.record_success(connected),
            Err(err) if err.step == SendStep::InvalidResponse => self.record_success(connected),
            Err(err) if err.step == SendStep::Unsent => self.record_failure(),
            Err(_) if clock::now() < budget.end => self.probe(),
            Err(_) => {}
        }
        sent
    }

    /// Has another box send the request.
    async fn search_peers(
        &self,
        detour: &Detour,
        encode: Encode<'_>,
        budget: TimeBudget,
        options: SendOptions<'_>,
    ) -> Search {
        let (cx, started) = (&detour.cx, clock::now());
        for peer in task::candidates(cx, PEER_SAMPLE).into_iter().take(MAX_PEERS) {
            let now = clock::now();
            if now >= budget.end || now >= started + PEER_SEARCH_TIMEOUT {
                break;
            }
            if !task::responds(cx, peer).await {
                cx.reachability.peers.borrow_mut().record_no_help(peer, clock::now());
                continue;
            }
            let req = encode(budget.left(clock::now()));
            // The action is a copy of the request, which is kept until the other box has answered.
            let held = cx.boxes.open_memory(Holder::BoxMessage, task::FORWARD_PATH);
            if let Err(err) = held.resize(body_len(&req)) {
                log::info!(upstream = detour.name.as_str(); "request not forwarded: {err}");
                break;
            }
            let action = match task::encode_action(req, budget.timeout, options) {
                Ok(action) => action,
                Err(cause) => {
                    log::warn!(upstream = detour.name.as_str(); "request not forwarded: {cause}");
                    break;
                }
            };
            match self.ask(detour, peer, action, budget.timeout).await {
                PeerAnswer::Response(res) => return Search::Sent(Ok(res)),
                PeerAnswer::MayHaveRun(cause) => {
                    let step = SendStep::AwaitHead;
                    return Search::Sent(Err(SendError { step, peer: self.addr(), cause }));
                }
                PeerAnswer::LinkLost(cause) => {
                    let step = SendStep::LinkLost;
                    return Search::Sent(Err(SendError { step, peer: self.addr(), cause }));
                }
                PeerAnswer::UpstreamFailed(cause) => return Search::UpstreamFailed(cause),
                PeerAnswer::NoHelp => {}
            }
        }
        Search::NoPeer
    }

    async fn ask(
        &self,
        detour: &Detour,
        peer: SocketAddr,
        action: ForwardAction,
        timeout: Duration,
    ) -> PeerAnswer {
        let (cx, addr) = (&detour.cx, self.addr());
        let answer = task::ask(cx, peer, &detour.name, addr, action, timeout).await;
        let reachability = &cx.reachability;
        match &answer {
            PeerAnswer::Response(_) => {
                reachability.peers.borrow_mut().record_help(peer, clock::now());
                let change =
                    reachability.paths.borrow_mut().record_peer_success(addr, clock::now());
                detour.link(self.upstream).log_change(change);
            }
            PeerAnswer::UpstreamFailed(_) => {
                reachability.paths.borrow_mut().record_peer_failure(addr);
            }
            PeerAnswer::NoHelp | PeerAnswer::MayHaveRun(_) | PeerAnswer::LinkLost(_) => {
                reachability.peers.borrow_mut().record_no_help(peer, clock::now());
            }
        }
        answer
    }

    fn link(&self) -> Option<Link> {
        self.detour.as_ref().map(|detour| detour.link(self.upstream))
    }

    fn probe(&self) {
        if let Some(link) = self.link() {
            link.probe();
        }
    }

    fn record_failure(&self) {
        let Some(detour) = &self.detour else { return };
        detour.cx.reachability.paths.borrow_mut().record_failure(self.addr(), clock::now());
    }

    /// Records a success on a connection that was opened at `connected`.
    fn record_success(&self, connected: Instant) {
        let Some(detour) = &self.detour else { return };
        let change =
            detour.cx.reachability.paths.borrow_mut().record_success(self.addr(), connected);
        detour.link(self.upstream).log_change(change);
    }
}

impl Detour {
    /// Returns the error of a request that this box could not send while no other box could tell
    /// whether the upstream has failed. A box without others relies on its own view.
    fn without_witness(&self, err: SendError) -> SendError {
        let boxes = self.cx.membership.borrow().serving_boxes().count();
        let step = if boxes > 1 && err.is_not_run() { SendStep::NoPath } else { err.step };
        SendError { step, ..err }
    }

    fn link(&self, path: Upstream) -> Link {
        Link { cx: self.cx.clone(), name: self.name.clone(), path }
    }
}

/// Returns the size of the body of a request that can be sent again, in bytes.
fn body_len(req: &Request<Body>) -> usize {
    match req.body() {
        Body::Full(bytes) => bytes.as_ref().map_or(0, Bytes::len),
        Body::Stream(_) | Body::Incoming(_) | Body::UntilClose(_) | Body::Guarded(..) => 0,
    }
}
