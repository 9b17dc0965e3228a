//! Evidence that established connections of this box to upstreams carry nothing, without I/O.
//!
//! Load: a box is cut off from upstreams in a way that lets its connections be established and to
//! stay open. Either nobody acknowledges what is sent, or a host on the path does and drops it.
//!
//! Bytes that stay unacknowledged are evidence however long the upstream takes for an answer. Where
//! they are acknowledged, a silent link and a slow upstream look alike from one box. Then answers to
//! other boxes tell them apart: if the upstream answered requests of the same kind that were sent
//! later than the one that waits, the upstream is not what it waits for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch_net::{Acknowledgements, ProbedLink};

use crate::ids::RequestKind;

/// Interval at which a connection is checked while a response head is awaited.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which sent bytes have to be unacknowledged to be evidence: above a few round trips and
/// a delayed acknowledgement.
pub const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(300);
/// Time that a request has waited before other boxes are asked about its upstream.
const MIN_INQUIRY_WAIT: Duration = Duration::from_millis(200);
/// Mean interval between inquiries of a box while requests wait all the time. With [`MAX_ITEMS`], it
/// keeps them under 1 KB/s.
pub const INQUIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two inquiries.
const MIN_INQUIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Inquiries that a box may make at the shortest interval after a time without any: the lead that is
/// evidence grows with each of them.
const INQUIRY_BURST: u32 = 4;
/// Time since its last check after which a request has ended. A request that waits is checked once
/// in [`CHECK_INTERVAL`].
const MAX_CHECK_AGE: Duration = CHECK_INTERVAL.saturating_mul(2);
/// Waiting requests that one inquiry names.
pub const MAX_ITEMS: usize = 3;
/// Lead of an answered request over a waiting one that is evidence, as a fraction of the time that
/// the latter has waited. A fixed lead of 100 ms took a slow upstream on a loaded machine for a
/// lost link.
const LEAD_FRACTION: f64 = 0.5;
/// Time after which an answer is forgotten.
const ANSWER_TTL: Duration = Duration::from_secs(10);
/// Upstreams whose answers are remembered.
const MAX_UPSTREAMS: usize = 4_096;
/// Kinds of requests for which the answers of one upstream are remembered.
const MAX_KINDS: usize = 64;

/// Why a link is taken to be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Bytes were sent and not acknowledged for this time.
    Unacknowledged(Duration),
    /// The upstream answered another box.
    AnsweredElsewhere {
        /// Time that the request has waited here.
        waited: Duration,
        /// Age of the answered request of the other box.
        age: Duration,
    },
}

impl Evidence {
    /// Returns whether the evidence is acted on after a probe of the link; `None` without one. An
    /// upstream that stood still may answer another box a moment before this one.
    pub fn is_confirmed_by(&self, probed: Option<ProbedLink>) -> bool {
        match self {
            Self::Unacknowledged(_) => true,
            Self::AnsweredElsewhere { .. } => {
                matches!(probed, Some(ProbedLink::Silent | ProbedLink::NoConnection))
            }
        }
    }
}

/// Watches whether what was sent on one connection is acknowledged.
#[derive(Debug)]
pub struct AckWatch {
    /// Last time at which nothing was known to be unacknowledged.
    settled: Instant,
    /// Time from which on bytes are taken to be unacknowledged.
    pending_since: Option<Instant>,
}

impl AckWatch {
    /// Creates a watch for a connection on which a request is sent at `now`.
    pub fn new(now: Instant) -> Self {
        Self { settled: now, pending_since: None }
    }

    /// Records the state of the connection. Returns evidence if bytes have been unacknowledged for
    /// [`MAX_UNACKNOWLEDGED`].
    pub fn observe(&mut self, acks: Acknowledgements, now: Instant) -> Option<Evidence> {
        if !acks.are_pending {
            *self = Self::new(now);
            return None;
        }
        // Where the event loop has stalled, the bytes may have been written just before this
        // observation, so no more than one interval counts before the first one.
        let earliest = now.checked_sub(CHECK_INTERVAL).unwrap_or(now).max(self.settled);
        let since = *self.pending_since.get_or_insert(earliest);
        // The last acknowledgement may be older than the first unacknowledged byte.
        let pending = now.saturating_duration_since(since).min(acks.last_age);
        (pending >= MAX_UNACKNOWLEDGED).then_some(Evidence::Unacknowledged(pending))
    }
}

#[derive(Debug, Clone)]
struct Answered {
    /// Time at which the latest answered request of any kind was sent.
    latest: Instant,
    /// The same by kind, for successful ones.
    kinds: BTreeMap<RequestKind, Instant>,
}

/// When requests that upstreams answered on links of this box were sent.
#[derive(Debug, Clone, Default)]
pub struct AnswerTable(BTreeMap<SocketAddr, Answered>);

