//! Transfers a large message between replicas in parts.
//!
//! Each part is a separate call with its own timeout. A message may therefore take as long as the
//! link needs, and heartbeats can be sent between its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch_net::{BoxClient, CallError, Holder, MemoryBudget, Origin, Reservation};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::messages::{LogBatch, NodeId};
use super::task::SEND_TIMEOUT;

/// Path of [`LogPart`] calls.
pub const PART_PATH: &str = "/box/log-part";
/// Size of a part in bytes. A link of 10 Mbit/s transfers it in 52 ms, far below the call timeout.
const PART_BYTES: usize = 64 * 1024;
/// Maximum size of an encoded [`LogPart`], in bytes: its content and its other fields.
pub const MAX_PART_MESSAGE: usize = PART_BYTES + 1024;
/// Maximum size of a reassembled message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024 * 1024;
/// Ratio of the memory that a message takes until the replica has it to its size: its bytes, and its
/// decoded copy.
const MEMORY_FACTOR: usize = 2;
/// Maximum number of messages under reassembly: one per peer in a large group of control boxes.
const MAX_PARTIALS: usize = 16;
/// Time without a new part after which an incomplete message is discarded: a few failed calls.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Id of a message, distinct among those of one sender.
pub type TransferId = u64;

/// A part of an encoded [`LogBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPart {
    /// Id of the sender.
    pub from: NodeId,
    /// Id of the message.
    pub transfer: TransferId,
    /// Length of the complete message, in bytes.
    pub total: u64,
    /// Offset of the part in the message, in bytes.
    pub offset: u64,
    /// Content of the part.
    pub bytes: ByteBuf,
}

/// Answer to a [`LogPart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartAnswer {
    /// The part was accepted.
    Taken,
    /// The part was rejected: it is not the next one of a message under reassembly, or it exceeds a
    /// limit. Any incomplete message of the sender may have been discarded.
    Refused,
}

/// A message under reassembly.
#[derive(Debug)]
struct Partial {
    transfer: TransferId,
    total: usize,
    bytes: Vec<u8>,
    last_part_at: Instant,
    held: Reservation,
}

/// A complete message.
#[derive(Debug)]
pub struct CompleteMessage {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Memory for its bytes and its decoded copy.
    pub held: Reservation,
}

/// Reassembles large messages from their parts; holds at most one message per sender.
#[derive(Debug, Default)]
pub struct Reassembler {
    partials: BTreeMap<NodeId, Partial>,
    memory: MemoryBudget,
}

impl Reassembler {
    /// Creates a reassembler that takes the memory of its messages from `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        Self { partials: BTreeMap::new(), memory }
    }

    /// Adds a part. Returns the complete message together with the answer to its last part. Refuses
    /// a message for which there is no memory, so that its sender repeats it later.
    pub fn take(&mut self, part: LogPart, now: Instant) -> (PartAnswer, Option<CompleteMessage>) {
        self.partials.retain(|_, partial| now.duration_since(partial.last_part_at) < IDLE_TIMEOUT);
        let LogPart { from, transfer, total, offset, bytes } = part;
        if offset == 0 {
            let accepted = total <= MAX_MESSAGE_BYTES
                && (self.partials.len() < MAX_PARTIALS || self.partials.contains_key(&from));
            // A message that its sender has given up makes room for the next one.
            self.partials.remove(&from);
            let total = total as usize;
            let held = match accepted {
                true => self.reserve(total),
                false => None,
            };
            let Some(held) = held else { return (PartAnswer::Refused, None) };
            let bytes = Vec::with_capacity(total);
            let partial = Partial { transfer, total, bytes, last_part_at: now, held };
            self.partials.insert(from, partial);
        }
        let next = self.partials.get_mut(&from).filter(|partial| {
            let (received, added) = (partial.bytes.len(), bytes.len());
            partial.transfer == transfer
                && received as u64 == offset
                && received + added <= partial.total
        });
        let Some(partial) = next else {
            self.partials.remove(&from);
            return (PartAnswer::Refused, None);
        };
        partial.bytes.extend_from_slice(&bytes);
        partial.last_part_at = now;
        if partial.bytes.len() < partial.total {
            return (PartAnswer::Taken, None);
        }
        let complete = self.partials.remove(&from);
        let message = complete.map(|Partial { bytes, held, .. }| CompleteMessage { bytes, held });
        (PartAnswer::Taken, message)
    }

    fn reserve(&self, total: usize) -> Option<Reservation> {
        let origin = Origin::path(PART_PATH);
        let held = self.memory.reserve(Holder::Transfer, origin, total * MEMORY_FACTOR);
        held.inspect_err(|err| {
            log::warn!(bytes = total; "large message of the log refused for now: {err}");
        })
        .ok()
    }
}

/// Sends a message in parts. `held` counts the message and its encoded copy; the former is dropped
/// before the first part is sent. Returns whether the receiver accepted all of them; stops at the first
/// one that it refuses.
///
/// # Errors
///
/// Returns the error of the first failed call.
pub async fn send(
    client: &BoxClient,
    addr: SocketAddr,
    from: NodeId,
    transfer: TransferId,
    batch: LogBatch,
    held: Option<Reservation>,
) -> Result<bool, CallError> {
    let message = rmp_serde::to_vec_named(&batch).expect("log messages can always be encoded");
    drop(batch);
    if let Some(held) = &held {
        held.shrink(held.bytes() / 2);
    }
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
