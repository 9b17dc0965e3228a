//! Calls to application services under `/apps/<service>/…`.
//!
//! A call to a repeatable route is retried at another upstream even if the failed attempt may have
//! run. Any other call is claimed first and runs at most once; its answer is stored and returned
//! when the caller repeats the call.
//!
//! An answer with neither a length nor chunks may have been cut short. Unless its content shows that
//! it was, the caller gets it in the same framing and with an unknown outcome.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::{Body, Framing, SendError, clock, read_body};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use sha2::{Digest as _, Sha256};

use super::context::EntryCx;
use crate::claims::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
use crate::config::view::{FleetView, ServiceView};
use crate::config::{ServiceUpstream, Workspace};
use crate::dispatch::scheduler::RESTING;
use crate::drain::Stopping;
use crate::engine::adapter::head_signals;
use crate::ids::{Digest, Priority, new_id};
use crate::metrics::Count;
use crate::outcome::{OUTCOME_HEADER, Outcome, Problem};
use crate::quarantine::observer::{self, RunLocation};
use crate::quarantine::{Causes, ContentId};
use crate::relay::ending::{BUFFERED_STATE_TIMEOUT, EndCheck, Ending};
use crate::trace::{Span, TRACEPARENT};
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::task as upstream_signals;

/// Request header with the key that identifies a call which must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY: usize = 200;
/// Maximum size of an answer body of a service, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Maximum number of upstreams that one call is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Denied permits after which a call is only sent to upstreams without a limit. Each permit request
/// may take a round trip between boxes.
const MAX_DENIED_PERMITS: usize = 3;
/// Time by which a claim outlives the timeout of its call.
const CLAIM_MARGIN: Duration = Duration::from_secs(10);
/// Maximum time for which an answer is held back until its claim is settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's request to a service.
pub struct AppCall {
    /// Method.
    pub method: Method,
    /// Path below the service name, with the query.
    pub path: String,
    /// Request headers of the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// An answer of a service whose body ended in order.
struct AppAnswer {
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
    /// Framing of the answer, which tells whether a truncated body would have been detected.
    framing: Framing,
}

impl AppAnswer {
    /// Returns the outcome for the caller. Only an answer that marks its own end shows that the call
    /// was executed to its end.
    fn outcome(&self) -> Outcome {
        match self.framing {
            Framing::Delimited => Outcome::Done,
            Framing::UntilClose => Outcome::Unknown,
        }
    }
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
    let causes = Causes::from(content);
    observer::check(&cx, &causes)?;
    let dispatch = CallDispatch { cx, service, call, causes, priority: workspace.priority, span };
    if route.repeatable {
        return dispatch.send_repeatable().await;
    }
    dispatch.send_once(workspace).await
}

/// One call to a service and what is needed to dispatch it.
struct CallDispatch<'a> {
    cx: Rc<EntryCx>,
    service: &'a ServiceView,
    call: AppCall,
    /// Identifies the content of the call; does not depend on the idempotency key.
    causes: Causes,
    /// Priority of the workspace.
    priority: Priority,
    span: Span,
}

/// The upstreams that a call can still be sent to.
struct Candidates {
    remaining: std::vec::IntoIter<ServiceUpstream>,
    attempts: usize,
    denied_permits: usize,
    /// Shortest time until one of the upstreams that were skipped, because of a backoff or a limit,
    /// accepts work.
    available_in: Option<Duration>,
}

impl Candidates {
    /// Records that an upstream was skipped because it accepts no work for `wait`.
    fn record_unavailable(&mut self, wait: Duration) {
        self.available_in = Some(self.available_in.map_or(wait, |shortest| shortest.min(wait)));
    }
}

