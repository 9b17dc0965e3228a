//! The upstream table of a control box, which does no I/O, and the cell that wakes its followers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::life::{Birth, LifeName, announced_id, birth_of};
use super::messages::{
    Detail, Epoch, FollowAnswer, FollowRequest, PackedRecords, Phase, RegistryNews, UpstreamRecord,
    Version,
};
use crate::config::feed::InForce;
use crate::ids::RunnerName;

/// Time without an announcement after which the lease of an upstream expires: four heartbeats of
/// 1.2 s and the delay observed for single heartbeats.
pub const LEASE: Duration = Duration::from_secs(6);
/// Time for which ended incarnations are remembered, so that a delayed announcement does not revive
/// one.
const ENDED_RETENTION: Duration = Duration::from_secs(120);
/// Time for which the end of an incarnation is repeated with each renewal, in case a call was lost.
const RESEND_ENDED: Duration = Duration::from_secs(5);
/// Time without an announcement from the holder of an address after which an incarnation that is
/// not new may take the address. It exceeds the heartbeat interval of 1.2 s, so that a live holder
/// keeps its address.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which every control box that knows that an upstream leaves repeats this with each
/// renewal. Boxes that missed the change then receive it within 1 s, even if the box that
/// acknowledged it was lost.
const RESEND_LEAVING: Duration = Duration::from_secs(2);
/// Longest known delay of an announcement in transit. After this time, an incarnation with an
/// earlier birth time is taken for a new one whose clock was set back.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(10);
/// Increase of the time until an upstream is warm above which it counts as a change. Smaller
/// differences result from message latency.
const WARM_TOLERANCE: Duration = Duration::from_millis(300);
/// Maximum time for which an answer to a follower is held back.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Maximum wait for room in the send backlog: half of the time that followers allow in addition to
/// the hold.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of changes in one answer: about 35 KB of packed records, which a link of
/// 10 Mbit/s transfers in 30 ms, well within the timeout of an answer.
const MAX_CHANGES: usize = 512;
/// Interval between checks for room, in which a link of 100 Mbit/s transfers a quarter of the
/// maximum backlog.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The effect of an announcement on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// The upstream is new, its lease had expired, or its record changed.
    News,
    /// Only the lease was renewed.
    Renewed,
    /// The announcement is outdated or conflicts with the table, and was ignored.
    Stale,
}

/// An upstream in the table.
#[derive(Debug, Clone)]
pub(super) struct Registration {
    pub(super) record: UpstreamRecord,
    /// Time of the last announcement.
    pub(super) renewed_at: Instant,
    /// Version of the last change.
    pub(super) changed_at: Version,
    /// Whether the lease has expired.
    pub(super) lapsed: bool,
    /// Time of the first announcement that the upstream leaves.
    leaving_since: Option<Instant>,
    /// Version of the last change other than leaving; a follower at or after it needs only to learn
    /// that the upstream leaves.
    record_changed_at: Version,
}

/// An incarnation that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ended {
    /// Version of the end.
    changed_at: Version,
    /// Time at which this box learned of the end.
    at: Instant,
    /// Version of the announcement that it leaves, if there was one.
    leaving_at: Option<Version>,
}

impl Registration {
    /// Returns the remaining time until the upstream is warm, by its last announcement.
    fn warm_in(&self, now: Instant) -> Duration {
        self.record.warm_in.saturating_sub(now.duration_since(self.renewed_at))
    }

    /// Returns the record with the time until it is warm as of `now`.
    fn record_at(&self, now: Instant) -> UpstreamRecord {
        UpstreamRecord { warm_in: self.warm_in(now), ..self.record.clone() }
    }
}

/// The upstreams that announced themselves, each under a lease.
#[derive(Debug, Clone)]
pub struct Table {
    pub(super) epoch: Epoch,
    pub(super) version: Version,
    /// Time since which announcements have been received without interruption.
    pub(super) receiving_since: Instant,
    /// Known upstreams, by the names of their incarnations.
    pub(super) registrations: BTreeMap<LifeName, Registration>,
    /// Incarnations that ended, by name, or by id if the name was unknown.
    pub(super) ended: BTreeMap<LifeName, Ended>,
    /// The incarnation that last changed at each version.
    pub(super) changes: BTreeMap<Version, LifeName>,
    /// Greatest known birth time of each id, and when that incarnation last announced itself or
    /// ended.
    youngest: BTreeMap<RunnerName, (Birth, Instant)>,
    /// Incarnations that announced themselves to this box since the last renewal.
    announced_here: BTreeSet<LifeName>,
}

