//! Signed RPC between boxes: HTTP `POST` with a MessagePack body.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::receive::UnverifiedPool;
use crate::{
    Backlog, Body, Holder, KeyRing, MemoryBudget, MemoryError, Origin, Reservation, ResponseBody,
    ResponseHead, SendError, SendStep, Upstream,
};

/// Header that carries the signature of a message between boxes.
pub const SIGNATURE_HEADER: &str = "x-hatchpitch-signature";
/// Header that carries the signature of the path and the length of a message, which the receiver
/// verifies before it reads the body. Boxes of earlier versions do not send it.
pub const HEAD_SIGNATURE_HEADER: &str = "x-hatchpitch-head-signature";
/// Purpose under which messages between boxes are signed.
const SIGNATURE_PURPOSE: &str = "box-message";
/// Purpose under which the heads of messages between boxes are signed.
const HEAD_PURPOSE: &str = "box-message-head";
/// Largest accepted response from another box, in bytes, unless the client has other limits.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
const CONTENT_TYPE: &str = "application/msgpack";

/// The step of a call to another box at which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// The message could not be encoded.
    Encode,
    /// The call could not be sent or was not answered in time.
    Send,
    /// The system of the box refused the connection: no process listens at the address.
    NoListener,
    /// The box answered with a status other than 200.
    Refused,
    /// The answer could not be decoded.
    Decode,
}

/// A failed call to another box.
#[derive(Debug)]
pub struct CallError {
    /// The step that failed.
    pub step: CallStep,
    /// The box's address.
    pub peer: SocketAddr,
    /// Description of the failure.
    pub cause: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at box {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for CallError {}

/// RPC client for other boxes. Reuses connections and signs each message.
#[derive(Clone)]
pub struct BoxClient {
    http: cyper::Client,
    keys: KeyRing,
    traffic: Rc<RefCell<BTreeMap<String, Traffic>>>,
    backlog: Backlog,
    pub(crate) unverified: UnverifiedPool,
    /// Returns the size of the largest accepted response to a call to a path, in bytes.
    max_answer: fn(&str) -> usize,
}

/// Traffic of a [`BoxClient`] on one path, without message headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of calls started.
    pub calls: u64,
    /// Total size of the bodies sent and received, in bytes.
    pub body_bytes: u64,
}

impl BoxClient {
    /// Creates a client that signs with the first key of `keys`.
    ///
    /// # Errors
    ///
    /// Returns the HTTP library's error if its client cannot be built.
    pub fn new(keys: KeyRing) -> anyhow::Result<Self> {
        let http = cyper::Client::builder().no_proxy().build()?;
        Ok(Self {
            http,
            keys,
            traffic: Rc::default(),
            backlog: Backlog::default(),
            unverified: UnverifiedPool::default(),
            max_answer: |_| MAX_ANSWER,
        })
    }

    /// Takes the memory of messages from `memory`.
    pub fn with_memory(mut self, memory: MemoryBudget) -> Self {
        self.backlog = Backlog::new(memory);
        self
    }

    /// Accepts responses to calls to a path up to the size in bytes that `max_answer` returns for it.
    pub fn with_answer_limits(mut self, max_answer: fn(&str) -> usize) -> Self {
        self.max_answer = max_answer;
        self
    }

    /// Returns the memory budget of the process.
    pub fn memory(&self) -> &MemoryBudget {
        self.backlog.memory()
    }

    /// Opens an empty reservation for bytes on a path or route.
    pub fn open_memory(&self, holder: Holder, path: &str) -> Reservation {
        self.memory().open(holder, Origin::path(path))
    }

    /// Returns the keys that this client signs with.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// Returns the traffic so far, by path.
    pub fn traffic(&self) -> BTreeMap<String, Traffic> {
        self.traffic.borrow().clone()
    }

    /// Returns the backlog of messages queued for other boxes.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Creates a MessagePack response to another box and counts it in the backlog until it is sent.
    /// Responds with 503 if the memory budget has no room for a large one.
    pub fn respond<A: Serialize>(&self, answer: &A) -> Response<Body> {
        let bytes = match rmp_serde::to_vec_named(answer) {
            Ok(bytes) => bytes,
            Err(err) => {
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string());
            }
        };
        match self.backlog.count_answer(bytes) {
            Ok(bytes) => message_response(bytes),
            Err(err) => {
                log::info!("no answer to another box: {err}");
                text_response(StatusCode::SERVICE_UNAVAILABLE, &err.to_string())
            }
        }
    }

