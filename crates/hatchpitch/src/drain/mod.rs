//! Graceful shutdown of an entry box: which requests it can still serve before it is killed.
//!
//! A box that stops is killed at a known time. A request that has not reached an upstream by then
//! would lose its connection without an answer, so it is refused as soon as the box knows that it
//! cannot be served in time. Every path on which a request waits passes through [`Drain::wait`].

pub mod estimates;
pub mod state;
pub mod task;
pub mod verify;

pub use estimates::{RunEstimates, RunTimer};
pub use state::{Drain, STOPPING, Stopping};
