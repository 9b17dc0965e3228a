//! Settings that both daemons have in common.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use hatchpitch_net::{KeyRing, SigningKey};
use log::LevelFilter;
use serde::Deserialize;
use toml::Spanned;

use super::diagnostic::Checker;

/// Limit of the memory of a process whose settings name none, in MiB.
pub(super) const DEFAULT_MEMORY_MB: usize = 256;
/// Allowed limits of the memory of a process, in MiB.
pub(super) const MEMORY_MB: std::ops::RangeInclusive<u64> = 64..=1 << 20;

pub(super) const ADDR: &str = "an address such as \"127.0.0.1:7001\"";

/// A key shared by the boxes; its secret is stored in a separate file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBoxKey {
    pub id: Spanned<String>,
    pub file: Spanned<PathBuf>,
}

/// Reads the key files and creates the key ring. The first key is used for signing.
pub(super) fn key_ring(check: &mut Checker, raw: &Spanned<Vec<RawBoxKey>>) -> Option<KeyRing> {
    let mut keys = Vec::new();
    for raw_key in raw.get_ref() {
        let secret = match std::fs::read_to_string(raw_key.file.get_ref()) {
            Ok(text) => text.trim().as_bytes().to_vec(),
            Err(err) => {
                let found = format!("{}: {err}", raw_key.file.get_ref().display());
                check.report(raw_key.file.span(), "box_keys.file", found, "a readable key file");
                return None;
            }
        };
        let Some(key) = SigningKey::new(raw_key.id.get_ref().clone(), secret) else {
            let expected = "a plain id and a secret of at least 16 bytes";
            check.report(raw_key.id.span(), "box_keys", "an unfit key", expected);
            return None;
        };
        keys.push(key);
    }
    let ring = KeyRing::new(keys);
    if ring.is_none() {
        check.report(raw.span(), "box_keys", "no key or an id twice", "one key or more");
    }
    ring
}

/// Parses a list of addresses.
pub(super) fn addrs(check: &mut Checker, key: &str, raw: &[Spanned<String>]) -> Vec<SocketAddr> {
    raw.iter().filter_map(|addr| check.parse(key, addr, ADDR)).collect()
}

/// Parses an optional IP address.
pub(super) fn ip(check: &mut Checker, key: &str, raw: &Option<Spanned<String>>) -> Option<IpAddr> {
    check.parse(key, raw.as_ref()?, "an IP address such as \"10.0.0.7\"")
}

/// Parses the log level; defaults to `info`.
pub(super) fn log_level(check: &mut Checker, raw: &Option<Spanned<String>>) -> LevelFilter {
    let Some(raw) = raw else { return LevelFilter::Info };
    let expected = "off, error, warn, info, debug or trace";
    check.parse("log_level", raw, expected).unwrap_or(LevelFilter::Info)
}

/// Returns the limit of the memory of a process, in MiB, after checking its range.
pub(super) fn memory_mb(check: &mut Checker, key: &str, raw: &Option<Spanned<u64>>) -> usize {
    let Some(raw) = raw else { return DEFAULT_MEMORY_MB };
    check.range(key, raw, MEMORY_MB);
    usize::try_from(*raw.get_ref()).unwrap_or(DEFAULT_MEMORY_MB)
}
