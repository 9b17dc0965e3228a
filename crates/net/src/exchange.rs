//! State of one request and its response that their connection shares with their sender.
//!
//! The end of the connection marks the end of a response that has neither a length nor chunks, so it
//! has to be told apart from a reset. The system reports a reset to the first operation that meets
//! it, which may be a write; a read after that sees an orderly end.

use std::cell::Cell;
use std::io;

/// Longest response head together with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// A request and its response on a connection of their own.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Bytes that may still be read before the head of the response is complete; `None` from then on.
    head_left: Cell<Option<usize>>,
}

impl Exchange {
    pub(crate) fn new() -> Self {
        Self { head_left: Cell::new(Some(MAX_HEAD_BYTES)) }
    }

    /// Records that the head of the response is complete.
    pub(crate) fn record_head(&self) {
        self.head_left.set(None);
    }

    /// Counts received bytes until the head is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too long.
    pub(crate) fn record_received(&self, len: usize) -> io::Result<()> {
        let Some(left) = self.head_left.get() else { return Ok(()) };
        let left = left.checked_sub(len);
        let left = left.ok_or_else(|| io::Error::other("the head of the response is too long"))?;
        self.head_left.set(Some(left));
        Ok(())
    }
}
