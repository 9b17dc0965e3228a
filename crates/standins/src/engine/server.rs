//! HTTP server for the engine protocol described in `docs/ENGINE-PROTOCOL.md`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use futures_channel::oneshot;
use futures_util::FutureExt;
use hatchpitch::engine::messages::{EngineCommand, EngineRefusal};
use hatchpitch::engine::{EngineEvent, EngineLoad, GenerateRequest};
use hatchpitch::logging::unix_ms;
use hatchpitch::outcome::text_response;
use hatchpitch_net::{
    Body, BodySender, Framing, Handler, Reservation, ServerLimits, Stop, query_value, read_body,
    serve,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::signals::SignalControls;

use super::model::{EngineConfig, EngineModel, GenerationStatus, Refused};

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between heartbeats on a stream without tokens.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before the end of a stream that is broken off, so that what was sent before arrives.
const BREAK_PAUSE: Duration = Duration::from_millis(5);
/// Pause of the batch loop while the batch is empty.
const IDLE_PAUSE: Duration = Duration::from_millis(2);

/// Fault that a test injects into the engine's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    None,
    /// The next streams stall before token `after` without closing.
    Stall {
        /// Index of the first token that is not sent.
        after: u64,
        /// Number of streams affected.
        links: u32,
    },
    /// The next streams break before token `after`.
    Break {
        /// Index of the first token that is not sent.
        after: u64,
        /// Number of streams affected.
        links: u32,
    },
    /// Every token is sent twice.
    Duplicate,
    /// Each token is preceded by a token of a nonexistent attempt.
    Crossed,
    /// On the next stream, token `at + 1` is sent before token `at`.
    Reorder {
        /// Index of the first of the two tokens.
        at: u64,
    },
    /// The process exits instead of sending this or a later token.
    Die {
        /// Index of the token.
        at: u64,
    },
    /// The next streams have neither a length nor chunks.
    Unframed {
        /// How the streams end.
        ending: StreamEnding,
        /// Index of the first token that is not sent, unless the stream ends whole. From the number
        /// of tokens on, only the last event is not sent.
        after: u64,
        /// Number of streams affected.
        links: u32,
    },
}

/// How a stream that has neither a length nor chunks ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnding {
    /// The connection ends in order after the last event.
    Whole,
    /// The connection ends in order between two lines.
    BetweenLines,
    /// The connection ends in order inside a line.
    InsideLine,
    /// The connection is reset between two lines.
    Reset,
}

/// State of the engine server.
pub struct EngineServer {
    model: RefCell<EngineModel>,
    fault: Cell<Fault>,
    /// Senders that wake waiting stream readers when dropped.
    wakers: RefCell<Vec<oneshot::Sender<()>>>,
    /// Latest load report, which lags behind the model by `report_lag`.
    report: RefCell<EngineLoad>,
    report_lag: Duration,
}

impl EngineServer {
    /// Creates an engine whose load reports are delayed by `report_lag`.
    pub fn new(cfg: EngineConfig, model: &str, report_lag: Duration) -> Rc<Self> {
        let model = EngineModel::new(cfg, model, unix_ms());
        let report = RefCell::new(model.load());
        Rc::new(Self {
            model: RefCell::new(model),
            fault: Cell::new(Fault::None),
            wakers: RefCell::default(),
            report,
            report_lag,
        })
    }

