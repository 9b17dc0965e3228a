//! Random schedules from fixed seeds, and the cases that they must contain.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::replication::membership::{ChangeError, MemberChange};
use hatchpitch::replication::messages::LogEnd;
use hatchpitch::replication::{
    Entry, HardState, Message, Payload, Replica, ReplicaConfig, Restored, Snapshot,
};

use super::group::{Flying, Group, peer, voters};

const STEPS: usize = 300;
/// Seeds carry the number of random bytes in their low half.
const BYTES: u64 = 1 << 20;

/// What all schedules of a test have in common.
#[derive(Clone, Copy)]
struct Setting {
    /// Replicas.
    size: u64,
    /// Whether their clocks drift.
    drift: bool,
    /// Whether leaders hand their lead over.
    hands_over: bool,
    /// Whether all messages that carry anything are large.
    all_large: bool,
}

/// Time passes, and each message on its way arrives, is lost, doubled or late, in any order.
fn round(group: &mut Group, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    group.advance(Duration::from_millis(u.int_in_range(5..=120)?));
    for _ in 0..group.flying.len() {
        if group.flying.is_empty() {
            break;
        }
        let at = u.choose_index(group.flying.len())?;
        match u.int_in_range(0..=19)? {
            0 => drop(group.flying.remove(at)),
            1 => group.flying.push(group.flying[at].clone()),
            2 => {}
            _ => group.deliver(at),
        }
    }
    Ok(())
}

/// Now and then any replica hands its lead over, if it has it.
fn random_hand_over(group: &mut Group, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let size = group.nodes.len() as u64;
    if u.ratio(1, 8)? {
        group.hand_over(u.int_in_range(1..=size)?);
    }
    Ok(())
}

fn random_step(group: &mut Group, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let size = group.nodes.len() as u64;
    let (id, other) = (u.int_in_range(1..=size)?, u.int_in_range(1..=size)?);
    match u.int_in_range(0..=39)? {
        0 if group.nodes[&id].replica.is_some() => group.crash(id, u.int_in_range(0..=64)?),
        1..=4 if group.nodes[&id].replica.is_none() => {
            group.nodes[&id].disk.borrow_mut().clear_failure();
            group.start(id);
        }
        5 | 6 => {
            group.cut.insert((id, other));
        }
        7 => group.cut.clear(),
        8 => group.compact(id),
        9 => {
            let (operations, tear) = (u.int_in_range(0..=5)?, u.arbitrary()?);
            group.nodes[&id].disk.borrow_mut().fail_in(operations, tear);
        }
        10..=19 => {
            for id in 1..=size {
                group.propose(id);
            }
        }
        _ => round(group, u)?,
    }
    Ok(())
}

/// Runs one schedule and returns how many commands were acknowledged before the end.
fn run_schedule(u: &mut Unstructured<'_>, setting: Setting) -> arbitrary::Result<usize> {
    let mut group = Group::new(setting.size);
    // Small messages let an old entry reach a majority before the leader's own does.
    group.set_max_entries(u.int_in_range(1..=3)?);
    if setting.all_large {
        group.set_all_large();
    }
    if setting.drift {
        for node in group.nodes.values_mut() {
            node.drift = u.int_in_range(-10..=10)?;
        }
    }
    for _ in 0..STEPS {
        random_step(&mut group, u)?;
        if setting.hands_over {
            random_hand_over(&mut group, u)?;
        }
        if let Err(err) = group.verify() {
            panic!("{err}");
        }
    }
    let acknowledged = group.acknowledged.len();
    if let Err(err) = group.heal_and_check() {
        panic!("{err}");
    }
    Ok(acknowledged)
}

fn run_schedules(seeds: u64, setting: Setting) {
    let mut acknowledged = 0;
    for seed in 0..seeds {
        let run = |u: &mut Unstructured<'_>| {
            acknowledged += run_schedule(u, setting)?;
            Ok(())
        };
        arbtest::arbtest(run).seed(seed << 32 | BYTES).run();
    }
    println!(
        "{seeds} schedules of {} replicas, {acknowledged} commands acknowledged",
        setting.size
    );
    assert!(acknowledged as u64 > seeds * 5, "the schedules get something done");
}

