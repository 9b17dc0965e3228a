//! Lookup tables of a configuration, built once per number and read on every request.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use sha2::{Digest as _, Sha256};

use super::entity::{Entity, KeyHash, Pool, Route, Runner, Service, ServiceUpstream, Workspace};
use super::hosted::{ColdStart, EngineSpec, HostedLimits, HostedRoute, HostedService};
use super::state::ConfigState;
use crate::admission::Placement;
use crate::evacuation::Evacuations;
use crate::ids::{ConfigNumber, Digest, FailureDomainName};
use crate::registry::UpstreamRecord;

/// Index of a pool in [`FleetView::pools`].
pub type PoolIx = usize;
/// Index of a workspace in [`FleetView::workspaces`].
pub type WorkspaceIx = usize;

/// A pool and its runners.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// The pool.
    pub pool: Pool,
    /// Its runners, in order of name.
    pub runners: Vec<Runner>,
    /// Properties of a pool whose runners register themselves; `None` for a pool that the fleet
    /// file defines.
    pub hosted: Option<HostedPool>,
}

/// Properties of a pool whose runners register themselves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostedPool {
    /// Which box schedules work on its runners.
    pub placement: Placement,
    /// Size of a runner's KV memory, in tokens; `None` for services without engines.
    pub memory: Option<u64>,
    /// KV transfer rate of one runner, in tokens per second.
    pub copy_rate: f64,
    /// Reduced capacity of a runner after a start; `None` if it is not reduced.
    pub cold: Option<ColdStart>,
}

/// A service and its upstreams.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// The service.
    pub service: Service,
    /// Its upstreams, in order of name.
    pub upstreams: Vec<ServiceUpstream>,
}

/// An immutable view of one configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The number of the configuration.
    pub number: ConfigNumber,
    /// All pools.
    pub pools: Vec<PoolView>,
    /// All services.
    pub services: Vec<ServiceView>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Region of each failure domain.
    pub regions: HashMap<FailureDomainName, String>,
    /// Services whose upstreams register themselves, by name.
    pub hosted_services: BTreeMap<String, Rc<HostedService>>,
    /// Limits for callers of hosted routes.
    pub hosted_limits: Option<HostedLimits>,
    /// Hosted routes by host, longest prefix first.
    hosted_routes: HashMap<String, Vec<Rc<HostedRoute>>>,
    pool_of_model: HashMap<String, PoolIx>,
    service_by_name: HashMap<String, usize>,
    workspace_by_key: HashMap<Digest, WorkspaceIx>,
    operator_by_key: HashMap<Digest, String>,
}

impl FleetView {
    /// Builds the view of a configuration.
    pub fn new(state: &ConfigState) -> Self {
        let mut view = Self { number: state.number(), ..Self::default() };
        // Entities are ordered by kind, so pools and services precede their upstreams.
        for entity in state.entities() {
            view.add(entity);
        }
        for routes in view.hosted_routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        view
    }

    fn add(&mut self, entity: &Entity) {
        match entity {
            Entity::FailureDomain(e) => {
                self.regions.insert(e.name.clone(), e.region.clone());
            }
            Entity::Pool(e) => {
                self.pool_of_model.insert(e.model.clone(), self.pools.len());
                self.pools.push(PoolView { pool: e.clone(), runners: Vec::new(), hosted: None });
            }
            Entity::Runner(e) => {
                if let Some(view) = self.pools.iter_mut().find(|v| v.pool.name == e.pool) {
                    view.runners.push(e.clone());
                }
            }
            Entity::Service(e) => {
                self.service_by_name.insert(e.name.clone(), self.services.len());
                self.services.push(ServiceView { service: e.clone(), upstreams: Vec::new() });
            }
            Entity::ServiceUpstream(e) => {
                if let Some(ix) = self.service_by_name.get(&e.service) {
                    self.services[*ix].upstreams.push(e.clone());
                }
            }
            Entity::Workspace(e) => {
                let ix = self.workspaces.len();
                self.workspace_by_key.extend(e.keys.iter().map(|key| (key.sha256, ix)));
                self.workspaces.push(e.clone());
            }
            Entity::Operator(e) => {
                let entries = e.keys.iter().map(|key| (key.sha256, e.name.clone()));
                self.operator_by_key.extend(entries);
            }
            Entity::HostedRoute(e) => {
                let routes = self.hosted_routes.entry(e.host.clone()).or_default();
                routes.push(Rc::new(e.clone().bounded()));
            }
            Entity::HostedService(e) => {
                self.hosted_services.insert(e.name.clone(), Rc::new(e.clone().bounded()));
            }
            Entity::HostedLimits(e) => self.hosted_limits = Some(e.clone().bounded()),
        }
    }

