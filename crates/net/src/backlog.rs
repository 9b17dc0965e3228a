//! Accounts for messages queued to be sent to other boxes.
//!
//! A message stays in memory until its connection has accepted it, so a slow
//! reader or many simultaneous requests show up here before they show up in the
//! memory usage of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

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
pub struct Backlog(Arc<Counters>);

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
    backlog: Backlog,
}

impl AsRef<[u8]> for QueuedMessage {
    fn as_ref(&self) -> &[u8] {
        &self.message
    }
}

impl Drop for QueuedMessage {
    fn drop(&mut self) {
        self.backlog.0.messages.fetch_sub(1, Ordering::Relaxed);
        self.backlog.0.bytes.fetch_sub(self.message.len(), Ordering::Relaxed);
    }
}

impl Backlog {
    /// Returns the current counts.
    pub fn waiting(&self) -> Waiting {
        Waiting {
            messages: self.0.messages.load(Ordering::Relaxed),
            bytes: self.0.bytes.load(Ordering::Relaxed),
            peak_bytes: self.0.peak_bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns whether a large message may be queued now.
    pub fn has_room(&self) -> bool {
        self.waiting().bytes <= LARGE_MESSAGE_THRESHOLD
    }

    /// Adds a message to the backlog until the returned bytes are dropped.
    pub fn count(&self, message: Vec<u8>) -> Bytes {
        self.0.messages.fetch_add(1, Ordering::Relaxed);
        let bytes = self.0.bytes.fetch_add(message.len(), Ordering::Relaxed) + message.len();
        self.0.peak_bytes.fetch_max(bytes, Ordering::Relaxed);
        Bytes::from_owner(QueuedMessage { message, backlog: self.clone() })
    }
}
