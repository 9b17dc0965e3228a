//! Turns to move generations off a runner that is shutting down.

use std::time::{Duration, Instant};

use hatchpitch::moves::Turns;
use hatchpitch::moves::verify::verify;

#[test]
fn one_generation_is_moved_at_a_time_most_tokens_at_stake_first() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.request("r", "first", 10, now));
    assert!(!turns.request("r", "small", 20, now));
    assert!(!turns.request("r", "large", 900, now));
    assert!(turns.request("other", "elsewhere", 1, now), "the queues of runners are independent");
    turns.release("r", "first", now);
    assert!(!turns.request("r", "small", 20, now));
    assert!(turns.request("r", "large", 900, now));
    turns.release("r", "large", now);
    assert!(turns.request("r", "small", 20, now));
    verify(&turns).unwrap();
}

#[test]
fn turn_expires_if_it_is_not_released() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.request("r", "lost", 10, now));
    assert!(!turns.request("r", "next", 10, now + Duration::from_millis(500)));
    assert!(turns.request("r", "next", 10, now + Duration::from_secs(1)));
    turns.release("r", "lost", now + Duration::from_secs(1));
    assert!(
        turns.request("r", "next", 10, now + Duration::from_secs(1)),
        "a late release of an expired turn does not end the next one"
    );
    verify(&turns).unwrap();
}

#[test]
fn withdrawn_request_gets_no_turn() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.request("r", "a", 1, now));
    assert!(!turns.request("r", "b", 9, now));
    assert!(!turns.request("r", "c", 5, now));
    turns.release("r", "b", now);
    turns.release("r", "a", now);
    assert!(turns.request("r", "c", 5, now));
    verify(&turns).unwrap();
}

#[test]
fn turns_keep_their_invariants_under_random_operations() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut turns = Turns::default();
            for step in 0..60_u32 {
                let now = start + Duration::from_millis(100) * step;
                let runner = format!("r{}", u.int_in_range(0..=1_u8)?);
                let id = format!("m{}", u.int_in_range(0..=4_u8)?);
                if u.arbitrary()? {
                    turns.request(&runner, &id, u.int_in_range(0..=3_u64)?, now);
                } else {
                    turns.release(&runner, &id, now);
                }
                verify(&turns).unwrap();
            }
            Ok(())
        })
        .seed(seed << 32 | 1_000)
        .run();
    }
}
