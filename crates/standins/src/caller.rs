//! Stand-in for a caller that discovers entry boxes, sends requests and reads streamed answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use bytes::{Bytes, BytesMut};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use hatchpitch::discovery::Endpoints;
use hatchpitch::outcome::ProblemBody;
use hatchpitch_net::{
    Body, BodyError, Framing, Reservation, ResponseBody, Upstream, read_body, read_stream,
};
use http::{HeaderMap, Method, Request, Response, header};
use serde::Deserialize;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the response head, and for reading a whole body.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a response body that is read whole, in bytes.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Time without data after which a stream is abandoned; boxes send heartbeats far more often.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Caller that authenticates with a workspace key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Workspace key, sent as a bearer token.
    pub key: String,
}

/// Token received by the caller.
#[derive(Debug, Clone)]
pub struct ReceivedToken {
    /// Index of the token, taken from the event id.
    pub index: u64,
    /// Text of the token.
    pub text: String,
    /// Time of receipt.
    pub at: Instant,
}

/// How the body of a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BodyEnd {
    /// Its end was not read.
    #[default]
    Unread,
    /// With its length, its last chunk, or its head if it has no body by definition.
    Marked,
    /// With its connection, in order.
    WithConnection,
    /// It was broken off.
    Broken,
}

impl BodyEnd {
    /// Returns the end of a body that was read without an error.
    fn of_read(framing: Framing) -> Self {
        match framing {
            Framing::Delimited => Self::Marked,
            Framing::UntilClose => Self::WithConnection,
        }
    }
}

/// A response and how it ended.
#[derive(Debug)]
pub struct Received {
    /// Head of the response.
    pub head: http::response::Parts,
    /// Body as far as it was received.
    pub body: Bytes,
    /// How the body ended.
    pub end: BodyEnd,
}

/// Streamed answer as far as it was received.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status of the latest response.
    pub status: u16,
    /// Response token for resuming the answer.
    pub response: String,
    /// Trace id of the request.
    pub trace: String,
    /// Tokens in order of receipt.
    pub tokens: Vec<ReceivedToken>,
    /// Whether the final `[DONE]` event was received.
    pub complete: bool,
    /// Error that ended the answer.
    pub error: Option<ProblemBody>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// How the body of the latest response ended.
    pub end: BodyEnd,
}

impl Answer {
    /// Returns the concatenated text of the received tokens.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|t| t.text.as_str()).collect()
    }
}

