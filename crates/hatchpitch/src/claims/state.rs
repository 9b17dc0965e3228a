//! Claims as a deterministic state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - a claim is granted to one attempt; it is only granted again after that
//!   attempt itself said that nothing was run;
//! - memory is bounded: so many claims a workspace, each of bounded size, each
//!   for a bounded time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::messages::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
use crate::ids::{AttemptId, Digest, WorkspaceName};

/// Time of the replicated log, in milliseconds; it never goes back.
pub type LogTime = u64;

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsConfig {
    /// Claims a workspace may hold.
    pub per_workspace: usize,
    /// Largest answer kept, in bytes.
    pub max_answer: usize,
    /// How long a settled claim is kept.
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
    /// When the status ends: a running claim becomes unknown, any other is forgotten.
    pub(super) until: LogTime,
}

/// All claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    cfg: ClaimsConfig,
    pub(super) claims: BTreeMap<ClaimId, Claim>,
    pub(super) deadlines: BTreeSet<(LogTime, ClaimId)>,
    pub(super) held: BTreeMap<WorkspaceName, usize>,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Returns how many claims are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Decides on a request to run.
    pub fn claim(&mut self, req: &ClaimRequest, now: LogTime) -> ClaimOutcome {
        self.expire(now);
        if let Some(held) = self.claims.get(&req.id) {
            return held_outcome(held, req);
        }
        let held = self.held.entry(req.id.workspace.clone()).or_default();
        if *held >= self.cfg.per_workspace {
            return ClaimOutcome::TooMany;
        }
        *held += 1;
        let claim = Claim {
            content: req.content,
            attempt: req.attempt.clone(),
            status: ClaimStatus::Running,
            until: now + millis(req.run_limit),
        };
        self.put(req.id.clone(), claim);
        ClaimOutcome::Granted
    }

    /// Ends a claim; ignored unless the attempt holds it.
    pub fn settle(&mut self, req: &SettleRequest, now: LogTime) {
        self.expire(now);
        let Some(held) = self.claims.get(&req.id) else { return };
        let settled = matches!(held.status, ClaimStatus::Done(_));
        if held.attempt != req.attempt || settled {
            return;
        }
        let status = match req.settlement.clone() {
            Settlement::NotRun => {
                self.forget(&req.id);
                return;
            }
            Settlement::Done(answer) => ClaimStatus::Done(self.bounded(answer)),
            Settlement::Unknown => ClaimStatus::Unknown,
        };
        let until = now + millis(self.cfg.keep);
        let claim = Claim { status, until, ..held.clone() };
        self.put(req.id.clone(), claim);
    }

    fn bounded(&self, mut answer: KeptAnswer) -> KeptAnswer {
        answer.body = answer.body.filter(|body| body.len() <= self.cfg.max_answer);
        answer
    }

    fn put(&mut self, id: ClaimId, claim: Claim) {
        self.deadlines.insert((claim.until, id.clone()));
        if let Some(old) = self.claims.insert(id.clone(), claim.clone())
            && old.until != claim.until
        {
            self.deadlines.remove(&(old.until, id));
        }
    }

    fn forget(&mut self, id: &ClaimId) {
        let Some(claim) = self.claims.remove(id) else { return };
        self.deadlines.remove(&(claim.until, id.clone()));
        if let Some(held) = self.held.get_mut(&id.workspace) {
            *held -= 1;
            if *held == 0 {
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
                    let until = until + millis(self.cfg.keep);
                    self.put(id, Claim { status: ClaimStatus::Unknown, until, ..claim });
                }
                None => self.forget(&id),
            }
        }
    }
}

fn held_outcome(held: &Claim, req: &ClaimRequest) -> ClaimOutcome {
    if held.content != req.content {
        return ClaimOutcome::KeyReused;
    }
    match &held.status {
        ClaimStatus::Running if held.attempt == req.attempt => ClaimOutcome::Granted,
        ClaimStatus::Running => ClaimOutcome::Running,
        ClaimStatus::Done(answer) => ClaimOutcome::Kept(answer.clone()),
        ClaimStatus::Unknown => ClaimOutcome::Unknown,
    }
}

fn millis(duration: Duration) -> LogTime {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX / 4)
}
