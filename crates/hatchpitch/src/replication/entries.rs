//! The part of the log that is kept in memory: everything after the snapshot.

use super::messages::{Entry, Index, LogEnd, Members, Payload, Term};

/// Entries after a snapshot.
///
/// Invariant: `entries[i].index == start.index + 1 + i`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entries {
    /// Last entry that the snapshot holds.
    pub(super) start: LogEnd,
    /// Who took part at `start`.
    pub(super) start_members: Members,
    pub(super) entries: Vec<Entry>,
}

impl Entries {
    /// Creates an empty log after a snapshot.
    pub fn new(start: LogEnd, start_members: Members, entries: Vec<Entry>) -> Self {
        Self { start, start_members, entries }
    }

    /// Returns the position of the last entry that the snapshot holds.
    pub fn start_index(&self) -> Index {
        self.start.index
    }

    /// Returns the last entry.
    pub fn end(&self) -> LogEnd {
        self.entries.last().map_or(self.start, |e| LogEnd { term: e.term, index: e.index })
    }

    /// Returns the term at a position, if it is known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at a position, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the kept entries from a position on.
    pub fn from(&self, index: Index) -> &[Entry] {
        let offset = index.saturating_sub(self.start.index + 1);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        &self.entries[offset..]
    }

    /// Adds an entry at the end.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not the next one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.end().index + 1, "entries come in order");
        self.entries.push(entry);
    }

    /// Drops the entries from a position on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.start.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to `end`, which a snapshot now holds.
    pub fn compact(&mut self, end: LogEnd, members: Members) {
        let kept = self.from(end.index + 1).to_vec();
        *self = Self::new(end, members, kept);
    }

    /// Returns who takes part according to the newest entry, and that entry's position.
    pub fn members(&self) -> (Members, Index) {
        let changes = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Members(members) => Some((members.clone(), e.index)),
            Payload::Noop | Payload::Command(_) => None,
        });
        changes.unwrap_or_else(|| (self.start_members.clone(), self.start.index))
    }

    /// Returns who took part at a position that is kept.
    pub fn members_at(&self, index: Index) -> Members {
        let upto = self.entries.iter().take_while(|e| e.index <= index);
        let change = upto.filter_map(|e| match &e.payload {
            Payload::Members(members) => Some(members.clone()),
            Payload::Noop | Payload::Command(_) => None,
        });
        change.last().unwrap_or_else(|| self.start_members.clone())
    }
}
