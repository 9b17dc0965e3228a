//! Breadth-first exploration of the reachable states of a small group, up to a fixed bound.

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

/// Maximum number of election timeouts on a path. This and the next two bounds keep the state space
/// finite.
const MAX_TIMEOUTS: u8 = 3;
/// Maximum number of proposals on a path.
const MAX_PROPOSALS: u8 = 1;
/// Maximum number of restarts on a path.
const MAX_RESTARTS: u8 = 1;
/// Maximum number of distinct states. The test prints how many it visited.
const MAX_STATES: usize = 60_000;

/// State of a group: its replicas, their disks and the messages in flight.
#[derive(Clone)]
struct ModelState {
    replicas: BTreeMap<NodeId, Replica>,
    disks: BTreeMap<NodeId, Restored>,
    in_flight: Vec<(NodeId, NodeId, Message)>,
    verifier: GroupVerifier,
    timeouts: u8,
    proposals: u8,
    restarts: u8,
}

impl ModelState {
    fn new(now: Instant) -> Self {
        let snapshot = Snapshot {
            end: LogEnd { term: 0, index: 0 },
            members: voters([1, 2, 3]),
            data: Vec::new(),
        };
        let empty = Restored { hard: HardState::default(), snapshot, entries: Vec::new() };
        let disks: BTreeMap<NodeId, Restored> = (1..=3).map(|id| (id, empty.clone())).collect();
        let mut state = Self {
            replicas: BTreeMap::new(),
            disks,
            in_flight: Vec::new(),
            verifier: GroupVerifier::default(),
            timeouts: 0,
            proposals: 0,
            restarts: 0,
        };
        for id in 1..=3 {
            state.start(id, now);
        }
        state
    }

    fn start(&mut self, id: NodeId, now: Instant) {
        // Without leases, replicas never refuse a vote because of one, which is the harder case for
        // safety.
        let cfg = ReplicaConfig { election_min: Duration::ZERO, ..ReplicaConfig::default() };
        let replica = Replica::new(id, cfg, self.disks[&id].clone(), 1, now);
        self.replicas.insert(id, replica);
    }

    fn process_ready(&mut self, id: NodeId, now: Instant) {
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
            self.in_flight
                .extend(ready.messages.into_iter().map(|(to, message)| (id, to, message)));
        }
    }

    /// Returns the states after every possible next step.
    fn successors(&self, now: Instant, later: Instant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        for at in 0..self.in_flight.len() {
            branch(&|state| {
                let (from, to, message) = state.in_flight.remove(at);
                state.replicas.get_mut(&to).unwrap().receive(from, message, now);
                state.process_ready(to, now);
            });
        }
        for id in 1..=3 {
            if self.timeouts < MAX_TIMEOUTS && !self.replicas[&id].leads() {
                branch(&|state| {
                    state.timeouts += 1;
                    state.replicas.get_mut(&id).unwrap().tick(later);
                    state.process_ready(id, now);
                });
            }
            if self.proposals < MAX_PROPOSALS && self.replicas[&id].leads() {
                branch(&|state| {
                    state.proposals += 1;
                    let command = vec![state.proposals];
                    state.replicas.get_mut(&id).unwrap().propose(vec![command], now);
                    state.process_ready(id, now);
                });
            }
            if self.restarts < MAX_RESTARTS {
                branch(&|state| {
                    state.restarts += 1;
                    state.start(id, now);
                });
            }
        }
        next
    }

    /// Returns a digest of everything that later steps depend on, regardless of the order of
    /// messages.
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
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|m| format!("{m:?}")).collect();
        in_flight.sort();
        in_flight.hash(&mut hasher);
        (self.timeouts, self.proposals, self.restarts).hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn invariants_hold_in_reachable_states_of_three_replicas() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let initial = ModelState::new(now);
    let mut seen = HashSet::from([initial.digest()]);
    let mut queue = VecDeque::from([initial]);
    let (mut steps, mut committed) = (0_usize, 0);
    while let Some(state) = queue.pop_front() {
        for mut next in state.successors(now, later) {
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
    assert!(committed >= 1, "the exploration reaches no committed entry");
}
