//! Forwards a stream of events while it is produced. A migrated generation continues over a link to
//! another runner; a link is the streaming response of one runner.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_net::{
    Body, BodySender, Framing, Holder, MemoryError, Origin, Reservation, ResponseBody, clock,
    read_stream,
};
use http::Response;

use super::context::Relay;
use super::ending::{Ending, STREAM_STATE_TIMEOUT, judge_open_end, open_end_verdict};
use super::events::EventSplitter;
use super::request::HostedRequest;
use super::response::{self, adapt_head};
use crate::config::hosted::{EngineSpec, RunPolicy};
use crate::entry::context::ActiveGuard;
use crate::grants::Slot;
use crate::ids::{RunnerName, ServiceName};
use crate::metrics::{Count, STALL_THRESHOLD, Timing};
use crate::moves::mover::Moving;
use crate::quarantine::Causes;
use crate::quarantine::observer::{self, RunLocation, UpstreamState};
use crate::quarantine::state::START_WINDOW;
use crate::routing::Verdict;

/// Chunks buffered between upstream and caller.
pub(super) const BUFFERED_CHUNKS: usize = 32;
/// Memory of the buffers of a stream, in bytes.
const STREAM_BYTES: usize = 12 * 1024;
/// Size up to which the incomplete event of a stream is part of the memory of its connection, in
/// bytes.
const USUAL_EVENT_BYTES: usize = 4 * 1024;
/// Interval at which the connection to the caller is checked while the upstream sends nothing.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The upstream ended it regularly.
    Whole,
    /// Its connection ended between two events, and nothing shows whether the upstream ended it.
    /// Holds the state of the upstream.
    Open(UpstreamState),
    /// The caller disconnected, or read too slowly.
    CallerLeft,
    /// The upstream broke it off. Holds the cause.
    Broken(String),
    /// The time limit of the request was reached.
    OutOfTime,
}

/// Reserves the memory of the buffers of a stream before its request runs, since the request could not
/// be refused later. Returns `None` for a request that asks for no stream.
pub(super) fn reserve(
    relay: &Relay,
    req: &HostedRequest,
) -> Result<Option<Reservation>, MemoryError> {
    if req.route.runs != RunPolicy::Stream {
        return Ok(None);
    }
    let origin = Origin { peer: None, request: req.id.clone(), path: req.route.name.clone() };
    relay.cx.boxes.memory().reserve(Holder::Stream, origin, STREAM_BYTES).map(Some)
}

/// Forwards a stream of events. Only complete events are sent to the caller.
pub(super) fn forward(
    relay: &Rc<Relay>,
    req: Rc<HostedRequest>,
    causes: Rc<Causes>,
    service: &str,
    slot: Slot,
    res: Response<ResponseBody>,
    held: Option<Reservation>,
) -> Response<Body> {
    let (mut parts, body) = res.into_parts();
    let framing = body.framing();
    adapt_head(&mut parts);
    let queued = response::open_memory(relay, &req, slot.addr, Holder::Answer);
    let (tx, out) = Body::stream(BUFFERED_CHUNKS, queued);
    let mut stream = EventStream::new(relay.clone(), req, causes, service.to_owned(), slot, held);
    stream.start(framing);
    let out = out.framed(stream.caller_framing);
    compio::runtime::spawn(stream.run(body, tx)).detach();
    Response::from_parts(parts, out)
}

pub(super) struct EventStream {
    pub(super) relay: Rc<Relay>,
    pub(super) req: Rc<HostedRequest>,
    pub(super) causes: Rc<Causes>,
    pub(super) slot: Slot,
    pub(super) service: ServiceName,
    pub(super) splitter: EventSplitter,
    /// Memory of the incomplete event in the splitter.
    event_held: Reservation,
    /// Memory of the buffers.
    _held: Option<Reservation>,
    pub(super) moving: Option<Moving>,
    /// Framing of the response to the caller.
    pub(super) caller_framing: Framing,
    /// Framing of the response of the current link.
    pub(super) framing: Framing,
    /// When the head of the current link was received.
    pub(super) link_start: Instant,
    /// Number of migrations started.
    pub(super) moves: u32,
    /// Earliest time of the next migration.
    pub(super) next_move: Instant,
    /// Version of the roster that `leaving` was read from.
    pub(super) roster_version: u64,
    /// When the runner was found to be about to shut down; `None` while it is not.
    pub(super) leaving_since: Option<Instant>,
    /// Time from the receipt of the request to its first event.
    pub(super) first_event: Option<Duration>,
    pub(super) last_progress: Instant,
    pub(super) longest_gap: Duration,
    /// Engine that the longest gap is due to, and whether it fell across a move.
    pub(super) longest_gap_at: (RunnerName, bool),
    /// Engine that sent the last event.
    pub(super) last_engine: RunnerName,
    /// When the run was told to stop, until the first event after its resumption.
    pub(super) stopped_at: Option<Instant>,
    /// Whether an event came on the current link.
    pub(super) link_has_events: bool,
    /// Whether the run has gone on for longer than its prompt takes to crash a runner.
    has_outlived_start: bool,
    /// Delays the shutdown of the process until the stream has ended.
    _active: ActiveGuard,
}