    /// Serves requests until `stop` is set.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: Stop) {
        compio::runtime::spawn(self.clone().batch_loop(stop.clone())).detach();
        compio::runtime::spawn(self.clone().report_loop(stop.clone())).detach();
        let engine = self.clone();
        let handler: Handler = Rc::new(move |req, _peer: SocketAddr| {
            let engine = engine.clone();
            async move { engine.handle(req).await }.boxed_local()
        });
        let handler = SignalControls::wrap(handler);
        serve(listener, ServerLimits::default(), handler, stop).await;
    }

    /// Runs engine steps in real time and wakes readers after each one.
    async fn batch_loop(self: Rc<Self>, stop: Stop) {
        let mut last = Instant::now();
        while !stop.is_set() {
            let took = self.model.borrow_mut().step();
            compio::time::sleep(took.unwrap_or(IDLE_PAUSE)).await;
            self.model.borrow_mut().age(last.elapsed());
            last = Instant::now();
            if took.is_some() {
                self.wakers.borrow_mut().clear();
            }
        }
    }

    /// Publishes load reports with a delay of `report_lag`.
    async fn report_loop(self: Rc<Self>, stop: Stop) {
        while !stop.is_set() {
            let report = self.model.borrow().load();
            compio::time::sleep(self.report_lag).await;
            *self.report.borrow_mut() = report;
        }
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = Query::parse(&req);
        match (req.method().clone(), path.as_str()) {
            (Method::POST, "/v1/generate") => self.generate(req).await,
            (Method::GET, "/v1/load") => json(StatusCode::OK, &self.lagged_report()),
            (Method::GET, "/v1/holdings") => json(StatusCode::OK, self.model.borrow().holdings()),
            (Method::GET, "/v1/cache-events") => {
                json(StatusCode::OK, &self.model.borrow().events_after(query.after))
            }
            (Method::POST, "/v1/commands") => self.command(req).await,
            (Method::POST, "/admin/leave") => self.set_leaving(true),
            (Method::POST, "/admin/reclaim") => self.reclaim(req).await,
            (Method::POST, "/admin/fault") => self.set_fault(req).await,
            (Method::GET, "/admin/ledger") => self.ledger(),
            (method, _) => match path.strip_prefix("/v1/generations/") {
                Some(id) if method == Method::GET => self.resume(id, &query),
                Some(id) if method == Method::DELETE => self.cancel(id, &query),
                _ => refuse(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    async fn generate(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let Some(req) = read_json::<GenerateRequest>(req).await else {
            return refuse(StatusCode::BAD_REQUEST, "request does not decode");
        };
        let (id, attempt) = (req.generation.clone(), req.attempt.clone());
        match self.model.borrow_mut().submit(req) {
            Ok(()) => {}
            Err(Refused::Leaving) => return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Err(Refused::Full) => return refuse(StatusCode::SERVICE_UNAVAILABLE, "full"),
            Err(Refused::TooLarge) => return refuse(StatusCode::BAD_REQUEST, "too large"),
            Err(Refused::Duplicate) => return refuse(StatusCode::CONFLICT, "id in use"),
            Err(Refused::WrongModel) => return refuse(StatusCode::CONFLICT, "other model held"),
        }
        self.stream(id, attempt, 0)
    }

    fn resume(self: Rc<Self>, id: &str, query: &Query) -> Response<Body> {
        if !self.model.borrow_mut().attach(id, &query.attempt) {
            return refuse(StatusCode::NOT_FOUND, "generation not known");
        }
        self.wakers.borrow_mut().clear();
        self.stream(id.to_owned(), query.attempt.clone(), query.from)
    }

    fn cancel(&self, id: &str, query: &Query) -> Response<Body> {
        let cancelled = self.model.borrow_mut().cancel(id, &query.attempt);
        let status = if cancelled { StatusCode::OK } else { StatusCode::CONFLICT };
        json(status, &EngineRefusal { error: "not cancelled".to_owned(), ran: true })
    }

    /// Returns a response that streams a generation from token `from` on.
    fn stream(self: Rc<Self>, id: String, attempt: String, from: u64) -> Response<Body> {
        let (tx, body) = Body::stream(8, Reservation::uncounted());
        let last_sent = Instant::now();
        let fault = self.take_stream_fault();
        let framing = match fault {
            Fault::Unframed { .. } => Framing::UntilClose,
            _ => Framing::Delimited,
        };
        let reader = StreamReader {
            engine: self,
            id,
            attempt,
            fault,
            next: from,
            seen_preemptions: 0,
            tx,
            last_sent,
        };
        compio::runtime::spawn(reader.run()).detach();
        Response::new(body.framed(framing))
    }

    async fn command(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(command) = read_json::<EngineCommand>(req).await else {
            return refuse(StatusCode::BAD_REQUEST, "command does not decode");
        };
        let result = self.model.borrow_mut().command(&command);
        match result {
            Ok(()) => json(StatusCode::OK, self.model.borrow().holdings()),
            Err((term, sequence)) => {
                refuse(StatusCode::CONFLICT, &format!("fenced: newest is {term}.{sequence}"))
            }
        }
    }

    fn set_leaving(&self, leaving: bool) -> Response<Body> {
        self.model.borrow_mut().leaving = leaving;
        json(StatusCode::OK, &leaving)
    }

    /// Simulates the reclaim of the machine: leaves immediately and exits when the notice expires.
    async fn reclaim(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(notice_ms) = read_json::<u64>(req).await else {
            return refuse(StatusCode::BAD_REQUEST, "expected the notice in milliseconds");
        };
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(notice_ms)).await;
            std::process::exit(0);
        })
        .detach();
        self.set_leaving(true)
    }

    async fn set_fault(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(fault) = read_json::<Fault>(req).await else {
            return refuse(StatusCode::BAD_REQUEST, "fault does not decode");
        };
        self.fault.set(fault);
        json(StatusCode::OK, &fault)
    }

    /// Returns all known generations, against which tests check each token.
    fn ledger(&self) -> Response<Body> {
        let model = self.model.borrow();
        let rows: Vec<LedgerRow> = model
            .generations
            .values()
            .map(|g| LedgerRow {
                generation: g.req.generation.clone(),
                prompt: g.req.prompt.clone(),
                tokens: g.tokens.clone(),
                cancelled: g.status == GenerationStatus::Cancelled,
                preemptions: g.preemptions,
            })
            .collect();
        json(StatusCode::OK, &rows)
    }

    fn lagged_report(&self) -> EngineLoad {
        let mut report = self.report.borrow().clone();
        // Leaving is reported immediately; only the load is delayed.
        report.leaving = self.model.borrow().leaving;
        report
    }

    /// Returns the fault for a new stream and decrements the number of streams that it affects.
    fn take_stream_fault(&self) -> Fault {
        let fault = self.fault.get();
        match fault {
            Fault::Stall { after, links } => {
                self.fault.set(remaining(links, |links| Fault::Stall { after, links }));
            }
            Fault::Break { after, links } => {
                self.fault.set(remaining(links, |links| Fault::Break { after, links }));
            }
            Fault::Unframed { ending, after, links } => {
                let next = |links| Fault::Unframed { ending, after, links };
                self.fault.set(remaining(links, next));
            }
            Fault::Reorder { .. } => self.fault.set(Fault::None),
            Fault::None | Fault::Duplicate | Fault::Crossed | Fault::Die { .. } => {}
        }
        fault
    }

    /// Waits until the model may have changed, for at most [`HEARTBEAT_INTERVAL`].
    async fn wait_for_update(&self) {
        let (tx, rx) = oneshot::channel();
        self.wakers.borrow_mut().push(tx);
        // The caller checks the model again after a wake-up and after a timeout alike.
        let _ = compio::time::timeout(HEARTBEAT_INTERVAL, rx).await;
    }
}

