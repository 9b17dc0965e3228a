//! The control box's listener for operators.

use std::rc::Rc;

use hatchpitch_net::keys::to_hex;
use hatchpitch_net::{Body, query_value, read_body};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::context::{ControlCx, ProposeError};
use super::daemon::BODY_LIMIT;
use super::evacuate::{EvacuateError, evacuate};
use super::machine::Order;
use super::quarantine;
use super::repair;
use super::submit::{SubmitError, submit};
use crate::config::check::MAX_FLEET_FILE;
use crate::config::view::find_key;
use crate::config::{ApplyOutcome, Entity, EntityKey, Fleet, load_fleet};
use crate::evacuation::{EvacuationOrder, Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, FailureDomainName};
use crate::outcome::{Outcome, Problem, json_response, text_response};
use crate::security::bearer;
use crate::settings::diagnostic::Problem as FileProblem;

/// What a control box tells operators about itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the box.
    pub name: BoxName,
    /// Whether it leads.
    pub leads: bool,
    /// The leader, if it is known.
    pub leader: Option<BoxName>,
    /// Control boxes that count.
    pub voters: Vec<BoxName>,
    /// Control boxes that receive the log and do not count yet.
    pub learners: Vec<BoxName>,
    /// Newest accepted configuration number known here.
    pub config_number: ConfigNumber,
    /// Digest of that configuration, in hexadecimal digits.
    pub config_digest: String,
    /// Claims held.
    pub claims: usize,
    /// Evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<FailureDomainName>,
}

/// The evacuations that hold.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Position among all changes; boxes tell theirs.
    pub revision: Revision,
    /// Evacuated failure domains.
    pub domains: Vec<FailureDomainName>,
}

impl From<&Evacuations> for EvacuationList {
    fn from(set: &Evacuations) -> Self {
        Self { revision: set.revision(), domains: set.domains().cloned().collect() }
    }
}

/// Why a fleet file was not taken.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FileProblems {
    /// Everything wrong in it.
    pub problems: Vec<FileProblem>,
}

/// What holds a number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedAnswer {
    /// The number.
    pub number: ConfigNumber,
    /// Digest of its content, in hexadecimal digits.
    pub content: String,
    /// Who submitted it.
    pub by: String,
}

/// What a fleet file would change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DiffAnswer {
    /// Number in force.
    pub base: ConfigNumber,
    /// Entities that would be added.
    pub added: Vec<EntityKey>,
    /// Entities that would change.
    pub changed: Vec<EntityKey>,
    /// Entities that would go.
    pub removed: Vec<EntityKey>,
}

/// Answers one request of an operator.
pub async fn handle(cx: Rc<ControlCx>, req: Request<Incoming>) -> Response<Body> {
    match dispatch(&cx, req).await {
        Ok(res) => res,
        Err(problem) => {
            log::info!("refused with {}: {}", problem.status, problem.message);
            problem.into_response()
        }
    }
}

async fn dispatch(cx: &Rc<ControlCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let path = req.uri().path().to_owned();
    if path == "/metrics" {
        return Ok(metrics(cx));
    }
    let operator = authenticate(cx, &req)?;
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/ops/status") => {
            Ok(json_response(StatusCode::OK, &status(cx), Outcome::Done))
        }
        (Method::GET, "/ops/accepted") => {
            be_newest(cx).await?;
            accepted(cx, &req)
        }
        (Method::GET, "/ops/config") => {
            be_newest(cx).await?;
            let entities: Vec<Entity> = cx.with_machine(|m| m.config.entities().cloned().collect());
            Ok(json_response(StatusCode::OK, &entities, Outcome::Done))
        }
        (Method::POST, "/ops/config") => apply(cx, req, &operator).await,
        (Method::POST, "/ops/diff") => diff(cx, req).await,
        (Method::GET, "/ops/evacuations") => {
            be_newest(cx).await?;
            let list = EvacuationList::from(&*cx.config.evacuations());
            Ok(json_response(StatusCode::OK, &list, Outcome::Done))
        }
        (Method::POST, "/ops/evacuations/begin") => {
            order_evacuation(cx, &req, EvacuationOrder::Begin, &operator).await
        }
        (Method::POST, "/ops/evacuations/end") => {
            order_evacuation(cx, &req, EvacuationOrder::End, &operator).await
        }
        (Method::GET, "/ops/quarantine") => {
            be_newest(cx).await?;
            Ok(quarantine::listed(cx))
        }
        (Method::POST, "/ops/quarantine/release") => quarantine::release(cx, &req, &operator).await,
        (Method::POST, "/ops/repair") => repair(cx, req, &operator).await,
        _ => Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_path", "no such path")),
    }
}

fn metrics(cx: &ControlCx) -> Response<Body> {
    cx.metrics.process(&cx.boxes);
    cx.metrics.gauge("hatchpitch_config_number", cx.config.number() as f64);
    cx.metrics.gauge("hatchpitch_leads", if cx.leads() { 1.0 } else { 0.0 });
    cx.metrics.evacuations(&cx.config.evacuations());
    cx.metrics.quarantine(&cx.config.quarantine());
    let upstreams = cx.registry.with(|table| table.alive().count());
    cx.metrics.gauge("hatchpitch_upstreams", upstreams as f64);
    text_response(StatusCode::OK, cx.metrics.render())
}

