//! Reads the signals in the head of an answer.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header};

use crate::upstream_limits::Statement;

/// Longest rest that is kept; it bounds what a damaged value costs.
pub const MAX_REST: Duration = Duration::from_secs(600);
/// Rest that is kept if an upstream asks for one without a readable time: the shortest that whole
/// seconds can ask for.
pub const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// Value of the header by which an upstream says that it leaves.
const LEAVES: &str = "1";

/// Names of the headers that carry signals, in small letters. The name of the time to come back is
/// that of the standard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadNames {
    /// Requests a second that the upstream takes from all boxes together.
    pub limit: &'static str,
    /// Whether the upstream leaves.
    pub leaving: &'static str,
}

/// What the head of one answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeadSignals {
    /// The limit for all boxes together.
    pub limit: Statement,
    /// Time for which the upstream wants nothing more from this box.
    pub rest: Option<Duration>,
    /// Whether it takes no new work from anybody in this life.
    pub leaving: bool,
}

impl HeadSignals {
    /// Nothing was said, or nothing that counts.
    pub const NONE: Self = Self { limit: Statement::Unclear, rest: None, leaving: false };

    /// Reads the head of an answer.
    pub fn read(names: &HeadNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let limit = Statement::read(headers, names.limit);
        Self {
            limit: if status.is_success() { limit } else { limit.of_refusal() },
            rest: read_rest(status, headers),
            leaving: headers.get(names.leaving).is_some_and(|value| value == LEAVES),
        }
    }

    /// Returns what counts of the head of an answer that turns a request away.
    pub fn of_refusal(self) -> Self {
        Self { limit: self.limit.of_refusal(), ..self }
    }

    /// Returns what counts of a head that may not belong to an answer of the upstream.
    pub fn of_foreign(self) -> Self {
        Self { rest: self.rest, ..Self::NONE }
    }
}

/// Reads for how long an upstream that turns a request away wants nothing more.
fn read_rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?;
    let text = value.to_str().unwrap_or("").trim();
    let seconds = text.parse::<f64>().ok().filter(|seconds| *seconds >= 0.0);
    let Some(seconds) = seconds else {
        log::debug!("rest of an upstream not read: found {text:?}, expected seconds");
        return Some(UNREADABLE_REST);
    };
    let rest = Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64()));
    (!rest.is_zero()).then_some(rest)
}
