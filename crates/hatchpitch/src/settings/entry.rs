//! Settings of an entry process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hatchpitch_net::KeyRing;
use log::LevelFilter;
use serde::Deserialize;
use toml::Spanned;

use super::diagnostic::{Checker, Finding};
use super::policy::{self, RawPolicy};
use super::shared::{self, RawBoxKey};
use crate::admission::Policy;
use crate::ids::{BoxName, FailureDomainName, RegionName};
use crate::relay::events::DEFAULT_MAX_EVENT;

/// The settings file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntrySettings {
    name: Spanned<String>,
    failure_domain: Spanned<String>,
    callers_addr: Spanned<String>,
    boxes_addr: Spanned<String>,
    listen_ip: Option<Spanned<String>>,
    upstream_source_ip: Option<Spanned<String>>,
    control: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    box_keys: Spanned<Vec<RawBoxKey>>,
    log_level: Option<Spanned<String>>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    timing: RawTiming,
    #[serde(default)]
    policy: RawPolicy,
    #[serde(default)]
    regions: BTreeMap<String, Spanned<String>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    memory_mb: Option<Spanned<u64>>,
    max_event_bytes: Option<Spanned<u64>>,
    max_body_bytes: Option<Spanned<u64>>,
    max_connections: Option<Spanned<u64>>,
    feed_fanout: Option<Spanned<u64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTiming {
    body_timeout_ms: Option<Spanned<u64>>,
    connect_timeout_ms: Option<Spanned<u64>>,
    head_timeout_ms: Option<Spanned<u64>>,
    endpoints_max_age_ms: Option<Spanned<u64>>,
    stop_grace_ms: Option<Spanned<u64>>,
    stop_limit_ms: Option<Spanned<u64>>,
    config_max_age_ms: Option<Spanned<u64>>,
    max_wait_ms: Option<Spanned<u64>>,
    slow_caller_ms: Option<Spanned<u64>>,
    resume_window_ms: Option<Spanned<u64>>,
}

/// Resource limits of an entry process.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// Limit of the memory of the process, in bytes.
    pub memory: usize,
    /// Size from which an event is passed on in pieces before it is complete, in bytes.
    pub max_event: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections per listener.
    pub max_connections: usize,
    /// Maximum number of boxes that one box distributes configuration to.
    pub feed_fanout: usize,
}

/// Timeouts and other time limits of an entry process.
#[derive(Debug, Clone, Copy)]
pub struct EntryTiming {
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time limit for connecting to an upstream.
    pub connect_timeout: Duration,
    /// Time limit for receiving the response headers of an upstream.
    pub head_timeout: Duration,
    /// How long callers may cache a list of addresses.
    pub endpoints_max_age: Duration,
    /// How long a stopping box accepts new work; always longer than `endpoints_max_age`.
    pub stop_grace: Duration,
    /// Time after which a stopping process ends or is killed, whatever is in progress; always
    /// longer than `stop_grace`.
    pub stop_limit: Duration,
    /// Maximum time since the last confirmation of the configuration; beyond it, new work is
    /// refused.
    pub config_max_age: Duration,
    /// Maximum time that a request may wait for a runner.
    pub max_wait: Duration,
    /// How long a caller may block a stream by not reading from it.
    pub slow_caller: Duration,
    /// How long a generation is kept after its caller disconnected.
    pub resume_window: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            memory: shared::DEFAULT_MEMORY_MB << 20,
            max_event: DEFAULT_MAX_EVENT,
            max_body: 1 << 20,
            max_connections: 4_096,
            feed_fanout: 8,
        }
    }
}

impl Default for EntryTiming {
    fn default() -> Self {
        Self {
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            head_timeout: Duration::from_secs(10),
            endpoints_max_age: Duration::from_secs(5),
            stop_grace: Duration::from_secs(7),
            stop_limit: Duration::from_secs(3_600),
            config_max_age: Duration::from_secs(10),
            max_wait: Duration::from_secs(20),
            slow_caller: Duration::from_secs(15),
            resume_window: Duration::from_secs(3),
        }
    }
}