/// Returns the fault for the streams after this one, or no fault if none is left.
fn remaining(links: u32, with: impl FnOnce(u32) -> Fault) -> Fault {
    if links > 1 { with(links - 1) } else { Fault::None }
}

/// Record of a generation for tests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Id of the generation.
    pub generation: String,
    /// Prompt of the request.
    pub prompt: String,
    /// Tokens produced so far.
    pub tokens: Vec<String>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Number of preemptions.
    pub preemptions: u64,
}

/// Streams the events of one generation to one client.
struct StreamReader {
    engine: Rc<EngineServer>,
    id: String,
    attempt: String,
    fault: Fault,
    next: u64,
    seen_preemptions: u64,
    tx: BodySender,
    /// Time of the last line. Every step wakes all readers, so wake-ups cannot time heartbeats.
    last_sent: Instant,
}

/// Next event to send to a client.
enum Update {
    Tokens(Vec<String>),
    Preempted,
    Ended(EngineEvent),
    Nothing,
}

impl StreamReader {
    /// Sends events until the generation ends, the client disconnects or a fault ends the stream.
    async fn run(mut self) {
        loop {
            let sent = match self.next_update() {
                Update::Tokens(tokens) => self.send_tokens(tokens).await,
                Update::Preempted => {
                    let attempt = self.attempt.clone();
                    self.send(&EngineEvent::Preempted { attempt }).await
                }
                Update::Ended(event) => {
                    match self.early_ending() {
                        Some(ending) => self.break_off(&event, ending).await,
                        None => self.send(&event).await,
                    };
                    break;
                }
                Update::Nothing => {
                    self.engine.wait_for_update().await;
                    if self.last_sent.elapsed() < HEARTBEAT_INTERVAL {
                        continue;
                    }
                    let attempt = self.attempt.clone();
                    self.send(&EngineEvent::Heartbeat { attempt }).await
                }
            };
            if !sent {
                break;
            }
        }
        self.engine.model.borrow_mut().detach(&self.id, &self.attempt);
        match self.early_ending() {
            Some(StreamEnding::Reset) => self.tx.abort(),
            _ => self.tx.finish(),
        }
    }

    /// Returns how the fault ends this stream before its last event.
    fn early_ending(&self) -> Option<StreamEnding> {
        match self.fault {
            Fault::Unframed { ending: StreamEnding::Whole, .. } => None,
            Fault::Unframed { ending, .. } => Some(ending),
            _ => None,
        }
    }

