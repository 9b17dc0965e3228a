//! Speaks to engines: JSON requests, answers as JSON lines.

use std::fmt;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hatchpitch_net::{Body, BodyError, SendError, Upstream, read_body, read_stream};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::messages::{EngineEvent, EngineLoad, EngineRefusal, GenerateRequest};
use crate::ids::TokenIndex;
use crate::trace::TRACEPARENT;
use crate::upstream_signals::{SignalHeaders, UpstreamSignals};

/// Longest line read from an engine, in bytes.
const MAX_LINE: usize = 64 * 1024;
/// Largest whole answer read from an engine, in bytes.
const MAX_ANSWER: usize = 256 * 1024;
/// Time for small calls.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Headers by which engines and services say something of themselves, in any of their answers.
pub const SIGNAL_HEADERS: SignalHeaders =
    SignalHeaders { limit: "hatchpitch-rate-limit", leaving: "hatchpitch-leaving" };

/// Takes in what the head of an answer says of its upstream.
pub type OnHead<'a> = &'a dyn Fn(UpstreamSignals);

/// A failed call to an engine.
#[derive(Debug)]
pub enum EngineError {
    /// The call failed on the way.
    Send(SendError),
    /// The engine answered with a refusal.
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Why.
        cause: String,
        /// Whether the engine says that nothing was run.
        not_run: bool,
    },
    /// The stream broke.
    Body(BodyError),
    /// A line does not decode.
    Decode(String),
    /// The engine takes nothing now, for this reason; nothing was sent.
    Closed(&'static str),
}

impl EngineError {
    /// Returns whether the engine cannot have run anything.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Send(err) => err.is_not_run(),
            Self::Refused { not_run, .. } => *not_run,
            Self::Closed(_) => true,
            Self::Body(_) | Self::Decode(_) => false,
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(err) => write!(f, "{err}"),
            Self::Refused { status, cause, .. } => {
                write!(f, "engine refused with {status}: {cause}")
            }
            Self::Body(err) => write!(f, "engine stream: {err}"),
            Self::Decode(err) => write!(f, "engine stream: {err}"),
            Self::Closed(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for EngineError {}

/// Reads the events of one stream.
pub struct EventReader {
    body: Incoming,
    buf: BytesMut,
}

impl EventReader {
    /// Reads the next event; `None` is the regular end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the link broke, a line is too long or does not decode.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        loop {
            if let Some(line) = self.take_line() {
                let event = serde_json::from_slice(&line);
                return event.map(Some).map_err(|err| EngineError::Decode(err.to_string()));
            }
            if self.buf.len() > MAX_LINE {
                return Err(EngineError::Decode(format!("line longer than {MAX_LINE} bytes")));
            }
            match read_stream(&mut self.body).await.map_err(EngineError::Body)? {
                Some(piece) => self.buf.extend_from_slice(&piece),
                None => return Ok(None),
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line.freeze())
    }
}

/// Starts a generation.
///
/// # Errors
///
/// Returns an [`EngineError`]; [`EngineError::is_not_run`] tells whether it can have run.
pub async fn generate(
    upstream: &Upstream,
    req: &GenerateRequest,
    traceparent: &str,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let body = encode(req)?;
    let req = request(Method::POST, upstream, "/v1/generate", traceparent, body);
    open_stream(upstream, req, head_timeout, on_head).await
}

/// A reading of a generation that began.
#[derive(Debug, Clone, Copy)]
pub struct Link<'a> {
    /// The generation.
    pub generation: &'a str,
    /// Names this reading.
    pub attempt: &'a str,
    /// The first token that is read.
    pub from: TokenIndex,
    /// Span of the call.
    pub traceparent: &'a str,
}

/// Reads a generation from a token on, taking the place of any other reader.
///
/// # Errors
///
/// Returns an [`EngineError`]; a refusal with 404 means that the engine does not hold it.
pub async fn resume(
    upstream: &Upstream,
    link: Link<'_>,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let Link { generation, attempt, from, traceparent } = link;
    let path = format!("/v1/generations/{generation}?attempt={attempt}&from={from}");
    let req = request(Method::GET, upstream, &path, traceparent, Body::empty());
    open_stream(upstream, req, head_timeout, on_head).await
}

