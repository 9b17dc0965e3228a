//! Conditions of the network links between the parties of a run, as set by the fault schedule.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::heads::HeadSpoil;

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Party {
    /// A box, by its index in the fleet.
    Box(usize),
    /// An upstream, by its index in the pool.
    Upstream(usize),
    /// Callers, the operator and every other process whose box is unknown or not looked up.
    Outside,
}

/// How a link treats bytes in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Condition {
    /// Bytes pass at once.
    #[default]
    Clear,
    /// Bytes pass after a delay.
    Delayed(Duration),
    /// Bytes are held until the link is clear again.
    Blocked,
}

/// The conditions of all links.
#[derive(Debug, Default)]
pub struct Links {
    directions: RefCell<HashMap<(Party, Party), Condition>>,
    /// Number of times that the connections to a party were reset.
    resets: RefCell<HashMap<Party, u64>>,
    /// Number of times that the process of a party died.
    deaths: RefCell<HashMap<Party, u64>>,
    /// Parties that do not listen.
    refusing: RefCell<HashSet<Party>>,
    /// How the heads are spoilt that parties send.
    spoils: RefCell<HashMap<Party, HeadSpoil>>,
}

impl Links {
    /// Sets the condition of the link from one party to another, in that direction only.
    pub fn set(&self, from: Party, to: Party, condition: Condition) {
        let mut directions = self.directions.borrow_mut();
        match condition {
            Condition::Clear => directions.remove(&(from, to)),
            _ => directions.insert((from, to), condition),
        };
    }

    /// Clears all links, accepts new connections to every party and leaves all heads as they are.
    pub fn clear(&self) {
        self.spoils.borrow_mut().clear();
        self.directions.borrow_mut().clear();
        self.refusing.borrow_mut().clear();
    }

    /// Returns the condition of the link from one party to another.
    pub fn get(&self, from: Party, to: Party) -> Condition {
        self.directions.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns whether bytes pass without delay on every link.
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

    /// Ends all open connections to a party in order, as the kernel does for a process that dies.
    pub fn end(&self, party: Party) {
        *self.deaths.borrow_mut().entry(party).or_default() += 1;
    }

    /// Returns how often the connections to a party were ended in order.
    pub fn deaths(&self, party: Party) -> u64 {
        self.deaths.borrow().get(&party).copied().unwrap_or_default()
    }

    /// Sets whether new connections to a party are refused.
    pub fn refuse(&self, party: Party, refuses: bool) {
        let mut refusing = self.refusing.borrow_mut();
        if refuses {
            refusing.insert(party);
        } else {
            refusing.remove(&party);
        }
    }

    /// Sets how the heads are spoilt that a party sends, if they are.
    pub fn spoil(&self, party: Party, spoil: Option<HeadSpoil>) {
        let mut spoils = self.spoils.borrow_mut();
        match spoil {
            Some(spoil) => spoils.insert(party, spoil),
            None => spoils.remove(&party),
        };
    }

    /// Returns how the heads are spoilt that a party sends, if they are.
    pub fn head_spoil(&self, party: Party) -> Option<HeadSpoil> {
        self.spoils.borrow().get(&party).copied()
    }

    /// Returns whether new connections to a party are refused.
    pub fn refuses(&self, party: Party) -> bool {
        self.refusing.borrow().contains(&party)
    }
}
