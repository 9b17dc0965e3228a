//! Commands to engines that set which model and version each one loads.
//!
//! Each command carries the fencing token `(term, sequence)`. An engine that
//! checks it rejects commands of an earlier leader. For an engine that does
//! not, a leader sends only while a command's deadline falls within its lease,
//! one command at a time, and a new leader sends none until the longest
//! earlier lease and the deadline have passed.

pub mod state;
pub mod task;
pub mod verify;

pub use state::{CommandAction, CommandConfig, CommandScheduler, SendOutcome, Target};