impl Table {
    /// Creates an empty table for one run of a control process.
    pub fn new(epoch: Epoch, now: Instant) -> Self {
        Self {
            epoch,
            version: 0,
            receiving_since: now,
            registrations: BTreeMap::new(),
            ended: BTreeMap::new(),
            changes: BTreeMap::new(),
            youngest: BTreeMap::new(),
            announced_here: BTreeSet::new(),
        }
    }

    /// Applies an announcement that an upstream sent to this box.
    pub fn announce_here(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        let life = record.life();
        let announced = self.announce(record, now);
        if announced != Announced::Stale {
            self.announced_here.insert(life);
        }
        announced
    }

    /// Applies an announcement that was sent to any control box.
    pub fn announce(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        let record = record.bounded();
        let life = record.life();
        if self.has_ended(&record, &life, now) || self.is_address_taken(&record, &life, now) {
            return Announced::Stale;
        }
        if let Some(born) = record.born {
            self.youngest.insert(record.id.clone(), (born, now));
        }
        let Some(known) = self.registrations.get_mut(&life) else {
            self.end_predecessors(&record, now);
            self.insert(record, now);
            return Announced::News;
        };
        // An incarnation never changes its address, so a record with another one is invalid.
        if !record.supersedes(&known.record) || record.addr != known.record.addr {
            return Announced::Stale;
        }
        let changed = known.lapsed
            || record.phase != known.record.phase
            || record.slots != known.record.slots
            || record.warm_in > known.warm_in(now) + WARM_TOLERANCE;
        if changed {
            self.insert(record, now);
            return Announced::News;
        }
        known.record = record;
        known.renewed_at = now;
        Announced::Renewed
    }

    /// Ends the current incarnation of an id. If none is known, records the end under the id, so
    /// that a delayed announcement of the incarnation is ignored. Returns the names that ended just
    /// now.
    pub fn end_id(&mut self, id: &str, now: Instant) -> Vec<LifeName> {
        let of_id = self.registrations.values().filter(|reg| reg.record.id == id);
        let mut lives: Vec<LifeName> = of_id.map(|reg| reg.record.life()).collect();
        if lives.is_empty() && self.ended_lives(id).is_empty() {
            lives.push(id.to_owned());
        }
        lives.retain(|life| self.end(life, now));
        lives
    }

    /// Returns the remembered ended incarnations of an id.
    pub fn ended_lives(&self, id: &str) -> Vec<LifeName> {
        let lives = self.ended.range::<str, _>((Bound::Included(id), Bound::Unbounded));
        let lives = lives.map(|(life, _)| life).take_while(|life| life.starts_with(id));
        lives.filter(|life| announced_id(life) == id).cloned().collect()
    }

    /// Ends an incarnation, which need not have been announced here; returns whether its end was
    /// unknown.
    pub fn end(&mut self, life: &str, now: Instant) -> bool {
        if self.ended.contains_key(life) {
            return false;
        }
        let previous = self.registrations.remove(life);
        let changed_at = self.bump_version(life, previous.as_ref().map(|reg| reg.changed_at));
        let leaving = previous.filter(|reg| reg.record.phase == Phase::Leaving && !reg.lapsed);
        let leaving_at = leaving.map(|reg| reg.changed_at);
        self.ended.insert(life.to_owned(), Ended { changed_at, at: now, leaving_at });
        if let Some(born) = birth_of(life) {
            let youngest =
                self.youngest.entry(announced_id(life).to_owned()).or_insert((born, now));
            *youngest = (*youngest).max((born, now));
        }
        true
    }

    /// Handles a disconnection of this box. It may have missed announcements, so its table counts
    /// as complete only one lease later.
    pub fn on_disconnected(&mut self, now: Instant) {
        self.receiving_since = now;
    }

    /// Handles a stall of this process. It may have missed announcements, so all leases restart.
    pub fn on_stall(&mut self, now: Instant) {
        self.on_disconnected(now);
        for reg in self.registrations.values_mut().filter(|reg| !reg.lapsed) {
            reg.renewed_at = now;
        }
    }

