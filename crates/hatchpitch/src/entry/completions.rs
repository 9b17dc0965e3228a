//! Serves `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/responses/<token>`.

use std::borrow::Cow;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, BodySender, Holder};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::Deserialize;

use super::chunks::{self, ChunkFormat};
use super::context::{EntryCx, StreamGuard};
use super::generation::{Generation, Job, StartError};
use crate::config::Workspace;
use crate::config::view::{FleetView, PoolIx};
use crate::engine::FinishReason;
use crate::logging::unix_ms;
use crate::metrics::Count;
use crate::outcome::{OUTCOME_HEADER, Outcome, Problem, json_response};
use crate::quarantine::causes::MAX_PARTS;
use crate::quarantine::{ContentId, PartName, PromptParts};
use crate::security::ResponseToken;
use crate::streams::StreamStep;
use crate::trace::Span;

/// Response header with the token by which a caller can resume the answer at any box.
pub const RESPONSE_HEADER: &str = "x-hatchpitch-response";
/// Request header with the last event id received, as browsers send it on reconnection.
const LAST_EVENT_ID: &str = "last-event-id";
/// Maximum number of events buffered between the engine and the caller.
const MAX_BUFFERED_EVENTS: usize = 32;
/// Maximum length of a prompt, in bytes.
const MAX_PROMPT: usize = 512 * 1024;

/// The body of a completion request. Other fields are ignored, as is customary for this API.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    seed: Option<u64>,
}

/// One message of a conversation.
#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

/// Content of a message: a string or a list of parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

