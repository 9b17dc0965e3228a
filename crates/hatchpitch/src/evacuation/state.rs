//! The evacuated failure domains, as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - the revision grows with each change, and with nothing else;
//! - a domain is evacuated or was evacuated, not both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::FailureDomainName;

/// Position among all changes of the set; a larger one is newer.
pub type Revision = u64;

/// Ended evacuations that are remembered, so that boxes learn of an end whose beginning they
/// missed: far more than a fleet has failure domains.
const MAX_ENDED: usize = 256;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// Send nothing more to the upstreams of a failure domain.
    Begin(FailureDomainName),
    /// Use them again.
    End(FailureDomainName),
}

impl EvacuationOrder {
    /// Returns the failure domain.
    pub fn domain(&self) -> &FailureDomainName {
        match self {
            Self::Begin(domain) | Self::End(domain) => domain,
        }
    }
}

/// The evacuated failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    pub(super) revision: Revision,
    /// Evacuated domains, with the revision that began it.
    pub(super) begun: BTreeMap<FailureDomainName, Revision>,
    /// Domains whose evacuation is over, with the revision that ended it.
    pub(super) ended: BTreeMap<FailureDomainName, Revision>,
}

impl Evacuations {
    /// Returns the position among all changes, 0 before the first one.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the upstreams of a domain get no new work.
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

    /// Returns whether an order asks for what is already so.
    pub fn has(&self, order: &EvacuationOrder) -> bool {
        match order {
            EvacuationOrder::Begin(domain) => self.is_evacuated(domain),
            EvacuationOrder::End(domain) => !self.is_evacuated(domain),
        }
    }

    /// Carries an order out; returns whether it changed anything.
    pub fn apply(&mut self, order: EvacuationOrder) -> bool {
        if self.has(&order) {
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

    fn trim_ended(&mut self) {
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let Some(domain) = oldest.map(|(domain, _)| domain.clone()) else { return };
            self.ended.remove(&domain);
        }
    }
}
