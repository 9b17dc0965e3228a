//! Stand-in for a model engine with continuous batching and bounded memory.

pub mod model;
pub mod server;

pub use model::{EngineConfig, EngineModel};
