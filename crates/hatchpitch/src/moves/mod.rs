//! Moves running generations off a runner that leaves, before it is gone.
//!
//! A runner copies the memory of one generation at a time over its link. A
//! stream is stopped only for the last, small part; were that to wait behind
//! other copies, the stream would pause for all of them. So the runner's owner
//! gives out turns: one generation is moved from its first copy to its last.

pub mod messages;
pub mod mover;
pub mod state;
pub mod task;
pub mod verify;

pub use messages::{TurnAnswer, TurnDone, TurnRequest};
pub use mover::{MoveOutcome, Moved, SourceRunner, start};
pub use state::Turns;
