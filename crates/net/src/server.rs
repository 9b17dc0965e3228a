//! HTTP/1.1 server with resource limits that runs on the current thread.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::{HeaderValue, Request, Response, Uri, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use socket2::{SockRef, TcpKeepalive};

use crate::answers::{AnswerTracker, TrackedBody};
use crate::connection_memory::ConnectionMemory;
use crate::stream::{DEFAULT_IO_BYTES, Stream};
use crate::{Body, MemoryBudget, PendingAnswers, Stop, monitor};

/// Handles one request; the address is that of the caller.
pub type Handler =
    Rc<dyn Fn(Request<Incoming>, SocketAddr) -> LocalBoxFuture<'static, Response<Body>>>;

/// Resource limits of one listener.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed when accepted.
    pub connections: usize,
    /// Time within which the complete request head must arrive.
    pub header_timeout: Duration,
    /// Size limit of the HTTP library's buffer of a connection, in bytes.
    pub buffer: usize,
    /// Typical size of one read or write, in bytes. An idle connection holds twice this much in
    /// buffers.
    pub io_bytes: usize,
    /// Budget from which connections and the heads of requests take their memory.
    pub memory: MemoryBudget,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_timeout: Duration::from_secs(10),
            buffer: 64 * 1024,
            io_bytes: DEFAULT_IO_BYTES,
            memory: MemoryBudget::default(),
        }
    }
}

/// How long sent bytes may stay unacknowledged before the connection is considered broken: twice
/// the time in which heartbeats usually detect a network partition.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time of a connection before the kernel sends the first keepalive probe. An event stream is
/// idle for tens of milliseconds at most, so it is rarely probed, and probes of idle connections
/// cost little.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Interval between keepalive probes. The connection is considered broken once probes have been
/// unanswered for [`UNACKNOWLEDGED_TIMEOUT`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time for which a connection is kept open after a response that ends with it, so that its
/// caller can read the rest. A box that stops waits for it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of one read while a connection is drained, in bytes.
const DRAIN_BYTES: usize = 16 * 1024;

/// Delay before the accept loop retries after an error such as too many open files. Also the
/// polling interval for open connections at shutdown.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the value of a key in the query string of a URI, without percent-decoding.
pub fn query_value<'a>(uri: &'a Uri, key: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

/// Sets TCP timeouts that close a connection whose peer stops acknowledging, for example because of
/// a network partition, even if this side sends no data.
///
/// # Errors
///
/// Returns the system's error if a socket option cannot be set.
pub(crate) fn set_silence_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the system's error with the address that could not be bound.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| io::Error::new(err.kind(), format!("bind {addr}: {err}")))
}

/// Serves connections until `stop` is set, then lets requests in progress finish and returns once
/// every connection is closed. Connections on which no answer is due are closed immediately.
pub async fn serve(listener: TcpListener, limits: ServerLimits, handler: Handler, stop: Stop) {
    serve_answers(listener, limits, handler, PendingAnswers::default(), stop).await;
}