    /// Finds the pool that serves a model.
    pub fn pool_of_model(&self, model: &str) -> Option<PoolIx> {
        self.pool_of_model.get(model).copied()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceView> {
        self.service_by_name.get(name).map(|ix| &self.services[*ix])
    }

    /// Returns a copy with a pool for each hosted service, made of the upstreams in `serving`.
    pub fn with_upstreams<'a>(&self, serving: impl Iterator<Item = &'a UpstreamRecord>) -> Self {
        let mut view = self.clone();
        let mut runners: HashMap<&str, Vec<Runner>> = HashMap::new();
        for record in serving {
            runners.entry(&record.service).or_default().push(hosted_runner(record));
        }
        for service in self.hosted_services.values() {
            let runners = runners.remove(service.name.as_str()).unwrap_or_default();
            view.pools.push(hosted_pool(service, runners));
        }
        view
    }

    /// Removes the runners and upstreams of evacuated failure domains.
    pub fn without_evacuated(mut self, evacuations: &Evacuations) -> Self {
        for pool in &mut self.pools {
            pool.runners.retain(|runner| !evacuations.is_evacuated(&runner.failure_domain));
        }
        for service in &mut self.services {
            service.upstreams.retain(|u| !evacuations.is_evacuated(&u.failure_domain));
        }
        self
    }

    /// Finds the route of a host with the longest prefix of `path`.
    pub fn hosted_route(&self, host: &str, path: &str) -> Option<Rc<HostedRoute>> {
        let routes = self.hosted_routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// Finds the workspace that a presented key belongs to.
    ///
    /// The lookup uses the key's SHA-256 digest, so its timing reveals nothing about other keys.
    pub fn workspace_of_key(&self, key: &str) -> Option<WorkspaceIx> {
        self.workspace_by_key.get(&key_digest(key)).copied()
    }

    /// Finds the operator that a presented key belongs to.
    pub fn operator_of_key(&self, key: &str) -> Option<&str> {
        self.operator_by_key.get(&key_digest(key)).map(String::as_str)
    }
}

impl ServiceView {
    /// Finds the route with the longest prefix of `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching =
            self.service.routes.iter().filter(|route| has_path_prefix(path, &route.path));
        matching.max_by_key(|route| route.path.len())
    }
}

/// Silence limit of the pool of a hosted service; connections to its upstreams are bounded by
/// the limits of each request instead.
const HOSTED_SILENCE_LIMIT: Duration = Duration::from_secs(60);
/// Maximum number of requests that wait for a hosted service at one box: more than its largest
/// burst.
const HOSTED_MAX_WAITING: u64 = 512;

fn hosted_runner(record: &UpstreamRecord) -> Runner {
    Runner {
        name: record.life(),
        pool: record.service.clone(),
        addr: record.addr,
        failure_domain: record.failure_domain.clone(),
        max_batch: record.slots,
        checks_fence: false,
    }
}

fn hosted_pool(service: &HostedService, runners: Vec<Runner>) -> PoolView {
    let pool = Pool {
        name: service.name.clone(),
        model: String::new(),
        version: String::new(),
        max_tokens: u64::MAX,
        silence_limit: HOSTED_SILENCE_LIMIT,
        max_waiting: HOSTED_MAX_WAITING,
    };
    let engine = service.engine.as_ref();
    let hosted = HostedPool {
        placement: engine.map_or(Placement::Local, |_| Placement::Owner),
        memory: engine.map(|engine| engine.memory_tokens),
        copy_rate: engine.map_or(f64::INFINITY, EngineSpec::copy_rate),
        cold: service.cold,
    };
    PoolView { pool, runners, hosted: Some(hosted) }
}

/// Returns whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Returns the digest that a presented key is looked up by.
pub fn key_digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}

/// Finds the name of the key that `presented` matches.
pub fn find_key<'a>(keys: &'a [KeyHash], presented: &str) -> Option<&'a str> {
    let digest = key_digest(presented);
    keys.iter().find(|key| key.sha256 == digest).map(|key| key.id.as_str())
}
