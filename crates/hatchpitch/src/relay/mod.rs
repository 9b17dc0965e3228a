//! Passes requests of hosted routes on to upstreams and their answers back, as they come.
//!
//! What may run once is sent on only while no upstream can have begun it; what
//! may be repeated goes to a second upstream inside a budget that all boxes
//! share. A stream is passed on event by event, and one that cannot go on ends
//! without the end of its message.

pub mod answer;
pub mod budget;
pub mod dialect;
pub mod events;
pub mod headers;
pub mod request;
pub mod run;
pub mod stream;

pub use budget::{RetryLimits, SharedBudgets};
pub use dialect::{Attempt, Reading, Resume, RunnerDialect};
pub use request::{GenerationNeeds, HostedRequest};
pub use run::{Relay, serve};
