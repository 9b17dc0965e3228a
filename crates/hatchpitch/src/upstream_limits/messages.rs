//! Messages between boxes about rate limits of upstreams.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::observation::{LimitObservation, RateLimit};
use crate::ids::{Priority, RunnerName};

/// A [`LimitObservation`] with ages instead of times, because the clocks of boxes differ.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AgedObservation {
    /// The limit; `None` if the upstream set none.
    pub limit: Option<RateLimit>,
    /// Time since the request was sent.
    pub sent: Duration,
    /// Time since the head of the response arrived.
    pub arrived: Duration,
}

impl AgedObservation {
    /// Converts an observation of this box.
    pub fn new(observed: &LimitObservation, now: Instant) -> Self {
        Self {
            limit: observed.limit,
            sent: now.saturating_duration_since(observed.sent),
            arrived: now.saturating_duration_since(observed.received),
        }
    }

    /// Converts to an observation by the clock of this box.
    pub fn to_local(&self, now: Instant) -> LimitObservation {
        let before = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
        LimitObservation {
            limit: self.limit,
            sent: before(self.sent),
            received: before(self.arrived),
        }
    }
}

/// Tells another box the limit of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream.
    pub upstream: RunnerName,
    /// The observed limit.
    pub heard: AgedObservation,
}

/// Whether a permit may be taken in advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitKind {
    /// For a request that goes to another upstream, or is retried, if no permit is available.
    Request,
    /// For something that cannot be delayed; the permit may be taken in advance.
    InAdvance,
}

/// Requests a permit to send one request to an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream.
    pub upstream: RunnerName,
    /// Hash of the name of the requesting box; a collision only shortens
    /// the spread of retries.
    pub asker: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the permit may be taken in advance.
    pub kind: PermitKind,
    /// The limit as the requesting box observed it.
    pub known: AgedObservation,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted,
    /// The request may not be sent.
    Denied {
        /// Time until a permit is available for its priority.
        opens_in: Duration,
        /// Time beyond `opens_in` over which boxes should spread their retries.
        spread: Duration,
    },
    /// The upstream has no limit any more.
    Unlimited(AgedObservation),
    /// Another box is the decider.
    NotDecider,
}
