//! Replays requests of many boxes to one upstream against their books of limits, without sockets:
//! messages between boxes and to the upstream take time, boxes come, go, fall silent and wake.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::ids::Priority;
use hatchpitch::upstream_limits::messages::AgedObservation;
use hatchpitch::upstream_limits::verify::verify;
use hatchpitch::upstream_limits::{
    Acquired, Decider, LimitObservation, LimitTable, PermitAnswer, PermitKind, PermitRequest,
    RateLimit,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// The upstream.
pub const UPSTREAM: &str = "u";
/// Time from one box to another, from a box to the upstream, and of its work.
const HOP_MS: u64 = 1;
const WORK_MS: u64 = 30;
/// Time until news have reached all boxes in reach.
const NEWS_MS: u64 = 30;
/// Time after which an answer of the decider is waited for no more.
const PATIENCE_MS: u64 = 150;

/// What a message says when it arrives.
#[derive(Debug, Clone)]
enum Message {
    Ask { from: usize, req: PermitRequest },
    Reply { priority: Priority, answer: PermitAnswer },
    Unanswered,
    Head { limit: Option<f64>, sent: u64 },
    News(AgedObservation),
}

#[derive(Debug)]
struct Due {
    at: u64,
    number: u64,
    to: usize,
    message: Message,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct SimBox {
    book: LimitTable,
    /// Boxes that it takes to serve.
    view: BTreeSet<usize>,
    /// Boxes that it lost of late.
    lost: usize,
    /// Until when it stands still.
    frozen_until: u64,
    is_up: bool,
}

/// What a request was that reached the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    pub priority: Priority,
}

pub struct Fleet {
    boxes: Vec<SimBox>,
    due: BinaryHeap<Reverse<Due>>,
    count: u64,
    start: Instant,
    pub ms: u64,
    /// What the upstream names.
    pub limit: Option<f64>,
    pub arrivals: Vec<Arrival>,
    pub refused: Vec<(u64, Priority, Duration)>,
    /// Questions for permits.
    pub asked: usize,
    /// Pairs of boxes that do not reach each other.
    cut: BTreeSet<(usize, usize)>,
    rng: SmallRng,
}

fn addr(at: usize) -> SocketAddr {
    ([10, 0, (at >> 8) as u8, at as u8], 1).into()
}

impl Fleet {
    pub fn new(boxes: usize, seed: u64) -> Self {
        let all: BTreeSet<usize> = (0..boxes).collect();
        let new = |_| SimBox {
            book: LimitTable::default(),
            view: all.clone(),
            lost: 0,
            frozen_until: 0,
            is_up: true,
        };
        Self {
            boxes: (0..boxes).map(new).collect(),
            due: BinaryHeap::new(),
            count: 0,
            start: Instant::now(),
            ms: 0,
            limit: None,
            arrivals: Vec::new(),
            refused: Vec::new(),
            asked: 0,
            cut: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ms)
    }

    fn post(&mut self, after: u64, to: usize, message: Message) {
        self.count += 1;
        let due = Due { at: self.ms + after, number: self.count, to, message };
        self.due.push(Reverse(due));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.boxes[b].is_up && !self.cut.contains(&(a.min(b), a.max(b)))
    }

    /// Plays `time`, in which each box gets requests at its rate a second, of these priorities.
    pub fn play(&mut self, time: Duration, loads: &[(f64, Priority)]) {
        let end = self.ms + u64::try_from(time.as_millis()).unwrap();
        while self.ms < end {
            self.ms += 1;
            while self.due.peek().is_some_and(|Reverse(due)| due.at <= self.ms) {
                let Reverse(due) = self.due.pop().unwrap();
                self.deliver(due);
            }
            for (at, (per_second, priority)) in loads.iter().enumerate() {
                let at = at % self.boxes.len();
                if self.boxes[at].is_up && self.rng.random_bool(per_second / 1_000.0) {
                    self.request(at, *priority);
                }
            }
        }
        for member in &self.boxes {
            verify(&member.book).unwrap();
        }
    }

    fn request(&mut self, at: usize, priority: Priority) {
        let now = self.now();
        if self.boxes[at].frozen_until > self.ms {
            return;
        }
        match self.boxes[at].book.take(UPSTREAM, priority, now) {
            Acquired::Free | Acquired::Granted => self.send(at, priority),
            Acquired::Denied(wait) => self.refused.push((self.ms, priority, wait)),
            Acquired::Ask => self.ask(at, priority),
        }
    }

    fn ask(&mut self, at: usize, priority: Priority) {
        let now = self.now();
        let book = &mut self.boxes[at].book;
        book.asking(UPSTREAM, now);
        let Some(decider) = book.asks_at(UPSTREAM, now) else { return };
        let SocketAddr::V4(decider) = decider else { unreachable!("boxes have IPv4 addresses") };
        let to = usize::from(decider.ip().octets()[3]);
        let known = AgedObservation::new(book.heard(UPSTREAM).unwrap(), now);
        let upstream = UPSTREAM.to_owned();
        self.asked += 1;
        let asker = at as u64;
        let req = PermitRequest { upstream, asker, priority, kind: PermitKind::Request, known };
        if self.reaches(at, to) && self.boxes[to].frozen_until <= self.ms {
            self.post(HOP_MS, to, Message::Ask { from: at, req });
        } else {
            self.post(PATIENCE_MS, at, Message::Unanswered);
        }
    }

    fn send(&mut self, from: usize, priority: Priority) {
        self.arrivals.push(Arrival { at_ms: self.ms + HOP_MS, priority });
        let message = Message::Head { limit: self.limit, sent: self.ms };
        self.post(2 * HOP_MS + WORK_MS, from, message);
    }

    fn deliver(&mut self, due: Due) {
        let Due { to, message, .. } = due;
        let frozen_until = self.boxes[to].frozen_until;
        if frozen_until > self.ms {
            // It reads what came meanwhile when it wakes.
            return self.post(frozen_until - self.ms, to, message);
        }
        if !self.boxes[to].is_up {
            return;
        }
        let now = self.now();
        match message {
            Message::Ask { from, req } => {
                self.hear(to, req.known.at(now));
                let answer = self.boxes[to].book.answer(&req, now);
                let reply = Message::Reply { priority: req.priority, answer };
                if self.reaches(to, from) {
                    self.post(HOP_MS, from, reply);
                }
            }
            Message::Reply { priority, answer } => {
                let draw = self.rng.random::<f64>();
                match self.boxes[to].book.answered(UPSTREAM, priority, answer, draw, now) {
                    Ok(()) => self.send(to, priority),
                    Err(wait) => self.refused.push((self.ms, priority, wait)),
                }
            }
            Message::Unanswered => {
                let boxes = self.boxes[to].view.len();
                self.boxes[to].book.unanswered(UPSTREAM, boxes, now);
            }
            Message::Head { limit, sent } => {
                let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
                let sent = self.start + Duration::from_millis(sent);
                self.hear(to, LimitObservation { limit, sent, at: now });
            }
            Message::News(heard) => self.hear(to, heard.at(now)),
        }
    }

    fn hear(&mut self, at: usize, heard: LimitObservation) {
        let now = self.now();
        let Some(change) = self.boxes[at].book.hear(UPSTREAM, heard, now) else { return };
        self.place(at);
        if !change.is_news() {
            return;
        }
        let news = AgedObservation::new(self.boxes[at].book.heard(UPSTREAM).unwrap(), now);
        for other in 0..self.boxes.len() {
            if other != at && self.reaches(at, other) {
                self.post(NEWS_MS, other, Message::News(news));
            }
        }
    }

    /// The first box that serves decides.
    fn place(&mut self, at: usize) {
        let now = self.now();
        let member = &mut self.boxes[at];
        let first = *member.view.first().unwrap();
        let part = member.view.len() as f64 / (member.view.len() + member.lost) as f64;
        let decider = Decider { addr: addr(first), is_own: first == at, part };
        member.book.set_decider(UPSTREAM, decider, now);
    }

    /// Has a box take others for lost.
    pub fn lose(&mut self, at: usize, others: impl IntoIterator<Item = usize>) {
        for other in others {
            if self.boxes[at].view.remove(&other) {
                self.boxes[at].lost += 1;
            }
        }
        self.place(at);
    }

    /// Has all boxes see all others again.
    pub fn heal(&mut self) {
        self.cut.clear();
        let up: BTreeSet<usize> =
            (0..self.boxes.len()).filter(|at| self.boxes[*at].is_up).collect();
        for at in up.clone() {
            self.boxes[at].view.clone_from(&up);
            self.boxes[at].lost = 0;
            self.place(at);
        }
    }

    /// Cuts the boxes below `at` off from the others.
    pub fn cut_at(&mut self, at: usize) {
        let pairs = (0..at).flat_map(|a| (at..self.boxes.len()).map(move |b| (a, b)));
        self.cut = pairs.collect();
    }

    pub fn freeze(&mut self, at: usize, time: Duration) {
        self.boxes[at].frozen_until = self.ms + u64::try_from(time.as_millis()).unwrap();
    }

    pub fn kill(&mut self, at: usize) {
        self.boxes[at].is_up = false;
        self.boxes[at].book = LimitTable::default();
    }

    /// Starts a box that was killed; the others know of it at once, or see it as before.
    pub fn restart(&mut self, at: usize) {
        self.boxes[at].is_up = true;
    }

    /// Returns the most requests within `window` from `since` on, and the least within any.
    pub fn within(&self, window: Duration, since: u64) -> (usize, usize) {
        let window = u64::try_from(window.as_millis()).unwrap();
        let after = |from: u64| {
            let inside = |a: &&Arrival| (from..from + window).contains(&a.at_ms);
            self.arrivals.iter().filter(inside).count()
        };
        let starts = || (since..self.ms.saturating_sub(window).max(since + 1)).step_by(10);
        let most = starts().map(after).max().unwrap_or(0);
        (most, starts().map(after).min().unwrap_or(0))
    }
}
