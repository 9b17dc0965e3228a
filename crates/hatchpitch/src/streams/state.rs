//! The life of one answer as a state machine without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - tokens are delivered with indices 0, 1, 2, … without a gap or repetition;
//! - all delivered tokens come from one generation: a generation is only
//!   replaced while nothing was delivered;
//! - a message of a closed attempt changes nothing.

use crate::engine::{EngineEvent, FinishReason};
use crate::ids::{AttemptId, GenerationId, TokenIndex};

/// Bounds on what is tried for one answer.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// Links that are made anew to one generation without progress between.
    pub relinks: u32,
    /// Generations that are run elsewhere before the first token.
    pub reruns: u32,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self { relinks: 3, reruns: 2 }
    }
}

/// Where an answer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// An attempt is open.
    Open,
    /// The caller has the whole answer.
    Done,
    /// The answer ended without being whole.
    Ended,
}

/// What the driver has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    /// Pass this token to the caller.
    Deliver {
        /// Its position.
        index: TokenIndex,
        /// Its text.
        text: String,
    },
    /// Nothing; the message was expected.
    Nothing,
    /// Nothing; the generation was pushed aside at its engine.
    Preempted,
    /// Nothing; the message was late, repeated or of a closed attempt.
    Drop,
    /// Open a new attempt on the same generation, from this token on.
    Relink {
        /// First token wanted.
        from: TokenIndex,
    },
    /// Run a new generation elsewhere; the old one is to be cancelled.
    Rerun,
    /// Tell the caller that the answer is whole.
    Finish {
        /// Why the generation ended.
        reason: FinishReason,
        /// How many tokens it has.
        tokens: u64,
    },
    /// Tell the caller that the answer will not become whole.
    Fail {
        /// Why.
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
    /// Whether the caller may see tokens before the end.
    streams: bool,
    /// Whether the answer began at another box, so that it cannot be run anew.
    resumed: bool,
    relinks_left: u32,
    reruns_left: u32,
    limits: StreamLimits,
}

impl StreamState {
    /// Starts a new answer; `streams` tells whether tokens go out as they come.
    pub fn new(
        generation: GenerationId,
        attempt: AttemptId,
        streams: bool,
        limits: StreamLimits,
    ) -> Self {
        Self {
            generation,
            attempt,
            next: 0,
            phase: Phase::Open,
            streams,
            resumed: false,
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
        Self { next, resumed: true, ..Self::new(generation, attempt, true, limits) }
    }

    /// Returns the generation that the answer comes from.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Returns the open attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns the token awaited next.
    pub fn next_index(&self) -> TokenIndex {
        self.next
    }

    /// Returns where the answer stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes in an event of an engine.
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

    /// Notes that the link of the open attempt broke or fell silent.
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

    /// Notes that the generation cannot be read any more.
    pub fn on_generation_lost(&mut self, cause: &str) -> StreamStep {
        if self.phase != Phase::Open {
            return StreamStep::Drop;
        }
        let nothing_seen = !self.resumed && (self.next == 0 || !self.streams);
        if nothing_seen && self.reruns_left > 0 {
            self.reruns_left -= 1;
            return StreamStep::Rerun;
        }
        self.fail(cause)
    }

    /// Opens a new attempt on the same generation.
    pub fn relinked(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
    }

    /// Opens the first attempt on a new generation, after [`StreamStep::Rerun`].
    ///
    /// # Panics
    ///
    /// Panics if the caller has seen a token: tokens of two generations are never joined.
    pub fn rerun(&mut self, generation: GenerationId, attempt: AttemptId) {
        assert!(!self.resumed && (self.next == 0 || !self.streams), "the caller saw a token");
        self.generation = generation;
        self.attempt = attempt;
        self.next = 0;
        self.relinks_left = self.limits.relinks;
    }

    /// Ends the answer because the driver cannot go on.
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