/// How one link to a runner ended.
enum LinkEnd {
    /// The stream is over; no other link follows.
    Over(StreamEnd),
    /// The runner closed the link, or it broke. A migration may open another one.
    Closed(StreamEnd),
}

impl EventStream {
    fn new(
        relay: Rc<Relay>,
        req: Rc<HostedRequest>,
        causes: Rc<Causes>,
        service: ServiceName,
        slot: Slot,
        held: Option<Reservation>,
    ) -> Self {
        let active = relay.cx.begin_request();
        let (now, runner) = (clock::now(), slot.runner.clone());
        let splitter = EventSplitter::new(relay.cx.settings.limits.max_event);
        let event_held = response::open_memory(&relay, &req, slot.addr, Holder::Event);
        Self {
            relay,
            req,
            causes,
            slot,
            service,
            splitter,
            event_held,
            _held: held,
            moving: None,
            caller_framing: Framing::Delimited,
            framing: Framing::Delimited,
            link_start: now,
            moves: 0,
            next_move: now,
            roster_version: 0,
            leaving_since: None,
            stopped_at: None,
            first_event: None,
            last_progress: now,
            longest_gap: Duration::ZERO,
            longest_gap_at: (runner.clone(), false),
            last_engine: runner,
            link_has_events: false,
            has_outlived_start: false,
            _active: active,
        }
    }

    /// Sets the framing of the first link and that of the response to the caller. A migration may
    /// lead to a runner that doesn't mark the end of its response; by then, the caller has the head
    /// of its own.
    fn start(&mut self, framing: Framing) {
        self.set_framing(framing);
        let now = clock::now();
        let may_become_open =
            self.may_migrate() && self.relay.open_streams.borrow().contains(&self.service, now);
        self.caller_framing = if may_become_open { Framing::UntilClose } else { framing };
    }

    /// Sets the framing of the current link.
    pub(super) fn set_framing(&mut self, framing: Framing) {
        self.framing = framing;
        if framing.is_until_close() {
            self.relay.open_streams.borrow_mut().record(&self.service, clock::now());
        }
    }

    async fn run(mut self, body: ResponseBody, mut tx: BodySender) {
        let end = self.forward_links(body, &mut tx).await;
        let tokens = self.tokens_produced();
        match &end {
            StreamEnd::Whole => {
                self.relay.cx.metrics.count(Count::Done, &self.req.route.name);
                self.slot.finish(Verdict::Succeeded, Some(tokens));
                tx.finish();
            }
            StreamEnd::Open(state) => {
                self.relay.cx.metrics.count(Count::OpenEnded, &self.req.route.name);
                // The length is not learned, since the generation may have been cut short.
                self.slot.finish(open_end_verdict(*state), None);
                tx.finish();
            }
            StreamEnd::Broken(_) => {
                self.slot.finish(Verdict::Released, None);
            }
            StreamEnd::CallerLeft => {
                self.relay.cx.metrics.count(Count::CallerLeft, &self.req.route.name)
            }
            StreamEnd::OutOfTime => {}
        }
        self.log(&end);
    }

    /// Forwards events over one link after another, as the generation is migrated.
    async fn forward_links(&mut self, mut body: ResponseBody, tx: &mut BodySender) -> StreamEnd {
        loop {
            let closed = match self.forward_link(&mut body, tx).await {
                LinkEnd::Over(end) => return end,
                LinkEnd::Closed(end) => end,
            };
            body = match self.open_next_link(&closed).await {
                Ok(Some(next)) => next,
                Ok(None) => return self.finish_link(closed, tx).await,
                Err(cause) => return StreamEnd::Broken(cause),
            };
        }
    }

