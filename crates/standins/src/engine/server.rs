//! The engine's protocol over HTTP; see `docs/ENGINE-PROTOCOL.md`.

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
    Body, BodySender, Handler, ServerLimits, Stop, query_value, read_body, serve,
};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::heads::HeadOrders;

use super::model::{EngineConfig, EngineModel, GenerationStatus, Refused};

const MAX_BODY: usize = 4 * 1024 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// Time between heartbeats on a stream without tokens.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Rest of the batch loop while nothing is to do.
const IDLE_REST: Duration = Duration::from_millis(2);

/// A fault that the stand-in plays on its streams, for tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// None.
    None,
    /// The next streams send nothing after token `after`, without closing.
    Stall {
        /// Token after which nothing comes.
        after: u64,
        /// Links that are concerned.
        links: u32,
    },
    /// The next links break after token `after`.
    Break {
        /// Token after which the link breaks.
        after: u64,
        /// Links that are concerned.
        links: u32,
    },
    /// Every token is sent twice.
    Duplicate,
    /// A token of an attempt that does not exist comes before each token.
    Crossed,
    /// Tokens `at` and `at + 1` change places on the next link.
    Reorder {
        /// The first of the two.
        at: u64,
    },
    /// The process ends at once when a generation reaches this token.
    Die {
        /// The token.
        at: u64,
    },
}

/// A running engine.
pub struct EngineServer {
    model: RefCell<EngineModel>,
    fault: Cell<Fault>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Load report, renewed with a lag.
    report: RefCell<EngineLoad>,
    report_lag: Duration,
}

impl EngineServer {
    /// Creates an engine that reports its load with a lag.
    pub fn new(cfg: EngineConfig, model: &str, report_lag: Duration) -> Rc<Self> {
        let model = EngineModel::new(cfg, model, unix_ms());
        let report = RefCell::new(model.load());
        Rc::new(Self {
            model: RefCell::new(model),
            fault: Cell::new(Fault::None),
            waiting: RefCell::default(),
            report,
            report_lag,
        })
    }

    /// Serves until `stop`.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: Stop) {
        compio::runtime::spawn(self.clone().batch_loop(stop.clone())).detach();
        compio::runtime::spawn(self.clone().report_loop(stop.clone())).detach();
        let engine = self.clone();
        let handler: Handler = Rc::new(move |req, _peer: SocketAddr| {
            let engine = engine.clone();
            async move { engine.handle(req).await }.boxed_local()
        });
        let handler = HeadOrders::around(handler);
        serve(listener, ServerLimits::default(), handler, stop).await;
    }

    async fn batch_loop(self: Rc<Self>, stop: Stop) {
        let mut last = Instant::now();
        while !stop.is_set() {
            let took = self.model.borrow_mut().step();
            compio::time::sleep(took.unwrap_or(IDLE_REST)).await;
            self.model.borrow_mut().age(last.elapsed());
            last = Instant::now();
            if took.is_some() {
                self.waiting.borrow_mut().clear();
            }
        }
    }

    async fn report_loop(self: Rc<Self>, stop: Stop) {
        while !stop.is_set() {
            let report = self.model.borrow().load();
            compio::time::sleep(self.report_lag).await;
            *self.report.borrow_mut() = report;
        }
    }

    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = Query::of(&req);
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
        self.waiting.borrow_mut().clear();
        self.stream(id.to_owned(), query.attempt.clone(), query.from)
    }

    fn cancel(&self, id: &str, query: &Query) -> Response<Body> {
        let cancelled = self.model.borrow_mut().cancel(id, &query.attempt);
        let status = if cancelled { StatusCode::OK } else { StatusCode::CONFLICT };
        json(status, &EngineRefusal { error: "not cancelled".to_owned(), ran: true })
    }

    fn stream(self: Rc<Self>, id: String, attempt: String, from: u64) -> Response<Body> {
        let (tx, body) = Body::stream(8);
        let last_sent = Instant::now();
        let reader =
            Reader { engine: self, id, attempt, next: from, seen_preemptions: 0, tx, last_sent };
        compio::runtime::spawn(reader.run()).detach();
        Response::new(body)
    }

    async fn command(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(command) = read_json::<EngineCommand>(req).await else {
            return refuse(StatusCode::BAD_REQUEST, "command does not decode");
        };
        let done = self.model.borrow_mut().command(&command);
        match done {
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

    /// Is taken away at short notice: leaves at once and ends when the notice is over.
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

    /// Everything generated, for callers that check each token.
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
        // Leaving is announced at once; only the load lags.
        report.leaving = self.model.borrow().leaving;
        report
    }

    /// Uses up one link of a fault that concerns a number of links.
    fn link_fault(&self) -> Fault {
        let fault = self.fault.get();
        match fault {
            Fault::Stall { after, links } => {
                self.fault.set(remaining(links, |links| Fault::Stall { after, links }));
            }
            Fault::Break { after, links } => {
                self.fault.set(remaining(links, |links| Fault::Break { after, links }));
            }
            Fault::Reorder { .. } => self.fault.set(Fault::None),
            Fault::None | Fault::Duplicate | Fault::Crossed | Fault::Die { .. } => {}
        }
        fault
    }

    async fn wait_for_news(&self) {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(tx);
        // Running out of time and being woken mean the same: look again.
        let _ = compio::time::timeout(HEARTBEAT, rx).await;
    }
}

