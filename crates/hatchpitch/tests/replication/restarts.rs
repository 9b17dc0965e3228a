//! Elections after restarts: at once where no lease can be in force, else after its time.

use std::time::Duration;

use arbitrary::Unstructured;
use hatchpitch::replication::restart::answer_for_former_identity;
use hatchpitch::replication::{Envelope, Message, NodeId};

use super::group::{Flying, Group};

/// Time in which a group whose replicas all restarted has a leader, in ms: the wait before an
/// election and some rounds of messages, far below the shortest wait for a lease to end.
const AT_ONCE_MS: u64 = 200;

fn led_group() -> (Group, NodeId) {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    group.propose(leader);
    group.run(200).unwrap();
    (group, leader)
}

fn restart(group: &mut Group, ids: &[NodeId]) {
    for id in ids {
        group.crash(*id, 0);
    }
    for id in ids {
        group.start(*id);
    }
}

/// Cuts all messages from `from` to the others.
fn silence(group: &mut Group, from: NodeId) {
    for to in 1..=3 {
        group.cut.insert((from, to));
    }
}

#[test]
fn a_group_that_restarted_as_a_whole_elects_at_once() {
    let (mut group, _) = led_group();
    restart(&mut group, &[1, 2, 3]);
    // Connections end with their processes, and what was on its way with them.
    group.flying.clear();
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_some());
    group.heal_and_check().unwrap();
}

#[test]
fn a_group_for_which_it_is_switched_off_waits_as_long_as_a_lease() {
    let (mut group, _) = led_group();
    group.cfg.elects_at_once = false;
    restart(&mut group, &[1, 2, 3]);
    group.flying.clear();
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_none());
    group.run(5_000).unwrap();
    assert!(group.leader().is_some());
}

#[test]
fn a_group_elects_at_once_after_the_last_of_its_replicas_is_back() {
    let (mut group, leader) = led_group();
    for id in 1..=3 {
        group.crash(id, 0);
    }
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    group.start(others[0]);
    group.run(100).unwrap();
    group.start(others[1]);
    group.run(100).unwrap();
    assert_eq!(group.leader(), None, "the silent replica may hold a lease");
    group.start(leader);
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_some());
}

#[test]
fn two_that_restarted_wait_for_the_lease_of_a_leader_that_they_do_not_hear() {
    let (mut group, leader) = led_group();
    silence(&mut group, leader);
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    let wait = group.cfg.election_min.as_millis() as u64;
    group.run(wait - 100).unwrap();
    assert!(others.iter().all(|id| !group.replica(*id).leads()));
    group.run(5_000).unwrap();
    assert!(others.contains(&group.leader().unwrap()));
}

#[test]
fn two_that_restarted_go_on_under_their_leader() {
    let (mut group, leader) = led_group();
    let term = group.replica(leader).term();
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    group.run(3_000).unwrap();
    assert_eq!((group.leader(), group.replica(leader).term()), (Some(leader), term));
}

#[test]
fn a_leader_that_restarted_is_replaced_after_the_time_of_its_lease() {
    let (mut group, leader) = led_group();
    restart(&mut group, &[leader]);
    group.run(200).unwrap();
    assert_eq!(group.leader(), None, "the others remember that they follow it");
    group.run(3_000).unwrap();
    assert!(group.leader().is_some());
}

/// Answers what was sent to an identity whose disk is lost, as the process at its address does.
fn answer_for(group: &mut Group, lost: NodeId) {
    for Flying { from, to, message } in std::mem::take(&mut group.flying) {
        let asked = Envelope { from, to, message };
        if to == lost
            && let Some(Envelope { from, to, message }) = answer_for_former_identity(&asked)
        {
            group.flying.push(Flying { from, to, message });
        }
        let Envelope { from, to, message } = asked;
        group.flying.push(Flying { from, to, message });
    }
}

#[test]
fn two_of_three_elect_at_once_when_the_third_comes_back_without_its_disk() {
    let (mut group, leader) = led_group();
    group.nodes.remove(&leader);
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    group.flying.clear();
    for _ in 0..AT_ONCE_MS / 20 {
        answer_for(&mut group, leader);
        group.run(20).unwrap();
    }
    assert!(group.leader().is_some_and(|id| others.contains(&id)));
}

#[test]
fn only_questions_are_answered_for_a_former_identity() {
    let heartbeat = Envelope { from: 1, to: 2, message: Message::NotLeading { life: 1 } };
    assert_eq!(answer_for_former_identity(&heartbeat), None);
}

#[test]
fn a_leader_does_not_say_that_it_does_not_lead() {
    let (mut group, leader) = led_group();
    let asker = (1..=3).find(|id| *id != leader).unwrap();
    group.flying.clear();
    group.step(leader, |replica, now| replica.receive(asker, Message::AskLead { life: 1 }, now));
    assert!(group.flying.is_empty());
}

#[test]
fn an_answer_to_a_former_life_counts_for_nothing() {
    let (mut group, leader) = led_group();
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others[..1]);
    let former = Message::NotLeading { life: 1 };
    for from in [others[1], leader] {
        let answer = former.clone();
        group.step(others[0], |replica, now| replica.receive(from, answer, now));
    }
    assert!(!group.replica(others[0]).rules_out_leases());
}

/// Restarts one, two or all replicas, with cuts and delays in between.
fn random_restarts(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut group = Group::new(3);
    for node in group.nodes.values_mut() {
        node.drift = u.int_in_range(-10..=10)?;
    }
    group.run(2_000).unwrap();
    for _ in 0..200 {
        let (id, other) = (u.int_in_range(1..=3)?, u.int_in_range(1..=3)?);
        match u.int_in_range(0..=29)? {
            0 => restart(&mut group, &[1, 2, 3]),
            1 if id != other => restart(&mut group, &[id, other]),
            2 => restart(&mut group, &[id]),
            3 => silence(&mut group, id),
            4 | 5 => group.cut.clear(),
            6..=9 => group.propose(id),
            10 => group.hand_over(id),
            _ => {
                group.advance(Duration::from_millis(u.int_in_range(1..=60)?));
                for _ in 0..group.flying.len().min(20) {
                    let at = u.choose_index(group.flying.len())?;
                    // One in eight stays on its way, also beyond its sender's life.
                    if !u.ratio(1, 8)? {
                        group.deliver(at);
                    }
                }
            }
        }
        if let Err(err) = group.verify() {
            panic!("{err}");
        }
    }
    group.flying.clear();
    if let Err(err) = group.heal_and_check() {
        panic!("{err}");
    }
    Ok(())
}

#[test]
fn no_restart_leads_to_two_leases() {
    for seed in 0..400_u64 {
        arbtest::arbtest(random_restarts).seed(seed << 32 | 1 << 16).run();
    }
}
