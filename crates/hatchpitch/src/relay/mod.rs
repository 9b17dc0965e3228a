//! Passes requests of hosted routes on to upstreams and their answers back, as they come.
//!
//! What may run once is sent on only while no upstream can have begun it; what
//! may be repeated goes to a second upstream inside a budget that all boxes
//! share. A stream is passed on event by event, and one that cannot go on ends
//! without the end of its message.

pub mod answer;
pub mod budget;
pub mod events;
pub mod headers;
pub mod protocol;
pub mod request;
pub mod run;
pub mod stream;

pub use budget::{RetryBudgets, RetryLimits};
pub use protocol::{Attempt, ResponseKind, Resume, RunnerProtocol};
pub use request::{GenerationNeeds, HostedRequest};
pub use run::{Relay, serve};