impl ChatContent {
    /// Returns the text of all parts.
    fn text(&self) -> Cow<'_, str> {
        match self {
            Self::Text(text) => text.into(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

/// One part of a message. A part without text counts as empty.
#[derive(Debug, Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

/// Serves a completion request.
pub async fn serve(
    cx: Rc<EntryCx>,
    view: &FleetView,
    workspace: &Workspace,
    body: &Bytes,
    chat: bool,
    span: Span,
) -> Result<Response<Body>, Problem> {
    let job = parse(view, workspace, body, chat)?;
    let stream_guard = begin_stream(&cx, workspace)?;
    let format = chunk_format(&job, chat);
    let started = Generation::start(cx.clone(), job, span, stream_guard).await;
    let generation = started.map_err(|err| start_problem(&cx, err))?;
    respond(cx, generation, format, chat).await
}

/// Resumes a streamed answer after the token that `Last-Event-ID` names.
pub async fn resume(
    cx: Rc<EntryCx>,
    view: &FleetView,
    workspace: &Workspace,
    token: &str,
    headers: &HeaderMap,
    span: Span,
) -> Result<Response<Body>, Problem> {
    let not_found = || Problem::not_run(StatusCode::NOT_FOUND, "no_response", "no such response");
    let token = ResponseToken::open(&cx.settings.box_keys, token).ok_or_else(not_found)?;
    if token.workspace != workspace.name {
        return Err(not_found());
    }
    let next = next_index(headers)?;
    let pool = view.pools.iter().find(|p| p.pool.name == token.pool).ok_or_else(not_found)?;
    let runner = pool.runners.iter().find(|r| r.name == token.runner).ok_or_else(not_found)?;
    let stream_guard = begin_stream(&cx, workspace)?;
    let job = Job {
        workspace: workspace.name.clone(),
        priority: workspace.priority,
        pool: token.pool.clone(),
        model: pool.pool.model.clone(),
        prompt: String::new(),
        parts: None,
        max_tokens: pool.pool.max_tokens,
        seed: None,
        is_streamed: true,
        silence_limit: pool.pool.silence_limit,
    };
    let format = chunk_format(&job, token.chat);
    let runner = (runner.name.clone(), runner.addr);
    let resumed =
        Generation::resume(cx.clone(), job, runner, token.generation, next, span, stream_guard)
            .await;
    let generation = resumed.map_err(|err| start_problem(&cx, err))?;
    respond(cx, generation, format, token.chat).await
}

/// Parses and validates a completion request.
fn parse(
    view: &FleetView,
    workspace: &Workspace,
    body: &Bytes,
    chat: bool,
) -> Result<Job, Problem> {
    let body: CompletionBody = serde_json::from_slice(body)
        .map_err(|err| Problem::bad_request(format!("request body: {err}")))?;
    let pool = find_pool(view, workspace, &body.model)?;
    let pool = &view.pools[pool].pool;
    let prompt = build_prompt(&body, chat)?;
    if prompt.len() > MAX_PROMPT {
        return Err(Problem::bad_request(format!("prompt longer than {MAX_PROMPT} bytes")));
    }
    let max_tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(pool.max_tokens);
    if max_tokens == 0 {
        return Err(Problem::bad_request("max_tokens: found 0, expected 1 or more"));
    }
    Ok(Job {
        workspace: workspace.name.clone(),
        priority: workspace.priority,
        pool: pool.name.clone(),
        parts: prompt_parts(&body, chat),
        model: body.model,
        prompt,
        max_tokens: max_tokens.min(pool.max_tokens),
        seed: body.seed,
        is_streamed: body.stream,
        silence_limit: pool.silence_limit,
    })
}

/// Returns the pool that serves a model to a workspace.
fn find_pool(view: &FleetView, workspace: &Workspace, model: &str) -> Result<PoolIx, Problem> {
    let pool = view.pool_of_model(model);
    let allowed = pool.filter(|ix| workspace.pools.contains(&view.pools[*ix].pool.name));
    allowed.ok_or_else(|| {
        let message = format!("model: this workspace has no model {model:?}");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_model", message)
    })
}

/// Returns the prompt of a request. Chat messages become one line each, prefixed with the role.
fn build_prompt(body: &CompletionBody, chat: bool) -> Result<String, Problem> {
    if !chat {
        return body.prompt.clone().ok_or_else(|| Problem::bad_request("prompt: missing"));
    }
    if body.messages.is_empty() {
        return Err(Problem::bad_request("messages: found none, expected one or more"));
    }
    let mut prompt = String::new();
    for message in &body.messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content.text());
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the parts of the prompt of a chat: one for each message, named by a digest of its role and
/// text. The last messages of a long conversation are one part.
fn prompt_parts(body: &CompletionBody, chat: bool) -> Option<PromptParts> {
    let name = |messages: &[ChatMessage]| -> PartName {
        let texts: Vec<Cow<'_, str>> = messages.iter().map(|it| it.content.text()).collect();
        let texts = messages.iter().zip(&texts);
        let fields: Vec<&[u8]> =
            texts.flat_map(|(it, text)| [it.role.as_bytes(), text.as_bytes()]).collect();
        ContentId::of(&fields).to_string()
    };
    let (first, rest) = body.messages.split_at(body.messages.len().min(MAX_PARTS - 1));
    let rest = (!rest.is_empty()).then_some(rest);
    let names = || first.chunks(1).chain(rest).map(name).collect();
    chat.then(|| PromptParts::new(body.model.clone(), Some(names())))
}

/// Counts a stream of a workspace, or refuses it if the workspace has as many as it may.
fn begin_stream(cx: &Rc<EntryCx>, workspace: &Workspace) -> Result<StreamGuard, Problem> {
    cx.begin_stream(&workspace.name, workspace.max_streams).ok_or_else(|| {
        let message = format!("the workspace holds {} streams at this box", workspace.max_streams);
        let refused = Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "too_many_streams", message);
        refused.retry_after(cx.short_retry())
    })
}

/// Returns the chunk format of a new answer.
fn chunk_format(job: &Job, chat: bool) -> ChunkFormat {
    ChunkFormat {
        id: format!("resp-{}", crate::ids::new_id()),
        model: job.model.clone(),
        created: unix_ms() / 1_000,
        chat,
    }
}

/// Returns the index of the first token to send to a caller that resumes.
fn next_index(headers: &HeaderMap) -> Result<u64, Problem> {
    let Some(value) = headers.get(LAST_EVENT_ID) else { return Ok(0) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    let last = parsed.ok_or_else(|| {
        Problem::bad_request("Last-Event-ID: expected the index of the last token received")
    })?;
    Ok(last.saturating_add(1))
}

/// Returns the problem for an answer that could not be started.
fn start_problem(cx: &EntryCx, err: StartError) -> Problem {
    match err {
        StartError::Refused(refusal) => {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_capacity", refusal.cause)
                .retry_after(refusal.retry_after)
        }
        StartError::Quarantined(problem) => problem,
        StartError::Failed { cause, ran } => failed_problem(cx, cause, ran),
    }
}

/// Returns the problem for a failed generation. `ran` tells whether any runner may have run it.
fn failed_problem(cx: &EntryCx, cause: String, ran: bool) -> Problem {
    let problem = if ran {
        Problem::unknown(StatusCode::BAD_GATEWAY, "engine_lost", cause)
    } else {
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_engine", cause)
    };
    problem.retry_after(cx.short_retry())
}

/// Returns the response to a request. A streamed response begins with the first token, so that a
/// failure before it still gets an error status.
async fn respond(
    cx: Rc<EntryCx>,
    mut generation: Generation,
    format: ChunkFormat,
    chat: bool,
) -> Result<Response<Body>, Problem> {
    if !generation.job().is_streamed {
        return collect(&cx, generation, &format).await;
    }
    let first = loop {
        match generation.next().await {
            StreamStep::Fail { cause } => {
                return Err(failed_problem(&cx, cause, generation.ran()));
            }
            step @ (StreamStep::Deliver { .. } | StreamStep::Finish { .. }) => break step,
            _ => {}
        }
    };
    let token = ResponseToken {
        runner: generation.runner().clone(),
        pool: generation.job().pool.clone(),
        generation: generation.id().to_owned(),
        workspace: generation.job().workspace.clone(),
        chat,
    };
    let token = token.seal(&cx.settings.box_keys);
    let held = cx.boxes.open_memory(Holder::Answer, &generation.job().pool);
    let (tx, body) = Body::stream(MAX_BUFFERED_EVENTS, held);
    let active = cx.begin_request();
    compio::runtime::spawn(async move {
        stream_to_caller(&cx, generation, first, &format, tx).await;
        drop(active);
    })
    .detach();
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Done.as_str()));
    if let Ok(value) = HeaderValue::from_str(&token) {
        headers.insert(RESPONSE_HEADER, value);
    }
    Ok(res)
}

/// Sends the events of an answer to its caller until the answer ends or the caller disconnects.
async fn stream_to_caller(
    cx: &EntryCx,
    mut generation: Generation,
    first: StreamStep,
    format: &ChunkFormat,
    mut tx: BodySender,
) {
    let mut step = first;
    loop {
        let (event, is_last) = match step {
            StreamStep::Deliver { index, text } => (format.token(index, &text), false),
            StreamStep::Finish { reason, .. } => (format.finish(reason), true),
            StreamStep::Fail { cause } => {
                cx.metrics.count(Count::Unknown, &generation.job().pool);
                (chunks::error_event(&failed_problem(cx, cause, true)), true)
            }
            _ => (chunks::heartbeat(), false),
        };
        if !send_event(cx, &generation, &mut tx, event).await {
            return;
        }
        if is_last {
            return tx.finish();
        }
        step = generation.next().await;
    }
}

/// Sends one event. Returns whether the caller accepted it within the time allowed for slow
/// callers.
async fn send_event(
    cx: &EntryCx,
    generation: &Generation,
    tx: &mut BodySender,
    event: Bytes,
) -> bool {
    let limit: Duration = cx.settings.timing.slow_caller;
    let counter = match compio::time::timeout(limit, tx.send(event)).await {
        Ok(Ok(())) => return true,
        Ok(Err(_)) => Count::CallerLeft,
        Err(_) => Count::CallerSlow,
    };
    cx.metrics.count(counter, &generation.job().pool);
    false
}

/// Collects an answer that is not streamed. As the caller has seen none of it, the request can be
/// run again on another engine if the engine is lost.
async fn collect(
    cx: &EntryCx,
    mut generation: Generation,
    format: &ChunkFormat,
) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let (tokens, reason): (u64, FinishReason) = loop {
        match generation.next().await {
            StreamStep::Deliver { text: token, .. } => text.push_str(&token),
            StreamStep::Rerun => text.clear(),
            StreamStep::Finish { tokens, reason } => break (tokens, reason),
            StreamStep::Fail { cause } => {
                return Err(failed_problem(cx, cause, generation.ran()));
            }
            _ => {}
        }
    };
    let answer = format.complete(&text, generation.job().prompt_tokens(), tokens, reason);
    Ok(json_response(StatusCode::OK, &answer, Outcome::Done))
}
