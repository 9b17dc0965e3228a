//! Simulated callers: each looks up entry addresses, sends requests, reuses connections where
//! possible and records the outcomes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hatchpitch_net::{Body, Framing, Reservation, ResponseHead, Upstream, read_body, read_stream};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::answers::{EVENTS, Ending, judge_plain, judge_stream};
use crate::context::RunCx;
use crate::fleet::Fleet;
use crate::plan::DOMAINS;
use crate::record::{Outcome, RequestKind};
use crate::wire::{AnswerHead, CallerRequest};

/// How long a caller waits for an answer, or for the next event of a stream.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Age after which a caller looks up the addresses again.
const ADDRESS_MAX_AGE: Duration = Duration::from_secs(1);
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Largest answer that a caller reads, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Interval at which a caller that does not read checks whether it may read again.
const STALL_POLL: Duration = Duration::from_millis(50);
/// Share of streams that the caller closes before their end.
const EARLY_CLOSE_SHARE: f64 = 0.05;

/// State shared by all callers of a run.
pub struct CallerCx {
    /// State shared by all parts of the run.
    pub run: Rc<RunCx>,
    /// The boxes that callers connect to.
    pub fleet: Rc<Fleet>,
    /// Newest configuration number that was sent; its marker route may not be in force yet.
    pub newest_config: Rc<Cell<u64>>,
    /// Number of requests sent, from which request ids are derived.
    pub request_count: Cell<u64>,
    /// Whether callers stop reading the streams that they receive.
    pub stalled: Cell<bool>,
}

/// One simulated caller.
pub struct Caller {
    cx: Rc<CallerCx>,
    rng: RefCell<SmallRng>,
    reuses_connections: bool,
    addresses: RefCell<(Instant, Vec<SocketAddr>)>,
}

/// An open connection to the entry process of a box.
struct Connection {
    tx: SendRequest<Body>,
    box_index: usize,
    entry_starts: u64,
}

impl Caller {
    /// Creates a caller. Callers with an even seed reuse their connections.
    pub fn new(cx: Rc<CallerCx>, seed: u64) -> Self {
        let rng = RefCell::new(SmallRng::seed_from_u64(seed));
        let addresses = RefCell::new((Instant::now(), Vec::new()));
        Self { cx, rng, reuses_connections: seed.is_multiple_of(2), addresses }
    }

    /// Sends requests until the run stops.
    pub async fn run(self) {
        let mut kept: Option<Connection> = None;
        while !self.cx.run.stop.is_set() {
            let pause = self.rng.borrow_mut().random_range(PAUSE_MS);
            compio::time::sleep(Duration::from_millis(pause)).await;
            let connection = match kept.take().filter(|kept| !kept.tx.is_closed()) {
                Some(kept) => kept,
                None => match self.connect().await {
                    Some(connection) => connection,
                    None => continue,
                },
            };
            kept = self.request(connection, None).await.filter(|_| self.reuses_connections);
        }
    }

    /// Sends one request with the given body to a box.
    pub async fn request_once(&self, box_index: usize, body: Body) {
        let addr = self.cx.fleet.addr(box_index, |ports| ports.front);
        if let Some(connection) = self.connect_to(addr).await {
            self.request(connection, Some(body)).await;
        }
    }

    /// Connects to the entry listener of any box.
    async fn connect(&self) -> Option<Connection> {
        let addr = self.choose_addr().await?;
        self.connect_to(addr).await
    }

