//! Membership as a state machine without I/O, clock or randomness of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::messages::{Gossip, MemberRecord, MemberStatus, Subject};
use crate::ids::{BoxName, ConfigNumber};

/// Bounds and periods of membership.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between heartbeats of one box.
    pub period: Duration,
    /// Time a suspect has to refute before it counts as dead.
    pub suspicion: Duration,
    /// Peers that hear of news at once.
    pub fanout: usize,
    /// Times that a record is passed on, for each doubling of the fleet's size.
    pub transmissions: u32,
    /// Records a message carries at most.
    pub max_records: usize,
    /// Time that dead members are remembered.
    pub forget_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            suspicion: Duration::from_secs(2),
            fanout: 3,
            transmissions: 6,
            max_records: 64,
            forget_after: Duration::from_secs(3_600),
        }
    }
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat and report the outcome with [`Membership::on_gossip`] or [`Membership::on_silence`].
    Heartbeat {
        /// The box to send to.
        to: BoxName,
        /// Whether to ask for everything it knows.
        want_all: bool,
    },
    /// Send a heartbeat whose outcome does not matter.
    Spread {
        /// The box to send to.
        to: BoxName,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// Times this record may still be passed on.
    pub(super) left_to_send: u32,
    pub(super) since: Instant,
}

/// What one box knows of the fleet.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Subject,
    own_name: BoxName,
    cfg: MembershipConfig,
    pub(super) members: BTreeMap<Subject, Member>,
    rng: SmallRng,
    next_heartbeat: Instant,
    rounds: u64,
    /// Changes whenever a box or upstream comes, goes or changes status.
    version: u64,
    config_number: ConfigNumber,
    /// Configuration number of each box and when it was heard.
    heard: BTreeMap<BoxName, (ConfigNumber, Instant)>,
}

/// Every so many heartbeats a box asks a peer for everything, to heal what gossip missed.
const FULL_EXCHANGE_EVERY: u64 = 32;

impl Membership {
    /// Starts with the box's own record.
    ///
    /// # Panics
    ///
    /// Panics if the record is that of an upstream: only boxes run membership.
    pub fn new(own: MemberRecord, cfg: MembershipConfig, seed: u64, now: Instant) -> Self {
        let Subject::Box(own_name) = own.subject.clone() else {
            panic!("only boxes run membership")
        };
        let mut membership = Self {
            own: own.subject.clone(),
            own_name,
            members: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            next_heartbeat: now,
            rounds: 0,
            version: 0,
            config_number: 0,
            heard: BTreeMap::new(),
            cfg,
        };
        membership.put(own, now);
        membership
    }

