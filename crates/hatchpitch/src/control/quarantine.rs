//! What operators see of held requests, and how they let one go.

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

/// A request that is refused at every box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldContent {
    /// Name of its content, as in the lines of its sends.
    pub content: String,
    /// Seconds left of its term.
    pub left_s: u64,
}

/// Lists the held requests.
pub fn list(cx: &ControlCx) -> Vec<HeldContent> {
    let now = unix_ms();
    cx.with_machine(|machine| {
        let held = machine.quarantine.list().held.iter();
        let held = held.map(|(content, until)| HeldContent {
            content: content.to_string(),
            left_s: until.saturating_sub(now).div_ceil(1_000),
        });
        held.collect()
    })
}

/// Answers with the held requests.
pub fn listed(cx: &ControlCx) -> Response<Body> {
    json_response(StatusCode::OK, &list(cx), Outcome::Done)
}

/// Lets the content that a request names go, as an answer to it would, and answers with the list.
///
/// # Errors
///
/// Returns a problem if it names none, or if the log did not take the order here.
pub async fn release(
    cx: &ControlCx,
    req: &Request<Incoming>,
    operator: &str,
) -> Result<Response<Body>, Problem> {
    let named = query_value(req.uri(), "content").unwrap_or_default();
    let content = ContentId::try_from(named)
        .map_err(|err| Problem::bad_request(format!("content: found {named:?}, expected {err}")))?;
    let evidence = Evidence { answered: [content].into(), ..Evidence::default() };
    let ordered: Result<_, ProposeError> = cx.propose(Order::Crashes(evidence)).await;
    ordered.map_err(propose_problem)?;
    log::info!(operator = operator, content:% = content; "held request let go");
    Ok(listed(cx))
}