impl AnswerTable {
    /// Records an answer to a request that was sent at `sent` on a link of this box. `kind` is that
    /// of the request if the answer is a success: a refusal comes at once, whatever else waits.
    pub fn record(&mut self, addr: SocketAddr, kind: Option<&str>, sent: Instant, now: Instant) {
        if !self.0.contains_key(&addr) && self.0.len() >= MAX_UPSTREAMS {
            self.0.retain(|_, answered| now < answered.latest + ANSWER_TTL);
            if self.0.len() >= MAX_UPSTREAMS {
                return;
            }
        }
        let new = || Answered { latest: sent, kinds: BTreeMap::new() };
        let answered = self.0.entry(addr).or_insert_with(new);
        answered.latest = answered.latest.max(sent);
        let Some(kind) = kind.filter(|kind| !kind.is_empty()) else { return };
        if let Some(latest) = answered.kinds.get_mut(kind) {
            *latest = (*latest).max(sent);
            return;
        }
        if answered.kinds.len() >= MAX_KINDS {
            answered.kinds.retain(|_, at| now < *at + ANSWER_TTL);
        }
        if answered.kinds.len() < MAX_KINDS {
            answered.kinds.insert(kind.to_owned(), sent);
        }
    }

    /// Returns how long ago the latest request of a kind was sent that an upstream answered.
    pub fn age(&self, addr: SocketAddr, kind: &str, now: Instant) -> Option<Duration> {
        let sent = self.0.get(&addr)?.kinds.get(kind)?;
        Some(now.saturating_duration_since(*sent)).filter(|age| *age < ANSWER_TTL)
    }

    /// Returns whether an upstream answered a request that was sent at `sent` or later.
    pub fn has_since(&self, addr: SocketAddr, sent: Instant) -> bool {
        self.0.get(&addr).is_some_and(|answered| answered.latest >= sent)
    }
}

/// A request that waits for its response head, of which other boxes may know more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Time at which it was sent.
    pub sent: Instant,
}

impl WaitingRequest {
    /// Judges the answer of another box that was asked at `asked`: `age` is that of the latest
    /// request of the same kind that the upstream answered there.
    pub fn judge(&self, age: Duration, asked: Instant) -> Option<Evidence> {
        let waited = asked.saturating_duration_since(self.sent);
        let lead = waited.checked_sub(age)?;
        (lead >= waited.mul_f64(LEAD_FRACTION))
            .then_some(Evidence::AnsweredElsewhere { waited, age })
    }
}

#[derive(Debug, Clone, Copy)]
struct OldestWait {
    sent: Instant,
    checked_at: Instant,
    /// Time of the last inquiry that named it.
    asked_at: Option<Instant>,
}

impl OldestWait {
    fn waits(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.checked_at) <= MAX_CHECK_AGE
    }
}

/// Collects the waiting requests of a box for its next inquiry.
#[derive(Debug, Clone, Default)]
pub struct Inquiries {
    /// The oldest waiting request of each kind at each upstream.
    waiting: BTreeMap<(SocketAddr, RequestKind), OldestWait>,
    last: Option<Instant>,
    /// Time up to which the inquiries so far use up the mean rate.
    used_until: Option<Instant>,
}

impl Inquiries {
    /// Adds a request whose bytes are acknowledged, each time that it is checked. Returns the
    /// requests to ask other boxes about if an inquiry is due.
    pub fn add(&mut self, req: &WaitingRequest, now: Instant) -> Vec<WaitingRequest> {
        if now < req.sent + MIN_INQUIRY_WAIT {
            return Vec::new();
        }
        let new = OldestWait { sent: req.sent, checked_at: now, asked_at: None };
        let oldest = self.waiting.entry((req.addr, req.kind.clone())).or_insert(new);
        if req.sent <= oldest.sent || !oldest.waits(now) {
            *oldest = OldestWait { asked_at: oldest.asked_at, ..new };
        }
        let used_until = self.used_until.map_or(now, |at| at.max(now));
        let is_early = self.last.is_some_and(|at| now < at + MIN_INQUIRY_INTERVAL);
        if is_early || used_until > now + INQUIRY_INTERVAL * (INQUIRY_BURST - 1) {
            return Vec::new();
        }
        self.last = Some(now);
        self.used_until = Some(used_until + INQUIRY_INTERVAL);
        self.waiting.retain(|_, wait| wait.waits(now));
        self.select(now)
    }

    /// Selects the requests that an inquiry at `now` names: the one that has waited longest, and
    /// those that no inquiry has named for the longest time.
    fn select(&mut self, now: Instant) -> Vec<WaitingRequest> {
        let mut waiting: Vec<_> = self.waiting.iter_mut().collect();
        waiting.sort_by_key(|(_, wait)| wait.sent);
        if let Some((_, others)) = waiting.split_first_mut() {
            others.sort_by_key(|(_, wait)| wait.asked_at);
        }
        let named = waiting.into_iter().take(MAX_ITEMS);
        let items = named.map(|((addr, kind), wait)| {
            wait.asked_at = Some(now);
            WaitingRequest { addr: *addr, kind: kind.clone(), sent: wait.sent }
        });
        items.collect()
    }
}
