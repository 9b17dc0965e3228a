//! The slots that an owner has given out.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::admission::Permit;
use crate::ids::{AttemptId, BoxName};
use crate::routing::RunReport;

/// Age from which on a slot has to be named by its holder to stay.
const SYNC_GRACE: Duration = Duration::from_secs(4);

struct Grant {
    holder: BoxName,
    since: Instant,
    permit: Permit,
}

/// Slots by run. Dropping an entry gives the slot back.
#[derive(Default)]
pub struct GrantTable {
    grants: HashMap<AttemptId, Grant>,
}

impl GrantTable {
    /// Notes a slot.
    pub fn put(&mut self, id: AttemptId, holder: BoxName, permit: Permit, now: Instant) {
        self.grants.insert(id, Grant { holder, since: now, permit });
    }

    /// Returns whether a slot is known.
    pub fn contains(&self, id: &str) -> bool {
        self.grants.contains_key(id)
    }

    /// Takes a slot back. Nothing happens if it is not known.
    pub fn release(&mut self, id: &str, report: RunReport) {
        if let Some(mut grant) = self.grants.remove(id) {
            grant.permit.set_report(report);
        }
    }

    /// Drops the slots of a holder that it does not name; a lost release or answer ends here.
    pub fn sync(&mut self, holder: &str, ids: &[AttemptId], now: Instant) {
        let named: HashSet<&AttemptId> = ids.iter().collect();
        self.grants.retain(|id, grant| {
            let young = now.duration_since(grant.since) < SYNC_GRACE;
            grant.holder != holder || young || named.contains(id)
        });
    }

    /// Drops the slots of holders that are gone.
    pub fn retain_holders(&mut self, lives: impl Fn(&str) -> bool) {
        self.grants.retain(|_, grant| lives(&grant.holder));
    }

    /// Returns how many slots each holder has.
    pub fn counts(&self) -> BTreeMap<BoxName, usize> {
        let mut counts = BTreeMap::new();
        for grant in self.grants.values() {
            *counts.entry(grant.holder.clone()).or_default() += 1;
        }
        counts
    }
}
