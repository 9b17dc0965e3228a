//! What operators ask of an entry box, under `/ops/`.

use std::rc::Rc;
use std::time::Instant;

use hatchpitch_net::{Body, clock, read_body};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::callers::{body_problem, only};
use super::context::{EntryCx, Intake};
use super::daemon;
use crate::config::view::PoolView;
use crate::evacuation::Revision;
use crate::ids::{BoxName, ConfigNumber, FailureDomainName, PoolName, RunnerName, WorkspaceName};
use crate::membership::MemberStatus;
use crate::outcome::{Outcome, Problem, json_response};
use crate::security::bearer;
use crate::upstream_limits::RateLimit;

/// What an entry box tells operators about itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the box.
    pub name: BoxName,
    /// Configuration number in force.
    pub config_number: ConfigNumber,
    /// Milliseconds since that number was confirmed as the newest; `None` if never.
    pub confirmed_age_ms: Option<u64>,
    /// Evacuated failure domains, and the position of the change that made it so.
    #[serde(default)]
    pub evacuated: (Revision, Vec<FailureDomainName>),
    /// `open`, `leaving` or `closed`.
    pub intake: String,
    /// Requests in progress.
    pub active: usize,
    /// Streams in progress a workspace.
    pub streams: Vec<(WorkspaceName, u64)>,
    /// Pools as this box sees them.
    pub pools: Vec<PoolStatus>,
    /// Boxes as this box sees them.
    pub boxes: Vec<BoxStatus>,
}

/// A pool as one box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Its name.
    pub name: PoolName,
    /// Requests that wait at this box.
    pub waiting: usize,
    /// Its runners.
    pub runners: Vec<RunnerStatus>,
}

/// A runner as one box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// Its name.
    pub name: RunnerName,
    /// Whether this box decides who runs there.
    pub owned: bool,
    /// Requests that this box let in there.
    pub running: u64,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Requests a second that it takes from all boxes together, if it names a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
}

/// A box as another one sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its name.
    pub name: BoxName,
    /// Its status.
    pub status: MemberStatus,
    /// Where callers reach it.
    pub addr: std::net::SocketAddr,
}

/// Answers one request of an operator.
pub async fn handle(cx: &Rc<EntryCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let view = cx.sync_gates();
    let operator = bearer(req.headers()).and_then(|key| view.operator_of_key(key));
    let Some(operator) = operator.map(str::to_owned) else {
        let message = "Authorization: expected \"Bearer\" and a key of an operator";
        return Err(Problem::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message));
    };
    let path = req.uri().path().to_owned();
    if let Some(trace) = path.strip_prefix("/ops/trace/") {
        only(Method::GET, &req)?;
        return Ok(json_response(StatusCode::OK, &cx.tracer.find(trace), Outcome::Done));
    }
    match path.as_str() {
        "/ops/status" => {
            only(Method::GET, &req)?;
            Ok(json_response(StatusCode::OK, &status(cx), Outcome::Done))
        }
        "/ops/drain" => {
            only(Method::POST, &req)?;
            let limits = cx.settings.timing.body_timeout;
            read_body(req.into_body(), 1_024, limits).await.map_err(body_problem)?;
            log::info!("drain ordered by operator {operator}");
            daemon::begin_drain(cx);
            Ok(json_response(StatusCode::ACCEPTED, &status(cx), Outcome::Done))
        }
        _ => Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", "no such path")),
    }
}

/// Returns the status of this box.
pub fn status(cx: &Rc<EntryCx>) -> EntryStatus {
    let now = clock::now();
    let age = cx.config.confirmed_age().map(|age| u64::try_from(age.as_millis()));
    let evacuations = cx.config.evacuations();
    let view = cx.sync_gates();
    let pools = view.pools.iter().map(|pool| pool_status(cx, pool, now)).collect();
    EntryStatus {
        name: cx.settings.name.clone(),
        config_number: cx.config.number(),
        confirmed_age_ms: age.and_then(Result::ok),
        evacuated: (evacuations.revision(), evacuations.domains().cloned().collect()),
        intake: intake_name(cx.intake.get()).to_owned(),
        active: cx.active(),
        streams: cx.stream_counts(),
        pools,
        boxes: boxes(cx),
    }
}

fn pool_status(cx: &EntryCx, pool: &PoolView, now: Instant) -> PoolStatus {
    let gate = cx.gate(&pool.pool.name);
    let owned = gate.update(|table| table.overview(now));
    let runners = pool.runners.iter().map(|runner| {
        let own = owned.iter().find(|(name, ..)| *name == runner.name);
        RunnerStatus {
            name: runner.name.clone(),
            owned: own.is_some(),
            running: own.map_or(0, |(_, running, _)| *running),
            takes_work: own.map_or_else(|| cx.upstream_serves(&runner.name), |own| own.2),
            limit: cx.limits.borrow().limit(&runner.name),
        }
    });
    PoolStatus { name: pool.pool.name.clone(), waiting: gate.waiting(), runners: runners.collect() }
}

fn boxes(cx: &EntryCx) -> Vec<BoxStatus> {
    let membership = cx.membership.borrow();
    let rows = membership.records().filter_map(|record| match &record.subject {
        crate::membership::Subject::Box(name) => {
            Some(BoxStatus { name: name.clone(), status: record.status, addr: record.addr })
        }
        crate::membership::Subject::Upstream(_) => None,
    });
    rows.collect()
}

fn intake_name(intake: Intake) -> &'static str {
    match intake {
        Intake::Open => "open",
        Intake::Leaving => "leaving",
        Intake::Closed => "closed",
    }
}
