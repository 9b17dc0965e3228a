//! Limits that upstreams name in their answers, in requests a second from all boxes together.

pub mod book;
pub mod heard;
pub mod task;

pub use book::{Change, LimitBook, SharedLimits};
pub use heard::{Heard, RateLimit, Statement};
