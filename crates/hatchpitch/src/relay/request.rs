//! The protocol-independent form of a request of a hosted route.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method};

use crate::config::hosted::{HostedRoute, RunPolicy, Urgency};
use crate::ids::{Priority, RegionName, WorkspaceName};
use crate::quarantine::{Causes, ContentId, PromptParts};

/// Resources that a generation needs, as declared by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationNeeds {
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Upper bound on the output, in tokens.
    pub max_output: u64,
}

/// A validated request. Its method, target, headers and body are forwarded unchanged.
pub struct HostedRequest {
    /// Id that the caller gave to this attempt of its request.
    pub id: String,
    /// The route that it matched.
    pub route: Rc<HostedRoute>,
    /// Workspace whose key it carries, if any.
    pub workspace: Option<WorkspaceName>,
    /// Regions in which requests of the workspace may run; empty means all.
    pub regions: Vec<RegionName>,
    /// Urgency: the workspace's if it has one, else the route's. Smaller values are served first.
    pub urgency: Urgency,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers to be forwarded.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time at which the head was received.
    pub received: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Resources that it needs, if it is a generation.
    pub generation: Option<GenerationNeeds>,
    /// The parts of its prompt, if the caller names them.
    pub prompt: Option<PromptParts>,
}

impl HostedRequest {
    /// Returns the time by which the request must be answered: the caller's deadline or the end of
    /// the route's time limit, whichever is earlier.
    pub fn end(&self) -> Instant {
        self.deadline.min(self.received + self.route.time_limit)
    }

    /// Returns the time left until the request must be answered.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.end().saturating_duration_since(now)
    }

    /// Returns the longest time between two events of its stream, if it is a generation whose route
    /// states one.
    pub fn max_gap(&self) -> Option<Duration> {
        let is_stream = self.route.runs == RunPolicy::Stream && self.generation.is_some();
        self.route.gap_aim.filter(|_| is_stream)
    }

    /// Returns the content id, which is the same at every box for equal requests of one workspace,
    /// whatever their request ids.
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

    /// Returns what the request holds that may crash an upstream of a service.
    pub fn causes(&self, service: &str) -> Causes {
        let workspace = self.workspace.as_deref().unwrap_or_default();
        Causes::new(self.content(), service, workspace, self.prompt.as_ref())
    }

    /// Returns the priority used by admission; larger values are served first.
    pub fn priority(&self) -> Priority {
        Priority::MAX - self.urgency
    }
}
