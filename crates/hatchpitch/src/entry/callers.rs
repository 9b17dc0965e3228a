//! Handles HTTP requests from callers and operators.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, BodyError, Holder, clock, query_value, read_body};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::apps::{self, AppCall};
use super::completions;
use super::context::EntryCx;
use super::operators;
use crate::config::{FleetView, Workspace};
use crate::discovery::{self, Endpoints};
use crate::drain::Stopping;
use crate::metrics::Count;
use crate::outcome::{Outcome, Problem, json_response, text_response};
use crate::pace::task as pace;
use crate::security::{self, BEARER, Caller};
use crate::trace::Span;

/// Maximum length of a request target (path and query), in bytes.
const MAX_TARGET: usize = 4_096;
/// Retry delay of a request whose body found no room: other boxes may have some, and bodies are
/// released as their requests are answered.
pub const NO_ROOM_RETRY: Duration = Duration::from_secs(1);

/// Handles one request from a caller or operator.
pub async fn handle(cx: Rc<EntryCx>, req: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
    let _active = cx.begin_request();
    let mut span = cx.tracer.start("caller.request", req.headers());
    span.note("path", path_label(req.uri().path()));
    let trace = span.trace().to_owned();
    let mut res = match dispatch(&cx, req, peer, span).await {
        Ok(res) => res,
        Err(problem) => {
            record_problem(&cx, &problem);
            problem.into_response()
        }
    };
    if let Ok(value) = trace.parse() {
        res.headers_mut().insert("x-hatchpitch-trace", value);
    }
    res
}

/// Counts a refused or failed request.
pub fn count_problem(cx: &EntryCx, problem: &Problem) {
    let counter = match (problem.status, problem.outcome) {
        (StatusCode::UNAUTHORIZED, _) => Count::UnknownKey,
        (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, _) => Count::BadInput,
        (_, Outcome::Unknown) => Count::Unknown,
        _ => Count::Refused,
    };
    cx.metrics.count(counter, "");
}

/// Counts a refused or failed request and logs it.
fn record_problem(cx: &EntryCx, problem: &Problem) {
    count_problem(cx, problem);
    log::info!("refused with {}: {}: {}", problem.status, problem.kind, problem.message);
}

/// Passes a request to the handler of its path.
async fn dispatch(
    cx: &Rc<EntryCx>,
    req: Request<Incoming>,
    peer: SocketAddr,
    span: Span,
) -> Result<Response<Body>, Problem> {
    let target_len = req.uri().path_and_query().map_or(0, |target| target.as_str().len());
    if target_len > MAX_TARGET {
        let message = format!("target of {target_len} bytes, at most {MAX_TARGET} are accepted");
        return Err(Problem::not_run(StatusCode::URI_TOO_LONG, "bad_request", message));
    }
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/v1/endpoints" => require_method(Method::GET, &req).map(|()| endpoints(cx, &req, peer)),
        "/metrics" => require_method(Method::GET, &req).map(|()| metrics(cx)),
        "/health" => Ok(health(cx)),
        _ if path.starts_with("/ops/") => operators::handle(cx, req).await,
        _ => serve_workspace(cx, req, &path, span).await,
    }
}

/// Serves a request that has to carry the key of a workspace.
async fn serve_workspace(
    cx: &Rc<EntryCx>,
    req: Request<Incoming>,
    path: &str,
    span: Span,
) -> Result<Response<Body>, Problem> {
    // Without a configuration no key is known, so the caller has to try another box.
    cx.check_config_known()?;
    let view = cx.sync_gates();
    let workspace = authenticate(&view, req.headers())?;
    if let Some(token) = path.strip_prefix("/v1/responses/") {
        // Resuming an answer is no new work, so it is allowed while the box is leaving or its
        // configuration is stale.
        require_method(Method::GET, &req)?;
        let headers = req.headers().clone();
        return completions::resume(cx.clone(), &view, workspace, token, &headers, span).await;
    }
    cx.check_intake()?;
    cx.metrics.count(Count::Requests, "");
    match path {
        "/v1/chat/completions" | "/v1/completions" => {
            require_method(Method::POST, &req)?;
            let chat = path.contains("chat");
            let body = read_request_body(cx, &workspace.name, req.into_body()).await?;
            completions::serve(cx.clone(), &view, workspace, &body, chat, span).await
        }
        _ => match path.strip_prefix("/apps/").map(split_service_name) {
            Some((service, rest)) => {
                let call = read_app_call(cx, service, req, rest.to_owned()).await?;
                apps::serve(cx.clone(), &view, workspace, service, call, span).await
            }
            None => {
                let message = format!("no such path: {}", path_label(path));
                Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", message))
            }
        },
    }
}