#[test]
fn three_replicas_keep_what_they_acknowledged() {
    run_schedules(300, Setting { size: 3, drift: false, hands_over: false, all_large: false });
}

#[test]
fn five_replicas_with_drifting_clocks_keep_what_they_acknowledged() {
    run_schedules(60, Setting { size: 5, drift: true, hands_over: false, all_large: false });
}

#[test]
fn leaders_that_hand_over_at_any_moment_keep_what_they_acknowledged() {
    run_schedules(200, Setting { size: 3, drift: true, hands_over: true, all_large: false });
    run_schedules(40, Setting { size: 5, drift: true, hands_over: true, all_large: false });
}

#[test]
fn replicas_whose_messages_are_all_large_keep_what_they_acknowledged() {
    run_schedules(200, Setting { size: 3, drift: true, hands_over: true, all_large: true });
    run_schedules(40, Setting { size: 5, drift: true, hands_over: false, all_large: true });
}

#[test]
fn a_leader_keeps_its_lead_while_large_messages_are_on_their_way() {
    let mut group = Group::new(3);
    group.set_all_large();
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    group.propose(leader);
    // The large messages travel far longer than followers wait for a leader that is silent.
    for _ in 0..500 {
        let all = std::mem::take(&mut group.flying);
        let (large, small): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|f| f.message.payload_len() > 0);
        assert!(large.len() <= 2, "one large message for each replica: {}", large.len());
        group.flying = small;
        while !group.flying.is_empty() {
            let Flying { message, .. } = &group.flying[0];
            assert_eq!(message.payload_len(), 0, "nothing large is sent beside another");
            group.deliver(0);
        }
        group.flying = large;
        group.advance(Duration::from_millis(20));
    }
    assert_eq!(group.leader(), Some(leader));
    group.run(200).unwrap();
    assert_eq!(group.acknowledged.len(), 1);
}

#[test]
fn a_leader_that_stops_is_replaced_without_waiting_for_its_silence() {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let old = group.leader().unwrap();
    group.propose(old);
    group.run(200).unwrap();
    group.hand_over(old);
    assert!(group.replica(old).lease_until().is_none(), "the lease ends with the lead");
    // Far less than the shortest time without a leader until an election.
    group.run(100).unwrap();
    let new = group.leader().unwrap();
    assert_ne!(new, old);
    assert_eq!(group.replica(old).leader(), Some(new));
}

#[test]
fn a_leader_keeps_its_lead_while_nobody_holds_its_whole_log() {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    for other in (1..=3).filter(|id| *id != leader) {
        group.cut.insert((leader, other));
    }
    group.propose(leader);
    group.hand_over(leader);
    assert!(group.replica(leader).leads());
}

#[test]
fn a_leader_that_is_cut_off_loses_its_lease_before_another_is_elected() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let old = group.leader().unwrap();
    for id in 1..=3 {
        group.cut.insert((old, id));
        group.cut.insert((id, old));
    }
    let mut lease_ended = None;
    let mut elected = None;
    for _ in 0..400 {
        group.run(20).unwrap();
        let leased = group.replica(old).lease_until().is_some_and(|t| group.common_now() < t);
        if !leased && lease_ended.is_none() {
            lease_ended = Some(group.elapsed);
        }
        if group.leader().is_some_and(|id| id != old) {
            elected = elected.or(Some(group.elapsed));
        }
    }
    assert!(lease_ended.unwrap() < elected.unwrap());
    assert!(!group.replica(old).leads(), "check-quorum makes the old leader step down");
}

