//! The membership state machine. It does no I/O; the caller passes the time and the random seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::messages::{Gossip, MemberRecord, MemberStatus, Subject};
use crate::ids::{BoxName, ConfigNumber};

/// Limits and intervals of the membership protocol.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval between the heartbeats of one box.
    pub period: Duration,
    /// Time within which a suspect member has to refute the suspicion; then it counts as dead.
    pub suspicion_timeout: Duration,
    /// Number of peers to which a change is sent immediately.
    pub fanout: usize,
    /// Number of transmissions of a changed record, multiplied by the binary logarithm of the
    /// number of members.
    pub transmit_multiplier: u32,
    /// Maximum number of changed records in one message.
    pub max_records: usize,
    /// Time for which dead members are kept.
    pub forget_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            suspicion_timeout: Duration::from_secs(2),
            fanout: 3,
            transmit_multiplier: 6,
            max_records: 64,
            forget_after: Duration::from_secs(3_600),
        }
    }
}

/// An action that the driver has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat and report its outcome with [`Membership::on_gossip`] or
    /// [`Membership::on_unreachable`].
    Heartbeat {
        /// The box to send to.
        to: BoxName,
        /// Whether to ask for all its records.
        want_all: bool,
    },
    /// Send recent changes to a peer; a failure needs no report.
    Spread {
        /// The box to send to.
        to: BoxName,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// Remaining transmissions of this record.
    pub(super) transmissions_left: u32,
    /// Time at which the record was stored.
    pub(super) updated_at: Instant,
}

/// The membership of the fleet as one box knows it.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Subject,
    own_name: BoxName,
    cfg: MembershipConfig,
    pub(super) members: BTreeMap<Subject, Member>,
    rng: SmallRng,
    next_heartbeat: Instant,
    rounds: u64,
    /// Grows whenever a record is added, changed or removed.
    version: u64,
    config_number: ConfigNumber,
    /// Configuration number last reported by each box, and when.
    peer_configs: BTreeMap<BoxName, (ConfigNumber, Instant)>,
}

/// Number of heartbeats after which a box asks a peer for all records, to recover changes that
/// gossip did not deliver.
const FULL_SYNC_INTERVAL: u64 = 32;

