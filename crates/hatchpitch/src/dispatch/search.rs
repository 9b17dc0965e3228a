//! Chooses the owners that a request asks for a slot, and evaluates their replies.
//!
//! Handles demand that shifts between failure domains, and failure domains that lose engines at
//! different rates. A request asks a few owners inside and outside of its failure domain for
//! their load, so that work spills over before it queues; an owner's quote includes the cost of
//! the distance. The number of owners asked does not grow with the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use super::request::Refusal;
use super::scheduler::LONG_WAIT;

/// Owners in the request's own failure domain that are asked for quotes per round. Two choices
/// give most of the benefit of load-aware balancing; more only add traffic.
const NEAR_QUOTES_PER_ROUND: usize = 2;
/// Owners in other failure domains that are asked for quotes per round: the same number, so that
/// requests of a full failure domain find capacity outside as fast as inside.
const FAR_QUOTES_PER_ROUND: usize = 2;
/// Rounds of quotes before a request queues. The second round finds capacity for most requests
/// that met only full owners in the first, and costs one more round trip of a few ms.
const MAX_QUOTE_ROUNDS: u32 = 2;
/// Attempts to take a slot at an owner that quoted capacity, before the request queues. Each
/// failed attempt lost a race between quote and request; further ones would likely lose it too.
const MAX_TAKE_ATTEMPTS: usize = 3;

/// An owner that a request may ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChoice {
    /// Address of the owner.
    pub addr: SocketAddr,
    /// Number of engines that it owns; the probability of being asked grows with it.
    pub engines: usize,
    /// Whether it owns engines in the request's failure domain.
    pub near: bool,
}

/// An owner's estimate for a request; nothing is reserved.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Quote {
    /// A slot is free, on an engine with this load: the share of slots and memory in use, plus
    /// the seconds of prompt processing that are queued.
    Room(f64),
    /// The request would queue for about this long.
    Busy(Duration),
}

/// The next action of a [`Search`].
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Ask these owners for quotes concurrently.
    Quote(Vec<SocketAddr>),
    /// Ask this owner for a slot without queueing.
    Take(SocketAddr),
    /// Queue at this owner.
    Wait(SocketAddr),
    /// Refuse the request.
    Refuse(Refusal),
    /// No owner answered: the request's own box schedules it.
    DecideLocally,
}

/// The search of one request for a slot.
#[derive(Debug, Clone)]
pub struct Search {
    /// Owners in the request's failure domain that have not been asked; the next one is last.
    near: Vec<SocketAddr>,
    /// Owners in other failure domains that have not been asked; the next one is last.
    far: Vec<SocketAddr>,
    /// Owners that quoted a free slot, with their load; the least loaded one is last.
    available: Vec<(f64, SocketAddr)>,
    /// Owners without a free slot, with their expected wait.
    busy: Vec<(Duration, SocketAddr)>,
    rounds: u32,
    take_attempts: usize,
    /// Longest expected wait that the request accepts.
    accepts: Duration,
    /// Load above which a quote is only taken once all rounds of quotes are over.
    good_load: f64,
    refused: Option<Refusal>,
}

impl Search {
    /// Creates a search over `owners`, in the order given by the random numbers of `draw`. If
    /// `quotes` is false, all owners are assumed to have a free slot.
    pub fn new(
        owners: impl IntoIterator<Item = OwnerChoice>,
        accepts: Duration,
        quotes: bool,
        mut draw: impl FnMut() -> u64,
    ) -> Self {
        let mut ranked: Vec<(u64, OwnerChoice)> = Vec::new();
        for owner in owners {
            let rank = (0..owner.engines).map(|_| draw()).max();
            ranked.extend(rank.map(|rank| (rank, owner)));
        }
        ranked.sort_unstable_by_key(|(rank, owner)| (*rank, owner.addr));
        let (near, far): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, owner)| owner.near);
        let addrs = |owners: Vec<(u64, OwnerChoice)>| -> Vec<SocketAddr> {
            owners.into_iter().map(|(_, owner)| owner.addr).collect()
        };
        let mut search = Self {
            near: addrs(near),
            far: addrs(far),
            available: Vec::new(),
            busy: Vec::new(),
            rounds: 0,
            take_attempts: 0,
            accepts,
            good_load: f64::INFINITY,
            refused: None,
        };
        if !quotes {
            search.available =
                search.far.drain(..).chain(search.near.drain(..)).map(|addr| (0.0, addr)).collect();
        }
        search
    }

    /// Sets the load above which a quote is only taken once all rounds of quotes are over, because
    /// another owner may have a much better engine.
    pub fn with_good_load(mut self, load: f64) -> Self {
        self.good_load = load;
        self
    }

    /// Returns the next action. The caller reports its result through one of the `record` methods.
    pub fn step(&mut self) -> Step {
        if let Some(refusal) = self.refused.take() {
            return Step::Refuse(refusal);
        }
        let is_good = self.available.last().is_some_and(|(load, _)| *load <= self.good_load);
        if !is_good && !self.available.is_empty() && self.rounds < MAX_QUOTE_ROUNDS {
            let asked = self.next_owners();
            if !asked.is_empty() {
                self.rounds += 1;
                return Step::Quote(asked);
            }
        }
        if self.take_attempts < MAX_TAKE_ATTEMPTS
            && let Some((_, owner)) = self.available.pop()
        {
            self.take_attempts += 1;
            return Step::Take(owner);
        }
        if self.rounds < MAX_QUOTE_ROUNDS || self.busy.is_empty() {
            let asked = self.next_owners();
            if !asked.is_empty() {
                self.rounds += 1;
                return Step::Quote(asked);
            }
        }
        self.busy.sort_unstable_by(|a, b| b.cmp(a));
        match self.busy.pop() {
            Some((wait, _)) if wait > self.accepts => Step::Refuse(Refusal::new(LONG_WAIT, wait)),
            Some((_, owner)) => Step::Wait(owner),
            None => Step::DecideLocally,
        }
    }

    /// Records quotes. Owners that did not answer are omitted by the caller.
    pub fn record_quotes(&mut self, quotes: impl IntoIterator<Item = (SocketAddr, Quote)>) {
        for (owner, quote) in quotes {
            match quote {
                Quote::Room(load) => self.available.push((load, owner)),
                Quote::Busy(wait) => self.busy.push((wait, owner)),
            }
        }
        self.available.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    }

    /// Records that an owner had no free slot when it was asked for one.
    pub fn record_busy(&mut self, owner: SocketAddr, wait: Duration) {
        self.busy.push((wait, owner));
    }

    /// Records that the owner at which the request queued refused it.
    pub fn record_refusal(&mut self, refusal: Refusal) {
        self.refused = Some(refusal);
    }

    fn next_owners(&mut self) -> Vec<SocketAddr> {
        let take = |from: &mut Vec<SocketAddr>, count: usize| {
            from.split_off(from.len().saturating_sub(count))
        };
        let mut asked = take(&mut self.near, NEAR_QUOTES_PER_ROUND);
        asked.extend(take(&mut self.far, FAR_QUOTES_PER_ROUND));
        asked
    }
}
