//! Orders to engines: which model and version each holds, under a fence.
//!
//! Engines that check the fence `(term, sequence)` reject an old leader's order
//! themselves. For those that do not, a leader sends only well inside its
//! lease, one order at a time with a deadline, and a new leader waits out lease
//! and deadline before its first one.

pub mod state;
pub mod task;
pub mod verify;

pub use state::{CommandAction, CommandConfig, Commands, SendOutcome, Target};
