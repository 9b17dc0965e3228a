//! Lets requests onto the runners of one pool: the queue and the runner table, with channels.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};

use super::lengths::LengthModel;
use super::memory::Candidate;
use super::state::{AdmissionConfig, AdmissionQueue, Enqueued, Ticket, Waiter};
use crate::ids::{AttemptId, FailureDomainName, Priority, RequestKind, RunnerName, WorkspaceName};
use crate::routing::state::{Asked, RunnerSpec};
use crate::routing::{RoutingConfig, RunnerTable, Verdict};

/// What a request asks of a [`Gate`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Names the run.
    pub id: AttemptId,
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it pays for.
    pub priority: Priority,
    /// Requests of one kind have outputs of like length.
    pub kind: RequestKind,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Bound on the output, in tokens.
    pub max_tokens: u64,
    /// Runners that failed this request before.
    pub avoid: Vec<RunnerName>,
    /// Failure domain whose runners are preferred while they are not much busier.
    #[serde(default)]
    pub near: Option<FailureDomainName>,
    /// Tokens that are copied from another runner first; 0 for a run that begins.
    #[serde(default)]
    pub copied: u64,
    /// Longest wait, if it is shorter than the pool's.
    #[serde(default)]
    pub max_wait: Option<Duration>,
    /// Expected wait beyond which the request is refused at once, if it is shorter than the
    /// pool's.
    #[serde(default)]
    pub accepts: Option<Duration>,
}

/// A request that was given up on before it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub cause: String,
    /// When to come back.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(cause: &str, retry_after: Duration) -> Self {
        Self { cause: cause.to_owned(), retry_after }
    }
}

impl Want {
    fn asked(&self) -> Asked<'_> {
        let near = self.near.as_deref();
        Asked { id: &self.id, avoid: &self.avoid, near, copied: self.copied }
    }

    fn candidate(&self) -> Candidate {
        Candidate { kind: self.kind.clone(), prompt: self.prompt, max_output: self.max_tokens }
    }
}

/// A request that waits, with the end of its channel.
struct Waiting {
    want: Want,
    tx: oneshot::Sender<Result<RunnerSpec, Refusal>>,
}

struct Inner {
    table: RunnerTable,
    queue: AdmissionQueue,
    lengths: LengthModel,
    waiting: HashMap<Ticket, Waiting>,
}

/// The entrance to one pool at one box.
#[derive(Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

impl Gate {
    /// Creates a gate without runners.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig) -> Self {
        let table = RunnerTable::new(routing);
        let queue = AdmissionQueue::new(admission);
        Self(Rc::new(RefCell::new(Inner {
            table,
            queue,
            lengths: LengthModel::default(),
            waiting: HashMap::new(),
        })))
    }

    /// Takes a slot on a runner if one is free and nobody waits.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner takes work; `Ok(None)` means that the request would wait.
    pub fn try_admit(&self, want: &Want) -> Result<Option<Permit>, Refusal> {
        let now = Instant::now();
        let mut inner = self.0.borrow_mut();
        if !inner.table.any_serving() {
            return Err(inner.no_runner(now));
        }
        if !inner.queue.is_empty() {
            return Ok(None);
        }
        let Some(spec) = inner.pick(want, now) else { return Ok(None) };
        let cost = inner.cost(want);
        inner.queue.charge(&want.workspace, cost);
        Ok(Some(Permit::new(self, spec, want.clone(), cost)))
    }

    /// Returns the load of the runner that a request would get at once, if it would get any.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner takes work.
    pub fn quote(&self, want: &Want) -> Result<Option<f64>, Refusal> {
        let now = Instant::now();
        let inner = self.0.borrow();
        if !inner.table.any_serving() {
            return Err(inner.no_runner(now));
        }
        if !inner.queue.is_empty() {
            return Ok(None);
        }
        Ok(inner.table.quote(&want.asked(), &want.candidate(), &inner.lengths, now))
    }

    /// Waits for a slot on a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as the request is given up on.
    pub async fn admit(&self, want: Want) -> Result<Permit, Refusal> {
        if let Some(permit) = self.try_admit(&want)? {
            return Ok(permit);
        }
        let cost = self.0.borrow().cost(&want);
        let (ticket, rx) = self.0.borrow_mut().enqueue(&want, cost, Instant::now())?;
        let id = want.id.clone();
        let mut guard = WaitGuard { gate: Rc::downgrade(&self.0), ticket, id, rx };
        let limit = want.max_wait.unwrap_or(Duration::MAX);
        let granted = match compio::time::timeout(limit.min(LONGEST_WAIT), &mut guard.rx).await {
            Ok(granted) => granted,
            Err(_) => {
                let retry_after = self.0.borrow().queue.retry_after(want.priority);
                return Err(Refusal::new("waited as long as the request allows", retry_after));
            }
        };
        match granted {
            Ok(Ok(spec)) => Ok(Permit::new(self, spec, want, cost)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new("the box is stopping", Duration::ZERO)),
        }
    }

    /// Returns how long a request of `priority` would wait.
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        self.0.borrow().queue.expected_wait(priority)
    }

    /// Changes the runner table, then lets in whoever can run now.
    pub fn update<T>(&self, change: impl FnOnce(&mut RunnerTable) -> T) -> T {
        let mut inner = self.0.borrow_mut();
        let changed = change(&mut inner.table);
        inner.pump(Instant::now());
        changed
    }

    /// Changes the bounds of the queue.
    pub fn configure(&self, cfg: AdmissionConfig) {
        self.0.borrow_mut().queue.configure(cfg);
    }

    /// Refuses who waited too long and lets in who can run; call it a few times a second.
    pub fn tick(&self, now: Instant) {
        let mut inner = self.0.borrow_mut();
        for ticket in inner.queue.expire(now) {
            inner.refuse(ticket, "waited as long as the pool allows");
        }
        if !inner.table.any_serving() {
            let refusal = inner.no_runner(now);
            inner.refuse_all(&refusal);
        }
        inner.pump(now);
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.0.borrow().queue.len()
    }
}

