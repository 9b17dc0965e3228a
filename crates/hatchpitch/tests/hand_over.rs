//! Slots whose engine gets another owner: the new one counts what runs there.

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

/// An owner of one engine with room for three prompts of 3,000 tokens.
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
fn a_new_owner_that_is_told_what_runs_does_not_fill_a_full_engine() {
    let now = Instant::now();
    let mut line = line(now);
    for id in ["a", "b", "c"] {
        assert!(line.adopt("e", &want(id, 3_000), now).is_some());
    }
    assert!(matches!(line.quote(&want("d", 3_000), now), Ok(Quote::Busy(_))));
    let Decision::Wait(ticket) = line.decide(&want("d", 3_000), now) else { panic!() };
    let report = RunReport { verdict: Verdict::Succeeded, tokens: Some(100), first: None };
    line.release("e", &want("a", 3_000), 3_256, report, now);
    let answers = line.take_answers();
    assert_eq!(answers.len(), 1);
    assert!(answers[0].ticket == ticket && answers[0].slot.is_ok());
    assert!(line.adopt("of-another-owner", &want("x", 1), now).is_none());
    verify::verify(&line).unwrap();
}

#[test]
fn slots_are_handed_over_once_and_given_back_to_their_new_owner() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.put("e1".to_owned(), held(2, "e1", now));
    slots.put("e2".to_owned(), held(2, "e2", now));
    slots.put("e3".to_owned(), held(1, "e3", now));
    let later = now + Duration::from_secs(3);
    // The engine e1 went to box 3, e2 stayed, and e3 is gone.
    let owner_of = |runner: &str| match runner {
        "e1" => Some(addr(3)),
        "e2" => Some(addr(2)),
        _ => None,
    };
    let strays = slots.strays(addr(1), owner_of, later);
    assert_eq!(strays.keys().copied().collect::<Vec<_>>(), [addr(3)]);
    let moved = &strays[&addr(3)];
    assert_eq!((moved.len(), moved[0].age), (1, Duration::from_secs(3)));
    // It is told again until the new owner says that it counts the slot.
    assert_eq!(slots.strays(addr(1), owner_of, later).len(), 1);
    assert!(slots.adopted(addr(3), vec!["e1".to_owned()]).is_empty());
    assert!(slots.strays(addr(1), owner_of, later).is_empty());
    assert_eq!(slots.by_owner()[&addr(3)], ["e1".to_owned()]);
    assert_eq!(slots.remove("e1").unwrap().owner, addr(3));
}

#[test]
fn a_box_that_owns_its_engine_again_does_not_count_its_own_slot_twice() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.put("e".to_owned(), held(1, "e", now));
    assert_eq!(slots.strays(addr(1), |_| Some(addr(2)), now).len(), 1);
    assert!(slots.adopted(addr(2), vec!["e".to_owned()]).is_empty());
    assert!(slots.strays(addr(1), |_| Some(addr(1)), now).is_empty());
    assert_eq!(slots.remove("e").unwrap().owner, addr(1));
}

#[test]
fn a_slot_that_was_given_back_while_it_was_handed_over_is_not_counted_for_ever() {
    let now = Instant::now();
    let mut slots = HeldSlots::default();
    slots.put("e".to_owned(), held(2, "e", now));
    assert_eq!(slots.strays(addr(1), |_| Some(addr(3)), now).len(), 1);
    // The former owner is told of the end; the new one answers later that it counts the slot.
    assert_eq!(slots.remove("e").unwrap().owner, addr(2));
    assert_eq!(slots.adopted(addr(3), vec!["e".to_owned()]), ["e".to_owned()]);
}
