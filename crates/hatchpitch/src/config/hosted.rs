//! Routes by host and path to services whose upstreams announce themselves.
//!
//! The product's own interface names pools and services; a hosted route is for
//! callers that name a host and a path, and whose requests and answers are
//! passed on as they come.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RegionName, ServiceName};

/// How urgent a request is; 0 goes first, 9 last.
pub type Urgency = u8;

/// How often one request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunPolicy {
    /// As often as it takes.
    Repeatable,
    /// At most once.
    Once,
    /// At most once; the answer is a stream of events.
    Stream,
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, as a part of the sum of all weights.
    pub weight: u32,
}

/// A route by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedRoute {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often one request may run.
    pub runs: RunPolicy,
    /// Longest time that a request is held.
    pub time_limit: Duration,
    /// Time within which an answer, or the first event of a stream, is worth its full price.
    pub answer_aim: Duration,
    /// Longest pause between events that is still in time.
    pub gap_aim: Option<Duration>,
    /// Rank among the routes.
    pub urgency: Urgency,
    /// Services that share the requests; never empty, and the weights never add up to 0.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to at most.
    pub max_upstreams: u32,
    /// Whether requests without a key are let in.
    pub anonymous: bool,
    /// Whether a caller may go on reading after an event that it names.
    pub resumable: bool,
    /// Regions whose upstreams may run its requests; all if there are none.
    // Left out where it is empty, so that what was accepted before keeps its digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionName>,
}

/// What an engine's pool offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Generations that run at once.
    pub slots: u64,
    /// Memory that they share with cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Size of one token's memory, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link for memory, in megabits a second.
    pub link_mbps: f64,
    /// Whether a running generation can be moved to another engine.
    pub moves: bool,
    /// Whether an engine can keep a copy of a generation up to date at another one.
    pub backups: bool,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u64,
    /// How long a copy is kept that nobody uses.
    pub copy_life: Duration,
}

impl Eq for EngineSpec {}

impl EngineSpec {
    /// Returns how many tokens of memory an engine's link takes in a second.
    pub fn copy_rate(&self) -> f64 {
        let bits = self.token_bytes as f64 * 8.0;
        if bits > 0.0 { self.link_mbps * 1e6 / bits } else { f64::INFINITY }
    }
}

/// A service whose upstreams announce themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedService {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one upstream takes from all boxes together.
    pub max_connections: u64,
    /// What its engines offer; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// What its upstreams bear while they are cold; `None` if as much as ever.
    // Left out where it is not set, so that what was accepted before keeps its digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

/// How upstreams of a service behave after a start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long they stay cold.
    pub lasts: Duration,
    /// Requests a second that one bears meanwhile.
    pub rate: f64,
}

impl Eq for ColdStart {}

/// Bounds on callers of hosted routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedLimits {
    /// Largest head of a request, in bytes.
    pub max_header: u64,
    /// Largest body of a request, in bytes.
    pub max_body: u64,
    /// Time in which a head has to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}
