//! What a run shows about its runner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::upstream_signals::MaxRejections;

/// Evidence that a run gives about the health of its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No evidence.
    Released,
    /// The runner works.
    Succeeded,
    /// The runner sent an invalid answer or broke one off. Counts as a failure from the second in a
    /// row.
    Faulty,
    /// The runner failed.
    Failed,
}

/// Outcome of a run, recorded when its slot is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Evidence about the health of the runner.
    pub verdict: Verdict,
    /// Length of the output in tokens, if it is known.
    pub tokens: Option<u64>,
    /// Time from the grant of the slot to the first token, if the run produced one on the runner on
    /// which it began.
    #[serde(default)]
    pub first: Option<Duration>,
    /// Whether the runner rejected the request.
    #[serde(default)]
    pub is_rejected: bool,
    /// Number of rejections a second that the runner bears, if it is brittle.
    #[serde(default)]
    pub brittle: Option<MaxRejections>,
    /// Remaining validity of that announcement. Boxes of earlier versions do not report it.
    #[serde(default)]
    pub brittle_left: Option<Duration>,
}

impl RunReport {
    /// Report of a run that gives no evidence.
    pub const RELEASED: Self = Self {
        verdict: Verdict::Released,
        tokens: None,
        first: None,
        is_rejected: false,
        brittle: None,
        brittle_left: None,
    };
}
