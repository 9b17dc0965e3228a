//! Routes by host and path to services whose upstreams register themselves.
//!
//! The native API addresses pools and services by name. A hosted route serves
//! callers that address a host and a path, and whose requests and responses are
//! forwarded unchanged.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::ids::{RegionName, ServiceName};

/// Urgency of a request: 0 is the most urgent, 9 the least.
pub type Urgency = u8;

/// How many times one request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunPolicy {
    /// Any number of times.
    Repeatable,
    /// At most once.
    Once,
    /// At most once; the response is a stream of events.
    Stream,
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the sum of the weights of all targets.
    pub weight: u32,
}

/// A route by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedRoute {
    /// Its name in logs and metrics.
    pub name: String,
    /// Host name in callers' requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How many times one request may be executed.
    pub runs: RunPolicy,
    /// Maximum time for which a request is held.
    pub time_limit: Duration,
    /// Target latency of a response, or of the first event of a stream; a later one loses value.
    pub answer_aim: Duration,
    /// Target upper bound of the time between two events of a stream.
    pub gap_aim: Option<Duration>,
    /// Urgency of its requests.
    pub urgency: Urgency,
    /// Services that share the requests; never empty, and the sum of the weights is not 0.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_upstreams: u32,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
    /// Whether a caller may resume a stream after a given event.
    pub resumable: bool,
    /// Regions whose upstreams may run its requests; empty allows all regions.
    // Not encoded if empty, so that the digests of configurations accepted before the field
    // existed stay the same.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionName>,
}

/// Longest time that is taken from a configuration. Accepted configurations may hold any duration,
/// but an instant cannot, and no request or upstream takes a year.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

impl HostedRoute {
    /// Bounds the times, so that they can be added to an instant.
    pub(super) fn bounded(self) -> Self {
        Self {
            time_limit: self.time_limit.min(MAX_TIME),
            answer_aim: self.answer_aim.min(MAX_TIME),
            gap_aim: self.gap_aim.map(|aim| aim.min(MAX_TIME)),
            ..self
        }
    }

    /// Chooses one of the services at random, by weight.
    pub fn choose_service(&self, rng: &mut impl Rng) -> &str {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        let sum: u64 = weights.sum();
        let mut draw = rng.random_range(0..sum.max(1));
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if draw < weight {
                return &target.service;
            }
            draw -= weight;
        }
        self.targets.last().map_or("", |target| &target.service)
    }
}

/// Capacity and features of the engines of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Maximum number of concurrent generations.
    pub slots: u64,
    /// KV memory shared by generations and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Size of one token in KV memory, in bytes.
    pub token_bytes: u64,
    /// Bandwidth for KV transfers of one engine, in megabits per second.
    pub link_mbps: f64,
    /// Whether a running generation can be migrated to another engine.
    pub moves: bool,
    /// Whether an engine can continuously replicate a generation to another one.
    pub backups: bool,
    /// Number of tokens per event of a stream.
    pub tokens_per_event: u64,
    /// Lifetime of an unused copy.
    pub copy_life: Duration,
}

impl PartialEq for EngineSpec {
    /// Compares numbers as they are encoded, since the digest of a configuration is that of its
    /// encoding: -0.0 differs from 0.0, and NaN equals itself.
    fn eq(&self, other: &Self) -> bool {
        let fields = |engine: &Self| {
            let Self { slots, memory_tokens, token_bytes, link_mbps, .. } = *engine;
            let Self { moves, backups, tokens_per_event, copy_life, .. } = *engine;
            let sizes = (slots, memory_tokens, token_bytes, tokens_per_event);
            (sizes, link_mbps.to_bits(), moves, backups, copy_life)
        };
        fields(self) == fields(other)
    }
}

impl Eq for EngineSpec {}

impl EngineSpec {
    /// Returns the KV transfer rate of one engine, in tokens per second.
    pub fn copy_rate(&self) -> f64 {
        let bits = self.token_bytes as f64 * 8.0;
        if bits > 0.0 { self.link_mbps * 1e6 / bits } else { f64::INFINITY }
    }
}

/// A service whose upstreams register themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedService {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections to one upstream from all boxes together.
    pub max_connections: u64,
    /// Properties of its engines; `None` for a service without engines.
    pub engine: Option<EngineSpec>,
    /// Reduced capacity of its upstreams after a start; `None` if it is not reduced.
    // Not encoded if unset, so that the digests of configurations accepted before the field
    // existed stay the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

impl HostedService {
    /// Bounds the times, so that they can be added to an instant.
    pub(super) fn bounded(mut self) -> Self {
        if let Some(engine) = &mut self.engine {
            engine.copy_life = engine.copy_life.min(MAX_TIME);
        }
        if let Some(cold) = &mut self.cold {
            cold.lasts = cold.lasts.min(MAX_TIME);
        }
        self
    }
}

/// Reduced capacity of a service's upstreams after a start.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long an upstream stays cold after it started.
    pub lasts: Duration,
    /// Requests per second that a cold upstream can serve.
    pub rate: f64,
}

impl PartialEq for ColdStart {
    /// Compares numbers as they are encoded, as for [`EngineSpec`].
    fn eq(&self, other: &Self) -> bool {
        (self.lasts, self.rate.to_bits()) == (other.lasts, other.rate.to_bits())
    }
}

impl Eq for ColdStart {}

/// Limits for callers of hosted routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedLimits {
    /// Maximum size of a request's header section, in bytes.
    pub max_header: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Time limit for receiving the header section.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl HostedLimits {
    /// Bounds the times, so that they can be added to an instant.
    pub(super) fn bounded(self) -> Self {
        Self {
            header_timeout: self.header_timeout.min(MAX_TIME),
            idle_timeout: self.idle_timeout.min(MAX_TIME),
            ..self
        }
    }
}
