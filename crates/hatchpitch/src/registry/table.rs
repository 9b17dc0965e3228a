//! A control box's table of upstreams, without I/O, and the cell that wakes its followers.

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

/// Time without an announcement after which an upstream no longer counts: four heartbeats of
/// 1.2 s and the lateness that single heartbeats are known to have.
pub const LEASE: Duration = Duration::from_secs(6);
/// Time for which ended lives are remembered, so that a late announcement does not revive one.
const REMEMBER_ENDED: Duration = Duration::from_secs(120);
/// Time for which the end of a life is passed on with each renewal, in case a call was lost.
const RESEND_ENDED: Duration = Duration::from_secs(5);
/// Time without an announcement of the holder of an address after which another life that is not
/// new may take it: more than one heartbeat of 1.2 s, so that a living holder keeps it.
const HOLDER_SILENT: Duration = Duration::from_secs(2);
/// Time for which the leaving of an upstream is passed on with each renewal by every control box
/// that heard of it: those that the news did not reach have it within a second, although the box
/// that acknowledged it is gone.
const RESEND_LEAVING: Duration = Duration::from_secs(2);
/// Longest time that an announcement is known to be held up on its way; after it, a life that
/// seems to be an older one has only had its clock set back.
const LATEST_ANNOUNCEMENT: Duration = Duration::from_secs(10);
/// Difference of the time until an upstream is warm that is news: below it lie the times that
/// announcements take.
const COLD_NEWS: Duration = Duration::from_millis(300);
/// Longest time that an answer to a follower is held back.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Longest wait until there is room for an answer: half of what followers allow beyond the hold.
const ROOM_WAIT: Duration = Duration::from_millis(250);
/// Changes that one answer tells: about 35 KB of packed records, which a link of 10 Mbit/s passes
/// in 30 ms, far within the time for an answer.
const MAX_CHANGES: usize = 512;
/// Time between looks for room: a link of 100 Mbit/s passes a quarter of what may wait.
const ROOM_LOOK: Duration = Duration::from_millis(20);

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// A new upstream, another phase, or one that had lapsed.
    News,
    /// Nothing but its lease.
    Renewed,
    /// It came late or its life has ended.
    Stale,
}

#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) record: UpstreamRecord,
    pub(super) renewed: Instant,
    pub(super) changed: Version,
    pub(super) lapsed: bool,
    /// When it was first heard that it leaves.
    leaving_since: Option<Instant>,
    /// Version from which on followers know all that matters of it but that it leaves.
    told: Version,
}

/// A life that ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ended {
    /// Version at which it did.
    changed: Version,
    at: Instant,
    /// Version at which it had said that it leaves.
    left: Option<Version>,
}

impl Held {
    /// Returns how long the upstream stays cold, as far as it has told.
    fn warm_in(&self, now: Instant) -> Duration {
        self.record.warm_in.saturating_sub(now.duration_since(self.renewed))
    }

    /// Returns the record as it would be announced now.
    fn record_at(&self, now: Instant) -> UpstreamRecord {
        UpstreamRecord { warm_in: self.warm_in(now), ..self.record.clone() }
    }
}

/// Upstreams under leases.
#[derive(Debug, Clone)]
pub struct Table {
    pub(super) epoch: Epoch,
    pub(super) version: Version,
    /// Since when it hears of all upstreams in its reach.
    pub(super) started: Instant,
    /// By name of the life.
    pub(super) held: BTreeMap<LifeName, Held>,
    /// Lives that ended; by id where the life was not known.
    pub(super) ended: BTreeMap<LifeName, Ended>,
    /// The life that changed with each version, if it has not changed since.
    pub(super) changes: BTreeMap<Version, LifeName>,
    /// The youngest life of each id that told its birth, and when it was last seen to live.
    youngest: BTreeMap<RunnerName, (Birth, Instant)>,
    /// Lives that announced themselves to this box since the last renewals.
    announced_here: BTreeSet<LifeName>,
}

impl Table {
    /// Creates an empty table for one life of a control process.
    pub fn new(epoch: Epoch, now: Instant) -> Self {
        Self {
            epoch,
            version: 0,
            started: now,
            held: BTreeMap::new(),
            ended: BTreeMap::new(),
            changes: BTreeMap::new(),
            youngest: BTreeMap::new(),
            announced_here: BTreeSet::new(),
        }
    }

