//! HTTP client for engines: JSON requests, streamed answers as newline-delimited JSON.

use std::fmt;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hatchpitch_net::{Body, BodyError, ResponseBody, SendError, read_body, read_stream};
use http::{Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::messages::{EngineEvent, EngineLoad, EngineRefusal, GenerateRequest};
use crate::ids::TokenIndex;
use crate::reachability::UpstreamClient;
use crate::trace::TRACEPARENT;
use crate::upstream_signals::{SignalHeaders, UpstreamSignals};

/// Maximum length of one line of a stream, in bytes.
const MAX_LINE: usize = 64 * 1024;
/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER: usize = 256 * 1024;
/// Timeout of calls that do not open a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response headers in which engines and services announce their rate limit or that they leave.
pub const SIGNAL_HEADERS: SignalHeaders = SignalHeaders {
    limit: "hatchpitch-rate-limit",
    leaving: "hatchpitch-leaving",
    brittle: "hatchpitch-brittle",
};

/// Callback for the signals in the response head of an upstream.
pub type OnHead<'a> = &'a dyn Fn(UpstreamSignals);

/// A failed call to an engine.
#[derive(Debug)]
pub enum EngineError {
    /// The request could not be sent, or no response head arrived.
    Send(SendError),
    /// The engine answered with an error status.
    Refused {
        /// Status code of the answer.
        status: StatusCode,
        /// Reason given by the engine.
        cause: String,
        /// Whether the engine reports that nothing was run.
        not_run: bool,
    },
    /// The response body could not be read to its end.
    Body(BodyError),
    /// A message could not be encoded or decoded.
    Decode(String),
    /// The engine accepts no requests at present, for this reason; nothing was sent.
    Closed(&'static str),
}

impl EngineError {
    /// Returns whether it is certain that the engine has run nothing.
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

/// Reads the events of one response stream.
pub struct EventReader {
    body: ResponseBody,
    buf: BytesMut,
}

impl EventReader {
    /// Reads the next event; `None` at the regular end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the connection broke, or if a line is too long or does
    /// not decode.
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
                Some(chunk) => self.buf.extend_from_slice(&chunk),
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

/// Starts a generation and opens its event stream.
///
/// # Errors
///
/// Returns an [`EngineError`]; [`EngineError::is_not_run`] tells whether it is certain that nothing
/// was run.
pub async fn generate(
    upstream: &UpstreamClient,
    req: &GenerateRequest,
    traceparent: &str,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let body = encode(req)?;
    let req = request(Method::POST, upstream, "/v1/generate", traceparent, body);
    open_stream(upstream, req, head_timeout, on_head).await
}

/// Parameters for resuming the stream of a generation.
#[derive(Debug, Clone, Copy)]
pub struct ResumeRequest<'a> {
    /// The generation.
    pub generation: &'a str,
    /// Id of the new attempt, which every event of the stream carries.
    pub attempt: &'a str,
    /// Index of the first token wanted.
    pub from: TokenIndex,
    /// Value of the `traceparent` header.
    pub traceparent: &'a str,
}

/// Opens a stream of a generation from a given token on; it supersedes any other open stream.
///
/// # Errors
///
/// Returns an [`EngineError`]; a refusal with status 404 means that the engine does not have
/// the generation.
pub async fn resume(
    upstream: &UpstreamClient,
    resume_req: ResumeRequest<'_>,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let ResumeRequest { generation, attempt, from, traceparent } = resume_req;
    let path = format!("/v1/generations/{generation}?attempt={attempt}&from={from}");
    let req = request(Method::GET, upstream, &path, traceparent, Body::empty());
    open_stream(upstream, req, head_timeout, on_head).await
}

/// Cancels a generation unless another attempt has superseded `attempt`.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn cancel(
    upstream: &UpstreamClient,
    generation: &str,
    attempt: &str,
    on_head: OnHead<'_>,
) -> Result<(), EngineError> {
    let path = format!("/v1/generations/{generation}?attempt={attempt}");
    let req = request(Method::DELETE, upstream, &path, "", Body::empty());
    call(upstream, req, on_head).await.map(|_| ())
}

/// Fetches the load report of an engine.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn load(
    upstream: &UpstreamClient,
    on_head: OnHead<'_>,
) -> Result<EngineLoad, EngineError> {
    let req = request(Method::GET, upstream, "/v1/load", "", Body::empty());
    parse(&call(upstream, req, on_head).await?)
}

/// Fetches a JSON document from an engine.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn get_json<A: DeserializeOwned>(
    upstream: &UpstreamClient,
    path: &str,
) -> Result<A, EngineError> {
    let req = request(Method::GET, upstream, path, "", Body::empty());
    parse(&call(upstream, req, &|_| {}).await?)
}

