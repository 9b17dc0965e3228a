//! Boxes that leave the group, are replaced or lose their disks, with crashes between any two steps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbitrary::Unstructured;
use hatchpitch::control::core_changes::{Cause, CoreChange, CoreRequests};
use hatchpitch::control::join::{JoinRequest, LeaveRequest};
use hatchpitch::replication::{Members, NodeId, Replica};

use super::group::{Group, peer, voters};

/// Number of random steps of a schedule.
const STEPS: usize = 200;
/// Number of random bytes of a schedule; `arbtest` takes it from the low half of the seed.
const SEED_BYTES: u64 = 1 << 20;
/// Identities of boxes that lost their disk, by which they are told from those of the first start.
const NEW_IDENTITY: NodeId = 100;
/// Number of messages after which the steps of a leave are certainly over.
const LEAVE_MESSAGES: usize = 48;

/// Number of messages after which a box that lost its disk has certainly returned.
const JOIN_MESSAGES: usize = 96;

/// A group whose leader changes the members.
struct Core {
    group: Group,
    /// Target size of the group.
    size: usize,
    /// Requests that each process has heard; a crash loses them.
    requests: BTreeMap<NodeId, CoreRequests>,
    /// Replicas whose disk is lost.
    lost: BTreeSet<NodeId>,
    /// Boxes that stop, and so do not ask to join again.
    stopping: BTreeSet<NodeId>,
    /// Changes made so far.
    changes: Vec<CoreChange>,
}

impl Core {
    /// Creates a group of `boxes` voters with an elected leader.
    fn new(boxes: u64, size: usize) -> Self {
        let mut group = Group::new(boxes);
        group.run(5_000).unwrap();
        let mut core = Self {
            group,
            size,
            requests: BTreeMap::new(),
            lost: BTreeSet::new(),
            stopping: BTreeSet::new(),
            changes: Vec::new(),
        };
        let leader = core.leader().unwrap();
        core.group.propose(leader);
        core.group.run(200).unwrap();
        core
    }

    fn leader(&self) -> Option<NodeId> {
        self.group.leader()
    }

    fn is_up(&self, id: NodeId) -> bool {
        self.group.nodes.get(&id).is_some_and(|node| node.replica.is_some())
    }

    fn members(&self, id: NodeId) -> Members {
        self.group.replica(id).members().clone()
    }

    /// Returns the replicas that lead by their own account.
    fn leaders(&self) -> Vec<NodeId> {
        let nodes = self.group.nodes.iter();
        let leads = |replica: &Option<Replica>| replica.as_ref().is_some_and(Replica::leads);
        nodes.filter(|(_, node)| leads(&node.replica)).map(|(id, _)| *id).collect()
    }

    /// Passes a request to leave to every leader.
    fn ask_to_leave(&mut self, id: NodeId) {
        self.stopping.insert(id);
        for leader in self.leaders() {
            let now = self.group.now(leader);
            let req = LeaveRequest { id, core_size: self.size };
            self.requests.entry(leader).or_default().leave(&req, now);
        }
    }

    /// Passes a request to join to every leader.
    fn ask_to_join(&mut self, id: NodeId) {
        for leader in self.leaders() {
            let now = self.group.now(leader);
            let box_id = id % NEW_IDENTITY;
            let req = JoinRequest { id, peer: peer(box_id), core_size: self.size };
            self.requests.entry(leader).or_default().join(&req, now);
        }
    }

    /// Makes each leader begin the change that is due.
    fn change_members(&mut self) {
        for leader in self.leaders() {
            let now = self.group.now(leader);
            let requests = self.requests.entry(leader).or_default();
            let replica = self.group.nodes[&leader].replica.as_ref().unwrap();
            requests.expire(replica.members(), now);
            let nodes = &self.group.nodes;
            let is_absent = |id| nodes.get(&id).is_none_or(|node| node.replica.is_none());
            let Some(change) = requests.next_change(replica, self.size, is_absent, now) else {
                continue;
            };
            let mut is_made = false;
            self.group.step(leader, |replica, now| {
                is_made = replica.change_members(&(&change).into(), now).is_ok();
            });
            if is_made {
                self.changes.push(change);
            }
        }
    }

