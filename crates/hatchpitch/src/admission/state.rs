//! Queue of the requests that wait for one pool, without I/O.
//!
//! Requests are served by paid priority and, within a priority, by start-time fair queueing, so
//! that workspaces of the same priority receive the same service in tokens whatever their demand.
//! Requests that have waited for longer than is useful are overdue and come after all others, since
//! serving them in order would make the requests behind them overdue as well. One in
//! [`AdmissionConfig::oldest_every`] grants goes to the oldest request, which bounds every wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::policy::Order;
use super::recheck::{Place, Sweep};
use crate::ids::{Priority, WorkspaceName};

/// Identifies a waiting request. Tickets increase in order of arrival.
pub type Ticket = u64;
/// Virtual time of the fair queue, in tokens of service.
pub type ServiceTag = u64;

/// Configuration of an [`AdmissionQueue`].
#[derive(Debug, Clone, Copy)]
pub struct AdmissionConfig {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum time that a request may wait.
    pub max_wait: Duration,
    /// One in this many grants goes to the oldest request.
    pub oldest_every: u64,
    /// Order in which waiting requests are served.
    pub order: Order,
    /// Whether waiting requests that can no longer start in time are refused.
    pub rechecks: bool,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_wait: Duration::from_secs(20),
            oldest_every: 16,
            order: Order::Fair,
            rechecks: false,
        }
    }
}

/// A request as the queue sees it.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Workspace that sent it.
    pub workspace: WorkspaceName,
    /// Priority that the workspace pays for.
    pub priority: Priority,
    /// Expected length of prompt and output, in tokens.
    pub cost: u64,
    /// Time of arrival.
    pub since: Instant,
    /// Expected wait above which it is refused on arrival. Once it has waited for this long, it is
    /// overdue, unless [`AdmissionQueue::enqueue_with`] sets another time.
    pub acceptable_wait: Duration,
}

/// Result of [`AdmissionQueue::enqueue`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Enqueued {
    /// The request waits.
    Waiting(Ticket),
    /// The request waits in place of another one, which is refused.
    Displaced {
        /// Ticket of the new request.
        ticket: Ticket,
        /// Ticket of the request that is refused.
        refused: Ticket,
    },
    /// The request is refused.
    Refused,
}

/// Sort key of a waiting request; the smallest one is served first.
pub(super) type OrderKey = (Reverse<Priority>, ServiceTag, Ticket);

#[derive(Debug, Clone)]
pub(super) struct Queued {
    pub(super) waiter: Waiter,
    pub(super) key: OrderKey,
    /// Wait from which on it is overdue.
    overdue_after: Duration,
    /// Whether it is in the set of overdue requests.
    is_overdue: bool,
    /// Wait after which it is refused.
    pub(super) limit: Duration,
    /// Time since which it is not expected to start within its limit.
    pub(super) doubtful: Option<Instant>,
    /// Number of grants to requests behind it, made because no runner had room for it.
    pub(super) bypassed: u32,
}

impl Queued {
    /// Returns its position in service order.
    pub(super) fn place(&self) -> Place {
        (self.is_overdue, self.key)
    }
}

