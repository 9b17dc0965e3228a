//! Calls to application services under `/apps/<service>/…`.
//!
//! A repeatable call may be sent to another upstream after an unclear failure.
//! Any other call is claimed first, sent at most once, and its answer kept for
//! callers that ask again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, SendError, clock, is_framed, read_body};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use sha2::{Digest as _, Sha256};

use super::context::EntryCx;
use crate::claims::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
use crate::config::view::{FleetView, ServiceView};
use crate::config::{ServiceUpstream, Workspace};
use crate::dispatch::scheduler::RESTING;
use crate::engine::adapter::head_signals;
use crate::ids::{Digest, Priority, new_id};
use crate::metrics::Count;
use crate::outcome::{OUTCOME_HEADER, Outcome, Problem};
use crate::quarantine::ContentId;
use crate::quarantine::observer::{self, RunLocation};
use crate::trace::{Span, TRACEPARENT};
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::task as upstream_signals;

/// Header that names a request which must not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 200;
/// Largest answer of a service, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Upstreams that a repeatable call is sent to at most.
const MAX_TRIES: usize = 3;
/// Permits that are asked for in vain before a call goes to upstreams only that name no limit: each
/// question takes a round trip between boxes.
const MAX_DENIED: usize = 3;
/// Time a claim outlives the call that it is for.
const CLAIM_MARGIN: Duration = Duration::from_secs(10);
/// Time in which a settlement is awaited before the caller gets the answer anyway.
const SETTLE_WAIT: Duration = Duration::from_secs(2);

/// A call as it will be sent.
pub struct AppCall {
    /// Method.
    pub method: Method,
    /// Path below the service, with the query.
    pub path: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole answer of a service.
struct AppAnswer {
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
    /// Whether its service told where it ends.
    is_framed: bool,
}

/// Serves a call to a service.
pub async fn serve(
    cx: Rc<EntryCx>,
    view: &FleetView,
    workspace: &Workspace,
    service: &str,
    call: AppCall,
    span: Span,
) -> Result<Response<Body>, Problem> {
    let allowed = workspace.services.iter().any(|name| name == service);
    let unknown = || {
        let message = format!("this workspace has no service {service:?}");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
    };
    let service = view.service(service).filter(|_| allowed).ok_or_else(unknown)?;
    let path = call.path.split('?').next().unwrap_or("");
    let route = service.route(path).ok_or_else(|| {
        let message = format!("the service has no route for {path:?}");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_route", message)
    })?;
    let content = ContentId::of(&[
        b"app",
        service.service.name.as_bytes(),
        workspace.name.as_bytes(),
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ]);
    observer::check(&cx, &content)?;
    let app = App { cx, service, call, content, priority: workspace.priority, span };
    if route.repeatable {
        return app.repeatable().await;
    }
    app.once(workspace).await
}

struct App<'a> {
    cx: Rc<EntryCx>,
    service: &'a ServiceView,
    call: AppCall,
    /// Names the call, whatever key it has.
    content: ContentId,
    /// What its workspace pays for.
    priority: Priority,
    span: Span,
}

/// The upstreams that a call may still go to.
struct Candidates {
    left: std::vec::IntoIter<ServiceUpstream>,
    tries: usize,
    denied: usize,
    /// When the first of those has room that are at their limits or rest.
    opens_in: Option<Duration>,
}

impl Candidates {
    /// Notes that an upstream is passed over, and for how long it takes nothing.
    fn closed_for(&mut self, wait: Duration) {
        self.opens_in = Some(self.opens_in.map_or(wait, |least| least.min(wait)));
    }
}

