//! Counts what waits to be sent to other boxes.
//!
//! A message is kept in memory until its connection has taken it, so a peer that
//! reads slowly, or many that ask at one time, show here before they show in the
//! memory of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that wait from which on nothing large is to be added. A link of 100 Mbit/s passes them in
/// 84 ms, so that heartbeats behind them arrive in time; and however many boxes ask, what is made
/// for them takes no more memory than this and one message.
const ROOM: usize = 1024 * 1024;

/// What waits at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Messages that no connection has taken whole.
    pub messages: usize,
    /// Their bytes.
    pub bytes: usize,
    /// The most bytes that waited at any moment so far.
    pub peak_bytes: usize,
}

/// Counts the messages of one process that wait to be sent; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Backlog(Arc<Counts>);

// The counts are atomic as a message's owner may be dropped by whoever holds its bytes last.
#[derive(Debug, Default)]
struct Counts {
    messages: AtomicUsize,
    bytes: AtomicUsize,
    peak_bytes: AtomicUsize,
}

/// A message that counts for as long as its bytes are held.
struct Counted {
    message: Vec<u8>,
    backlog: Backlog,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.message
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.backlog.0.messages.fetch_sub(1, Ordering::Relaxed);
        self.backlog.0.bytes.fetch_sub(self.message.len(), Ordering::Relaxed);
    }
}

impl Backlog {
    /// Returns what waits now.
    pub fn waiting(&self) -> Waiting {
        Waiting {
            messages: self.0.messages.load(Ordering::Relaxed),
            bytes: self.0.bytes.load(Ordering::Relaxed),
            peak_bytes: self.0.peak_bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns whether a large message may be added now.
    pub fn has_room(&self) -> bool {
        self.waiting().bytes <= ROOM
    }

    /// Counts a message until its bytes are dropped.
    pub fn count(&self, message: Vec<u8>) -> Bytes {
        self.0.messages.fetch_add(1, Ordering::Relaxed);
        let bytes = self.0.bytes.fetch_add(message.len(), Ordering::Relaxed) + message.len();
        self.0.peak_bytes.fetch_max(bytes, Ordering::Relaxed);
        Bytes::from_owner(Counted { message, backlog: self.clone() })
    }
}