fn remaining(links: u32, with: impl FnOnce(u32) -> Fault) -> Fault {
    if links > 1 { with(links - 1) } else { Fault::None }
}

/// One generation as a test sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Its id.
    pub generation: String,
    /// Its prompt.
    pub prompt: String,
    /// All its tokens.
    pub tokens: Vec<String>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// How often it was pushed aside.
    pub preemptions: u64,
}

/// Sends the tokens of one generation to one reader.
struct Reader {
    engine: Rc<EngineServer>,
    id: String,
    attempt: String,
    next: u64,
    seen_preemptions: u64,
    tx: BodySender,
    /// The batch wakes all readers at each step, so heartbeats go by the time of the last line.
    last_sent: Instant,
}

enum News {
    Tokens(Vec<String>),
    Preempted,
    Ended(EngineEvent),
    Nothing,
}

impl Reader {
    async fn run(mut self) {
        let fault = self.engine.link_fault();
        loop {
            let sent = match self.news() {
                News::Tokens(tokens) => self.send_tokens(tokens, fault).await,
                News::Preempted => {
                    let attempt = self.attempt.clone();
                    self.send(&EngineEvent::Preempted { attempt }).await
                }
                News::Ended(event) => {
                    self.send(&event).await;
                    break;
                }
                News::Nothing => {
                    self.engine.wait_for_news().await;
                    if self.last_sent.elapsed() < HEARTBEAT {
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
    }

    fn news(&mut self) -> News {
        let model = self.engine.model.borrow();
        let attempt = self.attempt.clone();
        let Some(generation) = model.generations.get(&self.id) else {
            let cause = "the generation was dropped".to_owned();
            return News::Ended(EngineEvent::Failed { attempt, cause });
        };
        if generation.reader.as_ref() != Some(&self.attempt) {
            return News::Ended(EngineEvent::Superseded { attempt });
        }
        let from = usize::try_from(self.next).unwrap_or(usize::MAX);
        if let Some(tokens) = generation.tokens.get(from..).filter(|tokens| !tokens.is_empty()) {
            return News::Tokens(tokens.to_vec());
        }
        match generation.status {
            GenerationStatus::Done(reason) => {
                let tokens = generation.tokens.len() as u64;
                News::Ended(EngineEvent::Done { attempt, tokens, reason })
            }
            GenerationStatus::Cancelled => {
                let cause = "the generation was cancelled".to_owned();
                News::Ended(EngineEvent::Failed { attempt, cause })
            }
            _ if generation.preemptions > self.seen_preemptions => {
                self.seen_preemptions = generation.preemptions;
                News::Preempted
            }
            _ => News::Nothing,
        }
    }

    async fn send_tokens(&mut self, tokens: Vec<String>, fault: Fault) -> bool {
        for text in tokens {
            let index = self.next;
            self.next += 1;
            if !self.send_token(index, text, fault).await {
                return false;
            }
        }
        true
    }

    async fn send_token(&mut self, index: u64, text: String, fault: Fault) -> bool {
        let event = self.token(index, text);
        match fault {
            Fault::Break { after, .. } if index >= after => false,
            Fault::Stall { after, .. } if index >= after => {
                while !self.tx.is_closed() {
                    compio::time::sleep(HEARTBEAT).await;
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

    fn peek(&self, index: u64) -> Option<String> {
        let model = self.engine.model.borrow();
        let generation = model.generations.get(&self.id)?;
        Some(super::model::token_text(&generation.req, index))
    }

    fn token(&self, index: u64, text: String) -> EngineEvent {
        EngineEvent::Token { attempt: self.attempt.clone(), index, text }
    }

    async fn send(&mut self, event: &EngineEvent) -> bool {
        let mut line = serde_json::to_vec(event).unwrap_or_default();
        line.push(b'\n');
        self.last_sent = Instant::now();
        self.tx.send(Bytes::from(line)).await.is_ok()
    }
}

/// Parameters of a request's query.
struct Query {
    attempt: String,
    from: u64,
    after: u64,
}

impl Query {
    fn of<B>(req: &Request<B>) -> Self {
        let find = |key: &str| query_value(req.uri(), key).unwrap_or("");
        Self {
            attempt: find("attempt").to_owned(),
            from: find("from").parse().unwrap_or(0),
            after: find("after").parse().unwrap_or(0),
        }
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = read_body(req.into_body(), MAX_BODY, BODY_LIMIT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    text_response(status, serde_json::to_string(body).unwrap_or_default())
}

fn refuse(status: StatusCode, cause: &str) -> Response<Body> {
    json(status, &EngineRefusal { error: cause.to_owned(), ran: false })
}
