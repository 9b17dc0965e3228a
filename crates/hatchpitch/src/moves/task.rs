//! I/O of turns: requests the turn to move a generation off a runner or to it from the runner's
//! owner, and answers such requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::clock;

use super::messages::{TurnAnswer, TurnDone, TurnKind, TurnRequest};
use super::state::Turns;
use super::wait::{WaitStep, next_step};
use crate::dispatch::owners::owner_of;
use crate::entry::EntryCx;
use crate::ids::RunnerName;

/// Path of turn requests.
pub const TURN_PATH: &str = "/box/move-turn";
/// Path on which turns are released.
pub const TURN_DONE_PATH: &str = "/box/move-done";
/// Timeout of a call about a turn.
const TURN_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a waiting move polls for its turn: a tenth of the duration of a move.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a move that has not got its turn is abandoned: the runner has shut down by
/// then.
const TURN_WAIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Failed calls after which a move goes ahead without its owner's consent; together they take less
/// than a second.
const MAX_FAILURES: u32 = 3;

/// Client side of the turn of one move at a runner.
pub struct Turn {
    cx: Rc<EntryCx>,
    /// Address of the box that owns the runner and grants its turns.
    owner: SocketAddr,
    kind: TurnKind,
    runner: RunnerName,
    /// Id of the move, by which the owner recognizes repeated requests.
    id: String,
    /// Tokens that the generation may still produce; the move with the most goes first.
    at_stake: u64,
}

impl Turn {
    /// Creates a request for a turn, without sending it.
    pub fn new(
        cx: Rc<EntryCx>,
        kind: TurnKind,
        runner: RunnerName,
        id: String,
        at_stake: u64,
    ) -> Self {
        let owner = {
            let membership = cx.membership.borrow();
            let owner = owner_of(&runner, membership.serving_boxes());
            owner.map_or(cx.settings.boxes_addr, |record| record.box_addr)
        };
        Self { cx, owner, kind, runner, id, at_stake }
    }

    /// Polls the owner until the move has its turn. Returns whether the move may proceed, which it
    /// also may after `MAX_FAILURES` calls to the owner have failed.
    pub async fn wait(&self) -> bool {
        let started = clock::now();
        let mut failures = 0;
        while clock::since(started) < TURN_WAIT_TIMEOUT && failures < MAX_FAILURES {
            match self.request(TURN_CALL_TIMEOUT).await {
                Some(TurnAnswer::Yours) => return true,
                Some(TurnAnswer::NotYet) => compio::time::sleep(TURN_POLL_INTERVAL).await,
                None => failures += 1,
            }
        }
        // Without turns, the moves of this runner compete for its link, but they still save
        // generations.
        failures > 0
    }

    /// Polls the owner for at most `limit`. Returns whether the move has its turn; if not, the
    /// request is withdrawn.
    pub async fn wait_up_to(&self, limit: Duration) -> bool {
        let started = clock::now();
        while let Some(left) = limit.checked_sub(clock::since(started)).filter(|l| !l.is_zero()) {
            let answer = self.request(TURN_CALL_TIMEOUT.min(left)).await;
            match next_step(answer, clock::since(started), limit) {
                WaitStep::Granted => return true,
                WaitStep::Poll => compio::time::sleep(TURN_POLL_INTERVAL).await,
                WaitStep::GiveUp => break,
            }
        }
        self.release();
        false
    }

    async fn request(&self, timeout: Duration) -> Option<TurnAnswer> {
        let cx = &self.cx;
        let req = TurnRequest {
            runner: self.runner.clone(),
            id: self.id.clone(),
            at_stake: self.at_stake,
            kind: self.kind,
        };
        if self.owner == cx.settings.boxes_addr {
            return Some(answer_turn(cx, &req));
        }
        match cx.boxes.call(self.owner, TURN_PATH, &req, timeout).await {
            Ok(answer) => Some(answer),
            Err(err) => {
                log::debug!("request for a move turn: {err}");
                None
            }
        }
    }

    /// Releases the turn, or leaves the queue for it, without waiting for the answer.
    pub fn release(&self) {
        let (cx, owner) = (self.cx.clone(), self.owner);
        let (runner, id) = (self.runner.clone(), self.id.clone());
        let done = TurnDone { runner, id, kind: self.kind };
        if owner == cx.settings.boxes_addr {
            answer_turn_done(&cx, &done);
            return;
        }
        compio::runtime::spawn(async move {
            let call = cx.boxes.call::<_, ()>(owner, TURN_DONE_PATH, &done, TURN_CALL_TIMEOUT);
            if let Err(err) = call.await {
                log::debug!("release of a move turn: {err}; the turn will expire");
            }
        })
        .detach();
    }
}

fn turns(cx: &EntryCx, kind: TurnKind) -> &RefCell<Turns> {
    match kind {
        TurnKind::Source => &cx.move_turns,
        TurnKind::Target => &cx.target_turns,
    }
}

/// Answers a turn request.
pub fn answer_turn(cx: &EntryCx, req: &TurnRequest) -> TurnAnswer {
    let mut turns = turns(cx, req.kind).borrow_mut();
    match turns.request(&req.runner, &req.id, req.at_stake, clock::now()) {
        true => TurnAnswer::Yours,
        false => TurnAnswer::NotYet,
    }
}

/// Handles the release of a turn.
pub fn answer_turn_done(cx: &EntryCx, done: &TurnDone) {
    turns(cx, done.kind).borrow_mut().release(&done.runner, &done.id, clock::now());
}
