//! Which owners a request asks for a slot, and what follows from what they say.
//!
//! Load patterns answered: callers that move from one failure domain to another, and engines
//! that leave faster in one than in another. Some near and some far owners are asked how busy
//! they are, so that work spills over before it waits; the cost of the distance is part of what
//! an owner quotes. How many are asked does not grow with the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use super::scheduler::Refusal;

/// Owners of the request's own failure domain that are asked for quotes in one round: two
/// choices take most of the gain, more cost bytes.
const NEAR_QUOTED: usize = 2;
/// Owners elsewhere that are asked in one round: as many, so that a failure domain whose engines
/// are full finds room outside as fast as inside.
const FAR_QUOTED: usize = 2;
/// Rounds of quotes before a request waits. The second one finds room for most requests whose
/// first one met only full owners, and costs one more round trip of a few ms.
const ROUNDS: u32 = 2;
/// Owners with room that may turn a request away before it waits: each of them filled up between
/// its quote and the request, so that more tries would lose the same race.
const TAKES: usize = 3;

/// An owner that a request may ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChoice {
    /// The box.
    pub addr: SocketAddr,
    /// Engines that it decides for; an owner of more is asked as often as it has more.
    pub engines: usize,
    /// Whether it owns engines in the request's own failure domain.
    pub near: bool,
}

/// What a request would get from an owner at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Quote {
    /// A slot on an engine with this load: share of slots and memory in use, and seconds of
    /// prompts to be read.
    Room(f64),
    /// A place in the line, with this expected wait.
    Busy(Duration),
}

/// What a request does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// It asks these owners for quotes, all at once.
    Quote(Vec<SocketAddr>),
    /// It asks this owner for a slot at once.
    Take(SocketAddr),
    /// It waits at this owner.
    Wait(SocketAddr),
    /// It is turned away.
    Refuse(Refusal),
    /// No owner answers: its own box decides for itself.
    DecideLocally,
}

/// One request's search for a slot.
#[derive(Debug, Clone)]
pub struct Search {
    /// Owners not yet asked, in the order in which they are; near ones, and the others.
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    /// Owners with room, the least loaded one last.
    rooms: Vec<(f64, SocketAddr)>,
    /// Owners without room, and their expected waits.
    busy: Vec<(Duration, SocketAddr)>,
    rounds: u32,
    takes: usize,
    /// Expected wait beyond which the request is refused.
    accepts: Duration,
    refused: Option<Refusal>,
}

impl Search {
    /// Prepares to ask `owners`, in an order that `draw` decides. Without `quotes`, each one is
    /// taken to have room.
    pub fn new(
        owners: impl IntoIterator<Item = OwnerChoice>,
        accepts: Duration,
        quotes: bool,
        mut draw: impl FnMut() -> u64,
    ) -> Self {
        let mut drawn: Vec<(u64, OwnerChoice)> = Vec::new();
        for owner in owners {
            let best = (0..owner.engines).map(|_| draw()).max();
            drawn.extend(best.map(|best| (best, owner)));
        }
        drawn.sort_unstable_by_key(|(best, owner)| (*best, owner.addr));
        let (near, far): (Vec<_>, Vec<_>) = drawn.into_iter().partition(|(_, owner)| owner.near);
        let addrs = |owners: Vec<(u64, OwnerChoice)>| -> Vec<SocketAddr> {
            owners.into_iter().map(|(_, owner)| owner.addr).collect()
        };
        let mut search = Self {
            near: addrs(near),
            far: addrs(far),
            rooms: Vec::new(),
            busy: Vec::new(),
            rounds: 0,
            takes: 0,
            accepts,
            refused: None,
        };
        if !quotes {
            search.rooms =
                search.far.drain(..).chain(search.near.drain(..)).map(|o| (0.0, o)).collect();
        }
        search
    }

    /// Returns what to do next; what comes of it is told by one of the `heard` functions.
    pub fn step(&mut self) -> Step {
        if let Some(refusal) = self.refused.take() {
            return Step::Refuse(refusal);
        }
        if self.takes < TAKES
            && let Some((_, owner)) = self.rooms.pop()
        {
            self.takes += 1;
            return Step::Take(owner);
        }
        if self.rounds < ROUNDS || self.busy.is_empty() {
            let asked = self.next_round();
            if !asked.is_empty() {
                self.rounds += 1;
                return Step::Quote(asked);
            }
        }
        self.busy.sort_unstable_by(|a, b| b.cmp(a));
        match self.busy.pop() {
            Some((wait, _)) if wait > self.accepts => {
                Step::Refuse(Refusal::new("more wait than can be served in time", wait))
            }
            Some((_, owner)) => Step::Wait(owner),
            None => Step::DecideLocally,
        }
    }

    /// Takes in quotes; an owner that did not answer is left out.
    pub fn record_quotes(&mut self, quotes: impl IntoIterator<Item = (SocketAddr, Quote)>) {
        for (owner, quote) in quotes {
            match quote {
                Quote::Room(load) => self.rooms.push((load, owner)),
                Quote::Busy(wait) => self.busy.push((wait, owner)),
            }
        }
        self.rooms.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    }

    /// Notes that an owner has no room after all.
    pub fn record_busy(&mut self, owner: SocketAddr, wait: Duration) {
        self.busy.push((wait, owner));
    }

    /// Notes that the owner at which the request waited gave it up.
    pub fn record_refusal(&mut self, refusal: Refusal) {
        self.refused = Some(refusal);
    }

    fn next_round(&mut self) -> Vec<SocketAddr> {
        let take = |from: &mut Vec<SocketAddr>, count: usize| {
            from.split_off(from.len().saturating_sub(count))
        };
        let mut asked = take(&mut self.near, NEAR_QUOTED);
        asked.extend(take(&mut self.far, FAR_QUOTED));
        asked
    }
}
