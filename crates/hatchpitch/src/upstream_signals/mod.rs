//! Signals that upstreams send in the headers of their responses.
//!
//! Every code path that sends something to an upstream passes the response head to this module,
//! which reads all signals in one place: a rate limit shared by all boxes, a backoff that applies
//! to this box alone, and an announcement that the upstream is leaving.

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

/// Signal state that all tasks and scheduling decisions of one box share.
#[derive(Debug, Clone, Default)]
pub struct SharedSignals {
    /// Rate limits that apply to all boxes together.
    pub limits: SharedLimits,
    /// Backoffs that apply to this box.
    pub backoffs: SharedBackoffs,
}
