//! Which upstreams a box reaches on its own links, and which boxes it asks to reach others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::reachability::state::PathChange;
use hatchpitch::reachability::{PathTable, PeerTable, verify};

const MS: Duration = Duration::from_millis(1);

fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

/// Returns a table that lost the link to an upstream, as another box confirmed.
fn with_lost_link(upstream: SocketAddr, now: Instant) -> PathTable {
    let mut paths = PathTable::default();
    paths.record_failure(upstream, now);
    assert_eq!(paths.record_peer_success(upstream, now), Some(PathChange::Broken));
    verify::verify(&paths).unwrap();
    paths
}

#[test]
fn a_failure_that_nobody_confirms_does_not_divert_requests() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_failure(addr(1), now);
    assert!(paths.is_direct(addr(1), now));
    paths.record_peer_failure(addr(1));
    assert!(paths.is_direct(addr(1), now));
    assert!(paths.is_direct(addr(2), now));
    assert_eq!(paths.broken_count(), 0);
}

#[test]
fn a_lost_link_diverts_requests_to_all_upstreams_until_one_link_works() {
    let now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    assert!(!paths.is_direct(addr(1), now));
    assert!(!paths.is_direct(addr(2), now));
    paths.record_success(addr(2), now + MS);
    assert!(!paths.is_direct(addr(1), now + MS));
    assert!(paths.is_direct(addr(2), now + MS));
    assert_eq!(paths.record_success(addr(1), now + MS), Some(PathChange::Restored));
    assert!(paths.is_direct(addr(1), now + MS));
}

#[test]
fn a_known_lost_link_does_not_divert_requests_to_other_upstreams_again() {
    let now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    paths.record_success(addr(2), now + MS);
    paths.record_reset(addr(1), now + 2 * MS);
    assert_eq!(paths.record_peer_success(addr(1), now + 3 * MS), None);
    assert!(paths.is_direct(addr(2), now + 3 * MS));
}

#[test]
fn a_response_on_an_old_connection_does_not_restore_a_lost_link() {
    let now = Instant::now();
    let opened = now - MS;
    let mut paths = with_lost_link(addr(1), now);
    assert_eq!(paths.record_success(addr(1), opened), None);
    assert!(!paths.is_direct(addr(1), now + MS));
    assert!(!paths.is_direct(addr(2), now + MS));
}

#[test]
fn a_box_without_links_is_no_witness_against_upstreams() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.record_failure(addr(1), now);
    assert!(!paths.is_witness(addr(1), now));
    paths.record_success(addr(3), now + MS);
    paths.record_failure(addr(1), now + 2 * MS);
    assert!(paths.is_witness(addr(1), now + 2 * MS));
    assert!(!paths.is_witness(addr(1), now + 3_000 * MS));
    paths.record_failure(addr(2), now + 2 * MS);
    assert!(!paths.is_witness(addr(2), now));
    paths.record_success(addr(3), now + 3 * MS);
    paths.record_failure(addr(2), now + 4 * MS);
    assert!(paths.is_witness(addr(2), now + 4 * MS));
    paths.record_peer_success(addr(2), now + 4 * MS);
    paths.record_failure(addr(3), now + 5 * MS);
    assert!(!paths.is_witness(addr(3), now + 5 * MS));
}

#[test]
fn probes_of_lost_links_do_not_multiply_with_requests() {
    let mut now = Instant::now();
    let mut paths = with_lost_link(addr(1), now);
    let end = now + 1_000 * MS;
    let mut probes = 0;
    while now < end {
        probes += usize::from(paths.take_probe(now));
        now += 10 * MS;
    }
    assert_eq!(probes, 2);
}

#[test]
fn boxes_that_helped_are_asked_first_and_those_that_could_not_last() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_help(addr(1), now);
    peers.record_no_help(addr(2), now);
    let sample = [addr(2), addr(3), addr(1)];
    assert_eq!(peers.order(&sample, 1, now), [addr(1), addr(3), addr(2)]);
    let later = now + 3_000 * MS;
    assert_eq!(peers.order(&sample, 1, later), [addr(1), addr(2), addr(3)]);
}

/// With four of six boxes cut, each request that asked unknown boxes first was sent to three of
/// those, one of which sent it on a link that it did not know to be lost.
#[test]
fn no_request_asks_unknown_boxes_before_one_that_helped() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_help(addr(9), now);
    let sample = [addr(1), addr(2), addr(3), addr(4)];
    for draw in 0..16 {
        assert_eq!(peers.order(&sample, draw, now)[0], addr(9), "draw {draw}");
    }
}

#[test]
fn requests_are_spread_over_the_boxes_that_helped() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    for host in 1..=4 {
        peers.record_help(addr(host), now);
    }
    let first = |draw| peers.order(&[], draw, now)[0];
    let asked: std::collections::BTreeSet<SocketAddr> = (0..4).map(first).collect();
    assert_eq!(asked.len(), 4);
}
