//! Limits that upstreams name in their answers, in requests a second from all boxes together.
//!
//! One box gives out the permits of an upstream; every way on which something is sent to it takes
//! one first. What an answer says travels to all boxes, because each of them sends there.

pub mod bucket;
pub mod messages;
pub mod observation;
pub mod table;
pub mod task;
pub mod verify;

pub use bucket::Bucket;
pub use messages::{LimitNotice, PermitAnswer, PermitKind, PermitRequest};
pub use observation::{LimitObservation, LimitSignal, RateLimit};
pub use table::{Acquired, Change, Decider, LimitTable, SharedLimits};
