//! Turns to move generations off a runner that leaves.

use std::time::{Duration, Instant};

use hatchpitch::moves::Turns;
use hatchpitch::moves::verify::verify;

#[test]
fn one_generation_is_moved_at_a_time_and_who_has_most_at_stake_goes_next() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.ask("r", "first", 10, now));
    assert!(!turns.ask("r", "small", 20, now));
    assert!(!turns.ask("r", "large", 900, now));
    assert!(turns.ask("other", "elsewhere", 1, now), "runners do not wait for each other");
    turns.done("r", "first", now);
    assert!(!turns.ask("r", "small", 20, now));
    assert!(turns.ask("r", "large", 900, now));
    turns.done("r", "large", now);
    assert!(turns.ask("r", "small", 20, now));
    verify(&turns).unwrap();
}

#[test]
fn a_turn_that_is_not_given_back_ends_by_itself() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.ask("r", "lost", 10, now));
    assert!(!turns.ask("r", "next", 10, now + Duration::from_millis(500)));
    assert!(turns.ask("r", "next", 10, now + Duration::from_secs(1)));
    turns.done("r", "lost", now + Duration::from_secs(1));
    assert!(turns.ask("r", "next", 10, now + Duration::from_secs(1)), "its turn goes on");
    verify(&turns).unwrap();
}

#[test]
fn who_stops_waiting_is_passed_over() {
    let now = Instant::now();
    let mut turns = Turns::default();
    assert!(turns.ask("r", "a", 1, now));
    assert!(!turns.ask("r", "b", 9, now));
    assert!(!turns.ask("r", "c", 5, now));
    turns.done("r", "b", now);
    turns.done("r", "a", now);
    assert!(turns.ask("r", "c", 5, now));
    verify(&turns).unwrap();
}

#[test]
fn turns_stay_sound_whatever_is_asked() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut turns = Turns::default();
            for step in 0..60_u32 {
                let now = start + Duration::from_millis(100) * step;
                let runner = format!("r{}", u.int_in_range(0..=1_u8)?);
                let id = format!("m{}", u.int_in_range(0..=4_u8)?);
                if u.arbitrary()? {
                    turns.ask(&runner, &id, u.int_in_range(0..=3_u64)?, now);
                } else {
                    turns.done(&runner, &id, now);
                }
                verify(&turns).unwrap();
            }
            Ok(())
        })
        .seed(seed << 32 | 1_000)
        .run();
    }
}
