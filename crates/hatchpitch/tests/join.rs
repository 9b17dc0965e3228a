//! Tests when a control box asks to join the replication group.

use std::time::Duration;

use hatchpitch::control::join::should_request_join;
use hatchpitch::replication::{Members, Peer};

fn peer(i: u8) -> Peer {
    let addr = ([10, 0, 0, i], 1).into();
    Peer { name: format!("c{i}"), boxes_addr: addr, operators_addr: addr }
}

#[test]
fn box_asks_to_join_until_it_is_a_voter() {
    let mut members = Members::default();
    members.voters.extend([1, 2, 3].map(|id| (u64::from(id), peer(id))));
    let now = Duration::ZERO;
    assert!(should_request_join(&members, 4, now), "not a member");
    // The leader changed between adding the box as a learner and promoting it.
    members.learners.insert(4, peer(4));
    assert!(should_request_join(&members, 4, now), "a learner has no vote");
    members.learners.clear();
    members.voters.insert(4, peer(4));
    assert!(!should_request_join(&members, 4, now));
}

#[test]
fn voter_asks_to_join_after_a_long_time_without_a_leader() {
    let mut members = Members::default();
    members.voters.insert(1, peer(1));
    assert!(!should_request_join(&members, 1, Duration::from_secs(2)));
    assert!(should_request_join(&members, 1, Duration::from_secs(3)));
}
