//! Parses the signals in the head of a response.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header};

use super::brittle::MaxRejections;
use crate::upstream_limits::LimitSignal;

/// Longest backoff that is honored. It bounds the effect of a corrupted value.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Backoff for a `Retry-After` that is not a number of seconds. It is the shortest that whole
/// seconds can express.
pub const DEFAULT_BACKOFF: Duration = Duration::from_secs(1);
/// Header value by which an upstream announces that it is leaving.
const LEAVING_VALUE: &str = "1";

/// Names of the headers that carry signals, in lower case. A backoff is carried by the standard
/// `Retry-After` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignalHeaders {
    /// Rate limit for all boxes together, in requests a second.
    pub limit: &'static str,
    /// Announcement that the upstream is leaving.
    pub leaving: &'static str,
    /// Number of rejections a second above which the upstream fails.
    pub brittle: &'static str,
}

/// Signals in the head of one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// Rate limit for all boxes together.
    pub limit: LimitSignal,
    /// Time for which this box should send the upstream nothing.
    pub backoff: Option<Duration>,
    /// Whether the upstream accepts no more work from any box in this life.
    pub leaving: bool,
    /// Number of rejections a second, by all boxes together, that the upstream bears.
    pub brittle: Option<MaxRejections>,
}

impl UpstreamSignals {
    /// No signal, or none that can be trusted.
    pub const NONE: Self =
        Self { limit: LimitSignal::Unknown, backoff: None, leaving: false, brittle: None };

    /// Parses the head of a response.
    pub fn read(names: &SignalHeaders, status: StatusCode, headers: &HeaderMap) -> Self {
        let limit = LimitSignal::read(headers, names.limit);
        Self {
            limit: if status.is_success() { limit } else { limit.for_refusal() },
            backoff: parse_backoff(status, headers),
            leaving: headers.get(names.leaving).is_some_and(|value| value == LEAVING_VALUE),
            brittle: parse_brittle(headers, names.brittle),
        }
    }

    /// Returns the signals that apply if the response rejects the request.
    pub fn for_refusal(self) -> Self {
        Self { limit: self.limit.for_refusal(), ..self }
    }

    /// Returns the signals that apply if the response may not come from the upstream: only a
    /// backoff.
    pub fn for_unverified(self) -> Self {
        Self { backoff: self.backoff, ..Self::NONE }
    }
}

/// Parses the backoff in a response that rejects a request.
pub(crate) fn parse_backoff(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?;
    let text = value.to_str().unwrap_or("").trim();
    let seconds = text.parse::<f64>().ok().filter(|seconds| *seconds >= 0.0);
    let Some(seconds) = seconds else {
        log::debug!("invalid Retry-After of an upstream: found {text:?}, expected seconds");
        return Some(DEFAULT_BACKOFF);
    };
    let backoff = Duration::from_secs_f64(seconds.min(MAX_BACKOFF.as_secs_f64()));
    (!backoff.is_zero()).then_some(backoff)
}

/// Parses the number of rejections a second that an upstream bears. One that announces an unusable
/// number bears none.
fn parse_brittle(headers: &HeaderMap, name: &str) -> Option<MaxRejections> {
    let value = headers.get(name)?;
    let text = value.to_str().unwrap_or("").trim();
    let number = text.parse::<f64>().ok().filter(|number| *number >= 0.0);
    let Some(number) = number else {
        log::debug!(header = name; "invalid number of rejections: found {text:?}");
        return Some(0);
    };
    Some(number as MaxRejections)
}
