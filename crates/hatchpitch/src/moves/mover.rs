//! Moves one generation: a turn, a slot elsewhere, a first copy, the last part.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use super::messages::{TurnAnswer, TurnDone, TurnRequest};
use crate::admission::Want;
use crate::entry::EntryCx;
use crate::grants::Slot;
use crate::grants::ownership::owner_of;
use crate::grants::task::obtain;
use crate::ids::{FailureDomainName, RunnerName, ServiceName};
use crate::relay::dialect::{CopyAnswer, CopyFailure, CopyOrder};
use crate::relay::{HostedRequest, Relay};

/// Path on which turns are asked for.
pub const TURN_PATH: &str = "/box/move-turn";
/// Path on which turns are given back.
pub const TURN_DONE_PATH: &str = "/box/move-done";
/// Time for a call about a turn.
const TURN_CALL_LIMIT: Duration = Duration::from_millis(300);
/// Time between two questions whether the turn has come: a tenth of what one move takes.
const TURN_LOOK: Duration = Duration::from_millis(20);
/// Time after which a move that got no turn is given up: the runner is gone by then.
const TURN_PATIENCE: Duration = Duration::from_secs(6);
/// Time for one copy; a large generation takes a third of it on an idle link.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// Time until a run that has made nothing yet, or whose copy is under way, is asked for again.
const AGAIN: Duration = Duration::from_millis(60);
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
    stopping: Rc<RefCell<bool>>,
}

