//! HTTP client for upstreams whose errors tell how far a request got.
//!
//! The guarantee that a request reported as `not_run` was not executed depends
//! on this module: [`SendError::is_not_run`] holds only if no byte of the request
//! can have left this process. Each request uses a connection of its own, so a
//! late answer is never read as that of the next request.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpSocket, TcpStream};
use http::{Method, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use serde::{Deserialize, Serialize};

use crate::exchange::Exchange;
use crate::server::set_silence_timeouts;
use crate::stream::{DEFAULT_IO_BYTES, Stream};
use crate::{Body, ConnectionMonitor, Framing, ResponseBody};

/// Message of a probe. It is no request, so an upstream runs nothing for it; HTTP servers answer it
/// with 400.
const PROBE_MESSAGE: &[u8] = b"PROBE\r\n\r\n";

/// Size limit of the HTTP library's buffer of a connection, in bytes. It bounds the heads and chunks
/// that an upstream sends faster than they are passed on.
const MAX_HTTP_BUFFER: usize = 32 * 1024;

/// The step of a call to an upstream at which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStep {
    /// No connection was established; nothing was sent.
    Connect,
    /// The connection closed before any byte of the request was written.
    Unsent,
    /// This process has no connection to the peer, and it is unknown whether others have; nothing
    /// was sent.
    NoPath,
    /// Bytes of the request may have reached the upstream.
    AwaitHead,
    /// Bytes of the request may have reached the upstream, and the link that they were sent on was
    /// found to be lost. The failure is no evidence against the upstream.
    LinkLost,
    /// The upstream has sent something that is no response.
    InvalidResponse,
}

/// A failed call to an upstream.
#[derive(Debug)]
pub struct SendError {
    /// The step that failed.
    pub step: SendStep,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// Description of the failure.
    pub cause: String,
}

impl SendError {
    /// Returns whether it is certain that no part of the request reached the upstream.
    pub fn is_not_run(&self) -> bool {
        match self.step {
            SendStep::Connect | SendStep::Unsent | SendStep::NoPath => true,
            SendStep::AwaitHead | SendStep::LinkLost | SendStep::InvalidResponse => false,
        }
    }

    /// Returns whether the upstream failed to respond to a request that it may have run.
    pub fn is_broken_response(&self) -> bool {
        matches!(self.step, SendStep::AwaitHead | SendStep::InvalidResponse)
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} to {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for SendError {}

/// Whether an upstream accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listening {
    /// The upstream accepted a connection.
    Yes,
    /// The host refused the connection: no process listens on the port.
    No,
    /// Unknown: the connect timed out or failed for another reason.
    Unclear,
}

/// Result of a probe of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbedLink {
    /// The upstream reacted to a message.
    Answers,
    /// The connection stayed open, and nothing came back on it.
    Silent,
    /// The connection was established, then closed or reset.
    Closed,
    /// No connection was established.
    NoConnection,
}

/// Address of an upstream and how to connect to it.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    /// Longest time that a connect may take.
    pub connect_timeout: Duration,
    /// Local address of connections; the system chooses one if there is none.
    pub source: Option<IpAddr>,
}

impl Upstream {
    /// Sends one request on a new connection and waits up to `head_timeout` for the response head.
    ///
    /// Dropping the returned future or the response body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that names the step and the peer.
    pub async fn send(
        &self,
        req: Request<Body>,
        head_timeout: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.connect().await?.send(req, head_timeout).await
    }

    /// Connects for one request.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] of the step [`SendStep::Connect`].
    pub async fn connect(&self) -> Result<Connection, SendError> {
        let fail = |cause: String| SendError { step: SendStep::Connect, peer: self.addr, cause };
        let connected = compio::time::timeout(self.connect_timeout, self.open());
        let stream = connected
            .await
            .map_err(|_| fail(format!("no connection within {:?}", self.connect_timeout)))?
            .map_err(|err| fail(err.to_string()))?;
        stream.set_nodelay(true).map_err(|err| fail(err.to_string()))?;
        set_silence_timeouts(&stream).map_err(|err| fail(err.to_string()))?;
        Ok(Connection { peer: self.addr, stream })
    }

