//! State of one runner as seen by one box, without I/O.

use std::net::SocketAddr;
use std::time::Instant;

use super::prefill::PrefillBacklog;
use super::warmup::{ColdLimit, WarmupLimiter};
use crate::admission::memory::EngineMemory;
use crate::engine::EngineLoad;
use crate::ids::{FailureDomainName, RunnerName};
use crate::upstream_signals::RejectionGuard;

/// A runner as the fleet file defines it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerSpec {
    /// Name of the runner.
    pub name: RunnerName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: FailureDomainName,
    /// Number of requests that this box may run on it concurrently.
    pub slots: u64,
    /// Size of its memory in tokens, where it is known without a load report.
    pub memory: Option<u64>,
    /// Rate at which its link receives copied KV cache, in tokens per second; infinite if none is
    /// copied.
    pub copy_rate: f64,
}

#[derive(Debug, Clone)]
pub(super) struct RunnerState {
    pub(super) spec: RunnerSpec,
    /// Requests of this box that run on it.
    pub(super) running: u64,
    /// Whether it is still in the fleet file.
    pub(super) configured: bool,
    /// Whether it takes new work according to membership.
    pub(super) serving: bool,
    /// Failures since the last success that led to an ejection.
    pub(super) failures: u32,
    /// Faulty answers since the last success that have not led to an ejection; at most 1.
    pub(super) faults: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) load: Option<EngineLoad>,
    pub(super) memory: EngineMemory,
    /// Prompts that it has yet to prefill.
    pub(super) prefill: PrefillBacklog,
    /// KV cache that is being copied to it.
    pub(super) copies: CopyBacklog,
    /// Limits the requests of this box while it is cold.
    pub(super) warmup: WarmupLimiter,
    /// Rate limit while it is cold, if there is one.
    pub(super) cold_limit: Option<ColdLimit>,
    /// Limits the requests of this box while it is brittle; `None` until the first use.
    pub(super) rejections: Option<RejectionGuard>,
}

/// Tokens of copied KV cache that a runner has yet to receive, drained over time at the rate of its
/// link.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyBacklog {
    tokens: f64,
    updated: Option<Instant>,
}

impl CopyBacklog {
    /// Adds tokens; `rate` is in tokens per second.
    pub(super) fn add(&mut self, tokens: f64, rate: f64, now: Instant) {
        self.tokens = self.remaining(rate, now) + tokens;
        self.updated = Some(now);
    }

    /// Returns the tokens that are yet to be received.
    pub(super) fn remaining(&self, rate: f64, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        (self.tokens - elapsed * rate).max(0.0)
    }
}

impl RunnerState {
    pub(super) fn takes_work(&self, now: Instant) -> bool {
        self.configured && self.serving && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Returns whether it has a free slot; `use_ejected` also considers ejected runners.
    pub(super) fn has_slot(&self, now: Instant, use_ejected: bool) -> bool {
        let slots = if self.failures > 0 && !use_ejected { 1 } else { self.spec.slots };
        let open = if use_ejected { self.configured && self.serving } else { self.takes_work(now) };
        open && self.running < slots
    }

    /// Returns the load score: the fractions of slots and of memory in use plus the prefill backlog
    /// in seconds. The queue that the runner reports counts towards the slots, which includes
    /// requests of other boxes.
    pub(super) fn load_score(&self, now: Instant) -> f64 {
        let slots = self.spec.slots.max(1) as f64;
        let waiting = self.load.as_ref().map_or(0.0, |load| load.waiting as f64);
        let prefill = self.prefill.seconds(now);
        (self.running as f64 + waiting) / slots + self.memory.utilization(now) + prefill
    }
}