/// Validated settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the box.
    pub name: BoxName,
    /// Failure domain of the box.
    pub failure_domain: FailureDomainName,
    /// Regions of failure domains, in addition to those of the fleet file.
    pub regions: BTreeMap<FailureDomainName, RegionName>,
    /// Address of the listener for callers and operators.
    pub callers_addr: SocketAddr,
    /// Address that callers are given, if it differs from `callers_addr`.
    pub advertised_addr: Option<SocketAddr>,
    /// Address of the listener for other boxes.
    pub boxes_addr: SocketAddr,
    /// Address to bind listeners to, if it differs from the advertised one (port forwarding).
    pub listen_ip: Option<IpAddr>,
    /// Local address of connections to upstreams; the system chooses one if there is none.
    pub upstream_source_ip: Option<IpAddr>,
    /// Addresses of the control boxes.
    pub control: Vec<SocketAddr>,
    /// Addresses of entry boxes through which this box joins the membership.
    pub seeds: Vec<SocketAddr>,
    /// Keys shared by the boxes.
    pub box_keys: KeyRing,
    /// Log level.
    pub log_level: LevelFilter,
    /// Resource limits.
    pub limits: EntryLimits,
    /// Timeouts and other time limits.
    pub timing: EntryTiming,
    /// Admission and routing policy.
    pub policy: Policy,
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = Vec<Finding>;

    fn try_from(raw: RawEntrySettings) -> Result<Self, Self::Error> {
        let mut check = Checker::default();
        let name = check.name("name", &raw.name);
        let failure_domain = check.name("failure_domain", &raw.failure_domain);
        let callers_addr = check.parse("callers_addr", &raw.callers_addr, shared::ADDR);
        let boxes_addr = check.parse("boxes_addr", &raw.boxes_addr, shared::ADDR);
        let listen_ip = shared::ip(&mut check, "listen_ip", &raw.listen_ip);
        let upstream_source_ip =
            shared::ip(&mut check, "upstream_source_ip", &raw.upstream_source_ip);
        let control = shared::addrs(&mut check, "control", raw.control.get_ref());
        if raw.control.get_ref().is_empty() {
            check.report(raw.control.span(), "control", "no address", "one address or more");
        }
        let seeds = shared::addrs(&mut check, "seeds", &raw.seeds);
        let box_keys = shared::key_ring(&mut check, &raw.box_keys);
        let log_level = shared::log_level(&mut check, &raw.log_level);
        let limits = limits(&mut check, &raw.limits);
        let timing = timing(&mut check, &raw.timing);
        let policy = policy::check(&mut check, &raw.policy);
        let regions = raw.regions.iter();
        let regions = regions
            .map(|(domain, region)| (domain.clone(), check.name("regions", region)))
            .collect();
        let (Some(callers_addr), Some(boxes_addr), Some(box_keys)) =
            (callers_addr, boxes_addr, box_keys)
        else {
            return Err(check.finish(()).expect_err("each missing value was noted"));
        };
        check.finish(Self {
            name,
            failure_domain,
            regions,
            callers_addr,
            advertised_addr: None,
            boxes_addr,
            listen_ip,
            upstream_source_ip,
            control,
            seeds,
            box_keys,
            log_level,
            limits,
            timing,
            policy,
        })
    }
}

/// Returns a number after checking its range, or `default` if it is not set.
fn number(
    check: &mut Checker,
    key: &str,
    raw: &Option<Spanned<u64>>,
    allowed: std::ops::RangeInclusive<u64>,
    default: u64,
) -> u64 {
    let Some(raw) = raw else { return default };
    check.range(key, raw, allowed);
    *raw.get_ref()
}

fn limits(check: &mut Checker, raw: &RawLimits) -> EntryLimits {
    let default = EntryLimits::default();
    let mut size = |key, raw: &Option<Spanned<u64>>, allowed, default: usize| {
        usize::try_from(number(check, key, raw, allowed, default as u64)).unwrap_or(usize::MAX)
    };
    EntryLimits {
        memory: size("limits.memory_mb", &raw.memory_mb, shared::MEMORY_MB, default.memory >> 20)
            << 20,
        max_event: size(
            "limits.max_event_bytes",
            &raw.max_event_bytes,
            1_024..=64 << 20,
            default.max_event,
        ),
        max_body: size(
            "limits.max_body_bytes",
            &raw.max_body_bytes,
            1_024..=64 << 20,
            default.max_body,
        ),
        max_connections: size(
            "limits.max_connections",
            &raw.max_connections,
            16..=65_536,
            default.max_connections,
        ),
        feed_fanout: size("limits.feed_fanout", &raw.feed_fanout, 1..=64, default.feed_fanout),
    }
}

fn timing(check: &mut Checker, raw: &RawTiming) -> EntryTiming {
    let default = EntryTiming::default();
    let mut ms = |key: &str, raw: &Option<Spanned<u64>>, allowed, default: Duration| {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let key = format!("timing.{key}");
        Duration::from_millis(number(check, &key, raw, allowed, default))
    };
    let ten_minutes = 600_000;
    let timing = EntryTiming {
        body_timeout: ms(
            "body_timeout_ms",
            &raw.body_timeout_ms,
            100..=ten_minutes,
            default.body_timeout,
        ),
        connect_timeout: ms(
            "connect_timeout_ms",
            &raw.connect_timeout_ms,
            10..=60_000,
            default.connect_timeout,
        ),
        head_timeout: ms(
            "head_timeout_ms",
            &raw.head_timeout_ms,
            10..=ten_minutes,
            default.head_timeout,
        ),
        endpoints_max_age: ms(
            "endpoints_max_age_ms",
            &raw.endpoints_max_age_ms,
            1_000..=ten_minutes,
            default.endpoints_max_age,
        ),
        stop_grace: ms("stop_grace_ms", &raw.stop_grace_ms, 1_000..=900_000, default.stop_grace),
        stop_limit: ms("stop_limit_ms", &raw.stop_limit_ms, 1_000..=86_400_000, default.stop_limit),
        config_max_age: ms(
            "config_max_age_ms",
            &raw.config_max_age_ms,
            1_000..=ten_minutes,
            default.config_max_age,
        ),
        max_wait: ms("max_wait_ms", &raw.max_wait_ms, 10..=ten_minutes, default.max_wait),
        slow_caller: ms(
            "slow_caller_ms",
            &raw.slow_caller_ms,
            100..=ten_minutes,
            default.slow_caller,
        ),
        resume_window: ms(
            "resume_window_ms",
            &raw.resume_window_ms,
            0..=ten_minutes,
            default.resume_window,
        ),
    };
    if timing.stop_grace <= timing.endpoints_max_age {
        let span = raw.stop_grace_ms.as_ref().map_or(0..0, Spanned::span);
        let found = format!("{} ms", timing.stop_grace.as_millis());
        check.report(span, "timing.stop_grace_ms", found, "more than endpoints_max_age_ms");
    }
    if timing.stop_limit <= timing.stop_grace {
        let span = raw.stop_limit_ms.as_ref().map_or(0..0, Spanned::span);
        let found = format!("{} ms", timing.stop_limit.as_millis());
        check.report(span, "timing.stop_limit_ms", found, "more than stop_grace_ms");
    }
    timing
}
