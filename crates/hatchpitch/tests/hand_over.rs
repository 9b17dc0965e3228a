//! Hand-over of slots when an engine changes owner: the new owner accounts for the runs that are
//! already on the engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, MemoryPolicy};
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, SlotRequest, verify};
use hatchpitch::grants::{HeldSlot, HeldSlots};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};

fn addr(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 1).into()
}

fn want(id: &str, prompt: u64) -> SlotRequest {
    SlotRequest {
        id: id.to_owned(),
        workspace: "w".to_owned(),
        priority: 1,
        kind: "k".to_owned(),
        prompt,
        max_tokens: 500,
        ..SlotRequest::default()
    }
}

/// Creates the queue of an owner of one engine, whose memory fits three prompts of 3,000 tokens.
fn line(now: Instant) -> PoolScheduler {
    let routing = RoutingConfig { memory: MemoryPolicy::Watermark(1.0), ..Default::default() };
    let mut line = PoolScheduler::new(AdmissionConfig::default(), routing);
    let spec = RunnerSpec {
        name: "e".to_owned(),
        addr: addr(9),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: Some(10_000),
        copy_rate: f64::INFINITY,
    };
    line.update(now, |table| table.sync([spec]));
    line
}

fn held(owner: u8, runner: &str, since: Instant) -> HeldSlot {
    HeldSlot {
        owner: addr(owner),
        pool: "p".to_owned(),
        runner: runner.to_owned(),
        want: want(runner, 3_000),
        since,
        granted_here: owner == 1,
    }
}

#[test]
fn new_owner_does_not_overcommit_an_engine_after_adopting_its_slots() {
    let now = Instant::now();
    let mut line = line(now);
    for id in ["a", "b", "c"] {
        assert!(line.adopt("e", &want(id, 3_000), now).is_some());
    }
    assert!(matches!(line.quote(&want("d", 3_000), now), Ok(Quote::Busy(_))));
    let Decision::Wait(ticket) = line.decide(&want("d", 3_000), now) else { panic!() };
    let report =
        RunReport { verdict: Verdict::Succeeded, tokens: Some(100), ..RunReport::RELEASED };
    line.release("e", &want("a", 3_000), 3_256, report, now);
    let answers = line.take_answers();
    assert_eq!(answers.len(), 1);
    assert!(answers[0].ticket == ticket && answers[0].slot.is_ok());
    assert!(line.adopt("of-another-owner", &want("x", 1), now).is_none());
    verify::verify(&line).unwrap();
}

#[test]
fn slots_are_handed_over_until_adopted_and_released_to_the_new_owner() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.insert("e1".to_owned(), held(2, "e1", now));
    slots.insert("e2".to_owned(), held(2, "e2", now));
    slots.insert("e3".to_owned(), held(1, "e3", now));
    let later = now + Duration::from_secs(3);
    // Box 3 is the new owner of e1, e2 keeps its owner, and e3 has none.
    let owner_of = |runner: &str| match runner {
        "e1" => Some(addr(3)),
        "e2" => Some(addr(2)),
        _ => None,
    };
    let reassigned = slots.reassigned(addr(1), owner_of, later);
    assert_eq!(reassigned.keys().copied().collect::<Vec<_>>(), [addr(3)]);
    let handed_over = &reassigned[&addr(3)];
    assert_eq!((handed_over.len(), handed_over[0].age), (1, Duration::from_secs(3)));
    // The slot is reported again until the new owner confirms that it has adopted it.
    assert_eq!(slots.reassigned(addr(1), owner_of, later).len(), 1);
    assert!(slots.mark_adopted(addr(3), vec!["e1".to_owned()]).is_empty());
    assert!(slots.reassigned(addr(1), owner_of, later).is_empty());
    assert_eq!(slots.by_owner()[&addr(3)], ["e1".to_owned()]);
    assert_eq!(slots.remove("e1").unwrap().owner, addr(3));
}

#[test]
fn box_that_regains_an_engine_does_not_count_its_own_slot_twice() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.insert("e".to_owned(), held(1, "e", now));
    assert_eq!(slots.reassigned(addr(1), |_| Some(addr(2)), now).len(), 1);
    assert!(slots.mark_adopted(addr(2), vec!["e".to_owned()]).is_empty());
    assert!(slots.reassigned(addr(1), |_| Some(addr(1)), now).is_empty());
    assert_eq!(slots.remove("e").unwrap().owner, addr(1));
}

#[test]
fn slot_released_during_hand_over_is_released_at_the_new_owner() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.insert("e".to_owned(), held(2, "e", now));
    assert_eq!(slots.reassigned(addr(1), |_| Some(addr(3)), now).len(), 1);
    // The release goes to the former owner before the new owner confirms the adoption, so the new
    // owner has to be sent the release as well.
    assert_eq!(slots.remove("e").unwrap().owner, addr(2));
    assert_eq!(slots.mark_adopted(addr(3), vec!["e".to_owned()]), ["e".to_owned()]);
}
