//! The limits that one box knows, without I/O.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::heard::{Heard, RateLimit};
use crate::ids::RunnerName;

/// The book that all tasks and decisions of one box share.
pub type SharedLimits = Rc<RefCell<LimitBook>>;

/// What something that was heard changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The limit of before.
    pub from: Option<RateLimit>,
    /// The limit from now on.
    pub to: Option<RateLimit>,
}

/// The limits of upstreams, by the names of their lives.
#[derive(Debug, Default)]
pub struct LimitBook {
    heard: BTreeMap<RunnerName, Heard>,
}

impl LimitBook {
    /// Takes in what was heard of an upstream; returns what that changes.
    pub fn hear(&mut self, upstream: &str, heard: Heard) -> Option<Change> {
        let known = self.heard.get(upstream);
        if known.is_none() && heard.limit.is_none() {
            return None;
        }
        if known.is_some_and(|known| !heard.supersedes(known)) {
            return None;
        }
        let from = known.and_then(|known| known.limit);
        self.heard.insert(upstream.to_owned(), heard);
        (from != heard.limit).then_some(Change { from, to: heard.limit })
    }

    /// Returns how many upstreams name a limit now.
    pub fn limited(&self) -> usize {
        self.heard.values().filter(|heard| heard.limit.is_some()).count()
    }
}
