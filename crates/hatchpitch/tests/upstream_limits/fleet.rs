//! Simulates boxes that send requests to one upstream under their tables of limits, without
//! sockets. Messages take time, and boxes can start, die, freeze and lose contact with each other.

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
/// Latency between boxes and between a box and the upstream, in ms.
const HOP_MS: u64 = 1;
/// Time that the upstream takes for a request, in ms.
const WORK_MS: u64 = 30;
/// Time until a notice has reached all reachable boxes, in ms.
const NOTICE_MS: u64 = 30;
/// Timeout of a permit request, in ms.
const PERMIT_TIMEOUT_MS: u64 = 150;

/// Payload of a simulated message or timer.
#[derive(Debug, Clone)]
enum Message {
    Ask { from: usize, req: PermitRequest },
    Reply { priority: Priority, answer: PermitAnswer },
    PermitTimeout,
    Head { limit: Option<f64>, sent: u64 },
    Notice(AgedObservation),
}

#[derive(Debug)]
struct Event {
    at_ms: u64,
    sequence: u64,
    to: usize,
    message: Message,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

struct SimBox {
    table: LimitTable,
    /// Boxes that it considers to be serving.
    view: BTreeSet<usize>,
    /// Number of boxes that it lost.
    lost: usize,
    /// Simulated time until which it is suspended, in ms.
    frozen_until: u64,
    is_up: bool,
}

/// A request that reached the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    pub priority: Priority,
}

pub struct Fleet {
    boxes: Vec<SimBox>,
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    start: Instant,
    pub ms: u64,
    /// Limit that the upstream sets.
    pub limit: Option<f64>,
    pub arrivals: Vec<Arrival>,
    pub refused: Vec<(u64, Priority, Duration)>,
    /// Number of permit requests.
    pub permit_requests: usize,
    /// Pairs of boxes that cannot reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    rng: SmallRng,
}

fn addr(at: usize) -> SocketAddr {
    ([10, 0, (at >> 8) as u8, at as u8], 1).into()
}

impl Fleet {
    pub fn new(boxes: usize, seed: u64) -> Self {
        let all: BTreeSet<usize> = (0..boxes).collect();
        let new = |_| SimBox {
            table: LimitTable::default(),
            view: all.clone(),
            lost: 0,
            frozen_until: 0,
            is_up: true,
        };
        Self {
            boxes: (0..boxes).map(new).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            start: Instant::now(),
            ms: 0,
            limit: None,
            arrivals: Vec::new(),
            refused: Vec::new(),
            permit_requests: 0,
            partitioned: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ms)
    }

    fn post(&mut self, after: u64, to: usize, message: Message) {
        self.sequence += 1;
        let event = Event { at_ms: self.ms + after, sequence: self.sequence, to, message };
        self.events.push(Reverse(event));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.boxes[b].is_up && !self.partitioned.contains(&(a.min(b), a.max(b)))
    }

    /// Runs the simulation for `time`. Each load gives the requests a second and their priority for
    /// one box.
    pub fn run(&mut self, time: Duration, loads: &[(f64, Priority)]) {
        let end = self.ms + u64::try_from(time.as_millis()).unwrap();
        while self.ms < end {
            self.ms += 1;
            while self.events.peek().is_some_and(|Reverse(event)| event.at_ms <= self.ms) {
                let Reverse(event) = self.events.pop().unwrap();
                self.deliver(event);
            }
            for (at, (per_second, priority)) in loads.iter().enumerate() {
                let at = at % self.boxes.len();
                if self.boxes[at].is_up && self.rng.random_bool(per_second / 1_000.0) {
                    self.request(at, *priority);
                }
            }
        }
        for sim_box in &self.boxes {
            verify(&sim_box.table).unwrap();
        }
    }

    fn request(&mut self, at: usize, priority: Priority) {
        let now = self.now();
        if self.boxes[at].frozen_until > self.ms {
            return;
        }
        match self.boxes[at].table.take(UPSTREAM, priority, now) {
            Acquired::Unlimited | Acquired::Granted => self.send(at, priority),
            Acquired::Denied(wait) => self.refused.push((self.ms, priority, wait)),
            Acquired::AskDecider => self.ask(at, priority),
        }
    }

    fn ask(&mut self, at: usize, priority: Priority) {
        let now = self.now();
        let table = &mut self.boxes[at].table;
        table.record_asking(UPSTREAM, now);
        let Some(decider) = table.decider_to_ask(UPSTREAM, now) else { return };
        let SocketAddr::V4(decider) = decider else { unreachable!("boxes have IPv4 addresses") };
        let to = usize::from(decider.ip().octets()[3]);
        let known = AgedObservation::new(table.observed(UPSTREAM).unwrap(), now);
        let upstream = UPSTREAM.to_owned();
        self.permit_requests += 1;
        let asker = at as u64;
        let req = PermitRequest { upstream, asker, priority, kind: PermitKind::Request, known };
        if self.reaches(at, to) && self.boxes[to].frozen_until <= self.ms {
            self.post(HOP_MS, to, Message::Ask { from: at, req });
        } else {
            self.post(PERMIT_TIMEOUT_MS, at, Message::PermitTimeout);
        }
    }

