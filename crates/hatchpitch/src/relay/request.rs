//! A request of a hosted route, in the product's own words.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};

use crate::config::hosted::{HostedRoute, Urgency};
use crate::ids::{Priority, RegionName, WorkspaceName};
use crate::quarantine::ContentId;

/// What a generation needs of an engine, as far as the caller tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationNeeds {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Bound on the output, in tokens.
    pub max_output: u64,
}

/// A checked request; head and body are passed on as they came.
pub struct HostedRequest {
    /// The caller's id of this attempt.
    pub id: String,
    /// Its route.
    pub route: Rc<HostedRoute>,
    /// Whose key it carries, if any.
    pub workspace: Option<WorkspaceName>,
    /// Regions in which the workspace's requests may run; all if there are none.
    pub regions: Vec<RegionName>,
    /// Rank: the workspace's if it pays for one, else the route's.
    pub urgency: Urgency,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its head arrived.
    pub received: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// What it needs of an engine, if it is for one.
    pub generation: Option<GenerationNeeds>,
}

impl HostedRequest {
    /// Returns when the request is given its final answer at the latest.
    pub fn end(&self) -> Instant {
        self.deadline.min(self.received + self.route.time_limit)
    }

    /// Returns how long the request may still be held.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.end().saturating_duration_since(now)
    }

    /// Names what is asked: the same from the same workspace has the same name at every box, and
    /// under every id.
    pub fn content(&self) -> ContentId {
        let workspace = self.workspace.as_deref().unwrap_or_default();
        ContentId::of(&[
            self.route.host.as_bytes(),
            self.method.as_str().as_bytes(),
            self.target.as_str().as_bytes(),
            workspace.as_bytes(),
            &self.body,
        ])
    }

    /// Returns the rank as admission counts it: a larger one waits less.
    pub fn priority(&self) -> Priority {
        Priority::MAX - self.urgency
    }
}
