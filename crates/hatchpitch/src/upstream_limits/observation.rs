//! Observations of rate limits in responses, and which of two observations takes precedence.
//!
//! Responses to different boxes arrive out of order, and a box that was suspended reads old ones
//! late. The time at which the upstream set the limit is therefore only known to lie between the
//! sending of the request and the arrival of the response head.

use std::fmt;
use std::time::Instant;

use http::HeaderMap;
use serde::{Deserialize, Serialize};

/// Rate limit for all boxes together, in requests a second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = String;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            return Ok(Self(per_second));
        }
        Err(format!("found {per_second}, expected requests a second"))
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Limit signal in the head of one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSignal {
    /// The upstream sets a limit.
    Limit(RateLimit),
    /// The upstream sets no limit.
    NoLimit,
    /// The value is invalid, or the head is not that of a complete response of this upstream.
    Unknown,
}

impl LimitSignal {
    /// Parses the header `name`.
    pub fn read(headers: &HeaderMap, name: &str) -> Self {
        let Some(value) = headers.get(name) else { return Self::NoLimit };
        let text = value.to_str().unwrap_or("").trim();
        let number = text.parse::<f64>().map_err(|err| format!("found {text:?}: {err}"));
        match number.and_then(RateLimit::try_from) {
            Ok(limit) => Self::Limit(limit),
            Err(err) => {
                log::debug!(header = name; "invalid rate limit of an upstream: {err}");
                Self::Unknown
            }
        }
    }

    /// Returns the signal that applies if the response is not a success. An upstream may reject or
    /// fail a request before it adds its limit, so a missing limit means nothing there.
    pub fn for_refusal(self) -> Self {
        if self == Self::NoLimit { Self::Unknown } else { self }
    }
}

/// An observed limit of an upstream, and when it was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if the upstream set none.
    pub limit: Option<RateLimit>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head of the response arrived.
    pub received: Instant,
}

impl LimitObservation {
    /// Returns whether this observation replaces `known`. If their times overlap, the stricter
    /// limit wins, so that a response from before a limit was set never ends it. The next response
    /// resolves the ambiguity.
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.sent >= known.received {
            return true;
        }
        if known.sent >= self.received {
            return false;
        }
        let per_second =
            |observed: &Self| observed.limit.map_or(f64::INFINITY, RateLimit::per_second);
        let (own, other) = (per_second(self), per_second(known));
        own < other || (own == other && self.received > known.received)
    }
}
