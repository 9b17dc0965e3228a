//! When a control box asks for a place in the log.

use std::time::Duration;

use hatchpitch::control::join::should_request_join;
use hatchpitch::replication::{Members, Peer};

fn peer(i: u8) -> Peer {
    let addr = ([10, 0, 0, i], 1).into();
    Peer { name: format!("c{i}"), boxes_addr: addr, operators_addr: addr }
}

#[test]
fn a_box_asks_until_it_has_a_vote() {
    let mut members = Members::default();
    members.voters.extend([1, 2, 3].map(|id| (u64::from(id), peer(id))));
    let now = Duration::ZERO;
    assert!(should_request_join(&members, 4, now), "it is not known");
    // The leader lost the lead between the two changes that let a box in.
    members.learners.insert(4, peer(4));
    assert!(should_request_join(&members, 4, now), "it receives the log and does not count");
    members.learners.clear();
    members.voters.insert(4, peer(4));
    assert!(!should_request_join(&members, 4, now));
}

#[test]
fn a_voter_asks_once_it_has_heard_of_no_leader_for_long() {
    let mut members = Members::default();
    members.voters.insert(1, peer(1));
    assert!(!should_request_join(&members, 1, Duration::from_secs(2)));
    assert!(should_request_join(&members, 1, Duration::from_secs(3)));
}