    fn record_traffic(&self, path: &str, calls: u64, bytes: usize) {
        let mut traffic = self.traffic.borrow_mut();
        if !traffic.contains_key(path) {
            traffic.insert(path.to_owned(), Traffic::default());
        }
        if let Some(entry) = traffic.get_mut(path) {
            entry.calls += calls;
            entry.body_bytes += bytes as u64;
        }
    }

    /// Sends `message` to `path` at `peer` and decodes the response, all within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that names the step and the peer.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, CallError> {
        let fail = |step, cause: String| CallError { step, peer, cause };
        let body = rmp_serde::to_vec_named(message)
            .map_err(|err| fail(CallStep::Encode, err.to_string()))?;
        let bytes = match compio::time::timeout(limit, self.exchange(peer, path, body)).await {
            Ok(answer) => answer?,
            Err(_) => return Err(fail(CallStep::Send, format!("no answer within {limit:?}"))),
        };
        rmp_serde::from_slice(&bytes).map_err(|err| fail(CallStep::Decode, err.to_string()))
    }

    /// Sends `message` to `path` at `peer` on a connection of its own and returns the response
    /// with its body still to be read.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the message can have reached the box.
    pub async fn request_stream<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &Q,
        connect_timeout: Duration,
        head_timeout: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let unsent = |cause| SendError { step: SendStep::Unsent, peer, cause };
        let body = rmp_serde::to_vec_named(message).map_err(|err| unsent(err.to_string()))?;
        let value = |signature: String| {
            HeaderValue::from_str(&signature).map_err(|err| unsent(err.to_string()))
        };
        let signature = value(self.keys.sign(SIGNATURE_PURPOSE, &[path.as_bytes(), &body]))?;
        let head_signature = value(sign_head(&self.keys, path, body.len()))?;
        let host =
            HeaderValue::from_str(&peer.to_string()).map_err(|err| unsent(err.to_string()))?;
        let len = body.len();
        let queued = self.backlog.count(path, body).map_err(|err| unsent(err.to_string()))?;
        self.record_traffic(path, 1, len);
        let mut req = Request::new(Body::from(queued));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = Uri::from_static(path);
        let headers = req.headers_mut();
        headers.insert(header::HOST, host);
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
        headers.insert(SIGNATURE_HEADER, signature);
        headers.insert(HEAD_SIGNATURE_HEADER, head_signature);
        Upstream { addr: peer, connect_timeout, source: None }.send(req, head_timeout).await
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, CallError> {
        let fail = |step, cause: String| CallError { step, peer, cause };
        let send_failed = |err: cyper::Error| {
            let step = if is_refused(&err) { CallStep::NoListener } else { CallStep::Send };
            fail(step, error_chain(&err))
        };
        let len = body.len();
        let signature = self.keys.sign(SIGNATURE_PURPOSE, &[path.as_bytes(), &body]);
        let queued = self.backlog.count(path, body);
        let queued = queued.map_err(|err| fail(CallStep::Send, err.to_string()))?;
        self.record_traffic(path, 1, len);
        let req = self
            .http
            .post(format!("http://{peer}{path}"))
            .and_then(|req| req.header(header::CONTENT_TYPE, CONTENT_TYPE))
            .and_then(|req| req.header(SIGNATURE_HEADER, signature))
            .and_then(|req| req.header(HEAD_SIGNATURE_HEADER, sign_head(&self.keys, path, len)))
            .map_err(send_failed)?;
        let res = req.body(queued).send().await.map_err(send_failed)?;
        let status = res.status();
        let head = ResponseHead { method: &Method::POST, status, headers: res.headers() };
        head.check_marked().map_err(|err| {
            log::warn!(peer:% = peer, field = err.field(), path = path; "invalid response head: {err}");
            fail(CallStep::Send, err.to_string())
        })?;
        let bytes = self.read_answer(peer, path, res).await?;
        self.record_traffic(path, 0, bytes.len());
        if status != StatusCode::OK {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(fail(CallStep::Refused, format!("{status}: {text}")));
        }
        Ok(bytes)
    }

    /// Reads the body of a response, which is counted in the memory budget until the result is
    /// dropped.
    async fn read_answer(
        &self,
        peer: SocketAddr,
        path: &str,
        mut res: cyper::Response,
    ) -> Result<Bytes, CallError> {
        let fail = |step, cause: String| CallError { step, peer, cause };
        let max = (self.max_answer)(path);
        let too_large = || fail(CallStep::Decode, format!("answer larger than {max} bytes"));
        let announced = usize::try_from(res.content_length().unwrap_or(0)).unwrap_or(usize::MAX);
        if announced > max {
            return Err(too_large());
        }
        let origin = Origin { path: path.to_owned(), ..Origin::peer(peer) };
        let no_room = |err: MemoryError| fail(CallStep::Send, err.to_string());
        let held = self.memory().reserve(Holder::BoxMessage, origin, announced);
        let held = held.map_err(no_room)?;
        let mut buf = Vec::with_capacity(announced);
        while let Some(chunk) = res.next().await {
            let chunk = chunk.map_err(|err| fail(CallStep::Send, error_chain(&err)))?;
            let len = buf.len() + chunk.len();
            if len > max {
                return Err(too_large());
            }
            held.extend(&mut buf, &chunk, max).map_err(no_room)?;
        }
        Ok(held.attach(buf))
    }
}

