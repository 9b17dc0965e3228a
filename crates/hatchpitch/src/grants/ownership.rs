//! Which box owns which engine: rendezvous hashing over the boxes that serve.

use twox_hash::XxHash64;

use crate::membership::{MemberRecord, Subject};

/// Seed of the hash; all boxes have to use the same.
const SEED: u64 = 0x6861_7463_6870;

/// Finds the owner of an engine. When a box leaves, only its engines move.
pub fn owner_of<'a>(
    runner: &str,
    boxes: impl Iterator<Item = &'a MemberRecord>,
) -> Option<&'a MemberRecord> {
    boxes.max_by_key(|record| {
        let Subject::Box(name) = &record.subject else { return (0, "") };
        (weight(runner, name), name.as_str())
    })
}

fn weight(runner: &str, name: &str) -> u64 {
    let bytes = [runner.as_bytes(), b"/", name.as_bytes()].concat();
    XxHash64::oneshot(SEED, &bytes)
}
