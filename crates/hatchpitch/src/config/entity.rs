//! The validated entities of a fleet.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::hosted::{HostedLimits, HostedRoute, HostedService};
use crate::ids::{
    ConfigNumber, Digest, FailureDomainName, PoolName, Priority, RegionName, RunnerName,
    ServiceName, WorkspaceName,
};

/// A failure domain: machines that can fail together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Its name.
    pub name: FailureDomainName,
    /// The region that contains it.
    pub region: String,
}

/// A pool of runners that serve one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Name of the model in callers' requests.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Maximum output of one generation, in tokens.
    pub max_tokens: u64,
    /// Time without any event after which the connection to an engine is reopened.
    pub silence_limit: Duration,
    /// Maximum number of requests that wait for the pool at one box.
    pub max_waiting: u64,
}

/// A model runner, which is an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its name.
    pub name: RunnerName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain that it belongs to.
    pub failure_domain: FailureDomainName,
    /// Maximum number of generations that one box runs on it concurrently.
    pub max_batch: u64,
    /// Whether it rejects commands that carry an outdated term.
    pub checks_fence: bool,
}

/// A route of an application service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix relative to the service.
    pub path: String,
    /// Whether a call may be retried when it is unknown whether it was executed.
    pub repeatable: bool,
}

/// An application service other than the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name, the path segment that follows `/apps/`.
    pub name: ServiceName,
    /// Its routes; the one with the longest matching prefix applies.
    pub routes: Vec<Route>,
    /// Time limit of a call.
    pub timeout: Duration,
}

/// An upstream of an application service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpstream {
    /// Its name.
    pub name: RunnerName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain that it belongs to.
    pub failure_domain: FailureDomainName,
}

/// The SHA-256 digest of a secret key; the key itself is not stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash {
    /// Name of the key, which identifies it in key rotation.
    pub id: String,
    /// SHA-256 of the key.
    pub sha256: Digest,
}

/// A workspace: a tenant with its own keys, priority and access rights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its priority, 1 to 9; 0 means that the route determines the priority.
    pub priority: Priority,
    /// Pools that it may use.
    pub pools: Vec<PoolName>,
    /// Services that it may call.
    pub services: Vec<ServiceName>,
    /// Maximum number of streams that it may hold open at one box.
    pub max_streams: u64,
    /// Keys that authenticate its callers; any of them is accepted.
    pub keys: Vec<KeyHash>,
    /// Regions whose upstreams may run its requests; empty allows all regions.
    // Not encoded if empty, so that the digests of configurations accepted before the field
    // existed stay the same.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionName>,
}

/// A person or program that operates the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Its name.
    pub name: String,
    /// Keys that authenticate it; any of them is accepted.
    pub keys: Vec<KeyHash>,
}

/// Kind and name of an entity; unique within a fleet.
pub type EntityKey = (u8, String);

/// Any entity of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entity {
    /// A failure domain.
    FailureDomain(FailureDomain),
    /// A pool.
    Pool(Pool),
    /// A runner.
    Runner(Runner),
    /// A service.
    Service(Service),
    /// An upstream of a service.
    ServiceUpstream(ServiceUpstream),
    /// A workspace.
    Workspace(Workspace),
    /// An operator.
    Operator(Operator),
    /// A route by host and path.
    HostedRoute(HostedRoute),
    /// A service whose upstreams register themselves.
    HostedService(HostedService),
    /// Limits for callers of hosted routes.
    HostedLimits(HostedLimits),
}

impl Entity {
    /// Returns the kind and name.
    pub fn key(&self) -> EntityKey {
        match self {
            Self::FailureDomain(e) => (0, e.name.clone()),
            Self::Pool(e) => (1, e.name.clone()),
            Self::Runner(e) => (2, e.name.clone()),
            Self::Service(e) => (3, e.name.clone()),
            Self::ServiceUpstream(e) => (4, e.name.clone()),
            Self::Workspace(e) => (5, e.name.clone()),
            Self::Operator(e) => (6, e.name.clone()),
            Self::HostedRoute(e) => (7, format!("{}{}", e.host, e.prefix)),
            Self::HostedService(e) => (8, e.name.clone()),
            Self::HostedLimits(_) => (9, String::new()),
        }
    }

    /// Returns the length of the entity's encoding, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the entity cannot be encoded, which its types rule out.
    pub fn encoded_len(&self) -> usize {
        let mut count = ByteCount(0);
        rmp_serde::encode::write_named(&mut count, self).expect("entities always encode");
        count.0
    }

    /// Returns the digest of the entity's encoding.
    ///
    /// # Panics
    ///
    /// Panics if the entity cannot be encoded, which its types rule out.
    pub fn digest(&self) -> Digest {
        let bytes = rmp_serde::to_vec_named(self).expect("entities always encode");
        Sha256::digest(&bytes).into()
    }
}

/// A writer that only counts the bytes written to it.
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the name of an entity kind, as operators' files spell it.
pub fn kind_name(kind: u8) -> &'static str {
    const NAMES: [&str; 10] = [
        "failure_domain",
        "pool",
        "runner",
        "service",
        "service_upstream",
        "workspace",
        "operator",
        "hosted_route",
        "hosted_service",
        "hosted_limits",
    ];
    NAMES.get(usize::from(kind)).copied().unwrap_or("unknown")
}

/// A validated fleet file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The number that the operator assigned to it.
    pub number: ConfigNumber,
    /// All entities.
    pub entities: BTreeMap<EntityKey, Entity>,
    /// The source text, kept only so that operators can read it back.
    pub document: Option<Vec<u8>>,
}

impl Fleet {
    /// Creates a fleet from validated entities.
    pub fn new(number: ConfigNumber, entities: impl IntoIterator<Item = Entity>) -> Self {
        let entities = entities.into_iter().map(|entity| (entity.key(), entity)).collect();
        Self { number, entities, document: None }
    }

    /// Returns the digest of all entities; it does not cover the number.
    pub fn digest(&self) -> Digest {
        self.entities.values().fold([0; 32], |sum, entity| xor(sum, entity.digest()))
    }
}

/// Adds or removes one entity's digest from a fleet's digest.
///
/// The fleet's digest is the XOR of the entities' digests, so it can be updated
/// incrementally from a delta. It detects transport errors and software faults but
/// not forgery, which the signatures of the messages between boxes prevent.
pub fn xor(mut sum: Digest, part: Digest) -> Digest {
    for (a, b) in sum.iter_mut().zip(part) {
        *a ^= b;
    }
    sum
}
