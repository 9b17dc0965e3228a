//! Accounts for messages queued to be sent to other boxes.
//!
//! A message stays in memory until its connection has accepted it, so a slow
//! reader or many simultaneous requests show up here before they show up in the
//! memory usage of the process. Each message takes its size from the memory budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

use crate::memory::{Holder, MemoryBudget, MemoryError, Origin, Reservation, SMALL_RESERVATION};

/// Queued bytes above which no further large message should be queued. A link of 100 Mbit/s sends
/// this many in 84 ms, so heartbeats queued behind them still arrive in time. It also bounds the
/// memory for large messages to this plus one message, however many boxes request them.
const LARGE_MESSAGE_THRESHOLD: usize = 1024 * 1024;

/// Snapshot of a [`Backlog`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Messages not yet fully accepted by a connection.
    pub messages: usize,
    /// Total size of these messages, in bytes.
    pub bytes: usize,
    /// Highest value of `bytes` so far.
    pub peak_bytes: usize,
}

/// Counts the queued messages of one process; clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    counters: Arc<Counters>,
    memory: MemoryBudget,
}

// The counters are atomic because `Bytes::from_owner` requires a `Send` owner, which is dropped
// wherever the last handle to its bytes is.
#[derive(Debug, Default)]
struct Counters {
    messages: AtomicUsize,
    bytes: AtomicUsize,
    peak_bytes: AtomicUsize,
}

/// Owner of a message's bytes; subtracts the message from the backlog when dropped.
struct QueuedMessage {
    message: Vec<u8>,
    counters: Arc<Counters>,
    _held: Reservation,
}

impl AsRef<[u8]> for QueuedMessage {
    fn as_ref(&self) -> &[u8] {
        &self.message
    }
}

impl Drop for QueuedMessage {
    fn drop(&mut self) {
        self.counters.messages.fetch_sub(1, Ordering::Relaxed);
        self.counters.bytes.fetch_sub(self.message.len(), Ordering::Relaxed);
    }
}

impl Backlog {
    /// Creates an empty backlog whose messages take their size from `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        Self { counters: Arc::default(), memory }
    }

    /// Returns the memory budget of the process.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Returns the current counts.
    pub fn waiting(&self) -> Waiting {
        Waiting {
            messages: self.counters.messages.load(Ordering::Relaxed),
            bytes: self.counters.bytes.load(Ordering::Relaxed),
            peak_bytes: self.counters.peak_bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns whether a large message may be queued now.
    pub fn has_room(&self) -> bool {
        self.waiting().bytes <= LARGE_MESSAGE_THRESHOLD
    }

    /// Adds a message for `path` to the backlog until the returned bytes are dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] if the budget has no room for the message.
    pub fn count(&self, path: &str, message: Vec<u8>) -> Result<Bytes, MemoryError> {
        let held = self.memory.reserve(Holder::BoxMessage, Origin::path(path), message.len())?;
        Ok(self.queue(message, held))
    }

    /// Adds an answer to the backlog until the returned bytes are dropped. A small one is sent also
    /// if there is no room: it may say that something was done, which its absence would deny.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] if the budget has no room for a large answer.
    pub fn count_answer(&self, message: Vec<u8>) -> Result<Bytes, MemoryError> {
        let held = self.memory.open(Holder::BoxMessage, Origin::default());
        match held.resize(message.len()) {
            Err(err) if message.len() > SMALL_RESERVATION => Err(err),
            _ => Ok(self.queue(message, held)),
        }
    }

    fn queue(&self, message: Vec<u8>, held: Reservation) -> Bytes {
        let counters = self.counters.clone();
        counters.messages.fetch_add(1, Ordering::Relaxed);
        let bytes = counters.bytes.fetch_add(message.len(), Ordering::Relaxed) + message.len();
        counters.peak_bytes.fetch_max(bytes, Ordering::Relaxed);
        Bytes::from_owner(QueuedMessage { message, counters, _held: held })
    }
}
