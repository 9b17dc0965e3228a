//! Passes a stream of events on while it is made, from one runner after another if it is moved.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch_net::{Body, BodySender, SendError, clock, is_framed, read_stream};
use http::Response;
use http::response::Parts;
use hyper::body::Incoming;

use super::answer::for_caller;
use super::dialect::{Attempt, Reading, Resume};
use super::events::EventSplitter;
use super::request::HostedRequest;
use super::run::Relay;
use crate::config::hosted::EngineSpec;
use crate::entry::context::ActiveGuard;
use crate::grants::Slot;
use crate::ids::ServiceName;
use crate::metrics::{Count, STALL_THRESHOLD, Timing};
use crate::moves::mover::Moving;
use crate::moves::{self, MoveOutcome, Moved, SourceRunner};
use crate::quarantine::ContentId;
use crate::quarantine::observer::{self, RunLocation};
use crate::registry::Phase;
use crate::routing::Verdict;
use crate::upstream_heads::task as upstream_heads;

/// Pieces buffered between upstream and caller.
pub(super) const BUFFERED_PIECES: usize = 32;
/// Longest time until a caller that left is noticed while the upstream says nothing.
const CALLER_LOOK: Duration = Duration::from_millis(100);

/// Tokens still to come from which on a generation is moved: what a runner makes in about the
/// shortest notice that it gives.
const MIN_AT_STAKE: u64 = 160;
/// Moves of one generation: runners that leave one after the other.
const MAX_MOVES: u32 = 12;
/// Rest after a move, and after one that came to nothing.
const MOVE_REST: Duration = Duration::from_millis(100);
/// Time for a move whose run was stopped to end.
const MOVE_WAIT: Duration = Duration::from_millis(2_000);

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
    content: ContentId,
    service: &str,
    slot: Slot,
    mut parts: Parts,
    body: Incoming,
) -> Response<Body> {
    let is_framed = is_framed(&parts.headers);
    for_caller(&mut parts);
    let (tx, out) = Body::stream(BUFFERED_PIECES);
    let mut stream = EventStream::new(relay.clone(), req, content, service.to_owned(), slot);
    stream.is_framed = is_framed;
    compio::runtime::spawn(stream.run(body, tx)).detach();
    Response::from_parts(parts, out)
}

struct EventStream {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    content: ContentId,
    slot: Slot,
    service: ServiceName,
    splitter: EventSplitter,
    moving: Option<Moving>,
    /// Whether the runner of the present link tells where its stream ends.
    is_framed: bool,
    /// When the head of the present link came.
    begun: Instant,
    /// Moves that were begun, and when the next may be.
    moves: u32,
    next_move: Instant,
    /// Version of the roster that was last looked at.
    seen_roster: u64,
    leaving: bool,
    first_event: Option<Duration>,
    last_progress: Instant,
    longest_gap: Duration,
    /// Keeps the process running until the stream has ended.
    _active: ActiveGuard,
}

/// How one link to a runner ended.
enum LinkEnd {
    /// The stream is over.
    Over(End),
    /// The runner closed the stream, or it broke.
    Closed(End),
}

/// Why a run did not go on from a copy.
enum ResumeFailure {
    /// The runner did not take it, and the copy was not used.
    NotRun(String),
    /// It may go on there.
    MayHaveRun(String),
}

impl ResumeFailure {
    fn from_send(err: SendError) -> Self {
        let cause = err.to_string();
        if err.is_not_run() { Self::NotRun(cause) } else { Self::MayHaveRun(cause) }
    }

    fn cause(self) -> String {
        match self {
            Self::NotRun(cause) | Self::MayHaveRun(cause) => cause,
        }
    }
}

impl EventStream {
    fn new(
        relay: Rc<Relay>,
        req: Rc<HostedRequest>,
        content: ContentId,
        service: ServiceName,
        slot: Slot,
    ) -> Self {
        let active = relay.cx.begin_request();
        let now = clock::now();
        Self {
            relay,
            req,
            content,
            slot,
            service,
            splitter: EventSplitter::default(),
            moving: None,
            is_framed: true,
            begun: now,
            moves: 0,
            next_move: now,
            seen_roster: 0,
            leaving: false,
            first_event: None,
            last_progress: now,
            longest_gap: Duration::ZERO,
            _active: active,
        }
    }

