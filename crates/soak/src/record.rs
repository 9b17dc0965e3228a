//! What callers, upstreams and the operator of a run saw, in one order.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A caller's id of one request.
pub type RequestId = String;
/// Id of an upstream's life.
pub type LifeId = String;
/// Place of something in the order of a run.
pub type Moment = u64;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A call that may run more than once.
    Repeatable,
    /// A call that may run once.
    Once,
    /// A stream of events, which may run once.
    Stream,
    /// A repeatable call on a route that only the configuration of this number has.
    Marker(u64),
}

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It is still open.
    Open,
    /// With its own whole answer.
    Answered,
    /// With something that no caller may get.
    Wrong(String),
    /// With the word that it was not run.
    Refused,
    /// With another failure.
    Failed(u16),
    /// Without an answer, or with one that visibly breaks off.
    Broken(String),
    /// No connection came to be.
    NotConnected,
    /// The caller left.
    Left,
    /// Nothing came for as long as the caller waits.
    Unanswered,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// What it asks for.
    pub kind: Kind,
    /// Box and start of its entry process that it was sent to.
    pub sent_to: (usize, u64),
    /// When it was sent.
    pub sent: Moment,
    /// When it ended.
    pub ended: Moment,
    /// How it ended.
    pub end: End,
    /// The calm part in which all of it lies, if one does.
    pub calm: Option<u32>,
}

/// A run that an upstream began.
#[derive(Debug, Clone)]
pub struct Begun {
    /// The request.
    pub id: RequestId,
    /// The upstream's life.
    pub life: LifeId,
    /// Whether it went on from a copy.
    pub resumed: bool,
    /// Whether the run that it goes on from had not stopped.
    pub beside_another: bool,
}

/// A request that reached an upstream which names a limit.
#[derive(Debug, Clone)]
pub struct LimitedWork {
    /// The upstream's life.
    pub life: LifeId,
    /// The limit, in requests a second.
    pub per_second: f64,
    /// When it came.
    pub at: Instant,
    /// The calm part in which it came, if it did.
    pub calm: Option<u32>,
}

/// A request that an upstream turned away, asking for rest.
#[derive(Debug, Clone)]
pub struct RestedWork {
    /// The upstream's life.
    pub life: LifeId,
    /// The rest that it asked for.
    pub rest: Duration,
    /// When it came.
    pub at: Instant,
    /// The calm part in which it came, if it did.
    pub calm: Option<u32>,
}

/// What the operator saw of configurations.
#[derive(Debug, Clone)]
pub enum ConfigSeen {
    /// One was acknowledged.
    Acknowledged {
        /// Its number.
        number: u64,
        /// When the answer came.
        at: Moment,
    },
    /// A read was answered.
    Read {
        /// Its number.
        number: u64,
        /// What it held.
        text: String,
        /// When it was asked for.
        asked: Moment,
    },
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Record {
    moment: Cell<Moment>,
    calm: Cell<Option<u32>>,
    /// Callers' requests.
    pub calls: RefCell<BTreeMap<RequestId, Call>>,
    /// Runs at upstreams.
    pub runs: RefCell<Vec<Begun>>,
    /// Configurations.
    pub configs: RefCell<Vec<ConfigSeen>>,
    /// Work that reached an upstream long after its leaving was acknowledged.
    pub late_work: RefCell<Vec<String>>,
    /// Requests that reached upstreams which name limits, in order.
    pub limited: RefCell<Vec<LimitedWork>>,
    /// Requests that upstreams turned away which ask for rest, in order.
    pub rested: RefCell<Vec<RestedWork>>,
    /// Boxes that send requests.
    pub boxes: Cell<usize>,
    /// Processes that ended by themselves.
    pub own_ends: Cell<u64>,
}

impl Record {
    /// Returns the next place in the order.
    pub fn tick(&self) -> Moment {
        self.moment.set(self.moment.get() + 1);
        self.moment.get()
    }

    /// Begins or ends a calm part.
    pub fn set_calm(&self, part: Option<u32>) {
        self.calm.set(part);
    }

    /// Returns the calm part that goes on.
    pub fn calm(&self) -> Option<u32> {
        self.calm.get()
    }

    /// Notes that a request is sent.
    pub fn begin(&self, id: &str, kind: Kind, sent_to: (usize, u64)) {
        let sent = self.tick();
        let calm = self.calm.get();
        let call = Call { kind, sent_to, sent, ended: sent, end: End::Open, calm };
        self.calls.borrow_mut().insert(id.to_owned(), call);
    }

    /// Notes how a request ended.
    pub fn end(&self, id: &str, end: End) {
        let now = self.tick();
        if let Some(call) = self.calls.borrow_mut().get_mut(id) {
            call.ended = now;
            call.end = end;
            if call.calm != self.calm.get() {
                call.calm = None;
            }
        }
    }

    /// Returns the highest number that was acknowledged before a moment.
    pub fn acknowledged_before(&self, moment: Moment) -> u64 {
        let configs = self.configs.borrow();
        let numbers = configs.iter().filter_map(|seen| match seen {
            ConfigSeen::Acknowledged { number, at } if *at < moment => Some(*number),
            _ => None,
        });
        numbers.max().unwrap_or(0)
    }

    /// Returns how many requests got their answer.
    pub fn answered(&self) -> usize {
        self.calls.borrow().values().filter(|call| call.end == End::Answered).count()
    }

    /// Returns how many requests ended in each way.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for call in self.calls.borrow().values() {
            *counts.entry(call.end.word()).or_default() += 1;
        }
        counts
    }
}

impl End {
    /// Returns a word for counts.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Answered => "answered",
            Self::Wrong(_) => "wrong",
            Self::Refused => "refused",
            Self::Failed(_) => "failed",
            Self::Broken(_) => "broken",
            Self::NotConnected => "not connected",
            Self::Left => "left",
            Self::Unanswered => "unanswered",
        }
    }
}
