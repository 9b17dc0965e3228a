//! Stand-ins for the model engines, application services and callers that hatchpitch communicates
//! with. Used in tests and benchmarks and never shipped.
//!
//! They implement the protocols described in `docs/ENGINE-PROTOCOL.md` and are kept small and
//! readable.

pub mod app;
pub mod caller;
pub mod engine;
pub mod signals;
