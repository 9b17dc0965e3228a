//! Lets requests onto the runners of one pool: the queue and the runner table, with channels.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use super::state::{AdmissionConfig, AdmissionQueue, Enqueued, Ticket, Waiter};
use crate::ids::{Priority, RunnerName, WorkspaceName};
use crate::routing::state::RunnerSpec;
use crate::routing::{RoutingConfig, RunnerTable};

/// What a request asks of a [`Gate`].
#[derive(Debug, Clone)]
pub struct Want {
    /// Who asks.
    pub workspace: WorkspaceName,
    /// What it pays for.
    pub priority: Priority,
    /// Expected tokens of prompt and output.
    pub cost: u64,
    /// Runners that failed this request before.
    pub avoid: Vec<RunnerName>,
}

/// A request that was given up on before it ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: &'static str,
    /// When to come back.
    pub retry_after: Duration,
}

struct Inner {
    table: RunnerTable,
    queue: AdmissionQueue,
    waiting: HashMap<Ticket, oneshot::Sender<Result<RunnerSpec, Refusal>>>,
}

/// The entrance to one pool at one box.
#[derive(Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

impl Gate {
    /// Creates a gate without runners.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig) -> Self {
        let table = RunnerTable::new(routing);
        let queue = AdmissionQueue::new(admission);
        Self(Rc::new(RefCell::new(Inner { table, queue, waiting: HashMap::new() })))
    }

    /// Waits for a slot on a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as the request is given up on.
    pub async fn admit(&self, want: Want) -> Result<Permit, Refusal> {
        let now = Instant::now();
        let mut guard = {
            let mut inner = self.0.borrow_mut();
            if !inner.table.any_serving(now) {
                return Err(inner.no_runner(now));
            }
            if inner.queue.is_empty()
                && let Some(spec) = inner.table.pick(&want.avoid, now)
            {
                inner.queue.charge(&want.workspace, want.cost);
                return Ok(Permit::new(self, spec, want));
            }
            let (ticket, rx) = inner.enqueue(&want, now)?;
            WaitGuard { gate: Rc::downgrade(&self.0), ticket, rx }
        };
        match (&mut guard.rx).await {
            Ok(Ok(spec)) => Ok(Permit::new(self, spec, want)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal { cause: "the box is stopping", retry_after: Duration::ZERO }),
        }
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
        if !inner.table.any_serving(now) {
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
    fn enqueue(
        &mut self,
        want: &Want,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Result<RunnerSpec, Refusal>>), Refusal> {
        let waiter = Waiter {
            workspace: want.workspace.clone(),
            priority: want.priority,
            cost: want.cost,
            since: now,
        };
        let ticket = match self.queue.enqueue(waiter) {
            Enqueued::Waiting(ticket) => ticket,
            Enqueued::Displaced { ticket, refused } => {
                self.refuse(refused, "displaced by a higher priority");
                ticket
            }
            Enqueued::Refused => {
                let retry_after = self.queue.retry_after(want.priority);
                return Err(Refusal { cause: "too many requests wait", retry_after });
            }
        };
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(ticket, tx);
        Ok((ticket, rx))
    }

    fn pump(&mut self, now: Instant) {
        while !self.queue.is_empty() {
            let Some(spec) = self.table.pick(&[], now) else { return };
            let Some((ticket, _)) = self.queue.grant(now) else {
                self.table.released(&spec.name);
                return;
            };
            let name = spec.name.clone();
            let taken = self.waiting.remove(&ticket).is_some_and(|tx| tx.send(Ok(spec)).is_ok());
            if !taken {
                self.table.released(&name);
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, cause: &'static str) {
        let retry_after = self.queue.retry_after(Priority::MIN);
        if let Some(tx) = self.waiting.remove(&ticket) {
            let _ = tx.send(Err(Refusal { cause, retry_after }));
        }
    }

    fn refuse_all(&mut self, refusal: &Refusal) {
        for (ticket, tx) in std::mem::take(&mut self.waiting) {
            self.queue.cancel(ticket);
            let _ = tx.send(Err(refusal.clone()));
        }
    }

    fn no_runner(&self, now: Instant) -> Refusal {
        let until = self.table.next_return().map(|at| at.saturating_duration_since(now));
        let retry_after = until.unwrap_or(NO_RUNNER_RETRY).max(MIN_RETRY);
        Refusal { cause: "no runner of the pool takes work", retry_after }
    }
}

const NO_RUNNER_RETRY: Duration = Duration::from_secs(5);
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Takes a request out of the queue if its caller stops waiting.
struct WaitGuard {
    gate: Weak<RefCell<Inner>>,
    ticket: Ticket,
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
            inner.table.released(&spec.name);
            inner.pump(Instant::now());
        }
    }
}

/// How a run on a runner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Released,
    Succeeded,
    Failed,
}

/// A slot on a runner; dropping it gives the slot back.
pub struct Permit {
    gate: Gate,
    /// The runner.
    pub runner: RunnerSpec,
    want: Want,
    real_cost: Option<u64>,
    verdict: Verdict,
}

impl Permit {
    fn new(gate: &Gate, runner: RunnerSpec, want: Want) -> Self {
        let gate = gate.clone();
        Self { gate, runner, want, real_cost: None, verdict: Verdict::Released }
    }

    /// Notes that the runner served the request, and what it cost in tokens.
    pub fn succeeded(&mut self, real_cost: u64) {
        self.real_cost = Some(real_cost);
        self.verdict = Verdict::Succeeded;
    }

    /// Notes that the runner failed.
    pub fn failed(&mut self) {
        self.verdict = Verdict::Failed;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut inner = self.gate.0.borrow_mut();
        let name = &self.runner.name;
        match self.verdict {
            Verdict::Released => inner.table.released(name),
            Verdict::Succeeded => inner.table.succeeded(name),
            Verdict::Failed => inner.table.failed(name, now),
        }
        if let Some(real) = self.real_cost {
            inner.queue.correct(&self.want.workspace, self.want.cost, real);
        }
        inner.pump(now);
    }
}
