//! A simulated group of replicas on fake disks, whose messages are delivered by the test.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch::replication::disk::{Disk, FakeDisk};
use hatchpitch::replication::storage::StorageError;
use hatchpitch::replication::verify::GroupVerifier;
use hatchpitch::replication::{
    Index, Members, Message, NodeId, Payload, Peer, Replica, ReplicaConfig, Storage,
};

/// A node of the group. `storage` and `replica` are `None` while it is down.
pub struct Node {
    pub disk: Rc<RefCell<FakeDisk>>,
    pub storage: Option<Storage>,
    pub replica: Option<Replica>,
    /// Percentage by which its clock runs fast, or slow if negative.
    pub drift_percent: i64,
}

/// A message in flight.
#[derive(Clone)]
pub struct InFlight {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

/// The simulated group and its network.
pub struct Group {
    pub cfg: ReplicaConfig,
    pub nodes: BTreeMap<NodeId, Node>,
    pub in_flight: Vec<InFlight>,
    /// Links, from sender to receiver, on which messages are lost.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub verifier: GroupVerifier,
    base: Instant,
    /// Time since the start on the common clock.
    pub elapsed: Duration,
    /// Number of commands proposed so far.
    pub proposed: u64,
    /// Number of node starts, used as the seed of each replica so that no two starts share one.
    starts: u64,
    /// Commands that a leader reported as committed, by index.
    pub acknowledged: BTreeMap<Index, Vec<u8>>,
}

pub fn peer(id: NodeId) -> Peer {
    let addr = ([127, 0, 0, 1], u16::try_from(id).unwrap()).into();
    Peer { name: format!("box-{id}"), boxes_addr: addr, operators_addr: addr }
}

pub fn voters(ids: impl IntoIterator<Item = NodeId>) -> Members {
    let voters = ids.into_iter().map(|id| (id, peer(id))).collect();
    Members { voters, learners: BTreeMap::new() }
}

impl Group {
    pub fn new(size: u64) -> Self {
        let mut group = Self {
            cfg: ReplicaConfig::default(),
            nodes: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            verifier: GroupVerifier::default(),
            base: Instant::now(),
            elapsed: Duration::ZERO,
            proposed: 0,
            starts: 0,
            acknowledged: BTreeMap::new(),
        };
        for id in 1..=size {
            group.add(id, voters(1..=size));
        }
        group
    }

    /// Restarts all nodes with at most `count` entries in a message.
    pub fn set_max_entries(&mut self, count: usize) {
        self.cfg.max_entries = count;
        self.restart_all();
    }

    /// Restarts all nodes with a size limit at which every message with a payload is large.
    pub fn set_all_large(&mut self) {
        self.cfg.large_bytes = 0;
        self.restart_all();
    }

    fn restart_all(&mut self) {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.start(id);
        }
    }

    /// Adds a node with an empty log.
    pub fn add(&mut self, id: NodeId, members: Members) {
        let disk = Rc::new(RefCell::new(FakeDisk::default()));
        Storage::create(&Disk::Fake(disk.clone()), members).unwrap();
        self.nodes.insert(id, Node { disk, storage: None, replica: None, drift_percent: 0 });
        self.start(id);
    }

    /// Returns the time on a node's own clock, which may drift.
    pub fn now(&self, id: NodeId) -> Instant {
        let drift = self.nodes[&id].drift_percent;
        let millis = self.elapsed.as_millis() as i64;
        self.base + Duration::from_millis((millis + millis * drift / 100) as u64)
    }

    /// Returns the time on the common clock, by which leases are compared.
    pub fn common_now(&self) -> Instant {
        self.base + self.elapsed
    }

    /// Starts a node. It stays down if its disk still fails.
    pub fn start(&mut self, id: NodeId) {
        let now = self.now(id);
        let cfg = self.cfg;
        self.starts += 1;
        let seed = self.starts;
        let node = self.nodes.get_mut(&id).unwrap();
        let (storage, restored) = match Storage::open(Disk::Fake(node.disk.clone())) {
            Ok(opened) => opened,
            Err(StorageError::Io { .. }) => return,
            Err(err) => panic!("{err}"),
        };
        node.storage = Some(storage);
        node.replica = Some(Replica::new(id, cfg, restored, seed, now));
    }

