//! Reports of the gaps that a box has seen to the owners of the engines.
//!
//! Fields of entries have short names in the encoding, since a box sends many entries a second.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::histogram::GapHistogram;
use crate::ids::{AttemptId, PoolName, RunnerName};

/// What a box has seen of the engines of one owner since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Gaps between events, by engine.
    #[serde(default)]
    pub engines: Vec<EngineGaps>,
    /// First tokens of runs.
    #[serde(default)]
    pub firsts: Vec<FirstToken>,
}

/// Gaps between the events of streams on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineGaps {
    /// Pool of the engine.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Name of the engine in its current lifetime.
    #[serde(rename = "r")]
    pub runner: RunnerName,
    /// The gaps.
    #[serde(rename = "g")]
    pub gaps: GapHistogram,
}

/// The first token of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstToken {
    /// Pool of the engine.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Name of the engine in its current lifetime.
    #[serde(rename = "r")]
    pub runner: RunnerName,
    /// Attempt that holds the slot.
    pub id: AttemptId,
    /// Time from the grant of the slot to the first token.
    pub took: Duration,
}