    /// Probes a connection to the upstream: keeps it open for `hold`, then sends a message that is
    /// no request and waits up to `answer_timeout` for the upstream to react.
    pub async fn probe(&self, hold: Duration, answer_timeout: Duration) -> ProbedLink {
        let Ok(conn) = self.connect().await else { return ProbedLink::NoConnection };
        let monitor = conn.monitor();
        let mut stream = conn.stream;
        let read = compio::time::timeout(hold, stream.read(Vec::with_capacity(1))).await;
        match read {
            Ok(BufResult(Ok(1..), _)) => return ProbedLink::Answers,
            Ok(_) => return ProbedLink::Closed,
            Err(_) => {}
        }
        let BufResult(written, _) = stream.write_all(PROBE_MESSAGE).await;
        if written.is_err() {
            return ProbedLink::Closed;
        }
        let read = compio::time::timeout(answer_timeout, stream.read(Vec::with_capacity(1))).await;
        match read {
            // Some servers close the connection without an answer. A connection that was open until
            // then and is closed in order after the message has carried it.
            Ok(BufResult(Ok(_), _)) => ProbedLink::Answers,
            Ok(BufResult(Err(_), _)) => ProbedLink::Closed,
            Err(_) => {
                monitor.reset();
                ProbedLink::Silent
            }
        }
    }

    /// Probes whether the upstream listens, with a connection that is closed immediately.
    pub async fn listening(&self) -> Listening {
        match compio::time::timeout(self.connect_timeout, self.open()).await {
            Ok(Ok(_)) => Listening::Yes,
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Listening::No,
            Ok(Err(_)) | Err(_) => Listening::Unclear,
        }
    }

    async fn open(&self) -> io::Result<TcpStream> {
        let Some(source) = self.source else { return TcpStream::connect(self.addr).await };
        let socket = match self.addr {
            SocketAddr::V4(_) => TcpSocket::new_v4().await?,
            SocketAddr::V6(_) => TcpSocket::new_v6().await?,
        };
        socket.bind(SocketAddr::new(source, 0)).await?;
        socket.connect(self.addr).await
    }
}

/// An established connection to an upstream, for one request.
pub struct Connection {
    peer: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    /// Returns a handle to observe and reset the connection while it is in use.
    pub fn monitor(&self) -> ConnectionMonitor {
        ConnectionMonitor::new(&self.stream)
    }

    /// Sends the request and waits up to `head_timeout` for the response head.
    ///
    /// Dropping the returned future or the response body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that names the step and the peer.
    pub async fn send(
        self,
        req: Request<Body>,
        head_timeout: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let peer = self.peer;
        let fail = |step, cause: String| SendError { step, peer, cause };
        let exchange = Exchange::new();
        let req = req.map(|body| body.guarded(exchange.request_guard()));
        let stream = Stream::new(self.stream, DEFAULT_IO_BYTES).with_exchange(exchange.clone());
        let handshake = http1::Builder::new().max_buf_size(MAX_HTTP_BUFFER).handshake(stream).await;
        let (mut tx, conn) = handshake.map_err(|err| fail(SendStep::Connect, err.to_string()))?;
        compio::runtime::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("upstream connection ended: {err}");
            }
        })
        .detach();
        let method = req.method().clone();
        match compio::time::timeout(head_timeout, tx.try_send_request(req)).await {
            Ok(Ok(res)) => {
                exchange.record_head();
                let res = check_head(peer, &method, res)?;
                exchange.record_response(res.body().framing(), res.status());
                Ok(res)
            }
            Ok(Err(mut err)) => {
                let step = match err.take_message() {
                    Some(_) => SendStep::Unsent,
                    None if err.error().is_parse() => SendStep::InvalidResponse,
                    None => SendStep::AwaitHead,
                };
                if step == SendStep::InvalidResponse {
                    log::warn!(peer:% = peer; "invalid response head: {}", err.error());
                }
                Err(fail(step, err.error().to_string()))
            }
            Err(_) => Err(fail(SendStep::AwaitHead, format!("no answer within {head_timeout:?}"))),
        }
    }
}

/// Checks the head of a response and takes the framing of its body from it.
fn check_head(
    peer: SocketAddr,
    method: &Method,
    res: Response<Incoming>,
) -> Result<Response<ResponseBody>, SendError> {
    let (mut head, body) = res.into_parts();
    match Framing::take(method, &mut head) {
        Ok(framing) => Ok(Response::from_parts(head, ResponseBody::new(body, framing))),
        Err(err) => {
            log::warn!(peer:% = peer, field = err.field(); "invalid response head: {err}");
            Err(SendError { step: SendStep::InvalidResponse, peer, cause: err.to_string() })
        }
    }
}
