//! Requests of operators that list and release held requests.

use hatchpitch_net::{Body, query_value};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::context::{ControlCx, ProposeError};
use super::machine::Order;
use super::operators::propose_problem;
use crate::logging::unix_ms;
use crate::outcome::{Outcome, Problem, json_response};
use crate::quarantine::holds::HoldReason;
use crate::quarantine::{ContentId, Evidence, Ledger, QuarantineList};

/// A held cause: every box refuses requests with this content, or with this part of the prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldContent {
    /// Identifier of the cause, as in the log lines of the requests.
    pub content: String,
    /// Seconds until the hold expires.
    pub left_s: u64,
    /// Whether it is a part of prompts.
    #[serde(default)]
    pub is_part: bool,
    /// Number of crashes against it that are still known.
    #[serde(default)]
    pub crashes: usize,
    /// The only workspace whose requests are refused, if it is held for one.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Causes that requests must have as well to be refused.
    #[serde(default)]
    pub with: Vec<String>,
}

/// Logs the holds that came and went with a new list, each with what it was decided on.
pub fn log_changes(before: &QuarantineList, ledger: &Ledger) {
    let (after, now) = (ledger.list(), unix_ms());
    for (cause, until) in &after.held {
        let has_changed = before.held.get(cause) != Some(until)
            || before.conditions.get(cause) != after.conditions.get(cause);
        if has_changed {
            log_hold(cause, until.saturating_sub(now), &ledger.hold_reason(cause, now));
        }
    }
    for cause in before.held.keys().filter(|cause| !after.held.contains_key(cause)) {
        log::info!(cause:% = cause; "no longer held");
    }
}

fn log_hold(cause: &ContentId, left_ms: u64, reason: &HoldReason) {
    let HoldReason { is_part, condition, crashes, cleared: (cleared, cleared_age) } = reason;
    let crashes = crashes.iter().map(|(life, age, ran_for)| {
        format!("{life} {} ms ago after {} ms", age.as_millis(), ran_for.as_millis())
    });
    let with = condition.with.iter().map(ContentId::to_string);
    log::warn!(
        cause:% = cause, is_part = is_part, left_s = left_ms / 1_000,
        workspace = condition.workspace.as_deref().unwrap_or(""),
        with = with.collect::<Vec<_>>().join(",").as_str(),
        crashes = crashes.collect::<Vec<_>>().join(", ").as_str(),
        cleared_by_answers = cleared, last_answer_ms = cleared_age.as_millis();
        "held for crashing upstreams"
    );
}

/// Returns the held requests.
pub fn list(cx: &ControlCx) -> Vec<HeldContent> {
    let now = unix_ms();
    cx.with_machine(|machine| {
        let held = machine.quarantine.list().held.iter();
        let held = held.map(|(content, expires_at)| {
            let reason = machine.quarantine.hold_reason(content, now);
            HeldContent {
                content: content.to_string(),
                left_s: expires_at.saturating_sub(now).div_ceil(1_000),
                is_part: reason.is_part,
                crashes: reason.crashes.len(),
                workspace: reason.condition.workspace,
                with: reason.condition.with.iter().map(ContentId::to_string).collect(),
            }
        });
        held.collect()
    })
}

/// Returns the response that lists the held requests.
pub fn list_response(cx: &ControlCx) -> Response<Body> {
    json_response(StatusCode::OK, &list(cx), Outcome::Done)
}

/// Releases the content that the request names and returns the remaining list. The order records
/// the content as answered, which has the same effect as an answer from an upstream.
///
/// # Errors
///
/// Returns a problem if the request names no valid content, or if the order could not be proposed.
pub async fn release(
    cx: &ControlCx,
    req: &Request<Incoming>,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let named = query_value(req.uri(), "content").unwrap_or_default();
    let content = ContentId::try_from(named)
        .map_err(|err| Problem::bad_request(format!("content: found {named:?}, expected {err}")))?;
    let evidence = Evidence { answered: [content].into(), ..Evidence::default() };
    let proposed: Result<_, ProposeError> = cx.propose(Order::Crashes(evidence)).await;
    proposed.map_err(propose_problem)?;
    log::info!(operator = operator, content:% = content; "held request let go");
    Ok(list_response(cx))
}