    /// Expires overdue leases and returns the incarnations concerned.
    pub fn expire(&mut self, now: Instant) -> Vec<LifeName> {
        let is_overdue =
            |reg: &Registration| !reg.lapsed && now.duration_since(reg.renewed_at) >= LEASE;
        let overdue: Vec<LifeName> = self
            .registrations
            .iter()
            .filter(|(_, reg)| is_overdue(reg))
            .map(|(life, _)| life.clone())
            .collect();
        for life in &overdue {
            let version =
                self.bump_version(life, self.registrations.get(life).map(|reg| reg.changed_at));
            if let Some(reg) = self.registrations.get_mut(life) {
                reg.lapsed = true;
                reg.changed_at = version;
            }
        }
        self.purge(now);
        overdue
    }

    /// Removes incarnations whose retention time after the end or expiry is over.
    fn purge(&mut self, now: Instant) {
        self.youngest.retain(|_, (_, at)| now.duration_since(*at) < ENDED_RETENTION);
        let changes = &mut self.changes;
        self.ended.retain(|_, ended| {
            let keep = now.duration_since(ended.at) < ENDED_RETENTION;
            if !keep {
                changes.remove(&ended.changed_at);
            }
            keep
        });
        self.registrations.retain(|_, reg| {
            let keep = !reg.lapsed || now.duration_since(reg.renewed_at) < ENDED_RETENTION;
            if !keep {
                changes.remove(&reg.changed_at);
            }
            keep
        });
    }

    /// Returns the changes after version `have` of `epoch`, or the whole table if `epoch` is not
    /// that of this table, at the requested level of detail.
    pub fn changes(
        &self,
        epoch: Epoch,
        have: Version,
        detail: Detail,
        now: Instant,
    ) -> FollowAnswer {
        let since = if epoch == self.epoch { have } else { 0 };
        let newer = || self.changes.range((Bound::Excluded(since), Bound::Unbounded));
        let end = newer().nth(MAX_CHANGES - 1).map_or(self.version, |(version, _)| *version);
        let mut answer = FollowAnswer {
            epoch: self.epoch,
            version: end,
            detail,
            since,
            settled: end == self.version && now.duration_since(self.receiving_since) >= LEASE,
            more: end < self.version,
            ..FollowAnswer::default()
        };
        let mut records = Vec::new();
        for life in newer().take_while(|(version, _)| **version <= end).map(|(_, life)| life) {
            match self.registrations.get(life) {
                Some(reg) if reg.lapsed => answer.lapsed.push(life.clone()),
                Some(reg) if reg.record_changed_at <= since && detail == Detail::Whole => {
                    answer.leaving.push(life.clone());
                }
                Some(reg) => records.push(reg.record_at(now)),
                None if self.must_report_end(life, since, detail, now) => {
                    answer.ended.push(life.clone());
                }
                None => {}
            }
        }
        match detail {
            Detail::Named => {
                answer.records = records;
                answer.ended = self.ended_ids(&answer.ended);
                answer.lapsed = answer.lapsed.iter().map(|l| announced_id(l).to_owned()).collect();
            }
            Detail::Whole => answer.packed = Some(PackedRecords::new(&records)),
            Detail::Departures => {
                records.retain(|record| record.phase == Phase::Leaving);
                answer.leaving = records.iter().map(UpstreamRecord::life).collect();
                answer.lapsed.clear();
            }
        }
        answer
    }

    /// Returns whether the end of an incarnation has to be reported to a follower at `since`. A new
    /// follower does not know incarnations that ended long ago. A follower of departures already
    /// sends no work to an incarnation that it knows to leave.
    fn must_report_end(&self, life: &str, since: Version, detail: Detail, now: Instant) -> bool {
        let Some(ended) = self.ended.get(life) else { return false };
        let is_recent = now.duration_since(ended.at) < MAX_ANNOUNCEMENT_DELAY;
        let known = detail == Detail::Departures && ended.leaving_at.is_some_and(|at| at <= since);
        (since > 0 || is_recent) && !known
    }