    /// Runs the group, with all boxes that are no voters asking to join.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.ask_again();
            self.change_members();
            self.group.run(20).unwrap();
        }
    }

    /// Makes all running boxes that are not voters ask to join.
    fn ask_again(&mut self) {
        let Some(leader) = self.leader() else { return };
        let voters = self.members(leader).voters;
        let mut ids: Vec<NodeId> = self.group.nodes.keys().copied().collect();
        let asks = |id: &NodeId| !voters.contains_key(id) && !self.stopping.contains(id);
        ids.retain(|id| self.is_up(*id) && asks(id));
        for id in ids {
            self.ask_to_join(id);
        }
    }

    fn crash(&mut self, id: NodeId) {
        self.group.crash(id, 0);
        self.requests.remove(&id);
        self.stopping.remove(&id);
    }

    /// Ends a box for good.
    fn remove(&mut self, id: NodeId) {
        self.group.nodes.remove(&id);
        self.requests.remove(&id);
    }

    /// Ends a box and returns it with an empty disk.
    fn lose_disk(&mut self, id: NodeId) {
        self.remove(id);
        self.lost.insert(id);
        self.group.add(id + NEW_IDENTITY, voters([]));
    }

    /// Makes a box lose its disk once more.
    fn lose_disk_again(&mut self, id: NodeId) {
        self.remove(id + NEW_IDENTITY);
        self.lost.insert(id + NEW_IDENTITY);
        self.group.add(id + 2 * NEW_IDENTITY, voters([]));
    }

    /// Checks that the group goes on without anything lost.
    fn check(&mut self) {
        self.run(5_000);
        self.group.heal_and_check().unwrap();
    }
}

/// Stops a box as a planned stop does: it hands the lead over, leaves the group and ends.
fn leave_for_good(core: &mut Core, id: NodeId) {
    if core.leader() == Some(id) {
        core.group.hand_over(id);
        core.group.run(100).unwrap();
    }
    core.ask_to_leave(id);
    core.run(100);
    let leader = core.leader().unwrap();
    assert!(!core.members(leader).voters.contains_key(&id));
    core.remove(id);
}

/// Guards against a core that is gone for good after a box has left it for good: four voters need
/// three, and another box loses its disk right after.
#[test]
fn a_disk_lost_after_a_voter_beyond_the_target_size_has_left_ends_the_core() {
    for (boxes, size) in [(4, 3), (5, 3), (6, 5)] {
        for leaver in 1..=boxes {
            for victim in (1..=boxes).filter(|id| *id != leaver) {
                let mut core = Core::new(boxes, size);
                leave_for_good(&mut core, leaver);
                core.lose_disk(victim);
                core.check();
            }
        }
    }
}

/// Guards against a single box that replaces another one and can't decide alone.
#[test]
fn a_group_of_one_ends_with_the_box_that_was_replaced() {
    for leaver in 1..=2 {
        let mut core = Core::new(2, 1);
        leave_for_good(&mut core, leaver);
        core.check();
    }
}

/// Guards against a step of a leave that a crash leaves half done. The leader, the leaving box or
/// another one crashes after each message, and returns.
#[test]
fn a_crash_between_two_steps_of_a_leave_ends_the_core() {
    for (boxes, size) in [(4, 3), (6, 5)] {
        for steps in 0..LEAVE_MESSAGES {
            for crashed in 0..3 {
                let mut core = Core::new(boxes, size);
                let old = core.leader().unwrap();
                core.group.hand_over(old);
                core.group.run(100).unwrap();
                let leader = core.leader().unwrap();
                let other = (1..=boxes).find(|id| *id != old && *id != leader).unwrap();
                core.ask_to_leave(old);
                core.change_members();
                for _ in 0..steps {
                    match core.group.in_flight.is_empty() {
                        true => core.group.advance(Duration::from_millis(20)),
                        false => core.group.deliver(0),
                    }
                    core.group.verify().unwrap();
                }
                let crashed = [leader, old, other][crashed];
                core.crash(crashed);
                core.run(2_000);
                core.group.start(crashed);
                core.ask_to_leave(old);
                core.run(6_000);
                let leader = core.leader().expect("one crash leaves a majority");
                assert!(core.members(leader).voters.len() >= size);
                core.check();
            }
        }
    }
}

