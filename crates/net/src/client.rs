//! A client for upstreams whose errors tell how far a request got.
//!
//! The promise "not run is true" rests on this file: only
//! [`SendStep::Connect`] and [`SendStep::Unsent`] mean that no byte of the
//! request can have left this process. One request uses one connection, so a
//! late answer can never be read by the next request.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;

use crate::Body;
use crate::server::bound_silence;
use crate::stream::{Stream, USUAL};

/// The step of a call to an upstream at which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStep {
    /// No connection came to be; nothing was sent.
    Connect,
    /// The connection closed before any byte of the request was written.
    Unsent,
    /// Bytes of the request may have reached the upstream.
    AwaitHead,
}

/// A failed call to an upstream.
#[derive(Debug)]
pub struct SendError {
    /// The step that failed.
    pub step: SendStep,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: String,
}

impl SendError {
    /// Returns whether the upstream cannot have seen the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self.step, SendStep::Connect | SendStep::Unsent)
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} to {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for SendError {}

/// Whether an upstream takes connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listening {
    /// It does.
    Yes,
    /// Its host says that nobody listens there.
    No,
    /// There is no telling: it is silent, or out of reach.
    Unclear,
}

/// An upstream's address with the bounds on calls to it.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    /// Where the upstream listens.
    pub addr: SocketAddr,
    /// How long a connect may take.
    pub connect_timeout: Duration,
}

impl Upstream {
    /// Sends one request on a connection of its own and waits for the head of the answer.
    ///
    /// Dropping the returned future or the answer's body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that names the step and the peer.
    pub async fn send(
        &self,
        req: Request<Body>,
        head_timeout: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        let fail = |step, cause: String| SendError { step, peer: self.addr, cause };
        let stream = self.connect().await?;
        let handshake = http1::handshake(Stream::new(stream, USUAL)).await;
        let (mut tx, conn) = handshake.map_err(|err| fail(SendStep::Connect, err.to_string()))?;
        compio::runtime::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!("upstream connection ended: {err}");
            }
        })
        .detach();
        match compio::time::timeout(head_timeout, tx.try_send_request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(mut err)) => {
                let step = match err.take_message() {
                    Some(_) => SendStep::Unsent,
                    None => SendStep::AwaitHead,
                };
                Err(fail(step, err.error().to_string()))
            }
            Err(_) => Err(fail(SendStep::AwaitHead, format!("no answer within {head_timeout:?}"))),
        }
    }

    /// Finds out whether anybody listens at the address, by a connection that is closed at once.
    pub async fn listening(&self) -> Listening {
        match compio::time::timeout(self.connect_timeout, TcpStream::connect(self.addr)).await {
            Ok(Ok(_)) => Listening::Yes,
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Listening::No,
            Ok(Err(_)) | Err(_) => Listening::Unclear,
        }
    }

    async fn connect(&self) -> Result<TcpStream, SendError> {
        let fail = |cause: String| SendError { step: SendStep::Connect, peer: self.addr, cause };
        let connected = compio::time::timeout(self.connect_timeout, TcpStream::connect(self.addr));
        let stream = connected
            .await
            .map_err(|_| fail(format!("no connection within {:?}", self.connect_timeout)))?
            .map_err(|err| fail(err.to_string()))?;
        stream.set_nodelay(true).map_err(|err| fail(err.to_string()))?;
        bound_silence(&stream).map_err(|err| fail(err.to_string()))?;
        Ok(stream)
    }
}