    /// Crashes a node; `kept` bytes of each unsynced tail survive.
    pub fn crash(&mut self, id: NodeId, kept: usize) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.replica = None;
        node.storage = None;
        node.disk.borrow_mut().crash(kept);
    }

    /// Runs a step on a node and processes its output. The node goes down if its disk fails.
    pub fn step(&mut self, id: NodeId, step: impl FnOnce(&mut Replica, Instant)) {
        let now = self.now(id);
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(replica) = node.replica.as_mut() else { return };
        step(replica, now);
        self.process_ready(id);
    }

    fn process_ready(&mut self, id: NodeId) {
        loop {
            let now = self.now(id);
            let node = self.nodes.get_mut(&id).unwrap();
            let (Some(replica), Some(storage)) = (node.replica.as_mut(), node.storage.as_mut())
            else {
                return;
            };
            let ready = replica.ready();
            if ready.is_empty() {
                return;
            }
            let end = replica.end().index;
            if storage.save(&ready).is_err() {
                node.replica = None;
                node.storage = None;
                return;
            }
            replica.persisted(end, now);
            let leads = replica.leads();
            let in_flight = ready.messages.into_iter();
            self.in_flight.extend(in_flight.map(|(to, message)| InFlight {
                from: id,
                to,
                message,
            }));
            for entry in ready.committed.into_iter().filter(|_| leads) {
                if let Payload::Command(command) = entry.payload {
                    self.acknowledged.insert(entry.index, command);
                }
            }
        }
    }

    pub fn propose(&mut self, id: NodeId) {
        self.proposed += 1;
        let command = self.proposed.to_be_bytes().to_vec();
        self.step(id, |replica, now| {
            replica.propose(vec![command], now);
        });
    }

    /// Makes a node hand leadership over, if it leads.
    pub fn hand_over(&mut self, id: NodeId) {
        self.step(id, |replica, now| {
            replica.hand_over(None, now);
        });
    }

    /// Takes a snapshot of all committed entries on a node.
    pub fn compact(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).unwrap();
        let (Some(replica), Some(storage)) = (node.replica.as_mut(), node.storage.as_mut()) else {
            return;
        };
        let commit = replica.commit();
        if let Some(snapshot) = replica.compact(commit, vec![0; 16])
            && storage.rotate(&snapshot, replica.log().from(commit + 1)).is_err()
        {
            node.replica = None;
            node.storage = None;
        }
    }

    /// Delivers the in-flight message at a position in the list, unless its link is cut.
    pub fn deliver(&mut self, at: usize) {
        let InFlight { from, to, message } = self.in_flight.remove(at);
        if self.cut_links.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        self.step(to, |replica, now| replica.receive(from, message, now));
    }

    /// Reports to each node which of its large messages are no longer in flight.
    fn report_large_done(&mut self) {
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for (from, to) in ids.iter().flat_map(|from| ids.iter().map(move |to| (*from, *to))) {
            let is_large = |m: &Message| m.payload_len() > self.cfg.large_bytes;
            let matches = |f: &InFlight| f.from == from && f.to == to && is_large(&f.message);
            if !self.in_flight.iter().any(matches) {
                self.step(from, |replica, _| replica.large_done(to));
            }
        }
    }

    /// Advances the clocks and ticks all nodes.
    pub fn advance(&mut self, by: Duration) {
        self.elapsed += by;
        self.report_large_done();
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.step(id, |replica, now| replica.tick(now));
        }
    }

    pub fn verify(&mut self) -> Result<(), String> {
        let now = self.common_now();
        let replicas: Vec<Replica> =
            self.nodes.values().filter_map(|node| node.replica.clone()).collect();
        self.verifier.observe(replicas.iter(), now)
    }

    /// Runs the group for `millis` ms, delivering messages in order and checking the invariants.
    pub fn run(&mut self, millis: u64) -> Result<(), String> {
        for _ in 0..millis / 20 {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            self.advance(Duration::from_millis(20));
            self.verify()?;
        }
        Ok(())
    }

    /// Returns the node with the newest term among those that have a lease, even an expired one.
    pub fn leader(&self) -> Option<NodeId> {
        let leaders = self
            .nodes
            .iter()
            .filter(|(_, node)| node.replica.as_ref().is_some_and(|r| r.lease_until().is_some()));
        leaders.max_by_key(|(_, node)| node.replica.as_ref().map(Replica::term)).map(|(id, _)| *id)
    }

    pub fn replica(&self, id: NodeId) -> &Replica {
        self.nodes[&id].replica.as_ref().unwrap()
    }

    /// Restores all links, disks and nodes, then checks that the leader's log contains every
    /// acknowledged command.
    pub fn heal_and_check(&mut self) -> Result<(), String> {
        self.cut_links.clear();
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.nodes[&id].disk.borrow_mut().clear_failure();
            if self.nodes[&id].replica.is_none() {
                self.start(id);
            }
        }
        self.run(10_000)?;
        let leader = self.leader().ok_or("no leader after all faults were cleared")?;
        self.propose(leader);
        self.run(1_000)?;
        let replica = self.replica(leader);
        for (index, command) in &self.acknowledged {
            let Some(entry) = replica.log().get(*index) else {
                if *index <= replica.log().end().index && replica.commit() >= *index {
                    continue; // The snapshot covers it.
                }
                return Err(format!("acknowledged entry {index} is missing"));
            };
            if entry.payload != Payload::Command(command.clone()) {
                return Err(format!("acknowledged entry {index} was replaced"));
            }
        }
        Ok(())
    }
}
