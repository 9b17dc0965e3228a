//! `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/responses/<token>`.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, BodySender};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::Deserialize;

use super::chunks::{self, ChunkShape};
use super::context::EntryCx;
use super::generation::{Generation, Job, StartError};
use crate::config::Workspace;
use crate::config::view::{FleetView, PoolIx};
use crate::engine::FinishReason;
use crate::logging::unix_ms;
use crate::metrics::Count;
use crate::outcome::{OUTCOME_HEADER, Outcome, Problem, json_response};
use crate::security::ResponseToken;
use crate::streams::StreamStep;
use crate::trace::Span;

/// Header that carries the token with which any box resumes the answer.
pub const RESPONSE_HEADER: &str = "x-hatchpitch-response";
/// Header with which callers resume, as browsers send it.
const LAST_EVENT_ID: &str = "last-event-id";
/// Pieces buffered between engine and caller.
const BUFFERED_PIECES: usize = 32;
/// Longest prompt, in characters.
const MAX_PROMPT: usize = 512 * 1024;

/// The body of a completion request; fields that are not listed are ignored, as usual for this API.
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

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: ChatContent,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Debug, Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

/// Serves a completion.
pub async fn serve(
    cx: Rc<EntryCx>,
    view: &FleetView,
    workspace: &Workspace,
    body: &Bytes,
    chat: bool,
    span: Span,
) -> Result<Response<Body>, Problem> {
    let job = parse(view, workspace, body, chat)?;
    let streams = begin_stream(&cx, workspace)?;
    let shape = shape(&job, chat);
    let started = Generation::start(cx.clone(), job, span, streams).await;
    let generation = started.map_err(|err| start_problem(&cx, err))?;
    answer(cx, generation, shape, chat).await
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
    let missing = || Problem::not_run(StatusCode::NOT_FOUND, "no_response", "no such response");
    let token = ResponseToken::open(&cx.settings.box_keys, token).ok_or_else(missing)?;
    if token.workspace != workspace.name {
        return Err(missing());
    }
    let next = next_index(headers)?;
    let pool = view.pools.iter().find(|p| p.pool.name == token.pool).ok_or_else(missing)?;
    let runner = pool.runners.iter().find(|r| r.name == token.runner).ok_or_else(missing)?;
    let streams = begin_stream(&cx, workspace)?;
    let job = Job {
        workspace: workspace.name.clone(),
        priority: workspace.priority,
        pool: token.pool.clone(),
        model: pool.pool.model.clone(),
        prompt: String::new(),
        max_tokens: pool.pool.max_tokens,
        seed: None,
        streams: true,
        silence_limit: pool.pool.silence_limit,
    };
    let shape = shape(&job, token.chat);
    let runner = (runner.name.clone(), runner.addr);
    let resumed =
        Generation::resume(cx.clone(), job, runner, token.generation, next, span, streams).await;
    let generation = resumed.map_err(|err| start_problem(&cx, err))?;
    answer(cx, generation, shape, token.chat).await
}

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
    let prompt = prompt(&body, chat)?;
    if prompt.len() > MAX_PROMPT {
        return Err(Problem::bad_request(format!("prompt longer than {MAX_PROMPT} bytes")));
    }
    let asked = body.max_completion_tokens.or(body.max_tokens).unwrap_or(pool.max_tokens);
    if asked == 0 {
        return Err(Problem::bad_request("max_tokens: found 0, expected 1 or more"));
    }
    Ok(Job {
        workspace: workspace.name.clone(),
        priority: workspace.priority,
        pool: pool.name.clone(),
        model: body.model,
        prompt,
        max_tokens: asked.min(pool.max_tokens),
        seed: body.seed,
        streams: body.stream,
        silence_limit: pool.silence_limit,
    })
}

fn find_pool(view: &FleetView, workspace: &Workspace, model: &str) -> Result<PoolIx, Problem> {
    let found = view.pool_of_model(model);
    let allowed = found.filter(|ix| workspace.pools.contains(&view.pools[*ix].pool.name));
    allowed.ok_or_else(|| {
        let message = format!("model: this workspace has no model {model:?}");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_model", message)
    })
}

