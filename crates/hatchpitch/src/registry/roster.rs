//! The upstreams as one entry box knows them, from what the control boxes tell.
//!
//! One control box at a time is followed for everything; what leaves or ended counts whoever
//! tells it. When another one is followed for everything, what only the former one named stays
//! until the new one has told all that it has.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::life::LifeName;
use super::messages::{Detail, Epoch, FollowAnswer, PackedRecords, Phase, UpstreamRecord, Version};

/// Lives that ended or leave and are remembered; beyond it the oldest are forgotten.
const MAX_DEPARTED: usize = 65_536;
/// Difference of the time at which an upstream is warm that is a change: below it lie the times
/// that messages take.
const COLD_CHANGE: Duration = Duration::from_millis(300);

#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) record: UpstreamRecord,
    /// Control boxes that name it, and the life of the table that did.
    pub(super) sources: BTreeMap<SocketAddr, Epoch>,
    /// Version at which it was first named, and whether its life was new then.
    pub(super) named: (Version, bool),
    /// When it is warm.
    warm_at: Instant,
}

/// What this box has of a control box's table.
#[derive(Debug, Clone, Copy, Default)]
struct Position {
    epoch: Epoch,
    /// Version up to which everything was told.
    whole: Version,
    /// Version up to which departures were told.
    departures: Version,
}

/// What one entry box knows of all upstreams, by the names of their lives.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    pub(super) known: BTreeMap<LifeName, Known>,
    /// Lives that ended, with the order in which this box heard of it.
    pub(super) ended: BTreeMap<LifeName, Version>,
    /// Lives that leave and are not known otherwise, or said so themselves, with the order in which this box heard of it.
    leaving: BTreeMap<LifeName, Version>,
    followed: BTreeMap<SocketAddr, Position>,
    /// The control box, in one of its lives, that has told all that it has; nobody else's word
    /// keeps an upstream.
    authority: Option<(SocketAddr, Epoch)>,
    version: Version,
}

impl Roster {
    /// Returns a number that grows with every change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns how many upstreams are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what this box has of a control box's table, for a question in this detail.
    pub fn position(&self, source: SocketAddr, detail: Detail) -> (Epoch, Version) {
        let position = self.followed.get(&source).copied().unwrap_or_default();
        let have = match detail {
            Detail::Departures => position.departures,
            Detail::Named | Detail::Whole => position.whole,
        };
        (position.epoch, have)
    }

    /// Takes in what a control box answered that was `asked` for so much; returns whether anything
    /// changed.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the records do not unpack; nothing is taken then.
    pub fn take(
        &mut self,
        source: SocketAddr,
        asked: Detail,
        answer: FollowAnswer,
        now: Instant,
    ) -> Result<bool, rmp_serde::decode::Error> {
        let before = self.version;
        let packed = answer.packed.as_ref().map(PackedRecords::records).transpose()?;
        let covers_all = self.note_position(source, asked, &answer);
        let records = answer.records.into_iter().chain(packed.unwrap_or_default());
        for life in answer.ended {
            self.end(life);
        }
        for life in answer.leaving {
            self.leave(life);
        }
        for life in answer.lapsed {
            self.unname(&life, source);
        }
        for record in records {
            self.name(record, source, answer.epoch, now);
        }
        if covers_all && answer.settled {
            self.forget_former_lives(source, answer.epoch);
            if !answer.out_of_touch {
                self.trust_only(source, answer.epoch);
            }
        }
        Ok(before != self.version)
    }

    /// Notes what this box has of a control box's table with an answer; returns whether that is all
    /// up to the answer's version. A question for everything may be under way while another box
    /// becomes the one that is believed; its answer then lacks what was dropped meanwhile.
    fn note_position(&mut self, source: SocketAddr, asked: Detail, answer: &FollowAnswer) -> bool {
        let position = self.followed.entry(source).or_default();
        if position.epoch != answer.epoch {
            *position = Position { epoch: answer.epoch, ..Position::default() };
        }
        position.departures = answer.version;
        let covers_all = asked != Detail::Departures && answer.since <= position.whole;
        if covers_all {
            position.whole = answer.version;
        }
        covers_all
    }