    /// Returns the ids of ended incarnations for boxes that know one incarnation per id. Ids with a
    /// current incarnation are left out.
    fn ended_ids(&self, lives: &[LifeName]) -> Vec<RunnerName> {
        let ids = lives.iter().map(|life| announced_id(life));
        let is_registered =
            |id: &&str| self.registrations.values().any(|reg| reg.record.id == **id);
        ids.filter(|id| !is_registered(id)).map(str::to_owned).collect()
    }

    /// Returns the renewals for the other control boxes: the upstreams that announced themselves
    /// here since the last call, those that recently began to leave, and the incarnations that
    /// recently ended.
    pub fn take_renewals(&mut self, now: Instant) -> RegistryNews {
        let here = std::mem::take(&mut self.announced_here);
        let began_to_leave = |reg: &Registration| {
            reg.leaving_since.is_some_and(|at| now.duration_since(at) < RESEND_LEAVING)
        };
        let renewed = self
            .registrations
            .iter()
            .filter(|(life, reg)| here.contains(*life) || began_to_leave(reg));
        let records = renewed.map(|(_, reg)| reg.record_at(now)).collect();
        let is_recent = |at: &Instant| now.duration_since(*at) < RESEND_ENDED;
        let ended = self.ended.iter().filter(|(_, ended)| is_recent(&ended.at));
        let lives = ended.map(|(life, _)| life.clone()).collect();
        RegistryNews { records, ..RegistryNews::of_ends(lives) }
    }

    /// Returns the epoch of this table.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the upstreams with a valid lease, with the times until they are warm as of `now`.
    pub fn records(&self, now: Instant) -> Vec<UpstreamRecord> {
        let alive = self.registrations.values().filter(|reg| !reg.lapsed);
        alive.map(|reg| reg.record_at(now)).collect()
    }

    /// Returns the number of upstreams, including those whose lease has expired.
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether the table holds no upstream.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// Iterates over the upstreams with a valid lease.
    pub fn alive(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.registrations.values().filter(|reg| !reg.lapsed).map(|reg| &reg.record)
    }

    /// Stores a changed record under a renewed lease.
    fn insert(&mut self, record: UpstreamRecord, now: Instant) {
        let life = record.life();
        let version =
            self.bump_version(&life, self.registrations.get(&life).map(|reg| reg.changed_at));
        let known = self.registrations.get(&life);
        let leaves = record.phase == Phase::Leaving;
        let leaving_since = known.and_then(|reg| reg.leaving_since).or(leaves.then_some(now));
        // Followers that have the serving record only need to learn that it leaves.
        let only_leaves = known.filter(|reg| leaves && !reg.lapsed);
        let record_changed_at = only_leaves.map_or(version, |reg| reg.record_changed_at);
        let reg = Registration {
            renewed_at: now,
            changed_at: version,
            lapsed: false,
            leaving_since,
            record_changed_at,
            record,
        };
        self.registrations.insert(life, reg);
    }

    /// Assigns a new version to a change of an incarnation, whose previous change was at
    /// `previous`.
    fn bump_version(&mut self, life: &str, previous: Option<Version>) -> Version {
        if let Some(previous) = previous {
            self.changes.remove(&previous);
        }
        self.version += 1;
        self.changes.insert(self.version, life.to_owned());
        self.version
    }

    /// Returns whether a record belongs to an incarnation that ended or that precedes the latest
    /// known one of its id.
    fn has_ended(&self, record: &UpstreamRecord, life: &str, now: Instant) -> bool {
        if self.ended.contains_key(life) {
            return true;
        }
        let Some(born) = record.born else {
            // A box of an earlier version forwards records without their birth times.
            return self.youngest.contains_key(&record.id);
        };
        let is_recent = |at: &Instant| now.duration_since(*at) < MAX_ANNOUNCEMENT_DELAY;
        let youngest = self.youngest.get(&record.id);
        if youngest.is_some_and(|(birth, at)| *birth > born && is_recent(at)) {
            return true;
        }
        // Only the id of the ended incarnation is known.
        let ended = self.ended.get(&record.id);
        ended.is_some_and(|ended| is_recent(&ended.at)) && !record.is_new_life()
    }