/// Serves connections as [`serve`] does and counts the answers that are due in `pending`.
pub async fn serve_answers(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
    pending: PendingAnswers,
    stop: Stop,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = match select(Box::pin(listener.accept()), Box::pin(stop.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, peer)) if open.get() < limits.connections => {
                let place = OpenConnection::new(&open);
                let tracker = Rc::new(AnswerTracker::new(pending.clone()));
                let (limits, handler, stop) = (limits.clone(), handler.clone(), stop.clone());
                compio::runtime::spawn(async move {
                    let _place = place;
                    let opened = ConnectionMemory::open(&limits.memory, peer, limits.io_bytes);
                    match opened.await {
                        Ok(memory) => {
                            let memory = Rc::new(memory);
                            let conn = AcceptedConnection { stream, peer, tracker, memory };
                            serve_connection(conn, limits, handler, stop).await;
                        }
                        Err(err) => log::warn!(peer:% = peer; "connection not served: {err}"),
                    }
                })
                .detach();
            }
            Ok((_, peer)) => log::warn!(
                "connection from {peer} closed: {} connections are open",
                limits.connections
            ),
            Err(err) => {
                log::warn!("accept failed: {err}");
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// The place of a connection in the count of open ones, which it gives back when it is dropped: also
/// if its handler panics.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection and what is kept for it.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    tracker: Rc<AnswerTracker>,
    memory: Rc<ConnectionMemory>,
}

/// Serves one connection until it ends, `stop` is set and its caller has the answer that is due, or
/// the memory of a request head that is being received is taken back.
async fn serve_connection(
    conn: AcceptedConnection,
    limits: ServerLimits,
    handler: Handler,
    stop: Stop,
) {
    let AcceptedConnection { stream, peer, tracker, memory } = conn;
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("set TCP_NODELAY for {peer}: {err}");
    }
    if let Err(err) = set_silence_timeouts(&stream) {
        log::debug!("set TCP timeouts for {peer}: {err}");
    }
    let reset = ResetOnClose::new(&stream);
    let has_body = Cell::new(false);
    let service = service_fn(|req: Request<Incoming>| {
        let version = req.version();
        has_body.set(!req.body().is_end_stream());
        tracker.begin();
        memory.end_head();
        let answer = handler(req, peer);
        let (reset, tracker) = (&reset, tracker.clone());
        async move {
            let res = prepare_framing(answer.await, version, reset);
            Ok::<_, Infallible>(res.map(|body| TrackedBody::new(body, tracker)))
        }
    });
    let conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.buffer)
        .serve_connection(
            Stream::new(stream, limits.io_bytes).tracked(tracker.clone(), memory.clone()),
            service,
        );
    let mut conn = Box::pin(conn);
    let interrupted = select(Box::pin(stop.wait()), Box::pin(memory.revoked()));
    let ended = match select(conn.as_mut(), interrupted).await {
        Either::Left((ended, _)) => ended,
        Either::Right((Either::Left(_), _)) => {
            conn.as_mut().graceful_shutdown();
            let Some(ended) = finish_answer(conn.as_mut(), &tracker).await else { return };
            ended
        }
        Either::Right((Either::Right(_), _)) => return,
    };
    drop(conn);
    match ended {
        Ok(()) => {
            // The caller may still be sending a body that was refused.
            let lingers = reset.is_set.get() || has_body.get();
            reset.set(false);
            if stop.is_set() {
                // The answer is due until the caller's system has all of it.
                tracker.begin();
                await_sent(&reset.socket).await;
            }
            if lingers {
                drain(reset.socket).await;
            }
        }
        Err(err) => log::debug!("connection from {peer} ended: {err}"),
    }
}

/// Drives a connection until it ends. Returns `None` as soon as no answer is due on it: it would
/// stay open until its caller sends a request.
async fn finish_answer<T>(
    mut conn: impl Future<Output = T> + Unpin,
    tracker: &AnswerTracker,
) -> Option<T> {
    loop {
        match compio::time::timeout(RETRY_INTERVAL, &mut conn).await {
            Ok(ended) => return Some(ended),
            Err(_) if !tracker.is_pending() => return None,
            Err(_) => {}
        }
    }
}

/// Waits until the peer has acknowledged all that was sent. The system closes the connection if the
/// peer stops acknowledging.
async fn await_sent(socket: &TcpStream) {
    while monitor::unacknowledged_bytes(socket).is_ok_and(|bytes| bytes > 0) {
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Reads and discards what the caller sends until it closes the connection, for up to
/// [`DRAIN_TIMEOUT`]. Closing a socket with unread input resets its connection, and the caller may
/// lose the end of a response that it has not read yet.
async fn drain(mut socket: TcpStream) {
    let read_all = async {
        let mut buf = Vec::with_capacity(DRAIN_BYTES);
        loop {
            let BufResult(read, used) = socket.read(buf).await;
            if !read.is_ok_and(|read| read > 0) {
                return;
            }
            buf = used;
            buf.clear();
        }
    };
    if compio::time::timeout(DRAIN_TIMEOUT, read_all).await.is_err() {
        log::debug!("a caller kept its connection open after the end of its response");
    }
}

/// Prepares a response whose end only the end of the connection marks. If its body ends early, or
/// this process does, the connection has to be reset, since its end would read as that of the body.
fn prepare_framing(
    mut res: Response<Body>,
    version: Version,
    reset: &ResetOnClose,
) -> Response<Body> {
    if res.body().is_until_close() {
        // The HTTP library uses chunks for a body of unknown length in HTTP/1.1.
        *res.version_mut() = Version::HTTP_10;
        res.headers_mut().remove(header::CONTENT_LENGTH);
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let is_old = version == Version::HTTP_10 || res.version() == Version::HTTP_10;
    if is_old && res.body().size_hint().exact().is_none() {
        reset.set(true);
    }
    res
}

/// Whether closing a socket resets its connection and discards unsent data.
struct ResetOnClose {
    /// Keeps the socket open until the option is in its final state.
    socket: TcpStream,
    is_set: Cell<bool>,
}

impl ResetOnClose {
    fn new(socket: &TcpStream) -> Self {
        Self { socket: socket.clone(), is_set: Cell::new(false) }
    }

    fn set(&self, resets: bool) {
        if self.is_set.replace(resets) == resets {
            return;
        }
        let linger = resets.then_some(Duration::ZERO);
        if let Err(err) = SockRef::from(&self.socket).set_linger(linger) {
            log::warn!("set the linger time of a connection: {err}");
        }
    }
}
