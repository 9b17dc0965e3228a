//! Requests for slots, and their refusals.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::lengths::LengthModel;
use crate::admission::memory::Candidate;
use crate::ids::{AttemptId, FailureDomainName, Priority, RequestKind, RunnerName, WorkspaceName};
use crate::routing::PauseObjective;
use crate::routing::state::RunnerQuery;

/// Range of the longest pause that a request may state: values outside it have the same effect.
const MIN_MAX_GAP: Duration = Duration::from_millis(1);
const MAX_MAX_GAP: Duration = Duration::from_secs(60);
/// Expected output of a request before any output length was observed, in tokens.
pub(super) const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// A request for a slot on an engine, as sent to the owner of the engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the run.
    pub id: AttemptId,
    /// Workspace that the run is charged to.
    pub workspace: WorkspaceName,
    /// Priority; larger values are served first.
    pub priority: Priority,
    /// Kind of request. Output lengths are assumed to be similar within a kind.
    pub kind: RequestKind,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Upper bound on the output, in tokens.
    pub max_tokens: u64,
    /// Runners that must not be used, because they failed this request before.
    pub avoid: Vec<RunnerName>,
    /// Failure domain whose runners are preferred unless they are much busier.
    #[serde(default)]
    pub near: Option<FailureDomainName>,
    /// Tokens of state to be copied from another runner first; 0 for a new run.
    #[serde(default)]
    pub copied: u64,
    /// Maximum time in the queue, if it is shorter than the pool's.
    #[serde(default)]
    pub max_wait: Option<Duration>,
    /// Longest expected wait that the request accepts, if it is shorter than the pool's. A longer
    /// one leads to an immediate refusal.
    #[serde(default)]
    pub accepts: Option<Duration>,
    /// Wait from which on it is served after all other requests, if that is not `accepts`.
    #[serde(default)]
    pub overdue_after: Option<Duration>,
    /// Failure domains whose runners may run it; empty means all.
    #[serde(default)]
    pub within: Vec<FailureDomainName>,
    /// Maximum wait for runners that are at their rate limits or in a rest period, if it is shorter
    /// than the pool's.
    #[serde(default)]
    pub limit_wait: Option<Duration>,
    /// Whether runners that announce a rate limit are excluded.
    #[serde(default)]
    pub skips_limited: bool,
    /// Whether this box sends the request, so that the rest periods that runners asked of this box
    /// apply. Not serialized: it is always false at another box.
    #[serde(skip)]
    pub sends_here: bool,
    /// Whether the request cannot be sent to another runner if this one rejects it.
    #[serde(skip)]
    pub only_try: bool,
    /// Longest time between two events that its route allows, if it is a stream that has kept it so
    /// far.
    #[serde(default)]
    pub max_gap: Option<Duration>,
    /// Number of output tokens that an event of its stream holds.
    #[serde(default)]
    pub event_tokens: u64,
}

impl SlotRequest {
    /// Returns whether the request's own constraints allow a runner.
    pub fn may_run_at(&self, runner: &RunnerName, domain: &FailureDomainName) -> bool {
        !self.avoid.contains(runner) && (self.within.is_empty() || self.within.contains(domain))
    }

    /// Reduces the waits that it accepts by a time that it has already waited elsewhere.
    pub fn charge_wait(&mut self, waited: Duration) {
        for limit in [&mut self.max_wait, &mut self.accepts, &mut self.overdue_after] {
            *limit = limit.map(|limit| limit.saturating_sub(waited));
        }
    }

    /// Adjusts the waits of a request that goes on waiting at another owner. It was accepted, so it
    /// is not refused for its expected wait again.
    pub fn continue_wait(&mut self, waited: Duration) {
        self.overdue_after = self.overdue_after.or(self.accepts.take());
        self.accepts = None;
        for limit in [&mut self.max_wait, &mut self.overdue_after] {
            *limit = limit.map(|limit| limit.saturating_sub(waited));
        }
    }

    /// Returns the pause that its stream has to keep, if any. A request that continues elsewhere may
    /// produce at most `max_tokens` more.
    pub(super) fn objective(&self, lengths: &LengthModel) -> Option<PauseObjective> {
        let expected = lengths.mean_of(&self.kind, DEFAULT_OUTPUT_TOKENS);
        let tokens = expected.min(self.max_tokens as f64);
        let events = tokens / self.event_tokens.max(1) as f64;
        let max_gap = self.max_gap?.clamp(MIN_MAX_GAP, MAX_MAX_GAP);
        Some(PauseObjective { max_gap, events })
    }

    pub(super) fn asked(&self, lengths: &LengthModel) -> RunnerQuery<'_> {
        let near = self.near.as_deref();
        RunnerQuery {
            id: &self.id,
            priority: self.priority,
            avoid: &self.avoid,
            near,
            copied: self.copied,
            within: &self.within,
            skips_limited: self.skips_limited,
            sends_here: self.sends_here,
            only_try: self.only_try,
            objective: self.objective(lengths),
        }
    }

    pub(super) fn candidate(&self) -> Candidate {
        Candidate { kind: self.kind.clone(), prompt: self.prompt, max_output: self.max_tokens }
    }
}

/// The refusal of a request that was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason, as reported to the caller.
    pub cause: String,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(cause: &str, retry_after: Duration) -> Self {
        Self { cause: cause.to_owned(), retry_after }
    }
}
