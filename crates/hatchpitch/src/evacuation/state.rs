//! Set of evacuated failure domains, as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - the revision increases with each change of the set, and only then;
//! - no domain is listed both as evacuated and as formerly evacuated.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::FailureDomainName;

/// Revision number of the set; a larger number is newer.
pub type Revision = u64;

/// Maximum number of ended evacuations in the set. A box that missed the begin of an evacuation
/// still learns of its end from them. The limit is far above the number of failure domains in a
/// fleet.
const MAX_ENDED: usize = 256;

/// Order of an operator to begin or end an evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// Send no new work to the upstreams of a failure domain.
    Begin(FailureDomainName),
    /// Send work to the upstreams of a failure domain again.
    End(FailureDomainName),
}

impl EvacuationOrder {
    /// Returns the failure domain that the order applies to.
    pub fn domain(&self) -> &FailureDomainName {
        match self {
            Self::Begin(domain) | Self::End(domain) => domain,
        }
    }
}

/// The set of evacuated failure domains, with recently ended evacuations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    pub(super) revision: Revision,
    /// Evacuated domains, with the revision at which the evacuation began.
    pub(super) begun: BTreeMap<FailureDomainName, Revision>,
    /// Formerly evacuated domains, with the revision at which the evacuation ended.
    pub(super) ended: BTreeMap<FailureDomainName, Revision>,
}

impl Evacuations {
    /// Returns the revision of the set; 0 before the first change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.begun.contains_key(domain)
    }

    /// Iterates over the evacuated domains, in order of name.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomainName> {
        self.begun.keys()
    }

    /// Iterates over the domains whose evacuation ended after `since`.
    pub fn ended_since(&self, since: Revision) -> impl Iterator<Item = &FailureDomainName> {
        self.ended.iter().filter(move |(_, at)| **at > since).map(|(domain, _)| domain)
    }

    /// Returns whether the set already is as an order requires.
    pub fn is_in_effect(&self, order: &EvacuationOrder) -> bool {
        match order {
            EvacuationOrder::Begin(domain) => self.is_evacuated(domain),
            EvacuationOrder::End(domain) => !self.is_evacuated(domain),
        }
    }

    /// Applies an order; returns whether it changed the set.
    pub fn apply(&mut self, order: EvacuationOrder) -> bool {
        if self.is_in_effect(&order) {
            return false;
        }
        self.revision += 1;
        match order {
            EvacuationOrder::Begin(domain) => {
                self.ended.remove(&domain);
                self.begun.insert(domain, self.revision);
            }
            EvacuationOrder::End(domain) => {
                self.begun.remove(&domain);
                self.ended.insert(domain, self.revision);
                self.trim_ended();
            }
        }
        true
    }

    /// Drops the oldest ended evacuations beyond [`MAX_ENDED`].
    fn trim_ended(&mut self) {
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let Some(domain) = oldest.map(|(domain, _)| domain.clone()) else { return };
            self.ended.remove(&domain);
        }
    }
}
