//! The one place that knows how engines are spoken to; see `docs/ENGINE-PROTOCOL.md`.
//!
//! Another wire towards engines means another [`adapter`]; nothing else changes.

pub mod adapter;
pub mod messages;

pub use adapter::{EngineError, EventReader};
pub use messages::{EngineEvent, EngineLoad, FinishReason, GenerateRequest};
