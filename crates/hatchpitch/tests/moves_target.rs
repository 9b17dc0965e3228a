//! The turn at the target of a move, when boxes and calls fail. Owners and moves are modelled
//! without a network, in steps of a poll.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hatchpitch::moves::verify::verify;
use hatchpitch::moves::wait::{WaitStep, next_step, wait_limit};
use hatchpitch::moves::{TurnAnswer, TurnKind, TurnRequest, Turns};
use serde::{Deserialize, Serialize};

/// Interval between polls.
const POLL: Duration = Duration::from_millis(20);
/// Longest wait for a turn at a target.
const MAX_WAIT: Duration = Duration::from_millis(300);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn answer(granted: bool) -> Option<TurnAnswer> {
    Some(if granted { TurnAnswer::Yours } else { TurnAnswer::NotYet })
}

/// Polls an owner until the move goes ahead; returns whether it has the turn, and how long it
/// waited.
fn wait(turns: &mut Turns, target: &str, id: &str, start: Instant) -> (bool, Duration) {
    let (limit, mut waited) = (wait_limit(Duration::ZERO), Duration::ZERO);
    loop {
        let granted = turns.request(target, id, 1, start + waited);
        match next_step(answer(granted), waited, limit) {
            WaitStep::Granted => return (true, waited),
            WaitStep::Poll => waited += POLL,
            WaitStep::GiveUp => {
                turns.release(target, id, start + waited);
                return (false, waited);
            }
        }
    }
}

/// Guards against moves that wait at a target while their runner shuts down.
#[test]
fn a_move_waits_for_its_target_only_while_the_notice_of_its_source_allows_it() {
    assert_eq!(wait_limit(Duration::ZERO), MAX_WAIT);
    assert_eq!(wait_limit(ms(1_100)), ms(100));
    assert_eq!(wait_limit(ms(1_200)), Duration::ZERO);
    assert_eq!(wait_limit(ms(5_000)), Duration::ZERO);
}

/// Guards against a target that nothing is moved to because the box of the move that has the turn
/// has died.
#[test]
fn a_dead_holder_delays_other_moves_for_a_bounded_time() {
    let (start, mut turns) = (Instant::now(), Turns::default());
    assert!(turns.request("y", "dead", 1, start));
    let (has_turn, waited) = wait(&mut turns, "y", "next", start);
    assert!(!has_turn && waited < MAX_WAIT + POLL, "{waited:?}");
    assert_eq!(wait(&mut turns, "y", "later", start + ms(900)), (true, Duration::ZERO));
    verify(&turns).unwrap();
}

/// Guards against a turn that is granted to a move whose box has died, or whose withdrawal was
/// lost, while others wait.
#[test]
fn a_dead_waiter_is_not_granted_the_turn() {
    let (start, mut turns) = (Instant::now(), Turns::default());
    assert!(turns.request("y", "holder", 1, start));
    assert!(!turns.request("y", "dead", 9, start));
    assert!(!turns.request("y", "alive", 1, start + ms(400)));
    turns.release("y", "holder", start + ms(410));
    assert!(turns.request("y", "alive", 1, start + ms(420)));
    verify(&turns).unwrap();
}

/// Guards against a move that loses its place because a single poll took as long as a call may.
#[test]
fn a_waiter_with_a_slow_poll_keeps_its_place() {
    let (start, mut turns) = (Instant::now(), Turns::default());
    assert!(turns.request("y", "holder", 1, start));
    assert!(!turns.request("y", "slow", 9, start));
    assert!(!turns.request("y", "fast", 1, start + ms(310)));
    turns.release("y", "holder", start + ms(320));
    assert!(turns.request("y", "slow", 9, start + ms(330)));
}

/// Guards against a lost release that blocks a target for longer than its turn lasts.
#[test]
fn a_lost_release_ends_with_the_turn() {
    let (start, mut turns) = (Instant::now(), Turns::default());
    assert!(turns.request("y", "done", 1, start));
    assert!(!wait(&mut turns, "y", "next", start + ms(500)).0);
    assert!(wait(&mut turns, "y", "next", start + ms(880)).0, "the turn expires meanwhile");
    turns.release("y", "done", start + ms(950));
    assert!(turns.request("y", "next", 1, start + ms(960)), "a late release ends no other turn");
    verify(&turns).unwrap();
}

