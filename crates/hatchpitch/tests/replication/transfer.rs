//! Tests of the reassembly of large messages from their parts.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::replication::NodeId;
use hatchpitch::replication::transfer::{LogPart, PartAnswer, Reassembler, TransferId};
use serde_bytes::ByteBuf;

/// Time well above that after which an incomplete message is discarded.
const AFTER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

fn part(from: NodeId, transfer: TransferId, message: &[u8], at: usize, len: usize) -> LogPart {
    let end = (at + len).min(message.len());
    let bytes = ByteBuf::from(&message[at..end]);
    LogPart { from, transfer, total: message.len() as u64, offset: at as u64, bytes }
}

/// Adds a part; returns the answer and the bytes of a complete message.
fn take(
    reassembler: &mut Reassembler,
    part: LogPart,
    now: Instant,
) -> (PartAnswer, Option<Vec<u8>>) {
    let (answer, complete) = reassembler.take(part, now);
    (answer, complete.map(|message| message.bytes))
}

#[test]
fn message_is_reassembled_only_from_consecutive_parts() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let now = Instant::now();
        let mut reassembler = Reassembler::default();
        // For each of two senders: the message being sent and how many of its bytes have arrived.
        let mut sent: [(TransferId, Vec<u8>, usize); 2] = Default::default();
        for step in 0..u.int_in_range(1..=60)? {
            let from = u.int_in_range(0..=1)?;
            let (transfer, message, arrived) = &mut sent[from];
            if u.ratio(1, 8)? || *arrived >= message.len() {
                (*transfer, *arrived) = (step, 0);
                *message = (0..u.int_in_range(1..=50)?).map(|n: u8| n ^ step as u8).collect();
            }
            // A part at offset 0 would start the message again, so the wrong offset stays above 0.
            let (len, wrong) = (u.int_in_range(1..=20)?, u.ratio(1, 6)?);
            let next = part(from as NodeId, *transfer, message, *arrived, len);
            if wrong && next.offset > 1 {
                let misplaced = LogPart { offset: next.offset - 1, ..next };
                assert_eq!(take(&mut reassembler, misplaced, now), (PartAnswer::Refused, None));
                *arrived = message.len();
                continue;
            }
            *arrived = (*arrived + len).min(message.len());
            let whole = (*arrived == message.len()).then(|| message.clone());
            assert_eq!(take(&mut reassembler, next, now), (PartAnswer::Taken, whole));
        }
        Ok(())
    });
}

#[test]
fn reassembly_is_bounded() {
    let now = Instant::now();
    let mut reassembler = Reassembler::default();
    let first_part = |from| part(from, 1, b"a message", 0, 4);
    for from in 0..16 {
        assert_eq!(reassembler.take(first_part(from), now).0, PartAnswer::Taken);
    }
    assert_eq!(reassembler.take(first_part(16), now).0, PartAnswer::Refused);
    // Incomplete messages without new parts are discarded, which makes room.
    assert_eq!(reassembler.take(first_part(16), now + AFTER_IDLE_TIMEOUT).0, PartAnswer::Taken);
    let oversized = LogPart { total: u64::MAX, ..first_part(1) };
    assert_eq!(reassembler.take(oversized, now).0, PartAnswer::Refused);
    let exceeding_total = LogPart { total: 2, ..first_part(2) };
    assert_eq!(reassembler.take(exceeding_total, now).0, PartAnswer::Refused);
}
