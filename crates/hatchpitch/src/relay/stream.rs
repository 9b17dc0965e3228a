//! Passes an answer on while it is made.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_net::{Body, BodyError, BodySender, read_stream};
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;

use super::events::EventSplitter;
use super::request::HostedRequest;
use super::run::{Relay, strip_connection_headers};
use crate::config::hosted::HostedService;
use crate::entry::context::ActiveGuard;
use crate::grants::Slot;
use crate::metrics::{Count, STALL_THRESHOLD, Timing};
use crate::routing::Verdict;

/// Pieces buffered between upstream and caller.
const BUFFERED_PIECES: usize = 32;
/// Longest time until a caller that left is noticed while the upstream says nothing.
const CALLER_LOOK: Duration = Duration::from_millis(100);

/// Why a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum End {
    /// The upstream ended it.
    Whole,
    /// The caller left, or read too slowly.
    CallerLeft,
    /// The upstream broke it off.
    Broken(String),
    /// The time of the request is over.
    OutOfTime,
}

/// Passes a stream of events on, whole events only.
pub(super) fn pass_on(
    relay: &Rc<Relay>,
    req: Rc<HostedRequest>,
    slot: Slot,
    mut parts: Parts,
    body: Incoming,
) -> Response<Body> {
    strip_connection_headers(&mut parts);
    let (tx, out) = Body::stream(BUFFERED_PIECES);
    let stream = EventStream::new(relay.clone(), req, slot);
    compio::runtime::spawn(stream.run(body, tx)).detach();
    Response::from_parts(parts, out)
}

struct EventStream {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    slot: Slot,
    splitter: EventSplitter,
    last_progress: Instant,
    longest_gap: Duration,
    /// Keeps the process running until the stream has ended.
    _active: ActiveGuard,
}

impl EventStream {
    fn new(relay: Rc<Relay>, req: Rc<HostedRequest>, slot: Slot) -> Self {
        let active = relay.cx.begin();
        Self {
            relay,
            req,
            slot,
            splitter: EventSplitter::default(),
            last_progress: Instant::now(),
            longest_gap: Duration::ZERO,
            _active: active,
        }
    }

    async fn run(mut self, mut body: Incoming, mut tx: BodySender) {
        let end = self.pass(&mut body, &mut tx).await;
        drop(body);
        let tokens = self.splitter.events() * tokens_per_event(&self.relay, &self.slot);
        match &end {
            End::Whole => {
                self.relay.cx.metrics.count(Count::Done, &self.req.route.name);
                self.slot.finish(Verdict::Succeeded, Some(tokens));
            }
            End::Broken(_) => {
                self.slot.finish(Verdict::Released, None);
                tx.abort();
            }
            End::CallerLeft => self.relay.cx.metrics.count(Count::CallerLeft, &self.req.route.name),
            End::OutOfTime => tx.abort(),
        }
        self.log(&end);
    }

    async fn pass(&mut self, body: &mut Incoming, tx: &mut BodySender) -> End {
        loop {
            if tx.is_closed() {
                return End::CallerLeft;
            }
            if Instant::now() >= self.req.end() {
                return End::OutOfTime;
            }
            let piece = match compio::time::timeout(CALLER_LOOK, read_stream(body)).await {
                Err(_) => continue,
                Ok(Ok(Some(piece))) => self.splitter.push(&piece),
                Ok(Ok(None)) => {
                    if let Some(rest) = self.splitter.rest() {
                        // The upstream ended the message itself, so what is left belongs to it.
                        let _ = tx.send(rest).await;
                    }
                    return End::Whole;
                }
                Ok(Err(err)) => return End::Broken(err.to_string()),
            };
            if let Some(events) = piece {
                self.note_progress();
                if let Some(end) = self.deliver(tx, events).await {
                    return end;
                }
            }
        }
    }

    async fn deliver(&self, tx: &mut BodySender, events: Bytes) -> Option<End> {
        let limit = self.relay.cx.settings.timing.slow_caller;
        match compio::time::timeout(limit, tx.send(events)).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::CallerLeft),
            Err(_) => {
                self.relay.cx.metrics.count(Count::CallerSlow, &self.req.route.name);
                Some(End::CallerLeft)
            }
        }
    }

    fn note_progress(&mut self) {
        let (metrics, route) = (&self.relay.cx.metrics, &self.req.route.name);
        let priority = self.req.priority();
        let gap = self.last_progress.elapsed();
        if self.splitter.events() == 1 {
            metrics.time(Timing::FirstToken, route, priority, self.req.received.elapsed());
        } else {
            metrics.time(Timing::TokenGap, route, priority, gap);
            self.longest_gap = self.longest_gap.max(gap);
            if gap > STALL_THRESHOLD {
                metrics.time(Timing::Stall, route, priority, gap);
            }
        }
        self.last_progress = Instant::now();
    }

    fn log(&self, end: &End) {
        let (outcome, cause) = match end {
            End::Whole => ("whole", ""),
            End::CallerLeft => ("caller_left", ""),
            End::Broken(cause) => ("broken", cause.as_str()),
            End::OutOfTime => ("out_of_time", ""),
        };
        log::info!(
            request = self.req.id.as_str(), route = self.req.route.name.as_str(),
            upstream = self.slot.runner.as_str(), outcome = outcome, cause = cause,
            events = self.splitter.events(), longest_gap_ms = self.longest_gap.as_millis(),
            since_last_ms = self.last_progress.elapsed().as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "stream ended"
        );
    }
}

fn tokens_per_event(relay: &Relay, slot: &Slot) -> u64 {
    let roster = relay.cx.upstreams.roster.borrow();
    let service = roster.get(&slot.runner).map(|record| record.service.clone());
    let view = relay.cx.config.view();
    let spec = service.and_then(|name| view.hosted_services.get(&name).cloned());
    spec.as_deref()
        .and_then(|s: &HostedService| s.engine.as_ref())
        .map_or(1, |e| e.tokens_per_event)
}

/// Passes on an answer that is too large to be held.
pub(super) fn pass_rest(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    mut slot: Slot,
    mut parts: Parts,
    first: Bytes,
    mut body: Incoming,
) -> Response<Body> {
    strip_connection_headers(&mut parts);
    let (mut tx, out) = Body::stream(BUFFERED_PIECES);
    let (active, end) = (relay.cx.begin(), req.end());
    compio::runtime::spawn(async move {
        let left = end.saturating_duration_since(Instant::now());
        match compio::time::timeout(left, pass_pieces(first, &mut body, &mut tx)).await {
            Ok(Ok(())) => slot.finish(Verdict::Succeeded, None),
            Ok(Err(err)) => {
                log::info!(upstream = slot.runner.as_str(); "large answer not passed on: {err}");
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
