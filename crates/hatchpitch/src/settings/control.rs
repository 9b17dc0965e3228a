//! Settings of a control process.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use hatchpitch_net::KeyRing;
use log::LevelFilter;
use serde::Deserialize;
use toml::Spanned;

use super::diagnostic::{Checker, Finding};
use super::shared::{self, RawBoxKey};
use crate::config::Operator;
use crate::config::check::check_keys;
use crate::config::raw::RawOperator;
use crate::ids::{BoxName, FailureDomainName};
use crate::replication::ReplicaConfig;

/// The settings file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawControlSettings {
    name: Spanned<String>,
    boxes_addr: Spanned<String>,
    operators_addr: Spanned<String>,
    listen_ip: Option<Spanned<String>>,
    data_folder: PathBuf,
    memory_mb: Option<Spanned<u64>>,
    #[serde(default)]
    peer: Vec<RawPeer>,
    box_keys: Spanned<Vec<RawBoxKey>>,
    #[serde(default)]
    operator: Vec<RawOperator>,
    log_level: Option<Spanned<String>>,
    elects_at_once: Option<bool>,
    #[serde(default)]
    failure_domains: Vec<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeer {
    name: Spanned<String>,
    boxes_addr: Spanned<String>,
    operators_addr: Spanned<String>,
}

/// Name and addresses of a control box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlPeer {
    /// Its name.
    pub name: BoxName,
    /// Address at which other boxes reach it.
    pub boxes_addr: SocketAddr,
    /// Address at which operators reach it.
    pub operators_addr: SocketAddr,
}

/// Validated settings of a control process.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// This box.
    pub own: ControlPeer,
    /// Address to bind listeners to, if it differs from the advertised one (port forwarding).
    pub listen_ip: Option<IpAddr>,
    /// All control boxes of the initial configuration, including this box.
    pub peers: Vec<ControlPeer>,
    /// Folder for persistent data. A box without a disk has none; it does not take part in the
    /// replicated log, but tracks the upstreams and redirects operators to the leader.
    pub data_folder: Option<PathBuf>,
    /// Whether this may be the first start of the whole system, so that a new log may be created.
    pub bootstrap: bool,
    /// Target number of replicas of the log; replicas beyond it are removed once they are silent.
    pub core_size: usize,
    /// Time intervals of the replicated log.
    pub replica: ReplicaConfig,
    /// Keys shared by the boxes.
    pub box_keys: KeyRing,
    /// Operators that are accepted before the first fleet file is applied.
    pub operators: Vec<Operator>,
    /// Known failure domains in addition to those of the fleet file.
    pub failure_domains: BTreeSet<FailureDomainName>,
    /// Limit of the memory of the process, in bytes.
    pub memory: usize,
    /// Log level.
    pub log_level: LevelFilter,
}

impl TryFrom<RawControlSettings> for ControlSettings {
    type Error = Vec<Finding>;

    fn try_from(raw: RawControlSettings) -> Result<Self, Self::Error> {
        let mut check = Checker::default();
        let own = peer(&mut check, "", &raw.name, &raw.boxes_addr, &raw.operators_addr);
        let peers: Vec<Option<ControlPeer>> = raw
            .peer
            .iter()
            .map(|p| peer(&mut check, "peer.", &p.name, &p.boxes_addr, &p.operators_addr))
            .collect();
        let listen_ip = shared::ip(&mut check, "listen_ip", &raw.listen_ip);
        let box_keys = shared::key_ring(&mut check, &raw.box_keys);
        let operators = raw.operator.iter().map(|op| operator(&mut check, op)).collect();
        let log_level = shared::log_level(&mut check, &raw.log_level);
        let failure_domains =
            raw.failure_domains.iter().map(|name| check.name("failure_domains", name)).collect();
        let (Some(own), Some(box_keys)) = (own, box_keys) else {
            return Err(check.finish(()).expect_err("each missing value was noted"));
        };
        let mut peers: Vec<ControlPeer> = peers.into_iter().flatten().collect();
        if !peers.iter().any(|p| p.name == own.name) {
            peers.push(own.clone());
        }
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = peers.windows(2).find(|pair| pair[0].name == pair[1].name) {
            let found = format!("{:?} twice", pair[0].name);
            check.report(raw.name.span(), "peer.name", found, "each control box once");
        }
        let memory_mb = shared::memory_mb(&mut check, "memory_mb", &raw.memory_mb);
        let default = ReplicaConfig::default();
        let elects_at_once = raw.elects_at_once.unwrap_or(default.elects_at_once);
        let replica = ReplicaConfig { elects_at_once, ..default };
        check.finish(Self {
            own,
            listen_ip,
            core_size: peers.len(),
            peers,
            data_folder: Some(raw.data_folder),
            bootstrap: true,
            replica,
            box_keys,
            operators,
            failure_domains,
            memory: memory_mb << 20,
            log_level,
        })
    }
}

fn peer(
    check: &mut Checker,
    prefix: &str,
    name: &Spanned<String>,
    boxes_addr: &Spanned<String>,
    operators_addr: &Spanned<String>,
) -> Option<ControlPeer> {
    let name = check.name(&format!("{prefix}name"), name);
    let boxes_addr = check.parse(&format!("{prefix}boxes_addr"), boxes_addr, shared::ADDR)?;
    let operators_addr =
        check.parse(&format!("{prefix}operators_addr"), operators_addr, shared::ADDR)?;
    Some(ControlPeer { name, boxes_addr, operators_addr })
}

fn operator(check: &mut Checker, raw: &RawOperator) -> Operator {
    let name = check.name("operator.name", &raw.name);
    let keys = check_keys(check, "operator.keys", &raw.keys);
    Operator { name, keys }
}
