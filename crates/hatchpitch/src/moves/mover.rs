//! Moves one generation to another runner: waits for the turn, obtains a slot, makes the first copy
//! while the run continues, then stops the run and makes the final copy.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::task::Turn;
use crate::dispatch::SlotRequest;
use crate::grants::Slot;
use crate::grants::task::obtain;
use crate::ids::{FailureDomainName, RunnerName, ServiceName, new_id};
use crate::registry::UpstreamRecord;
use crate::relay::protocol::{CopyAnswer, CopyFailure, CopyOrder};
use crate::relay::{HostedRequest, Relay};
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::task as upstream_signals;

/// Timeout of one copy. A large generation takes a third of it on an idle link.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// Delay before the first copy is retried, because the runner does not know the run or a copy of it
/// is in progress.
const COPY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for a slot on another runner: the source shuts down soon after.
const SLOT_WAIT: Duration = Duration::from_millis(500);
/// Attempts to make the first copy.
const MAX_COPY_ATTEMPTS: usize = 6;

/// Where a moved generation continues.
pub struct Moved {
    /// Slot on the other runner; `None` if the generation continues at the source.
    pub slot: Option<Box<Slot>>,
    /// Address of the source.
    pub source: SocketAddr,
    /// Handle of the copy at the source.
    pub handle: String,
}

/// Outcome of a move.
pub enum MoveOutcome {
    /// The run was stopped and can be resumed from a copy.
    Moved(Moved),
    /// The run was not stopped; it continues at the source unless it has ended. Holds the cause.
    Stays(String),
    /// The run may have been stopped and no copy of it is known. Holds the cause.
    Lost(String),
}

/// The runner that a generation is moved off because it is shutting down.
#[derive(Debug, Clone)]
pub struct SourceRunner {
    /// Service of the runner.
    pub service: ServiceName,
    /// Name of the runner in its current life.
    pub runner: RunnerName,
    /// Address of the runner.
    pub addr: SocketAddr,
    /// Failure domain of the runner. Copies within it take half the time.
    pub failure_domain: FailureDomainName,
}

/// What a generation needs at the runner that it is moved to.
#[derive(Debug, Clone, Copy)]
pub struct MoveNeeds {
    /// Tokens that the generation may still produce.
    pub at_stake: u64,
    /// Tokens of the generation in memory, which the other runner needs space for.
    pub in_memory: u64,
    /// Longest time between two events that its route allows, unless it is late already.
    pub max_gap: Option<Duration>,
    /// Number of output tokens that an event holds.
    pub event_tokens: u64,
}

/// Handle to a move in progress, held by the relay of the stream.
pub struct Moving {
    /// Resolves to the outcome of the move.
    pub outcome: oneshot::Receiver<MoveOutcome>,
    stopping: Rc<Cell<bool>>,
}

impl Moving {
    /// Returns whether the source has been told to stop the run, so that its stream may end before
    /// the generation is complete.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns whether the move failed without stopping the run. Returns false if the run
    /// may have been stopped: its stream will close, and the outcome is awaited then.
    pub fn has_failed(&mut self) -> bool {
        if self.stopping.get() {
            return false;
        }
        matches!(self.outcome.try_recv(), Ok(Some(MoveOutcome::Stays(_))) | Err(_))
    }
}

/// Starts to move a generation off a runner.
pub fn start(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    source: SourceRunner,
    needs: MoveNeeds,
) -> Moving {
    let (tx, outcome) = oneshot::channel();
    let stopping = Rc::new(Cell::new(false));
    let mover = Mover {
        relay: relay.clone(),
        req: req.clone(),
        source,
        needs,
        stopping: stopping.clone(),
        id: new_id(),
    };
    compio::runtime::spawn(async move {
        let started = clock::now();
        let outcome = mover.run().await;
        mover.log(&outcome, started);
        // If the stream has ended, the unsent outcome is dropped, which releases its slot.
        let _ = tx.send(outcome);
    })
    .detach();
    Moving { outcome, stopping }
}

struct Mover {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    source: SourceRunner,
    needs: MoveNeeds,
    stopping: Rc<Cell<bool>>,
    id: String,
}

impl Mover {
    async fn run(&self) -> MoveOutcome {
        let turn = self.turn();
        if !turn.wait().await {
            turn.release();
            return MoveOutcome::Stays("the turn did not come".to_owned());
        }
        let outcome = self.copy_and_stop().await;
        turn.release();
        outcome
    }

    fn turn(&self) -> Turn {
        let (cx, runner) = (self.relay.cx.clone(), self.source.runner.clone());
        Turn::new(cx, runner, self.id.clone(), self.needs.at_stake)
    }