fn prompt(body: &CompletionBody, chat: bool) -> Result<String, Problem> {
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
        match &message.content {
            ChatContent::Text(text) => prompt.push_str(text),
            ChatContent::Parts(parts) => parts.iter().for_each(|part| prompt.push_str(&part.text)),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

fn begin_stream(
    cx: &Rc<EntryCx>,
    workspace: &Workspace,
) -> Result<super::context::StreamGuard, Problem> {
    cx.begin_stream(&workspace.name, workspace.max_streams).ok_or_else(|| {
        let message = format!("the workspace holds {} streams at this box", workspace.max_streams);
        let refused = Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "too_many_streams", message);
        refused.retry_after(cx.short_retry())
    })
}

fn shape(job: &Job, chat: bool) -> ChunkShape {
    ChunkShape {
        id: format!("resp-{}", crate::ids::new_id()),
        model: job.model.clone(),
        created: unix_ms() / 1_000,
        chat,
    }
}

fn next_index(headers: &HeaderMap) -> Result<u64, Problem> {
    let Some(value) = headers.get(LAST_EVENT_ID) else { return Ok(0) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    let last = parsed.ok_or_else(|| {
        Problem::bad_request("Last-Event-ID: expected the index of the last token received")
    })?;
    Ok(last.saturating_add(1))
}

fn start_problem(cx: &EntryCx, err: StartError) -> Problem {
    match err {
        StartError::Refused(refusal) => {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_capacity", refusal.cause)
                .retry_after(refusal.retry_after)
        }
        StartError::Held(problem) => problem,
        StartError::Failed { cause, ran } => failed_problem(cx, cause, ran),
    }
}

fn failed_problem(cx: &EntryCx, cause: String, ran: bool) -> Problem {
    let problem = if ran {
        Problem::unknown(StatusCode::BAD_GATEWAY, "engine_lost", cause)
    } else {
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_engine", cause)
    };
    problem.retry_after(cx.short_retry())
}

/// Waits for the first step, so that failures until then get a proper status.
async fn answer(
    cx: Rc<EntryCx>,
    mut generation: Generation,
    shape: ChunkShape,
    chat: bool,
) -> Result<Response<Body>, Problem> {
    if !generation.job().streams {
        return collect(&cx, generation, &shape).await;
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
    let (tx, body) = Body::stream(BUFFERED_PIECES);
    let active = cx.begin();
    compio::runtime::spawn(async move {
        pump(&cx, generation, first, &shape, tx).await;
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

/// Passes the steps of an answer to its caller until it ends or the caller leaves.
async fn pump(
    cx: &EntryCx,
    mut generation: Generation,
    first: StreamStep,
    shape: &ChunkShape,
    mut tx: BodySender,
) {
    let mut step = first;
    loop {
        let (piece, last) = match step {
            StreamStep::Deliver { index, text } => (shape.token(index, &text), false),
            StreamStep::Finish { reason, .. } => (shape.finish(reason), true),
            StreamStep::Fail { cause } => {
                cx.metrics.count(Count::Unknown, &generation.job().pool);
                (chunks::error_event(&failed_problem(cx, cause, true)), true)
            }
            _ => (chunks::heartbeat(), false),
        };
        if !send(cx, &generation, &mut tx, piece).await || last {
            return;
        }
        step = generation.next().await;
    }
}

/// Sends one piece; returns whether the caller still reads.
async fn send(cx: &EntryCx, generation: &Generation, tx: &mut BodySender, piece: Bytes) -> bool {
    let limit: Duration = cx.settings.timing.slow_caller;
    let count = match compio::time::timeout(limit, tx.send(piece)).await {
        Ok(Ok(())) => return true,
        Ok(Err(_)) => Count::CallerLeft,
        Err(_) => Count::CallerSlow,
    };
    cx.metrics.count(count, &generation.job().pool);
    false
}

/// Collects an answer that is not streamed; a lost engine may be made up for elsewhere.
async fn collect(
    cx: &EntryCx,
    mut generation: Generation,
    shape: &ChunkShape,
) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let (tokens, reason): (u64, FinishReason) = loop {
        match generation.next().await {
            StreamStep::Deliver { text: piece, .. } => text.push_str(&piece),
            StreamStep::Rerun => text.clear(),
            StreamStep::Finish { tokens, reason } => break (tokens, reason),
            StreamStep::Fail { cause } => {
                return Err(failed_problem(cx, cause, generation.ran()));
            }
            _ => {}
        }
    };
    let whole = shape.whole(&text, generation.job().prompt_tokens(), tokens, reason);
    Ok(json_response(StatusCode::OK, &whole, Outcome::Done))
}
