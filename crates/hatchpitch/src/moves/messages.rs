//! Messages between the box that relays a stream and the owner of the runner that the generation
//! is moved off or to.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, RunnerName};

/// The link that a turn is for. Each runner has a turn of either kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TurnKind {
    /// The runner that is shutting down sends copies.
    #[default]
    Source,
    /// The runner receives copies.
    Target,
}

impl TurnKind {
    fn is_source(&self) -> bool {
        *self == Self::Source
    }
}

/// Requests the turn to move one generation off a runner or to it. It is repeated until the turn is
/// granted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Runner that sends or receives the copies.
    pub runner: RunnerName,
    /// Id of the move.
    pub id: AttemptId,
    /// Tokens that the generation may still produce; the move with the most goes first.
    pub at_stake: u64,
    /// Link that the turn is for. Earlier versions ignore it and answer as for a source.
    #[serde(default, skip_serializing_if = "TurnKind::is_source")]
    pub kind: TurnKind,
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
    /// Runner that sends or receives the copies.
    pub runner: RunnerName,
    /// Id of the move.
    pub id: AttemptId,
    /// Link that the turn is for.
    #[serde(default, skip_serializing_if = "TurnKind::is_source")]
    pub kind: TurnKind,
}