impl CallDispatch<'_> {
    /// Sends the call to one upstream after another until one answers.
    async fn send_repeatable(&self) -> Result<Response<Body>, Problem> {
        let mut last_cause = None;
        let mut ran = false;
        let mut candidates = self.candidates();
        loop {
            let upstream = match self.wait_for_upstream(&mut candidates).await {
                Ok(Some(upstream)) => upstream,
                Ok(None) => break,
                Err(Stopping) if ran => return Err(self.problem(last_cause, true)),
                Err(stopping) => return Err(stopping.problem()),
            };
            match self.send(&upstream).await {
                Ok(answer) => return Ok(answer_response(answer)),
                Err(failure) => {
                    ran |= failure.ran;
                    last_cause = Some(failure.cause);
                }
            }
            // Other calls with this content may have crashed upstreams in the meantime.
            if let Err(quarantined) = observer::check(&self.cx, &self.causes) {
                return Err(if ran {
                    self.problem(Some(quarantined.message), true)
                } else {
                    quarantined
                });
            }
        }
        Err(self.no_answer_problem(&candidates, last_cause, ran))
    }

    /// Claims the call and sends it, or returns the stored answer of an earlier call with its key.
    async fn send_once(&self, workspace: &Workspace) -> Result<Response<Body>, Problem> {
        let id = ClaimId { workspace: workspace.name.clone(), key: self.idempotency_key()? };
        let claim = ClaimRequest {
            id: id.clone(),
            content: self.content_digest(),
            attempt: new_id(),
            run_limit: self.service.service.timeout + CLAIM_MARGIN,
        };
        let asked_at = clock::now();
        let mut claim_guard = ClaimGuard::new(self.cx.clone(), id, claim.attempt.clone());
        let span = self.span.child("claim");
        let claimed =
            self.cx.drain.wait(&self.service.service.name, self.cx.claims.claim(&claim)).await;
        drop(span);
        // The claim may have been committed nevertheless; dropping `claim_guard` settles it.
        let outcome = claimed.map_err(Stopping::problem)?;
        match outcome {
            Some(ClaimOutcome::Granted) => {}
            None => {
                // The claim may have been committed nevertheless; dropping `claim_guard` settles it
                // as not run.
                let message = "no control quorum could be asked for the claim";
                let problem =
                    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_quorum", message);
                return Err(problem.retry_after(self.cx.short_retry()));
            }
            Some(other) => {
                claim_guard.disarm();
                return ungranted_response(other, &self.cx);
            }
        }
        if clock::since(asked_at) >= self.service.service.timeout + CLAIM_MARGIN / 2 {
            // This process was suspended, and the claim may have expired to `Unknown` by now.
            let message = "the claim ran out before the call could be sent";
            let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_late", message);
            return Err(problem.retry_after(self.cx.short_retry()));
        }
        self.run_claimed(&mut claim_guard).await
    }

    /// Sends a claimed call. Only an attempt that certainly did not run is followed by one at the
    /// next upstream.
    async fn run_claimed(&self, claim_guard: &mut ClaimGuard) -> Result<Response<Body>, Problem> {
        let mut last_cause = None;
        let mut candidates = self.candidates();
        while let Some(upstream) =
            self.wait_for_upstream(&mut candidates).await.map_err(Stopping::problem)?
        {
            claim_guard.settlement = Settlement::Unknown;
            match self.send(&upstream).await {
                Ok(answer) => {
                    claim_guard.settlement = Settlement::Done(stored_answer(&answer));
                    claim_guard.settle_and_wait().await;
                    return Ok(answer_response(answer));
                }
                Err(failure) if failure.ran => return Err(self.problem(Some(failure.cause), true)),
                Err(failure) => {
                    claim_guard.settlement = Settlement::NotRun;
                    last_cause = Some(failure.cause);
                }
            }
        }
        claim_guard.settle_and_wait().await;
        Err(self.no_answer_problem(&candidates, last_cause, false))
    }

    fn candidates(&self) -> Candidates {
        let remaining = self.serving_upstreams().into_iter();
        Candidates { remaining, attempts: 0, denied_permits: 0, available_in: None }
    }

    /// Returns the next upstream as [`Self::next_upstream`] does, unless the box stops before the
    /// call could be served.
    async fn wait_for_upstream(
        &self,
        candidates: &mut Candidates,
    ) -> Result<Option<ServiceUpstream>, Stopping> {
        self.cx.drain.wait(&self.service.service.name, self.next_upstream(candidates)).await
    }

    /// Returns the next upstream that the call may be sent to, after obtaining a permit for it.
    async fn next_upstream(&self, candidates: &mut Candidates) -> Option<ServiceUpstream> {
        if candidates.attempts >= MAX_ATTEMPTS {
            return None;
        }
        candidates.attempts += 1;
        while let Some(upstream) = candidates.remaining.next() {
            let skips = candidates.denied_permits >= MAX_DENIED_PERMITS
                && self.cx.limits.borrow().limit(&upstream.name).is_some();
            if skips {
                continue;
            }
            let available_in = self.available_in(&upstream);
            if !available_in.is_zero() {
                candidates.record_unavailable(available_in);
                continue;
            }
            match upstream_limits::obtain(&self.cx, &upstream.name, self.priority).await {
                Ok(()) if self.cx.backoffs.borrow_mut().take(&upstream.name, clock::now()) => {
                    return Some(upstream);
                }
                Ok(()) => candidates.record_unavailable(self.available_in(&upstream)),
                Err(wait) => {
                    candidates.denied_permits += 1;
                    candidates.record_unavailable(wait);
                }
            }
        }
        None
    }

    /// Returns the problem for a call that no upstream answered.
    fn no_answer_problem(
        &self,
        candidates: &Candidates,
        last_cause: Option<String>,
        ran: bool,
    ) -> Problem {
        if ran {
            return self.problem(last_cause, ran);
        }
        // Upstreams that refused the call may have asked for a backoff in their answers.
        let backoff =
            self.serving_upstreams().iter().map(|upstream| self.available_in(upstream)).min();
        let backoff = backoff.filter(|left| !left.is_zero());
        match candidates.available_in.into_iter().chain(backoff).min() {
            Some(wait) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let cause = last_cause.unwrap_or_else(|| RESTING.to_owned());
                Problem::not_run(status, "no_upstream", cause).retry_after(wait)
            }
            None => self.problem(last_cause, ran),
        }
    }

    /// Returns the time until the backoff of an upstream allows this box to send to it again.
    fn available_in(&self, upstream: &ServiceUpstream) -> Duration {
        self.cx.backoffs.borrow().opens_in(&upstream.name, clock::now())
    }

    /// Returns the upstreams that accept new work, rotated by one position on each call.
    fn serving_upstreams(&self) -> Vec<ServiceUpstream> {
        let all = &self.service.upstreams;
        let serving = all.iter().filter(|u| self.cx.upstream_serves(&u.name));
        let mut serving: Vec<ServiceUpstream> = serving.cloned().collect();
        let offset = self.cx.next_rotation() % serving.len().max(1);
        serving.rotate_left(offset);
        serving
    }

    /// Sends the call to `upstream` and reports the outcome to the quarantine observer.
    async fn send(&self, upstream: &ServiceUpstream) -> Result<AppAnswer, AppFailure> {
        let mut span = self.span.child("app.call");
        span.note("upstream", &upstream.name);
        let mut timer = self.cx.drain.start_run(&self.service.service.name);
        let sent = self.exchange(upstream, &span.traceparent()).await;
        match &sent {
            Ok(answer) if !answer.framing.is_until_close() => {
                timer.succeed(clock::now());
                observer::record_answer(&self.cx, &self.causes);
            }
            Ok(_) => self.cx.metrics.count(Count::OpenEnded, &self.service.service.name),
            Err(failure) => {
                span.note("error", &failure.cause);
                if failure.ran {
                    let location = RunLocation { upstream: &upstream.name, addr: upstream.addr };
                    observer::record_interruption(&self.cx, location, &self.causes, None);
                }
            }
        }
        sent
    }

    /// Sends the call to `upstream` and reads the answer.
    async fn exchange(
        &self,
        upstream: &ServiceUpstream,
        traceparent: &str,
    ) -> Result<AppAnswer, AppFailure> {
        let addr = upstream.addr;
        let req = self.request(addr, traceparent);
        let timeout = self.service.service.timeout;
        let sent_at = clock::now();
        let client = self.cx.upstream(&upstream.name, addr);
        let held = client.open_answer(&self.call.path);
        let res = client.send(req, timeout).await;
        let res = res.map_err(AppFailure::from)?;
        upstream_signals::record(&self.cx, &upstream.name, head_signals(&res), sent_at);
        let status = res.status();
        let default_type = || HeaderValue::from_static("application/octet-stream");
        let content_type =
            res.headers().get(header::CONTENT_TYPE).cloned().unwrap_or_else(default_type);
        let refused = status == StatusCode::SERVICE_UNAVAILABLE
            && res.headers().get(OUTCOME_HEADER).is_some_and(|v| v == Outcome::NotRun.as_str());
        if refused {
            upstream_signals::record_unowned_rejection(&self.cx, &upstream.name);
            return Err(AppFailure { cause: format!("{addr} refused"), ran: false });
        }
        let (parts, body) = res.into_parts();
        let mut check = EndCheck::new(body.framing(), &parts.headers);
        let broken = |cause: &str| AppFailure { cause: format!("{addr}: {cause}"), ran: true };
        let body = read_body(body, MAX_ANSWER, timeout, held).await;
        let body = body.map_err(|err| broken(&err.to_string()))?;
        check.push(&body);
        let location = RunLocation { upstream: &upstream.name, addr };
        match check.judge(&self.cx, location, &self.causes, BUFFERED_STATE_TIMEOUT).await {
            Ending::Truncated(cause) => return Err(broken(cause)),
            Ending::Complete | Ending::Open(_) => {}
        }
        Ok(AppAnswer { status, content_type, body, framing: check.framing() })
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

    /// Returns the idempotency key of the call.
    fn idempotency_key(&self) -> Result<String, Problem> {
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

    /// Returns the digest by which the control boxes detect a key that is reused for another call.
    fn content_digest(&self) -> Digest {
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

/// Why an attempt at one upstream failed.
struct AppFailure {
    cause: String,
    /// Whether the upstream may have run the call.
    ran: bool,
}

impl From<SendError> for AppFailure {
    fn from(err: SendError) -> Self {
        Self { ran: !err.is_not_run(), cause: err.to_string() }
    }
}

/// A claim that this process holds or may hold. Dropping the guard settles the claim.
struct ClaimGuard {
    cx: Rc<EntryCx>,
    id: ClaimId,
    attempt: String,
    /// What the claim is settled as.
    settlement: Settlement,
    /// Whether the claim is settled on drop.
    armed: bool,
}

impl ClaimGuard {
    fn new(cx: Rc<EntryCx>, id: ClaimId, attempt: String) -> Self {
        Self { cx, id, attempt, settlement: Settlement::NotRun, armed: true }
    }

    /// Leaves the claim unsettled on drop.
    fn disarm(&mut self) {
        self.armed = false;
    }

    /// Settles the claim and waits up to [`SETTLE_TIMEOUT`] for the settlement to be durable.
    async fn settle_and_wait(&mut self) {
        self.armed = false;
        let settling = self.spawn_settle();
        if compio::time::timeout(SETTLE_TIMEOUT, settling).await.is_err() {
            log::warn!("claim not settled within {SETTLE_TIMEOUT:?}; the caller is answered now");
        }
    }

    /// Settles the claim in a task of its own. The returned future resolves when that task ends.
    fn spawn_settle(&self) -> impl Future<Output = ()> + use<> {
        let (settled_tx, settled_rx) = futures_channel::oneshot::channel::<()>();
        let claims = self.cx.claims.clone();
        let req = SettleRequest {
            id: self.id.clone(),
            attempt: self.attempt.clone(),
            settlement: self.settlement.clone(),
        };
        let active = self.cx.begin_request();
        compio::runtime::spawn(async move {
            if !claims.settle(&req).await {
                log::warn!(
                    "claim could not be settled; its outcome becomes unknown when it expires"
                );
            }
            drop(active);
            let _ = settled_tx.send(());
        })
        .detach();
        async move {
            let _ = settled_rx.await;
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.armed {
            drop(self.spawn_settle());
        }
    }
}

/// Returns the response to a call whose claim was not granted.
fn ungranted_response(outcome: ClaimOutcome, cx: &EntryCx) -> Result<Response<Body>, Problem> {
    let conflict = |kind, message: &str| Problem::unknown(StatusCode::CONFLICT, kind, message);
    match outcome {
        ClaimOutcome::Kept(answer) => Ok(stored_response(answer)),
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

/// Returns an answer in the form in which the control boxes store it.
fn stored_answer(answer: &AppAnswer) -> KeptAnswer {
    KeptAnswer {
        status: answer.status.as_u16(),
        content_type: answer.content_type.to_str().unwrap_or_default().to_owned(),
        body: Some(answer.body.to_vec()),
        is_delimited: answer.framing == Framing::Delimited,
    }
}

/// Returns the response for a stored answer.
fn stored_response(stored: KeptAnswer) -> Response<Body> {
    let is_body_kept = stored.body.is_some();
    let answer = AppAnswer {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        content_type: HeaderValue::from_str(&stored.content_type)
            .unwrap_or_else(|_| HeaderValue::from_static("application/octet-stream")),
        body: Bytes::from(stored.body.unwrap_or_default()),
        framing: match stored.is_delimited {
            true => Framing::Delimited,
            false => Framing::UntilClose,
        },
    };
    if !is_body_kept {
        let mut problem = Problem::unknown(
            StatusCode::CONFLICT,
            "answer_not_kept",
            "the request was run; its answer was too large to keep",
        );
        problem.outcome = answer.outcome();
        return problem.into_response();
    }
    answer_response(answer)
}

/// Returns the response for an answer of an upstream.
fn answer_response(answer: AppAnswer) -> Response<Body> {
    let outcome = answer.outcome();
    let mut res = Response::new(Body::from(answer.body).framed(answer.framing));
    *res.status_mut() = answer.status;
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, answer.content_type);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    res
}
