//! Tells operators that the replication group has lost its majority, and which voters are missing.
//!
//! Each control box that knows the members finds out for itself: without a leader nobody collects
//! what the others see. Voters are asked only while no leader is known.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hatchpitch_net::{Stop, clock};

use super::context::ControlCx;
use crate::ids::BoxName;
use crate::replication::{Members, NodeId, bootstrap};

/// Interval between two checks, and between two rounds of calls while no leader is known.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a leader after which the voters are asked; longer than an election.
const ELECTION_PATIENCE: Duration = Duration::from_secs(2);
/// Interval between two log lines while the majority is missing.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A voter that does not take part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingVoter {
    /// Name of its box.
    pub name: BoxName,
    /// When it was first found missing.
    pub since: Instant,
    /// Why it does not take part.
    pub cause: String,
}

/// A time without a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// When the last leader was known.
    pub since: Instant,
    /// Number of voters.
    pub voters: usize,
    /// Number of voters that elect a leader.
    pub quorum: usize,
    /// Voters that do not take part.
    pub missing: BTreeMap<NodeId, MissingVoter>,
    logged_at: Option<Instant>,
}

impl Outage {
    /// Begins an outage.
    pub fn new(since: Instant) -> Self {
        Self { since, voters: 0, quorum: 0, missing: BTreeMap::new(), logged_at: None }
    }

    /// Records which voters do not take part, with the causes.
    pub fn record(
        &mut self,
        members: &Members,
        mut causes: BTreeMap<NodeId, String>,
        now: Instant,
    ) {
        (self.voters, self.quorum) = (members.voters.len(), members.quorum());
        let missing = members.voters.iter().filter_map(|(id, peer)| {
            let cause = causes.remove(id)?;
            let since = self.missing.get(id).map_or(now, |voter| voter.since);
            Some((*id, MissingVoter { name: peer.name.clone(), since, cause }))
        });
        self.missing = missing.collect();
    }

    /// Returns whether too few voters take part to elect a leader.
    pub fn lacks_majority(&self) -> bool {
        self.voters - self.missing.len() < self.quorum
    }

    /// Returns whether the outage is to be logged now; then the next time is an interval later.
    pub fn take_log_turn(&mut self, now: Instant) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}

/// Watches for times without a leader.
pub async fn run(cx: Rc<ControlCx>, stop: Stop) {
    let mut leader_seen = clock::now();
    while !stop.is_set() {
        compio::time::sleep(CHECK_INTERVAL).await;
        if cx.follows_leader() {
            leader_seen = clock::now();
            if let Some(outage) = cx.outage.borrow_mut().take() {
                let lasted_ms = clock::since(outage.since).as_millis();
                log::info!(lasted_ms = lasted_ms; "the core has a leader again");
            }
            continue;
        }
        // A box that was just added knows no voters until the log arrives.
        let Some(members) = cx.members().filter(|members| !members.voters.is_empty()) else {
            continue;
        };
        if clock::since(leader_seen) < ELECTION_PATIENCE {
            continue;
        }
        let causes = ask_voters(&cx, &members).await;
        let now = clock::now();
        let mut slot = cx.outage.borrow_mut();
        let outage = slot.get_or_insert_with(|| Outage::new(leader_seen));
        outage.record(&members, causes, now);
        if outage.take_log_turn(now) {
            log_outage(outage, now);
        }
    }
}

/// Asks all voters who they are; returns why those that do not take part don't.
async fn ask_voters(cx: &ControlCx, members: &Members) -> BTreeMap<NodeId, String> {
    let own = cx.id.get();
    let others = members.voters.iter().filter(|(id, _)| **id != own);
    let calls = others.map(|(id, peer)| async move {
        let cause = match bootstrap::hello(&cx.boxes, peer.boxes_addr, &cx.hello()).await {
            Ok(hello) if hello.id == *id => return None,
            Ok(hello) => format!("its box has lost the disk and has identity {:016x}", hello.id),
            Err(err) => err.to_string(),
        };
        Some((*id, cause))
    });
    join_all(calls).await.into_iter().flatten().collect()
}

fn log_outage(outage: &Outage, now: Instant) {
    let missing: Vec<String> = outage
        .missing
        .values()
        .map(|voter| {
            let for_s = now.duration_since(voter.since).as_secs();
            format!("{} for {for_s} s ({})", voter.name, voter.cause)
        })
        .collect();
    let without_leader_s = now.duration_since(outage.since).as_secs();
    let (voters, quorum) = (outage.voters, outage.quorum);
    let missing = missing.join(", ");
    if outage.lacks_majority() {
        log::error!(
            voters = voters, needed = quorum, missing = missing.as_str(),
            without_leader_s = without_leader_s;
            "the core has lost its majority"
        );
    } else {
        log::warn!(
            voters = voters, needed = quorum, missing = missing.as_str(),
            without_leader_s = without_leader_s;
            "the core has no leader although a majority answers"
        );
    }
}
