//! What upstreams say of themselves in the heads of their answers.
//!
//! Every path that sends something to an upstream hands the heads of its answers to this module,
//! which reads all of it in one place: a limit for all boxes together, a rest that this box is to
//! keep, and that the upstream leaves.

pub mod signals;
pub mod task;

pub use signals::{HeadNames, HeadSignals};
