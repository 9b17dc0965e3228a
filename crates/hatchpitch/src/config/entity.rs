//! The checked entities of a fleet.

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
    /// The region it lies in.
    pub region: String,
}

/// A pool of runners that hold one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// The model that callers ask for.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Bound on the output of one generation, in tokens.
    pub max_tokens: u64,
    /// Silence after which a link to an engine is remade.
    pub silence_limit: Duration,
    /// Requests that may wait for the pool at one box.
    pub max_waiting: u64,
}

/// A model runner, which is an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its name.
    pub name: RunnerName,
    /// The pool it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
    /// Generations that one box may run on it at once.
    pub max_batch: u64,
    /// Whether it rejects orders of an old term.
    pub checks_fence: bool,
}

/// A route of an application service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix of the path below the service.
    pub path: String,
    /// Whether a call may be sent again after an unclear failure.
    pub repeatable: bool,
}

/// An application service beside the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name, the first segment below `/apps/`.
    pub name: ServiceName,
    /// Its routes; the longest matching prefix counts.
    pub routes: Vec<Route>,
    /// How long a call may take.
    pub timeout: Duration,
}

/// A runner of an application service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUpstream {
    /// Its name.
    pub name: RunnerName,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainName,
}

/// A key known only by its SHA-256 digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash {
    /// Name of the key, for rolling it.
    pub id: String,
    /// SHA-256 of the key.
    pub sha256: Digest,
}

/// A paying workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The priority it pays for, 1 to 9; 0 leaves it to the route.
    pub priority: Priority,
    /// Pools it may use.
    pub pools: Vec<PoolName>,
    /// Services it may call.
    pub services: Vec<ServiceName>,
    /// Streams it may hold open at one box.
    pub max_streams: u64,
    /// Keys that its callers present; any of them is accepted.
    pub keys: Vec<KeyHash>,
    /// Regions whose upstreams may run its requests; all if there are none.
    // Left out where it is empty, so that what was accepted before keeps its digest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionName>,
}

/// A person or program that operates the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Its name.
    pub name: String,
    /// Keys that it presents; any of them is accepted.
    pub keys: Vec<KeyHash>,
}

/// Kind and name of an entity; unique in a fleet.
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
    /// A runner of a service.
    ServiceUpstream(ServiceUpstream),
    /// A workspace.
    Workspace(Workspace),
    /// An operator.
    Operator(Operator),
    /// A route by host and path.
    HostedRoute(HostedRoute),
    /// A service whose upstreams announce themselves.
    HostedService(HostedService),
    /// Bounds on callers of hosted routes.
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
    /// Panics if the entity does not encode, which its types rule out.
    pub fn encoded_len(&self) -> usize {
        let mut count = ByteCount(0);
        rmp_serde::encode::write_named(&mut count, self).expect("entities always encode");
        count.0
    }

    /// Returns the digest of the entity's encoding.
    ///
    /// # Panics
    ///
    /// Panics if the entity does not encode, which its types rule out.
    pub fn digest(&self) -> Digest {
        let bytes = rmp_serde::to_vec_named(self).expect("entities always encode");
        Sha256::digest(&bytes).into()
    }
}

/// Counts the bytes that are written to it.
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

/// Names the kind of an entity for operators.
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

/// A checked fleet file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The number the operator gave it.
    pub number: ConfigNumber,
    /// All entities.
    pub entities: BTreeMap<EntityKey, Entity>,
    /// The text it was made from, if operators read that back; it decides nothing.
    pub document: Option<Vec<u8>>,
}

impl Fleet {
    /// Creates a fleet from checked entities.
    pub fn new(number: ConfigNumber, entities: impl IntoIterator<Item = Entity>) -> Self {
        let entities = entities.into_iter().map(|entity| (entity.key(), entity)).collect();
        Self { number, entities, document: None }
    }

    /// Returns the digest of the whole fleet, the number left out.
    pub fn digest(&self) -> Digest {
        self.entities.values().fold([0; 32], |sum, entity| xor(sum, entity.digest()))
    }
}

/// Adds or removes one entity's digest from a fleet's digest.
///
/// The exclusive or of the entities' digests can be kept up to date by what
/// changed. It guards against faults of transport and code, not against a
/// forger: messages between boxes are signed for that.
pub fn xor(mut sum: Digest, part: Digest) -> Digest {
    for (a, b) in sum.iter_mut().zip(part) {
        *a ^= b;
    }
    sum
}