    async fn copy_and_stop(&self) -> MoveOutcome {
        let slot = match self.obtain_slot().await {
            Ok(slot) => slot,
            Err(cause) => return MoveOutcome::Stays(cause),
        };
        if let Err(cause) = self.first_copy(slot.addr).await {
            return MoveOutcome::Stays(cause);
        }
        if let Err(cause) = self.obtain_permit().await {
            return MoveOutcome::Stays(cause.to_owned());
        }
        self.stopping.set(true);
        let source = self.source.addr;
        match self.copy(slot.addr, true).await {
            Ok(CopyAnswer { handle }) => {
                MoveOutcome::Moved(Moved { slot: Some(Box::new(slot)), source, handle })
            }
            Err(CopyFailure::NoRoom { handle: Some(handle) }) => {
                MoveOutcome::Moved(Moved { slot: None, source, handle })
            }
            Err(CopyFailure::NoSuchRun) => {
                MoveOutcome::Stays("it ended before it was stopped".to_owned())
            }
            Err(err) => MoveOutcome::Lost(err.to_string()),
        }
    }

    async fn first_copy(&self, to: SocketAddr) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..MAX_COPY_ATTEMPTS {
            self.obtain_permit().await?;
            match self.copy(to, false).await {
                Ok(_) => return Ok(()),
                Err(err @ (CopyFailure::NoSuchRun | CopyFailure::Busy)) => last = err.to_string(),
                Err(err) => return Err(err.to_string()),
            }
            compio::time::sleep(COPY_RETRY_DELAY).await;
        }
        Err(last)
    }

    /// Obtains the permit for an order to the source. The order does not wait for the rate limit as
    /// long as a permit can be taken in advance, because the runs are lost when the source shuts
    /// down.
    async fn obtain_permit(&self) -> Result<(), &'static str> {
        upstream_signals::obtain_in_advance(&self.relay.cx, &self.source.runner).await
    }

    /// Orders the source to copy the run to another runner. With `stop`, this is the final copy,
    /// for which the source stops the run.
    async fn copy(&self, to: SocketAddr, stop: bool) -> Result<CopyAnswer, CopyFailure> {
        let order = CopyOrder { request: self.req.id.clone(), to, stop };
        let upstream = self.relay.cx.upstream(&self.source.runner, self.source.addr);
        let copied = (self.relay.protocol.copy)(upstream, order);
        let sent = clock::now();
        match compio::time::timeout(COPY_LIMIT, copied).await {
            Ok(reply) => {
                let (cx, runner) = (&self.relay.cx, &self.source.runner);
                upstream_limits::record(cx, runner, reply.signals.limit, sent);
                upstream_signals::record_background(cx, runner, reply.signals);
                reply.outcome
            }
            Err(_) => Err(CopyFailure::Unclear(format!("no answer within {COPY_LIMIT:?}"))),
        }
    }

    /// Obtains a slot on a runner that is not shutting down, preferably in the failure domain of
    /// the source.
    async fn obtain_slot(&self) -> Result<Slot, String> {
        let cx = &self.relay.cx;
        let mut avoid: Vec<RunnerName> = {
            let roster = cx.upstreams.roster.borrow();
            roster.leaving().map(UpstreamRecord::life).collect()
        };
        avoid.push(self.source.runner.clone());
        let want = SlotRequest {
            id: new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: self.needs.in_memory,
            max_tokens: self.needs.at_stake,
            avoid,
            near: Some(self.source.failure_domain.clone()),
            copied: self.needs.in_memory,
            max_wait: Some(SLOT_WAIT),
            accepts: Some(SLOT_WAIT),
            overdue_after: None,
            within: self.relay.domains_for(&self.req).map_err(|refusal| refusal.cause)?,
            limit_wait: Some(SLOT_WAIT),
            skips_limited: false,
            sends_here: true,
            only_try: true,
            max_gap: self.needs.max_gap,
            event_tokens: self.needs.event_tokens,
        };
        let slot = obtain(cx, &self.source.service, want).await;
        slot.map_err(|refusal| refusal.cause)
    }

    fn log(&self, result: &MoveOutcome, started: Instant) {
        let (outcome, to, cause) = match result {
            MoveOutcome::Moved(Moved { slot: Some(slot), .. }) => {
                ("moved", slot.runner.as_str(), "")
            }
            MoveOutcome::Moved(_) => ("back_at_source", "", ""),
            MoveOutcome::Stays(cause) => ("stays", "", cause.as_str()),
            MoveOutcome::Lost(cause) => ("lost", "", cause.as_str()),
        };
        log::info!(
            request = self.req.id.as_str(), upstream = self.source.runner.as_str(), to = to,
            outcome = outcome, cause = cause, at_stake = self.needs.at_stake,
            in_memory = self.needs.in_memory, took_ms = clock::since(started).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "move of a generation"
        );
    }
}