impl Moving {
    /// Returns whether the runner was asked to stop the run, so that its stream may end
    /// unfinished.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the end of the move if it came to nothing; one that stopped the run is left to be
    /// waited for, as the stream will close.
    pub fn came_to_nothing(&mut self) -> bool {
        if *self.stopping.borrow() {
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
    let stopping = Rc::new(RefCell::new(false));
    let mover = Mover {
        relay: relay.clone(),
        req: req.clone(),
        leaver,
        at_stake,
        in_memory,
        stopping: stopping.clone(),
        id: crate::entry::generation::new_id(),
    };
    compio::runtime::spawn(async move {
        let started = Instant::now();
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
    stopping: Rc<RefCell<bool>>,
    id: String,
}

impl Mover {
    async fn run(&self) -> MoveEnd {
        let owner = self.owner();
        if !self.await_turn(owner).await {
            self.turn_done(owner);
            return MoveEnd::Stays("the turn did not come".to_owned());
        }
        let ended = self.copy_and_stop().await;
        self.turn_done(owner);
        ended
    }

    async fn copy_and_stop(&self) -> MoveEnd {
        let slot = match self.slot().await {
            Ok(slot) => slot,
            Err(cause) => return MoveEnd::Stays(cause),
        };
        if let Err(cause) = self.first_copy(slot.addr).await {
            return MoveEnd::Stays(cause);
        }
        *self.stopping.borrow_mut() = true;
        let source = self.leaver.addr;
        match self.copy(slot.addr, true).await {
            Ok(CopyAnswer { handle }) => {
                MoveEnd::Moved(Moved { slot: Some(Box::new(slot)), source, handle })
            }
            Err(CopyFailure::NoRoom { handle: Some(handle), .. }) => {
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
            match self.copy(to, false).await {
                Ok(_) => return Ok(()),
                Err(err @ (CopyFailure::NoSuchRun | CopyFailure::Busy)) => last = err.to_string(),
                Err(err) => return Err(err.to_string()),
            }
            compio::time::sleep(AGAIN).await;
        }
        Err(last)
    }

    async fn copy(&self, to: SocketAddr, stop: bool) -> Result<CopyAnswer, CopyFailure> {
        let order = CopyOrder { request: self.req.id.clone(), to, stop };
        let upstream = self.relay.cx.upstream(self.leaver.addr);
        let copied = (self.relay.dialect.copy)(upstream, order);
        match compio::time::timeout(COPY_LIMIT, copied).await {
            Ok(copied) => copied,
            Err(_) => Err(CopyFailure::Unclear(format!("no answer within {COPY_LIMIT:?}"))),
        }
    }

    async fn slot(&self) -> Result<Slot, String> {
        let cx = &self.relay.cx;
        let mut avoid: Vec<RunnerName> = {
            let roster = cx.upstreams.roster.borrow();
            roster.leaving().map(|record| record.id.clone()).collect()
        };
        avoid.push(self.leaver.runner.clone());
        let want = Want {
            id: crate::entry::generation::new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: self.in_memory,
            max_tokens: self.at_stake,
            avoid,
            near: Some(self.leaver.failure_domain.clone()),
            copied: self.in_memory,
            max_wait: Some(SLOT_WAIT),
        };
        let slot = obtain(cx, &self.leaver.service, want).await;
        slot.map_err(|refusal| refusal.cause)
    }

    /// Returns the box that gives out the turns at the runner.
    fn owner(&self) -> SocketAddr {
        let cx = &self.relay.cx;
        let membership = cx.membership.borrow();
        let owner = owner_of(&self.leaver.runner, membership.serving_boxes());
        owner.map_or(cx.settings.boxes_addr, |record| record.box_addr)
    }

    /// Waits for the turn. An owner that does not answer is passed over after some tries.
    async fn await_turn(&self, owner: SocketAddr) -> bool {
        let started = Instant::now();
        let mut failures = 0;
        while started.elapsed() < TURN_PATIENCE && failures < 3 {
            match self.ask_turn(owner).await {
                Some(TurnAnswer::Yours) => return true,
                Some(TurnAnswer::NotYet) => compio::time::sleep(TURN_LOOK).await,
                None => failures += 1,
            }
        }
        // Without its owner, moves of this runner may stand in each other's way, and still help.
        failures > 0
    }

    async fn ask_turn(&self, owner: SocketAddr) -> Option<TurnAnswer> {
        let cx = &self.relay.cx;
        let req = TurnRequest {
            runner: self.leaver.runner.clone(),
            holder: cx.settings.name.clone(),
            id: self.id.clone(),
            at_stake: self.at_stake,
        };
        if owner == cx.settings.boxes_addr {
            return Some(answer_turn(cx, &req));
        }
        match cx.boxes.call(owner, TURN_PATH, &req, TURN_CALL_LIMIT).await {
            Ok(answer) => Some(answer),
            Err(err) => {
                log::debug!("turn to move: {err}");
                None
            }
        }
    }

    fn turn_done(&self, owner: SocketAddr) {
        let cx = self.relay.cx.clone();
        let done = TurnDone { runner: self.leaver.runner.clone(), id: self.id.clone() };
        if owner == cx.settings.boxes_addr {
            take_turn_done(&cx, &done);
            return;
        }
        compio::runtime::spawn(async move {
            let call = cx.boxes.call::<_, ()>(owner, TURN_DONE_PATH, &done, TURN_CALL_LIMIT);
            if let Err(err) = call.await {
                log::debug!("turn to move not given back, it ends by itself: {err}");
            }
        })
        .detach();
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
            in_memory = self.in_memory, took_ms = started.elapsed().as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "move of a generation"
        );
    }
}

/// Longest wait for a slot elsewhere: the runner is gone soon after.
const SLOT_WAIT: Duration = Duration::from_millis(500);

/// Answers a box that asks for a turn at a runner.
pub fn answer_turn(cx: &EntryCx, req: &TurnRequest) -> TurnAnswer {
    let mut turns = cx.turns.borrow_mut();
    match turns.ask(&req.runner, &req.id, req.at_stake, Instant::now()) {
        true => TurnAnswer::Yours,
        false => TurnAnswer::NotYet,
    }
}

/// Takes a turn back.
pub fn take_turn_done(cx: &EntryCx, done: &TurnDone) {
    cx.turns.borrow_mut().done(&done.runner, &done.id, Instant::now());
}
