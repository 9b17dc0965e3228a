//! Asks a runner's owner for the turn to move a generation off it, and answers such questions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::clock;

use super::messages::{TurnAnswer, TurnDone, TurnRequest};
use crate::dispatch::owners::owner_of;
use crate::entry::EntryCx;
use crate::ids::RunnerName;

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
/// Calls without an answer after which the owner is passed over: together under a second.
const MAX_FAILURES: u32 = 3;

/// One generation's turn at a runner.
pub struct Turn {
    cx: Rc<EntryCx>,
    /// The box that gives out the turns at the runner.
    owner: SocketAddr,
    runner: RunnerName,
    /// Name of the move, by which the owner knows a question asked again.
    id: String,
    /// Tokens still to come; the move with most of them goes first.
    at_stake: u64,
}

impl Turn {
    /// Prepares to ask for a turn.
    pub fn new(cx: Rc<EntryCx>, runner: RunnerName, id: String, at_stake: u64) -> Self {
        let owner = {
            let membership = cx.membership.borrow();
            let owner = owner_of(&runner, membership.serving_boxes());
            owner.map_or(cx.settings.boxes_addr, |record| record.box_addr)
        };
        Self { cx, owner, runner, id, at_stake }
    }

    /// Waits for the turn. An owner that does not answer is passed over after some tries.
    pub async fn wait(&self) -> bool {
        let started = clock::now();
        let mut failures = 0;
        while clock::since(started) < TURN_PATIENCE && failures < MAX_FAILURES {
            match self.ask().await {
                Some(TurnAnswer::Yours) => return true,
                Some(TurnAnswer::NotYet) => compio::time::sleep(TURN_LOOK).await,
                None => failures += 1,
            }
        }
        // Without its owner, moves of this runner may stand in each other's way, and still help.
        failures > 0
    }

    async fn ask(&self) -> Option<TurnAnswer> {
        let cx = &self.cx;
        let req = TurnRequest {
            runner: self.runner.clone(),
            id: self.id.clone(),
            at_stake: self.at_stake,
        };
        if self.owner == cx.settings.boxes_addr {
            return Some(answer_turn(cx, &req));
        }
        match cx.boxes.call(self.owner, TURN_PATH, &req, TURN_CALL_LIMIT).await {
            Ok(answer) => Some(answer),
            Err(err) => {
                log::debug!("turn to move: {err}");
                None
            }
        }
    }

    /// Gives the turn back, or leaves the queue for it.
    pub fn give_back(&self) {
        let (cx, owner) = (self.cx.clone(), self.owner);
        let done = TurnDone { runner: self.runner.clone(), id: self.id.clone() };
        if owner == cx.settings.boxes_addr {
            answer_turn_done(&cx, &done);
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
}

/// Answers a box that asks for a turn at a runner.
pub fn answer_turn(cx: &EntryCx, req: &TurnRequest) -> TurnAnswer {
    let mut turns = cx.turns.borrow_mut();
    match turns.ask(&req.runner, &req.id, req.at_stake, clock::now()) {
        true => TurnAnswer::Yours,
        false => TurnAnswer::NotYet,
    }
}

/// Takes a turn back.
pub fn answer_turn_done(cx: &EntryCx, done: &TurnDone) {
    cx.turns.borrow_mut().done(&done.runner, &done.id, clock::now());
}
