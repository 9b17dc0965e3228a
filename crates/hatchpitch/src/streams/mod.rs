//! One answer as a stream of tokens: each once, in order, from a single generation.

pub mod state;
pub mod verify;

pub use state::{Phase, StreamLimits, StreamState, StreamStep};
