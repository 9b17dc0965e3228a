//! Rate limits that upstreams set in their responses, in requests a second from all boxes together.
//!
//! For each upstream one box, the decider, grants permits. Every code path that sends something to
//! the upstream takes a permit first. Changes of a limit are sent to all boxes, because any of them
//! may send requests to the upstream.

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
