//! Carries a large message between replicas in parts.
//!
//! Each part is a call of its own with its own time, so that a message may take as long as the
//! link needs for it, and heartbeats pass between its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch_net::{BoxClient, CallError};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::messages::{LogBatch, NodeId};
use super::task::SEND_TIMEOUT;

/// Path of parts of a large message.
pub const PART_PATH: &str = "/box/log-part";
/// Bytes of a part: a link of 10 Mbit/s passes it in 52 ms, far within the time for a call.
const PART_BYTES: usize = 64 * 1024;
/// Largest message that is put together, in bytes: as much as a message in one piece may have.
const MAX_BYTES: u64 = 64 * 1024 * 1024;
/// Messages that are put together at one time: one for each other replica of a large core.
const MAX_OPEN: usize = 16;
/// Time without a part after which a message is given up: a few calls that failed.
const GIVE_UP: Duration = Duration::from_secs(5);

/// Number of a message among those of one sender.
pub type TransferId = u64;

/// A part of an encoded [`LogBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPart {
    /// Sender.
    pub from: NodeId,
    /// The message.
    pub transfer: TransferId,
    /// Length of the whole message, in bytes.
    pub total: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub bytes: ByteBuf,
}

/// The answer to a [`LogPart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartAnswer {
    /// It was taken.
    Taken,
    /// It is not the next part of a message that is put together here; nothing of it is kept.
    Refused,
}

/// A message that is being put together.
#[derive(Debug)]
struct Open {
    transfer: TransferId,
    total: usize,
    bytes: Vec<u8>,
    touched: Instant,
}

/// The messages that are being put together at one replica.
#[derive(Debug, Default)]
pub struct Reassembler {
    open: BTreeMap<NodeId, Open>,
}

impl Reassembler {
    /// Takes in a part; returns the whole message with its last one.
    pub fn take(&mut self, part: LogPart, now: Instant) -> (PartAnswer, Option<Vec<u8>>) {
        self.open.retain(|_, open| now.duration_since(open.touched) < GIVE_UP);
        let LogPart { from, transfer, total, offset, bytes } = part;
        if offset == 0 {
            let may_begin =
                total <= MAX_BYTES && (self.open.len() < MAX_OPEN || self.open.contains_key(&from));
            if !may_begin {
                return (PartAnswer::Refused, None);
            }
            let open = Open { transfer, total: total as usize, bytes: Vec::new(), touched: now };
            self.open.insert(from, open);
        }
        let next = self.open.get_mut(&from).filter(|open| {
            let (held, added) = (open.bytes.len(), bytes.len());
            open.transfer == transfer && held as u64 == offset && held + added <= open.total
        });
        let Some(open) = next else {
            self.open.remove(&from);
            return (PartAnswer::Refused, None);
        };
        open.bytes.extend_from_slice(&bytes);
        open.touched = now;
        if open.bytes.len() < open.total {
            return (PartAnswer::Taken, None);
        }
        let whole = self.open.remove(&from).map(|open| open.bytes);
        (PartAnswer::Taken, whole)
    }
}

/// Sends a message part by part.
///
/// # Errors
///
/// Returns the error of the first part that did not arrive; `Ok(false)` if one was refused.
pub async fn send(
    client: &BoxClient,
    addr: SocketAddr,
    from: NodeId,
    transfer: TransferId,
    batch: LogBatch,
) -> Result<bool, CallError> {
    let message = rmp_serde::to_vec_named(&batch).expect("messages of the log always encode");
    drop(batch);
    let total = message.len() as u64;
    let mut offset = 0;
    for bytes in message.chunks(PART_BYTES) {
        let part = LogPart { from, transfer, total, offset, bytes: ByteBuf::from(bytes) };
        let answer = client.call::<_, PartAnswer>(addr, PART_PATH, &part, SEND_TIMEOUT).await?;
        if answer == PartAnswer::Refused {
            return Ok(false);
        }
        offset += bytes.len() as u64;
    }
    Ok(true)
}
