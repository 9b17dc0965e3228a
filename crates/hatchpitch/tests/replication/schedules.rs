//! Random schedules from fixed seeds, and fixed scenarios for individual properties.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::replication::membership::{ChangeError, MemberChange};
use hatchpitch::replication::messages::LogEnd;
use hatchpitch::replication::{
    Entry, HardState, Message, Payload, Replica, ReplicaConfig, Restored, Snapshot,
};

use super::group::{Group, InFlight, peer, voters};

/// Number of random steps of a schedule.
const STEPS: usize = 300;
/// Number of random bytes of a schedule; `arbtest` takes it from the low half of the seed.
const SEED_BYTES: u64 = 1 << 20;

/// Parameters shared by all schedules of a run.
#[derive(Clone, Copy)]
struct ScheduleConfig {
    /// Number of replicas.
    size: u64,
    /// Whether the replicas' clocks drift.
    clocks_drift: bool,
    /// Whether leaders hand leadership over at random.
    transfers_leadership: bool,
    /// Whether every message with a payload is large.
    all_large: bool,
}

/// Advances the clocks, then delivers, drops, duplicates or delays in-flight messages in random
/// order.
fn advance_and_deliver(group: &mut Group, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    group.advance(Duration::from_millis(u.int_in_range(5..=120)?));
    for _ in 0..group.in_flight.len() {
        if group.in_flight.is_empty() {
            break;
        }
        let at = u.choose_index(group.in_flight.len())?;
        match u.int_in_range(0..=19)? {
            0 => drop(group.in_flight.remove(at)),
            1 => group.in_flight.push(group.in_flight[at].clone()),
            2 => {}
            _ => group.deliver(at),
        }
    }
    Ok(())
}

/// With a probability of 1/8, makes a random replica hand leadership over, if it leads.
fn maybe_hand_over(group: &mut Group, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let size = group.nodes.len() as u64;
    if u.ratio(1, 8)? {
        group.hand_over(u.int_in_range(1..=size)?);
    }
    Ok(())
}

/// Executes one random step: a crash, a start, a cut link, a disk fault, proposals or the passing
/// of time.
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
            group.cut_links.insert((id, other));
        }
        7 => group.cut_links.clear(),
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
        _ => advance_and_deliver(group, u)?,
    }
    Ok(())
}

