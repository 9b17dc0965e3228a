//! Compressed parts of a configuration, compared with uncompressed ones.

use arbitrary::Unstructured;
use futures_util::FutureExt;
use hatchpitch::config::feed::ConfigCell;
use hatchpitch::config::packed::PackedDelta;
use hatchpitch::config::{ConfigState, Delta, Entity, EntityKey, FeedAnswer, FeedRequest, Rest};
use hatchpitch::ids::ConfigNumber;
use hatchpitch_net::Reservation;

use super::{apply, client, domain, request};

/// Number of boxes that request concurrently.
const CHILDREN: usize = 300;
/// Maximum size of the send backlog, in bytes, for any number of boxes: one mebibyte and a last,
/// incompressible part.
const MAX_BACKLOG: usize = 1024 * 1024 + 300 * 1024;

fn unpack(packed: &PackedDelta) -> anyhow::Result<Delta> {
    packed.delta(&Reservation::uncounted()).map(|(delta, _)| delta)
}

fn ask(cell: &ConfigCell, req: &FeedRequest) -> FeedAnswer {
    cell.answer(req).now_or_never().expect("the answer is not delayed")
}

/// Transfers everything to a box at `have`. Returns whether it was a snapshot, the changes, and
/// the number of parts.
fn fetch(cell: &ConfigCell, have: ConfigNumber, unpacks: bool) -> (bool, Delta, usize) {
    let (mut whole, mut after, mut parts) = (Delta::default(), None::<EntityKey>, 0);
    loop {
        let req = FeedRequest { unpacks, ..request(have, after.as_ref()) };
        let answer = ask(cell, &req);
        assert!(answer.packed.is_none() || answer.delta == Delta::default(), "changes sent twice");
        let delta = answer.packed.map_or(answer.delta, |packed| unpack(&packed).unwrap());
        whole.upserts.extend(delta.upserts);
        whole.removals.extend(delta.removals);
        parts += 1;
        match answer.rest {
            Rest::After(key) => after = Some(key),
            Rest::Nothing => return (answer.snapshot, whole, parts),
            Rest::Withheld => panic!("the backlog is empty, so no part may be withheld"),
        }
    }
}

/// Returns a random text, which compresses poorly.
fn random_text(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let len = u.int_in_range(0..=200)?;
    (0..len).map(|_| u.int_in_range(b'a'..=b'z').map(char::from)).collect()
}

fn random_fleet(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<Entity>> {
    let count = u.int_in_range(0..=40)?;
    let entity = |u: &mut Unstructured<'_>| Ok(domain(u.int_in_range(0..=60)?, random_text(u)?));
    (0..count).map(|_| entity(u)).collect()
}

#[test]
fn compressed_parts_equal_uncompressed_parts_at_each_number() {
    arbtest::arbtest(|u| {
        let (mut state, cell) = (ConfigState::default(), ConfigCell::default());
        for number in 1..=u.int_in_range(1..=6)? {
            apply(&mut state, number, random_fleet(u)?);
            cell.replace(&state);
            for have in [0, number - 1, number] {
                let (snapshot, delta, _) = fetch(&cell, have, true);
                let (plain_snapshot, plain, _) = fetch(&cell, have, false);
                assert_eq!((snapshot, &delta), (plain_snapshot, &plain));
                // The second box gets the cached part.
                assert_eq!(fetch(&cell, have, true).1, delta);
            }
        }
        Ok(())
    })
    .size_max(16_384);
}

#[test]
fn a_large_configuration_is_sent_in_few_parts() {
    let (mut state, cell) = (ConfigState::default(), ConfigCell::default());
    apply(&mut state, 1, (0..2_000).map(|n| domain(n, "x".repeat(1_000))).collect());
    cell.replace(&state);
    let (_, whole) = state.delta_since(0);
    for (unpacks, max_parts) in [(true, 8), (false, 32)] {
        let (_, delta, parts) = fetch(&cell, 0, unpacks);
        assert_eq!(delta, whole);
        assert!(parts <= max_parts, "{parts} parts");
    }
}

#[test]
fn the_backlog_of_concurrent_requests_for_compressed_parts_is_bounded() {
    let client = client();
    let mut random = 1_u32;
    let mut letter = || {
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        char::from(b' ' + (random >> 24) as u8 % 95)
    };
    let entities = (0..2_000).map(|n| domain(n, (0..1_000).map(|_| letter()).collect()));
    let (mut state, cell) = (ConfigState::default(), ConfigCell::new(client.backlog().clone()));
    apply(&mut state, 1, entities.collect());
    cell.replace(&state);
    // No answer is sent until all of them are created.
    let req = FeedRequest { unpacks: true, ..request(0, None) };
    let held: Vec<_> = (0..CHILDREN).map(|_| client.respond(&ask(&cell, &req))).collect();
    assert_eq!(held.len(), CHILDREN);
    let waiting = client.backlog().waiting();
    assert!(waiting.bytes <= MAX_BACKLOG, "{waiting:?}");
}

#[test]
fn decompressing_arbitrary_bytes_ends_and_fails_unless_they_are_a_delta() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let encoded = rmp_serde::to_vec(&serde_bytes::ByteBuf::from(bytes)).unwrap();
        let packed: PackedDelta = rmp_serde::from_slice(&encoded).unwrap();
        // Decompression ends for any input, and whatever decodes must survive a round trip.
        if let Ok(delta) = unpack(&packed) {
            assert_eq!(unpack(&PackedDelta::new(&delta)).unwrap(), delta);
        }
        Ok(())
    });
}
