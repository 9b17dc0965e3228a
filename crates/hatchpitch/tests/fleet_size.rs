//! What it costs control boxes to tell 300 entry boxes of 3,000 upstreams, a sixth of which leaves
//! and is replaced every 3.3 seconds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hatchpitch::registry::follow::poll_interval;
use hatchpitch::registry::{Detail, Phase, Roster, Table, UpstreamRecord};

const UPSTREAMS: usize = 3_000;
/// Entry boxes.
const FOLLOWERS: usize = 300;
/// Control boxes.
const CONTROL: usize = 6;
/// Upstreams that leave, end and begin in a second.
const CHANGES: usize = 155;
/// Seconds that are looked at.
const SECONDS: usize = 3;
/// Bytes that one control box may send for it in a second: an eighth of a link of 100 Mbit/s.
const BOUND: usize = 1_500_000;
/// Bytes of an answer and its question beside what is told.
const HEADS: usize = 600;

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

/// One follower of one table.
struct Follower {
    detail: Detail,
    /// Questions in a second.
    rate: usize,
    roster: Roster,
}

/// Returns the bytes that a control box sends to its share of the followers in a second of the
/// run, and what each detail cost of it.
fn bytes_a_second(followers: &[(Detail, usize, usize)]) -> (usize, BTreeMap<String, usize>) {
    let start = Instant::now();
    let mut table = Table::new(1, start);
    for n in 0..UPSTREAMS {
        table.announce(record(n, Phase::Serving, 2), start);
    }
    let source = ([10, 0, 0, 1], 1).into();
    // All of one kind ask alike, so one stands for them.
    let mut kinds: Vec<(Follower, usize)> = followers
        .iter()
        .map(|(detail, rate, count)| {
            let follower = Follower { detail: *detail, rate: *rate, roster: Roster::default() };
            (follower, *count)
        })
        .collect();
    let ask = |follower: &mut Follower, table: &Table, now| {
        let (epoch, have) = follower.roster.position(source, follower.detail);
        let answer = table.changes(epoch, have, follower.detail, now);
        let (more, bytes) = (answer.more, rmp_serde::to_vec_named(&answer).unwrap().len() + HEADS);
        follower.roster.apply_answer(source, follower.detail, answer, now).unwrap();
        (more, bytes)
    };
    for (follower, _) in &mut kinds {
        while ask(follower, &table, start).0 {}
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
                let bytes = ask(follower, &table, now).1 * *count;
                total += bytes;
                *by_detail.entry(format!("{:?}", follower.detail)).or_default() += bytes / SECONDS;
            }
        }
    }
    (total / SECONDS, by_detail)
}

#[test]
fn a_control_box_tells_300_boxes_of_3000_upstreams_within_its_link() {
    let each = FOLLOWERS / CONTROL;
    let rate = usize::try_from(1_000 / poll_interval(UPSTREAMS).as_millis()).unwrap();
    // Everything from one control box, departures from another one once a second.
    let followers = [(Detail::Whole, rate, each), (Detail::Departures, 1, each)];
    let (bytes, parts) = bytes_a_second(&followers);
    println!("{bytes} bytes a second: {parts:?}");
    assert!(bytes <= BOUND, "{bytes}: {parts:?}");
    // Everything by field names from each of them, as it was, is far above the bound.
    let (before, _) =
        bytes_a_second(&[(Detail::Named, 50, each), (Detail::Named, 2, each * (CONTROL - 1))]);
    println!("{before} bytes a second as it was");
    assert!(before > 5 * BOUND, "{before}");
}

#[test]
fn a_table_of_3000_upstreams_takes_little_memory() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    for n in 0..UPSTREAMS {
        table.announce(record(n, Phase::Serving, 2), now);
    }
    // A follower that begins is told in parts, so nobody holds a whole table for it.
    let first = table.changes(1, 0, Detail::Whole, now);
    let bytes = rmp_serde::to_vec_named(&first).unwrap().len();
    assert!(first.more && bytes < 64 * 1_024, "{bytes}");
}