    /// Returns whether the record belongs to an unknown incarnation at an address whose holder
    /// announced itself recently, and may be a delayed one of an incarnation before the holder.
    fn is_address_taken(&self, record: &UpstreamRecord, life: &str, now: Instant) -> bool {
        if self.registrations.contains_key(life) {
            return false;
        }
        let is_live =
            |reg: &Registration| !reg.lapsed && now.duration_since(reg.renewed_at) < HOLDER_TIMEOUT;
        // A known upstream without a birth time may report one when its announcements come through
        // another control box.
        let same_upstream =
            |reg: &Registration| reg.record.id == record.id && reg.record.born.is_none();
        let mut holders = self.registrations.values().filter(|reg| reg.record.addr == record.addr);
        holders.any(|reg| {
            let younger = record.is_younger_than(&reg.record);
            is_live(reg) && !same_upstream(reg) && !younger.unwrap_or_else(|| record.is_new_life())
        })
    }

    /// Ends the incarnations that `record` replaces at their address or under their id.
    fn end_predecessors(&mut self, record: &UpstreamRecord, now: Instant) {
        let predecessors = self.registrations.values().map(|reg| &reg.record);
        let predecessors = predecessors.filter(|r| r.addr == record.addr || r.id == record.id);
        let predecessors: Vec<LifeName> = predecessors.map(UpstreamRecord::life).collect();
        for life in predecessors {
            self.end(&life, now);
        }
    }
}

/// The table shared by the tasks of a control process, and the followers that wait for changes.
pub struct RegistryCell {
    table: RefCell<Table>,
    /// Senders that wake a waiting follower when they are dropped.
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl RegistryCell {
    /// Creates a cell with an empty table.
    pub fn new(epoch: Epoch) -> Self {
        let table = Table::new(epoch, clock::now());
        Self { table: RefCell::new(table), waiting: RefCell::default() }
    }

    /// Reads the table.
    pub fn with<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        read(&self.table.borrow())
    }

    /// Changes the table and wakes the followers if its version grew.
    pub fn change<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let before = self.table.borrow().version;
        let changed = change(&mut self.table.borrow_mut());
        if self.table.borrow().version != before {
            // Dropping the senders wakes the followers.
            self.waiting.borrow_mut().clear();
        }
        changed
    }

    /// Applies the changes that another control box sent.
    pub fn apply_news(&self, mut news: RegistryNews) {
        let now = clock::now();
        if let Err(err) = news.unpack() {
            log::warn!("failed to decode upstream records of another control box: {err}");
        }
        self.change(|table| {
            for life in news.ends() {
                match birth_of(life) {
                    Some(_) => {
                        table.end(life, now);
                    }
                    // The sender did not know the incarnation, or reports only ids.
                    None => {
                        table.end_id(life, now);
                    }
                }
            }
            for record in news.records {
                table.announce(record, now);
            }
        });
    }

    /// Wakes the followers after a change outside the table.
    pub fn wake(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Answers a follower. Waits for a change for up to the requested hold, then up to 250 ms for
    /// room in the send backlog, as reported by `has_room`; returns `None` if there is still none.
    /// `in_force` returns the configuration, evacuations and quarantine in force.
    pub async fn answer(
        &self,
        req: &FollowRequest,
        in_force: impl Fn() -> InForce,
        has_room: impl Fn() -> bool,
    ) -> Option<FollowAnswer> {
        let now_in_force = in_force();
        let is_current = self.with(|table| table.epoch == req.epoch && table.version <= req.have)
            && now_in_force.config <= req.config
            && now_in_force.evacuations.revision() <= req.evacuations
            && now_in_force.quarantine.revision <= req.quarantine;
        if is_current && !req.hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            let _ = compio::time::timeout(req.hold.min(MAX_HOLD), rx).await;
            self.waiting.borrow_mut().retain(|tx| !tx.is_canceled());
        }
        let waiting_since = clock::now();
        while !has_room() {
            if clock::since(waiting_since) > ROOM_TIMEOUT {
                return None;
            }
            compio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
        let now = clock::now();
        let mut answer = self.with(|table| table.changes(req.epoch, req.have, req.detail, now));
        let InForce { config, evacuations, quarantine } = in_force();
        answer.config = config;
        let newer = evacuations.revision() > req.evacuations;
        answer.evacuations = newer.then(|| (*evacuations).clone());
        let newer = quarantine.revision > req.quarantine;
        answer.quarantine = newer.then(|| (*quarantine).clone());
        Some(answer)
    }
}
