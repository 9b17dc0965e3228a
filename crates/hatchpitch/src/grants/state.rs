//! The slots that this box, as an owner of engines, has granted to other boxes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::admission::Permit;
use crate::ids::{AttemptId, BoxName};
use crate::routing::{RunReport, Verdict};

/// Age beyond which a slot is dropped unless its holder lists it in a sync. A younger slot may not
/// be known to its holder yet.
const SYNC_GRACE: Duration = Duration::from_secs(4);

struct Grant {
    holder: BoxName,
    since: Instant,
    permit: Permit,
}

/// Granted slots by attempt. Dropping an entry releases its slot.
#[derive(Default)]
pub struct GrantTable {
    grants: HashMap<AttemptId, Grant>,
}

impl GrantTable {
    /// Records a granted slot.
    pub fn insert(&mut self, id: AttemptId, holder: BoxName, permit: Permit, now: Instant) {
        self.grants.insert(id, Grant { holder, since: now, permit });
    }

    /// Returns whether the attempt holds a slot.
    pub fn contains(&self, id: &str) -> bool {
        self.grants.contains_key(id)
    }

    /// Releases a slot. Does nothing if the attempt holds none.
    pub fn release(&mut self, id: &str, report: RunReport) {
        let Some(mut grant) = self.grants.remove(id) else { return };
        if matches!(report.verdict, Verdict::Faulty | Verdict::Failed) {
            log::info!(
                upstream = grant.permit.runner.name.as_str(), reporter = grant.holder.as_str(),
                verdict:? = report.verdict;
                "another box reports that an upstream failed"
            );
        }
        grant.permit.set_report(report);
    }

    /// Drops the slots of a holder that it does not list. This reclaims slots whose release, or
    /// whose grant answer, was lost.
    pub fn sync(&mut self, holder: &str, ids: &[AttemptId], now: Instant) {
        let listed: HashSet<&AttemptId> = ids.iter().collect();
        self.grants.retain(|id, grant| {
            let recent = now.duration_since(grant.since) < SYNC_GRACE;
            grant.holder != holder || recent || listed.contains(id)
        });
    }

    /// Drops the slots of holders for which `is_alive` returns false.
    pub fn retain_holders(&mut self, is_alive: impl Fn(&str) -> bool) {
        self.grants.retain(|_, grant| is_alive(&grant.holder));
    }

    /// Returns the number of slots by holder.
    pub fn counts(&self) -> BTreeMap<BoxName, usize> {
        let mut counts = BTreeMap::new();
        for grant in self.grants.values() {
            *counts.entry(grant.holder.clone()).or_default() += 1;
        }
        counts
    }
}
