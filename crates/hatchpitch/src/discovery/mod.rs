//! Endpoint discovery: a caller asks any box which boxes to use and connects to them directly.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::membership::state::Membership;
use crate::membership::{MemberRecord, MemberStatus};

/// Maximum number of endpoints in one answer.
pub const MAX_ENDPOINTS: usize = 3;

/// Maximum length of a box list; callers accept no more addresses.
const MAX_LISTED: usize = 64;

/// An entry box that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Failure domain of the box.
    pub failure_domain: String,
}

/// The answer to `GET /v1/endpoints`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// Endpoints in order of preference.
    pub endpoints: Vec<Endpoint>,
    /// Time in seconds for which the caller may cache the answer.
    pub max_age_s: u64,
}

/// Number of boxes in the caller's failure domain from which on boxes of other domains are left
/// out.
const MIN_LOCAL_BOXES: usize = 2;

/// Lists the boxes that a caller should use: those in its failure domain `near` if there are at
/// least two, otherwise all. Suspect boxes are listed only if no box is alive, and this box only if
/// `takes_work` is set.
pub fn near_boxes(membership: &Membership, takes_work: bool, near: &str) -> Vec<SocketAddr> {
    let own = &membership.own_record().subject;
    let serving = membership.serving_boxes().filter(|r| takes_work || r.subject != *own);
    let (alive, suspect): (Vec<_>, Vec<_>) = serving.partition(|r| r.status == MemberStatus::Alive);
    let boxes = if alive.is_empty() { suspect } else { alive };
    let local: Vec<&MemberRecord> =
        boxes.iter().copied().filter(|r| r.failure_domain == near).collect();
    let listed = if local.len() >= MIN_LOCAL_BOXES { local } else { boxes };
    listed.into_iter().map(|r| r.addr).take(MAX_LISTED).collect()
}

/// Chooses endpoints for a caller, those in its failure domain `near` first. `rotation` selects
/// the first box, so that callers with different values are spread over the boxes.
pub fn choose<'a>(
    boxes: impl Iterator<Item = &'a MemberRecord>,
    near: Option<&str>,
    rotation: u64,
    max_age: Duration,
) -> Endpoints {
    let mut boxes: Vec<&MemberRecord> = boxes.collect();
    let count = boxes.len().max(1);
    boxes.sort_by(|a, b| a.subject.cmp(&b.subject));
    let start = usize::try_from(rotation % count as u64).unwrap_or(0);
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
