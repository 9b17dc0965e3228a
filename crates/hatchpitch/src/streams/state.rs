//! State machine for the delivery of one answer, without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - tokens are delivered with indices 0, 1, 2, … without gaps or repetitions;
//! - all delivered tokens come from one generation: a generation is replaced only before
//!   a token was sent to the caller;
//! - events of a closed attempt have no effect.

use crate::engine::{EngineEvent, FinishReason};
use crate::ids::{AttemptId, GenerationId, TokenIndex};

/// Limits on retries for one answer.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// Maximum number of consecutive reconnects to one generation without a new token.
    pub relinks: u32,
    /// Maximum number of reruns on another engine before the first token is delivered.
    pub reruns: u32,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self { relinks: 3, reruns: 2 }
    }
}

/// Phase of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// An attempt is open.
    Open,
    /// The complete answer was delivered.
    Done,
    /// The answer failed and stays incomplete.
    Ended,
}

/// Action that the driver of the state machine has to take next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    /// Deliver this token to the caller.
    Deliver {
        /// Index of the token.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Nothing; the event was expected and needs no action.
    Nothing,
    /// Nothing; the engine preempted the generation.
    Preempted,
    /// Nothing; the event was late, repeated or of a closed attempt, and was ignored.
    Drop,
    /// Reconnect to the same generation with a new attempt, from this token on.
    Relink {
        /// Index of the first token wanted.
        from: TokenIndex,
    },
    /// Cancel the generation and start a new one on another engine.
    Rerun,
    /// Tell the caller that the answer is complete.
    Finish {
        /// Why the generation ended.
        reason: FinishReason,
        /// Number of tokens in the answer.
        tokens: u64,
    },
    /// Tell the caller that the answer failed and stays incomplete.
    Fail {
        /// Reason for the failure.
        cause: String,
    },
}

/// The state of one answer.
#[derive(Debug, Clone)]
pub struct StreamState {
    pub(super) generation: GenerationId,
    pub(super) attempt: AttemptId,
    pub(super) next: TokenIndex,
    pub(super) phase: Phase,
    /// Whether tokens are sent to the caller before the answer is complete.
    is_streaming: bool,
    /// Whether the answer began at another box, so that it must not be rerun.
    is_resumed: bool,
    relinks_left: u32,
    reruns_left: u32,
    limits: StreamLimits,
}

impl StreamState {
    /// Starts a new answer; `is_streaming` tells whether tokens are sent to the caller as they
    /// arrive.
    pub fn new(
        generation: GenerationId,
        attempt: AttemptId,
        is_streaming: bool,
        limits: StreamLimits,
    ) -> Self {
        Self {
            generation,
            attempt,
            next: 0,
            phase: Phase::Open,
            is_streaming,
            is_resumed: false,
            relinks_left: limits.relinks,
            reruns_left: limits.reruns,
            limits,
        }
    }

    /// Continues an answer that began at another box, from token `next` on.
    pub fn resume(
        generation: GenerationId,
        attempt: AttemptId,
        next: TokenIndex,
        limits: StreamLimits,
    ) -> Self {
        Self { next, is_resumed: true, ..Self::new(generation, attempt, true, limits) }
    }

    /// Returns the id of the generation that the answer comes from.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Returns the id of the open attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns the index of the next expected token.
    pub fn next_index(&self) -> TokenIndex {
        self.next
    }

    /// Returns the phase of the answer.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles an event of an engine.
    pub fn on_event(&mut self, event: EngineEvent) -> StreamStep {
        if self.phase != Phase::Open || event.attempt() != self.attempt {
            return StreamStep::Drop;
        }
        match event {
            EngineEvent::Token { index, text, .. } => self.on_token(index, text),
            EngineEvent::Heartbeat { .. } => StreamStep::Nothing,
            EngineEvent::Preempted { .. } => StreamStep::Preempted,
            EngineEvent::Done { tokens, reason, .. } => self.on_done(tokens, reason),
            EngineEvent::Failed { cause, .. } => self.on_generation_lost(&cause),
            EngineEvent::Superseded { .. } => self.fail("another box resumed this answer"),
        }
    }

    /// Handles the loss of the open attempt's connection, or its timeout without an event.
    pub fn on_link_lost(&mut self, cause: &str) -> StreamStep {
        if self.phase != Phase::Open {
            return StreamStep::Drop;
        }
        if self.relinks_left == 0 {
            return self.on_generation_lost(cause);
        }
        self.relinks_left -= 1;
        StreamStep::Relink { from: self.next }
    }

    /// Handles the loss of the generation: the engine died or gave it up.
    pub fn on_generation_lost(&mut self, cause: &str) -> StreamStep {
        if self.phase != Phase::Open {
            return StreamStep::Drop;
        }
        let nothing_delivered = !self.is_resumed && (self.next == 0 || !self.is_streaming);
        if nothing_delivered && self.reruns_left > 0 {
            self.reruns_left -= 1;
            return StreamStep::Rerun;
        }
        self.fail(cause)
    }

    /// Sets the new attempt on the same generation, after [`StreamStep::Relink`].
    pub fn relinked(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
    }

    /// Sets the new generation and its first attempt, after [`StreamStep::Rerun`].
    ///
    /// # Panics
    ///
    /// Panics if a token was sent to the caller: tokens of two generations are never mixed.
    pub fn rerun(&mut self, generation: GenerationId, attempt: AttemptId) {
        assert!(
            !self.is_resumed && (self.next == 0 || !self.is_streaming),
            "a token was already sent to the caller"
        );
        self.generation = generation;
        self.attempt = attempt;
        self.next = 0;
        self.relinks_left = self.limits.relinks;
    }

    /// Fails the answer, for example because the driver cannot continue.
    pub fn fail(&mut self, cause: &str) -> StreamStep {
        self.phase = Phase::Ended;
        StreamStep::Fail { cause: cause.to_owned() }
    }

    fn on_token(&mut self, index: TokenIndex, text: String) -> StreamStep {
        if index < self.next {
            return StreamStep::Drop;
        }
        if index > self.next {
            return self.on_link_lost("the engine skipped a token");
        }
        self.next += 1;
        self.relinks_left = self.limits.relinks;
        StreamStep::Deliver { index, text }
    }

    fn on_done(&mut self, tokens: u64, reason: FinishReason) -> StreamStep {
        if tokens > self.next {
            return self.on_link_lost("the engine ended before its last token");
        }
        if tokens < self.next {
            return self.fail("the engine reports fewer tokens than it sent");
        }
        self.phase = Phase::Done;
        StreamStep::Finish { reason, tokens }
    }
}