impl Membership {
    /// Creates the membership of a box, which holds only the box's own record.
    ///
    /// # Panics
    ///
    /// Panics if `own` describes an upstream; only boxes run the membership protocol.
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
            peer_configs: BTreeMap::new(),
            cfg,
        };
        membership.insert(own, now);
        membership
    }

    /// Returns the box's own record.
    ///
    /// # Panics
    ///
    /// Never panics: [`Membership::new`] inserts the own record, and it is never removed.
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Returns a number that grows whenever a record is added, changed or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|m| &m.record)
    }

    /// Returns the record of a member.
    pub fn get(&self, subject: &Subject) -> Option<&MemberRecord> {
        self.members.get(subject).map(|m| &m.record)
    }

    /// Iterates over the boxes that accept new work, in order of name.
    pub fn serving_boxes(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|r| matches!(r.subject, Subject::Box(_)) && r.status <= MemberStatus::Suspect)
    }

    /// Returns the number of boxes that were declared dead within `window`. Such a box was killed,
    /// or it is partitioned and may still be working. Boxes that left as planned do not count.
    pub fn lost_boxes(&self, now: Instant, window: Duration) -> usize {
        let lost = |m: &&Member| {
            matches!(m.record.subject, Subject::Box(_))
                && m.record.status == MemberStatus::Dead
                && now.duration_since(m.updated_at) < window
        };
        self.members.values().filter(lost).count()
    }

    /// Returns the addresses of up to `count` random other boxes that are not dead.
    pub fn peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let names = self.random_peers(count);
        let record = |name| self.get(&Subject::Box(name));
        names.into_iter().filter_map(record).map(|record| record.box_addr).collect()
    }

    /// Returns whether an upstream accepts new work. Unknown upstreams are assumed to.
    pub fn upstream_serves(&self, name: &str) -> bool {
        let record = self.get(&Subject::Upstream(name.to_owned()));
        record.is_none_or(|r| r.status <= MemberStatus::Suspect)
    }

    /// Advances timers and returns the actions that are due. Must be called at least once per
    /// heartbeat period.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipAction> {
        self.expire(now);
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.cfg.period;
        self.rounds += 1;
        let Some(to) = self.random_peers(1).pop() else { return Vec::new() };
        let want_all = self.rounds.is_multiple_of(FULL_SYNC_INTERVAL) || self.rounds <= 2;
        vec![MembershipAction::Heartbeat { to, want_all }]
    }

    /// Builds a heartbeat or its answer. `want_all` asks the receiver for all its records; `all`
    /// includes all records of this box instead of recent changes.
    pub fn compose(&mut self, want_all: bool, all: bool) -> Gossip {
        let from = self.own_name.clone();
        let mut records = vec![self.own_record().clone()];
        if all {
            records.extend(self.records().filter(|r| r.subject != self.own).cloned());
            return Gossip { from, config_number: self.config_number, want_all, records };
        }
        let others =
            self.members.iter_mut().filter(|(s, m)| **s != self.own && m.transmissions_left > 0);
        let mut changed: Vec<&mut Member> = others.map(|(_, m)| m).collect();
        changed.sort_by_key(|m| std::cmp::Reverse(m.transmissions_left));
        for member in changed.into_iter().take(self.cfg.max_records) {
            member.transmissions_left -= 1;
            records.push(member.record.clone());
        }
        Gossip { from, config_number: self.config_number, want_all, records }
    }

    /// Merges the records of another box. If any of them is new, returns the messages that pass
    /// the change on.
    pub fn on_gossip(&mut self, gossip: Gossip, now: Instant) -> Vec<MembershipAction> {
        self.peer_configs.insert(gossip.from, (gossip.config_number, now));
        let mut changed = false;
        for record in gossip.records {
            changed |= self.merge(record, now);
        }
        if changed { self.spread() } else { Vec::new() }
    }

    /// Sets the number of the configuration in force, which heartbeats report.
    pub fn set_config_number(&mut self, number: ConfigNumber) {
        self.config_number = number;
    }

    /// Returns whether a majority of the serving boxes, including this one, reported a
    /// configuration number within `window`, and none reported one above `number`.
    pub fn peers_confirm(&self, number: ConfigNumber, now: Instant, window: Duration) -> bool {
        let serving = self.serving_boxes().count();
        let recent = self.peer_configs.values().filter(|(_, at)| now.duration_since(*at) <= window);
        let numbers: Vec<ConfigNumber> = recent.map(|(reported, _)| *reported).collect();
        let is_behind = numbers.iter().any(|reported| *reported > number);
        number > 0 && !is_behind && (numbers.len() + 1) * 2 > serving && serving > 1
    }

    /// Marks `peer` as suspect after both direct and indirect probes failed.
    pub fn on_unreachable(&mut self, peer: &BoxName, now: Instant) -> Vec<MembershipAction> {
        let subject = Subject::Box(peer.clone());
        self.set_status(&subject, MemberStatus::Suspect, now)
    }

    /// Sets the status of a member in its current incarnation, unless it already has a later one.
    pub fn set_status(
        &mut self,
        subject: &Subject,
        status: MemberStatus,
        now: Instant,
    ) -> Vec<MembershipAction> {
        let Some(mut record) = self.get(subject).cloned() else { return Vec::new() };
        record.status = status;
        self.observe(record, now)
    }

    /// Merges a record that this box observed itself.
    pub fn observe(&mut self, record: MemberRecord, now: Instant) -> Vec<MembershipAction> {
        if self.accept(record, now) { self.spread() } else { Vec::new() }
    }

    /// Marks this box as leaving. This cannot be undone within its incarnation.
    pub fn leave(&mut self, now: Instant) -> Vec<MembershipAction> {
        let own = self.own.clone();
        self.set_status(&own, MemberStatus::Leaving, now)
    }

    /// Returns up to two boxes that can probe `target` on behalf of this one.
    pub fn indirect_probers(&mut self, target: &BoxName) -> Vec<BoxName> {
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

    /// Refutes a report about this box by raising its own incarnation above the reported one.
    fn refute(&mut self, seen: &MemberRecord, now: Instant) -> bool {
        if seen.version() <= self.own_record().version() {
            return false;
        }
        let mut own = self.own_record().clone();
        own.incarnation = seen.incarnation.saturating_add(1);
        self.insert(own, now);
        true
    }

    /// Stores a record if it is newer than the known one; returns whether it was.
    fn accept(&mut self, record: MemberRecord, now: Instant) -> bool {
        let known = self.members.get(&record.subject);
        if known.is_some_and(|m| m.record.version() >= record.version()) {
            return false;
        }
        self.insert(record, now);
        true
    }

    fn insert(&mut self, record: MemberRecord, now: Instant) {
        // With a constant number of transmissions, some boxes of a large fleet would miss a change
        // until their next full exchange.
        let log2_members = (self.members.len() + 2).ilog2() + 1;
        let transmissions_left = self.cfg.transmit_multiplier * log2_members;
        self.version += 1;
        let member = Member { record, transmissions_left, updated_at: now };
        self.members.insert(member.record.subject.clone(), member);
    }

    /// Declares suspects dead after the timeout and removes dead members after the retention time.
    fn expire(&mut self, now: Instant) {
        let timeout = self.cfg.suspicion_timeout;
        let expired: Vec<Subject> = self
            .members
            .iter()
            .filter(|(subject, m)| {
                **subject != self.own
                    && m.record.status == MemberStatus::Suspect
                    && now.duration_since(m.updated_at) >= timeout
            })
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in expired {
            self.set_status(&subject, MemberStatus::Dead, now);
        }
        let forget = self.cfg.forget_after;
        let before = self.members.len();
        self.members.retain(|_, m| {
            m.record.status != MemberStatus::Dead || now.duration_since(m.updated_at) < forget
        });
        self.version += u64::from(before != self.members.len());
        self.peer_configs.retain(|_, (_, at)| now.duration_since(*at) < forget);
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