/// Cancels a generation unless a reading other than `attempt` has taken over.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn cancel(
    upstream: &Upstream,
    generation: &str,
    attempt: &str,
    on_head: OnHead<'_>,
) -> Result<(), EngineError> {
    let path = format!("/v1/generations/{generation}?attempt={attempt}");
    let req = request(Method::DELETE, upstream, &path, "", Body::empty());
    whole(upstream, req, on_head).await.map(|_| ())
}

/// Reads an engine's load report.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn load(upstream: &Upstream, on_head: OnHead<'_>) -> Result<EngineLoad, EngineError> {
    let req = request(Method::GET, upstream, "/v1/load", "", Body::empty());
    parse(&whole(upstream, req, on_head).await?)
}

/// Reads a JSON document from an engine.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn get_json<A: DeserializeOwned>(
    upstream: &Upstream,
    path: &str,
) -> Result<A, EngineError> {
    let req = request(Method::GET, upstream, path, "", Body::empty());
    parse(&whole(upstream, req, &|_| {}).await?)
}

fn parse<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, EngineError> {
    serde_json::from_slice(bytes).map_err(|err| EngineError::Decode(err.to_string()))
}

/// Posts a JSON document to an engine and reads the whole answer.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn post_json<Q: Serialize>(
    upstream: &Upstream,
    path: &str,
    message: &Q,
) -> Result<Bytes, EngineError> {
    let body = encode(message)?;
    whole(upstream, request(Method::POST, upstream, path, "", body), &|_| {}).await
}

fn encode<Q: Serialize>(message: &Q) -> Result<Body, EngineError> {
    let text =
        serde_json::to_string(message).map_err(|err| EngineError::Decode(err.to_string()))?;
    Ok(Body::from(text))
}

fn request(
    method: Method,
    upstream: &Upstream,
    path: &str,
    traceparent: &str,
    body: Body,
) -> Request<Body> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, upstream.addr.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if !traceparent.is_empty() {
        req = req.header(TRACEPARENT, traceparent);
    }
    req.body(body).expect("paths and headers made here are valid")
}

async fn open_stream(
    upstream: &Upstream,
    req: Request<Body>,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let res = upstream.send(req, head_timeout).await.map_err(EngineError::Send)?;
    on_head(signals(&res));
    if res.status() == StatusCode::OK {
        return Ok(EventReader { body: res.into_body(), buf: BytesMut::new() });
    }
    Err(refusal(res.status(), res.into_body()).await)
}

/// Returns what the head of an answer says of its upstream.
pub fn signals(res: &Response<Incoming>) -> UpstreamSignals {
    UpstreamSignals::read(&SIGNAL_HEADERS, res.status(), res.headers())
}

async fn whole(
    upstream: &Upstream,
    req: Request<Body>,
    on_head: OnHead<'_>,
) -> Result<Bytes, EngineError> {
    let res = upstream.send(req, CALL_LIMIT).await.map_err(EngineError::Send)?;
    on_head(signals(&res));
    let status = res.status();
    if !status.is_success() {
        return Err(refusal(status, res.into_body()).await);
    }
    read_body(res.into_body(), MAX_ANSWER, CALL_LIMIT).await.map_err(EngineError::Body)
}

async fn refusal(status: StatusCode, body: Incoming) -> EngineError {
    let text = match read_body(body, MAX_ANSWER, CALL_LIMIT).await {
        Ok(text) => text,
        Err(err) => return EngineError::Body(err),
    };
    match serde_json::from_slice::<EngineRefusal>(&text) {
        Ok(refusal) => EngineError::Refused { status, cause: refusal.error, not_run: !refusal.ran },
        Err(err) => EngineError::Refused { status, cause: err.to_string(), not_run: false },
    }
}