    /// Iterates over the upstreams that take work.
    pub fn serving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Serving)
    }

    /// Looks a life up, whether it takes work or not.
    pub fn get(&self, life: &str) -> Option<&UpstreamRecord> {
        self.known.get(life).map(|known| &known.record)
    }

    /// Iterates over the upstreams that finish what they have.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.known.values().map(|known| &known.record).filter(|r| r.phase == Phase::Leaving)
    }

    /// Returns when an upstream is warm, if its life is known.
    pub fn warm_at(&self, life: &str) -> Option<Instant> {
        self.known.get(life).map(|known| known.warm_at)
    }

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

    /// Notes that an upstream said itself that it leaves, which its announcements may never tell.
    pub fn said_leaving(&mut self, life: &str) {
        self.leave(life.to_owned());
        if !self.ended.contains_key(life) {
            self.leaving.entry(life.to_owned()).or_insert(self.version);
            trim(&mut self.leaving);
        }
    }

    fn unname(&mut self, life: &str, source: SocketAddr) {
        let Some(known) = self.known.get_mut(life) else { return };
        known.sources.remove(&source);
        if known.sources.is_empty() {
            self.known.remove(life);
            self.version += 1;
        }
    }

    fn name(&mut self, record: UpstreamRecord, source: SocketAddr, epoch: Epoch, now: Instant) {
        let life = record.life();
        if self.ended.contains_key(&life) {
            return;
        }
        let warm_at = now + record.warm_in;
        if let Some(known) = self.known.get_mut(&life) {
            known.sources.insert(source, epoch);
            if record.supersedes(&known.record) && record.addr == known.record.addr {
                let colder = warm_at > known.warm_at + COLD_CHANGE;
                let changed = record.phase != known.record.phase || colder;
                known.record = record;
                known.warm_at = warm_at;
                self.version += u64::from(changed);
            }
            return;
        }
        if self.is_older(&record) {
            return;
        }
        self.end_former(&record);
        self.version += 1;
        let mut record = record;
        let is_new = record.is_new_life();
        if self.leaving.contains_key(&life) {
            record.phase = Phase::Leaving;
        }
        let sources = BTreeMap::from([(source, epoch)]);
        let named = (self.version, is_new);
        self.known.insert(life, Known { record, sources, named, warm_at });
    }

    /// Returns whether an unknown life is one before a known one of its id or at its address.
    fn is_older(&self, record: &UpstreamRecord) -> bool {
        self.known.values().map(|known| &known.record).any(|known| {
            if known.id == record.id {
                // A box of before passes on what told its birth elsewhere.
                return record.born.is_none() || record.is_younger_than(known) == Some(false);
            }
            known.addr == record.addr && record.is_younger_than(known) == Some(false)
        })
    }

    /// Ends the lives that are over because `record` begins at their address or under their id.
    fn end_former(&mut self, record: &UpstreamRecord) {
        let former = self.known.values().map(|known| &known.record).filter(|known| {
            // Of two older lives at one address the control boxes come to know which one ended.
            let newer = record.is_younger_than(known).unwrap_or_else(|| record.is_new_life());
            known.id == record.id || (known.addr == record.addr && newer)
        });
        let former: Vec<LifeName> = former.map(UpstreamRecord::life).collect();
        for life in former {
            self.end(life);
        }
    }

    /// Drops what only an earlier life of a control box named.
    fn forget_former_lives(&mut self, source: SocketAddr, epoch: Epoch) {
        self.retain_sources(|named_by, named| named_by != source || named == epoch);
    }

    /// Drops what a control box in touch, which has told all that it has, does not name.
    fn trust_only(&mut self, source: SocketAddr, epoch: Epoch) {
        if self.authority.replace((source, epoch)) == Some((source, epoch)) {
            return;
        }
        self.retain_sources(|named_by, _| named_by == source);
        // Followed for everything again, the others tell all that they have.
        let others = self.followed.iter_mut().filter(|(other, _)| **other != source);
        others.for_each(|(_, position)| position.whole = 0);
    }

    fn retain_sources(&mut self, keep: impl Fn(SocketAddr, Epoch) -> bool) {
        let before = self.known.len();
        self.known.retain(|_, known| {
            known.sources.retain(|named_by, epoch| keep(*named_by, *epoch));
            !known.sources.is_empty()
        });
        self.version += u64::from(before != self.known.len());
    }
}

/// Forgets the oldest entries of a table that has grown too large.
fn trim(departed: &mut BTreeMap<LifeName, Version>) {
    while departed.len() > MAX_DEPARTED {
        let oldest = departed.iter().min_by_key(|(_, at)| **at).map(|(life, _)| life.clone());
        oldest.map(|life| departed.remove(&life));
    }
}
