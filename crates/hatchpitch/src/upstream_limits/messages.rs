//! Messages between boxes about the limits of upstreams.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::observation::{LimitObservation, RateLimit};
use crate::ids::{Priority, RunnerName};

/// What was heard of a limit, by its age: clocks of boxes differ.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AgedObservation {
    /// The limit; `None` if the upstream named none.
    pub limit: Option<RateLimit>,
    /// Time since the request was sent whose answer told it.
    pub sent: Duration,
    /// Time since the head of the answer arrived.
    pub arrived: Duration,
}

impl AgedObservation {
    /// Tells of something that was heard here.
    pub fn new(heard: &LimitObservation, now: Instant) -> Self {
        Self {
            limit: heard.limit,
            sent: now.saturating_duration_since(heard.sent),
            arrived: now.saturating_duration_since(heard.at),
        }
    }

    /// Returns what was heard, by the clock of this box.
    pub fn at(&self, now: Instant) -> LimitObservation {
        let before = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
        LimitObservation { limit: self.limit, sent: before(self.sent), at: before(self.arrived) }
    }
}

/// Tells that an upstream names a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream.
    pub upstream: RunnerName,
    /// What was heard.
    pub heard: AgedObservation,
}

/// How much a permit is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitKind {
    /// For a request that goes elsewhere, or comes back, if there is none.
    Request,
    /// For what can't be held back; it may be taken in advance.
    InAdvance,
}

/// Asks for the permit to send one request to an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream.
    pub upstream: RunnerName,
    /// Tells the asking box from others, mostly.
    pub asker: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// How much it is needed.
    pub kind: PermitKind,
    /// What the asker knows of the limit.
    pub known: AgedObservation,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted,
    /// It may not.
    Denied {
        /// Time until there is a permit for its priority.
        opens_in: Duration,
        /// Time beyond that over which boxes should ask again.
        spread: Duration,
    },
    /// The upstream names no limit any more.
    Unlimited(AgedObservation),
    /// Another box gives out the permits.
    NotDecider,
}