/// Guards against moves that wait for an owner that is dead or has been replaced.
#[test]
fn a_change_of_the_owner_blocks_no_move() {
    let start = Instant::now();
    let (mut old, mut new) = (Turns::default(), Turns::default());
    assert!(wait(&mut old, "y", "first", start).0);
    // The old owner no longer answers.
    assert_eq!(next_step(None, Duration::ZERO, MAX_WAIT), WaitStep::GiveUp);
    // The new owner does not know the turn: two moves share the link for as long as one takes.
    assert_eq!(wait(&mut new, "y", "second", start), (true, Duration::ZERO));
    // The first move releases at the owner that it asked, the new owner never sees it.
    old.release("y", "first", start + ms(200));
    assert!(!wait(&mut new, "y", "third", start + ms(200)).0);
    new.release("y", "second", start + ms(600));
    assert!(wait(&mut new, "y", "third", start + ms(600)).0);
    verify(&old).unwrap();
    verify(&new).unwrap();
}

/// Guards against two leaving runners whose moves wait for each other's turns.
#[test]
fn moves_to_each_others_runners_do_not_wait_for_each_other() {
    let start = Instant::now();
    let (mut sources, mut targets) = (Turns::default(), Turns::default());
    assert!(sources.request("x", "x-to-y", 1, start));
    assert!(sources.request("y", "y-to-x", 1, start));
    assert_eq!(wait(&mut targets, "y", "x-to-y", start), (true, Duration::ZERO));
    assert_eq!(wait(&mut targets, "x", "y-to-x", start), (true, Duration::ZERO));
}

/// Guards against deadlocks and unbounded waits among many moves, some of which die at random
/// points without a release.
#[test]
fn every_move_goes_ahead_within_its_limit_whichever_others_die() {
    /// State of a move that has the turn at its source.
    #[derive(Clone, Copy)]
    enum State {
        Waits { since: Instant },
        Copies { until: Instant },
    }
    for seed in 0..100_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut targets = Turns::default();
            let mut moves: BTreeMap<String, (String, State)> = BTreeMap::new();
            for step in 0..100_u32 {
                let now = start + POLL * step;
                if u.ratio(1, 4)? {
                    let target = format!("t{}", u.int_in_range(0..=2_u8)?);
                    moves.insert(format!("m{step}"), (target, State::Waits { since: now }));
                }
                let mut over = Vec::new();
                for (id, (target, state)) in &mut moves {
                    if u.ratio(1, 50)? {
                        over.push(id.clone());
                        continue;
                    }
                    match *state {
                        State::Waits { since } => {
                            let waited = now.duration_since(since);
                            assert!(waited < MAX_WAIT + POLL, "{id} waited {waited:?}");
                            let granted = targets.request(target, id, 1, now);
                            let copies = State::Copies { until: now + ms(200) };
                            match next_step(answer(granted), waited, MAX_WAIT) {
                                WaitStep::Granted => *state = copies,
                                WaitStep::Poll => {}
                                WaitStep::GiveUp => {
                                    targets.release(target, id, now);
                                    *state = copies;
                                }
                            }
                        }
                        State::Copies { until } if now >= until => {
                            targets.release(target, id, now);
                            over.push(id.clone());
                        }
                        State::Copies { .. } => {}
                    }
                    verify(&targets).unwrap();
                }
                over.iter().for_each(|id| drop(moves.remove(id)));
            }
            Ok(())
        })
        .seed(seed << 32 | 4_000)
        .run();
    }
}

/// Turn request of a box of an earlier version.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRequest {
    runner: String,
    id: String,
    at_stake: u64,
}

/// Guards against boxes of different versions that do not understand each other's requests.
#[test]
fn turn_requests_are_understood_across_versions() {
    let earlier = EarlierRequest { runner: "x".to_owned(), id: "m".to_owned(), at_stake: 7 };
    let encoded = rmp_serde::to_vec_named(&earlier).unwrap();
    let mut req: TurnRequest = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(req.kind, TurnKind::Source);
    assert_eq!(rmp_serde::to_vec_named(&req).unwrap(), encoded);
    req.kind = TurnKind::Target;
    let encoded = rmp_serde::to_vec_named(&req).unwrap();
    assert_eq!(rmp_serde::from_slice::<TurnRequest>(&encoded).unwrap().kind, TurnKind::Target);
    assert_eq!(rmp_serde::from_slice::<EarlierRequest>(&encoded).unwrap(), earlier);
}
