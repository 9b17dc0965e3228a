//! Messages between a box that carries a stream and the owner of the runner that it leaves.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, RunnerName};

/// Asks for the turn to move one generation off a runner; asked again until it comes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The runner that leaves.
    pub runner: RunnerName,
    /// Names the move.
    pub id: AttemptId,
    /// Tokens that the generation may still make: who has more to lose goes first.
    pub at_stake: u64,
}

/// The answer to a [`TurnRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnAnswer {
    /// The turn is the asker's until it says that it is done.
    Yours,
    /// Another move has it.
    NotYet,
}

/// Gives a turn back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnDone {
    /// The runner that leaves.
    pub runner: RunnerName,
    /// The move.
    pub id: AttemptId,
}
