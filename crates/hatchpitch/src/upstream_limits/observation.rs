//! What an answer says about its upstream's limit, and which of two answers counts.
//!
//! Answers overtake each other on the way to different boxes, and a box that was suspended reads
//! old ones late. When an upstream said something is therefore known only to lie between the
//! sending of the request and the arrival of the answer's head.

use std::fmt;
use std::time::Instant;

use http::HeaderMap;
use serde::{Deserialize, Serialize};

/// Requests a second that an upstream takes from all boxes together; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns requests a second.
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

/// What the head of one answer says about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitSignal {
    /// The upstream names a limit.
    Limit(RateLimit),
    /// The upstream names none.
    NoLimit,
    /// The head does not tell: it is damaged, or none of this upstream's whole answers.
    Unknown,
}

impl LimitSignal {
    /// Reads the header `name` of a head.
    pub fn read(headers: &HeaderMap, name: &str) -> Self {
        let Some(value) = headers.get(name) else { return Self::NoLimit };
        let text = value.to_str().unwrap_or("").trim();
        let number = text.parse::<f64>().map_err(|err| format!("found {text:?}: {err}"));
        match number.and_then(RateLimit::try_from) {
            Ok(limit) => Self::Limit(limit),
            Err(err) => {
                log::debug!(header = name; "limit of an upstream not read: {err}");
                Self::Unknown
            }
        }
    }

    /// Returns what counts of an answer that is none of success. An upstream that turns a request
    /// away, or fails it, may do so before it comes to name a limit.
    pub fn for_refusal(self) -> Self {
        if self == Self::NoLimit { Self::Unknown } else { self }
    }
}

/// What was heard of an upstream's limit, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// The limit; `None` if it named none.
    pub limit: Option<RateLimit>,
    /// When the request was sent whose answer told it.
    pub sent: Instant,
    /// When the head of the answer arrived.
    pub at: Instant,
}

impl LimitObservation {
    /// Returns whether this takes the place of `known`. Of two whose times overlap the stricter one
    /// holds, so that an answer of before a limit never ends it; the next answer settles it.
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.sent >= known.at {
            return true;
        }
        if known.sent >= self.at {
            return false;
        }
        let per_second = |heard: &Self| heard.limit.map_or(f64::INFINITY, RateLimit::per_second);
        let (own, other) = (per_second(self), per_second(known));
        own < other || (own == other && self.at > known.at)
    }
}