/// Begins or ends the evacuation of the failure domain that a request names.
async fn order_evacuation(
    cx: &ControlCx,
    req: &Request<Incoming>,
    order: impl FnOnce(FailureDomainName) -> EvacuationOrder,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let domain = query_value(req.uri(), "domain");
    let domain = domain.ok_or_else(|| Problem::bad_request("domain: missing"))?.to_owned();
    match evacuate(cx, order(domain), operator).await {
        Ok(held) => Ok(json_response(StatusCode::OK, &EvacuationList::from(&*held), Outcome::Done)),
        Err(EvacuateError::Propose(err)) => Err(propose_problem(err)),
        Err(EvacuateError::UnknownDomain(domain)) => {
            let message = format!("no failure domain {domain:?} is known");
            Err(Problem::not_run(StatusCode::NOT_FOUND, "unknown_domain", message))
        }
    }
}

fn authenticate(cx: &ControlCx, req: &Request<Incoming>) -> Result<String, Problem> {
    let key = bearer(req.headers()).unwrap_or("");
    let first = cx.settings.operators.iter().find(|op| find_key(&op.keys, key).is_some());
    let known = first.map(|op| op.name.clone());
    let view = cx.config.view();
    known.or_else(|| view.operator_of_key(key).map(str::to_owned)).ok_or_else(|| {
        let message = "Authorization: expected \"Bearer\" and a key of an operator";
        Problem::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message)
    })
}

/// A submitted file that was not checked yet.
struct FleetText {
    name: String,
    text: String,
}

/// Reads a submitted file.
async fn fleet_text(req: Request<Incoming>) -> Result<FleetText, Problem> {
    let name = query_value(req.uri(), "file").unwrap_or("fleet").to_owned();
    let body = read_body(req.into_body(), MAX_FLEET_FILE, BODY_LIMIT).await;
    let body = body.map_err(|err| Problem::bad_request(format!("fleet file: {err}")))?;
    let text = String::from_utf8(body.to_vec())
        .map_err(|err| Problem::bad_request(format!("fleet file: {err}")))?;
    Ok(FleetText { name, text })
}

/// Checks a file; one with problems is answered with all of them.
fn check_fleet(file: &FleetText) -> Result<Fleet, Box<Response<Body>>> {
    load_fleet(&file.name, &file.text).map_err(|problems| {
        let body = FileProblems { problems: problems.0 };
        Box::new(json_response(StatusCode::UNPROCESSABLE_ENTITY, &body, Outcome::NotRun))
    })
}

async fn apply(
    cx: &Rc<ControlCx>,
    req: Request<Incoming>,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let text = fleet_text(req).await?;
    let _turn = cx.submitting.lock().await;
    let fleet = match check_fleet(&text) {
        Ok(fleet) => fleet,
        Err(refused) => return Ok(*refused),
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

/// Makes sure that the state here holds everything that was acknowledged before; only the leader
/// can be.
async fn be_newest(cx: &ControlCx) -> Result<(), Problem> {
    cx.propose(Order::Read).await.map(|_| ()).map_err(propose_problem)
}

async fn diff(cx: &Rc<ControlCx>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let fleet = match check_fleet(&fleet_text(req).await?) {
        Ok(fleet) => fleet,
        Err(refused) => return Ok(*refused),
    };
    be_newest(cx).await?;
    let answer = cx.with_machine(|m| {
        let have: std::collections::BTreeMap<EntityKey, &Entity> =
            m.config.entities().map(|e| (e.key(), e)).collect();
        let new = fleet.entities.iter();
        let (known, added): (Vec<_>, Vec<_>) = new.partition(|(key, _)| have.contains_key(*key));
        let changed = known.iter().filter(|(key, entity)| have[*key] != *entity);
        let removed = have.keys().filter(|key| !fleet.entities.contains_key(*key));
        DiffAnswer {
            base: m.config.number(),
            added: added.iter().map(|(key, _)| (*key).clone()).collect(),
            changed: changed.map(|(key, _)| (*key).clone()).collect(),
            removed: removed.cloned().collect(),
        }
    });
    Ok(json_response(StatusCode::OK, &answer, Outcome::Done))
}

/// Tells which content holds a number, as far as this box knows.
fn accepted(cx: &ControlCx, req: &Request<Incoming>) -> Result<Response<Body>, Problem> {
    let number = query_value(req.uri(), "number");
    let number = number.and_then(|number| number.parse::<ConfigNumber>().ok());
    let number = number.ok_or_else(|| Problem::bad_request("number: expected a number"))?;
    let held = cx.with_machine(|m| {
        let (content, by) = m.config.accepted_under(number)?;
        Some(AcceptedAnswer { number, content: to_hex(&content), by: by.to_owned() })
    });
    let unknown = || {
        let message = format!("number {number} was not accepted, or too long ago");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_number", message)
    };
    let held = held.ok_or_else(unknown)?;
    Ok(json_response(StatusCode::OK, &held, Outcome::Done))
}

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
