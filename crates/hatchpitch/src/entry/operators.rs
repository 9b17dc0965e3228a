//! Handles requests from operators to an entry box, under `/ops/`.

use std::rc::Rc;
use std::time::Instant;

use hatchpitch_net::{Body, Holder, clock, read_body};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::callers::{body_problem, require_method};
use super::context::{EntryCx, Intake};
use super::daemon;
use crate::config::view::PoolView;
use crate::evacuation::Revision;
use crate::ids::{BoxName, ConfigNumber, FailureDomainName, PoolName, RunnerName, WorkspaceName};
use crate::membership::MemberStatus;
use crate::outcome::{Outcome, Problem, json_response};
use crate::pace::watch::paces;
use crate::security::{self, BEARER, bearer};
use crate::upstream_limits::RateLimit;

/// Status of an entry box, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the box.
    pub name: BoxName,
    /// Number of the configuration in force.
    pub config_number: ConfigNumber,
    /// Time since that number was last confirmed as the newest, in milliseconds; `None` if never.
    pub confirmed_age_ms: Option<u64>,
    /// Revision of the list of evacuations, and the evacuated failure domains.
    #[serde(default)]
    pub evacuated: (Revision, Vec<FailureDomainName>),
    /// `open`, `leaving` or `closed`.
    pub intake: String,
    /// Requests in progress.
    pub active: usize,
    /// Number of streams in progress per workspace.
    pub streams: Vec<(WorkspaceName, u64)>,
    /// Pools as seen by this box.
    pub pools: Vec<PoolStatus>,
    /// Boxes as seen by this box.
    pub boxes: Vec<BoxStatus>,
}

/// Status of a pool as seen by one box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Its name.
    pub name: PoolName,
    /// Number of requests waiting at this box.
    pub waiting: usize,
    /// Its runners.
    pub runners: Vec<RunnerStatus>,
}

/// Status of a runner as seen by one box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunnerStatus {
    /// Its name.
    pub name: RunnerName,
    /// Whether this box owns the runner and admits requests to it.
    pub owned: bool,
    /// Number of requests running there that this box admitted.
    pub running: u64,
    /// Whether it accepts new work.
    pub takes_work: bool,
    /// Maximum rate of requests from all boxes together, if the runner names a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
    /// Mean gap between the events of streams there in milliseconds, if this box owns the runner
    /// and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mean_gap_ms: Option<f64>,
    /// Probability that a typical stream pauses there for longer than allowed, from 0 to 1, if the
    /// mean gap is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub risk: Option<f64>,
}

/// Status of a box as seen by another box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its name.
    pub name: BoxName,
    /// Its status.
    pub status: MemberStatus,
    /// Address at which callers reach it.
    pub addr: std::net::SocketAddr,
}

/// Handles one request from an operator.
pub async fn handle(cx: &Rc<EntryCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let view = cx.sync_gates();
    let operator = bearer(req.headers()).and_then(|key| view.operator_of_key(key));
    let Some(operator) = operator.map(str::to_owned) else {
        return Err(security::unknown_key(BEARER, "an operator"));
    };
    let path = req.uri().path().to_owned();
    if let Some(trace) = path.strip_prefix("/ops/trace/") {
        require_method(Method::GET, &req)?;
        return Ok(json_response(StatusCode::OK, &cx.tracer.find(trace), Outcome::Done));
    }
    match path.as_str() {
        "/ops/status" => {
            require_method(Method::GET, &req)?;
            Ok(json_response(StatusCode::OK, &status(cx), Outcome::Done))
        }
        "/ops/drain" => {
            require_method(Method::POST, &req)?;
            let timeout = cx.settings.timing.body_timeout;
            let held = cx.boxes.open_memory(Holder::RequestBody, &path);
            read_body(req.into_body(), 1_024, timeout, held).await.map_err(body_problem)?;
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
        boxes: box_statuses(cx),
    }
}

/// Returns the status of a pool at this box.
fn pool_status(cx: &EntryCx, pool: &PoolView, now: Instant) -> PoolStatus {
    let gate = cx.gate(&pool.pool.name);
    let (owned, paces) = gate.inspect(|table| (table.overview(now), paces(table, now)));
    let runners = pool.runners.iter().map(|runner| {
        let row = owned.iter().find(|(name, ..)| *name == runner.name);
        let pace = paces.iter().find(|(name, _)| *name == runner.name).and_then(|(_, pace)| *pace);
        RunnerStatus {
            name: runner.name.clone(),
            owned: row.is_some(),
            running: row.map_or(0, |(_, running, _)| *running),
            takes_work: row.map_or_else(|| cx.upstream_serves(&runner.name), |row| row.2),
            limit: cx.limits.borrow().limit(&runner.name),
            mean_gap_ms: pace.map(|(view, _)| view.mean_gap.as_secs_f64() * 1_000.0),
            risk: pace.map(|(_, risk)| risk),
        }
    });
    PoolStatus { name: pool.pool.name.clone(), waiting: gate.waiting(), runners: runners.collect() }
}

/// Returns the status of all known boxes.
fn box_statuses(cx: &EntryCx) -> Vec<BoxStatus> {
    let membership = cx.membership.borrow();
    let statuses = membership.records().filter_map(|record| match &record.subject {
        crate::membership::Subject::Box(name) => {
            Some(BoxStatus { name: name.clone(), status: record.status, addr: record.addr })
        }
        crate::membership::Subject::Upstream(_) => None,
    });
    statuses.collect()
}

/// Returns the value of the field `intake`.
fn intake_name(intake: Intake) -> &'static str {
    match intake {
        Intake::Open => "open",
        Intake::Leaving => "leaving",
        Intake::Closed => "closed",
    }
}
