//! A bounded HTTP/1.1 server on the current thread.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::future::{Either, LocalBoxFuture, select};
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use socket2::{SockRef, TcpKeepalive};

use crate::stream::{Stream, USUAL};
use crate::{Body, Stop};

/// Answers one request; the address is the caller's.
pub type Handler =
    Rc<dyn Fn(Request<Incoming>, SocketAddr) -> LocalBoxFuture<'static, Response<Body>>>;

/// Bounds that hold for each listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections open at once; more are closed on arrival.
    pub connections: usize,
    /// Time in which a whole request head must arrive.
    pub header_timeout: Duration,
    /// Bytes that a connection may buffer.
    pub buffer: usize,
    /// Bytes that one read or write usually moves; each connection holds twice as many while it
    /// rests.
    pub usual: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_timeout: Duration::from_secs(10),
            buffer: 64 * 1024,
            usual: USUAL,
        }
    }
}

/// How long a peer may leave sent bytes unacknowledged before its connection counts as broken.
/// Twice the time after which a cut of a network link is usually noticed by heartbeats.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);

/// How long a connection may rest before the kernel asks the peer whether it is still there: a
/// stream of events rests for tens of ms at most, and idle connections cost little by it.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Time between two such questions. The connection counts as broken once the peer has left them
/// unanswered for [`UNACKNOWLEDGED_LIMIT`].
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// How long the accept loop rests after a failure such as too many open files.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Returns the value of a key in a request's query, as it stands there.
pub fn query_value<'a>(uri: &'a Uri, key: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

/// Ends a connection whose peer acknowledges nothing for a while, such as one behind a cut, also
/// where this side only waits and sends nothing itself.
///
/// # Errors
///
/// Returns the system's error if the socket does not take an option.
pub(crate) fn bound_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_PERIOD);
    socket.set_tcp_keepalive(&probes)
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

/// Serves connections until `stop` is set; requests in progress then finish.
///
/// Returns once every connection has closed.
pub async fn serve(listener: TcpListener, limits: ServerLimits, handler: Handler, stop: Stop) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = match select(Box::pin(listener.accept()), Box::pin(stop.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, peer)) if open.get() < limits.connections => {
                open.set(open.get() + 1);
                let task = connection(stream, peer, limits, handler.clone(), stop.clone());
                let open = open.clone();
                compio::runtime::spawn(async move {
                    task.await;
                    open.set(open.get() - 1);
                })
                .detach();
            }
            Ok((_, peer)) => log::warn!("connection from {peer} closed: too many open"),
            Err(err) => {
                log::warn!("accept failed: {err}");
                compio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(ACCEPT_RETRY).await;
    }
}

async fn connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    handler: Handler,
    stop: Stop,
) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("set_nodelay for {peer}: {err}");
    }
    if let Err(err) = bound_silence(&stream) {
        log::debug!("set_tcp_user_timeout for {peer}: {err}");
    }
    let service = service_fn(move |req| {
        let answer = handler(req, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.buffer)
        .serve_connection(Stream::new(stream, limits.usual), service);
    let mut conn = Box::pin(conn);
    let ended = match select(conn.as_mut(), Box::pin(stop.wait())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = ended {
        log::debug!("connection from {peer} ended: {err}");
    }
}
