//! Stand-ins for the outside: what hatchpitch talks to in tests and trials.
//!
//! They are small and readable on purpose, and speak the protocols that
//! `docs/ENGINE-PROTOCOL.md` describes. None of them is ever shipped.

pub mod app;
pub mod caller;
pub mod engine;
pub mod heads;
