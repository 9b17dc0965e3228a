//! Validates a fleet file and reports all of its problems at once.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use hatchpitch_net::keys::from_hex;
use toml::Spanned;

use super::entity::{
    Entity, FailureDomain, Fleet, KeyHash, Operator, Pool, Route, Runner, Service, ServiceUpstream,
    Workspace, kind_name,
};
use super::raw::{
    RawFailureDomain, RawFleet, RawKeyHash, RawOperator, RawPool, RawRoute, RawRunner, RawService,
    RawServiceUpstream, RawWorkspace,
};
use crate::settings::diagnostic::{Checker, Finding, Problems, load_toml};

/// Largest fleet file accepted, in bytes.
pub const MAX_FLEET_FILE: usize = 16 * 1024 * 1024;

const DEFAULT_SILENCE_MS: u64 = 2_000;
const DEFAULT_MAX_WAITING: u64 = 256;
const DEFAULT_SERVICE_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_MAX_STREAMS: u64 = 1_000;
const MAX_KEYS: usize = 8;
const ADDR: &str = "an address such as \"127.0.0.1:9001\"";

/// Parses and validates the text of a fleet file; problems are reported under the name `file`.
///
/// # Errors
///
/// Returns every problem with its line.
pub fn load_fleet(file: &str, text: &str) -> Result<Fleet, Problems> {
    load_toml::<RawFleet, Fleet>(file, text)
}

impl TryFrom<RawFleet> for Fleet {
    type Error = Vec<Finding>;

    fn try_from(raw: RawFleet) -> Result<Self, Self::Error> {
        let mut cx = FleetChecker::default();
        cx.names.collect(&raw);
        let number = *raw.number.get_ref();
        cx.check.range("number", &raw.number, 1..=u64::MAX / 2);
        raw.failure_domain.iter().for_each(|e| cx.failure_domain(e));
        raw.pool.iter().for_each(|e| cx.pool(e));
        raw.runner.iter().for_each(|e| cx.runner(e));
        raw.service.iter().for_each(|e| cx.service(e));
        raw.service_upstream.iter().for_each(|e| cx.service_upstream(e));
        raw.workspace.iter().for_each(|e| cx.workspace(e));
        raw.operator.iter().for_each(|e| cx.operator(e));
        let FleetChecker { check, entities, .. } = cx;
        check.finish(Fleet { number, entities, document: None })
    }
}

/// The names defined in the file that other entities may refer to.
#[derive(Default)]
struct Names {
    domains: BTreeSet<String>,
    pools: BTreeSet<String>,
    services: BTreeSet<String>,
}

impl Names {
    fn collect(&mut self, raw: &RawFleet) {
        let name = |name: &Spanned<String>| name.get_ref().clone();
        self.domains = raw.failure_domain.iter().map(|e| name(&e.name)).collect();
        self.pools = raw.pool.iter().map(|e| name(&e.name)).collect();
        self.services = raw.service.iter().map(|e| name(&e.name)).collect();
    }
}

#[derive(Default)]
struct FleetChecker {
    check: Checker,
    names: Names,
    entities: BTreeMap<(u8, String), Entity>,
    models: BTreeSet<String>,
    key_hashes: BTreeSet<[u8; 32]>,
}

impl FleetChecker {
    fn add(&mut self, span: Range<usize>, entity: Entity) {
        let key = entity.key();
        if self.entities.contains_key(&key) {
            let label = format!("{}.name", kind_name(key.0));
            self.check.report(span, &label, format!("{:?} again", key.1), "a name used once");
        }
        self.entities.insert(key, entity);
    }

    fn failure_domain(&mut self, raw: &RawFailureDomain) {
        let name = self.check.name("failure_domain.name", &raw.name);
        let region = self.check.name("failure_domain.region", &raw.region);
        self.add(raw.name.span(), Entity::FailureDomain(FailureDomain { name, region }));
    }

    fn pool(&mut self, raw: &RawPool) {
        let name = self.check.name("pool.name", &raw.name);
        let model = self.check.name("pool.model", &raw.model);
        if !self.models.insert(model.clone()) {
            let found = format!("{model:?} again");
            self.check.report(raw.model.span(), "pool.model", found, "one pool a model");
        }
        let version = self.check.name("pool.version", &raw.version);
        self.check.range("pool.max_tokens", &raw.max_tokens, 1..=1_000_000);
        let silence = &raw.silence_limit_ms;
        let silence_ms =
            self.optional("pool.silence_limit_ms", silence, 100..=60_000, DEFAULT_SILENCE_MS);
        let max_waiting =
            self.optional("pool.max_waiting", &raw.max_waiting, 0..=100_000, DEFAULT_MAX_WAITING);
        let pool = Pool {
            name,
            model,
            version,
            max_tokens: *raw.max_tokens.get_ref(),
            silence_limit: Duration::from_millis(silence_ms),
            max_waiting,
        };
        self.add(raw.name.span(), Entity::Pool(pool));
    }

    fn runner(&mut self, raw: &RawRunner) {
        let name = self.check.name("runner.name", &raw.name);
        self.reference("runner.pool", &raw.pool, |names| &names.pools);
        self.reference("runner.failure_domain", &raw.failure_domain, |names| &names.domains);
        self.check.range("runner.max_batch", &raw.max_batch, 1..=4_096);
        let Some(addr) = self.check.parse("runner.addr", &raw.addr, ADDR) else { return };
        let runner = Runner {
            name,
            pool: raw.pool.get_ref().clone(),
            addr,
            failure_domain: raw.failure_domain.get_ref().clone(),
            max_batch: *raw.max_batch.get_ref(),
            checks_fence: raw.checks_fence,
        };
        self.add(raw.name.span(), Entity::Runner(runner));
    }

