//! Simulates the membership protocol among many boxes; the test delivers the messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::membership::verify::verify;
use hatchpitch::membership::{
    Gossip, MemberRecord, MemberStatus, Membership, MembershipAction, MembershipConfig, Subject,
};

const TICK: Duration = Duration::from_millis(100);

struct Net {
    boxes: BTreeMap<String, Membership>,
    /// Boxes whose messages are lost in both directions.
    frozen: Vec<String>,
    now: Instant,
    messages: u64,
}

fn record(subject: Subject, incarnation: u64, status: MemberStatus) -> MemberRecord {
    let addr: SocketAddr = ([127, 0, 0, 1], 1).into();
    MemberRecord {
        subject,
        incarnation,
        status,
        addr,
        box_addr: addr,
        failure_domain: "d".to_owned(),
    }
}

fn box_named(i: usize) -> String {
    format!("box-{i:03}")
}

impl Net {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut net = Self { boxes: BTreeMap::new(), frozen: Vec::new(), now, messages: 0 };
        for i in 0..count {
            let own = record(Subject::Box(box_named(i)), 1, MemberStatus::Alive);
            let membership = Membership::new(own, MembershipConfig::default(), i as u64, now);
            net.boxes.insert(box_named(i), membership);
        }
        // All boxes join through the first one.
        for i in 1..count {
            net.exchange(&box_named(i), &box_named(0), true);
        }
        net
    }

    fn exchange(&mut self, from: &str, to: &str, want_all: bool) -> bool {
        self.messages += 2;
        let gossip = self.boxes.get_mut(from).unwrap().compose(want_all, false);
        if self.frozen.iter().any(|f| f == from || f == to) {
            return false;
        }
        let now = self.now;
        let answer: Gossip = {
            let peer = self.boxes.get_mut(to).unwrap();
            let news = peer.on_gossip(gossip, now);
            let answer = peer.compose(false, want_all);
            self.perform(to, news);
            answer
        };
        let news = self.boxes.get_mut(from).unwrap().on_gossip(answer, now);
        self.perform(from, news);
        true
    }

    fn perform(&mut self, at: &str, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Spread { to } => {
                    self.exchange(at, &to, false);
                }
                MembershipAction::Heartbeat { to, want_all } => {
                    if self.exchange(at, &to, want_all) || self.frozen.iter().any(|f| f == at) {
                        continue;
                    }
                    let now = self.now;
                    let news = self.boxes.get_mut(at).unwrap().on_unreachable(&to, now);
                    self.perform(at, news);
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.now += TICK;
            let names = self.boxes.keys().filter(|name| !self.frozen.contains(name));
            let names: Vec<String> = names.cloned().collect();
            for name in &names {
                let actions = self.boxes.get_mut(name).unwrap().tick(self.now);
                self.perform(name, actions);
            }
            for state in self.boxes.values() {
                verify(state).unwrap();
            }
        }
    }

    fn statuses(&self, subject: &Subject) -> Vec<Option<MemberStatus>> {
        let live = self.boxes.iter().filter(|(name, _)| !self.frozen.contains(name));
        live.map(|(_, state)| state.get(subject).map(|r| r.status)).collect()
    }

    fn all_have_status(&self, subject: &Subject, status: MemberStatus) -> bool {
        self.statuses(subject).iter().all(|found| *found == Some(status))
    }
}

#[test]
fn every_box_discovers_every_other() {
    let mut net = Net::new(48);
    net.run(Duration::from_secs(3));
    for state in net.boxes.values() {
        assert_eq!(state.serving_boxes().count(), 48);
    }
}

#[test]
fn leaving_status_reaches_all_boxes_within_two_seconds_and_is_not_reverted() {
    for count in [3, 12, 48, 370] {
        let mut net = Net::new(count);
        net.run(Duration::from_secs(3));
        let subject = Subject::Upstream("engine".to_owned());
        let now = net.now;
        let leaving = record(subject.clone(), 7, MemberStatus::Leaving);
        let news = net.boxes.get_mut(&box_named(1)).unwrap().observe(leaving, now);
        net.perform(&box_named(1), news);
        net.run(Duration::from_millis(1_900));
        assert!(net.all_have_status(&subject, MemberStatus::Leaving), "{count} boxes");

        // An outdated list keeps reporting the upstream as alive.
        for i in 0..count.min(12) {
            let now = net.now;
            let stale = record(subject.clone(), 7, MemberStatus::Alive);
            net.boxes.get_mut(&box_named(i)).unwrap().observe(stale, now);
        }
        net.run(Duration::from_secs(2));
        assert!(net.all_have_status(&subject, MemberStatus::Leaving), "{count} boxes");

        // A new incarnation under the same name is alive again.
        let now = net.now;
        let restarted = record(subject.clone(), 8, MemberStatus::Alive);
        let news = net.boxes.get_mut(&box_named(2)).unwrap().observe(restarted, now);
        net.perform(&box_named(2), news);
        net.run(Duration::from_millis(1_900));
        assert!(net.all_have_status(&subject, MemberStatus::Alive), "{count} boxes");
    }
}

#[test]
fn frozen_box_is_declared_dead_and_refutes_it_after_resuming() {
    let mut net = Net::new(12);
    net.run(Duration::from_secs(3));
    let subject = Subject::Box(box_named(5));
    net.frozen.push(box_named(5));
    net.run(Duration::from_secs(20));
    assert!(net.all_have_status(&subject, MemberStatus::Dead));
    net.frozen.clear();
    net.run(Duration::from_secs(20));
    assert!(net.all_have_status(&subject, MemberStatus::Alive), "{:?}", net.statuses(&subject));
}

#[test]
fn message_rate_per_box_does_not_grow_with_fleet_size() {
    let mut rates = Vec::new();
    for count in [12, 48, 370] {
        let mut net = Net::new(count);
        net.run(Duration::from_secs(10));
        let before = net.messages;
        net.run(Duration::from_secs(20));
        rates.push((net.messages - before) / count as u64 / 20);
    }
    println!("messages per second and box, sent and received, at 12, 48 and 370 boxes: {rates:?}");
    assert!(rates.iter().all(|rate| *rate <= 8), "{rates:?}");
}

#[test]
fn majority_confirms_configuration_unless_a_peer_has_a_newer_one() {
    let mut net = Net::new(5);
    for state in net.boxes.values_mut() {
        state.set_config_number(3);
    }
    net.run(Duration::from_secs(6));
    let window = Duration::from_secs(10);
    let (first, now) = (box_named(0), net.now);
    assert!(net.boxes[&first].peers_confirm(3, now, window));
    net.boxes.get_mut(&box_named(1)).unwrap().set_config_number(4);
    net.run(Duration::from_secs(6));
    assert!(!net.boxes[&first].peers_confirm(3, net.now, window));
    net.frozen = (1..5).map(box_named).collect();
    net.run(Duration::from_secs(20));
    assert!(
        !net.boxes[&first].peers_confirm(3, net.now, window),
        "a box without peers must not confirm"
    );
}