    /// Sends what precedes the end of a stream that is broken off before or inside the line of an
    /// event. Returns that the stream does not continue.
    async fn break_off(&mut self, event: &EngineEvent, ending: StreamEnding) -> bool {
        if ending == StreamEnding::InsideLine {
            let mut part = encode_line(event);
            part.truncate(part.len() / 2);
            // The stream ends in any case.
            let _ = self.tx.send(Bytes::from(part)).await;
        }
        compio::time::sleep(BREAK_PAUSE).await;
        false
    }

    /// Returns the next event of the generation.
    fn next_update(&mut self) -> Update {
        let model = self.engine.model.borrow();
        let attempt = self.attempt.clone();
        let Some(generation) = model.generations.get(&self.id) else {
            let cause = "the generation was dropped".to_owned();
            return Update::Ended(EngineEvent::Failed { attempt, cause });
        };
        if generation.reader.as_ref() != Some(&self.attempt) {
            return Update::Ended(EngineEvent::Superseded { attempt });
        }
        let from = usize::try_from(self.next).unwrap_or(usize::MAX);
        if let Some(tokens) = generation.tokens.get(from..).filter(|tokens| !tokens.is_empty()) {
            return Update::Tokens(tokens.to_vec());
        }
        match generation.status {
            GenerationStatus::Done(reason) => {
                let tokens = generation.tokens.len() as u64;
                Update::Ended(EngineEvent::Done { attempt, tokens, reason })
            }
            GenerationStatus::Cancelled => {
                let cause = "the generation was cancelled".to_owned();
                Update::Ended(EngineEvent::Failed { attempt, cause })
            }
            _ if generation.preemptions > self.seen_preemptions => {
                self.seen_preemptions = generation.preemptions;
                Update::Preempted
            }
            _ => Update::Nothing,
        }
    }

    /// Sends tokens in order; returns whether the stream continues.
    async fn send_tokens(&mut self, tokens: Vec<String>) -> bool {
        for text in tokens {
            let index = self.next;
            self.next += 1;
            if !self.send_token(index, text).await {
                return false;
            }
        }
        true
    }

    /// Sends one token and applies the fault; returns whether the stream continues.
    async fn send_token(&mut self, index: u64, text: String) -> bool {
        let event = self.token(index, text);
        if let (Fault::Unframed { after, .. }, Some(ending)) = (self.fault, self.early_ending())
            && index >= after
        {
            return self.break_off(&event, ending).await;
        }
        match self.fault {
            Fault::Break { after, .. } if index >= after => false,
            Fault::Stall { after, .. } if index >= after => {
                while !self.tx.is_closed() {
                    compio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
                false
            }
            Fault::Die { at } if index >= at => std::process::exit(9),
            Fault::Duplicate => self.send(&event).await && self.send(&event).await,
            Fault::Crossed => {
                let attempt = "0".repeat(32);
                let crossed = EngineEvent::Token { attempt, index, text: " crossed".to_owned() };
                self.send(&crossed).await && self.send(&event).await
            }
            Fault::Reorder { at } if index == at => {
                let later = self.peek(index + 1);
                let sent = match later {
                    Some(text) => {
                        let later = self.token(index + 1, text);
                        self.send(&later).await
                    }
                    None => true,
                };
                sent && self.send(&event).await
            }
            _ => self.send(&event).await,
        }
    }

    /// Returns the text of a token before it is produced.
    fn peek(&self, index: u64) -> Option<String> {
        let model = self.engine.model.borrow();
        let generation = model.generations.get(&self.id)?;
        Some(super::model::token_text(&generation.req, index))
    }

    fn token(&self, index: u64, text: String) -> EngineEvent {
        EngineEvent::Token { attempt: self.attempt.clone(), index, text }
    }

    /// Sends an event as a line of JSON; returns whether the client is still connected.
    async fn send(&mut self, event: &EngineEvent) -> bool {
        self.last_sent = Instant::now();
        self.tx.send(Bytes::from(encode_line(event))).await.is_ok()
    }
}

/// Encodes an event as a line of JSON.
fn encode_line(event: &EngineEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Query parameters of a request; missing ones are empty or 0.
struct Query {
    attempt: String,
    from: u64,
    after: u64,
}

impl Query {
    fn parse<B>(req: &Request<B>) -> Self {
        let find = |key: &str| query_value(req.uri(), key).unwrap_or("");
        Self {
            attempt: find("attempt").to_owned(),
            from: find("from").parse().unwrap_or(0),
            after: find("after").parse().unwrap_or(0),
        }
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body =
        read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT, Reservation::uncounted()).await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    text_response(status, serde_json::to_string(body).unwrap_or_default())
}

fn refuse(status: StatusCode, cause: &str) -> Response<Body> {
    json(status, &EngineRefusal { error: cause.to_owned(), ran: false })
}
