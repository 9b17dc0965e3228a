//! Asynchronous admission to the runners of one pool: wraps a [`PoolScheduler`] and wakes each
//! waiting request through its own channel.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::state::{AdmissionConfig, Ticket};
use crate::dispatch::{
    Answer, Decision, PoolScheduler, QueueRefusals, Quote, Refusal, SlotRequest,
};
use crate::ids::AttemptId;
use crate::routing::state::RunnerSpec;
use crate::routing::{RoutingConfig, RunReport, RunnerTable};
use crate::upstream_signals::SharedSignals;

/// Upper bound on the timeout of a wait. The queue expires its requests far earlier.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Interval at which a gate with waiting requests checks for free capacity. It is a tenth of the
/// time that an engine takes to prefill a prompt, which bounds how long an engine sits idle.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Result of a wait: the runner on which a slot was taken, or the refusal.
type WaitResult = Result<RunnerSpec, Refusal>;

struct Inner {
    line: PoolScheduler,
    /// Whether a task polls the line for free capacity.
    polling: bool,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
}

impl Inner {
    /// Sends the line's answers to the waiting requests. A slot whose request has been cancelled
    /// is given back, which may admit another request, so this repeats until no answer is left.
    fn deliver(&mut self, now: Instant) {
        let mut answers = self.line.take_answers();
        while !answers.is_empty() {
            for Answer { ticket, id, slot } in answers {
                let unsent = match self.waiting.remove(&ticket) {
                    Some(tx) => tx.send(slot).err(),
                    None => Some(slot),
                };
                if let Some(Ok(spec)) = unsent {
                    self.line.release_abandoned(&spec.name, &id, now);
                }
            }
            answers = self.line.take_answers();
        }
    }
}

/// Admission control for one pool at one box.
#[derive(Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