    /// Returns the record of the box itself.
    ///
    /// # Panics
    ///
    /// Never: the own record is put in by [`Membership::new`] and never removed.
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Returns a number that changes whenever any record does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|m| &m.record)
    }

    /// Looks up one record.
    pub fn get(&self, subject: &Subject) -> Option<&MemberRecord> {
        self.members.get(subject).map(|m| &m.record)
    }

    /// Iterates over the boxes that take new work, in order of name.
    pub fn serving_boxes(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|r| matches!(r.subject, Subject::Box(_)) && r.status <= MemberStatus::Suspect)
    }

    /// Returns how many boxes were lost within `window`: killed, or cut off and perhaps still at
    /// work. Boxes that left in a planned way are none of them.
    pub fn lost_boxes(&self, now: Instant, window: Duration) -> usize {
        let lost = |m: &&Member| {
            matches!(m.record.subject, Subject::Box(_))
                && m.record.status == MemberStatus::Dead
                && now.duration_since(m.since) < window
        };
        self.members.values().filter(lost).count()
    }

    /// Picks up to `count` other boxes that are not known to be gone.
    pub fn peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let names = self.random_peers(count);
        let record = |name| self.get(&Subject::Box(name));
        names.into_iter().filter_map(record).map(|record| record.box_addr).collect()
    }

    /// Returns whether an upstream takes new work; unknown upstreams do.
    pub fn upstream_serves(&self, name: &str) -> bool {
        let record = self.get(&Subject::Upstream(name.to_owned()));
        record.is_none_or(|r| r.status <= MemberStatus::Suspect)
    }

    /// Runs what is due; call it at least as often as the period.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.expire(now);
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.cfg.period;
        self.rounds += 1;
        let Some(to) = self.random_peers(1).pop() else { return Vec::new() };
        let want_all = self.rounds.is_multiple_of(FULL_EXCHANGE_EVERY) || self.rounds <= 2;
        vec![MembershipAction::Heartbeat { to, want_all }]
    }

    /// Makes the message for a heartbeat or its answer.
    pub fn compose(&mut self, want_all: bool, all: bool) -> Gossip {
        let from = self.own_name.clone();
        let mut records = vec![self.own_record().clone()];
        if all {
            records.extend(self.records().filter(|r| r.subject != self.own).cloned());
            return Gossip { from, config_number: self.config_number, want_all, records };
        }
        let others = self.members.iter_mut().filter(|(s, m)| **s != self.own && m.left_to_send > 0);
        let mut fresh: Vec<&mut Member> = others.map(|(_, m)| m).collect();
        fresh.sort_by_key(|m| std::cmp::Reverse(m.left_to_send));
        for member in fresh.into_iter().take(self.cfg.max_records) {
            member.left_to_send -= 1;
            records.push(member.record.clone());
        }
        Gossip { from, config_number: self.config_number, want_all, records }
    }

    /// Takes in what another box knows; returns who should hear of the news at once.
    pub fn on_gossip(&mut self, gossip: Gossip, now: Instant) -> Vec<MembershipAction> {
        self.heard.insert(gossip.from, (gossip.config_number, now));
        let mut news = false;
        for record in gossip.records {
            news |= self.merge(record, now);
        }
        if news { self.spread() } else { Vec::new() }
    }

    /// Notes the configuration number in force here, which heartbeats carry.
    pub fn set_config_number(&mut self, number: ConfigNumber) {
        self.config_number = number;
    }

    /// Returns whether a majority of the boxes, this one included, was heard within `window`
    /// with a number that is not above `number`, and none with one above.
    pub fn peers_confirm(&self, number: ConfigNumber, now: Instant, window: Duration) -> bool {
        let serving = self.serving_boxes().count();
        let recent = self.heard.values().filter(|(_, at)| now.duration_since(*at) <= window);
        let numbers: Vec<ConfigNumber> = recent.map(|(heard, _)| *heard).collect();
        let behind = numbers.iter().any(|heard| *heard > number);
        number > 0 && !behind && (numbers.len() + 1) * 2 > serving && serving > 1
    }

    /// Notes that neither a direct nor an indirect heartbeat reached `peer`.
    pub fn on_silence(&mut self, peer: &BoxName, now: Instant) -> Vec<MembershipAction> {
        let subject = Subject::Box(peer.clone());
        self.mark(&subject, MemberStatus::Suspect, now)
    }

    /// Declares a status for a member under its present incarnation.
    pub fn mark(
        &mut self,
        subject: &Subject,
        status: MemberStatus,
        now: Instant,
    ) -> Vec<MembershipAction> {
        let Some(mut record) = self.get(subject).cloned() else { return Vec::new() };
        record.status = status;
        self.observe(record, now)
    }

    /// Takes in what this box saw itself.
    pub fn observe(&mut self, record: MemberRecord, now: Instant) -> Vec<MembershipAction> {
        if self.accept(record, now) { self.spread() } else { Vec::new() }
    }

    /// Declares the box itself as leaving; it never takes this back in this life.
    pub fn leave(&mut self, now: Instant) -> Vec<MembershipAction> {
        let own = self.own.clone();
        self.mark(&own, MemberStatus::Leaving, now)
    }

    /// Picks up to two boxes that can probe `target` in this box's place.
    pub fn helpers(&mut self, target: &BoxName) -> Vec<BoxName> {
        let mut peers = self.random_peers(3);
        peers.retain(|name| name != target);
        peers.truncate(2);
        peers
    }

    fn merge(&mut self, record: MemberRecord, now: Instant) -> bool {
        if record.subject == self.own {
            return self.refute(&record, now);
        }
        self.accept(record, now)
    }

    /// Answers a false report about the box itself with a higher incarnation.
    fn refute(&mut self, seen: &MemberRecord, now: Instant) -> bool {
        if seen.version() <= self.own_record().version() {
            return false;
        }
        let mut own = self.own_record().clone();
        own.incarnation = seen.incarnation.saturating_add(1);
        self.put(own, now);
        true
    }

    fn accept(&mut self, record: MemberRecord, now: Instant) -> bool {
        let known = self.members.get(&record.subject);
        if known.is_some_and(|m| m.record.version() >= record.version()) {
            return false;
        }
        self.put(record, now);
        true
    }

    fn put(&mut self, record: MemberRecord, now: Instant) {
        // With a constant number a few of many boxes would miss the news until a full exchange.
        let doublings = (self.members.len() + 2).ilog2() + 1;
        let left_to_send = self.cfg.transmissions * doublings;
        self.version += 1;
        let member = Member { record, left_to_send, since: now };
        self.members.insert(member.record.subject.clone(), member);
    }

    fn expire(&mut self, now: Instant) {
        let suspicion = self.cfg.suspicion;
        let confirmed: Vec<Subject> = self
            .members
            .iter()
            .filter(|(subject, m)| {
                **subject != self.own
                    && m.record.status == MemberStatus::Suspect
                    && now.duration_since(m.since) >= suspicion
            })
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in confirmed {
            self.mark(&subject, MemberStatus::Dead, now);
        }
        let forget = self.cfg.forget_after;
        let before = self.members.len();
        self.members.retain(|_, m| {
            m.record.status != MemberStatus::Dead || now.duration_since(m.since) < forget
        });
        self.version += u64::from(before != self.members.len());
        self.heard.retain(|_, (_, at)| now.duration_since(*at) < forget);
    }

    fn spread(&mut self) -> Vec<MembershipAction> {
        let peers = self.random_peers(self.cfg.fanout);
        peers.into_iter().map(|to| MembershipAction::Spread { to }).collect()
    }

    fn random_peers(&mut self, count: usize) -> Vec<BoxName> {
        let peers: Vec<&BoxName> = self
            .members
            .iter()
            .filter(|(subject, m)| **subject != self.own && m.record.status < MemberStatus::Dead)
            .filter_map(|(subject, _)| match subject {
                Subject::Box(name) => Some(name),
                Subject::Upstream(_) => None,
            })
            .collect();
        let picked = peers.choose_multiple(&mut self.rng, count);
        picked.map(|name| (*name).clone()).collect()
    }
}
