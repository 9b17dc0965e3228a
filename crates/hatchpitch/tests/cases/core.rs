//! Runs a case file on the leader of a replication group whose members change.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hatchpitch::control::core_changes::{CoreChange, CoreRequests};
use hatchpitch::control::join::{JoinRequest, LeaveRequest};
use hatchpitch::replication::messages::LogEnd;
use hatchpitch::replication::verify::verify;
use hatchpitch::replication::{
    HardState, Members, Message, NodeId, Peer, Replica, ReplicaConfig, Restored, Snapshot,
};

use super::file::{Case, words};

/// Identity of the leader.
const LEADER: NodeId = 1;
/// Identities of a box differ by a multiple of this.
const IDENTITIES: NodeId = 100;
/// Time that each input takes.
const STEP: Duration = Duration::from_millis(10);

struct Fixture {
    leader: Replica,
    requests: CoreRequests,
    /// Target size of the group.
    size: usize,
    /// Replicas that answer no message.
    gone: BTreeSet<NodeId>,
    /// Replicas whose box refuses connections.
    absent: BTreeSet<NodeId>,
    now: Instant,
}

fn peer(id: NodeId) -> Peer {
    let host = u16::try_from(id % IDENTITIES).unwrap();
    let addr = ([127, 0, 0, 1], host).into();
    Peer { name: format!("box-{host}"), boxes_addr: addr, operators_addr: addr }
}

impl Fixture {
    /// Creates a group of voters 1 to `voters`, of which the first one has just been elected.
    fn new(voters: NodeId, size: usize) -> Self {
        let mut members = Members::default();
        members.voters.extend((1..=voters).map(|id| (id, peer(id))));
        let end = LogEnd { term: 0, index: 0 };
        let snapshot = Snapshot { end, members, data: Vec::new() };
        let restored = Restored { hard: HardState::default(), snapshot, entries: Vec::new() };
        let start = Instant::now();
        let now = start + Duration::from_secs(10);
        let mut leader = Replica::new(LEADER, ReplicaConfig::default(), restored, 1, start);
        leader.tick(now);
        for from in 2..=voters {
            leader.receive(from, Message::PreVoteReply { term: 1, granted: true }, now);
        }
        for from in 2..=voters {
            leader.receive(from, Message::VoteReply { term: 1, granted: true }, now);
        }
        let (gone, absent) = (BTreeSet::new(), BTreeSet::new());
        let requests = CoreRequests::default();
        let mut fixture = Self { leader, requests, size, gone, absent, now };
        fixture.replicate();
        fixture
    }

    /// Lets all replicas that are not gone acknowledge the whole log.
    fn replicate(&mut self) {
        let end = self.leader.end().index;
        let term = self.leader.term();
        self.leader.ready();
        self.leader.persisted(end, self.now);
        let ids: Vec<NodeId> = self.leader.members().all().map(|(id, _)| id).collect();
        for from in ids.into_iter().filter(|id| *id != LEADER && !self.gone.contains(id)) {
            let reply = Message::AppendReply { term, matched: true, index: end, round: 1 };
            self.leader.receive(from, reply, self.now);
        }
        self.leader.ready();
    }

    fn change(&mut self) -> String {
        self.requests.expire(self.leader.members(), self.now);
        let is_absent = |id| self.absent.contains(&id);
        let change = self.requests.next_change(&self.leader, self.size, is_absent, self.now);
        let Some(change) = change else { return "nothing".to_owned() };
        match self.leader.change_members(&(&change).into(), self.now) {
            Ok(()) => match change {
                CoreChange::Add(id, _) => format!("add {id}"),
                CoreChange::Promote(id, _) => format!("promote {id}"),
                CoreChange::Remove(id, _, cause) => format!("remove {id}: {cause}"),
            },
            Err(err) => err.to_string(),
        }
    }

    fn members(&self) -> String {
        let members = self.leader.members();
        let list =
            |ids: Vec<String>| if ids.is_empty() { "none".to_owned() } else { ids.join(" ") };
        let voters = list(members.voters.keys().map(NodeId::to_string).collect());
        let learners = list(members.learners.keys().map(NodeId::to_string).collect());
        let state = if self.leader.members_committed() { "committed" } else { "not committed" };
        format!("voters {voters}, learners {learners}, {state}")
    }
}

/// Runs a case and returns the output of each input.
pub fn run(case: &Case) -> Vec<Vec<String>> {
    let mut fixture = Fixture::new(3, 3);
    let mut outputs = Vec::new();
    for exchange in &case.exchanges {
        let words = words(&exchange.input);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        fixture.now += STEP;
        outputs.push(apply(&mut fixture, &words));
        verify(&fixture.leader).unwrap_or_else(|err| panic!("{}: {err}", case.name));
    }
    outputs
}

/// Applies one input:
/// - `group VOTERS SIZE` starts anew with a group and its target size;
/// - `leave ID` and `join ID` are requests of boxes; 102 is box 2 with an empty disk;
/// - `absent ID`: its box refuses connections and answers nothing; `gone ID`: it answers nothing;
/// - `change` makes the change that is due, `replicate` lets the others acknowledge it;
/// - `crash` loses what the leader knows of requests, as the election of another one does;
/// - `members` returns the members;
/// - `wait MS` lets time pass.
fn apply(fixture: &mut Fixture, words: &[&str]) -> Vec<String> {
    let number = |word: &str| word.parse::<NodeId>().unwrap();
    match *words {
        ["group", voters, size] => *fixture = Fixture::new(number(voters), size.parse().unwrap()),
        ["leave", id] => {
            let req = LeaveRequest { id: number(id), core_size: fixture.size };
            fixture.requests.leave(&req, fixture.now);
        }
        ["join", id] => {
            let id = number(id);
            let req = JoinRequest { id, peer: peer(id), core_size: fixture.size };
            fixture.requests.join(&req, fixture.now);
        }
        ["absent", id] => {
            fixture.absent.insert(number(id));
            fixture.gone.insert(number(id));
        }
        ["gone", id] => {
            fixture.gone.insert(number(id));
        }
        ["crash"] => fixture.requests = CoreRequests::default(),
        ["replicate"] => fixture.replicate(),
        ["wait", ms] => fixture.now += Duration::from_millis(number(ms)),
        ["change"] => return vec![fixture.change()],
        ["members"] => return vec![fixture.members()],
        _ => panic!("unknown input {words:?}"),
    }
    Vec::new()
}
