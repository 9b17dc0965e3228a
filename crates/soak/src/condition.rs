//! What the links between the parties of a run do to bytes, as the schedule sets it.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Who speaks over a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Party {
    /// A box, by its place in the fleet.
    Box(usize),
    /// An upstream, by its place in the pool.
    Upstream(usize),
    /// Callers, the operator and whoever else is no box.
    Outside,
}

/// What a link does to bytes in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Condition {
    /// They pass.
    #[default]
    Clear,
    /// They pass later.
    Delayed(Duration),
    /// They are held until the link is clear again.
    Silent,
}

/// The conditions of all links.
#[derive(Debug, Default)]
pub struct Links {
    directions: RefCell<HashMap<(Party, Party), Condition>>,
    /// Counts resets of all connections of a party.
    resets: RefCell<HashMap<Party, u64>>,
    /// Parties to which new connections are reset.
    refusing: RefCell<HashSet<Party>>,
}

impl Links {
    /// Sets what happens to bytes on their way from one party to another.
    pub fn set(&self, from: Party, to: Party, condition: Condition) {
        let mut directions = self.directions.borrow_mut();
        match condition {
            Condition::Clear => directions.remove(&(from, to)),
            _ => directions.insert((from, to), condition),
        };
    }

    /// Makes every link clear.
    pub fn clear(&self) {
        self.directions.borrow_mut().clear();
        self.refusing.borrow_mut().clear();
    }

    /// Returns what happens to bytes on their way from one party to another.
    pub fn get(&self, from: Party, to: Party) -> Condition {
        self.directions.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns whether bytes pass on every link.
    pub fn all_clear(&self) -> bool {
        self.directions.borrow().is_empty()
    }

    /// Resets all open connections to a party.
    pub fn reset(&self, party: Party) {
        *self.resets.borrow_mut().entry(party).or_default() += 1;
    }

    /// Returns how often the connections to a party were reset.
    pub fn resets(&self, party: Party) -> u64 {
        self.resets.borrow().get(&party).copied().unwrap_or_default()
    }

    /// Sets whether new connections to a party are reset.
    pub fn refuse(&self, party: Party, refuses: bool) {
        let mut refusing = self.refusing.borrow_mut();
        if refuses {
            refusing.insert(party);
        } else {
            refusing.remove(&party);
        }
    }

    /// Returns whether new connections to a party are reset.
    pub fn refuses(&self, party: Party) -> bool {
        self.refusing.borrow().contains(&party)
    }
}
