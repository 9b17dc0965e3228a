//! Reads the signals in the head of an answer.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header};

use crate::upstream_limits::LimitSignal;

/// Longest rest that is kept; it bounds what a damaged value costs.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Rest that is kept if an upstream asks for one without a readable time: the shortest that whole
/// seconds can ask for.
pub const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Value of the header by which an upstream says that it leaves.
const LEAVING_VALUE: &str = "1";

/// Names of the headers that carry signals, in small letters. The name of the time to come back is
/// that of the standard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignalHeaders {
    /// Requests a second that the upstream takes from all boxes together.
    pub limit: &'static str,
    /// Whether the upstream leaves.
    pub leaving: &'static str,
}

/// What the head of one answer says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// The limit for all boxes together.
    pub limit: LimitSignal,
    /// Time for which the upstream wants nothing more from this box.
    pub rest: Option<Duration>,
    /// Whether it takes no new work from anybody in this life.
    pub leaving: bool,
}

impl UpstreamSignals {
    /// Nothing was said, or nothing that counts.
    pub const NONE: Self = Self { limit: LimitSignal::Unknown, rest: None, leaving: false };

    /// Reads the head of an answer.
    pub fn read(names: &SignalHeaders, status: StatusCode, headers: &HeaderMap) -> Self {
        let limit = LimitSignal::read(headers, names.limit);
        Self {
            limit: if status.is_success() { limit } else { limit.for_refusal() },
            rest: read_rest(status, headers),
            leaving: headers.get(names.leaving).is_some_and(|value| value == LEAVING_VALUE),
        }
    }

    /// Returns what counts of the head of an answer that turns a request away.
    pub fn for_refusal(self) -> Self {
        Self { limit: self.limit.for_refusal(), ..self }
    }

    /// Returns what counts of a head that may not belong to an answer of the upstream.
    pub fn for_unverified(self) -> Self {
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
        return Some(DEFAULT_BACKOFF);
    };
    let rest = Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64()));
    (!rest.is_zero()).then_some(rest)
}
