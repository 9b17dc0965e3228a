//! Moves one generation: a turn, a slot elsewhere, a first copy, the last part.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hatchpitch_net::clock;

use super::ask::Turn;
use crate::dispatch::Want;
use crate::grants::Slot;
use crate::grants::task::obtain;
use crate::ids::{FailureDomainName, RunnerName, ServiceName, new_id};
use crate::registry::UpstreamRecord;
use crate::relay::dialect::{CopyAnswer, CopyFailure, CopyOrder};
use crate::relay::{HostedRequest, Relay};
use crate::upstream_limits::task as upstream_limits;
use crate::upstream_signals::task as upstream_signals;

/// Time for one copy; a large generation takes a third of it on an idle link.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// Time until a run that has made nothing yet, or whose copy is under way, is asked for again.
const AGAIN: Duration = Duration::from_millis(60);
/// Longest wait for a slot elsewhere: the runner is gone soon after.
const SLOT_WAIT: Duration = Duration::from_millis(500);
/// Tries of a first copy.
const MAX_TRIES: usize = 6;

/// Where a generation goes on.
pub struct Moved {
    /// The slot there; `None` if it goes on where it was.
    pub slot: Option<Box<Slot>>,
    /// Where the source listens, and the name of the copy there.
    pub source: SocketAddr,
    /// Name of the copy at the source.
    pub handle: String,
}

/// How a move ended.
pub enum MoveEnd {
    /// The run was stopped and goes on from a copy.
    Moved(Moved),
    /// The run goes on at its runner.
    Stays(String),
    /// The run may have been stopped and no copy of it is known.
    Lost(String),
}

/// The runner that a generation is moved off.
#[derive(Debug, Clone)]
pub struct Leaver {
    /// Its service.
    pub service: ServiceName,
    /// Its life.
    pub runner: RunnerName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands; copies to runners near it take half the time.
    pub failure_domain: FailureDomainName,
}

/// A move under way, as the stream sees it.
pub struct Moving {
    /// Resolves with the end of the move.
    pub end: oneshot::Receiver<MoveEnd>,
    stopping: Rc<Cell<bool>>,
}

impl Moving {
    /// Returns whether the runner was asked to stop the run, so that its stream may end
    /// unfinished.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns the end of the move if it came to nothing; one that stopped the run is left to be
    /// waited for, as the stream will close.
    pub fn came_to_nothing(&mut self) -> bool {
        if self.stopping.get() {
            return false;
        }
        matches!(self.end.try_recv(), Ok(Some(MoveEnd::Stays(_))) | Err(_))
    }
}

/// Begins to move a generation off a runner.
pub fn start(
    relay: &Rc<Relay>,
    req: &Rc<HostedRequest>,
    leaver: Leaver,
    at_stake: u64,
    in_memory: u64,
) -> Moving {
    let (tx, end) = oneshot::channel();
    let stopping = Rc::new(Cell::new(false));
    let mover = Mover {
        relay: relay.clone(),
        req: req.clone(),
        leaver,
        at_stake,
        in_memory,
        stopping: stopping.clone(),
        id: new_id(),
    };
    compio::runtime::spawn(async move {
        let started = clock::now();
        let ended = mover.run().await;
        mover.log(&ended, started);
        // The stream may have ended; its slot elsewhere is given back with the message.
        let _ = tx.send(ended);
    })
    .detach();
    Moving { end, stopping }
}

struct Mover {
    relay: Rc<Relay>,
    req: Rc<HostedRequest>,
    leaver: Leaver,
    at_stake: u64,
    /// Tokens that the generation holds, for the room that it needs elsewhere.
    in_memory: u64,
    stopping: Rc<Cell<bool>>,
    id: String,
}

impl Mover {
    async fn run(&self) -> MoveEnd {
        let turn = self.turn();
        if !turn.wait().await {
            turn.give_back();
            return MoveEnd::Stays("the turn did not come".to_owned());
        }
        let ended = self.copy_and_stop().await;
        turn.give_back();
        ended
    }

    fn turn(&self) -> Turn {
        let (cx, runner) = (self.relay.cx.clone(), self.leaver.runner.clone());
        Turn::new(cx, runner, self.id.clone(), self.at_stake)
    }