/// Fields that the caller reads from one event.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Option<Delta>,
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Caller {
    /// Gets the entry boxes' addresses from any box.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, its status is not a success or the body does not decode.
    pub async fn endpoints(&self, at: SocketAddr) -> anyhow::Result<Endpoints> {
        let res = self.send(at, Method::GET, "/v1/endpoints", HeaderMap::new(), Bytes::new());
        let body = read_success_body(res.await?).await?;
        serde_json::from_slice(&body).with_context(|| format!("endpoints from {at}"))
    }

    /// Streams a chat completion. `on_token` is called for each token and stops the reading by
    /// returning `false`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives. A broken stream is not an error.
    pub async fn chat(
        &self,
        at: SocketAddr,
        model: &str,
        prompt: &str,
        on_token: impl FnMut(&ReceivedToken) -> bool,
    ) -> anyhow::Result<Answer> {
        let body = serde_json::json!({
            "model": model,
            "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let body = Bytes::from(body.to_string());
        let path = "/v1/chat/completions";
        let res = self.send(at, Method::POST, path, HeaderMap::new(), body).await?;
        read_answer(res, Answer::default(), on_token).await
    }

    /// Resumes a broken `answer` at any box after its last received token.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn resume(
        &self,
        at: SocketAddr,
        answer: Answer,
        on_token: impl FnMut(&ReceivedToken) -> bool,
    ) -> anyhow::Result<Answer> {
        let mut headers = HeaderMap::new();
        if let Some(last) = answer.tokens.last() {
            headers.insert("last-event-id", last.index.to_string().parse()?);
        }
        let path = format!("/v1/responses/{}", answer.response);
        let res = self.send(at, Method::GET, &path, headers, Bytes::new()).await?;
        read_answer(res, answer, on_token).await
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not received completely.
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<(http::response::Parts, Bytes)> {
        let (parts, incoming) = self.send(at, method, path, headers, body).await?.into_parts();
        let body = read_body(incoming, MAX_BODY, HEAD_TIMEOUT, Reservation::uncounted()).await?;
        Ok((parts, body))
    }

    /// Sends a request and reads the response to its end, also if it is broken off.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn exchange(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<Received> {
        let res = self.send(at, method, path, headers, body).await?;
        let (head, incoming) = res.into_parts();
        let mut end = BodyEnd::of_read(incoming.framing());
        let mut body = BytesMut::new();
        let mut chunks = std::pin::pin!(body_chunks(incoming));
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => body.extend_from_slice(&chunk),
                Err(_) => {
                    end = BodyEnd::Broken;
                    break;
                }
            }
        }
        Ok(Received { head, body: body.freeze(), end })
    }

    async fn send(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<Response<ResponseBody>> {
        headers.insert(header::HOST, at.to_string().parse()?);
        headers.insert(header::AUTHORIZATION, format!("Bearer {}", self.key).parse()?);
        let mut req = Request::new(Body::from(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse()?;
        *req.headers_mut() = headers;
        let upstream = Upstream { addr: at, connect_timeout: CONNECT_TIMEOUT, source: None };
        Ok(upstream.send(req, HEAD_TIMEOUT).await?)
    }
}

/// Reads a whole response body; returns an error if the status is not a success.
async fn read_success_body(res: Response<ResponseBody>) -> anyhow::Result<Bytes> {
    let status = res.status();
    let body = read_body(res.into_body(), MAX_BODY, HEAD_TIMEOUT, Reservation::uncounted()).await?;
    if !status.is_success() {
        bail!("{status}: {}", String::from_utf8_lossy(&body));
    }
    Ok(body)
}

/// Reads a streamed response into `answer` until it ends or `on_token` returns `false`.
async fn read_answer(
    res: Response<ResponseBody>,
    mut answer: Answer,
    mut on_token: impl FnMut(&ReceivedToken) -> bool,
) -> anyhow::Result<Answer> {
    answer.status = res.status().as_u16();
    answer.trace = header_text(res.headers(), "x-hatchpitch-trace");
    answer.retry_after = header_text(res.headers(), "retry-after").parse().ok();
    answer.error = None;
    answer.end = BodyEnd::Unread;
    if !res.status().is_success() {
        let body =
            read_body(res.into_body(), MAX_BODY, HEAD_TIMEOUT, Reservation::uncounted()).await?;
        answer.error = serde_json::from_slice(&body).ok();
        return Ok(answer);
    }
    let response = header_text(res.headers(), "x-hatchpitch-response");
    if !response.is_empty() {
        answer.response = response;
    }
    let body = res.into_body();
    let framing = body.framing();
    let mut events = std::pin::pin!(body_chunks(body).eventsource());
    loop {
        let event = match events.next().await {
            Some(Ok(event)) => event,
            Some(Err(_)) => {
                answer.end = BodyEnd::Broken;
                return Ok(answer);
            }
            None => {
                answer.end = BodyEnd::of_read(framing);
                return Ok(answer);
            }
        };
        if event.event == "error" {
            answer.error = serde_json::from_str(&event.data).ok();
            continue;
        }
        if event.data == "[DONE]" {
            answer.complete = true;
            continue;
        }
        if let Some(token) = parse_token(&event.id, &event.data) {
            let keep_reading = on_token(&token);
            answer.tokens.push(token);
            if !keep_reading {
                return Ok(answer);
            }
        }
    }
}

/// Returns the chunks of a body until it ends. The last one is an error if the body is broken off, or
/// if no data arrives for [`STREAM_IDLE_TIMEOUT`].
///
/// The timeout applies to raw chunks because heartbeats are comments, which the event parser does
/// not report.
fn body_chunks(body: ResponseBody) -> impl Stream<Item = Result<Bytes, BodyError>> {
    futures_util::stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        match compio::time::timeout(STREAM_IDLE_TIMEOUT, read_stream(&mut body)).await {
            Ok(Ok(chunk)) => Some((Ok(chunk?), Some(body))),
            Ok(Err(err)) => Some((Err(err), None)),
            Err(_) => Some((Err(BodyError::TooSlow(STREAM_IDLE_TIMEOUT)), None)),
        }
    })
}

/// Parses a token event; returns `None` for other events.
fn parse_token(id: &str, data: &str) -> Option<ReceivedToken> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    let choice = chunk.choices.into_iter().next()?;
    let text = choice.delta.and_then(|delta| delta.content).or(choice.text)?;
    Some(ReceivedToken { index: id.parse().ok()?, text, at: Instant::now() })
}

/// Returns the value of a header, or an empty string if it is missing or not text.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
}
