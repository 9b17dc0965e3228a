//! A control box's table of upstreams, without I/O, and the cell that wakes its followers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use super::messages::{Epoch, FollowAnswer, FollowRequest, RegistryNews, UpstreamRecord, Version};
use crate::ids::{ConfigNumber, RunnerName};

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
/// Longest time that an answer to a follower is held back.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Longest wait until there is room for an answer: half of what followers allow beyond the hold.
const ROOM_WAIT: Duration = Duration::from_millis(500);
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
}

/// Upstreams under leases.
#[derive(Debug, Clone)]
pub struct Table {
    pub(super) epoch: Epoch,
    pub(super) version: Version,
    pub(super) started: Instant,
    pub(super) held: BTreeMap<RunnerName, Held>,
    /// Version and time at which lives ended.
    pub(super) ended: BTreeMap<RunnerName, (Version, Instant)>,
    /// Upstreams that announced themselves to this box since the last renewals.
    announced_here: BTreeSet<RunnerName>,
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
            announced_here: BTreeSet::new(),
        }
    }

    /// Takes in what an upstream announces to this box.
    pub fn announce_here(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        let id = record.id.clone();
        let announced = self.announce(record, now);
        if announced != Announced::Stale {
            self.announced_here.insert(id);
        }
        announced
    }

    /// Takes an announcement in, whoever passes it on.
    pub fn announce(&mut self, record: UpstreamRecord, now: Instant) -> Announced {
        if self.ended.contains_key(&record.id) {
            return Announced::Stale;
        }
        if self.is_contested(&record, now) {
            return Announced::Stale;
        }
        let Some(known) = self.held.get_mut(&record.id) else {
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
            || record.slots != known.record.slots;
        if news {
            self.put(record, now);
            return Announced::News;
        }
        known.record = record;
        known.renewed = now;
        Announced::Renewed
    }

    /// Notes that a life has ended, also one that was never announced here; returns whether
    /// that is news.
    pub fn end(&mut self, id: &str, now: Instant) -> bool {
        if self.ended.contains_key(id) {
            return false;
        }
        self.version += 1;
        self.held.remove(id);
        self.ended.insert(id.to_owned(), (self.version, now));
        true
    }

    /// Lets leases run out; returns whose did.
    pub fn expire(&mut self, now: Instant) -> Vec<RunnerName> {
        let late = |held: &Held| !held.lapsed && now.duration_since(held.renewed) >= LEASE;
        let late: Vec<RunnerName> =
            self.held.iter().filter(|(_, held)| late(held)).map(|(id, _)| id.clone()).collect();
        for id in &late {
            self.version += 1;
            if let Some(held) = self.held.get_mut(id) {
                held.lapsed = true;
                held.changed = self.version;
            }
        }
        self.ended.retain(|_, (_, at)| now.duration_since(*at) < REMEMBER_ENDED);
        self.held
            .retain(|_, held| !held.lapsed || now.duration_since(held.renewed) < REMEMBER_ENDED);
        late
    }

    /// Returns what a follower at `have` of `epoch` lacks.
    pub fn changes(&self, epoch: Epoch, have: Version, now: Instant) -> FollowAnswer {
        let since = if epoch == self.epoch { have } else { 0 };
        let changed = |held: &&Held| held.changed > since;
        let (lapsed, alive): (Vec<&Held>, Vec<&Held>) =
            self.held.values().filter(changed).partition(|held| held.lapsed);
        let ended = self.ended.iter().filter(|(_, (at, _))| *at > since);
        FollowAnswer {
            epoch: self.epoch,
            version: self.version,
            records: alive.into_iter().map(|held| held.record.clone()).collect(),
            ended: ended.map(|(id, _)| id.clone()).collect(),
            lapsed: lapsed.into_iter().map(|held| held.record.id.clone()).collect(),
            config: 0,
            settled: now.duration_since(self.started) >= LEASE,
            control: Vec::new(),
        }
    }

    /// Takes what keeps the leases alive at other control boxes: the upstreams that announced
    /// themselves here since the last time, and the lives that ended lately.
    pub fn take_renewals(&mut self, now: Instant) -> RegistryNews {
        let here = std::mem::take(&mut self.announced_here);
        let held = here.iter().filter_map(|id| self.held.get(id));
        let lately = |at: &Instant| now.duration_since(*at) < RESEND_ENDED;
        let ended = self.ended.iter().filter(|(_, (_, at))| lately(at));
        RegistryNews {
            records: held.map(|held| held.record.clone()).collect(),
            ended: ended.map(|(id, _)| id.clone()).collect(),
            ..RegistryNews::default()
        }
    }

    /// Iterates over the upstreams whose lease runs.
    pub fn alive(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.held.values().filter(|held| !held.lapsed).map(|held| &held.record)
    }

    fn put(&mut self, record: UpstreamRecord, now: Instant) {
        self.version += 1;
        let held = Held { renewed: now, changed: self.version, lapsed: false, record };
        self.held.insert(held.record.id.clone(), held);
    }

    /// Returns whether the record is of an unknown life that is not new, at an address whose
    /// holder announced itself of late: then it may be of the life before the holder, and late.
    fn is_contested(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let lives = |held: &Held| now.duration_since(held.renewed) < HOLDER_SILENT;
        let mut holders = self.held.values().filter(|held| held.record.addr == record.addr);
        !record.is_new_life()
            && !self.held.contains_key(&record.id)
            && holders.any(|held| !held.lapsed && lives(held))
    }

    /// A life that takes an address ends all others there.
    fn end_former_holders(&mut self, record: &UpstreamRecord, now: Instant) {
        let former = self.held.values().filter(|held| held.record.addr == record.addr);
        let former: Vec<RunnerName> = former.map(|held| held.record.id.clone()).collect();
        for id in former {
            self.end(&id, now);
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
        let table = Table::new(epoch, Instant::now());
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
    pub fn take(&self, news: RegistryNews) {
        let now = Instant::now();
        self.change(|table| {
            for id in &news.ended {
                table.end(id, now);
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
    /// `has_room` for half a second; `None` if there is none. `config` tells the configuration
    /// number in force.
    pub async fn answer(
        &self,
        req: &FollowRequest,
        config: impl Fn() -> ConfigNumber,
        control: Vec<SocketAddr>,
        has_room: impl Fn() -> bool,
    ) -> Option<FollowAnswer> {
        let current = self.with(|table| table.epoch == req.epoch && table.version <= req.have)
            && config() <= req.config;
        if current && !req.hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            let _ = compio::time::timeout(req.hold.min(MAX_HOLD), rx).await;
            self.waiting.borrow_mut().retain(|tx| !tx.is_canceled());
        }
        let held = Instant::now();
        while !has_room() {
            if held.elapsed() > ROOM_WAIT {
                return None;
            }
            compio::time::sleep(ROOM_LOOK).await;
        }
        let mut answer = self.with(|table| table.changes(req.epoch, req.have, Instant::now()));
        answer.config = config();
        answer.control = control;
        Some(answer)
    }
}