    /// Takes in what an upstream announces to this box.
    pub fn announce_here(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        let life = record.life();
        let announced = self.announce(record, now);
        if announced != Announced::Stale {
            self.announced_here.insert(life);
        }
        announced
    }

    /// Takes an announcement in, whoever passes it on.
    pub fn announce(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        let life = record.life();
        if self.has_ended(&record, &life, now) || self.is_contested(&record, &life, now) {
            return Announced::Stale;
        }
        if let Some(born) = record.born {
            self.youngest.insert(record.id.clone(), (born, now));
        }
        let Some(known) = self.held.get_mut(&life) else {
            self.end_former_holders(&record, now);
            self.put(record, now);
            return Announced::News;
        };
        // A life has one address; another one under its id is a fault of the sender.
        if !record.supersedes(&known.record) || record.addr != known.record.addr {
            return Announced::Stale;
        }
        let news = known.lapsed
            || record.phase != known.record.phase
            || record.slots != known.record.slots
            || record.warm_in > known.warm_in(now) + COLD_NEWS;
        if news {
            self.put(record, now);
            return Announced::News;
        }
        known.record = record;
        known.renewed = now;
        Announced::Renewed
    }

    /// Notes that an upstream ended of which only the id is told: its living life, or, if none is
    /// known here, the one that may yet be announced late. Returns the names of what ended anew.
    pub fn end_id(&mut self, id: &str, now: Instant) -> Vec<LifeName> {
        let of_id = self.held.values().filter(|held| held.record.id == id);
        let mut lives: Vec<LifeName> = of_id.map(|held| held.record.life()).collect();
        if lives.is_empty() && self.ended_lives(id).is_empty() {
            lives.push(id.to_owned());
        }
        lives.retain(|life| self.end(life, now));
        lives
    }

    /// Returns the remembered lives of an id that ended.
    pub fn ended_lives(&self, id: &str) -> Vec<LifeName> {
        let lives = self.ended.range::<str, _>((Bound::Included(id), Bound::Unbounded));
        let lives = lives.map(|(life, _)| life).take_while(|life| life.starts_with(id));
        lives.filter(|life| announced_id(life) == id).cloned().collect()
    }

    /// Notes that a life has ended, also one that was never announced here; returns whether
    /// that is news.
    pub fn end(&mut self, life: &str, now: Instant) -> bool {
        if self.ended.contains_key(life) {
            return false;
        }
        let former = self.held.remove(life);
        let changed = self.note_change(life, former.as_ref().map(|held| held.changed));
        let left = former.filter(|held| held.record.phase == Phase::Leaving && !held.lapsed);
        let left = left.map(|held| held.changed);
        self.ended.insert(life.to_owned(), Ended { changed, at: now, left });
        if let Some(born) = birth_of(life) {
            let youngest =
                self.youngest.entry(announced_id(life).to_owned()).or_insert((born, now));
            *youngest = (*youngest).max((born, now));
        }
        true
    }

    /// Notes that this box was out of touch: what it has not heard says nothing of the upstreams, and
    /// its table counts as whole again only a lease later.
    pub fn was_out_of_touch(&mut self, now: Instant) {
        self.started = now;
    }

    /// Notes that this box stood still, so that announcements passed it by: every lease begins anew.
    pub fn stood_still(&mut self, now: Instant) {
        self.was_out_of_touch(now);
        for held in self.held.values_mut().filter(|held| !held.lapsed) {
            held.renewed = now;
        }
    }

    /// Lets leases run out; returns whose did.
    pub fn expire(&mut self, now: Instant) -> Vec<LifeName> {
        let late = |held: &Held| !held.lapsed && now.duration_since(held.renewed) >= LEASE;
        let late: Vec<LifeName> =
            self.held.iter().filter(|(_, held)| late(held)).map(|(id, _)| id.clone()).collect();
        for life in &late {
            let version = self.note_change(life, self.held.get(life).map(|held| held.changed));
            if let Some(held) = self.held.get_mut(life) {
                held.lapsed = true;
                held.changed = version;
            }
        }
        self.forget(now);
        late
    }

    /// Forgets lives that ended or lapsed long ago.
    fn forget(&mut self, now: Instant) {
        self.youngest.retain(|_, (_, at)| now.duration_since(*at) < REMEMBER_ENDED);
        let changes = &mut self.changes;
        self.ended.retain(|_, ended| {
            let kept = now.duration_since(ended.at) < REMEMBER_ENDED;
            if !kept {
                changes.remove(&ended.changed);
            }
            kept
        });
        self.held.retain(|_, held| {
            let kept = !held.lapsed || now.duration_since(held.renewed) < REMEMBER_ENDED;
            if !kept {
                changes.remove(&held.changed);
            }
            kept
        });
    }