#[test]
fn a_box_that_was_cut_off_does_not_disturb_the_leader() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    let term = group.replica(leader).term();
    let cut = (1..=3).find(|id| *id != leader).unwrap();
    for id in 1..=3 {
        group.cut.insert((cut, id));
        group.cut.insert((id, cut));
    }
    group.run(10_000).unwrap();
    group.cut.clear();
    group.run(3_000).unwrap();
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.replica(leader).term(), term);
}

#[test]
fn a_replica_far_behind_catches_up_by_snapshot() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    let behind = (1..=3).find(|id| *id != leader).unwrap();
    group.crash(behind, 0);
    for _ in 0..500 {
        group.propose(leader);
    }
    group.run(500).unwrap();
    group.compact(leader);
    group.start(behind);
    group.run(3_000).unwrap();
    assert_eq!(group.replica(behind).commit(), group.replica(leader).commit());
    group.heal_and_check().unwrap();
}

#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_then_costs_nothing() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    for _ in 0..50 {
        group.propose(leader);
    }
    group.run(500).unwrap();
    let lost = (1..=3).find(|id| *id != leader).unwrap();
    group.nodes.remove(&lost);
    let new = 4;
    group.add(new, voters([]));
    let add = MemberChange::AddLearner(new, peer(new));
    group.step(leader, |r, now| r.change_members(&add, now).unwrap());
    let too_early = MemberChange::Promote(new);
    group.step(leader, |r, now| {
        assert_eq!(r.change_members(&too_early, now), Err(ChangeError::Busy));
    });
    group.run(1_000).unwrap();
    group.step(leader, |r, now| r.change_members(&MemberChange::Promote(new), now).unwrap());
    group.run(1_000).unwrap();
    group.step(leader, |r, now| r.change_members(&MemberChange::Remove(lost), now).unwrap());
    group.run(1_000).unwrap();
    assert_eq!(group.replica(leader).replication_lag(new), Some(0));
    assert!(group.replica(leader).members_committed());

    group.nodes.remove(&leader);
    group.run(5_000).unwrap();
    let next = group.leader().expect("two of three go on");
    let held = group.replica(next).commit();
    assert!(held >= *group.acknowledged.last_key_value().unwrap().0);
    group.heal_and_check().unwrap();
}

#[test]
fn a_learner_that_is_behind_is_not_promoted() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    group.add(4, voters([]));
    for id in 1..=3 {
        group.cut.insert((id, 4));
    }
    group.step(leader, |r, now| {
        r.change_members(&MemberChange::AddLearner(4, peer(4)), now).unwrap()
    });
    group.run(1_000).unwrap();
    group.step(leader, |r, now| {
        assert_eq!(r.change_members(&MemberChange::Promote(4), now), Err(ChangeError::Behind));
    });
}

#[test]
fn an_entry_of_an_old_term_is_not_committed_by_counting_replicas() {
    let now = Instant::now();
    let entry = |term, index| Entry { term, index, payload: Payload::Noop };
    let restored = Restored {
        hard: HardState { term: 3, voted_for: None },
        snapshot: Snapshot {
            end: LogEnd { term: 0, index: 0 },
            members: voters(1..=5),
            data: Vec::new(),
        },
        entries: vec![entry(1, 1), entry(2, 2)],
    };
    let mut replica = Replica::new(1, ReplicaConfig::default(), restored, 1, now);
    let later = now + Duration::from_secs(10);
    replica.tick(later);
    for from in [2, 3] {
        replica.receive(from, Message::PreVoteReply { term: 4, granted: true }, later);
    }
    for from in [2, 3] {
        replica.receive(from, Message::VoteReply { term: 4, granted: true }, later);
    }
    assert!(replica.leads());
    replica.ready();
    replica.persisted(3, later);
    let matched = |index| Message::AppendReply { term: 4, matched: true, index, round: 1 };
    for from in [2, 3] {
        replica.receive(from, matched(2), later);
    }
    assert_eq!(replica.commit(), 0, "another leader could still replace entry 2");
    for from in [2, 3] {
        replica.receive(from, matched(3), later);
    }
    assert_eq!(replica.commit(), 3);
}
