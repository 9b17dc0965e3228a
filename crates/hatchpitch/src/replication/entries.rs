//! The in-memory part of the log: all entries after the snapshot.

use super::messages::{Entry, Index, LogEnd, Members, Payload, Term};

/// Log entries after a snapshot.
///
/// Invariant: `entries[i].index == start.index + 1 + i`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entries {
    /// Last entry that the snapshot covers.
    pub(super) start: LogEnd,
    /// Members as of `start`.
    pub(super) start_members: Members,
    pub(super) entries: Vec<Entry>,
}

impl Entries {
    /// Creates a log from the end of a snapshot and the entries that follow it.
    pub fn new(start: LogEnd, start_members: Members, entries: Vec<Entry>) -> Self {
        Self { start, start_members, entries }
    }

    /// Returns the index of the last entry that the snapshot covers.
    pub fn start_index(&self) -> Index {
        self.start.index
    }

    /// Returns the term and index of the last entry, or of the snapshot's end if there is none.
    pub fn end(&self) -> LogEnd {
        self.entries.last().map_or(self.start, |e| LogEnd { term: e.term, index: e.index })
    }

    /// Returns the term of the entry at an index, if it is known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at an index, if it is in memory.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries in memory from an index on.
    pub fn from(&self, index: Index) -> &[Entry] {
        let offset = index.saturating_sub(self.start.index + 1);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        &self.entries[offset..]
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry's index does not follow that of the last entry.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.end().index + 1, "entries must be appended in order");
        self.entries.push(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.start.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to `end`, which a snapshot now covers.
    pub fn compact(&mut self, end: LogEnd, members: Members) {
        let kept = self.from(end.index + 1).to_vec();
        *self = Self::new(end, members, kept);
    }

    /// Returns the newest members and the index of the entry, or snapshot end, that set them.
    pub fn members(&self) -> (Members, Index) {
        let newest = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Members(members) => Some((members.clone(), e.index)),
            Payload::Noop | Payload::Command(_) => None,
        });
        newest.unwrap_or_else(|| (self.start_members.clone(), self.start.index))
    }

    /// Returns the members as of an index at or after the snapshot's end.
    pub fn members_at(&self, index: Index) -> Members {
        let preceding = self.entries.iter().take_while(|e| e.index <= index);
        let changes = preceding.filter_map(|e| match &e.payload {
            Payload::Members(members) => Some(members.clone()),
            Payload::Noop | Payload::Command(_) => None,
        });
        changes.last().unwrap_or_else(|| self.start_members.clone())
    }
}