    async fn copy_and_stop(&self) -> MoveEnd {
        let slot = match self.slot().await {
            Ok(slot) => slot,
            Err(cause) => return MoveEnd::Stays(cause),
        };
        if let Err(cause) = self.first_copy(slot.addr).await {
            return MoveEnd::Stays(cause);
        }
        if let Err(cause) = self.may_send().await {
            return MoveEnd::Stays(cause.to_owned());
        }
        self.stopping.set(true);
        let source = self.leaver.addr;
        match self.copy(slot.addr, true).await {
            Ok(CopyAnswer { handle }) => {
                MoveEnd::Moved(Moved { slot: Some(Box::new(slot)), source, handle })
            }
            Err(CopyFailure::NoRoom { handle: Some(handle) }) => {
                MoveEnd::Moved(Moved { slot: None, source, handle })
            }
            Err(CopyFailure::NoSuchRun) => {
                MoveEnd::Stays("it ended before it was stopped".to_owned())
            }
            Err(err) => MoveEnd::Lost(err.to_string()),
        }
    }

    async fn first_copy(&self, to: SocketAddr) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            self.may_send().await?;
            match self.copy(to, false).await {
                Ok(_) => return Ok(()),
                Err(err @ (CopyFailure::NoSuchRun | CopyFailure::Busy)) => last = err.to_string(),
                Err(err) => return Err(err.to_string()),
            }
            compio::time::sleep(AGAIN).await;
        }
        Err(last)
    }

    /// Gets the permit for an order to the leaver, which is not held back while one can be taken in
    /// advance: its runs are lost with it.
    async fn may_send(&self) -> Result<(), &'static str> {
        upstream_signals::obtain_in_advance(&self.relay.cx, &self.leaver.runner).await
    }

    async fn copy(&self, to: SocketAddr, stop: bool) -> Result<CopyAnswer, CopyFailure> {
        let order = CopyOrder { request: self.req.id.clone(), to, stop };
        let upstream = self.relay.cx.upstream(self.leaver.addr);
        let copied = (self.relay.dialect.copy)(upstream, order);
        let sent = clock::now();
        match compio::time::timeout(COPY_LIMIT, copied).await {
            Ok(reply) => {
                let (cx, runner) = (&self.relay.cx, &self.leaver.runner);
                upstream_limits::record(cx, runner, reply.signals.limit, sent);
                upstream_signals::record_background(cx, runner, reply.signals);
                reply.outcome
            }
            Err(_) => Err(CopyFailure::Unclear(format!("no answer within {COPY_LIMIT:?}"))),
        }
    }

    async fn slot(&self) -> Result<Slot, String> {
        let cx = &self.relay.cx;
        let mut avoid: Vec<RunnerName> = {
            let roster = cx.upstreams.roster.borrow();
            roster.leaving().map(UpstreamRecord::life).collect()
        };
        avoid.push(self.leaver.runner.clone());
        let want = Want {
            id: new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: self.in_memory,
            max_tokens: self.at_stake,
            avoid,
            near: Some(self.leaver.failure_domain.clone()),
            copied: self.in_memory,
            max_wait: Some(SLOT_WAIT),
            accepts: Some(SLOT_WAIT),
            within: self.relay.domains_for(&self.req).map_err(|refusal| refusal.cause)?,
            limit_wait: Some(SLOT_WAIT),
            skips_limited: false,
            sends_here: true,
            only_try: true,
        };
        let slot = obtain(cx, &self.leaver.service, want).await;
        slot.map_err(|refusal| refusal.cause)
    }

    fn log(&self, ended: &MoveEnd, started: Instant) {
        let (outcome, to, cause) = match ended {
            MoveEnd::Moved(Moved { slot: Some(slot), .. }) => ("moved", slot.runner.as_str(), ""),
            MoveEnd::Moved(_) => ("back_at_source", "", ""),
            MoveEnd::Stays(cause) => ("stays", "", cause.as_str()),
            MoveEnd::Lost(cause) => ("lost", "", cause.as_str()),
        };
        log::info!(
            request = self.req.id.as_str(), upstream = self.leaver.runner.as_str(), to = to,
            outcome = outcome, cause = cause, at_stake = self.at_stake,
            in_memory = self.in_memory, took_ms = clock::since(started).as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "move of a generation"
        );
    }
}
