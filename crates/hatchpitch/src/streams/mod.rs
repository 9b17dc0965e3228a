//! Delivery of one answer as a stream of tokens: exactly once, in order, from a single generation.

pub mod state;
pub mod verify;

pub use state::{Phase, StreamLimits, StreamState, StreamStep};
