//! The upstreams known to one entry box, merged from the answers of control boxes.
//!
//! One control box at a time is followed in full. Departures are accepted from every control box.
//! After a switch to another control box, upstreams reported only by the previous one are kept
//! until the new one has reported its whole table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::life::LifeName;
use super::messages::{Detail, Epoch, FollowAnswer, PackedRecords, Phase, UpstreamRecord, Version};

/// Maximum number of remembered incarnations that ended, and of those that leave. The oldest ones
/// are dropped first.
const MAX_DEPARTED: usize = 65_536;
/// Difference in the time at which an upstream is warm above which it counts as a change. Smaller
/// differences result from message latency.
const WARM_TOLERANCE: Duration = Duration::from_millis(300);

/// An upstream that at least one control box reports.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) record: UpstreamRecord,
    /// Control boxes that report the upstream, with the epochs of their tables.
    pub(super) sources: BTreeMap<SocketAddr, Epoch>,
    /// Roster version at which it was first reported, and whether its incarnation was new then.
    pub(super) first_reported: (Version, bool),
    /// Time at which the upstream is warm.
    warm_at: Instant,
}

/// The part of a control box's table that this box has received.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    epoch: Epoch,
    /// Version up to which all changes were received.
    full: Version,
    /// Version up to which departures were received.
    departures: Version,
}

/// The upstreams known to one entry box, by the names of their incarnations.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    pub(super) known: BTreeMap<LifeName, Known>,
    /// Incarnations that ended, with the roster version at which this box learned of it.
    pub(super) ended: BTreeMap<LifeName, Version>,
    /// Incarnations that leave and have no record here, or that reported leaving themselves, with
    /// the roster version at which this box learned of it.
    leaving: BTreeMap<LifeName, Version>,
    /// Positions in the tables of control boxes.
    followed: BTreeMap<SocketAddr, Position>,
    /// Control box and epoch of the table that was last received completely. When it was adopted,
    /// upstreams reported only by other control boxes were dropped.
    authority: Option<(SocketAddr, Epoch)>,
    version: Version,
}

impl Roster {
    /// Returns a number that grows with every change of the roster.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the epoch and version of a control box's table that this box has at a level of
    /// detail.
    pub fn position(&self, source: SocketAddr, detail: Detail) -> (Epoch, Version) {
        let position = self.followed.get(&source).copied().unwrap_or_default();
        let have = match detail {
            Detail::Departures => position.departures,
            Detail::Named | Detail::Whole => position.full,
        };
        (position.epoch, have)
    }

    /// Applies the answer of a control box to a request of detail `requested`; returns whether the
    /// roster changed.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the records do not decode; the roster is unchanged then.
    pub fn apply_answer(
        &mut self,
        source: SocketAddr,
        requested: Detail,
        answer: FollowAnswer,
        now: Instant,
    ) -> Result<bool, rmp_serde::decode::Error> {
        let before = self.version;
        let packed = answer.packed.as_ref().map(PackedRecords::records).transpose()?;
        let covers_all = self.update_position(source, requested, &answer);
        let records = answer.records.into_iter().chain(packed.unwrap_or_default());
        for life in answer.ended {
            self.end(life);
        }
        for life in answer.leaving {
            self.leave(life);
        }
        for life in answer.lapsed {
            self.remove_source(&life, source);
        }
        for record in records {
            self.apply_record(record, source, answer.epoch, now);
        }
        if covers_all && answer.settled {
            self.drop_previous_epochs(source, answer.epoch);
            if !answer.out_of_touch {
                self.set_authority(source, answer.epoch);
            }
        }
        Ok(before != self.version)
    }

    /// Updates the position in a control box's table from an answer; returns whether this box has
    /// all changes up to the version of the answer. If another control box became the authority
    /// while a full poll was in flight, the answer lacks the records that were dropped then.
    fn update_position(
        &mut self,
        source: SocketAddr,
        requested: Detail,
        answer: &FollowAnswer,
    ) -> bool {
        let position = self.followed.entry(source).or_default();
        if position.epoch != answer.epoch {
            *position = Position { epoch: answer.epoch, ..Position::default() };
        }
        position.departures = answer.version;
        let covers_all = requested != Detail::Departures && answer.since <= position.full;
        if covers_all {
            position.full = answer.version;
        }
        covers_all
    }

