//! Every reachable state of a small group, breadth first.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use hatchpitch::replication::state::Restored;
use hatchpitch::replication::verify::GroupVerifier;
use hatchpitch::replication::{
    HardState, Message, NodeId, Replica, ReplicaConfig, Snapshot, messages::LogEnd,
};

use super::group::voters;

/// Bounds that keep the space finite.
const MAX_TIMEOUTS: u8 = 3;
const MAX_PROPOSALS: u8 = 1;
const MAX_RESTARTS: u8 = 1;
/// States after which the search ends; the test says how far it came.
const MAX_STATES: usize = 60_000;

#[derive(Clone)]
struct World {
    replicas: BTreeMap<NodeId, Replica>,
    disks: BTreeMap<NodeId, Restored>,
    flying: Vec<(NodeId, NodeId, Message)>,
    verifier: GroupVerifier,
    timeouts: u8,
    proposals: u8,
    restarts: u8,
}

impl World {
    fn new(now: Instant) -> Self {
        let snapshot = Snapshot {
            end: LogEnd { term: 0, index: 0 },
            members: voters([1, 2, 3]),
            data: Vec::new(),
        };
        let empty = Restored { hard: HardState::default(), snapshot, entries: Vec::new() };
        let disks: BTreeMap<NodeId, Restored> = (1..=3).map(|id| (id, empty.clone())).collect();
        let mut world = Self {
            replicas: BTreeMap::new(),
            disks,
            flying: Vec::new(),
            verifier: GroupVerifier::default(),
            timeouts: 0,
            proposals: 0,
            restarts: 0,
        };
        for id in 1..=3 {
            world.start(id, now);
        }
        world
    }

    fn start(&mut self, id: NodeId, now: Instant) {
        // Without a lease every vote is free, which is the harder case for safety.
        let cfg = ReplicaConfig { election_min: Duration::ZERO, ..ReplicaConfig::default() };
        let replica = Replica::new(id, cfg, self.disks[&id].clone(), 1, now);
        self.replicas.insert(id, replica);
    }

    fn settle(&mut self, id: NodeId, now: Instant) {
        loop {
            let replica = self.replicas.get_mut(&id).unwrap();
            let ready = replica.ready();
            if ready.is_empty() {
                return;
            }
            let end = replica.end().index;
            let disk = self.disks.get_mut(&id).unwrap();
            disk.hard = ready.hard.unwrap_or(disk.hard);
            if let Some(from) = ready.truncate_from {
                disk.entries.retain(|e| e.index < from);
            }
            disk.entries.extend(ready.entries);
            replica.persisted(end, now);
            self.flying.extend(ready.messages.into_iter().map(|(to, message)| (id, to, message)));
        }
    }

    fn next_worlds(&self, now: Instant, later: Instant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        for at in 0..self.flying.len() {
            branch(&|world| {
                let (from, to, message) = world.flying.remove(at);
                world.replicas.get_mut(&to).unwrap().receive(from, message, now);
                world.settle(to, now);
            });
        }
        for id in 1..=3 {
            if self.timeouts < MAX_TIMEOUTS && !self.replicas[&id].leads() {
                branch(&|world| {
                    world.timeouts += 1;
                    world.replicas.get_mut(&id).unwrap().tick(later);
                    world.settle(id, now);
                });
            }
            if self.proposals < MAX_PROPOSALS && self.replicas[&id].leads() {
                branch(&|world| {
                    world.proposals += 1;
                    let command = vec![world.proposals];
                    world.replicas.get_mut(&id).unwrap().propose(vec![command], now);
                    world.settle(id, now);
                });
            }
            if self.restarts < MAX_RESTARTS {
                branch(&|world| {
                    world.restarts += 1;
                    world.start(id, now);
                });
            }
        }
        next
    }

    /// Digest of everything that later steps depend on; the order of messages does not matter.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for replica in self.replicas.values() {
            let (hard, log) = (replica.term(), replica.log());
            format!("{hard} {log:?} {} {:?}", replica.commit(), replica.leader()).hash(&mut hasher);
            replica.role_label().hash(&mut hasher);
        }
        for disk in self.disks.values() {
            disk.hard.hash(&mut hasher);
        }
        let mut flying: Vec<String> = self.flying.iter().map(|m| format!("{m:?}")).collect();
        flying.sort();
        flying.hash(&mut hasher);
        (self.timeouts, self.proposals, self.restarts).hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn no_reachable_state_of_three_replicas_breaks_an_invariant() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let first = World::new(now);
    let mut seen = HashSet::from([first.digest()]);
    let mut queue = VecDeque::from([first]);
    let (mut steps, mut committed) = (0_usize, 0);
    while let Some(world) = queue.pop_front() {
        for mut next in world.next_worlds(now, later) {
            steps += 1;
            let replicas: Vec<Replica> = next.replicas.values().cloned().collect();
            if let Err(err) = next.verifier.observe(replicas.iter(), now) {
                panic!("{err}");
            }
            committed = committed.max(next.verifier.committed());
            if seen.len() < MAX_STATES && seen.insert(next.digest()) {
                queue.push_back(next);
            }
        }
    }
    println!("{} states, {steps} steps, up to {committed} committed entries", seen.len());
    assert!(committed >= 1, "the search reaches a committed entry");
}
