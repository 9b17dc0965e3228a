//! Lets requests onto the runners of one pool: a [`PoolScheduler`] with a channel for each that waits.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::state::{AdmissionConfig, Ticket};
use crate::dispatch::{Answer, Decision, PoolScheduler, Quote, Refusal, SlotRequest};
use crate::ids::AttemptId;
use crate::routing::state::RunnerSpec;
use crate::routing::{RoutingConfig, RunReport, RunnerTable};
use crate::upstream_heads::SharedSignals;

/// Bound on waits for timers; queues expire their requests far earlier.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Time between two looks for room while requests wait: a tenth of what a prompt takes to be
/// read, so that an engine is not left idle for longer.
const PUMP_PERIOD: Duration = Duration::from_millis(20);

/// What a request that waits gets in the end.
type Slot = Result<RunnerSpec, Refusal>;

struct Inner {
    line: PoolScheduler,
    /// Whether a task lets in who waits as engines get prompts read.
    pumped: bool,
    waiting: HashMap<Ticket, oneshot::Sender<Slot>>,
}

impl Inner {
    /// Passes the line's answers on to those who wait. A slot whose request has left goes back,
    /// which may let in another one.
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

/// The entrance to one pool at one box.
#[derive(Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

impl Gate {
    /// Creates a gate without runners, that keeps to the limits and rests that the whole box knows.
    pub fn new(admission: AdmissionConfig, routing: RoutingConfig, signals: SharedSignals) -> Self {
        let line = PoolScheduler::new(admission, routing).with_signals(signals);
        Self(Rc::new(RefCell::new(Inner { line, pumped: false, waiting: HashMap::new() })))
    }

    /// Takes a slot on a runner if one is free and nobody waits.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner takes work; `Ok(None)` means that the request would wait.
    pub fn try_admit(&self, want: &SlotRequest) -> Result<Option<Permit>, Refusal> {
        let cost = self.cost(want);
        let placed = self.change(|line, now| line.place(want, now))?;
        Ok(placed.map(|spec| self.permit(spec, want.clone(), cost)))
    }

    /// Counts a slot that another owner granted so long ago, if the engine is one of this gate's.
    pub fn adopt(&self, runner: &str, want: SlotRequest, age: Duration) -> Option<Permit> {
        let cost = self.cost(&want);
        let spec = self
            .change(|line, now| line.adopt(runner, &want, now.checked_sub(age).unwrap_or(now)))?;
        Some(self.permit(spec, want, cost))
    }

    /// Returns what a request would get at once.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no runner takes work.
    pub fn quote(&self, want: &SlotRequest) -> Result<Quote, Refusal> {
        self.0.borrow().line.quote(want, clock::now())
    }

    /// Waits for a slot on a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] as soon as the request is given up on.
    pub async fn admit(&self, want: SlotRequest) -> Result<Permit, Refusal> {
        let cost = self.cost(&want);
        let ticket = match self.change(|line, now| line.decide(&want, now)) {
            Decision::Run(spec) => return Ok(self.permit(spec, want, cost)),
            Decision::Refuse(refusal) => return Err(refusal),
            Decision::Wait(ticket) => ticket,
        };
        let (tx, rx) = oneshot::channel();
        self.0.borrow_mut().waiting.insert(ticket, tx);
        // It may fit although those before it do not.
        self.tick();
        self.pump_while_waiting();
        let id = want.id.clone();
        let mut guard = WaitGuard { gate: Rc::downgrade(&self.0), ticket, id, rx };
        let limit = want.max_wait.unwrap_or(Duration::MAX);
        let granted = match compio::time::timeout(limit.min(LONGEST_WAIT), &mut guard.rx).await {
            Ok(granted) => granted,
            Err(_) => {
                let retry_after = self.0.borrow().line.retry_after(&want);
                return Err(Refusal::new("waited as long as the request allows", retry_after));
            }
        };
        match granted {
            Ok(Ok(spec)) => Ok(self.permit(spec, want, cost)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new("the box is stopping", Duration::ZERO)),
        }
    }

    /// Returns how long a request would wait.
    pub fn expected_wait(&self, want: &SlotRequest) -> Duration {
        self.0.borrow().line.expected_wait(want, clock::now())
    }

    /// Changes the runner table, then lets in whoever can run now.
    pub fn update<T>(&self, change: impl FnOnce(&mut RunnerTable) -> T) -> T {
        self.change(|line, now| line.update(now, change))
    }

    /// Changes the bounds of the queue.
    pub fn configure(&self, cfg: AdmissionConfig) {
        self.change(|line, _| line.configure(cfg));
    }

    /// Refuses who waited too long and lets in who can run; call it a few times a second.
    pub fn tick(&self) {
        self.change(PoolScheduler::tick);
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.0.borrow().line.waiting()
    }

    /// Looks again and again for room while requests wait: engines get room by reading, of which
    /// nothing is heard.
    fn pump_while_waiting(&self) {
        if std::mem::replace(&mut self.0.borrow_mut().pumped, true) {
            return;
        }
        let gate = Rc::downgrade(&self.0);
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(PUMP_PERIOD).await;
                let Some(gate) = gate.upgrade().map(Gate) else { return };
                gate.tick();
                if gate.waiting() == 0 {
                    gate.0.borrow_mut().pumped = false;
                    return;
                }
            }
        })
        .detach();
    }

    fn change<T>(&self, change: impl FnOnce(&mut PoolScheduler, Instant) -> T) -> T {
        let now = clock::now();
        let mut inner = self.0.borrow_mut();
        let changed = change(&mut inner.line, now);
        inner.deliver(now);
        changed
    }

    fn cost(&self, want: &SlotRequest) -> u64 {
        self.0.borrow().line.cost(want)
    }

    fn permit(&self, runner: RunnerSpec, want: SlotRequest, cost: u64) -> Permit {
        let gate = self.clone();
        Permit { gate, runner, want, cost, report: RunReport::RELEASED, is_unused: false }
    }
}

/// Takes a request out of the line if its caller stops waiting.
struct WaitGuard {
    gate: Weak<RefCell<Inner>>,
    ticket: Ticket,
    id: AttemptId,
    rx: oneshot::Receiver<Slot>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let Some(gate) = self.gate.upgrade() else { return };
        let mut inner = gate.borrow_mut();
        inner.line.cancel(self.ticket);
        inner.waiting.remove(&self.ticket);
        // A slot may have been granted in the moment the caller left.
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
    /// The runner.
    pub runner: RunnerSpec,
    want: SlotRequest,
    cost: u64,
    report: RunReport,
    is_unused: bool,
}

impl Permit {
    /// Gives the slot back; nothing was sent, so it costs its workspace nothing.
    pub fn give_up(mut self) {
        self.is_unused = true;
    }

    /// Notes what is known of the run.
    pub fn finish(&mut self, report: RunReport) {
        self.report = report;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (runner, want) = (&self.runner.name, &self.want);
        self.gate.change(|line, now| {
            if self.is_unused {
                return line.release_unused(runner, want, self.cost, now);
            }
            line.release(runner, want, self.cost, self.report, now);
        });
    }
}
