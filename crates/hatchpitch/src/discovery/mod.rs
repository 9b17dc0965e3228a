//! Which boxes a caller should use: callers ask any box and then connect themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::state::Membership;
use crate::membership::{MemberRecord, MemberStatus};

/// Addresses that one answer holds at most.
pub const MAX_ENDPOINTS: usize = 3;

/// Addresses that a whole list holds at most, as callers take no more.
const MAX_LISTED: usize = 64;

/// One address that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Where to connect.
    pub addr: SocketAddr,
    /// Where it stands.
    pub failure_domain: String,
}

/// The answer to `GET /v1/endpoints`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// Addresses, the preferred one first.
    pub endpoints: Vec<Endpoint>,
    /// Seconds for which the caller may keep the answer.
    pub max_age_s: u64,
}

/// Boxes of the caller's own failure domain that are enough to send it to no others.
const ENOUGH_NEAR: usize = 2;

/// Lists the boxes that a caller should use: those of its own failure domain if there are enough,
/// else all. Boxes that may be lost are listed only if there are no others, and this box only
/// while it takes work.
pub fn near_boxes(membership: &Membership, takes_work: bool, near: &str) -> Vec<SocketAddr> {
    let own = &membership.own_record().subject;
    let serving = membership.serving_boxes().filter(|r| takes_work || r.subject != *own);
    let (sound, doubtful): (Vec<_>, Vec<_>) =
        serving.partition(|r| r.status == MemberStatus::Alive);
    let boxes = if sound.is_empty() { doubtful } else { sound };
    let near: Vec<&MemberRecord> =
        boxes.iter().copied().filter(|r| r.failure_domain == near).collect();
    let listed = if near.len() >= ENOUGH_NEAR { near } else { boxes };
    listed.into_iter().map(|r| r.addr).take(MAX_LISTED).collect()
}

/// Chooses addresses for a caller: its own failure domain first, spread by `spread`.
pub fn choose<'a>(
    boxes: impl Iterator<Item = &'a MemberRecord>,
    near: Option<&str>,
    spread: u64,
    max_age: Duration,
) -> Endpoints {
    let mut boxes: Vec<&MemberRecord> = boxes.collect();
    let count = boxes.len().max(1);
    boxes.sort_by(|a, b| a.subject.cmp(&b.subject));
    let start = usize::try_from(spread % count as u64).unwrap_or(0);
    if !boxes.is_empty() {
        boxes.rotate_left(start);
    }
    boxes.sort_by_key(|r| Some(r.failure_domain.as_str()) != near);
    let chosen = boxes.into_iter().take(MAX_ENDPOINTS);
    let endpoints = chosen
        .map(|r| Endpoint { addr: r.addr, failure_domain: r.failure_domain.clone() })
        .collect();
    Endpoints { endpoints, max_age_s: max_age.as_secs() }
}
