//! Moves one generation to another runner: waits for the turn, obtains a slot, makes the first copy
//! while the run continues, then stops the run and makes the final copy.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::copies::copies_again;
use super::messages::TurnKind;
use super::task::Turn;
use super::wait::wait_limit;
use crate::admission::Pick;
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
    /// When the source was told to stop the run.
    pub stopped_at: Instant,
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
    /// When this box learned that the runner is shutting down.
    pub leaving_since: Instant,
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
    let mut mover = Mover {
        relay: relay.clone(),
        req: req.clone(),
        source,
        needs,
        stopping: stopping.clone(),
        id: new_id(),
        times: MoveTimes::default(),
        outcome: tx,
    };
    compio::runtime::spawn(async move {
        let started = clock::now();
        let outcome = mover.run().await;
        mover.log(&outcome, started);
        // If the stream has ended, the unsent outcome is dropped, which releases its slot.
        let _ = mover.outcome.send(outcome);
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
    times: MoveTimes,
    /// Canceled once the stream has ended.
    outcome: oneshot::Sender<MoveOutcome>,
}

/// Durations of the steps of a move, in order; those of steps not reached are `None`.
#[derive(Debug, Default)]
struct MoveTimes {
    to_turn: Option<Duration>,
    to_slot: Option<Duration>,
    /// Time until the turn at the target was granted, or until the move went ahead without it.
    to_target: Option<Duration>,
    has_target: bool,
    /// Copies of the running generation that were made.
    copies: Vec<Duration>,
    final_copy: Option<Duration>,
}

impl Mover {
    async fn run(&mut self) -> MoveOutcome {
        let (turn, asked) = (self.turn(TurnKind::Source, &self.source.runner), clock::now());
        if !turn.wait().await {
            turn.release();
            return MoveOutcome::Stays("the turn did not come".to_owned());
        }
        self.times.to_turn = Some(clock::since(asked));
        let outcome = self.copy_and_stop().await;
        turn.release();
        outcome
    }

    fn turn(&self, kind: TurnKind, runner: &RunnerName) -> Turn {
        let (cx, id) = (self.relay.cx.clone(), self.id.clone());
        Turn::new(cx, kind, runner.clone(), id, self.needs.at_stake)
    }

    /// Requests the turn at the target for a bounded time, while the turn at the source is held. A
    /// move that has the turn at its target waits for no other turn, so no two moves wait for each
    /// other.
    async fn target_turn(&mut self, target: &RunnerName) -> Option<Turn> {
        let limit = wait_limit(clock::since(self.source.leaving_since));
        if self.relay.cx.settings.policy.pick != Pick::Objective || limit.is_zero() {
            return None;
        }
        let (turn, asked) = (self.turn(TurnKind::Target, target), clock::now());
        let has_turn = turn.wait_up_to(limit).await;
        (self.times.to_target, self.times.has_target) = (Some(clock::since(asked)), has_turn);
        has_turn.then_some(turn)
    }

    async fn copy_and_stop(&mut self) -> MoveOutcome {
        if let Err(cause) = self.check_running() {
            return MoveOutcome::Stays(cause);
        }
        let asked = clock::now();
        let slot = match self.obtain_slot().await {
            Ok(slot) => slot,
            Err(cause) => return MoveOutcome::Stays(cause),
        };
        self.times.to_slot = Some(clock::since(asked));
        let turn = self.target_turn(&slot.runner).await;
        let outcome = self.copy_to(slot).await;
        if let Some(turn) = turn {
            turn.release();
        }
        outcome
    }

    async fn copy_to(&mut self, slot: Slot) -> MoveOutcome {
        if let Err(cause) = self.copy_running(slot.addr).await {
            return MoveOutcome::Stays(cause);
        }
        if let Err(cause) = self.obtain_permit().await {
            return MoveOutcome::Stays(cause.to_owned());
        }
        self.stopping.set(true);
        let source = self.source.addr;
        let (stopped_at, copied) = self.final_copy(slot.addr).await;
        self.times.final_copy = Some(clock::since(stopped_at));
        match copied {
            Ok(CopyAnswer { handle }) => {
                MoveOutcome::Moved(Moved { slot: Some(Box::new(slot)), source, handle, stopped_at })
            }
            Err(CopyFailure::NoRoom { handle: Some(handle) }) => {
                MoveOutcome::Moved(Moved { slot: None, source, handle, stopped_at })
            }
            Err(CopyFailure::NoSuchRun) => {
                MoveOutcome::Stays("it ended before it was stopped".to_owned())
            }
            Err(CopyFailure::Busy) => {
                // It was not stopped, so the move may be tried again.
                self.stopping.set(false);
                MoveOutcome::Stays("the source was busy with a copy".to_owned())
            }
            Err(err) => MoveOutcome::Lost(err.to_string()),
        }
    }

    /// Returns an error if the stream has ended, so that a copy would only occupy the link.
    fn check_running(&self) -> Result<(), String> {
        match self.outcome.is_canceled() {
            true => Err("the stream ended before its move".to_owned()),
            false => Ok(()),
        }
    }

    /// Copies the run while it continues: once, and again while that shortens the final copy.
    async fn copy_running(&mut self, to: SocketAddr) -> Result<(), String> {
        self.first_copy(to).await?;
        while copies_again(&self.times.copies, clock::since(self.source.leaving_since)) {
            self.check_running()?;
            // A repeated copy never takes a permit in advance: a final copy may need it.
            if !upstream_signals::take_spare(&self.relay.cx, &self.source.runner) {
                return Ok(());
            }
            let (sent, limit) = (clock::now(), self.times.copies.last().copied());
            match self.copy(to, false, limit.unwrap_or(COPY_LIMIT)).await {
                Ok(_) => self.times.copies.push(clock::since(sent)),
                // The source holds an earlier copy, and the final one transfers the rest.
                Err(CopyFailure::Busy | CopyFailure::Unclear(_)) => return Ok(()),
                Err(err) => return Err(err.to_string()),
            }
        }
        self.check_running()
    }

    /// Stops the run and makes the final copy. A source that is busy with a copy has not stopped
    /// the run: a repeated copy that this box no longer waits for may still be in progress.
    /// Returns the time of the last order as well.
    async fn final_copy(&self, to: SocketAddr) -> (Instant, Result<CopyAnswer, CopyFailure>) {
        let mut sent = clock::now();
        let mut copied = self.copy(to, true, COPY_LIMIT).await;
        for _ in 1..MAX_COPY_ATTEMPTS {
            if !matches!(copied, Err(CopyFailure::Busy)) || self.obtain_permit().await.is_err() {
                break;
            }
            compio::time::sleep(COPY_RETRY_DELAY).await;
            sent = clock::now();
            copied = self.copy(to, true, COPY_LIMIT).await;
        }
        (sent, copied)
    }

    async fn first_copy(&mut self, to: SocketAddr) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..MAX_COPY_ATTEMPTS {
            self.check_running()?;
            self.obtain_permit().await?;
            let sent = clock::now();
            match self.copy(to, false, COPY_LIMIT).await {
                Ok(_) => {
                    self.times.copies.push(clock::since(sent));
                    return Ok(());
                }
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
    async fn copy(
        &self,
        to: SocketAddr,
        stop: bool,
        limit: Duration,
    ) -> Result<CopyAnswer, CopyFailure> {
        let order = CopyOrder { request: self.req.id.clone(), to, stop };
        let upstream = self.relay.cx.upstream(&self.source.runner, self.source.addr);
        let copied = (self.relay.protocol.copy)(upstream, order);
        let sent = clock::now();
        match compio::time::timeout(limit, copied).await {
            Ok(reply) => {
                let (cx, runner) = (&self.relay.cx, &self.source.runner);
                upstream_limits::record(cx, runner, reply.signals.limit, sent);
                upstream_signals::record_background(cx, runner, reply.signals);
                reply.outcome
            }
            Err(_) => Err(CopyFailure::Unclear(format!("no answer within {limit:?}"))),
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
        let times = &self.times;
        let millis = |took: Option<Duration>| took.unwrap_or_default().as_millis();
        let copies: Vec<u128> = times.copies.iter().map(Duration::as_millis).collect();
        log::info!(
            request = self.req.id.as_str(), upstream = self.source.runner.as_str(), to = to,
            outcome = outcome, cause = cause, at_stake = self.needs.at_stake,
            in_memory = self.needs.in_memory, took_ms = clock::since(started).as_millis(),
            leaving_ms = clock::since(self.source.leaving_since).as_millis(),
            to_turn_ms = millis(times.to_turn), to_slot_ms = millis(times.to_slot),
            to_target_ms = millis(times.to_target),
            has_target = times.has_target, copies_ms:? = copies,
            final_copy_ms = millis(times.final_copy),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "move of a generation"
        );
    }
}
