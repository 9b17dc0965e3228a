//! What a request requires of its runner and prefers.

use std::time::Instant;

use super::objective::PauseObjective;
use super::runner::{RunnerSpec, RunnerState};
use crate::ids::{AttemptId, FailureDomainName, Priority, RunnerName};

/// Load penalty of a runner in another failure domain than the preferred one: about the load of a
/// few requests.
const FAR_PENALTY: f64 = 0.15;

/// Load penalty per second of copying. A runner that leaves has two seconds to move all its
/// generations.
const COPY_WEIGHT: f64 = 3.0;
/// Load penalty of a runner whose link is receiving another copy. The final part of a copy, during
/// which its stream is paused, would wait behind the other one.
const SHARED_LINK_PENALTY: f64 = 0.3;
/// Factor by which a copy to another failure domain takes longer.
const FAR_COPY_FACTOR: f64 = 2.0;

/// Requirements and preferences of a request for its runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerQuery<'a> {
    /// Identifies the run.
    pub id: &'a AttemptId,
    /// Priority that its workspace pays for.
    pub priority: Priority,
    /// Runners that must not be picked.
    pub avoid: &'a [RunnerName],
    /// Failure domain whose runners are preferred.
    pub near: Option<&'a str>,
    /// Tokens of KV cache that are copied to the runner first; 0 for a new run.
    pub copied: u64,
    /// Failure domains whose runners may run it; empty allows all.
    pub within: &'a [FailureDomainName],
    /// Whether runners that advertise a rate limit are excluded.
    pub skips_limited: bool,
    /// Whether this box sends the request, so that the rests (`Retry-After` pauses) that runners
    /// requested from this box apply to it.
    pub sends_here: bool,
    /// Whether the request cannot be retried elsewhere if its runner rejects it.
    pub only_try: bool,
    /// Longest pause of its stream, if it has to keep one.
    pub objective: Option<PauseObjective>,
}

impl RunnerQuery<'_> {
    pub(super) fn allows(&self, spec: &RunnerSpec) -> bool {
        !self.avoid.contains(&spec.name)
            && (self.within.is_empty() || self.within.contains(&spec.failure_domain))
    }

    fn is_far(&self, spec: &RunnerSpec) -> bool {
        self.near.is_some_and(|near| near != spec.failure_domain)
    }

    pub(super) fn copy_factor(&self, spec: &RunnerSpec) -> f64 {
        if self.is_far(spec) { FAR_COPY_FACTOR } else { 1.0 }
    }

    /// Returns the load penalty for the failure domain of a runner and for copying to it.
    pub(super) fn placement_penalty(&self, runner: &RunnerState, now: Instant) -> f64 {
        let spec = &runner.spec;
        let far = if self.is_far(spec) { FAR_PENALTY } else { 0.0 };
        if self.copied == 0 {
            return far;
        }
        let pending = runner.copies.remaining(spec.copy_rate, now);
        let shared = if pending > 0.0 { SHARED_LINK_PENALTY } else { 0.0 };
        let own = self.copied as f64 * self.copy_factor(spec);
        let seconds = (pending + own) / spec.copy_rate;
        far + shared + seconds * COPY_WEIGHT
    }
}
