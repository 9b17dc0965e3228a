//! Claims as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - a claim is granted to a single attempt, and granted again only after that attempt itself
//!   reported that nothing was run;
//! - memory is bounded: the number of claims per workspace, the size of each claim and the time
//!   for which it is stored are limited.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::messages::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
use crate::ids::{AttemptId, Digest, WorkspaceName};

/// Timestamp of the replicated log, in milliseconds since 1970; it never decreases.
pub type LogTime = u64;

/// Limits of a [`ClaimTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsConfig {
    /// Maximum number of stored claims of one workspace.
    pub per_workspace: usize,
    /// Largest stored answer body, in bytes.
    pub max_answer: usize,
    /// Time for which a settled or unknown claim is stored.
    pub keep: Duration,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self { per_workspace: 20_000, max_answer: 16 * 1024, keep: Duration::from_secs(600) }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimStatus {
    Running,
    Done(KeptAnswer),
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claim {
    pub(super) content: Digest,
    pub(super) attempt: AttemptId,
    pub(super) status: ClaimStatus,
    /// End of the status: a running claim becomes unknown, any other claim is removed.
    pub(super) until: LogTime,
}

/// Table of all claims, ordered by deadline for expiry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    cfg: ClaimsConfig,
    pub(super) claims: BTreeMap<ClaimId, Claim>,
    pub(super) deadlines: BTreeSet<(LogTime, ClaimId)>,
    /// Number of claims of each workspace.
    pub(super) held: BTreeMap<WorkspaceName, usize>,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides whether an attempt may run a request, and records the claim if it may.
    pub fn claim(&mut self, req: &ClaimRequest, now: LogTime) -> ClaimOutcome {
        self.expire(now);
        if let Some(existing) = self.claims.get(&req.id) {
            return existing_outcome(existing, req);
        }
        let count = self.held.entry(req.id.workspace.clone()).or_default();
        if *count >= self.cfg.per_workspace {
            return ClaimOutcome::TooMany;
        }
        *count += 1;
        let claim = Claim {
            content: req.content,
            attempt: req.attempt.clone(),
            status: ClaimStatus::Running,
            until: now.saturating_add(millis(req.run_limit)),
        };
        self.upsert(req.id.clone(), claim);
        ClaimOutcome::Granted
    }

    /// Settles a claim; ignored if another attempt holds it or its answer is stored already.
    pub fn settle(&mut self, req: &SettleRequest, now: LogTime) {
        self.expire(now);
        let Some(existing) = self.claims.get(&req.id) else { return };
        let is_done = matches!(existing.status, ClaimStatus::Done(_));
        if existing.attempt != req.attempt || is_done {
            return;
        }
        let status = match req.settlement.clone() {
            Settlement::NotRun => {
                self.remove_claim(&req.id);
                return;
            }
            Settlement::Done(answer) => ClaimStatus::Done(self.drop_oversized_body(answer)),
            Settlement::Unknown => ClaimStatus::Unknown,
        };
        let until = now.saturating_add(millis(self.cfg.keep));
        let claim = Claim { status, until, ..existing.clone() };
        self.upsert(req.id.clone(), claim);
    }

    fn drop_oversized_body(&self, mut answer: KeptAnswer) -> KeptAnswer {
        answer.body = answer.body.filter(|body| body.len() <= self.cfg.max_answer);
        answer
    }

    fn upsert(&mut self, id: ClaimId, claim: Claim) {
        self.deadlines.insert((claim.until, id.clone()));
        if let Some(old) = self.claims.insert(id.clone(), claim.clone())
            && old.until != claim.until
        {
            self.deadlines.remove(&(old.until, id));
        }
    }

    fn remove_claim(&mut self, id: &ClaimId) {
        let Some(claim) = self.claims.remove(id) else { return };
        self.deadlines.remove(&(claim.until, id.clone()));
        if let Some(count) = self.held.get_mut(&id.workspace) {
            *count -= 1;
            if *count == 0 {
                self.held.remove(&id.workspace);
            }
        }
    }

    fn expire(&mut self, now: LogTime) {
        while let Some((until, id)) = self.deadlines.first().cloned() {
            if until > now {
                return;
            }
            let running = self.claims.get(&id).filter(|c| c.status == ClaimStatus::Running);
            match running.cloned() {
                Some(claim) => {
                    let until = until.saturating_add(millis(self.cfg.keep));
                    self.upsert(id, Claim { status: ClaimStatus::Unknown, until, ..claim });
                }
                None => self.remove_claim(&id),
            }
        }
    }
}

/// Returns the outcome of a claim on a request that has been claimed before.
fn existing_outcome(existing: &Claim, req: &ClaimRequest) -> ClaimOutcome {
    if existing.content != req.content {
        return ClaimOutcome::KeyReused;
    }
    match &existing.status {
        ClaimStatus::Running if existing.attempt == req.attempt => ClaimOutcome::Granted,
        ClaimStatus::Running => ClaimOutcome::Running,
        ClaimStatus::Done(answer) => ClaimOutcome::Kept(answer.clone()),
        ClaimStatus::Unknown => ClaimOutcome::Unknown,
    }
}

fn millis(duration: Duration) -> LogTime {
    u64::try_from(duration.as_millis()).unwrap_or(LogTime::MAX)
}