/// Guards against a voter that is removed for good only once it has been silent, while its box
/// refuses connections. A second loss right after that must be borne.
#[test]
fn a_voter_whose_box_refuses_connections_stays_until_it_has_been_silent() {
    for boxes in [4, 5, 6] {
        let size = if boxes == 6 { 5 } else { 3 };
        let mut core = Core::new(boxes, size);
        let leader = core.leader().unwrap();
        let gone = (1..=boxes).find(|id| *id != leader).unwrap();
        core.remove(gone);
        core.run(100);
        assert!(!core.members(leader).voters.contains_key(&gone));
        assert!(
            matches!(core.changes[..], [CoreChange::Remove(id, _, Cause::NoListener)] if id == gone)
        );
        let victim = (1..=boxes).rfind(|id| *id != leader && *id != gone).unwrap();
        core.lose_disk(victim);
        core.check();
    }
}

/// Guards against a group that is not larger than its target size and shrinks.
#[test]
fn a_group_of_its_target_size_shrinks() {
    for size in [1_u64, 2, 3, 5] {
        let mut core = Core::new(size, usize::try_from(size).unwrap());
        let leader = core.leader().unwrap();
        for id in (1..=size).filter(|id| *id != leader) {
            core.ask_to_leave(id);
        }
        core.run(400);
        if let Some(gone) = (1..=size).find(|id| *id != leader) {
            core.crash(gone);
            core.run(4_000);
        }
        assert!(core.changes.is_empty(), "{:?}", core.changes);
    }
    // Another box that is known has a larger target size in its settings.
    let mut core = Core::new(4, 3);
    let leader = core.leader().unwrap();
    let leaver = (1..=4).find(|id| *id != leader).unwrap();
    core.requests.entry(leader).or_default().record_core_size(leaver, 4);
    core.ask_to_leave(leaver);
    core.requests.entry(leader).or_default().record_core_size(leaver, 4);
    core.run(400);
    assert!(core.changes.is_empty(), "{:?}", core.changes);
}

/// Guards against a join that waits for a box which is gone again, and keeps the others waiting.
#[test]
fn a_box_that_is_gone_before_it_caught_up_keeps_others_from_joining() {
    let mut core = Core::new(3, 3);
    let leader = core.leader().unwrap();
    let [first, second] = [1, 2].map(|n| (1..=3).filter(|id| *id != leader).nth(n - 1).unwrap());
    // It asks, never answers, and loses its disk once more.
    core.remove(first);
    core.ask_to_join(first + NEW_IDENTITY);
    core.change_members();
    core.group.run(100).unwrap();
    assert!(core.members(leader).learners.contains_key(&(first + NEW_IDENTITY)));
    core.lost.insert(first + NEW_IDENTITY);
    core.group.add(first + 2 * NEW_IDENTITY, voters([]));
    core.run(500);
    let members = core.members(leader);
    assert!(members.voters.contains_key(&(first + 2 * NEW_IDENTITY)), "{members:?}");
    assert_eq!((members.voters.len(), members.learners.len()), (3, 0), "{members:?}");
    core.lose_disk(second);
    core.check();
}

/// Guards against a box that loses its disk a second time right after it was promoted, and with it
/// two voters of four. It fails after each message of its return.
#[test]
fn a_disk_lost_twice_by_the_same_box_ends_the_core() {
    for (boxes, size) in [(3, 3), (4, 3), (5, 5)] {
        for steps in 0..JOIN_MESSAGES {
            let mut core = Core::new(boxes, size);
            let leader = core.leader().unwrap();
            let lost = (1..=boxes).find(|id| *id != leader).unwrap();
            core.lose_disk(lost);
            for _ in 0..steps {
                core.ask_again();
                core.change_members();
                match core.group.in_flight.is_empty() {
                    true => core.group.advance(Duration::from_millis(20)),
                    false => core.group.deliver(0),
                }
                core.group.verify().unwrap();
            }
            core.lose_disk_again(lost);
            core.run(4_000);
            let leader = core.leader().expect("one box of them is lost");
            let second = (1..=boxes).rfind(|id| *id != lost && *id != leader).unwrap();
            core.lose_disk(second);
            core.check();
        }
    }
}