/// Runs one schedule. Returns the number of commands acknowledged before the faults are cleared.
fn run_schedule(u: &mut Unstructured<'_>, cfg: ScheduleConfig) -> arbitrary::Result<usize> {
    let mut group = Group::new(cfg.size);
    // With small messages, an entry of an older term can reach a majority before the first entry of
    // the leader's own term does.
    group.set_max_entries(u.int_in_range(1..=3)?);
    if cfg.all_large {
        group.set_all_large();
    }
    if cfg.clocks_drift {
        for node in group.nodes.values_mut() {
            node.drift_percent = u.int_in_range(-10..=10)?;
        }
    }
    for _ in 0..STEPS {
        random_step(&mut group, u)?;
        if cfg.transfers_leadership {
            maybe_hand_over(&mut group, u)?;
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

fn run_schedules(seeds: u64, cfg: ScheduleConfig) {
    let mut acknowledged = 0;
    for seed in 0..seeds {
        let run = |u: &mut Unstructured<'_>| {
            acknowledged += run_schedule(u, cfg)?;
            Ok(())
        };
        arbtest::arbtest(run).seed(seed << 32 | SEED_BYTES).run();
    }
    println!("{seeds} schedules of {} replicas, {acknowledged} commands acknowledged", cfg.size);
    assert!(acknowledged as u64 > seeds * 5, "the schedules commit too few commands");
}

#[test]
fn three_replicas_keep_acknowledged_commands() {
    run_schedules(
        300,
        ScheduleConfig {
            size: 3,
            clocks_drift: false,
            transfers_leadership: false,
            all_large: false,
        },
    );
}

#[test]
fn five_replicas_with_drifting_clocks_keep_acknowledged_commands() {
    run_schedules(
        60,
        ScheduleConfig {
            size: 5,
            clocks_drift: true,
            transfers_leadership: false,
            all_large: false,
        },
    );
}

#[test]
fn acknowledged_commands_survive_random_leadership_transfers() {
    run_schedules(
        200,
        ScheduleConfig {
            size: 3,
            clocks_drift: true,
            transfers_leadership: true,
            all_large: false,
        },
    );
    run_schedules(
        40,
        ScheduleConfig {
            size: 5,
            clocks_drift: true,
            transfers_leadership: true,
            all_large: false,
        },
    );
}

#[test]
fn acknowledged_commands_survive_when_all_messages_are_large() {
    run_schedules(
        200,
        ScheduleConfig { size: 3, clocks_drift: true, transfers_leadership: true, all_large: true },
    );
    run_schedules(
        40,
        ScheduleConfig {
            size: 5,
            clocks_drift: true,
            transfers_leadership: false,
            all_large: true,
        },
    );
}

#[test]
fn leader_keeps_leadership_while_large_messages_are_in_flight() {
    let mut group = Group::new(3);
    group.set_all_large();
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    group.propose(leader);
    // The large messages stay in flight far longer than the election timeout.
    for _ in 0..500 {
        let all = std::mem::take(&mut group.in_flight);
        let (large, small): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|f| f.message.payload_len() > 0);
        assert!(large.len() <= 2, "at most one large message per replica, found {}", large.len());
        group.in_flight = small;
        while !group.in_flight.is_empty() {
            let InFlight { message, .. } = &group.in_flight[0];
            assert_eq!(
                message.payload_len(),
                0,
                "a large message was sent while another is in flight"
            );
            group.deliver(0);
        }
        group.in_flight = large;
        group.advance(Duration::from_millis(20));
    }
    assert_eq!(group.leader(), Some(leader));
    group.run(200).unwrap();
    assert_eq!(group.acknowledged.len(), 1);
}

#[test]
fn leadership_transfer_does_not_wait_for_the_election_timeout() {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let old = group.leader().unwrap();
    group.propose(old);
    group.run(200).unwrap();
    group.hand_over(old);
    assert!(group.replica(old).lease_until().is_none(), "the lease ends with the leadership");
    // Far less than the shortest election timeout.
    group.run(100).unwrap();
    let new = group.leader().unwrap();
    assert_ne!(new, old);
    assert_eq!(group.replica(old).leader(), Some(new));
}

#[test]
fn leader_keeps_leadership_if_no_voter_is_caught_up() {
    let mut group = Group::new(3);
    group.run(5_000).unwrap();
    let leader = group.leader().unwrap();
    for other in (1..=3).filter(|id| *id != leader) {
        group.cut_links.insert((leader, other));
    }
    group.propose(leader);
    group.hand_over(leader);
    assert!(group.replica(leader).leads());
}

#[test]
fn partitioned_leader_loses_its_lease_before_another_is_elected() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let old = group.leader().unwrap();
    for id in 1..=3 {
        group.cut_links.insert((old, id));
        group.cut_links.insert((id, old));
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
    assert!(!group.replica(old).leads(), "check-quorum did not make the old leader step down");
}

#[test]
fn partitioned_replica_does_not_disrupt_the_leader_on_its_return() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    let term = group.replica(leader).term();
    let isolated = (1..=3).find(|id| *id != leader).unwrap();
    for id in 1..=3 {
        group.cut_links.insert((isolated, id));
        group.cut_links.insert((id, isolated));
    }
    group.run(10_000).unwrap();
    group.cut_links.clear();
    group.run(3_000).unwrap();
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.replica(leader).term(), term);
}

#[test]
fn lagging_replica_catches_up_by_snapshot() {
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
fn committed_entries_survive_a_second_disk_loss_after_repair() {
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
    let early_promotion = MemberChange::Promote(new);
    group.step(leader, |r, now| {
        assert_eq!(r.change_members(&early_promotion, now), Err(ChangeError::Busy));
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
    let next = group.leader().expect("two of three replicas elect a leader");
    let committed = group.replica(next).commit();
    assert!(committed >= *group.acknowledged.last_key_value().unwrap().0);
    group.heal_and_check().unwrap();
}

#[test]
fn lagging_learner_is_not_promoted() {
    let mut group = Group::new(3);
    group.run(3_000).unwrap();
    let leader = group.leader().unwrap();
    group.add(4, voters([]));
    for id in 1..=3 {
        group.cut_links.insert((id, 4));
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
fn entry_of_an_older_term_is_not_committed_by_counting_replicas() {
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
    assert_eq!(replica.commit(), 0, "a later leader could still replace entry 2");
    for from in [2, 3] {
        replica.receive(from, matched(3), later);
    }
    assert_eq!(replica.commit(), 3);
}