/// Signs the path and the length of a message.
pub fn sign_head(keys: &KeyRing, path: &str, len: usize) -> String {
    keys.sign(HEAD_PURPOSE, &[path.as_bytes(), &(len as u64).to_be_bytes()])
}

/// Returns whether `signature` was made by [`sign_head`] with a key of the ring for this path and
/// length.
pub fn verify_head(keys: &KeyRing, path: &str, len: u64, signature: &str) -> bool {
    keys.verify(HEAD_PURPOSE, &[path.as_bytes(), &len.to_be_bytes()], signature)
}

/// Formats an error together with its sources.
fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(": ");
        text.push_str(&err.to_string());
        cause = err.source();
    }
    text
}

/// Returns whether an error is due to a refused connection.
fn is_refused(err: &(dyn std::error::Error + 'static)) -> bool {
    let causes = std::iter::successors(Some(err), |err| err.source());
    let mut io_errors = causes.filter_map(|err| err.downcast_ref::<io::Error>());
    io_errors.any(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}

/// Verifies the signature of a message from another box and decodes it. Programs that hold bodies of
/// unknown senders only within limits use [`BoxClient::receive`] instead.
///
/// # Errors
///
/// Returns the response to send: 401 for an invalid signature, 400 for a body
/// that does not decode.
pub fn open_message<Q: DeserializeOwned>(
    keys: &KeyRing,
    path: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Q, Box<Response<Body>>> {
    verify_body(keys, path, headers, body)?;
    decode_message(path, body)
}

/// Verifies the signature of the path and the body of a message.
pub(crate) fn verify_body(
    keys: &KeyRing,
    path: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(), Box<Response<Body>>> {
    let signature = headers.get(SIGNATURE_HEADER).and_then(|value| value.to_str().ok());
    let signed =
        signature.is_some_and(|s| keys.verify(SIGNATURE_PURPOSE, &[path.as_bytes(), body], s));
    if signed { Ok(()) } else { Err(Box::new(unknown_sender())) }
}

pub(crate) fn decode_message<Q: DeserializeOwned>(
    path: &str,
    body: &[u8],
) -> Result<Q, Box<Response<Body>>> {
    rmp_serde::from_slice(body).map_err(|err| {
        let text = format!("{path}: message does not decode: {err}");
        Box::new(text_response(StatusCode::BAD_REQUEST, &text))
    })
}

/// Returns the response to a message whose signature is missing or invalid.
pub(crate) fn unknown_sender() -> Response<Body> {
    text_response(StatusCode::UNAUTHORIZED, "unknown or missing box signature")
}

/// Creates a MessagePack response to another box.
pub fn rmp_response<A: Serialize>(answer: &A) -> Response<Body> {
    match rmp_serde::to_vec_named(answer) {
        Ok(bytes) => message_response(Bytes::from(bytes)),
        Err(err) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

fn message_response(bytes: Bytes) -> Response<Body> {
    let mut res = Response::new(Body::from(bytes));
    let value = HeaderValue::from_static(CONTENT_TYPE);
    res.headers_mut().insert(header::CONTENT_TYPE, value);
    res
}

pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut res = Response::new(Body::from(text.to_owned()));
    *res.status_mut() = status;
    res
}