/// Guards against a removal on wrong evidence that a box does not recover from: one whose process
/// ended for a moment returns with its disk and its identity.
#[test]
fn a_voter_that_returns_after_its_removal_stays_outside() {
    let mut core = Core::new(4, 3);
    let leader = core.leader().unwrap();
    let id = (1..=4).find(|id| *id != leader).unwrap();
    core.crash(id);
    core.run(300);
    assert!(!core.members(leader).voters.contains_key(&id));
    core.group.start(id);
    core.run(500);
    assert!(core.members(leader).voters.contains_key(&id));
    assert_eq!(core.leader(), Some(leader), "its return does not cost the leader its lead");
    core.check();
}

/// Executes one random step. Disks are lost one at a time, and the next one only once the box that
/// lost the last one is a voter again.
fn random_step(core: &mut Core, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let ids: Vec<NodeId> = core.group.nodes.keys().copied().collect();
    let id = *u.choose(&ids)?;
    match u.int_in_range(0..=29)? {
        0 if core.is_up(id) => core.crash(id),
        1..=4 if !core.is_up(id) => core.group.start(id),
        5 => core.ask_to_leave(id),
        6 => core.group.hand_over(id),
        7 if may_lose_disk(core) => core.lose_disk(id),
        8 => {
            let other = *u.choose(&ids)?;
            core.group.cut_links.insert((id, other));
        }
        9 => core.group.cut_links.clear(),
        10 => core.group.compact(id),
        11..=14 => core.group.propose(id),
        15..=18 => core.change_members(),
        19 => core.ask_again(),
        _ => {
            core.group.advance(Duration::from_millis(u.int_in_range(5..=120)?));
            for _ in 0..core.group.in_flight.len() {
                if core.group.in_flight.is_empty() {
                    break;
                }
                let at = u.choose_index(core.group.in_flight.len())?;
                match u.int_in_range(0..=19)? {
                    0 => drop(core.group.in_flight.remove(at)),
                    1 => {}
                    _ => core.group.deliver(at),
                }
            }
        }
    }
    Ok(())
}

/// Returns whether another disk may be lost: every running box knows members without lost replicas,
/// and all of them are up and hold what the leader has committed.
fn may_lose_disk(core: &Core) -> bool {
    let Some(leader) = core.leader() else { return false };
    let replica = core.group.replica(leader);
    let members = replica.members();
    let holds_all = |id: &NodeId| *id == leader || replica.replication_lag(*id) == Some(0);
    replica.members_committed()
        && members.all().all(|(id, _)| !core.lost.contains(&id) && core.is_up(id))
        && members.voters.len() > 2
        && members.voters.keys().all(holds_all)
        && core.group.nodes.keys().all(|id| members.voters.contains_key(id))
}

/// Guards against two groups that decide, an older configuration that is shown, or a vote of a
/// replica that lost what it voted for, while boxes leave, return and are replaced.
#[test]
fn a_change_of_the_members_loses_what_was_acknowledged() {
    for (seeds, boxes, size) in [(300, 4, 3), (100, 5, 3), (60, 6, 5)] {
        let (mut acknowledged, mut changes, mut lost) = (0, 0, 0);
        for seed in 0..seeds {
            let run = |u: &mut Unstructured<'_>| {
                let mut core = Core::new(boxes, size);
                for _ in 0..STEPS {
                    random_step(&mut core, u)?;
                    if let Err(err) = core.group.verify() {
                        panic!("{err}");
                    }
                }
                acknowledged += core.group.acknowledged.len();
                core.group.cut_links.clear();
                let mut ids: Vec<NodeId> = core.group.nodes.keys().copied().collect();
                ids.retain(|id| !core.is_up(*id));
                for id in ids {
                    core.group.start(id);
                }
                core.check();
                (changes, lost) = (changes + core.changes.len(), lost + core.lost.len());
                Ok(())
            };
            arbtest::arbtest(run).seed(seed << 32 | SEED_BYTES).run();
        }
        println!(
            "{seeds} schedules of {boxes}: {acknowledged} commands, {changes} changes, {lost} disks"
        );
        assert!(acknowledged as u64 > seeds && changes as u64 > seeds && lost > 0);
    }
}
