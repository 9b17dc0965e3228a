//! A stand-in for a caller: asks for addresses, connects itself, reads answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use hatchpitch::discovery::Endpoints;
use hatchpitch::outcome::ProblemBody;
use hatchpitch_net::{Body, BodyError, Upstream, read_body, read_stream};
use http::{HeaderMap, Method, Request, Response, header};
use hyper::body::Incoming;
use serde::Deserialize;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Silence after which a caller gives a link up; boxes send heartbeats far more often.
const SILENCE: Duration = Duration::from_secs(3);

/// A caller with a workspace key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The key.
    pub key: String,
}

/// One token as it reached the caller.
#[derive(Debug, Clone)]
pub struct ReceivedToken {
    /// Index, from the event id.
    pub index: u64,
    /// Text.
    pub text: String,
    /// When it came.
    pub at: Instant,
}

/// A streamed answer as far as it came.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Token to resume with.
    pub response: String,
    /// Trace of the request.
    pub trace: String,
    /// Tokens in the order in which they came.
    pub tokens: Vec<ReceivedToken>,
    /// Whether the end of the answer was seen.
    pub complete: bool,
    /// The final error, if there was one.
    pub error: Option<ProblemBody>,
    /// Seconds after which to come back, if the answer said so.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// Returns the text so far.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|t| t.text.as_str()).collect()
    }
}

/// What the caller receives of one event.
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
    /// Asks a box which addresses to use.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address asked.
    pub async fn endpoints(&self, at: SocketAddr) -> anyhow::Result<Endpoints> {
        let res = self.send(at, Method::GET, "/v1/endpoints", HeaderMap::new(), Bytes::new());
        let body = whole(res.await?).await?;
        serde_json::from_slice(&body).with_context(|| format!("endpoints from {at}"))
    }

    /// Streams a chat completion; `on_token` sees each token and may stop the reading.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer began. A stream that breaks is not an error.
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

    /// Reads on where `answer` broke off, at any box.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer began.
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

    /// Sends any request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came.
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<(http::response::Parts, Bytes)> {
        let (parts, incoming) = self.send(at, method, path, headers, body).await?.into_parts();
        let body = read_body(incoming, MAX_BODY, HEAD_TIMEOUT).await?;
        Ok((parts, body))
    }

    async fn send(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> anyhow::Result<Response<Incoming>> {
        headers.insert(header::HOST, at.to_string().parse()?);
        headers.insert(header::AUTHORIZATION, format!("Bearer {}", self.key).parse()?);
        let mut req = Request::new(Body::from(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse()?;
        *req.headers_mut() = headers;
        let upstream = Upstream { addr: at, connect_timeout: CONNECT_TIMEOUT };
        Ok(upstream.send(req, HEAD_TIMEOUT).await?)
    }
}

async fn whole(res: Response<Incoming>) -> anyhow::Result<Bytes> {
    let status = res.status();
    let body = read_body(res.into_body(), MAX_BODY, HEAD_TIMEOUT).await?;
    if !status.is_success() {
        bail!("{status}: {}", String::from_utf8_lossy(&body));
    }
    Ok(body)
}

async fn read_answer(
    res: Response<Incoming>,
    mut answer: Answer,
    mut on_token: impl FnMut(&ReceivedToken) -> bool,
) -> anyhow::Result<Answer> {
    answer.status = res.status().as_u16();
    answer.trace = header_text(res.headers(), "x-hatchpitch-trace");
    answer.retry_after = header_text(res.headers(), "retry-after").parse().ok();
    answer.error = None;
    if !res.status().is_success() {
        let body = read_body(res.into_body(), MAX_BODY, HEAD_TIMEOUT).await?;
        answer.error = serde_json::from_slice(&body).ok();
        return Ok(answer);
    }
    let token = header_text(res.headers(), "x-hatchpitch-response");
    if !token.is_empty() {
        answer.response = token;
    }
    let events = pieces(res.into_body()).eventsource();
    let mut events = std::pin::pin!(events);
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            answer.error = serde_json::from_str(&event.data).ok();
            return Ok(answer);
        }
        if event.data == "[DONE]" {
            answer.complete = true;
            return Ok(answer);
        }
        if let Some(token) = parse_token(&event.id, &event.data) {
            let go_on = on_token(&token);
            answer.tokens.push(token);
            if !go_on {
                return Ok(answer);
            }
        }
    }
    Ok(answer)
}

/// Reads pieces until the end or a silence. Heartbeats are comments, which only count here:
/// the parser of events does not show them.
fn pieces(body: Incoming) -> impl Stream<Item = Result<Bytes, BodyError>> {
    futures_util::stream::unfold(body, |mut body| async move {
        let piece = compio::time::timeout(SILENCE, read_stream(&mut body)).await.ok()?;
        Some((piece.transpose()?, body))
    })
}

fn parse_token(id: &str, data: &str) -> Option<ReceivedToken> {
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    let choice = chunk.choices.into_iter().next()?;
    let text = choice.delta.and_then(|delta| delta.content).or(choice.text)?;
    Some(ReceivedToken { index: id.parse().ok()?, text, at: Instant::now() })
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
}
