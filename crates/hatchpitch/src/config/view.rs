//! The configuration as dense tables, made once a number and read on every request.

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
    /// What is known of runners that announce themselves; `None` for those of a fleet file.
    pub hosted: Option<HostedPool>,
}

/// A pool whose runners announce themselves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostedPool {
    /// Who decides for its runners.
    pub placement: Placement,
    /// Size of a runner's memory in tokens; `None` for plain services.
    pub memory: Option<u64>,
    /// Tokens of copied memory that a runner's link takes in a second.
    pub copy_rate: f64,
    /// What a runner bears while it is cold; `None` if as much as ever.
    pub cold: Option<ColdStart>,
}

/// A service and its runners.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// The service.
    pub service: Service,
    /// Its runners, in order of name.
    pub upstreams: Vec<ServiceUpstream>,
}

/// An immutable view of one configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The number it was made from.
    pub number: ConfigNumber,
    /// All pools.
    pub pools: Vec<PoolView>,
    /// All services.
    pub services: Vec<ServiceView>,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Region of each failure domain.
    pub regions: HashMap<FailureDomainName, String>,
    /// Services whose upstreams announce themselves.
    pub hosted_services: BTreeMap<String, Rc<HostedService>>,
    /// Bounds on callers of hosted routes.
    pub hosted_limits: Option<HostedLimits>,
    /// Routes of each host, the longest prefix first.
    hosted_routes: HashMap<String, Vec<Rc<HostedRoute>>>,
    pool_of_model: HashMap<String, PoolIx>,
    service_by_name: HashMap<String, usize>,
    workspace_by_key: HashMap<Digest, WorkspaceIx>,
    operator_by_key: HashMap<Digest, String>,
}

impl FleetView {
    /// Makes the view of a configuration.
    pub fn new(state: &ConfigState) -> Self {
        let mut view = Self { number: state.number(), ..Self::default() };
        // Entities come in order of kind, so pools stand before their runners.
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
                let owned = e.keys.iter().map(|key| (key.sha256, e.name.clone()));
                self.operator_by_key.extend(owned);
            }
            Entity::HostedRoute(e) => {
                let routes = self.hosted_routes.entry(e.host.clone()).or_default();
                routes.push(Rc::new(e.clone()));
            }
            Entity::HostedService(e) => {
                self.hosted_services.insert(e.name.clone(), Rc::new(e.clone()));
            }
            Entity::HostedLimits(e) => self.hosted_limits = Some(e.clone()),
        }
    }

    /// Finds the pool that holds a model.
    pub fn pool_of_model(&self, model: &str) -> Option<PoolIx> {
        self.pool_of_model.get(model).copied()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceView> {
        self.service_by_name.get(name).map(|ix| &self.services[*ix])
    }

    /// Adds the pools of hosted services with the upstreams that serve.
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

    /// Leaves out the runners of evacuated failure domains.
    pub fn without_evacuated(mut self, evacuations: &Evacuations) -> Self {
        for pool in &mut self.pools {
            pool.runners.retain(|runner| !evacuations.is_evacuated(&runner.failure_domain));
        }
        for service in &mut self.services {
            service.upstreams.retain(|u| !evacuations.is_evacuated(&u.failure_domain));
        }
        self
    }

    /// Finds the route of a host with the longest prefix that begins `path`.
    pub fn hosted_route(&self, host: &str, path: &str) -> Option<Rc<HostedRoute>> {
        let routes = self.hosted_routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// Finds the workspace that a presented key belongs to.
    ///
    /// The look-up is by the key's SHA-256, so its timing tells nothing of other keys.
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
        let matching = self.service.routes.iter().filter(|route| matches(&route.path, path));
        matching.max_by_key(|route| route.path.len())
    }
}

/// Silence after which a link to a runner that announces itself would be remade; such links
/// are bounded by each request's own limits instead.
const HOSTED_SILENCE: Duration = Duration::from_secs(60);
/// Requests that may wait for a hosted service at one box: more than its largest burst brings.
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
        silence_limit: HOSTED_SILENCE,
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

fn matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Digest under which a presented key is looked up.
pub fn key_digest(key: &str) -> Digest {
    Sha256::digest(key.as_bytes()).into()
}

/// Finds the name of the key that `presented` matches.
pub fn find_key<'a>(keys: &'a [KeyHash], presented: &str) -> Option<&'a str> {
    let digest = key_digest(presented);
    keys.iter().find(|key| key.sha256 == digest).map(|key| key.id.as_str())
}
