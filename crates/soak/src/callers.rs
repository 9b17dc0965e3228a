//! Callers: they ask where to go, keep connections for as long as these last, and note what
//! comes back.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hatchpitch_net::{Body, Upstream, read_body, read_stream};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::context::RunCx;
use crate::fleet::Fleet;
use crate::plan::DOMAINS;
use crate::record::{End, Kind};
use crate::upstreams::runs::EVENTS;
use crate::wire::{AnswerHead, CallerRequest};

/// How long a caller waits for an answer, or for the next event of a stream.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long a caller keeps a list of addresses.
const LIST_AGE: Duration = Duration::from_secs(1);
/// Rest between two requests of a caller, in milliseconds.
const REST_MS: std::ops::Range<u64> = 5..60;
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Part of the streams that their callers leave before the end.
const LEAVES_EARLY: f64 = 0.05;

/// The answer of an upstream's life to a plain request.
pub fn answer_text(id: &str, life: &str) -> String {
    format!("{id} was answered by {life}, and this is the end.")
}

/// What all callers of a run share.
pub struct CallerCx {
    /// What the parts of the run share.
    pub run: Rc<RunCx>,
    /// Where to go.
    pub fleet: Rc<Fleet>,
    /// Newest configuration that was sent, whose route may be there.
    pub newest_config: Rc<Cell<u64>>,
    /// Counts requests.
    pub sent: Cell<u64>,
}

/// One caller.
pub struct Caller {
    cx: Rc<CallerCx>,
    rng: RefCell<SmallRng>,
    keeps_connections: bool,
    listed: RefCell<(Instant, Vec<SocketAddr>)>,
}

/// An open connection to a box.
struct Connection {
    tx: SendRequest<Body>,
    place: usize,
    life: u64,
}

impl Caller {
    /// Creates a caller; every other one keeps its connections.
    pub fn new(cx: Rc<CallerCx>, seed: u64) -> Self {
        let rng = RefCell::new(SmallRng::seed_from_u64(seed));
        let listed = RefCell::new((Instant::now(), Vec::new()));
        Self { cx, rng, keeps_connections: seed.is_multiple_of(2), listed }
    }

    /// Sends requests until the run ends.
    pub async fn run(self) {
        let mut kept: Option<Connection> = None;
        while !self.cx.run.stop.is_set() {
            let rest = self.rng.borrow_mut().random_range(REST_MS);
            compio::time::sleep(Duration::from_millis(rest)).await;
            let connection = match kept.take().filter(|kept| !kept.tx.is_closed()) {
                Some(kept) => kept,
                None => match self.connect().await {
                    Some(connection) => connection,
                    None => continue,
                },
            };
            kept = self.request(connection).await.filter(|_| self.keeps_connections);
        }
    }