/// Returns the workspace that the bearer key belongs to. All paths of this listener need a key.
fn authenticate<'a>(view: &'a FleetView, headers: &HeaderMap) -> Result<&'a Workspace, Problem> {
    match Caller::identify(view, headers, BEARER) {
        Caller::Workspace(ix) => Ok(&view.workspaces[ix]),
        Caller::NoKey | Caller::UnknownKey | Caller::Malformed => {
            Err(security::unknown_key(BEARER, "a workspace"))
        }
    }
}

/// Reads a request to a service. `path` is the path below the service name.
async fn read_app_call(
    cx: &EntryCx,
    service: &str,
    req: Request<Incoming>,
    path: String,
) -> Result<AppCall, Problem> {
    let (parts, incoming) = req.into_parts();
    let body = read_request_body(cx, service, incoming).await?;
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    Ok(AppCall { method: parts.method, path, headers: parts.headers, body })
}

/// Reads the body of a request of a kind within the limits of the settings.
async fn read_request_body(cx: &EntryCx, kind: &str, incoming: Incoming) -> Result<Bytes, Problem> {
    let max = cx.settings.limits.max_body;
    let held = cx.boxes.open_memory(Holder::RequestBody, kind);
    let body = read_body(incoming, max, cx.settings.timing.body_timeout, held);
    let body = cx.drain.wait(kind, body).await.map_err(Stopping::problem)?;
    body.map_err(body_problem)
}

/// Returns the problem for a request body that could not be read.
pub fn body_problem(err: BodyError) -> Problem {
    let message = format!("request body: {err}");
    let status = match err {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoRoom(_) => {
            return Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_room", message)
                .retry_after(NO_ROOM_RETRY);
        }
        BodyError::Closed | BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    };
    Problem::not_run(status, "bad_request", message)
}

/// Returns a problem if the request does not use `method`.
pub(super) fn require_method<B>(method: Method, req: &Request<B>) -> Result<(), Problem> {
    if req.method() == method {
        return Ok(());
    }
    let message = format!("method: found {}, expected {method}", req.method());
    Err(Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "bad_request", message))
}

/// Returns boxes for the caller to connect to, preferring the failure domain that it names.
fn endpoints(cx: &EntryCx, req: &Request<Incoming>, peer: SocketAddr) -> Response<Body> {
    let near_domain = query_value(req.uri(), "failure_domain");
    let mut peer_hasher = DefaultHasher::new();
    peer.hash(&mut peer_hasher);
    let membership = cx.membership.borrow();
    let max_age = cx.settings.timing.endpoints_max_age;
    let endpoints: Endpoints =
        discovery::choose(membership.serving_boxes(), near_domain, peer_hasher.finish(), max_age);
    json_response(StatusCode::OK, &endpoints, Outcome::Done)
}

/// Updates the gauges and renders all metrics.
fn metrics(cx: &EntryCx) -> Response<Body> {
    cx.metrics.gauge("hatchpitch_active_requests", cx.active() as f64);
    cx.metrics.gauge("hatchpitch_config_number", cx.config.number() as f64);
    cx.metrics.gauge("hatchpitch_listeners_unopened", cx.unopened.count() as f64);
    cx.metrics.process(&cx.boxes);
    cx.metrics.quarantine(&cx.config.quarantine());
    pace::update_gauges(cx);
    cx.metrics.gauge("hatchpitch_limited_upstreams", cx.limits.borrow().limited() as f64);
    let backing_off = cx.backoffs.borrow().active_count(clock::now());
    cx.metrics.gauge("hatchpitch_resting_upstreams", backing_off as f64);
    let age = cx.config.confirmed_age().map_or(f64::INFINITY, |age| age.as_secs_f64());
    cx.metrics.gauge("hatchpitch_config_confirmed_age_seconds", age);
    text_response(StatusCode::OK, cx.metrics.render())
}

/// Answers with 200 while the box accepts new work.
fn health(cx: &EntryCx) -> Response<Body> {
    if cx.takes_work() {
        return text_response(StatusCode::OK, "ok\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "takes no new work\n")
}

/// Splits a path below `/apps/` into the service name and the rest, which begins with a slash.
fn split_service_name(rest: &str) -> (&str, &str) {
    match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    }
}

/// Returns the path as it may be logged: a response token is replaced by an ellipsis.
fn path_label(path: &str) -> &str {
    if path.starts_with("/v1/responses/") { "/v1/responses/…" } else { path }
}