/// The waiting requests of one pool.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    pub(super) cfg: AdmissionConfig,
    /// Requests that are not overdue.
    pub(super) on_time: BTreeSet<OrderKey>,
    /// Requests that are overdue.
    pub(super) overdue: BTreeSet<OrderKey>,
    pub(super) queued: BTreeMap<Ticket, Queued>,
    /// Progress of the check for requests that can no longer start in time.
    pub(super) sweep: Sweep,
    /// Virtual finish time of the last request of each workspace.
    finish_tags: HashMap<WorkspaceName, ServiceTag>,
    virtual_time: ServiceTag,
    next_ticket: Ticket,
    grants: u64,
    /// Time between grants that the runners sustain, if it is known.
    pub(super) service_interval: Option<Duration>,
    /// Smoothed time between past grants. Estimates use it only while `service_interval` is not
    /// known, because it does not change while nothing is granted.
    grant_interval: Option<Duration>,
    last_grant: Option<Instant>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            on_time: BTreeSet::new(),
            overdue: BTreeSet::new(),
            queued: BTreeMap::new(),
            sweep: Sweep::default(),
            finish_tags: HashMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            grants: 0,
            service_interval: None,
            grant_interval: None,
            last_grant: None,
        }
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, cfg: AdmissionConfig) {
        self.cfg = cfg;
    }

    /// Returns whether waiting requests that can no longer start in time are refused.
    pub fn rechecks(&self) -> bool {
        self.cfg.rechecks
    }

    /// Sets the time between grants that the runners sustain, or `None` if it is not known.
    pub fn set_service_interval(&mut self, interval: Option<Duration>) {
        self.service_interval = interval;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Iterates over the tickets of the waiting requests, oldest first.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queued.keys().copied()
    }

    /// Adds a request to the queue, or refuses it if its expected wait is too long. If the queue is
    /// full, the request displaces the one that would be served last, provided that the order is
    /// fair and that one has a lower priority; otherwise it is refused.
    pub fn enqueue(&mut self, waiter: Waiter) -> Enqueued {
        let overdue_after = waiter.acceptable_wait;
        self.enqueue_with(waiter, overdue_after, Duration::MAX)
    }

    /// Does the same as [`enqueue`](Self::enqueue) for a request that is overdue once it has waited
    /// for `overdue_after`, and whose caller stops waiting after `limit`.
    pub fn enqueue_with(
        &mut self,
        waiter: Waiter,
        overdue_after: Duration,
        limit: Duration,
    ) -> Enqueued {
        let wait = self.expected_wait(&waiter.workspace, waiter.priority);
        if wait > self.cfg.max_wait.min(waiter.acceptable_wait) {
            return Enqueued::Refused;
        }
        if self.queued.len() < self.cfg.max_waiting {
            return Enqueued::Waiting(self.insert(waiter, overdue_after, limit));
        }
        let last = self.overdue.last().max(self.on_time.last()).copied();
        match last {
            Some((Reverse(priority), _, refused))
                if priority < waiter.priority && self.cfg.order == Order::Fair =>
            {
                self.remove(refused);
                Enqueued::Displaced { ticket: self.insert(waiter, overdue_after, limit), refused }
            }
            _ => Enqueued::Refused,
        }
    }

    /// Moves requests that are overdue behind all others.
    pub fn demote_overdue(&mut self, now: Instant) {
        let is_overdue =
            |queued: &&mut Queued| now.duration_since(queued.waiter.since) >= queued.overdue_after;
        let on_time = self.queued.values_mut().filter(|queued| !queued.is_overdue);
        for queued in on_time.filter(is_overdue) {
            self.on_time.remove(&queued.key);
            self.overdue.insert(queued.key);
            self.sweep.remove(queued);
            queued.is_overdue = true;
            self.sweep.add(queued);
        }
    }

    /// Removes and returns the request that is served next.
    pub fn grant(&mut self, now: Instant) -> Option<(Ticket, Waiter)> {
        let ticket = self.candidates().next()?;
        self.grant_to(ticket, now)
    }

    /// Removes and returns a request that is granted, possibly ahead of others in the queue.
    pub fn grant_to(&mut self, ticket: Ticket, now: Instant) -> Option<(Ticket, Waiter)> {
        self.grants += 1;
        self.record_grant_interval(now);
        let queued = self.remove(ticket)?;
        self.virtual_time = self.virtual_time.max(queued.key.1);
        Some((ticket, queued.waiter))
    }

    /// Removes a request that was cancelled.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.remove(ticket).map(|queued| queued.waiter)
    }

    /// Removes the requests that have waited for `max_wait`, and returns their tickets.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let max_wait = self.cfg.max_wait;
        let waited = |q: &Queued| now.duration_since(q.waiter.since);
        let expired = self.queued.iter().take_while(|(_, q)| waited(q) >= max_wait);
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// Charges a workspace for a request of the given expected cost, in tokens.
    pub fn charge(&mut self, workspace: &str, cost: u64) {
        let start = self.start_tag(workspace);
        self.finish_tags.insert(workspace.to_owned(), start.saturating_add(cost));
    }

    /// Replaces the expected cost of a request by the actual one in the account of its workspace.
    pub fn correct(&mut self, workspace: &str, expected: u64, actual: u64) {
        if let Some(tag) = self.finish_tags.get_mut(workspace) {
            *tag = tag.saturating_add(actual).saturating_sub(expected);
        }
        let virtual_time = self.virtual_time;
        if self.finish_tags.len() > MAX_FINISH_TAGS {
            self.finish_tags.retain(|_, tag| *tag > virtual_time);
        }
    }

    /// Returns the expected wait of a request. Only the requests that would be served before it
    /// count, so that a workspace below its fair share is not refused because of another
    /// workspace's backlog.
    pub fn expected_wait(&self, workspace: &str, priority: Priority) -> Duration {
        let interval = self.service_interval.or(self.grant_interval);
        let Some(interval) = interval else { return Duration::ZERO };
        let key = self.order_key(workspace, priority, Ticket::MAX);
        let ahead = self.on_time.range(..key).take(MAX_COUNTED).count();
        interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Returns the waiting requests in service order, each with its expected wait. Empty while the
    /// time between grants that the runners sustain is not known.
    pub fn expected_starts(&self) -> Vec<(Ticket, Duration)> {
        let Some(interval) = self.service_interval else { return Vec::new() };
        let in_order = self.on_time.iter().chain(&self.overdue).zip(0_u32..);
        in_order.map(|((_, _, ticket), ahead)| (*ticket, interval * ahead)).collect()
    }

    /// Returns the time after which a refused caller should retry.
    pub fn retry_after(&self, workspace: &str, priority: Priority) -> Duration {
        self.expected_wait(workspace, priority).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Iterates over the requests that may be served next, in the order in which to try them. The
    /// oldest request may come twice. Within a priority, only requests with a start tag up to the
    /// finish tag of the first one are eligible: a request that bypasses the first one uses service
    /// that was due to the workspace of the first one.
    pub fn candidates(&self) -> impl Iterator<Item = Ticket> {
        let oldest_first = (self.grants + 1).is_multiple_of(self.cfg.oldest_every);
        let oldest = self.queued.keys().take(usize::from(oldest_first)).copied();
        oldest.chain(self.eligible(&self.on_time)).chain(self.eligible(&self.overdue))
    }

    /// Iterates over the requests of `order` that fair queueing allows to be served next.
    fn eligible<'a>(&'a self, order: &'a BTreeSet<OrderKey>) -> impl Iterator<Item = Ticket> + 'a {
        let mut bound: Option<(Reverse<Priority>, ServiceTag)> = None;
        order.iter().filter_map(move |(priority, tag, ticket)| {
            if bound.is_none_or(|(first, _)| first != *priority) {
                let cost = self.queued.get(ticket).map_or(0, |queued| queued.waiter.cost);
                bound = Some((*priority, tag.saturating_add(cost)));
            }
            bound.is_some_and(|(_, last)| *tag <= last).then_some(*ticket)
        })
    }

    /// Records that a later request was granted ahead of these, for which no runner had room.
    pub fn record_bypass(&mut self, tickets: &[Ticket]) {
        for ticket in tickets {
            if let Some(queued) = self.queued.get_mut(ticket) {
                queued.bypassed += 1;
            }
        }
    }

    /// Returns how long a request has waited, or `None` if it does not wait.
    pub fn waited(&self, ticket: Ticket, now: Instant) -> Option<Duration> {
        self.queued.get(&ticket).map(|queued| now.duration_since(queued.waiter.since))
    }

    /// Returns the number of later requests granted ahead of this one because no runner had room
    /// for it.
    pub fn bypass_count(&self, ticket: Ticket) -> u32 {
        self.queued.get(&ticket).map_or(0, |queued| queued.bypassed)
    }

    fn insert(&mut self, waiter: Waiter, overdue_after: Duration, limit: Duration) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let key = self.order_key(&waiter.workspace, waiter.priority, ticket);
        self.charge(&waiter.workspace, waiter.cost);
        self.on_time.insert(key);
        let queued = Queued {
            waiter,
            key,
            overdue_after,
            is_overdue: false,
            limit,
            doubtful: None,
            bypassed: 0,
        };
        self.sweep.add(&queued);
        self.queued.insert(ticket, queued);
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Queued> {
        let queued = self.queued.remove(&ticket)?;
        let order = if queued.is_overdue { &mut self.overdue } else { &mut self.on_time };
        order.remove(&queued.key);
        self.sweep.remove(&queued);
        Some(queued)
    }

    fn order_key(&self, workspace: &str, priority: Priority, ticket: Ticket) -> OrderKey {
        match self.cfg.order {
            Order::Fair => (Reverse(priority), self.start_tag(workspace), ticket),
            Order::Arrival => (Reverse(Priority::MIN), 0, ticket),
        }
    }

    /// Returns the virtual time at which the next request of a workspace starts.
    fn start_tag(&self, workspace: &str) -> ServiceTag {
        self.finish_tags.get(workspace).copied().unwrap_or(0).max(self.virtual_time)
    }

    fn record_grant_interval(&mut self, now: Instant) {
        if let Some(last) = self.last_grant {
            let interval = now.duration_since(last).min(MAX_GRANT_INTERVAL);
            let smoothed = self.grant_interval.map_or(interval, |old| (old * 7 + interval) / 8);
            self.grant_interval = Some(smoothed);
        }
        self.last_grant = Some(now);
    }
}

/// Number of finish tags above which those that the virtual time has passed are discarded.
const MAX_FINISH_TAGS: usize = 16_384;
/// Limit on the requests ahead that a wait estimate counts. With more than these, the wait is never
/// acceptable.
const MAX_COUNTED: usize = 512;
/// Upper bound on a sampled time between grants, since idle time is not waiting time.
const MAX_GRANT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time after which a refused caller should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