    fn send(&mut self, from: usize, priority: Priority) {
        self.arrivals.push(Arrival { at_ms: self.ms + HOP_MS, priority });
        let message = Message::Head { limit: self.limit, sent: self.ms };
        self.post(2 * HOP_MS + WORK_MS, from, message);
    }

    fn deliver(&mut self, event: Event) {
        let Event { to, message, .. } = event;
        let frozen_until = self.boxes[to].frozen_until;
        if frozen_until > self.ms {
            // A suspended box processes messages when it resumes.
            return self.post(frozen_until - self.ms, to, message);
        }
        if !self.boxes[to].is_up {
            return;
        }
        let now = self.now();
        match message {
            Message::Ask { from, req } => {
                self.observe(to, req.known.to_local(now));
                let answer = self.boxes[to].table.answer(&req, now);
                let reply = Message::Reply { priority: req.priority, answer };
                if self.reaches(to, from) {
                    self.post(HOP_MS, from, reply);
                }
            }
            Message::Reply { priority, answer } => {
                let draw = self.rng.random::<f64>();
                match self.boxes[to].table.apply_answer(UPSTREAM, priority, answer, draw, now) {
                    Ok(()) => self.send(to, priority),
                    Err(wait) => self.refused.push((self.ms, priority, wait)),
                }
            }
            Message::PermitTimeout => {
                let boxes = self.boxes[to].view.len();
                self.boxes[to].table.record_no_answer(UPSTREAM, boxes, now);
            }
            Message::Head { limit, sent } => {
                let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
                let sent = self.start + Duration::from_millis(sent);
                self.observe(to, LimitObservation { limit, sent, received: now });
            }
            Message::Notice(observed) => self.observe(to, observed.to_local(now)),
        }
    }

    fn observe(&mut self, at: usize, observed: LimitObservation) {
        let now = self.now();
        let Some(change) = self.boxes[at].table.observe(UPSTREAM, observed, now) else { return };
        self.update_decider(at);
        if !change.needs_broadcast() {
            return;
        }
        let notice = AgedObservation::new(self.boxes[at].table.observed(UPSTREAM).unwrap(), now);
        for other in 0..self.boxes.len() {
            if other != at && self.reaches(at, other) {
                self.post(NOTICE_MS, other, Message::Notice(notice));
            }
        }
    }

    /// Makes the first serving box of the view of `at` its decider.
    fn update_decider(&mut self, at: usize) {
        let now = self.now();
        let sim_box = &mut self.boxes[at];
        let first = *sim_box.view.first().unwrap();
        let share = sim_box.view.len() as f64 / (sim_box.view.len() + sim_box.lost) as f64;
        let decider = Decider { addr: addr(first), is_own: first == at, share };
        sim_box.table.set_decider(UPSTREAM, decider, now);
    }

    /// Makes a box consider others as lost.
    pub fn lose(&mut self, at: usize, others: impl IntoIterator<Item = usize>) {
        for other in others {
            if self.boxes[at].view.remove(&other) {
                self.boxes[at].lost += 1;
            }
        }
        self.update_decider(at);
    }

    /// Restores the contact between all running boxes.
    pub fn heal(&mut self) {
        self.partitioned.clear();
        let up: BTreeSet<usize> =
            (0..self.boxes.len()).filter(|at| self.boxes[*at].is_up).collect();
        for at in up.clone() {
            self.boxes[at].view.clone_from(&up);
            self.boxes[at].lost = 0;
            self.update_decider(at);
        }
    }

    /// Partitions the boxes below `at` from the others.
    pub fn partition_at(&mut self, at: usize) {
        let pairs = (0..at).flat_map(|a| (at..self.boxes.len()).map(move |b| (a, b)));
        self.partitioned = pairs.collect();
    }

    pub fn freeze(&mut self, at: usize, time: Duration) {
        self.boxes[at].frozen_until = self.ms + u64::try_from(time.as_millis()).unwrap();
    }

    pub fn kill(&mut self, at: usize) {
        self.boxes[at].is_up = false;
        self.boxes[at].table = LimitTable::default();
    }

    /// Starts a box that was killed. The views of the others do not change.
    pub fn restart(&mut self, at: usize) {
        self.boxes[at].is_up = true;
    }

    /// Returns the highest and the lowest number of requests in any window from `since` on.
    pub fn window_extremes(&self, window: Duration, since: u64) -> (usize, usize) {
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
