//! The requests that wait for one pool, without I/O.
//!
//! Order: paid priority first; within a priority by start-time fair queueing,
//! so workspaces that pay the same get the same service in tokens whatever
//! their size. Requests that have waited for longer than they accept come after
//! all others: served in their order they would make those behind them late as
//! well. One grant in [`AdmissionConfig::oldest_every`] goes to the request that
//! waits longest, which bounds every wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::policy::Order;
use crate::ids::{Priority, WorkspaceName};

/// Names a waiting request; later requests have larger tickets.
pub type Ticket = u64;
/// Virtual service of a workspace, in tokens.
pub type ServiceTag = u64;

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionConfig {
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Longest time a request may wait.
    pub max_wait: Duration,
    /// One grant in so many goes to the oldest request.
    pub oldest_every: u64,
    /// In which order requests wait.
    pub order: Order,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_wait: Duration::from_secs(20),
            oldest_every: 16,
            order: Order::Fair,
        }
    }
}

/// A request that wants to run.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it pays for.
    pub priority: Priority,
    /// Expected tokens of prompt and output.
    pub cost: u64,
    /// When it came.
    pub since: Instant,
    /// Expected wait beyond which it is refused at once instead of waiting.
    pub acceptable_wait: Duration,
}

/// What became of a request that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits.
    Waiting(Ticket),
    /// It waits in the place of another one, which is refused.
    Displaced {
        /// The request that waits.
        ticket: Ticket,
        /// The request that is refused at once.
        refused: Ticket,
    },
    /// It is refused at once.
    Refused,
}

type OrderKey = (Reverse<Priority>, ServiceTag, Ticket);

#[derive(Debug, Clone)]
pub(super) struct Queued {
    pub(super) waiter: Waiter,
    pub(super) order: OrderKey,
    /// Grants that went past it because it found no room.
    pub(super) passed: u32,
}

