//! Memory of a connection that requests arrive on: its buffers, and the head that is being received.
//!
//! The HTTP library keeps a head until it is complete, in a buffer that grows as it arrives. Peers
//! that send heads slowly, or without end, hold these buffers for as long as a head may take.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::memory::{Holder, MemoryBudget, MemoryError, Origin, Reservation};

/// Memory of a connection apart from the buffers of its socket, in bytes: the initial buffers of the
/// HTTP library and the state of its task.
const STATE_BYTES: usize = 10 * 1024;
/// Ratio of the memory that an incomplete head takes to its length: the buffer grows by doubling and
/// is copied as it does.
const HEAD_FACTOR: usize = 3;
/// Ratio of what a connection takes to what is reserved for it. Its buffers are counted whole, unlike
/// those of other holders, for which the budget leaves as much again.
const BUDGET_RATIO: usize = 2;
/// Memory of a head that the buffers of its connection hold, in bytes.
const FREE_HEAD_BYTES: usize = 12 * 1024;
/// Longest wait of a new connection for room. Its peer's request waits in the system meanwhile.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts to get room within that time, each after another head was given up.
const MAX_ATTEMPTS: u32 = 20;

/// Memory of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
    _held: Reservation,
    /// Memory of the head that is being received.
    head: Reservation,
    /// Bytes of the current head that have arrived.
    head_bytes: Cell<usize>,
}

impl ConnectionMemory {
    /// Reserves the memory of a connection whose socket is read and written in steps of `io_bytes`.
    ///
    /// If there is no room, the connection with the longest unfinished head makes some: a head that
    /// takes its time must not keep others out.
    ///
    /// # Errors
    ///
    /// Returns a [`MemoryError`] if there is no room for a further connection.
    pub(crate) async fn open(
        budget: &MemoryBudget,
        peer: SocketAddr,
        io_bytes: usize,
    ) -> Result<Self, MemoryError> {
        let idle_bytes = (STATE_BYTES + 2 * io_bytes) / BUDGET_RATIO;
        let held = budget.open(Holder::Connection, Origin::peer(peer));
        let mut attempts = 1;
        while let Err(err) = held.grow(idle_bytes, ROOM_TIMEOUT / MAX_ATTEMPTS).await {
            if attempts == MAX_ATTEMPTS {
                return Err(err);
            }
            attempts += 1;
            // Others may take the room that one of them makes.
            if let Some(revoked) = budget.revoke_largest_of(Holder::Head, 0) {
                log::info!(
                    peer:% = revoked.origin.peer.unwrap_or(peer), bytes = revoked.bytes;
                    "a connection with an unfinished head is closed, as memory is short"
                );
            }
        }
        let head = budget.open(Holder::Head, Origin::peer(peer));
        Ok(Self { _held: held, head, head_bytes: Cell::new(0) })
    }

    /// Counts bytes of a head that is not complete.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub(crate) fn add_head_bytes(&self, len: usize) -> io::Result<()> {
        self.head_bytes.set(self.head_bytes.get() + len);
        let needed = HEAD_FACTOR * self.head_bytes.get() / BUDGET_RATIO;
        self.head.resize(needed.saturating_sub(FREE_HEAD_BYTES)).map_err(io::Error::other)
    }

    /// Records that the head is complete.
    pub(crate) fn end_head(&self) {
        if self.head_bytes.replace(0) > 0 {
            // Shrinking needs no room.
            let _ = self.head.resize(0);
        }
    }

    /// Waits until the memory of an unfinished head is taken back.
    pub(crate) async fn revoked(&self) {
        self.head.revoked().await;
    }
}