impl Gate {
    /// Creates a gate without runners. `signals` holds the rate limits and rests (`Retry-After`
    /// pauses) of upstreams, shared by all gates of the box.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig, signals: SharedSignals) -> Self {
        let line = PoolScheduler::new(admission, routing).with_signals(signals);
        Self(Rc::new(RefCell::new(Inner { line, polling: false, waiting: HashMap::new() })))
    }

    /// Takes a slot on a runner if one is free and no request is waiting.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner accepts work; `Ok(None)` means that the request would
    /// have to wait.
    pub fn try_admit(&self, want: &SlotRequest) -> Result<Option<Permit>, Refusal> {
        let cost = self.cost(want);
        let placed = self.with_line(|line, now| line.place(want, now))?;
        Ok(placed.map(|spec| self.permit(spec, want.clone(), cost)))
    }

    /// Accounts for a slot that another owner granted `age` ago. Returns `None` if this
    /// gate does not have the runner.
    pub fn adopt(&self, runner: &str, want: SlotRequest, age: Duration) -> Option<Permit> {
        let cost = self.cost(&want);
        let spec = self.with_line(|line, now| {
            line.adopt(runner, &want, now.checked_sub(age).unwrap_or(now))
        })?;
        Some(self.permit(spec, want, cost))
    }

    /// Returns what a request would get now, without taking a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner accepts work.
    pub fn quote(&self, want: &SlotRequest) -> Result<Quote, Refusal> {
        self.0.borrow().line.quote(want, clock::now())
    }

    /// Waits for a slot on a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as the request is refused, on arrival or while it waits.
    pub async fn admit(&self, want: SlotRequest) -> Result<Permit, Refusal> {
        let cost = self.cost(&want);
        let ticket = match self.with_line(|line, now| line.decide(&want, now)) {
            Decision::Run(spec) => return Ok(self.permit(spec, want, cost)),
            Decision::Refuse(refusal) => return Err(refusal),
            Decision::Wait(ticket) => ticket,
        };
        let (tx, rx) = oneshot::channel();
        self.0.borrow_mut().waiting.insert(ticket, tx);
        // The request may fit although the ones queued before it do not.
        self.tick();
        self.poll_while_waiting();
        let id = want.id.clone();
        let mut guard = WaitGuard { gate: Rc::downgrade(&self.0), ticket, id, rx };
        let limit = want.max_wait.unwrap_or(Duration::MAX);
        let granted = match compio::time::timeout(limit.min(MAX_WAIT), &mut guard.rx).await {
            Ok(granted) => granted,
            Err(_) => return Err(self.with_line(|line, now| line.refuse_waited(&want, now))),
        };
        match granted {
            Ok(Ok(spec)) => Ok(self.permit(spec, want, cost)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new("the box is stopping", Duration::ZERO)),
        }
    }

    /// Returns the expected wait of a request.
    pub fn expected_wait(&self, want: &SlotRequest) -> Duration {
        self.0.borrow().line.expected_wait(want, clock::now())
    }

    /// Changes the runner table, then admits every request that can run now.
    pub fn update<T>(&self, change: impl FnOnce(&mut RunnerTable) -> T) -> T {
        self.with_line(|line, now| line.update(now, change))
    }

    /// Reads the runner table.
    pub fn inspect<T>(&self, read: impl FnOnce(&RunnerTable) -> T) -> T {
        read(self.0.borrow().line.table())
    }

    /// Replaces the limits of the queue.
    pub fn configure(&self, cfg: AdmissionConfig) {
        self.with_line(|line, _| line.configure(cfg));
    }

    /// Refuses requests that waited too long and admits those that can run. Must be called a few
    /// times a second.
    pub fn tick(&self) {
        self.with_line(PoolScheduler::tick);
    }

    /// Refuses waiting requests of this box that are not expected to start within the time that
    /// `time_to_start` returns for their kind.
    pub fn refuse_late(&self, refusal: &Refusal, time_to_start: impl Fn(&str) -> Option<Duration>) {
        self.with_line(|line, _| line.refuse_late(refusal, time_to_start));
    }

    /// Returns the numbers of requests that the queue refused since the last call.
    pub fn take_refusals(&self) -> QueueRefusals {
        self.0.borrow_mut().line.take_refusals()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.0.borrow().line.waiting()
    }

    /// Spawns a task that polls for free capacity while requests wait. Engines free capacity by
    /// finishing prefills, which they do not report.
    fn poll_while_waiting(&self) {
        if std::mem::replace(&mut self.0.borrow_mut().polling, true) {
            return;
        }
        let gate = Rc::downgrade(&self.0);
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(POLL_PERIOD).await;
                let Some(gate) = gate.upgrade().map(Gate) else { return };
                gate.tick();
                if gate.waiting() == 0 {
                    gate.0.borrow_mut().polling = false;
                    return;
                }
            }
        })
        .detach();
    }

    fn with_line<T>(&self, f: impl FnOnce(&mut PoolScheduler, Instant) -> T) -> T {
        let now = clock::now();
        let mut inner = self.0.borrow_mut();
        let result = f(&mut inner.line, now);
        inner.deliver(now);
        result
    }

    fn cost(&self, want: &SlotRequest) -> u64 {
        self.0.borrow().line.cost(want)
    }

    fn permit(&self, runner: RunnerSpec, want: SlotRequest, cost: u64) -> Permit {
        let gate = self.clone();
        Permit { gate, runner, want, cost, report: RunReport::RELEASED, unused: false }
    }
}

/// Removes a request from the line if its caller stops waiting.
struct WaitGuard {
    gate: Weak<RefCell<Inner>>,
    ticket: Ticket,
    id: AttemptId,
    rx: oneshot::Receiver<WaitResult>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let Some(gate) = self.gate.upgrade() else { return };
        let mut inner = gate.borrow_mut();
        inner.line.cancel(self.ticket);
        inner.waiting.remove(&self.ticket);
        // A slot may have been granted just before the caller left.
        if let Ok(Some(Ok(spec))) = self.rx.try_recv() {
            let now = clock::now();
            inner.line.release_abandoned(&spec.name, &self.id, now);
            inner.deliver(now);
        }
    }
}

/// A slot on a runner; dropping it gives the slot back.
pub struct Permit {
    gate: Gate,
    /// The runner that the slot is on.
    pub runner: RunnerSpec,
    want: SlotRequest,
    cost: u64,
    report: RunReport,
    unused: bool,
}

impl Permit {
    /// Gives back a slot for which nothing was sent, and refunds the charge to the workspace.
    pub fn release_unused(mut self) {
        self.unused = true;
    }

    /// Sets the report that is passed on when the slot is given back.
    pub fn set_report(&mut self, report: RunReport) {
        self.report = report;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (runner, want) = (&self.runner.name, &self.want);
        self.gate.with_line(|line, now| {
            if self.unused {
                return line.release_unused(runner, want, self.cost, now);
            }
            line.release(runner, want, self.cost, self.report, now);
        });
    }
}
