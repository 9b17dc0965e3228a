//! Drives [`Membership`]: heartbeats over HTTP between boxes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, Stop, clock};

use super::messages::{Gossip, ProbeAnswer, ProbeRequest, Subject};
use super::state::{Membership, MembershipAction};
use crate::ids::BoxName;

/// Path of heartbeats.
pub const GOSSIP_PATH: &str = "/box/gossip";
/// Path of probes on behalf of another box.
pub const PROBE_PATH: &str = "/box/probe";
/// Path of a bare heartbeat that carries nothing.
pub const PING_PATH: &str = "/box/ping";
const TICK: Duration = Duration::from_millis(100);
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Time between tries to reach a seed while no other box is known.
const JOIN_REST: Duration = Duration::from_millis(500);

/// Membership shared by the tasks of one box.
pub type SharedMembership = Rc<RefCell<Membership>>;

/// Joins through `seeds` and sends heartbeats until `stop`.
pub async fn run(state: SharedMembership, client: BoxClient, seeds: Vec<SocketAddr>, stop: Stop) {
    let mut next_join = clock::now();
    while !stop.is_set() {
        let now = clock::now();
        if now >= next_join && is_alone(&state) {
            next_join = now + JOIN_REST;
            join(&state, &client, &seeds).await;
        }
        let actions = state.borrow_mut().tick(now);
        perform(&state, &client, actions);
        compio::time::sleep(TICK).await;
    }
}

/// Answers a heartbeat.
pub fn answer(state: &SharedMembership, client: &BoxClient, gossip: Gossip) -> Gossip {
    let want_all = gossip.want_all;
    let actions = state.borrow_mut().on_gossip(gossip, clock::now());
    perform(state, client, actions);
    state.borrow_mut().compose(false, want_all)
}

/// Probes a box for another one.
pub async fn probe(client: &BoxClient, req: ProbeRequest) -> ProbeAnswer {
    let answered = client.call::<_, ()>(req.target, PING_PATH, &(), CALL_LIMIT).await.is_ok();
    ProbeAnswer { answered }
}

/// Carries out actions in tasks of their own.
pub fn perform(state: &SharedMembership, client: &BoxClient, actions: Vec<MembershipAction>) {
    for action in actions {
        let (state, client) = (state.clone(), client.clone());
        compio::runtime::spawn(async move {
            match action {
                MembershipAction::Heartbeat { to, want_all } => {
                    heartbeat(&state, &client, to, want_all).await;
                }
                MembershipAction::Spread { to } => spread(&state, &client, to).await,
            }
        })
        .detach();
    }
}

fn is_alone(state: &SharedMembership) -> bool {
    state.borrow().serving_boxes().nth(1).is_none()
}

async fn join(state: &SharedMembership, client: &BoxClient, seeds: &[SocketAddr]) {
    for seed in seeds {
        let gossip = state.borrow_mut().compose(true, false);
        match client.call::<_, Gossip>(*seed, GOSSIP_PATH, &gossip, CALL_LIMIT).await {
            Ok(answer) => {
                let actions = state.borrow_mut().on_gossip(answer, clock::now());
                perform(state, client, actions);
            }
            Err(err) => log::debug!("join through box {seed}: {err}"),
        }
    }
}

async fn heartbeat(state: &SharedMembership, client: &BoxClient, to: BoxName, want_all: bool) {
    let Some(addr) = box_addr(state, &to) else { return };
    let gossip = state.borrow_mut().compose(want_all, false);
    let actions = match client.call::<_, Gossip>(addr, GOSSIP_PATH, &gossip, CALL_LIMIT).await {
        Ok(answer) => state.borrow_mut().on_gossip(answer, clock::now()),
        Err(err) => {
            log::debug!("heartbeat to {to}: {err}");
            if probe_through_others(state, client, &to, addr).await {
                return;
            }
            state.borrow_mut().on_silence(&to, clock::now())
        }
    };
    perform(state, client, actions);
}

async fn probe_through_others(
    state: &SharedMembership,
    client: &BoxClient,
    to: &BoxName,
    target: SocketAddr,
) -> bool {
    let helpers = state.borrow_mut().helpers(to);
    for helper in helpers {
        let Some(addr) = box_addr(state, &helper) else { continue };
        let req = ProbeRequest { target };
        let answer = client.call::<_, ProbeAnswer>(addr, PROBE_PATH, &req, CALL_LIMIT * 2).await;
        if answer.is_ok_and(|answer| answer.answered) {
            return true;
        }
    }
    false
}

async fn spread(state: &SharedMembership, client: &BoxClient, to: BoxName) {
    let Some(addr) = box_addr(state, &to) else { return };
    let gossip = state.borrow_mut().compose(false, false);
    match client.call::<_, Gossip>(addr, GOSSIP_PATH, &gossip, CALL_LIMIT).await {
        Ok(answer) => {
            let actions = state.borrow_mut().on_gossip(answer, clock::now());
            perform(state, client, actions);
        }
        Err(err) => log::debug!("news to {to}: {err}"),
    }
}

fn box_addr(state: &SharedMembership, name: &BoxName) -> Option<SocketAddr> {
    state.borrow().get(&Subject::Box(name.clone())).map(|r| r.box_addr)
}