    /// Returns what a follower at `have` of `epoch` lacks, in the detail that it asks for.
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
            settled: end == self.version && now.duration_since(self.started) >= LEASE,
            more: end < self.version,
            ..FollowAnswer::default()
        };
        let mut records = Vec::new();
        for life in newer().take_while(|(version, _)| **version <= end).map(|(_, life)| life) {
            match self.held.get(life) {
                Some(held) if held.lapsed => answer.lapsed.push(life.clone()),
                Some(held) if held.told <= since && detail == Detail::Whole => {
                    answer.leaving.push(life.clone());
                }
                Some(held) => records.push(held.record_at(now)),
                None if self.is_end_news(life, since, detail, now) => {
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

    /// Returns whether a follower at `since` has to be told that a life ended. Who begins to
    /// follow knows nobody who ended long ago; who asks for departures only gives a life that is
    /// known to leave no work anyway.
    fn is_end_news(&self, life: &str, since: Version, detail: Detail, now: Instant) -> bool {
        let Some(ended) = self.ended.get(life) else { return false };
        let recent = now.duration_since(ended.at) < LATEST_ANNOUNCEMENT;
        let told = detail == Detail::Departures && ended.left.is_some_and(|left| left <= since);
        (since > 0 || recent) && !told
    }

    /// Returns the ids of lives that ended for boxes that know one life an id: not of those that
    /// live again.
    fn ended_ids(&self, lives: &[LifeName]) -> Vec<RunnerName> {
        let ids = lives.iter().map(|life| announced_id(life));
        let again = |id: &&str| self.held.values().any(|held| held.record.id == **id);
        ids.filter(|id| !again(id)).map(str::to_owned).collect()
    }

    /// Takes what keeps the leases alive at other control boxes: the upstreams that announced
    /// themselves here since the last time, whoever has said of late that it leaves, and the lives
    /// that ended lately.
    pub fn take_renewals(&mut self, now: Instant) -> RegistryNews {
        let here = std::mem::take(&mut self.announced_here);
        let leaves_lately = |held: &Held| {
            held.leaving_since.is_some_and(|at| now.duration_since(at) < RESEND_LEAVING)
        };
        let passed_on =
            self.held.iter().filter(|(life, held)| here.contains(*life) || leaves_lately(held));
        let records = passed_on.map(|(_, held)| held.record_at(now)).collect();
        let lately = |at: &Instant| now.duration_since(*at) < RESEND_ENDED;
        let ended = self.ended.iter().filter(|(_, ended)| lately(&ended.at));
        let lives = ended.map(|(life, _)| life.clone()).collect();
        RegistryNews { records, ..RegistryNews::of_ends(lives) }
    }

    /// Returns the life of this table.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns all upstreams whose lease runs, as they would announce themselves now.
    pub fn records(&self, now: Instant) -> Vec<UpstreamRecord> {
        let alive = self.held.values().filter(|held| !held.lapsed);
        alive.map(|held| held.record_at(now)).collect()
    }

    /// Returns how many upstreams are held, those included whose lease ran out.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no upstream is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Iterates over the upstreams whose lease runs.
    pub fn alive(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.held.values().filter(|held| !held.lapsed).map(|held| &held.record)
    }

    fn put(&mut self, record: UpstreamRecord, now: Instant) {
        let life = record.life();
        let version = self.note_change(&life, self.held.get(&life).map(|held| held.changed));
        let known = self.held.get(&life);
        let leaves = record.phase == Phase::Leaving;
        let leaving_since = known.and_then(|held| held.leaving_since).or(leaves.then_some(now));
        // Whoever knew it while it served need only hear that it leaves.
        let only_leaves = known.filter(|held| leaves && !held.lapsed);
        let told = only_leaves.map_or(version, |held| held.told);
        let held =
            Held { renewed: now, changed: version, lapsed: false, leaving_since, told, record };
        self.held.insert(life, held);
    }

    /// Counts a change of a life whose last one was at `former`.
    fn note_change(&mut self, life: &str, former: Option<Version>) -> Version {
        if let Some(former) = former {
            self.changes.remove(&former);
        }
        self.version += 1;
        self.changes.insert(self.version, life.to_owned());
        self.version
    }

    /// Returns whether a record is of a life that is over: one that ended, or one before the
    /// youngest that is known of its id.
    fn has_ended(&self, record: &UpstreamRecord, life: &str, now: Instant) -> bool {
        if self.ended.contains_key(life) {
            return true;
        }
        let Some(born) = record.born else {
            // A box of before passes on what told its birth elsewhere.
            return self.youngest.contains_key(&record.id);
        };
        let recent = |at: &Instant| now.duration_since(*at) < LATEST_ANNOUNCEMENT;
        let younger = self.youngest.get(&record.id);
        if younger.is_some_and(|(youngest, at)| *youngest > born && recent(at)) {
            return true;
        }
        // Of the life that ended only the id is known.
        let ended = self.ended.get(&record.id);
        ended.is_some_and(|ended| recent(&ended.at)) && !record.is_new_life()
    }

    /// Returns whether the record is of an unknown life at an address whose holder announced
    /// itself of late, and may be of the life before the holder, and late.
    fn is_contested(&self, record: &UpstreamRecord, life: &str, now: Instant) -> bool {
        if self.held.contains_key(life) {
            return false;
        }
        let lives = |held: &Held| !held.lapsed && now.duration_since(held.renewed) < HOLDER_SILENT;
        // One that did not tell its birth before does so now, as its announcements come through
        // another control box.
        let same = |held: &Held| held.record.id == record.id && held.record.born.is_none();
        let mut holders = self.held.values().filter(|held| held.record.addr == record.addr);
        holders.any(|held| {
            let younger = record.is_younger_than(&held.record);
            lives(held) && !same(held) && !younger.unwrap_or_else(|| record.is_new_life())
        })
    }

    /// A life that takes an address or an id ends all others there.
    fn end_former_holders(&mut self, record: &UpstreamRecord, now: Instant) {
        let former = self.held.values().map(|held| &held.record);
        let former = former.filter(|r| r.addr == record.addr || r.id == record.id);
        let former: Vec<LifeName> = former.map(UpstreamRecord::life).collect();
        for life in former {
            self.end(&life, now);
        }
    }
}

/// A table shared by the tasks of a control process, with the followers that wait for a change.
pub struct RegistryCell {
    table: RefCell<Table>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl RegistryCell {
    /// Creates a cell with an empty table.
    pub fn new(epoch: Epoch) -> Self {
        let table = Table::new(epoch, clock::now());
        Self { table: RefCell::new(table), waiting: RefCell::default() }
    }

    /// Looks at the table.
    pub fn with<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        read(&self.table.borrow())
    }

    /// Changes the table and wakes the followers if its version grew.
    pub fn change<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let before = self.table.borrow().version;
        let changed = change(&mut self.table.borrow_mut());
        if self.table.borrow().version != before {
            // Closing the channels wakes the followers.
            self.waiting.borrow_mut().clear();
        }
        changed
    }

    /// Takes in what another control box knows.
    pub fn take(&self, mut news: RegistryNews) {
        let now = clock::now();
        if let Err(err) = news.unpack() {
            log::warn!("records of another control box do not decode: {err}");
        }
        self.change(|table| {
            for life in news.ends() {
                match birth_of(life) {
                    Some(_) => {
                        table.end(life, now);
                    }
                    // Who heard of the end did not know the life, or names no lives.
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

    /// Wakes the followers, for a change beside the table.
    pub fn wake(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Answers a follower, waiting for a change up to the hold that it asked for, and then for
    /// `has_room` for a quarter of a second; `None` if there is none. `in_force` tells what is in
    /// force here.
    pub async fn answer(
        &self,
        req: &FollowRequest,
        in_force: impl Fn() -> InForce,
        has_room: impl Fn() -> bool,
    ) -> Option<FollowAnswer> {
        let now_in_force = in_force();
        let current = self.with(|table| table.epoch == req.epoch && table.version <= req.have)
            && now_in_force.config <= req.config
            && now_in_force.evacuations.revision() <= req.evacuations
            && now_in_force.quarantine.revision <= req.quarantine;
        if current && !req.hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            let _ = compio::time::timeout(req.hold.min(MAX_HOLD), rx).await;
            self.waiting.borrow_mut().retain(|tx| !tx.is_canceled());
        }
        let held = clock::now();
        while !has_room() {
            if clock::since(held) > ROOM_WAIT {
                return None;
            }
            compio::time::sleep(ROOM_LOOK).await;
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