    /// Connects to the entry listener of a box.
    async fn connect_to(&self, addr: SocketAddr) -> Option<Connection> {
        let box_index = self.cx.fleet.box_at(addr)?;
        let entry_starts = self.cx.fleet.entry_starts(box_index);
        let connected = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = connected.ok()?.ok()?;
        let (tx, connection) = handshake(HyperStream::new_plain(stream)).await.ok()?;
        compio::runtime::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("connection of a caller: {err}");
            }
        })
        .detach();
        Some(Connection { tx, box_index, entry_starts })
    }

    /// Returns a random entry address from the list that a box returned.
    async fn choose_addr(&self) -> Option<SocketAddr> {
        let (received_at, known) = self.addresses.borrow().clone();
        if known.is_empty() || received_at.elapsed() > ADDRESS_MAX_AGE {
            let boxes = self.cx.fleet.boxes();
            let box_index = self.rng.borrow_mut().random_range(0..boxes);
            let addr = self.cx.fleet.addr(box_index, |ports| ports.directory);
            let message = (self.cx.run.wire.addresses)(DOMAINS[0]);
            let upstream = Upstream { addr, connect_timeout: CONNECT_TIMEOUT, source: None };
            let answer = upstream.send(message, CONNECT_TIMEOUT).await.ok()?;
            let body = read_body(
                answer.into_body(),
                MAX_ANSWER,
                CONNECT_TIMEOUT,
                Reservation::uncounted(),
            )
            .await
            .ok()?;
            *self.addresses.borrow_mut() =
                (Instant::now(), (self.cx.run.wire.read_addresses)(&body));
        }
        let known = &self.addresses.borrow().1;
        let index = self.rng.borrow_mut().random_range(0..known.len().max(1));
        known.get(index).copied()
    }

    /// Draws the kind of the next request.
    fn choose_kind(&self) -> RequestKind {
        let newest = self.cx.newest_config.get();
        let mut rng = self.rng.borrow_mut();
        match rng.random_range(0..10) {
            0..3 => RequestKind::Repeatable,
            3..6 => RequestKind::Once,
            6..8 => RequestKind::Stream,
            _ => RequestKind::Marker(newest.saturating_sub(rng.random_range(0..3))),
        }
    }

    /// Sends one request, with `body` in place of its short one if there is any, and records its
    /// outcome. Returns the connection if it can be reused.
    async fn request(&self, mut connection: Connection, body: Option<Body>) -> Option<Connection> {
        let cx = &self.cx;
        cx.request_count.set(cx.request_count.get() + 1);
        let id = format!("r{:06}", cx.request_count.get());
        let kind = self.choose_kind();
        let req = CallerRequest { id: id.clone(), kind, timeout: ANSWER_TIMEOUT };
        cx.run.record.begin(&id, kind, (connection.box_index, connection.entry_starts));
        let outcome = self.exchange(&mut connection, &req, body).await;
        let ended_well =
            matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Failed(_));
        cx.run.record.finish(&id, outcome);
        let reusable = ended_well && cx.run.record.framing(&id) == Some(Framing::Delimited);
        reusable.then_some(connection)
    }

    /// Sends a request and reads the answer.
    async fn exchange(
        &self,
        connection: &mut Connection,
        req: &CallerRequest,
        body: Option<Body>,
    ) -> Outcome {
        if connection.tx.ready().await.is_err() {
            return Outcome::NotConnected;
        }
        let mut message: Request<Body> = (self.cx.run.wire.request)(req);
        if let Some(body) = body {
            *message.body_mut() = body;
        }
        let method = message.method().clone();
        let sent = connection.tx.send_request(message);
        let answer = match compio::time::timeout(ANSWER_TIMEOUT, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) => return Outcome::Broken(err.to_string()),
            Err(_) => return Outcome::Unanswered,
        };
        let (head, body) = Response::into_parts(answer);
        let received =
            ResponseHead { method: &method, status: head.status, headers: &head.headers };
        let framing = match Framing::try_from(received) {
            Ok(framing) => framing,
            Err(err) => return Outcome::Wrong(err.to_string()),
        };
        self.cx.run.record.set_framing(&req.id, framing);
        match (self.cx.run.wire.read_head)(&head) {
            AnswerHead::Signed if req.kind == RequestKind::Stream => {
                self.read_stream(body, req, framing).await
            }
            AnswerHead::Signed => read_plain(body, req, framing).await,
            AnswerHead::Unsigned => {
                Outcome::Wrong("a success without the signature of an upstream".to_owned())
            }
            AnswerHead::NotRun => Outcome::Refused,
            AnswerHead::Failed(status) => Outcome::Failed(status),
        }
    }

    /// Reads a stream of events; some callers close it early.
    async fn read_stream(
        &self,
        mut body: Incoming,
        req: &CallerRequest,
        framing: Framing,
    ) -> Outcome {
        let closes_early = self.rng.borrow_mut().random_bool(EARLY_CLOSE_SHARE);
        let mut text = String::new();
        loop {
            while self.cx.stalled.get() && !self.cx.run.stop.is_set() {
                compio::time::sleep(STALL_POLL).await;
            }
            match compio::time::timeout(ANSWER_TIMEOUT, read_stream(&mut body)).await {
                Ok(Ok(Some(piece))) => text.push_str(&String::from_utf8_lossy(&piece)),
                Ok(Ok(None)) => return judge_stream(&req.id, &text, Ending::InOrder(framing)),
                Ok(Err(err)) => {
                    return judge_stream(&req.id, &text, Ending::Broken(err.to_string()));
                }
                Err(_) => return Outcome::Unanswered,
            }
            if closes_early && text.len() > EVENTS as usize {
                return Outcome::Left;
            }
        }
    }
}

/// Reads the answer to a plain request.
async fn read_plain(body: Incoming, req: &CallerRequest, framing: Framing) -> Outcome {
    match read_body(body, MAX_ANSWER, ANSWER_TIMEOUT, Reservation::uncounted()).await {
        Ok(text) => judge_plain(&req.id, &String::from_utf8_lossy(&text), framing),
        Err(err) => Outcome::Broken(err.to_string()),
    }
}
