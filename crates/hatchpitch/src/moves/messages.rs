//! Messages between the box that relays a stream and the owner of the runner that the generation
//! is moved off.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, RunnerName};

/// Requests the turn to move one generation off a runner. It is repeated until the turn is granted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Runner that is shutting down.
    pub runner: RunnerName,
    /// Id of the move.
    pub id: AttemptId,
    /// Tokens that the generation may still produce; the move with the most goes first.
    pub at_stake: u64,
}

/// Answer to a [`TurnRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnAnswer {
    /// The turn is granted until the sender releases it or it expires.
    Yours,
    /// Another move has the turn.
    NotYet,
}

/// Releases a turn, or withdraws a request for one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnDone {
    /// Runner that is shutting down.
    pub runner: RunnerName,
    /// Id of the move.
    pub id: AttemptId,
}
