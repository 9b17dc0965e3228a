//! Limits that upstreams name in their answers, in requests a second from all boxes together.
//!
//! One box gives out the permits of an upstream; every way on which something is sent to it takes
//! one first. What an answer says travels to all boxes, because each of them sends there.

pub mod book;
pub mod bucket;
pub mod heard;
pub mod messages;
pub mod task;
pub mod verify;

pub use book::{Change, Decider, LimitBook, SharedLimits, Taken};
pub use bucket::Bucket;
pub use heard::{Heard, RateLimit, Statement};
pub use messages::{LimitNews, PermitAnswer, PermitKind, PermitRequest};
