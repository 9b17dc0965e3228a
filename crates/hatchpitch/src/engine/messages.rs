//! Messages to and from engines.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, GenerationId, Incarnation, Priority, TokenIndex};

/// Asks an engine to generate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the generation, unique for ever.
    pub generation: GenerationId,
    /// Id of this reading of it.
    pub attempt: AttemptId,
    /// The model asked for.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Bound on the output, in tokens.
    pub max_tokens: u64,
    /// Larger ones are pushed aside last.
    pub priority: Priority,
    /// Seed for a repeatable output.
    pub seed: Option<u64>,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its output.
    Stop,
    /// The bound on the output was reached.
    Length,
}

/// One line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The next token.
    Token {
        /// The reading it belongs to.
        attempt: AttemptId,
        /// Its position.
        index: TokenIndex,
        /// Its text.
        text: String,
    },
    /// Nothing new, but the engine lives.
    Heartbeat {
        /// The reading it belongs to.
        attempt: AttemptId,
    },
    /// The generation was pushed aside.
    Preempted {
        /// The reading it belongs to.
        attempt: AttemptId,
    },
    /// The generation is complete.
    Done {
        /// The reading it belongs to.
        attempt: AttemptId,
        /// How many tokens it has.
        tokens: u64,
        /// Why it ended.
        reason: FinishReason,
    },
    /// The engine gave the generation up.
    Failed {
        /// The reading it belongs to.
        attempt: AttemptId,
        /// Why.
        cause: String,
    },
    /// Another reading took this one's place.
    Superseded {
        /// The reading it belongs to.
        attempt: AttemptId,
    },
}

impl EngineEvent {
    /// Returns the reading that the event belongs to.
    pub fn attempt(&self) -> &str {
        match self {
            Self::Token { attempt, .. }
            | Self::Heartbeat { attempt }
            | Self::Preempted { attempt }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Superseded { attempt } => attempt,
        }
    }
}

/// An engine's report about itself; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// Whether it wants no new work.
    pub leaving: bool,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Memory there is, in tokens.
    pub memory_limit: u64,
    /// Generations in the batch.
    pub running: u64,
    /// Generations that wait or were pushed aside.
    pub waiting: u64,
    /// Generations pushed aside since it started.
    pub preemptions: u64,
}

/// An engine's refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why.
    pub error: String,
    /// Whether the request was run, even in part.
    pub ran: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Hold a model in a version.
    LoadModel {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Add an adapter to the model held.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// An order under a fence: an engine that checks rejects an older `(term, sequence)`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Term of the control leader.
    pub term: u64,
    /// Sequence within the term.
    pub sequence: u64,
    /// The order.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// What an engine holds, read back when the outcome of a command is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHoldings {
    /// The life of the engine.
    pub incarnation: Incarnation,
    /// Newest fence seen.
    pub term: u64,
    /// Newest sequence seen in that term.
    pub sequence: u64,
    /// The model held.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters held.
    pub adapters: Vec<String>,
    /// The role.
    pub role: String,
}
