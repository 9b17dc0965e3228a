//! Requests of operators to a control box.

use std::rc::Rc;

use hatchpitch_net::keys::to_hex;
use hatchpitch_net::{Body, Reservation, clock, query_value};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::context::{ConfigText, ControlCx, LogState, ProposeError};
use super::daemon::BODY_TIMEOUT;
use super::evacuate::{EvacuateError, evacuate};
use super::machine::Order;
use super::quarantine;
use super::repair;
use super::submit::{SubmitError, submit};
use crate::config::check::MAX_FLEET_FILE;
use crate::config::view::find_key;
use crate::config::{ApplyOutcome, Entity, EntityKey, Fleet, load_fleet};
use crate::entry::callers::body_problem;
use crate::evacuation::{EvacuationOrder, Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, FailureDomainName};
use crate::outcome::{Outcome, Problem, json_response, text_response};
use crate::security::{self, BEARER, bearer};
use crate::settings::diagnostic::Problem as FileProblem;

/// Status of a control box, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the box.
    pub name: BoxName,
    /// Whether the box leads.
    pub leads: bool,
    /// Name of the leader, if it is known.
    pub leader: Option<BoxName>,
    /// Control boxes that are voters.
    pub voters: Vec<BoxName>,
    /// Control boxes that receive the log but do not vote yet.
    pub learners: Vec<BoxName>,
    /// Newest accepted configuration number known to the box.
    pub config_number: ConfigNumber,
    /// Digest of that configuration, in hexadecimal.
    pub config_digest: String,
    /// Number of claims held.
    pub claims: usize,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<FailureDomainName>,
}

/// Evacuations in effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Revision of the evacuations; it allows comparison with the revisions that boxes report.
    pub revision: Revision,
    /// Evacuated failure domains.
    pub domains: Vec<FailureDomainName>,
}

impl From<&Evacuations> for EvacuationList {
    fn from(set: &Evacuations) -> Self {
        Self { revision: set.revision(), domains: set.domains().cloned().collect() }
    }
}

/// Reasons why a fleet file was rejected.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FileProblems {
    /// All problems found in the file.
    pub problems: Vec<FileProblem>,
}

/// The content that was accepted under a configuration number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedAnswer {
    /// Configuration number.
    pub number: ConfigNumber,
    /// Digest of the content, in hexadecimal.
    pub content: String,
    /// Operator who submitted it.
    pub by: String,
}

/// Changes that a fleet file would make to the configuration in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// Configuration number in force.
    pub base: ConfigNumber,
    /// Entities that would be added.
    pub added: Vec<EntityKey>,
    /// Entities that would change.
    pub changed: Vec<EntityKey>,
    /// Entities that would be removed.
    pub removed: Vec<EntityKey>,
}

/// Handles one request of an operator.
pub async fn handle(cx: Rc<ControlCx>, req: Request<Incoming>) -> Response<Body> {
    match dispatch(&cx, req).await {
        Ok(res) => res,
        Err(problem) => {
            log::info!(
                "request of an operator refused with {}: {}",
                problem.status,
                problem.message
            );
            problem.into_response()
        }
    }
}

/// Authenticates a request and serves it by method and path; `/metrics` needs no key.
async fn dispatch(cx: &Rc<ControlCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let path = req.uri().path().to_owned();
    if path == "/metrics" {
        return Ok(metrics_response(cx));
    }
    let operator = authenticate(cx, &req)?;
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/ops/status") => {
            Ok(json_response(StatusCode::OK, &status(cx), Outcome::Done))
        }
        (Method::GET, "/ops/accepted") => {
            ensure_newest(cx).await?;
            accepted(cx, &req)
        }
        (Method::GET, "/ops/config") => {
            ensure_newest(cx).await?;
            let entities: Vec<Entity> = cx.with_machine(|m| m.config.entities().cloned().collect());
            Ok(json_response(StatusCode::OK, &entities, Outcome::Done))
        }
        (Method::POST, "/ops/config") => apply_config(cx, req, &operator).await,
        (Method::POST, "/ops/diff") => diff(cx, req).await,
        (Method::GET, "/ops/evacuations") => {
            ensure_newest(cx).await?;
            let list = EvacuationList::from(&*cx.config.evacuations());
            Ok(json_response(StatusCode::OK, &list, Outcome::Done))
        }
        (Method::POST, "/ops/evacuations/begin") => {
            change_evacuation(cx, &req, EvacuationOrder::Begin, &operator).await
        }
        (Method::POST, "/ops/evacuations/end") => {
            change_evacuation(cx, &req, EvacuationOrder::End, &operator).await
        }
        (Method::GET, "/ops/quarantine") => {
            ensure_newest(cx).await?;
            Ok(quarantine::list_response(cx))
        }
        (Method::POST, "/ops/quarantine/release") => quarantine::release(cx, &req, &operator).await,
        (Method::POST, "/ops/repair") => repair(cx, req, &operator).await,
        _ => Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", "no such path")),
    }
}

