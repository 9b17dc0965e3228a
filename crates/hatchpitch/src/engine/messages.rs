//! JSON messages exchanged with engines.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, GenerationId, Incarnation, Priority, TokenIndex};

/// Asks an engine to start a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the generation; never reused.
    pub generation: GenerationId,
    /// Id of this attempt to read the generation, repeated in each event of the stream.
    pub attempt: AttemptId,
    /// Name of the requested model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u64,
    /// Generations with a lower priority are preempted first.
    pub priority: Priority,
    /// Sampling seed for reproducible output.
    pub seed: Option<u64>,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its output.
    Stop,
    /// The maximum output length was reached.
    Length,
}

/// One event, encoded as a line, of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The next token.
    Token {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
        /// Position in the output, from 0.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Keep-alive while there is no new token.
    Heartbeat {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
    },
    /// The generation was preempted and waits to be scheduled again.
    Preempted {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
    },
    /// The generation is complete.
    Done {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
        /// Number of tokens in the output.
        tokens: u64,
        /// Why the generation ended.
        reason: FinishReason,
    },
    /// The engine aborted the generation.
    Failed {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
        /// Reason for the failure.
        cause: String,
    },
    /// Another attempt took over the stream of the generation.
    Superseded {
        /// The attempt that the event belongs to.
        attempt: AttemptId,
    },
}

impl EngineEvent {
    /// Returns the attempt that the event belongs to.
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

/// Load report of an engine; it may be out of date when it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Whether the engine accepts no new work.
    pub leaving: bool,
    /// KV-cache memory in use, in tokens.
    pub memory_used: u64,
    /// KV-cache capacity, in tokens.
    pub memory_limit: u64,
    /// Generations in the running batch.
    pub running: u64,
    /// Generations that are queued or preempted.
    pub waiting: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
}

/// Body of an error response of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Reason for the refusal.
    pub error: String,
    /// Whether the request was run, even in part.
    pub ran: bool,
}

/// An administrative order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model in a given version.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// Load an adapter for the loaded model.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change the role of the engine.
    SetRole {
        /// The new role.
        role: String,
    },
}

/// An order with a fencing token: an engine that checks it rejects any `(term, sequence)` older
/// than the newest one that it has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Term of the control leader.
    pub term: u64,
    /// Sequence number within the term.
    pub sequence: u64,
    /// The order.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// State of an engine, read back when the outcome of a command is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHoldings {
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Newest leader term seen.
    pub term: u64,
    /// Newest sequence number seen in that term.
    pub sequence: u64,
    /// Name of the loaded model.
    pub model: String,
    /// Version of the loaded model.
    pub version: String,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: String,
}