    fn service(&mut self, raw: &RawService) {
        let name = self.check.name("service.name", &raw.name);
        let timeout_ms = self.optional(
            "service.timeout_ms",
            &raw.timeout_ms,
            10..=600_000,
            DEFAULT_SERVICE_TIMEOUT_MS,
        );
        let routes = raw.route.iter().map(|route| self.route(route)).collect();
        let timeout = Duration::from_millis(timeout_ms);
        self.add(raw.name.span(), Entity::Service(Service { name, routes, timeout }));
    }

    fn route(&mut self, raw: &RawRoute) -> Route {
        let path = raw.path.get_ref();
        if !path.starts_with('/') {
            let found = format!("{path:?}");
            self.check.report(
                raw.path.span(),
                "service.route.path",
                found,
                "a path such as \"/rates\"",
            );
        }
        Route { path: path.clone(), repeatable: raw.repeatable }
    }

    fn service_upstream(&mut self, raw: &RawServiceUpstream) {
        let name = self.check.name("service_upstream.name", &raw.name);
        self.reference("service_upstream.service", &raw.service, |names| &names.services);
        self.reference("service_upstream.failure_domain", &raw.failure_domain, |names| {
            &names.domains
        });
        let Some(addr) = self.check.parse("service_upstream.addr", &raw.addr, ADDR) else { return };
        let upstream = ServiceUpstream {
            name,
            service: raw.service.get_ref().clone(),
            addr,
            failure_domain: raw.failure_domain.get_ref().clone(),
        };
        self.add(raw.name.span(), Entity::ServiceUpstream(upstream));
    }

    fn workspace(&mut self, raw: &RawWorkspace) {
        let name = self.check.name("workspace.name", &raw.name);
        self.check.range("workspace.priority", &raw.priority, 1..=9);
        for pool in &raw.pools {
            self.reference("workspace.pools", pool, |names| &names.pools);
        }
        for service in &raw.services {
            self.reference("workspace.services", service, |names| &names.services);
        }
        let streams = &raw.max_streams;
        let max_streams =
            self.optional("workspace.max_streams", streams, 1..=100_000, DEFAULT_MAX_STREAMS);
        let workspace = Workspace {
            name,
            priority: u8::try_from(*raw.priority.get_ref()).unwrap_or(u8::MAX),
            pools: raw.pools.iter().map(|p| p.get_ref().clone()).collect(),
            services: raw.services.iter().map(|s| s.get_ref().clone()).collect(),
            max_streams,
            keys: self.keys("workspace.keys", &raw.keys),
            regions: Vec::new(),
        };
        self.add(raw.name.span(), Entity::Workspace(workspace));
    }

    fn operator(&mut self, raw: &RawOperator) {
        let name = self.check.name("operator.name", &raw.name);
        let keys = self.keys("operator.keys", &raw.keys);
        self.add(raw.name.span(), Entity::Operator(Operator { name, keys }));
    }

    fn keys(&mut self, key: &str, raw: &Spanned<Vec<RawKeyHash>>) -> Vec<KeyHash> {
        let keys = check_keys(&mut self.check, key, raw);
        for (hash, raw_key) in keys.iter().zip(raw.get_ref()) {
            if !self.key_hashes.insert(hash.sha256) {
                let span = raw_key.sha256.span();
                self.check.report(span, key, "a digest that stands elsewhere", "a key used once");
            }
        }
        keys
    }

    fn reference(
        &mut self,
        key: &str,
        raw: &Spanned<String>,
        set: fn(&Names) -> &BTreeSet<String>,
    ) {
        let known = set(&self.names);
        if !known.contains(raw.get_ref()) {
            let names: Vec<&str> = known.iter().take(8).map(String::as_str).collect();
            let expected = format!("a name defined in this file ({})", names.join(", "));
            self.check.report(raw.span(), key, format!("{:?}", raw.get_ref()), &expected);
        }
    }

    fn optional(
        &mut self,
        key: &str,
        raw: &Option<Spanned<u64>>,
        allowed: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(raw) = raw else { return default };
        self.check.range(key, raw, allowed);
        *raw.get_ref()
    }
}

/// Validates a list of 1 to 8 key digests, each of 64 hexadecimal digits.
pub(crate) fn check_keys(
    check: &mut Checker,
    key: &str,
    raw: &Spanned<Vec<RawKeyHash>>,
) -> Vec<KeyHash> {
    let count = raw.get_ref().len();
    if count == 0 || count > MAX_KEYS {
        check.report(raw.span(), key, format!("{count} keys"), "1 to 8 keys");
    }
    let mut keys = Vec::with_capacity(count);
    for raw_key in raw.get_ref() {
        let id = check.name(key, &raw_key.id);
        let digits = raw_key.sha256.get_ref();
        let sha256 = from_hex(digits).and_then(|bytes| bytes.try_into().ok()).unwrap_or_default();
        if digits.len() != 64 || sha256 == [0; 32] {
            let expected = "64 hexadecimal digits, as `hatchpitch key` prints them";
            check.report(
                raw_key.sha256.span(),
                key,
                format!("{} characters", digits.len()),
                expected,
            );
        }
        keys.push(KeyHash { id, sha256 });
    }
    keys
}
