//! A stand-in for a model engine: continuous batching in bounded memory.

pub mod model;
pub mod server;

pub use model::{EngineConfig, EngineModel};
