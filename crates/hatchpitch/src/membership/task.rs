//! Drives [`Membership`] by exchanging heartbeats with other boxes over HTTP.

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
/// Path of an empty probe message.
pub const PING_PATH: &str = "/box/ping";
/// Interval between calls of [`Membership::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to another box.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts to join through the seeds while no other box is known.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Membership shared by the tasks of one box.
pub type SharedMembership = Rc<RefCell<Membership>>;

/// Joins the fleet through `seeds` and sends heartbeats until `stop` is set.
pub async fn run(state: SharedMembership, client: BoxClient, seeds: Vec<SocketAddr>, stop: Stop) {
    let mut next_join = clock::now();
    while !stop.is_set() {
        let now = clock::now();
        if now >= next_join && has_no_peers(&state) {
            next_join = now + JOIN_RETRY_INTERVAL;
            join(&state, &client, &seeds).await;
        }
        let actions = state.borrow_mut().tick(now);
        perform(&state, &client, actions);
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Merges the records of a heartbeat and returns the answer.
pub fn answer(state: &SharedMembership, client: &BoxClient, gossip: Gossip) -> Gossip {
    let want_all = gossip.want_all;
    let actions = state.borrow_mut().on_gossip(gossip, clock::now());
    perform(state, client, actions);
    state.borrow_mut().compose(false, want_all)
}

/// Probes a box on behalf of another one.
pub async fn probe(client: &BoxClient, req: ProbeRequest) -> ProbeAnswer {
    let answered = client.call::<_, ()>(req.target, PING_PATH, &(), CALL_TIMEOUT).await.is_ok();
    ProbeAnswer { answered }
}

/// Spawns a task for each action.
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

fn has_no_peers(state: &SharedMembership) -> bool {
    state.borrow().serving_boxes().nth(1).is_none()
}

async fn join(state: &SharedMembership, client: &BoxClient, seeds: &[SocketAddr]) {
    for seed in seeds {
        let gossip = state.borrow_mut().compose(true, false);
        match client.call::<_, Gossip>(*seed, GOSSIP_PATH, &gossip, CALL_TIMEOUT).await {
            Ok(answer) => {
                let actions = state.borrow_mut().on_gossip(answer, clock::now());
                perform(state, client, actions);
            }
            Err(err) => log::debug!("failed to join through box {seed}: {err}"),
        }
    }
}

async fn heartbeat(state: &SharedMembership, client: &BoxClient, to: BoxName, want_all: bool) {
    let Some(addr) = box_addr(state, &to) else { return };
    let gossip = state.borrow_mut().compose(want_all, false);
    let actions = match client.call::<_, Gossip>(addr, GOSSIP_PATH, &gossip, CALL_TIMEOUT).await {
        Ok(answer) => state.borrow_mut().on_gossip(answer, clock::now()),
        Err(err) => {
            log::debug!("heartbeat to {to} failed: {err}");
            if probe_indirectly(state, client, &to, addr).await {
                return;
            }
            state.borrow_mut().on_unreachable(&to, clock::now())
        }
    };
    perform(state, client, actions);
}

/// Asks other boxes to probe `target`; returns whether one of them reached it.
async fn probe_indirectly(
    state: &SharedMembership,
    client: &BoxClient,
    to: &BoxName,
    target: SocketAddr,
) -> bool {
    let probers = state.borrow_mut().indirect_probers(to);
    for prober in probers {
        let Some(addr) = box_addr(state, &prober) else { continue };
        let req = ProbeRequest { target };
        let answer = client.call::<_, ProbeAnswer>(addr, PROBE_PATH, &req, CALL_TIMEOUT * 2).await;
        if answer.is_ok_and(|answer| answer.answered) {
            return true;
        }
    }
    false
}

async fn spread(state: &SharedMembership, client: &BoxClient, to: BoxName) {
    let Some(addr) = box_addr(state, &to) else { return };
    let gossip = state.borrow_mut().compose(false, false);
    match client.call::<_, Gossip>(addr, GOSSIP_PATH, &gossip, CALL_TIMEOUT).await {
        Ok(answer) => {
            let actions = state.borrow_mut().on_gossip(answer, clock::now());
            perform(state, client, actions);
        }
        Err(err) => log::debug!("failed to send membership changes to {to}: {err}"),
    }
}

fn box_addr(state: &SharedMembership, name: &BoxName) -> Option<SocketAddr> {
    state.borrow().get(&Subject::Box(name.clone())).map(|r| r.box_addr)
}
