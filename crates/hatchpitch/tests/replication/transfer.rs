//! Large messages that are put together from their parts.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::replication::NodeId;
use hatchpitch::replication::transfer::{LogPart, PartAnswer, Reassembler, TransferId};
use serde_bytes::ByteBuf;

/// Time without a part after which a message is surely given up.
const LONG: Duration = Duration::from_secs(60);

fn part(from: NodeId, transfer: TransferId, message: &[u8], at: usize, len: usize) -> LogPart {
    let end = (at + len).min(message.len());
    let bytes = ByteBuf::from(&message[at..end]);
    LogPart { from, transfer, total: message.len() as u64, offset: at as u64, bytes }
}

#[test]
fn parts_in_order_make_the_message_and_nothing_else_does() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let now = Instant::now();
        let mut reassembler = Reassembler::default();
        // What each of two senders sends now, and how much of it has arrived.
        let mut sent: [(TransferId, Vec<u8>, usize); 2] = Default::default();
        for step in 0..u.int_in_range(1..=60)? {
            let from = u.int_in_range(0..=1)?;
            let (transfer, message, arrived) = &mut sent[from];
            if u.ratio(1, 8)? || *arrived >= message.len() {
                (*transfer, *arrived) = (step, 0);
                *message = (0..u.int_in_range(1..=50)?).map(|n: u8| n ^ step as u8).collect();
            }
            // A part that begins at 0 would begin the message anew.
            let (len, wrong) = (u.int_in_range(1..=20)?, u.ratio(1, 6)?);
            let next = part(from as NodeId, *transfer, message, *arrived, len);
            if wrong && next.offset > 1 {
                let late = LogPart { offset: next.offset - 1, ..next };
                assert_eq!(reassembler.take(late, now), (PartAnswer::Refused, None));
                *arrived = message.len();
                continue;
            }
            *arrived = (*arrived + len).min(message.len());
            let whole = (*arrived == message.len()).then(|| message.clone());
            assert_eq!(reassembler.take(next, now), (PartAnswer::Taken, whole));
        }
        Ok(())
    });
}

#[test]
fn what_is_put_together_is_bounded() {
    let now = Instant::now();
    let mut reassembler = Reassembler::default();
    let begin = |from| part(from, 1, b"a message", 0, 4);
    for from in 0..16 {
        assert_eq!(reassembler.take(begin(from), now).0, PartAnswer::Taken);
    }
    assert_eq!(reassembler.take(begin(16), now).0, PartAnswer::Refused);
    // Those whose senders are gone make room.
    assert_eq!(reassembler.take(begin(16), now + LONG).0, PartAnswer::Taken);
    let huge = LogPart { total: u64::MAX, ..begin(1) };
    assert_eq!(reassembler.take(huge, now).0, PartAnswer::Refused);
    let longer_than_told = LogPart { total: 2, ..begin(2) };
    assert_eq!(reassembler.take(longer_than_told, now).0, PartAnswer::Refused);
}