impl App<'_> {
    async fn repeatable(&self) -> Result<Response<Body>, Problem> {
        let mut last = None;
        let mut ran = false;
        let mut candidates = self.candidates();
        while let Some(upstream) = self.next(&mut candidates).await {
            match self.send(&upstream).await {
                Ok(answer) => return Ok(done_response(answer)),
                Err(failure) => {
                    ran |= failure.ran;
                    last = Some(failure.cause);
                }
            }
            // Others may have met the same meanwhile.
            if let Err(held) = observer::check(&self.cx, &self.content) {
                return Err(if ran { self.problem(Some(held.message), true) } else { held });
            }
        }
        Err(self.no_answer(&candidates, last, ran))
    }

    async fn once(&self, workspace: &Workspace) -> Result<Response<Body>, Problem> {
        let id = ClaimId { workspace: workspace.name.clone(), key: self.key()? };
        let claim = ClaimRequest {
            id: id.clone(),
            content: self.content(),
            attempt: new_id(),
            run_limit: self.service.service.timeout + CLAIM_MARGIN,
        };
        let asked = clock::now();
        let mut claimed = Claimed::new(self.cx.clone(), id, claim.attempt.clone());
        let span = self.span.child("claim");
        let outcome = self.cx.claims.claim(&claim).await;
        drop(span);
        match outcome {
            Some(ClaimOutcome::Granted) => {}
            None => {
                // The claim may have been committed all the same; dropping `claimed` gives it back.
                let message = "no control quorum could be asked for the claim";
                let problem =
                    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_quorum", message);
                return Err(problem.retry_after(self.cx.short_retry()));
            }
            Some(other) => {
                claimed.disarm();
                return held_answer(other, &self.cx);
            }
        }
        if clock::since(asked) >= self.service.service.timeout + CLAIM_MARGIN / 2 {
            // This process was frozen; by now the claim may count as unknown.
            let message = "the claim ran out before the call could be sent";
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_late", message);
            return Err(problem.retry_after(self.cx.short_retry()));
        }
        self.run_claimed(&mut claimed).await
    }

    /// Sends a claimed call; only refused connects go on to the next upstream.
    async fn run_claimed(&self, claimed: &mut Claimed) -> Result<Response<Body>, Problem> {
        let mut last = None;
        let mut candidates = self.candidates();
        while let Some(upstream) = self.next(&mut candidates).await {
            claimed.settlement = Settlement::Unknown;
            match self.send(&upstream).await {
                Ok(answer) => {
                    claimed.settlement = Settlement::Done(kept(&answer));
                    claimed.settle_soon().await;
                    return Ok(done_response(answer));
                }
                Err(failure) if failure.ran => return Err(self.problem(Some(failure.cause), true)),
                Err(failure) => {
                    claimed.settlement = Settlement::NotRun;
                    last = Some(failure.cause);
                }
            }
        }
        claimed.settle_soon().await;
        Err(self.no_answer(&candidates, last, false))
    }

    fn candidates(&self) -> Candidates {
        let left = self.upstreams().into_iter();
        Candidates { left, tries: 0, denied: 0, opens_in: None }
    }

    /// Returns the next upstream that may get the call, with the permit for it.
    async fn next(&self, candidates: &mut Candidates) -> Option<ServiceUpstream> {
        if candidates.tries >= MAX_TRIES {
            return None;
        }
        candidates.tries += 1;
        while let Some(upstream) = candidates.left.next() {
            let skips = candidates.denied >= MAX_DENIED
                && self.cx.limits.borrow().limit(&upstream.name).is_some();
            if skips {
                continue;
            }
            let opens_in = self.opens_in(&upstream);
            if !opens_in.is_zero() {
                candidates.closed_for(opens_in);
                continue;
            }
            match upstream_limits::obtain(&self.cx, &upstream.name, self.priority).await {
                Ok(()) if self.cx.backoffs.borrow_mut().take(&upstream.name, clock::now()) => {
                    return Some(upstream);
                }
                Ok(()) => candidates.closed_for(self.opens_in(&upstream)),
                Err(wait) => {
                    candidates.denied += 1;
                    candidates.closed_for(wait);
                }
            }
        }
        None
    }

    /// Returns what a caller is told whose call no upstream answered.
    fn no_answer(&self, candidates: &Candidates, last: Option<String>, ran: bool) -> Problem {
        if ran {
            return self.problem(last, ran);
        }
        // Those that turned it away may have asked for rest.
        let rests = self.upstreams().iter().map(|upstream| self.opens_in(upstream)).min();
        let rests = rests.filter(|left| !left.is_zero());
        match candidates.opens_in.into_iter().chain(rests).min() {
            Some(wait) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let cause = last.unwrap_or_else(|| RESTING.to_owned());
                Problem::not_run(status, "no_upstream", cause).retry_after(wait)
            }
            None => self.problem(last, ran),
        }
    }

    /// Returns the time until an upstream wants work of this box again.
    fn opens_in(&self, upstream: &ServiceUpstream) -> Duration {
        self.cx.backoffs.borrow().opens_in(&upstream.name, clock::now())
    }

    /// Returns the upstreams that take new work, beginning at another one each time.
    fn upstreams(&self) -> Vec<ServiceUpstream> {
        let all = &self.service.upstreams;
        let serving = all.iter().filter(|u| self.cx.upstream_serves(&u.name));
        let mut serving: Vec<ServiceUpstream> = serving.cloned().collect();
        let turn = self.cx.next_turn() % serving.len().max(1);
        serving.rotate_left(turn);
        serving
    }

    async fn send(&self, upstream: &ServiceUpstream) -> Result<AppAnswer, AppFailure> {
        let mut span = self.span.child("app.call");
        span.note("upstream", &upstream.name);
        let sent = self.exchange(upstream, &span.traceparent()).await;
        match &sent {
            Ok(answer) if answer.is_framed => observer::record_answer(&self.cx, self.content),
            Ok(_) => {}
            Err(failure) => {
                span.note("error", &failure.cause);
                if failure.ran {
                    let place = RunLocation { upstream: &upstream.name, addr: upstream.addr };
                    observer::record_interruption(&self.cx, place, self.content, None);
                }
            }
        }
        sent
    }

    async fn exchange(
        &self,
        upstream: &ServiceUpstream,
        traceparent: &str,
    ) -> Result<AppAnswer, AppFailure> {
        let addr = upstream.addr;
        let req = self.request(addr, traceparent);
        let timeout = self.service.service.timeout;
        let sent_at = clock::now();
        let res = self.cx.upstream(addr).send(req, timeout).await.map_err(AppFailure::from)?;
        upstream_signals::record(&self.cx, &upstream.name, head_signals(&res), sent_at);
        let status = res.status();
        let plain = || HeaderValue::from_static("application/octet-stream");
        let content_type = res.headers().get(header::CONTENT_TYPE).cloned().unwrap_or_else(plain);
        let refused = status == StatusCode::SERVICE_UNAVAILABLE
            && res.headers().get(OUTCOME_HEADER).is_some_and(|v| v == Outcome::NotRun.as_str());
        if refused {
            return Err(AppFailure { cause: format!("{addr} refused"), ran: false });
        }
        let is_framed = is_framed(res.headers());
        let body = read_body(res.into_body(), MAX_ANSWER, timeout).await;
        let body = body.map_err(|err| AppFailure { cause: format!("{addr}: {err}"), ran: true })?;
        Ok(AppAnswer { status, content_type, body, is_framed })
    }

    fn request(&self, addr: SocketAddr, traceparent: &str) -> Request<Body> {
        let mut req = Request::new(Body::from(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = self.call.path.parse().unwrap_or_default();
        let headers = req.headers_mut();
        for name in [header::CONTENT_TYPE, header::ACCEPT, HeaderName::from_static(IDEMPOTENCY_KEY)]
        {
            if let Some(value) = self.call.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(header::HOST, host);
        }
        if let Ok(value) = HeaderValue::from_str(traceparent) {
            headers.insert(TRACEPARENT, value);
        }
        req
    }

    fn key(&self) -> Result<String, Problem> {
        let value = self.call.headers.get(IDEMPOTENCY_KEY);
        let key = value.and_then(|value| value.to_str().ok()).unwrap_or("");
        if key.is_empty() || key.len() > MAX_KEY {
            let message = format!(
                "Idempotency-Key: this call must not be repeated, so it needs a key of 1 to \
                 {MAX_KEY} characters"
            );
            return Err(Problem::bad_request(message));
        }
        Ok(key.to_owned())
    }

    fn content(&self) -> Digest {
        let mut hash = Sha256::new();
        let name = &self.service.service.name;
        for part in [name, self.call.method.as_str(), &self.call.path] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(&self.call.body);
        hash.finalize().into()
    }

    fn problem(&self, cause: Option<String>, ran: bool) -> Problem {
        let cause = cause.unwrap_or_else(|| "no upstream of the service takes work".to_owned());
        let problem = if ran {
            self.cx.metrics.count(Count::Unknown, &self.service.service.name);
            Problem::unknown(StatusCode::BAD_GATEWAY, "upstream_lost", cause)
        } else {
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_upstream", cause)
        };
        problem.retry_after(self.cx.short_retry())
    }
}

struct AppFailure {
    cause: String,
    ran: bool,
}

impl From<SendError> for AppFailure {
    fn from(err: SendError) -> Self {
        Self { ran: !err.is_not_run(), cause: err.to_string() }
    }
}

/// A claim that this process holds or may hold; dropping it settles it.
struct Claimed {
    cx: Rc<EntryCx>,
    id: ClaimId,
    attempt: String,
    settlement: Settlement,
    armed: bool,
}

impl Claimed {
    fn new(cx: Rc<EntryCx>, id: ClaimId, attempt: String) -> Self {
        Self { cx, id, attempt, settlement: Settlement::NotRun, armed: true }
    }

    fn disarm(&mut self) {
        self.armed = false;
    }

    /// Settles now and waits a while for it to be durable.
    async fn settle_soon(&mut self) {
        self.armed = false;
        let settling = self.spawn_settle();
        if compio::time::timeout(SETTLE_WAIT, settling).await.is_err() {
            log::warn!("settlement of a claim is still on its way");
        }
    }

    fn spawn_settle(&self) -> impl Future<Output = ()> + use<> {
        let (tx, rx) = futures_channel::oneshot::channel::<()>();
        let claims = self.cx.claims.clone();
        let req = SettleRequest {
            id: self.id.clone(),
            attempt: self.attempt.clone(),
            settlement: self.settlement.clone(),
        };
        let active = self.cx.begin();
        compio::runtime::spawn(async move {
            if !claims.settle(&req).await {
                log::warn!("a claim could not be settled; it will count as unknown");
            }
            drop(active);
            let _ = tx.send(());
        })
        .detach();
        async move {
            let _ = rx.await;
        }
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if self.armed {
            drop(self.spawn_settle());
        }
    }
}

fn held_answer(outcome: ClaimOutcome, cx: &EntryCx) -> Result<Response<Body>, Problem> {
    let conflict = |kind, message: &str| Problem::unknown(StatusCode::CONFLICT, kind, message);
    match outcome {
        ClaimOutcome::Kept(answer) => Ok(kept_response(answer)),
        ClaimOutcome::Running => {
            let problem = conflict("in_progress", "another attempt of this request is in progress");
            Err(problem.retry_after(cx.short_retry()))
        }
        ClaimOutcome::KeyReused => {
            let message = "Idempotency-Key: it was used for another request";
            Err(Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message))
        }
        ClaimOutcome::TooMany => {
            let message = "the workspace holds as many claims as it may";
            let refused =
                Problem::not_run(StatusCode::TOO_MANY_REQUESTS, "too_many_claims", message);
            Err(refused.retry_after(Duration::from_secs(30)))
        }
        ClaimOutcome::Unknown | ClaimOutcome::Granted => {
            cx.metrics.count(Count::Unknown, "");
            Err(conflict("answer_lost", "the request may have been run; its answer is lost"))
        }
    }
}

fn kept(answer: &AppAnswer) -> KeptAnswer {
    KeptAnswer {
        status: answer.status.as_u16(),
        content_type: answer.content_type.to_str().unwrap_or_default().to_owned(),
        body: Some(answer.body.to_vec()),
    }
}

fn kept_response(kept: KeptAnswer) -> Response<Body> {
    let Some(body) = kept.body else {
        let mut problem = Problem::unknown(
            StatusCode::CONFLICT,
            "answer_not_kept",
            "the request was run; its answer was too large to keep",
        );
        problem.outcome = Outcome::Done;
        return problem.into_response();
    };
    done_response(AppAnswer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        content_type: HeaderValue::from_str(&kept.content_type)
            .unwrap_or_else(|_| HeaderValue::from_static("application/octet-stream")),
        body: Bytes::from(body),
        is_framed: true,
    })
}

fn done_response(answer: AppAnswer) -> Response<Body> {
    let mut res = Response::new(Body::from(answer.body));
    *res.status_mut() = answer.status;
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, answer.content_type);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Done.as_str()));
    res
}