    /// Connects to a box that takes callers' requests.
    async fn connect(&self) -> Option<Connection> {
        let addr = self.choose_addr().await?;
        let place = self.cx.fleet.place_of(addr)?;
        let life = self.cx.fleet.entry_life(place);
        let connected = compio::time::timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await;
        let stream = connected.ok()?.ok()?;
        let (tx, connection) = handshake(HyperStream::new_plain(stream)).await.ok()?;
        compio::runtime::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("caller's connection: {err}");
            }
        })
        .detach();
        Some(Connection { tx, place, life })
    }

    /// Returns one of the addresses that some box names.
    async fn choose_addr(&self) -> Option<SocketAddr> {
        let (at, known) = self.listed.borrow().clone();
        if known.is_empty() || at.elapsed() > LIST_AGE {
            let boxes = self.cx.fleet.boxes();
            let asked = self.rng.borrow_mut().random_range(0..boxes);
            let addr = self.cx.fleet.addr(asked, |ports| ports.directory);
            let message = (self.cx.run.wire.addresses)(DOMAINS[0]);
            let upstream = Upstream { addr, connect_timeout: CONNECT_LIMIT };
            let answer = upstream.send(message, CONNECT_LIMIT).await.ok()?;
            let body = read_body(answer.into_body(), MAX_ANSWER, CONNECT_LIMIT).await.ok()?;
            *self.listed.borrow_mut() = (Instant::now(), (self.cx.run.wire.read_addresses)(&body));
        }
        let known = &self.listed.borrow().1;
        let at = self.rng.borrow_mut().random_range(0..known.len().max(1));
        known.get(at).copied()
    }

    /// Draws what to ask for.
    fn choose_kind(&self) -> Kind {
        let newest = self.cx.newest_config.get();
        let mut rng = self.rng.borrow_mut();
        match rng.random_range(0..10) {
            0..3 => Kind::Repeatable,
            3..6 => Kind::Once,
            6..8 => Kind::Stream,
            _ => Kind::Marker(newest.saturating_sub(rng.random_range(0..3))),
        }
    }

    /// Sends one request and notes how it ends; returns the connection if it may be used again.
    async fn request(&self, mut connection: Connection) -> Option<Connection> {
        let cx = &self.cx;
        cx.sent.set(cx.sent.get() + 1);
        let id = format!("r{:06}", cx.sent.get());
        let kind = self.choose_kind();
        let req = CallerRequest { id: id.clone(), kind, patience: PATIENCE };
        cx.run.record.begin(&id, kind, (connection.place, connection.life));
        let end = self.exchange(&mut connection, &req).await;
        let again = matches!(end, End::Answered | End::Refused | End::Failed(_));
        cx.run.record.end(&id, end);
        again.then_some(connection)
    }

    /// Sends a request and reads the answer.
    async fn exchange(&self, connection: &mut Connection, req: &CallerRequest) -> End {
        if connection.tx.ready().await.is_err() {
            return End::NotConnected;
        }
        let message: Request<Body> = (self.cx.run.wire.request)(req);
        let sent = connection.tx.send_request(message);
        let answer = match compio::time::timeout(PATIENCE, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) => return End::Broken(err.to_string()),
            Err(_) => return End::Unanswered,
        };
        let (head, body) = Response::into_parts(answer);
        match (self.cx.run.wire.read_head)(&head) {
            AnswerHead::Signed if req.kind == Kind::Stream => self.read_stream(body, req).await,
            AnswerHead::Signed => read_plain(body, req).await,
            AnswerHead::Unsigned => End::Wrong("a success that no upstream signed".to_owned()),
            AnswerHead::NotRun => End::Refused,
            AnswerHead::Failed(status) => End::Failed(status),
        }
    }

    /// Reads a stream of events; a part of the callers leaves before its end.
    async fn read_stream(&self, mut body: Incoming, req: &CallerRequest) -> End {
        let early = self.rng.borrow_mut().random_bool(LEAVES_EARLY);
        let mut text = String::new();
        loop {
            match compio::time::timeout(PATIENCE, read_stream(&mut body)).await {
                Ok(Ok(Some(piece))) => text.push_str(&String::from_utf8_lossy(&piece)),
                Ok(Ok(None)) => break,
                Ok(Err(err)) => {
                    return check_events(&text, req, false).unwrap_or(End::Broken(err.to_string()));
                }
                Err(_) => return End::Unanswered,
            }
            if early && text.len() > EVENTS as usize {
                return End::Left;
            }
        }
        check_events(&text, req, true).unwrap_or(End::Answered)
    }
}

/// Reads the answer to a plain request.
async fn read_plain(body: Incoming, req: &CallerRequest) -> End {
    match read_body(body, MAX_ANSWER, PATIENCE).await {
        Ok(text) => {
            let text = String::from_utf8_lossy(&text).into_owned();
            let life = text.split_whitespace().nth(4).map(|life| life.trim_end_matches(','));
            if text == answer_text(&req.id, life.unwrap_or("")) {
                return End::Answered;
            }
            End::Wrong(format!("the answer {text:?}"))
        }
        Err(err) => End::Broken(err.to_string()),
    }
}

/// Checks the events of a stream: each once, in order, of one generation, and all of them if
/// the stream ended. Returns what is wrong.
fn check_events(text: &str, req: &CallerRequest, ended: bool) -> Option<End> {
    let wrong = |what: String| Some(End::Wrong(what));
    let mut generation = None;
    let mut count = 0;
    for event in text.split_inclusive("\n\n") {
        if !event.ends_with("\n\n") {
            return wrong(format!("a part of an event: {event:?}"));
        }
        let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or("");
        let fields: Vec<&str> = data.split(' ').collect();
        let &[id, of, n] = fields.as_slice() else {
            return wrong(format!("the event {event:?}"));
        };
        count += 1;
        if id != req.id || n != count.to_string() {
            return wrong(format!("event {count} is {data:?}"));
        }
        if *generation.get_or_insert(of) != of {
            return wrong(format!("events of two generations, from {count} on"));
        }
    }
    if ended && count != EVENTS {
        return wrong(format!("a stream that ends as whole after {count} events"));
    }
    None
}