    /// Iterates over the upstreams that accept work.
    pub fn serving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Serving)
    }

    /// Returns the record of an incarnation in any phase.
    pub fn get(&self, life: &str) -> Option<&UpstreamRecord> {
        self.known.get(life).map(|known| &known.record)
    }

    /// Iterates over the upstreams that finish their work and accept no more.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Leaving)
    }

    /// Returns the time at which an upstream is warm, if its incarnation is known.
    pub fn warm_at(&self, life: &str) -> Option<Instant> {
        self.known.get(life).map(|known| known.warm_at)
    }

    /// Removes an incarnation that ended.
    fn end(&mut self, life: LifeName) {
        if self.ended.contains_key(&life) {
            return;
        }
        self.version += 1;
        self.known.remove(&life);
        self.leaving.remove(&life);
        self.ended.insert(life, self.version);
        trim(&mut self.ended);
    }

    /// Marks an incarnation as leaving, also if its record has not arrived yet.
    fn leave(&mut self, life: LifeName) {
        if self.ended.contains_key(&life) || self.leaving.contains_key(&life) {
            return;
        }
        match self.known.get_mut(&life) {
            Some(known) if known.record.phase == Phase::Leaving => {}
            Some(known) => {
                known.record.phase = Phase::Leaving;
                self.version += 1;
            }
            None => {
                self.leaving.insert(life, self.version);
                trim(&mut self.leaving);
            }
        }
    }

    /// Marks an upstream as leaving that reported this itself; its announcements may never do so.
    pub fn said_leaving(&mut self, life: &str) {
        self.leave(life.to_owned());
        if !self.ended.contains_key(life) {
            self.leaving.entry(life.to_owned()).or_insert(self.version);
            trim(&mut self.leaving);
        }
    }

    /// Removes a control box from the sources of an upstream, which is dropped without any.
    fn remove_source(&mut self, life: &str, source: SocketAddr) {
        let Some(known) = self.known.get_mut(life) else { return };
        known.sources.remove(&source);
        if known.sources.is_empty() {
            self.known.remove(life);
            self.version += 1;
        }
    }

    /// Applies a record reported by a control box.
    fn apply_record(
        &mut self,
        record: UpstreamRecord,
        source: SocketAddr,
        epoch: Epoch,
        now: Instant,
    ) {
        // A control box of an earlier version passes on what upstreams announced.
        let record = record.bounded();
        let life = record.life();
        if self.ended.contains_key(&life) {
            return;
        }
        let warm_at = now + record.warm_in;
        if let Some(known) = self.known.get_mut(&life) {
            known.sources.insert(source, epoch);
            if record.supersedes(&known.record) && record.addr == known.record.addr {
                let colder = warm_at > known.warm_at + WARM_TOLERANCE;
                let changed = record.phase != known.record.phase || colder;
                known.record = record;
                known.warm_at = warm_at;
                self.version += u64::from(changed);
            }
            return;
        }
        if self.is_outdated(&record) {
            return;
        }
        self.end_predecessors(&record);
        self.version += 1;
        let mut record = record;
        let is_new = record.is_new_life();
        if self.leaving.contains_key(&life) {
            record.phase = Phase::Leaving;
        }
        let sources = BTreeMap::from([(source, epoch)]);
        let first_reported = (self.version, is_new);
        self.known.insert(life, Known { record, sources, first_reported, warm_at });
    }

    /// Returns whether an unknown incarnation precedes a known one with its id or address.
    fn is_outdated(&self, record: &UpstreamRecord) -> bool {
        self.known.values().map(|known| &known.record).any(|known| {
            if known.id == record.id {
                // A box of an earlier version forwards records without their birth times.
                return record.born.is_none() || record.is_younger_than(known) == Some(false);
            }
            known.addr == record.addr && record.is_younger_than(known) == Some(false)
        })
    }

    /// Ends the incarnations that `record` replaces at their address or under their id.
    fn end_predecessors(&mut self, record: &UpstreamRecord) {
        let predecessors = self.known.values().map(|known| &known.record).filter(|known| {
            // Which of two older incarnations at one address ended is left to the control boxes.
            let newer = record.is_younger_than(known).unwrap_or_else(|| record.is_new_life());
            known.id == record.id || (known.addr == record.addr && newer)
        });
        let predecessors: Vec<LifeName> = predecessors.map(UpstreamRecord::life).collect();
        for life in predecessors {
            self.end(life);
        }
    }

    /// Drops the upstreams that only an earlier epoch of a control box reported.
    fn drop_previous_epochs(&mut self, source: SocketAddr, epoch: Epoch) {
        self.retain_sources(|reporter, reported| reporter != source || reported == epoch);
    }

    /// Makes a connected control box whose whole table was received the authority, and drops the
    /// upstreams that it does not report.
    fn set_authority(&mut self, source: SocketAddr, epoch: Epoch) {
        if self.authority.replace((source, epoch)) == Some((source, epoch)) {
            return;
        }
        self.retain_sources(|reporter, _| reporter == source);
        // If the others are followed in full again, they have to report their whole tables.
        let others = self.followed.iter_mut().filter(|(other, _)| **other != source);
        others.for_each(|(_, position)| position.full = 0);
    }

    /// Keeps the sources for which `keep` is true, and the upstreams that have one left.
    fn retain_sources(&mut self, keep: impl Fn(SocketAddr, Epoch) -> bool) {
        let before = self.known.len();
        self.known.retain(|_, known| {
            known.sources.retain(|reporter, epoch| keep(*reporter, *epoch));
            !known.sources.is_empty()
        });
        self.version += u64::from(before != self.known.len());
    }
}

/// Removes the oldest entries beyond [`MAX_DEPARTED`].
fn trim(departed: &mut BTreeMap<LifeName, Version>) {
    while departed.len() > MAX_DEPARTED {
        let oldest = departed.iter().min_by_key(|(_, at)| **at).map(|(life, _)| life.clone());
        oldest.map(|life| departed.remove(&life));
    }
}
