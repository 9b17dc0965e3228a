//! Moves running generations off a runner that is shutting down (live migration).
//!
//! A runner copies the memory (KV cache) of one generation at a time over its link. The first copy
//! is made while the run continues; the stream is stopped only for the final copy, which is small.
//! If the final copy had to queue behind copies of other generations, the stream would pause for
//! all of them. The runner's owner therefore grants turns, so that one generation at a time is
//! moved, from its first copy to its final one. A run whose copy took long is copied again before it
//! is stopped ([`copies`]). With placement by objective, a move also requests the turn at its target,
//! whose link receives the copies, and goes ahead without it after a bounded time ([`wait`]).

pub mod copies;
pub mod messages;
pub mod mover;
pub mod state;
pub mod task;
pub mod verify;
pub mod wait;

pub use messages::{TurnAnswer, TurnDone, TurnKind, TurnRequest};
pub use mover::{MoveNeeds, MoveOutcome, Moved, SourceRunner, start};
pub use state::Turns;
