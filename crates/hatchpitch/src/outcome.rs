//! Outcome reported to callers with each answer: `not_run`, `done` or `unknown`.

use std::time::Duration;

use bytes::Bytes;
use hatchpitch_net::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

/// Response header that carries the outcome.
pub const OUTCOME_HEADER: &str = "x-hatchpitch-outcome";

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached an upstream, or the upstream reported that it did not execute
    /// the request.
    NotRun,
    /// The request was executed and this is its answer.
    Done,
    /// The request may have been executed, or its answer may have been cut short.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status code.
    pub status: StatusCode,
    /// Stable name of the kind of problem.
    pub kind: &'static str,
    /// What went wrong, for people.
    pub message: String,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// JSON body of a [`Problem`], in the error format of the OpenAI API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// The problem.
    pub error: ProblemDetail,
}

/// The `error` object of a [`ProblemBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetail {
    /// What went wrong, for people.
    pub message: String,
    /// Stable name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem for an invalid request; it was not executed and a retry would fail as
    /// well.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Creates a problem for a request that was not executed.
    pub fn not_run(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { status, kind, message, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates a problem for a request that is refused because requests with the same content, or with
    /// the described part of its prompt, crashed upstreams.
    pub fn quarantined(part: Option<&str>) -> Self {
        let message = match part {
            Some(part) => format!("requests with {part} crashed the upstreams that ran them"),
            None => "requests with this content crashed the upstreams that ran them".to_owned(),
        };
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "quarantined", message)
    }

    /// Creates a problem for a request that may have been executed.
    pub fn unknown(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { status, kind, message, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the JSON body.
    pub fn body(&self) -> ProblemBody {
        let after = self.retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
        ProblemBody {
            error: ProblemDetail {
                message: self.message.clone(),
                kind: self.kind.to_owned(),
                outcome: self.outcome,
                retry_after_ms: after,
            },
        }
    }

    /// Converts the problem into an HTTP response.
    pub fn into_response(self) -> Response<Body> {
        let mut res = json_response(self.status, &self.body(), self.outcome);
        if let Some(after) = self.retry_after {
            // `Retry-After` has whole seconds; rounding down would make callers retry too early.
            let seconds = after.as_millis().div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}

/// Creates a response with a JSON body and the outcome header.
pub fn json_response<T: Serialize>(
    status: StatusCode,
    body: &T,
    outcome: Outcome,
) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_else(|err| err.to_string().into_bytes());
    let mut res = Response::new(Body::from(Bytes::from(text)));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    res
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut res = Response::new(Body::from(text.into()));
    *res.status_mut() = status;
    res
}
