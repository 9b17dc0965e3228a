//! Traffic of a control box that reports 3,000 upstreams to 300 entry boxes, while a sixth of the
//! upstreams is replaced every 3.3 seconds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hatchpitch::registry::follow::poll_interval;
use hatchpitch::registry::{Detail, Phase, Roster, Table, UpstreamRecord};

/// Number of upstreams that serve at a time.
const UPSTREAMS: usize = 3_000;
/// Number of entry boxes.
const FOLLOWERS: usize = 300;
/// Number of control boxes.
const CONTROL: usize = 6;
/// Number of upstreams that leave, end and start per second.
const CHANGES: usize = 155;
/// Duration of the simulation, in seconds.
const SECONDS: usize = 3;
/// Maximum traffic of one control box, in bytes per second: an eighth of a 100 Mbit/s link.
const MAX_BYTES_PER_SECOND: usize = 1_500_000;
/// Size of a request, and of the headers of its answer, in bytes.
const OVERHEAD: usize = 600;

fn record(n: usize, phase: Phase, sequence: u64) -> UpstreamRecord {
    let [high, low] = u16::try_from(n % 60_000).unwrap().to_be_bytes();
    UpstreamRecord {
        id: format!("i-{n:010}"),
        service: "service".to_owned(),
        addr: ([10, 1, high, low], 8_080).into(),
        failure_domain: "domain-a".to_owned(),
        slots: 24,
        phase,
        warm_in: Duration::ZERO,
        sequence,
        born: Some(1_796_000_000_000 + n as u64),
    }
}

/// A follower of one control box's table.
struct Follower {
    detail: Detail,
    /// Requests per second.
    rate: usize,
    roster: Roster,
}

/// Simulates a control box and its followers, given as (detail, requests per second, number of
/// followers). Returns the bytes that it sends per second, in total and by detail.
fn bytes_per_second(followers: &[(Detail, usize, usize)]) -> (usize, BTreeMap<String, usize>) {
    let start = Instant::now();
    let mut table = Table::new(1, start);
    for n in 0..UPSTREAMS {
        table.announce(record(n, Phase::Serving, 2), start);
    }
    let source = ([10, 0, 0, 1], 1).into();
    // All followers of one kind send the same requests, so one is simulated for each kind.
    let mut kinds: Vec<(Follower, usize)> = followers
        .iter()
        .map(|(detail, rate, count)| {
            let follower = Follower { detail: *detail, rate: *rate, roster: Roster::default() };
            (follower, *count)
        })
        .collect();
    let poll = |follower: &mut Follower, table: &Table, now| {
        let (epoch, have) = follower.roster.position(source, follower.detail);
        let answer = table.changes(epoch, have, follower.detail, now);
        let (more, bytes) =
            (answer.more, rmp_serde::to_vec_named(&answer).unwrap().len() + OVERHEAD);
        follower.roster.apply_answer(source, follower.detail, answer, now).unwrap();
        (more, bytes)
    };
    for (follower, _) in &mut kinds {
        while poll(follower, &table, start).0 {}
    }
    let (mut total, mut by_detail) = (0, BTreeMap::new());
    let steps = 100;
    for step in 0..SECONDS * steps {
        let now = start + Duration::from_millis(10) * u32::try_from(step).unwrap();
        let (from, to) = (step * CHANGES / steps, (step + 1) * CHANGES / steps);
        for n in from..to {
            table.announce(record(n, Phase::Leaving, 3), now);
            table.announce(record(UPSTREAMS + n, Phase::Serving, 1), now);
            if let Some(gone) = n.checked_sub(CHANGES) {
                table.end_id(&format!("i-{gone:010}"), now);
            }
        }
        for (follower, count) in &mut kinds {
            let period = steps / follower.rate;
            if step % period == period - 1 {
                let bytes = poll(follower, &table, now).1 * *count;
                total += bytes;
                *by_detail.entry(format!("{:?}", follower.detail)).or_default() += bytes / SECONDS;
            }
        }
    }
    (total / SECONDS, by_detail)
}

#[test]
fn registry_traffic_of_300_boxes_and_3000_upstreams_is_bounded() {
    let each = FOLLOWERS / CONTROL;
    let rate = usize::try_from(1_000 / poll_interval(UPSTREAMS).as_millis()).unwrap();
    // Each entry box gets all news from one control box, and departures from a second one once a
    // second.
    let followers = [(Detail::Whole, rate, each), (Detail::Departures, 1, each)];
    let (bytes, by_detail) = bytes_per_second(&followers);
    println!("{bytes} bytes per second: {by_detail:?}");
    assert!(bytes <= MAX_BYTES_PER_SECOND, "{bytes}: {by_detail:?}");
    // The former protocol, in which every control box sent all news encoded with field names,
    // exceeds the limit by far.
    let (named, _) =
        bytes_per_second(&[(Detail::Named, 50, each), (Detail::Named, 2, each * (CONTROL - 1))]);
    println!("{named} bytes per second with field names");
    assert!(named > 5 * MAX_BYTES_PER_SECOND, "{named}");
}

#[test]
fn a_table_of_3000_upstreams_is_sent_in_parts() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    for n in 0..UPSTREAMS {
        table.announce(record(n, Phase::Serving, 2), now);
    }
    // The initial transfer to a follower is split, so that a complete table is never buffered for
    // it.
    let first = table.changes(1, 0, Detail::Whole, now);
    let bytes = rmp_serde::to_vec_named(&first).unwrap().len();
    assert!(first.more && bytes < 64 * 1_024, "{bytes}");
}
