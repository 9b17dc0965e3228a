//! Forwards requests of hosted routes to upstreams, and their responses to the callers.
//!
//! A request that may run only once goes to another upstream only if none can have started it. A
//! repeatable one is retried within a budget that all boxes share. A stream is forwarded event by
//! event; one that cannot continue is aborted without the terminator of its message, so that the
//! caller detects that it is incomplete.

pub mod budget;
mod context;
pub mod ending;
pub mod events;
mod failure;
pub mod headers;
pub mod json;
mod migration;
pub mod protocol;
pub mod recent;
pub mod request;
pub mod response;
mod resume;
pub mod run;
pub mod run_times;
pub mod stream;

pub use budget::{RetryBudgets, RetryLimits};
pub use context::Relay;
pub use protocol::{Attempt, ResponseKind, Resume, RunnerProtocol};
pub use request::{GenerationNeeds, HostedRequest};
pub use run::serve;
