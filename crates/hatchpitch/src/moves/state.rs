//! The queues of moves at the runners that send or receive copies, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{AttemptId, RunnerName};

/// Time after which a turn expires if it is not released: a few times the duration of a move.
const TURN_EXPIRY: Duration = Duration::from_millis(900);
/// Time without requests after which the queue of a runner is discarded.
const IDLE_QUEUE_EXPIRY: Duration = Duration::from_secs(30);

/// Time without a poll after which a waiting move is discarded, because its box is dead or its
/// withdrawal was lost. A poll takes at most 300 ms; a move that is discarded in error queues again
/// with its next poll.
const WAITER_EXPIRY: Duration = Duration::from_millis(400);

/// A move that waits for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Waiter {
    pub(super) id: AttemptId,
    pub(super) at_stake: u64,
    /// When it was last polled for.
    polled: Instant,
}

/// The moves at one runner.
#[derive(Debug, Clone)]
pub(super) struct Queue {
    /// The move that has the turn, and the time at which it got it.
    pub(super) current: Option<(AttemptId, Instant)>,
    pub(super) waiting: Vec<Waiter>,
    last_request: Instant,
}

/// The turns of one kind at all runners that this box owns.
#[derive(Debug, Clone, Default)]
pub struct Turns {
    pub(super) queues: BTreeMap<RunnerName, Queue>,
}

impl Turns {
    /// Requests a turn for the move `id`, or polls an earlier request. Returns whether the move has
    /// the turn now.
    pub fn request(&mut self, runner: &str, id: &str, at_stake: u64, now: Instant) -> bool {
        self.queues.retain(|_, queue| now.duration_since(queue.last_request) < IDLE_QUEUE_EXPIRY);
        let queue = self.queues.entry(runner.to_owned()).or_insert_with(|| Queue {
            current: None,
            waiting: Vec::new(),
            last_request: now,
        });
        queue.last_request = now;
        let has_turn = queue.current.as_ref().is_some_and(|(current, _)| current == id);
        match queue.waiting.iter_mut().find(|waiter| waiter.id == id) {
            Some(waiter) => waiter.polled = now,
            None if has_turn => {}
            None => queue.waiting.push(Waiter { id: id.to_owned(), at_stake, polled: now }),
        }
        queue.advance(now);
        queue.current.as_ref().is_some_and(|(current, _)| current == id)
    }

    /// Releases the turn of the move `id`, or removes it from the queue.
    pub fn release(&mut self, runner: &str, id: &str, now: Instant) {
        let Some(queue) = self.queues.get_mut(runner) else { return };
        if queue.current.as_ref().is_some_and(|(current, _)| current == id) {
            queue.current = None;
        }
        queue.waiting.retain(|waiter| waiter.id != id);
        queue.advance(now);
    }
}

impl Queue {
    /// Grants the turn to the waiting move with the most at stake if no move has an unexpired turn.
    fn advance(&mut self, now: Instant) {
        let current = self.current.as_ref();
        if current.is_some_and(|(_, since)| now.duration_since(*since) < TURN_EXPIRY) {
            return;
        }
        self.waiting.retain(|waiter| now.duration_since(waiter.polled) < WAITER_EXPIRY);
        let next = self.waiting.iter().enumerate().max_by_key(|(at, waiter)| {
            // Ties go to the earliest request.
            (waiter.at_stake, std::cmp::Reverse(*at))
        });
        let next = next.map(|(at, _)| at);
        self.current = next.map(|at| (self.waiting.remove(at).id, now));
    }
}