/// Updates the gauges and renders all metrics.
fn metrics_response(cx: &ControlCx) -> Response<Body> {
    cx.metrics.process(&cx.boxes);
    cx.metrics.gauge("hatchpitch_listeners_unopened", cx.unopened.count() as f64);
    let log_state = cx.log_state.get();
    let flag = |is_set| if is_set { 1.0 } else { 0.0 };
    cx.metrics.gauge("hatchpitch_log_waits_for_disk", flag(log_state == LogState::Waiting));
    cx.metrics.gauge("hatchpitch_log_damaged", flag(log_state == LogState::Damaged));
    cx.metrics.gauge("hatchpitch_config_number", cx.config.number() as f64);
    cx.metrics.gauge("hatchpitch_leads", if cx.leads() { 1.0 } else { 0.0 });
    let voters = cx.members().map_or(0, |members| members.voters.len());
    cx.metrics.gauge("hatchpitch_core_voters", voters as f64);
    let outage = cx.outage.borrow();
    let missing = outage.as_ref().map_or(0, |outage| outage.missing.len());
    cx.metrics.gauge("hatchpitch_core_voters_missing", missing as f64);
    let leaderless = outage.as_ref().map_or(0.0, |o| clock::since(o.since).as_secs_f64());
    cx.metrics.gauge("hatchpitch_core_leaderless_seconds", leaderless);
    cx.metrics.evacuations(&cx.config.evacuations());
    cx.metrics.quarantine(&cx.config.quarantine());
    let upstreams = cx.registry.with(|table| table.alive().count());
    cx.metrics.gauge("hatchpitch_upstreams", upstreams as f64);
    text_response(StatusCode::OK, cx.metrics.render())
}

/// Begins or ends the evacuation of the failure domain that a request names.
async fn change_evacuation(
    cx: &ControlCx,
    req: &Request<Incoming>,
    order: impl FnOnce(FailureDomainName) -> EvacuationOrder,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let domain = query_value(req.uri(), "domain");
    let domain = domain.ok_or_else(|| Problem::bad_request("domain: missing"))?.to_owned();
    match evacuate(cx, order(domain), operator).await {
        Ok(set) => Ok(json_response(StatusCode::OK, &EvacuationList::from(&*set), Outcome::Done)),
        Err(EvacuateError::Propose(err)) => Err(propose_problem(err)),
        Err(EvacuateError::UnknownDomain(domain)) => {
            let message = format!("no failure domain {domain:?} is known");
            Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_domain", message))
        }
    }
}

/// Returns the name of the operator whose key the request carries. Operators in the settings take
/// precedence over those in the configuration.
fn authenticate(cx: &ControlCx, req: &Request<Incoming>) -> Result<String, Problem> {
    let key = bearer(req.headers()).unwrap_or("");
    let from_settings = cx.settings.operators.iter().find(|op| find_key(&op.keys, key).is_some());
    let from_settings = from_settings.map(|op| op.name.clone());
    let view = cx.config.view();
    from_settings
        .or_else(|| view.operator_of_key(key).map(str::to_owned))
        .ok_or_else(|| security::unknown_key(BEARER, "an operator"))
}

/// A submitted fleet file that is not validated yet.
struct FleetFile {
    name: String,
    body: ConfigText,
}

/// Reads a submitted fleet file from the body of a request.
async fn read_fleet_file(cx: &ControlCx, req: Request<Incoming>) -> Result<FleetFile, Problem> {
    let name = query_value(req.uri(), "file").unwrap_or("fleet").to_owned();
    let path = req.uri().path().to_owned();
    let body = cx.read_config(&path, req.into_body(), MAX_FLEET_FILE, BODY_TIMEOUT).await;
    let body = body.map_err(body_problem)?;
    str::from_utf8(&body.text).map_err(|err| Problem::bad_request(format!("fleet file: {err}")))?;
    Ok(FleetFile { name, body })
}

/// Reserves the memory that a fleet file takes until it is submitted.
async fn reserve_decoding(cx: &ControlCx, file: &FleetFile) -> Result<Reservation, Problem> {
    cx.reserve_decoding(&file.body).await.map_err(body_problem)
}

/// Validates a fleet file. On failure, returns a response that lists all problems.
fn check_fleet(file: &FleetFile) -> Result<Fleet, Box<Response<Body>>> {
    let text = str::from_utf8(&file.body.text).unwrap_or_default();
    load_fleet(&file.name, text).map_err(|problems| {
        let body = FileProblems { problems: problems.0 };
        Box::new(json_response(StatusCode::UNPROCESSABLE_ENTITY, &body, Outcome::NotRun))
    })
}

/// Validates a fleet file and submits it as the next configuration.
async fn apply_config(
    cx: &Rc<ControlCx>,
    req: Request<Incoming>,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let file = read_fleet_file(cx, req).await?;
    let _guard = cx.submit_lock.lock().await;
    let _held = reserve_decoding(cx, &file).await?;
    let fleet = match check_fleet(&file) {
        Ok(fleet) => fleet,
        Err(rejection) => return Ok(*rejection),
    };
    match submit(cx, &fleet, operator).await {
        Ok(outcome) => Ok(outcome_response(&outcome)),
        Err(SubmitError::Propose(err)) => Err(propose_problem(err)),
        Err(SubmitError::Busy) => {
            let message = "other changes came between each time; send the file again";
            Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy", message))
        }
    }
}