    async fn run(mut self, body: Incoming, mut tx: BodySender) {
        let end = self.pass(body, &mut tx).await;
        let tokens = self.tokens_made();
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

    /// Passes events on, from one runner after another if the generation is moved.
    async fn pass(&mut self, mut body: Incoming, tx: &mut BodySender) -> End {
        loop {
            let closed = match self.pass_link(&mut body, tx).await {
                LinkEnd::Over(end) => return end,
                LinkEnd::Closed(end) => end,
            };
            body = match self.go_on(&closed).await {
                Ok(Some(next)) => next,
                Ok(None) => return self.finish_link(closed, tx).await,
                Err(cause) => return End::Broken(cause),
            };
        }
    }

    async fn pass_link(&mut self, body: &mut Incoming, tx: &mut BodySender) -> LinkEnd {
        loop {
            if tx.is_closed() {
                return LinkEnd::Over(End::CallerLeft);
            }
            if clock::now() >= self.req.end() {
                return LinkEnd::Over(End::OutOfTime);
            }
            self.look_after_move();
            let piece = match compio::time::timeout(CALLER_LOOK, read_stream(body)).await {
                Err(_) => continue,
                Ok(Ok(Some(piece))) => piece,
                Ok(Ok(None)) => return LinkEnd::Closed(End::Whole),
                Ok(Err(err)) => return LinkEnd::Closed(End::Broken(err.to_string())),
            };
            let Some(events) = self.splitter.push(&piece) else { continue };
            if self.splitter.out_of_order() {
                return LinkEnd::Over(End::Broken("events out of order".to_owned()));
            }
            self.note_progress();
            if let Some(end) = self.deliver(tx, events).await {
                return LinkEnd::Over(end);
            }
        }
    }

    /// Ends the stream as its last link ended.
    async fn finish_link(&mut self, closed: End, tx: &mut BodySender) -> End {
        match &closed {
            End::Whole if self.is_framed => observer::record_answer(&self.relay.cx, self.content),
            End::Broken(_) => self.note_break(Some(self.begun)),
            _ => {}
        }
        if closed == End::Whole
            && let Some(rest) = self.splitter.rest()
        {
            // The upstream ended the message itself, so what is left belongs to it.
            let _ = tx.send(rest).await;
        }
        closed
    }

    /// Notes that the runner broke its run off, which began there at `begun` if it gave a sign.
    fn note_break(&self, begun: Option<Instant>) {
        let place = RunLocation { upstream: &self.slot.runner, addr: self.slot.addr };
        observer::record_interruption(&self.relay.cx, place, self.content, begun);
    }

    /// Begins a move once the runner leaves, and takes note of one that came to nothing.
    fn look_after_move(&mut self) {
        if let Some(moving) = &mut self.moving {
            if moving.has_failed() {
                self.moving = None;
                self.next_move = clock::now() + MOVE_REST;
            }
            return;
        }
        self.look_at_roster();
        if !self.relay.cx.settings.policy.moves {
            return;
        }
        if !self.leaving || self.moves >= MAX_MOVES || clock::now() < self.next_move {
            return;
        }
        if let Some(left) = upstream_heads::rest_left(&self.relay.cx, &self.slot.runner) {
            self.next_move = clock::now() + left;
            return;
        }
        let Some(needs) = self.req.generation else { return };
        let made = self.tokens_made();
        let at_stake = needs.max_output.saturating_sub(made);
        if made == 0 || at_stake < MIN_AT_STAKE || !self.engine().is_some_and(|e| e.moves) {
            return;
        }
        self.moves += 1;
        let source = SourceRunner {
            service: self.service.clone(),
            runner: self.slot.runner.clone(),
            addr: self.slot.addr,
            failure_domain: self.slot.failure_domain.clone(),
        };
        let in_memory = needs.prompt + made;
        self.moving = Some(moves::start(&self.relay, &self.req, source, at_stake, in_memory));
    }

    fn look_at_roster(&mut self) {
        let roster = self.relay.cx.upstreams.roster.borrow();
        if self.seen_roster != roster.version() {
            self.seen_roster = roster.version();
            let record = roster.get(&self.slot.runner);
            // Some runners end their registration at once and serve on for as long as others do.
            self.leaving = record.is_none_or(|record| record.phase == Phase::Leaving);
        }
    }

    /// Waits for the move that closed the link, and opens the link to the copy. `None` means
    /// that there was none, or that the stream had ended before it.
    async fn go_on(&mut self, closed: &End) -> Result<Option<Incoming>, String> {
        let Some(moving) = self.moving.take() else { return Ok(None) };
        if *closed == End::Whole && !moving.is_stopping() {
            // A run that nobody has stopped ended by itself; its move comes to nothing.
            return Ok(None);
        }
        let moved = match compio::time::timeout(MOVE_WAIT, moving.outcome).await {
            Ok(Ok(MoveOutcome::Moved(moved))) => moved,
            Ok(Ok(MoveOutcome::Stays(_))) => return Ok(None),
            // A stopped run's stream is closed without its end, so this one was not stopped.
            _ if *closed == End::Whole => return Ok(None),
            Ok(Ok(MoveOutcome::Lost(cause))) => return Err(cause),
            Ok(Err(_)) | Err(_) => return Err("the move did not end in time".to_owned()),
        };
        self.splitter.drop_part();
        self.resume(moved).await.map(Some)
    }

    /// Goes on from the copy where it was sent, or, if that runner did not take it, where the
    /// run was stopped: the memory stays there until the copy is used.
    async fn resume(&mut self, moved: Moved) -> Result<Incoming, String> {
        self.seen_roster = 0;
        self.next_move = clock::now() + MOVE_REST;
        let Moved { slot, source, handle } = moved;
        let left = slot.map(|slot| std::mem::replace(&mut self.slot, *slot));
        let failure = match self.send_resume(source, handle.clone()).await {
            Ok(body) => return Ok(body),
            Err(failure) => failure,
        };
        match (failure, left) {
            (ResumeFailure::NotRun(cause), Some(left)) => {
                log::info!(
                    request = self.req.id.as_str(), upstream = self.slot.runner.as_str(),
                    back_at = left.runner.as_str(), cause = cause.as_str();
                    "copy not taken; the run goes on where it was stopped"
                );
                self.slot = left;
                let (cx, runner) = (&self.relay.cx, &self.slot.runner);
                upstream_heads::await_rest(cx, runner, MOVE_WAIT).await;
                upstream_heads::obtain_in_advance(cx, runner).await?;
                self.send_resume(source, handle).await.map_err(ResumeFailure::cause)
            }
            (failure, _) => Err(failure.cause()),
        }
    }

    /// Sends the request to the runner of the slot, to go on from a copy.
    async fn send_resume(
        &mut self,
        source: SocketAddr,
        handle: String,
    ) -> Result<Incoming, ResumeFailure> {
        if upstream_heads::rest_left(&self.relay.cx, &self.slot.runner).is_some() {
            return Err(ResumeFailure::NotRun(format!("resume: {}", upstream_heads::RESTS)));
        }
        let left = self.req.time_left(clock::now());
        let after = self.splitter.last_id().map(str::to_owned);
        let attempt = Attempt {
            upstream: self.slot.runner.clone(),
            time_left: left,
            resume: Some(Resume { source, handle, after }),
        };
        self.relay.budgets.borrow_mut().spend(&self.service);
        let message = (self.relay.dialect.request)(&self.req, &attempt);
        let sent_at = clock::now();
        let sent = self.relay.cx.upstream(self.slot.addr).send(message, left).await;
        let sent = sent.map_err(|err| {
            if !err.is_not_run() && !self.req.time_left(clock::now()).is_zero() {
                self.note_break(None);
            }
            ResumeFailure::from_send(err)
        });
        let (parts, body) = sent?.into_parts();
        let reading = (self.relay.dialect.read)(&self.req, &parts);
        let signals = reading.vouched(self.relay.dialect.signals(&parts));
        upstream_heads::note(&self.relay.cx, &self.slot.runner, signals, sent_at);
        match reading {
            Reading::Answer if parts.status.is_success() => {
                self.relay.cx.metrics.count(Count::Relinks, &self.req.route.name);
                self.is_framed = is_framed(&parts.headers);
                self.begun = clock::now();
                Ok(body)
            }
            Reading::Answer => {
                Err(ResumeFailure::MayHaveRun(format!("resume answered with {}", parts.status)))
            }
            Reading::NotRun { cause, .. } => Err(ResumeFailure::NotRun(format!("resume: {cause}"))),
            Reading::Foreign(cause) => Err(ResumeFailure::MayHaveRun(format!("resume: {cause}"))),
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
        let gap = clock::since(self.last_progress);
        if self.first_event.is_none() {
            self.first_event = Some(clock::since(self.req.received));
            self.slot.record_first_token();
            metrics.time(Timing::FirstToken, route, priority, clock::since(self.req.received));
        } else {
            metrics.time(Timing::TokenGap, route, priority, gap);
            self.longest_gap = self.longest_gap.max(gap);
            if gap > STALL_THRESHOLD {
                metrics.time(Timing::Stall, route, priority, gap);
            }
        }
        self.last_progress = clock::now();
    }

    fn tokens_made(&self) -> u64 {
        self.splitter.events() * self.engine().map_or(1, |engine| engine.tokens_per_event)
    }

    fn engine(&self) -> Option<EngineSpec> {
        let view = self.relay.cx.config.view();
        view.hosted_services.get(&self.service)?.engine.clone()
    }

    fn log(&self, end: &End) {
        let (outcome, cause) = match end {
            End::Whole => ("whole", ""),
            End::CallerLeft => ("caller_left", ""),
            End::Broken(cause) => ("broken", cause.as_str()),
            End::OutOfTime => ("out_of_time", ""),
        };
        log::info!(
            request = self.req.id.as_str(), content:% = self.content,
            route = self.req.route.name.as_str(), upstream = self.slot.runner.as_str(), outcome = outcome, cause = cause,
            events = self.splitter.events(), moves = self.moves, leaving = self.leaving,
            first_event_ms = self.first_event.unwrap_or_default().as_millis(),
            longest_gap_ms = self.longest_gap.as_millis(),
            since_last_ms = clock::since(self.last_progress).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "stream ended"
        );
    }
}