impl Inner {
    fn pick(&mut self, want: &Want, now: Instant) -> Option<RunnerSpec> {
        self.table.pick(&want.asked(), &want.candidate(), &self.lengths, now)
    }

    fn cost(&self, want: &Want) -> u64 {
        want.prompt + self.lengths.mean(EXPECTED_OUTPUT).min(want.max_tokens)
    }

    fn enqueue(
        &mut self,
        want: &Want,
        cost: u64,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<RunnerSpec, Refusal>>), Refusal> {
        let waiter = Waiter {
            workspace: want.workspace.clone(),
            priority: want.priority,
            cost,
            since: now,
            accepts: want.accepts.unwrap_or(Duration::MAX),
        };
        let ticket = match self.queue.enqueue(waiter) {
            Enqueued::Waiting(ticket) => ticket,
            Enqueued::Displaced { ticket, refused } => {
                self.refuse(refused, "displaced by a higher priority");
                ticket
            }
            Enqueued::Refused => {
                let retry_after = self.queue.retry_after(want.priority);
                return Err(Refusal::new("more wait than can be served in time", retry_after));
            }
        };
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(ticket, Waiting { want: want.clone(), tx });
        Ok((ticket, rx))
    }

    /// Lets in whoever is next for as long as there is room.
    fn pump(&mut self, now: Instant) {
        while let Some(ticket) = self.queue.next_ticket_served() {
            let Some(waiting) = self.waiting.get(&ticket) else {
                self.queue.cancel(ticket);
                continue;
            };
            let want = waiting.want.clone();
            let Some(spec) = self.pick(&want, now) else { return };
            self.queue.grant(now);
            let name = spec.name.clone();
            let waiting = self.waiting.remove(&ticket);
            let taken = waiting.is_some_and(|waiting| waiting.tx.send(Ok(spec)).is_ok());
            if !taken {
                self.table.give_back(&name, &want.id, Verdict::Released, None, now);
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, cause: &str) {
        let retry_after = self.queue.retry_after(Priority::MIN);
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.tx.send(Err(Refusal::new(cause, retry_after)));
        }
    }

    fn refuse_all(&mut self, refusal: &Refusal) {
        for (ticket, waiting) in std::mem::take(&mut self.waiting) {
            self.queue.cancel(ticket);
            let _ = waiting.tx.send(Err(refusal.clone()));
        }
    }

    fn no_runner(&self, now: Instant) -> Refusal {
        let until = self.table.next_return().map(|at| at.saturating_duration_since(now));
        let retry_after = until.unwrap_or(NO_RUNNER_RETRY).max(MIN_RETRY);
        Refusal::new("no runner of the pool takes work", retry_after)
    }
}

/// Bound on waits for timers; queues expire their requests far earlier.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);
/// Output expected of a pool of which nothing is known, in tokens.
const EXPECTED_OUTPUT: u64 = 256;
const NO_RUNNER_RETRY: Duration = Duration::from_secs(5);
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Takes a request out of the queue if its caller stops waiting.
struct WaitGuard {
    gate: Weak<RefCell<Inner>>,
    ticket: Ticket,
    id: AttemptId,
    rx: oneshot::Receiver<Result<RunnerSpec, Refusal>>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let Some(gate) = self.gate.upgrade() else { return };
        let mut inner = gate.borrow_mut();
        inner.queue.cancel(self.ticket);
        inner.waiting.remove(&self.ticket);
        // A slot may have been granted in the moment the caller left.
        if let Ok(Some(Ok(spec))) = self.rx.try_recv() {
            let now = Instant::now();
            inner.table.give_back(&spec.name, &self.id, Verdict::Released, None, now);
            inner.pump(now);
        }
    }
}

/// A slot on a runner; dropping it gives the slot back.
pub struct Permit {
    gate: Gate,
    /// The runner.
    pub runner: RunnerSpec,
    want: Want,
    cost: u64,
    tokens: Option<u64>,
    verdict: Verdict,
}

impl Permit {
    fn new(gate: &Gate, runner: RunnerSpec, want: Want, cost: u64) -> Self {
        let gate = gate.clone();
        Self { gate, runner, want, cost, tokens: None, verdict: Verdict::Released }
    }

    /// Notes what the run says about its runner, and the length of its output.
    pub fn finish(&mut self, verdict: Verdict, tokens: Option<u64>) {
        self.verdict = verdict;
        self.tokens = tokens;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut inner = self.gate.0.borrow_mut();
        let (name, id) = (&self.runner.name, &self.want.id);
        inner.table.give_back(name, id, self.verdict, self.tokens, now);
        if let Some(tokens) = self.tokens {
            let workspace = &self.want.workspace;
            inner.lengths.observe(&self.want.kind, tokens);
            inner.queue.correct(workspace, self.cost, self.want.prompt + tokens);
        }
        inner.pump(now);
    }
}
