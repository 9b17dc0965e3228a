//! Protocol for talking to engines; see `docs/ENGINE-PROTOCOL.md`.
//!
//! The wire format is confined to this module: support for another engine protocol needs another
//! [`adapter`] and no change elsewhere.

pub mod adapter;
pub mod messages;

pub use adapter::{EngineError, EventReader};
pub use messages::{EngineEvent, EngineLoad, FinishReason, GenerateRequest};
