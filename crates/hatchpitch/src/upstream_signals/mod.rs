//! What upstreams say of themselves in the heads of their answers.
//!
//! Every path that sends something to an upstream hands the heads of its answers to this module,
//! which reads all of it in one place: a limit for all boxes together, a rest that this box is to
//! keep, and that the upstream leaves.

use crate::upstream_limits::SharedLimits;

pub mod backoff;
pub mod leaving;
pub mod notices;
pub mod signals;
pub mod task;
pub mod verify;

pub use backoff::{BackoffTable, SharedBackoffs};
pub use leaving::{LeavingNotice, LeavingUpstreams};
pub use notices::NoticeQueue;
pub use signals::{SignalHeaders, UpstreamSignals};

/// What all tasks and decisions of one box know from the heads of answers.
#[derive(Debug, Clone, Default)]
pub struct SharedSignals {
    /// Limits for all boxes together.
    pub limits: SharedLimits,
    /// Rests that this box keeps.
    pub backoffs: SharedBackoffs,
}
