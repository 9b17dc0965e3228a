//! Whose turn it is at each runner that leaves, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{AttemptId, RunnerName};

/// Time after which a turn ends by itself: a few times what one move takes.
const TURN_LIMIT: Duration = Duration::from_millis(900);
/// Time for which a runner that nobody asks about is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// A move that waits for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Waiter {
    pub(super) id: AttemptId,
    pub(super) at_stake: u64,
}

#[derive(Debug, Clone)]
pub(super) struct Queue {
    pub(super) current: Option<(AttemptId, Instant)>,
    pub(super) waiting: Vec<Waiter>,
    asked: Instant,
}

/// The turns at all runners that this box decides for.
#[derive(Debug, Clone, Default)]
pub struct Turns {
    pub(super) queues: BTreeMap<RunnerName, Queue>,
}

impl Turns {
    /// Asks for a turn; returns whether it is the asker's now.
    pub fn ask(&mut self, runner: &str, id: &str, at_stake: u64, now: Instant) -> bool {
        self.queues.retain(|_, queue| now.duration_since(queue.asked) < FORGET_AFTER);
        let queue = self.queues.entry(runner.to_owned()).or_insert_with(|| Queue {
            current: None,
            waiting: Vec::new(),
            asked: now,
        });
        queue.asked = now;
        let known = queue.current.as_ref().is_some_and(|(current, _)| current == id)
            || queue.waiting.iter().any(|waiter| waiter.id == id);
        if !known {
            queue.waiting.push(Waiter { id: id.to_owned(), at_stake });
        }
        queue.advance(now);
        queue.current.as_ref().is_some_and(|(current, _)| current == id)
    }

    /// Gives a turn back, or stops waiting for one.
    pub fn done(&mut self, runner: &str, id: &str, now: Instant) {
        let Some(queue) = self.queues.get_mut(runner) else { return };
        if queue.current.as_ref().is_some_and(|(current, _)| current == id) {
            queue.current = None;
        }
        queue.waiting.retain(|waiter| waiter.id != id);
        queue.advance(now);
    }
}

impl Queue {
    /// Gives the turn to the move with most at stake once nobody holds it.
    fn advance(&mut self, now: Instant) {
        let held = self.current.as_ref();
        if held.is_some_and(|(_, since)| now.duration_since(*since) < TURN_LIMIT) {
            return;
        }
        let next = self.waiting.iter().enumerate().max_by_key(|(at, waiter)| {
            // Among equals the first to ask.
            (waiter.at_stake, std::cmp::Reverse(*at))
        });
        let next = next.map(|(at, _)| at);
        self.current = next.map(|at| (self.waiting.remove(at).id, now));
    }
}
