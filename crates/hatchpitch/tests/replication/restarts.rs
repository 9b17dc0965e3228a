//! Tests of elections after restarts: at once if no lease can be in force, otherwise after any
//! lease has expired.

use std::time::Duration;

use arbitrary::Unstructured;
use hatchpitch::replication::restart::answer_for_former_identity;
use hatchpitch::replication::{Envelope, Message, NodeId};

use super::group::{Group, InFlight};

/// Time within which a fully restarted group elects a leader, in ms: the short election timeout and
/// a few rounds of messages, far below the shortest wait for a lease to expire.
const AT_ONCE_MS: u64 = 200;

/// Returns a group of three with a leader that has committed a command.
fn group_with_leader() -> (Group, NodeId) {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    group.propose(leader);
    group.run(200).unwrap();
    (group, leader)
}

/// Crashes all given nodes, then starts them.
fn restart(group: &mut Group, ids: &[NodeId]) {
    for id in ids {
        group.crash(*id, 0);
    }
    for id in ids {
        group.start(*id);
    }
}

/// Cuts the links from a node to all nodes.
fn cut_outgoing(group: &mut Group, from: NodeId) {
    for to in 1..=3 {
        group.cut_links.insert((from, to));
    }
}

#[test]
fn fully_restarted_group_elects_at_once() {
    let (mut group, _) = group_with_leader();
    restart(&mut group, &[1, 2, 3]);
    // Connections end with their processes, so messages in flight are lost.
    group.in_flight.clear();
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_some());
    group.heal_and_check().unwrap();
}

#[test]
fn group_waits_for_leases_if_immediate_election_is_disabled() {
    let (mut group, _) = group_with_leader();
    group.cfg.elects_at_once = false;
    restart(&mut group, &[1, 2, 3]);
    group.in_flight.clear();
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_none());
    group.run(5_000).unwrap();
    assert!(group.leader().is_some());
}

#[test]
fn group_elects_at_once_when_its_last_replica_is_back() {
    let (mut group, leader) = group_with_leader();
    for id in 1..=3 {
        group.crash(id, 0);
    }
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    group.start(others[0]);
    group.run(100).unwrap();
    group.start(others[1]);
    group.run(100).unwrap();
    assert_eq!(group.leader(), None, "the replica that is down may hold a lease");
    group.start(leader);
    group.run(AT_ONCE_MS).unwrap();
    assert!(group.leader().is_some());
}

#[test]
fn two_restarted_replicas_wait_for_the_lease_of_an_unreachable_leader() {
    let (mut group, leader) = group_with_leader();
    cut_outgoing(&mut group, leader);
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    let wait = group.cfg.election_min.as_millis() as u64;
    group.run(wait - 100).unwrap();
    assert!(others.iter().all(|id| !group.replica(*id).leads()));
    group.run(5_000).unwrap();
    assert!(others.contains(&group.leader().unwrap()));
}

#[test]
fn two_restarted_replicas_keep_following_their_leader() {
    let (mut group, leader) = group_with_leader();
    let term = group.replica(leader).term();
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    group.run(3_000).unwrap();
    assert_eq!((group.leader(), group.replica(leader).term()), (Some(leader), term));
}

#[test]
fn restarted_leader_is_replaced_after_its_lease() {
    let (mut group, leader) = group_with_leader();
    restart(&mut group, &[leader]);
    group.run(200).unwrap();
    assert_eq!(group.leader(), None, "the others still refuse votes because of its lease");
    group.run(3_000).unwrap();
    assert!(group.leader().is_some());
}

/// Answers messages to a replica whose disk was lost, as the new process at its address does.
fn answer_for_lost_identity(group: &mut Group, lost: NodeId) {
    for InFlight { from, to, message } in std::mem::take(&mut group.in_flight) {
        let envelope = Envelope { from, to, message };
        if to == lost
            && let Some(Envelope { from, to, message }) = answer_for_former_identity(&envelope)
        {
            group.in_flight.push(InFlight { from, to, message });
        }
        let Envelope { from, to, message } = envelope;
        group.in_flight.push(InFlight { from, to, message });
    }
}

#[test]
fn two_replicas_elect_at_once_when_the_third_returns_without_its_disk() {
    let (mut group, leader) = group_with_leader();
    group.nodes.remove(&leader);
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others);
    group.in_flight.clear();
    for _ in 0..AT_ONCE_MS / 20 {
        answer_for_lost_identity(&mut group, leader);
        group.run(20).unwrap();
    }
    assert!(group.leader().is_some_and(|id| others.contains(&id)));
}

#[test]
fn only_lease_queries_are_answered_for_a_former_identity() {
    let reply = Envelope { from: 1, to: 2, message: Message::NotLeading { life: 1 } };
    assert_eq!(answer_for_former_identity(&reply), None);
}

#[test]
fn leader_does_not_answer_lease_queries() {
    let (mut group, leader) = group_with_leader();
    let asker = (1..=3).find(|id| *id != leader).unwrap();
    group.in_flight.clear();
    group.step(leader, |replica, now| replica.receive(asker, Message::AskLead { life: 1 }, now));
    assert!(group.in_flight.is_empty());
}

#[test]
fn answer_to_an_earlier_incarnation_is_ignored() {
    let (mut group, leader) = group_with_leader();
    let others: Vec<NodeId> = (1..=3).filter(|id| *id != leader).collect();
    restart(&mut group, &others[..1]);
    let stale = Message::NotLeading { life: 1 };
    for from in [others[1], leader] {
        let answer = stale.clone();
        group.step(others[0], |replica, now| replica.receive(from, answer, now));
    }
    assert!(!group.replica(others[0]).rules_out_leases());
}

/// Restarts one, two or all replicas at random, with cut links, message delays, proposals and
/// leadership transfers in between.
fn random_restarts(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut group = Group::new(3);
    for node in group.nodes.values_mut() {
        node.drift_percent = u.int_in_range(-10..=10)?;
    }
    group.run(2_000).unwrap();
    for _ in 0..200 {
        let (id, other) = (u.int_in_range(1..=3)?, u.int_in_range(1..=3)?);
        match u.int_in_range(0..=29)? {
            0 => restart(&mut group, &[1, 2, 3]),
            1 if id != other => restart(&mut group, &[id, other]),
            2 => restart(&mut group, &[id]),
            3 => cut_outgoing(&mut group, id),
            4 | 5 => group.cut_links.clear(),
            6..=9 => group.propose(id),
            10 => group.hand_over(id),
            _ => {
                group.advance(Duration::from_millis(u.int_in_range(1..=60)?));
                for _ in 0..group.in_flight.len().min(20) {
                    let at = u.choose_index(group.in_flight.len())?;
                    // One message in eight stays in flight, possibly after its sender restarted.
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
    group.in_flight.clear();
    if let Err(err) = group.heal_and_check() {
        panic!("{err}");
    }
    Ok(())
}

#[test]
fn random_restarts_never_lead_to_two_leases() {
    for seed in 0..400_u64 {
        arbtest::arbtest(random_restarts).seed(seed << 32 | 1 << 16).run();
    }
}