fn parse<A: DeserializeOwned>(bytes: &[u8]) -> Result<A, EngineError> {
    serde_json::from_slice(bytes).map_err(|err| EngineError::Decode(err.to_string()))
}

/// Posts a JSON document to an engine and reads the complete answer.
///
/// # Errors
///
/// Returns an [`EngineError`].
pub async fn post_json<Q: Serialize>(
    upstream: &UpstreamClient,
    path: &str,
    message: &Q,
) -> Result<Bytes, EngineError> {
    let body = encode(message)?;
    call(upstream, request(Method::POST, upstream, path, "", body), &|_| {}).await
}

fn encode<Q: Serialize>(message: &Q) -> Result<Body, EngineError> {
    let text =
        serde_json::to_string(message).map_err(|err| EngineError::Decode(err.to_string()))?;
    Ok(Body::from(text))
}

fn request(
    method: Method,
    upstream: &UpstreamClient,
    path: &str,
    traceparent: &str,
    body: Body,
) -> Request<Body> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, upstream.addr().to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if !traceparent.is_empty() {
        req = req.header(TRACEPARENT, traceparent);
    }
    req.body(body).expect("path and headers are valid by construction")
}

async fn open_stream(
    upstream: &UpstreamClient,
    req: Request<Body>,
    head_timeout: Duration,
    on_head: OnHead<'_>,
) -> Result<EventReader, EngineError> {
    let res = upstream.send(req, head_timeout).await.map_err(EngineError::Send)?;
    on_head(head_signals(&res));
    if res.status() == StatusCode::OK {
        return Ok(EventReader { body: res.into_body(), buf: BytesMut::new() });
    }
    Err(read_refusal(upstream, res).await)
}

/// Returns the signals about its upstream in a response head.
pub fn head_signals(res: &Response<ResponseBody>) -> UpstreamSignals {
    UpstreamSignals::read(&SIGNAL_HEADERS, res.status(), res.headers())
}

/// Sends a request and reads the complete answer.
async fn call(
    upstream: &UpstreamClient,
    req: Request<Body>,
    on_head: OnHead<'_>,
) -> Result<Bytes, EngineError> {
    let res = upstream.send(req, CALL_TIMEOUT).await.map_err(EngineError::Send)?;
    on_head(head_signals(&res));
    let status = res.status();
    if !status.is_success() {
        return Err(read_refusal(upstream, res).await);
    }
    let held = upstream.open_answer("engine");
    read_body(res.into_body(), MAX_ANSWER, CALL_TIMEOUT, held).await.map_err(EngineError::Body)
}

/// Reads an error response; an undecodable body counts as possibly run.
async fn read_refusal(upstream: &UpstreamClient, res: Response<ResponseBody>) -> EngineError {
    let status = res.status();
    let held = upstream.open_answer("engine");
    let text = match read_body(res.into_body(), MAX_ANSWER, CALL_TIMEOUT, held).await {
        Ok(text) => text,
        Err(err) => return EngineError::Body(err),
    };
    match serde_json::from_slice::<EngineRefusal>(&text) {
        Ok(refusal) => EngineError::Refused { status, cause: refusal.error, not_run: !refusal.ran },
        Err(err) => EngineError::Refused { status, cause: err.to_string(), not_run: false },
    }
}
