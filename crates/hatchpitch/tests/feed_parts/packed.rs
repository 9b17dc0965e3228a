//! Packed parts of a configuration hold what parts that are not packed hold.

use arbitrary::Unstructured;
use futures_util::FutureExt;
use hatchpitch::config::feed::ConfigCell;
use hatchpitch::config::packed::PackedDelta;
use hatchpitch::config::{ConfigState, Delta, Entity, EntityKey, FeedAnswer, FeedRequest, Rest};
use hatchpitch::ids::ConfigNumber;

use super::{client, domain, put, request};

/// Boxes that ask at one time.
const ASKERS: usize = 300;
/// Bytes that may wait for them, however many they are: one mebibyte, and a last part that could
/// not be compressed.
const MAX_WAITING: usize = 1024 * 1024 + 300 * 1024;

fn ask(cell: &ConfigCell, req: &FeedRequest) -> FeedAnswer {
    cell.answer(req).now_or_never().expect("nothing to wait for")
}

/// Returns all that a box gets that has a number, and how many parts it came in.
fn fetch(cell: &ConfigCell, have: ConfigNumber, unpacks: bool) -> (bool, Delta, usize) {
    let (mut whole, mut after, mut parts) = (Delta::default(), None::<EntityKey>, 0);
    loop {
        let req = FeedRequest { unpacks, ..request(have, after.as_ref()) };
        let answer = ask(cell, &req);
        assert!(answer.packed.is_none() || answer.delta == Delta::default(), "sent twice");
        let delta = answer.packed.map_or(answer.delta, |packed| packed.delta().unwrap());
        whole.upserts.extend(delta.upserts);
        whole.removals.extend(delta.removals);
        parts += 1;
        match answer.rest {
            Rest::After(key) => after = Some(key),
            Rest::Nothing => return (answer.snapshot, whole, parts),
            Rest::Withheld => panic!("nothing waits to be sent"),
        }
    }
}

/// Makes a text that can't be compressed to much less.
fn noise(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let len = u.int_in_range(0..=200)?;
    (0..len).map(|_| u.int_in_range(b'a'..=b'z').map(char::from)).collect()
}

fn random_fleet(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<Entity>> {
    let count = u.int_in_range(0..=40)?;
    let entity = |u: &mut Unstructured<'_>| Ok(domain(u.int_in_range(0..=60)?, noise(u)?));
    (0..count).map(|_| entity(u)).collect()
}

#[test]
fn packed_parts_hold_what_others_hold_at_each_number() {
    arbtest::arbtest(|u| {
        let (mut state, cell) = (ConfigState::default(), ConfigCell::default());
        for number in 1..=u.int_in_range(1..=6)? {
            put(&mut state, number, random_fleet(u)?);
            cell.replace(&state);
            for have in [0, number - 1, number] {
                let (snapshot, delta, _) = fetch(&cell, have, true);
                let (plain_snapshot, plain, _) = fetch(&cell, have, false);
                assert_eq!((snapshot, &delta), (plain_snapshot, &plain));
                // The second box gets the part that was made for the first.
                assert_eq!(fetch(&cell, have, true).1, delta);
            }
        }
        Ok(())
    })
    .size_max(16_384);
}

#[test]
fn a_large_configuration_comes_in_few_parts() {
    let (mut state, cell) = (ConfigState::default(), ConfigCell::default());
    put(&mut state, 1, (0..2_000).map(|n| domain(n, "x".repeat(1_000))).collect());
    cell.replace(&state);
    let (_, whole) = state.delta_since(0);
    for (unpacks, most) in [(true, 8), (false, 32)] {
        let (_, delta, parts) = fetch(&cell, 0, unpacks);
        assert_eq!(delta, whole);
        assert!(parts <= most, "{parts} parts");
    }
}

#[test]
fn what_waits_for_boxes_that_ask_for_packed_parts_is_bounded() {
    let client = client();
    let mut random = 1_u32;
    let mut letter = || {
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        char::from(b' ' + (random >> 24) as u8 % 95)
    };
    let entities = (0..2_000).map(|n| domain(n, (0..1_000).map(|_| letter()).collect()));
    let (mut state, cell) = (ConfigState::default(), ConfigCell::new(client.backlog().clone()));
    put(&mut state, 1, entities.collect());
    cell.replace(&state);
    // None of them is sent while the others are made.
    let req = FeedRequest { unpacks: true, ..request(0, None) };
    let held: Vec<_> = (0..ASKERS).map(|_| client.respond(&ask(&cell, &req))).collect();
    assert_eq!(held.len(), ASKERS);
    let waiting = client.backlog().waiting();
    assert!(waiting.bytes <= MAX_WAITING, "{waiting:?}");
}

#[test]
fn bytes_that_are_no_packed_changes_are_an_error() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let encoded = rmp_serde::to_vec(&serde_bytes::ByteBuf::from(bytes)).unwrap();
        let packed: PackedDelta = rmp_serde::from_slice(&encoded).unwrap();
        // Whatever they are, unpacking them ends; only what was packed gives changes.
        if let Ok(delta) = packed.delta() {
            assert_eq!(PackedDelta::new(&delta).delta().unwrap(), delta);
        }
        Ok(())
    });
}
