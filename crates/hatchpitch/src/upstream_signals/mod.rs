//! Signals that upstreams send in the headers of their responses.
//!
//! Every code path that sends something to an upstream passes the response head to this module,
//! which reads all signals in one place: a rate limit shared by all boxes, a backoff that applies
//! to this box alone, a bound on rejections by all boxes, and an announcement that the upstream is
//! leaving.

use std::cell::RefCell;
use std::rc::Rc;

use crate::upstream_limits::SharedLimits;

pub mod backoff;
pub mod brittle;
pub mod leaving;
pub mod notices;
pub mod signals;
pub mod task;
pub mod verify;

pub use backoff::{BackoffTable, SharedBackoffs};
pub use brittle::{BrittleNotice, BrittleUpstreams, MaxRejections, RejectionGuard};
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
    /// Upstreams that bear only so many rejections by all boxes together.
    pub brittle: Rc<RefCell<BrittleUpstreams>>,
}
