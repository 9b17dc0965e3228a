//! The serde representation of a fleet file before validation. Unknown keys are errors.

use serde::Deserialize;
use toml::Spanned;

/// A fleet file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFleet {
    pub(super) number: Spanned<u64>,
    #[serde(default)]
    pub(super) failure_domain: Vec<RawFailureDomain>,
    #[serde(default)]
    pub(super) pool: Vec<RawPool>,
    #[serde(default)]
    pub(super) runner: Vec<RawRunner>,
    #[serde(default)]
    pub(super) service: Vec<RawService>,
    #[serde(default)]
    pub(super) service_upstream: Vec<RawServiceUpstream>,
    #[serde(default)]
    pub(super) workspace: Vec<RawWorkspace>,
    #[serde(default)]
    pub(super) operator: Vec<RawOperator>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFailureDomain {
    pub name: Spanned<String>,
    pub region: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPool {
    pub name: Spanned<String>,
    pub model: Spanned<String>,
    pub version: Spanned<String>,
    pub max_tokens: Spanned<u64>,
    pub silence_limit_ms: Option<Spanned<u64>>,
    pub max_waiting: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRunner {
    pub name: Spanned<String>,
    pub pool: Spanned<String>,
    pub addr: Spanned<String>,
    pub failure_domain: Spanned<String>,
    pub max_batch: Spanned<u64>,
    #[serde(default)]
    pub checks_fence: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRoute {
    pub path: Spanned<String>,
    pub repeatable: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    pub name: Spanned<String>,
    pub route: Vec<RawRoute>,
    pub timeout_ms: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawServiceUpstream {
    pub name: Spanned<String>,
    pub service: Spanned<String>,
    pub addr: Spanned<String>,
    pub failure_domain: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawKeyHash {
    pub id: Spanned<String>,
    pub sha256: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawWorkspace {
    pub name: Spanned<String>,
    pub priority: Spanned<u64>,
    #[serde(default)]
    pub pools: Vec<Spanned<String>>,
    #[serde(default)]
    pub services: Vec<Spanned<String>>,
    pub max_streams: Option<Spanned<u64>>,
    pub keys: Spanned<Vec<RawKeyHash>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOperator {
    pub name: Spanned<String>,
    pub keys: Spanned<Vec<RawKeyHash>>,
}