/// The waiting requests of one pool.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    pub(super) cfg: AdmissionConfig,
    /// Requests that are in time.
    pub(super) order: BTreeSet<OrderKey>,
    /// Requests that have waited for longer than they accept.
    pub(super) late: BTreeSet<OrderKey>,
    pub(super) queued: BTreeMap<Ticket, Queued>,
    tags: HashMap<WorkspaceName, ServiceTag>,
    virtual_time: ServiceTag,
    next_ticket: Ticket,
    grants: u64,
    /// Smoothed time between grants, for estimates of the wait.
    grant_gap: Option<Duration>,
    last_grant: Option<Instant>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            order: BTreeSet::new(),
            late: BTreeSet::new(),
            queued: BTreeMap::new(),
            tags: HashMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            grants: 0,
            grant_gap: None,
            last_grant: None,
        }
    }

    /// Changes the bounds.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the tickets of the requests that wait, oldest first.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queued.keys().copied()
    }

    /// Puts a request into the queue, or refuses it or the one that would be served last.
    pub fn enqueue(&mut self, waiter: Waiter) -> Enqueued {
        let wait = self.expected_wait(&waiter.workspace, waiter.priority);
        if wait > self.cfg.max_wait.min(waiter.acceptable_wait) {
            return Enqueued::Refused;
        }
        if self.queued.len() < self.cfg.max_waiting {
            return Enqueued::Waiting(self.insert(waiter));
        }
        let last = self.late.last().max(self.order.last()).copied();
        match last {
            Some((Reverse(priority), _, refused))
                if priority < waiter.priority && self.cfg.order == Order::Fair =>
            {
                self.remove(refused);
                Enqueued::Displaced { ticket: self.insert(waiter), refused }
            }
            _ => Enqueued::Refused,
        }
    }

    /// Puts the requests behind all others that have waited for longer than they accept.
    pub fn demote_overdue(&mut self, now: Instant) {
        let is_late = |queued: &Queued| {
            now.duration_since(queued.waiter.since) >= queued.waiter.acceptable_wait
        };
        for queued in self.queued.values().filter(|queued| is_late(queued)) {
            if self.order.remove(&queued.order) {
                self.late.insert(queued.order);
            }
        }
    }

    /// Takes the request that is served next.
    pub fn grant(&mut self, now: Instant) -> Option<(Ticket, Waiter)> {
        let ticket = self.candidates().next()?;
        self.grant_to(ticket, now)
    }

    /// Takes a request that is served although others come before it.
    pub fn grant_to(&mut self, ticket: Ticket, now: Instant) -> Option<(Ticket, Waiter)> {
        self.grants += 1;
        self.note_gap(now);
        let queued = self.remove(ticket)?;
        self.virtual_time = self.virtual_time.max(queued.order.1);
        Some((ticket, queued.waiter))
    }

    /// Takes a request that gave up.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.remove(ticket).map(|queued| queued.waiter)
    }

    /// Takes the requests that have waited too long.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let max_wait = self.cfg.max_wait;
        let waited = |q: &Queued| now.duration_since(q.waiter.since);
        let late = self.queued.iter().take_while(|(_, q)| waited(q) >= max_wait);
        let late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        late
    }

    /// Charges a request that runs without having waited, and returns to its workspace what a
    /// finished request cost less than expected.
    pub fn charge(&mut self, workspace: &str, cost: u64) {
        let start = self.start_tag(workspace);
        self.tags.insert(workspace.to_owned(), start.saturating_add(cost));
    }

    /// Corrects the service of a workspace once the real cost is known.
    pub fn correct(&mut self, workspace: &str, expected: u64, real: u64) {
        if let Some(tag) = self.tags.get_mut(workspace) {
            *tag = tag.saturating_add(real).saturating_sub(expected);
        }
        let virtual_time = self.virtual_time;
        if self.tags.len() > MAX_TAGS {
            self.tags.retain(|_, tag| *tag > virtual_time);
        }
    }

    /// Returns how long a request would wait: those before it in the order count, so that a
    /// workspace behind its share of the service is not turned away for the line of another one.
    pub fn expected_wait(&self, workspace: &str, priority: Priority) -> Duration {
        let Some(gap) = self.grant_gap else { return Duration::ZERO };
        let place = self.order_key(workspace, priority, Ticket::MAX);
        let ahead = self.order.range(..place).take(COUNTED_UP_TO).count();
        gap.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Returns when a refused caller may come back.
    pub fn retry_after(&self, workspace: &str, priority: Priority) -> Duration {
        self.expected_wait(workspace, priority).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Iterates over the requests that may be served next, in the order in which they are tried;
    /// the one that waits longest may come twice. Within a priority, those come that the first one
    /// leaves room for in fair service: one that goes past it because it found no room takes what
    /// was its workspace's to take.
    pub fn candidates(&self) -> impl Iterator<Item = Ticket> {
        let oldest_first = (self.grants + 1).is_multiple_of(self.cfg.oldest_every);
        let oldest = self.queued.keys().take(usize::from(oldest_first)).copied();
        oldest.chain(self.in_turn(&self.order)).chain(self.in_turn(&self.late))
    }

    fn in_turn<'a>(&'a self, order: &'a BTreeSet<OrderKey>) -> impl Iterator<Item = Ticket> + 'a {
        let mut bound: Option<(Reverse<Priority>, ServiceTag)> = None;
        order.iter().filter_map(move |(priority, tag, ticket)| {
            if bound.is_none_or(|(first, _)| first != *priority) {
                let cost = self.queued.get(ticket).map_or(0, |queued| queued.waiter.cost);
                bound = Some((*priority, tag.saturating_add(cost)));
            }
            bound.is_some_and(|(_, last)| *tag <= last).then_some(*ticket)
        })
    }

    /// Notes that another request goes past these, which found no room.
    pub fn record_bypass(&mut self, tickets: &[Ticket]) {
        for ticket in tickets {
            if let Some(queued) = self.queued.get_mut(ticket) {
                queued.passed += 1;
            }
        }
    }

    /// Returns how long a request has waited.
    pub fn waited(&self, ticket: Ticket, now: Instant) -> Option<Duration> {
        self.queued.get(&ticket).map(|queued| now.duration_since(queued.waiter.since))
    }

    /// Returns how many requests went past one because it found no room.
    pub fn bypass_count(&self, ticket: Ticket) -> u32 {
        self.queued.get(&ticket).map_or(0, |queued| queued.passed)
    }

    fn insert(&mut self, waiter: Waiter) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let order = self.order_key(&waiter.workspace, waiter.priority, ticket);
        self.charge(&waiter.workspace, waiter.cost);
        self.order.insert(order);
        self.queued.insert(ticket, Queued { waiter, order, passed: 0 });
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        let queued = self.queued.remove(&ticket)?;
        if !self.order.remove(&queued.order) {
            self.late.remove(&queued.order);
        }
        Some(queued)
    }

    fn order_key(&self, workspace: &str, priority: Priority, ticket: Ticket) -> OrderKey {
        match self.cfg.order {
            Order::Fair => (Reverse(priority), self.start_tag(workspace), ticket),
            Order::Arrival => (Reverse(Priority::MIN), 0, ticket),
        }
    }

    fn start_tag(&self, workspace: &str) -> ServiceTag {
        self.tags.get(workspace).copied().unwrap_or(0).max(self.virtual_time)
    }

    fn note_gap(&mut self, now: Instant) {
        if let Some(last) = self.last_grant {
            let gap = now.duration_since(last).min(MAX_GAP);
            let smoothed = self.grant_gap.map_or(gap, |old| (old * 7 + gap) / 8);
            self.grant_gap = Some(smoothed);
        }
        self.last_grant = Some(now);
    }
}

/// Workspaces whose service is remembered beyond the present virtual time.
const MAX_TAGS: usize = 16_384;
/// Requests ahead that are counted: more of them never make a wait that is accepted.
const COUNTED_UP_TO: usize = 512;
/// Longest gap between grants taken into the estimate: idle time is not waiting time.
const MAX_GAP: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