fn outcome_response(outcome: &ApplyOutcome) -> Response<Body> {
    let status = match outcome {
        ApplyOutcome::Accepted { .. } => StatusCode::OK,
        ApplyOutcome::Taken { .. } | ApplyOutcome::Stale { .. } => StatusCode::CONFLICT,
    };
    json_response(status, outcome, Outcome::Done)
}

/// Converts the failure of a proposal into the response to an operator.
pub(super) fn propose_problem(err: ProposeError) -> Problem {
    match err {
        ProposeError::NotLeader(leader) => {
            let message = match leader {
                Some(leader) => {
                    let (name, addr) = (leader.name, leader.operators_addr);
                    format!("this box does not lead; the leader is {name} at {addr}")
                }
                None => "no leader is known".to_owned(),
            };
            Problem::not_run(StatusCode::MISDIRECTED_REQUEST, "not_leader", message)
        }
        ProposeError::Unknown(cause) => {
            Problem::unknown(StatusCode::SERVICE_UNAVAILABLE, "unknown", cause)
        }
    }
}

/// Waits until the applied state reflects every change that was acknowledged before; this succeeds
/// only on the leader.
async fn ensure_newest(cx: &ControlCx) -> Result<(), Problem> {
    cx.propose(Order::Read).await.map(|_| ()).map_err(propose_problem)
}

/// Returns the changes that a fleet file would make, without applying them.
async fn diff(cx: &Rc<ControlCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let file = read_fleet_file(cx, req).await?;
    let _held = reserve_decoding(cx, &file).await?;
    let fleet = match check_fleet(&file) {
        Ok(fleet) => fleet,
        Err(rejection) => return Ok(*rejection),
    };
    ensure_newest(cx).await?;
    let answer = cx.with_machine(|m| {
        let current: std::collections::BTreeMap<EntityKey, &Entity> =
            m.config.entities().map(|e| (e.key(), e)).collect();
        let new = fleet.entities.iter();
        let (known, added): (Vec<_>, Vec<_>) = new.partition(|(key, _)| current.contains_key(*key));
        let changed = known.iter().filter(|(key, entity)| current[*key] != *entity);
        let removed = current.keys().filter(|key| !fleet.entities.contains_key(*key));
        DiffAnswer {
            base: m.config.number(),
            added: added.iter().map(|(key, _)| (*key).clone()).collect(),
            changed: changed.map(|(key, _)| (*key).clone()).collect(),
            removed: removed.cloned().collect(),
        }
    });
    Ok(json_response(StatusCode::OK, &answer, Outcome::Done))
}

/// Returns the content that was accepted under a configuration number.
fn accepted(cx: &ControlCx, req: &Request<Incoming>) -> Result<Response<Body>, Problem> {
    let number = query_value(req.uri(), "number");
    let number = number.and_then(|number| number.parse::<ConfigNumber>().ok());
    let number = number.ok_or_else(|| Problem::bad_request("number: expected a number"))?;
    let answer = cx.with_machine(|m| {
        let (content, by) = m.config.accepted_under(number)?;
        Some(AcceptedAnswer { number, content: to_hex(&content), by: by.to_owned() })
    });
    let unknown = || {
        let message = format!("number {number} was not accepted, or too long ago");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_number", message)
    };
    let answer = answer.ok_or_else(unknown)?;
    Ok(json_response(StatusCode::OK, &answer, Outcome::Done))
}

/// Replaces the replica of the control box that the request names.
async fn repair(
    cx: &Rc<ControlCx>,
    req: Request<Incoming>,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let name = query_value(req.uri(), "replace");
    let name = name.ok_or_else(|| Problem::bad_request("replace: missing"))?.to_owned();
    if !cx.leads() {
        return Err(propose_problem(ProposeError::NotLeader(cx.leader())));
    }
    log::info!("repair of {name} ordered by operator {operator}");
    match repair::replace(cx, &name).await {
        Ok(repaired) => Ok(json_response(StatusCode::OK, &repaired, Outcome::Done)),
        Err(err) => {
            let message = format!("not done; ask again: {err}");
            Err(Problem::unknown(StatusCode::BAD_GATEWAY, "repair_failed", message))
        }
    }
}

/// Returns the status of this box.
pub fn status(cx: &ControlCx) -> ControlStatus {
    let members = cx.hello().members.unwrap_or_default();
    cx.with_machine(|m| ControlStatus {
        name: cx.settings.own.name.clone(),
        leads: cx.leads(),
        leader: cx.leader().map(|leader| leader.name),
        voters: members.voters.values().map(|peer| peer.name.clone()).collect(),
        learners: members.learners.values().map(|peer| peer.name.clone()).collect(),
        config_number: m.config.number(),
        config_digest: to_hex(&m.config.digest()),
        claims: m.claims.len(),
        evacuated: m.evacuations.domains().cloned().collect(),
    })
}