    async fn forward_link(&mut self, body: &mut ResponseBody, tx: &mut BodySender) -> LinkEnd {
        loop {
            if tx.is_closed() {
                return LinkEnd::Over(StreamEnd::CallerLeft);
            }
            if clock::now() >= self.req.end() {
                return LinkEnd::Over(StreamEnd::OutOfTime);
            }
            self.poll_move();
            let chunk = match compio::time::timeout(CALLER_POLL_INTERVAL, read_stream(body)).await {
                Err(_) => continue,
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) => return LinkEnd::Closed(self.regular_end()),
                Ok(Err(err)) => return LinkEnd::Closed(StreamEnd::Broken(err.to_string())),
            };
            let was_in_pieces = self.splitter.is_in_pieces();
            let events = self.splitter.push(&chunk).or_else(|| self.piece_without_room());
            let Some(events) = events else { continue };
            if self.splitter.is_in_pieces() && !was_in_pieces {
                self.log_large_event();
            }
            if self.splitter.out_of_order() {
                return LinkEnd::Over(StreamEnd::Broken("events out of order".to_owned()));
            }
            self.note_progress();
            if let Some(end) = self.deliver(tx, events).await {
                return LinkEnd::Over(end);
            }
            self.reserve_event();
        }
    }

    /// Reserves the memory of the incomplete event. Returns a piece of it if there is no room.
    fn piece_without_room(&mut self) -> Option<Bytes> {
        if self.reserve_event() { None } else { self.splitter.take_piece() }
    }

    /// Reserves the memory of the incomplete event; returns whether there is room.
    fn reserve_event(&self) -> bool {
        let buffered = self.splitter.buffered();
        let is_usual = buffered <= USUAL_EVENT_BYTES && self.event_held.bytes() == 0;
        is_usual || self.event_held.resize(buffered).is_ok()
    }

    fn log_large_event(&self) {
        log::warn!(
            request = self.req.id.as_str(), route = self.req.route.name.as_str(),
            upstream = self.slot.runner.as_str(), events = self.splitter.events(),
            limit = self.relay.cx.settings.limits.max_event;
            "an event is passed on in pieces, as it exceeds the limit or memory is short"
        );
    }

    /// Returns how a link ended whose connection or message ended in order.
    fn regular_end(&self) -> StreamEnd {
        match self.framing {
            Framing::Delimited => StreamEnd::Whole,
            Framing::UntilClose if self.splitter.is_inside_event() => {
                StreamEnd::Broken("the connection ended inside an event".to_owned())
            }
            Framing::UntilClose => StreamEnd::Open(UpstreamState::Unclear),
        }
    }

    /// Ends the stream as its last link ended.
    async fn finish_link(&mut self, closed: StreamEnd, tx: &mut BodySender) -> StreamEnd {
        let end = match closed {
            StreamEnd::Open(_) => self.judge_open_end().await,
            end => end,
        };
        match &end {
            StreamEnd::Whole => observer::record_answer(&self.relay.cx, &self.causes),
            StreamEnd::Broken(_) => self.note_break(Some(self.link_start)),
            _ => {}
        }
        if matches!(end, StreamEnd::Whole | StreamEnd::Open(_))
            && let Some(remainder) = self.splitter.take_remainder()
        {
            // The remaining bytes belong to the message of the upstream.
            let _ = tx.send(remainder).await;
        }
        end
    }

    /// Judges the end of a link that ended with its connection.
    async fn judge_open_end(&self) -> StreamEnd {
        let place = RunLocation { upstream: &self.slot.runner, addr: self.slot.addr };
        let started = Some(self.link_start);
        let limit = self.req.time_left(clock::now()).min(STREAM_STATE_TIMEOUT);
        let ending = judge_open_end(&self.relay.cx, place, &self.causes, started, limit).await;
        match ending.at_announced() {
            Ending::Complete => StreamEnd::Whole,
            Ending::Truncated(cause) => StreamEnd::Broken(cause.to_owned()),
            Ending::Open(state) if self.caller_framing.is_until_close() => StreamEnd::Open(state),
            Ending::Open(_) => {
                // The end of a framed response would tell the caller that it is complete.
                let cause = "the runner it was migrated to did not mark its end";
                StreamEnd::Broken(cause.to_owned())
            }
        }
    }

    /// Records that the runner broke off its run. `started` is when the run is known to have
    /// started there, if at all.
    pub(super) fn note_break(&self, started: Option<Instant>) {
        let place = RunLocation { upstream: &self.slot.runner, addr: self.slot.addr };
        observer::record_interruption(&self.relay.cx, place, &self.causes, started);
    }

    async fn deliver(&self, tx: &mut BodySender, events: Bytes) -> Option<StreamEnd> {
        let limit = self.relay.cx.settings.timing.slow_caller;
        let counted = self.event_held.bytes();
        let sent = tx.send_from(events, &self.event_held, counted);
        match compio::time::timeout(limit, sent).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(StreamEnd::CallerLeft),
            Err(_) => {
                self.relay.cx.metrics.count(Count::CallerSlow, &self.req.route.name);
                Some(StreamEnd::CallerLeft)
            }
        }
    }

    fn note_progress(&mut self) {
        let gap = clock::since(self.last_progress);
        self.record_pace(gap);
        if !self.has_outlived_start
            && self.link_has_events
            && clock::since(self.link_start) >= START_WINDOW
        {
            self.has_outlived_start = true;
            observer::record_progress(&self.relay.cx, &self.causes);
        }
        let (metrics, route) = (&self.relay.cx.metrics, &self.req.route.name);
        let priority = self.req.priority();
        if self.first_event.is_none() {
            self.first_event = Some(clock::since(self.req.received));
            self.slot.record_first_token();
            metrics.time(Timing::FirstToken, route, priority, clock::since(self.req.received));
        } else {
            if let Some(stopped_at) = self.stopped_at.take() {
                metrics.time(Timing::MovePause, route, priority, gap);
                log::info!(
                    request = self.req.id.as_str(), upstream = self.slot.runner.as_str(),
                    moves = self.moves, pause_ms = gap.as_millis(),
                    since_stop_ms = clock::since(stopped_at).as_millis();
                    "first event after a move"
                );
            }
            metrics.time(Timing::TokenGap, route, priority, gap);
            if gap > self.longest_gap {
                // A gap across a move is due to the engine that the stream left.
                self.longest_gap = gap;
                self.longest_gap_at = (self.last_engine.clone(), !self.link_has_events);
            }
            if gap > STALL_THRESHOLD {
                metrics.time(Timing::Stall, route, priority, gap);
            }
        }
        self.link_has_events = true;
        self.last_engine.clone_from(&self.slot.runner);
        self.last_progress = clock::now();
    }

    /// Records the pace of the engine for its owner. The gap before the first event of a link is not
    /// a gap between two events of one engine.
    fn record_pace(&self, gap: Duration) {
        let mut pace = self.relay.cx.pace.borrow_mut();
        if !pace.is_enabled() || self.req.generation.is_none() {
            return;
        }
        if self.first_event.is_none() {
            let took = self.slot.held_for();
            pace.record_first(&self.service, &self.slot.runner, self.slot.id(), took);
        } else if self.link_has_events {
            pace.record_gap(&self.service, &self.slot.runner, gap, clock::now());
            let priority = self.req.priority();
            self.relay.cx.metrics.time(Timing::PaceGap, &self.service, priority, gap);
        }
    }

    pub(super) fn tokens_produced(&self) -> u64 {
        self.splitter.events().saturating_mul(self.relay.cx.event_tokens(&self.service))
    }

    pub(super) fn engine(&self) -> Option<EngineSpec> {
        self.relay.cx.engine(&self.service)
    }

    fn log(&self, end: &StreamEnd) {
        let (outcome, cause) = match end {
            StreamEnd::Whole => ("whole", ""),
            StreamEnd::Open(_) => ("open", ""),
            StreamEnd::CallerLeft => ("caller_left", ""),
            StreamEnd::Broken(cause) => ("broken", cause.as_str()),
            StreamEnd::OutOfTime => ("out_of_time", ""),
        };
        log::info!(
            request = self.req.id.as_str(), content:% = self.causes.content(),
            route = self.req.route.name.as_str(), upstream = self.slot.runner.as_str(), outcome = outcome, cause = cause,
            framed = !self.framing.is_until_close(), events = self.splitter.events(), moves = self.moves,
            leaving = self.leaving_since.is_some(),
            first_event_ms = self.first_event.unwrap_or_default().as_millis(),
            longest_gap_ms = self.longest_gap.as_millis(),
            longest_gap_upstream = self.longest_gap_at.0.as_str(), longest_gap_moved = self.longest_gap_at.1,
            since_last_ms = clock::since(self.last_progress).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "stream ended"
        );
    }
}
