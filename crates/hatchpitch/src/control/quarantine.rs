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
use crate::quarantine::{ContentId, Evidence};

/// A held request: every box refuses requests with its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldContent {
    /// Identifier of the content, as in the log lines of the requests.
    pub content: String,
    /// Seconds until the hold expires.
    pub left_s: u64,
}

/// Returns the held requests.
pub fn list(cx: &ControlCx) -> Vec<HeldContent> {
    let now = unix_ms();
    cx.with_machine(|machine| {
        let held = machine.quarantine.list().held.iter();
        let held = held.map(|(content, expires_at)| HeldContent {
            content: content.to_string(),
            left_s: expires_at.saturating_sub(now).div_ceil(1_000),
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
