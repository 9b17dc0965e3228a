//! Tests upstreams that restart under the same id.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hatchpitch::registry::table::LEASE;
use hatchpitch::registry::verify::{verify_roster, verify_table};
use hatchpitch::registry::{
    Announced, Detail, PackedRecords, Phase, RegistryCell, RegistryNews, Roster, Table,
    UpstreamRecord, announced_id, life_name,
};
use serde::{Deserialize, Serialize};

fn record(id: &str, port: u16, born: u64, phase: Phase, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".to_owned(),
        slots: 4,
        phase,
        warm_in: Duration::ZERO,
        sequence,
        born: Some(born),
    }
}

fn source(port: u16) -> SocketAddr {
    ([127, 0, 0, 2], port).into()
}

fn alive(table: &Table) -> Vec<String> {
    table.alive().map(UpstreamRecord::life).collect()
}

fn serving(roster: &Roster) -> Vec<String> {
    roster.serving().map(UpstreamRecord::life).collect()
}

#[test]
fn incarnation_names_contain_the_id() {
    for id in ["a", "a@1", "a@", "@"] {
        for born in [None, Some(0), Some(7)] {
            let life = life_name(id, born);
            assert_eq!(announced_id(&life), id, "{life}");
        }
    }
    assert_ne!(life_name("a", Some(1)), life_name("a@1", None));
    assert_eq!(life_name("a", None), "a", "boxes of earlier versions use the plain id");
}

#[test]
fn leaving_upstream_serves_again_after_a_restart() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Leaving, 9), now);
    assert_eq!(table.announce(record("a", 1, 2_000, Phase::Serving, 1), now), Announced::News);
    assert_eq!(alive(&table), ["a@2000"]);
    assert_eq!(table.alive().next().unwrap().phase, Phase::Serving);
    assert_eq!(table.changes(1, 1, Detail::Whole, now).ended, ["a@1000"]);
    verify_table(&table).unwrap();
}

#[test]
fn announcements_of_an_older_incarnation_do_not_affect_the_newer_one() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    // This control box never learned of the older incarnation.
    table.announce(record("a", 1, 2_000, Phase::Serving, 3), now);
    for late in [
        record("a", 1, 1_000, Phase::Serving, 40),
        record("a", 1, 1_000, Phase::Leaving, 41),
        record("a", 2, 1_000, Phase::Serving, 1),
        record("b", 1, 1_500, Phase::Serving, 1),
    ] {
        assert_eq!(table.announce(late.clone(), now), Announced::Stale, "{late:?}");
    }
    assert!(table.end("a@1000", now), "the end of the older incarnation was unknown");
    assert_eq!(alive(&table), ["a@2000"]);
    // A heartbeat without a birth time comes from a box of an earlier version or is unrelated.
    let mut without_birth = record("a", 1, 0, Phase::Leaving, 50);
    without_birth.born = None;
    assert_eq!(table.announce(without_birth, now), Announced::Stale);
    assert_eq!(alive(&table), ["a@2000"]);
    verify_table(&table).unwrap();
}

#[test]
fn end_by_id_ends_the_current_incarnation_but_no_later_one() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 9), now);
    assert_eq!(table.end_id("a", now), ["a@1000"]);
    assert!(table.end_id("a", now).is_empty(), "a repeated end changes nothing");
    assert_eq!(table.announce(record("a", 1, 1_000, Phase::Leaving, 10), now), Announced::Stale);
    assert_eq!(table.announce(record("a", 1, 2_000, Phase::Serving, 1), now), Announced::News);
    verify_table(&table).unwrap();
}

#[test]
fn delayed_heartbeat_does_not_revive_an_unknown_incarnation_that_ended() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    assert_eq!(table.end_id("a", now), ["a"]);
    assert_eq!(table.announce(record("a", 1, 1_000, Phase::Serving, 12), now), Announced::Stale);
    assert_eq!(table.announce(record("a", 1, 2_000, Phase::Serving, 1), now), Announced::News);
    assert_eq!(alive(&table), ["a@2000"]);
}

#[test]
fn upstream_whose_clock_was_set_back_is_accepted_after_seconds() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 5_000, Phase::Serving, 9), now);
    table.end_id("a", now);
    let born_earlier = |at| record("a", 1, 4_000, Phase::Serving, at);
    assert_eq!(table.announce(born_earlier(1), now + Duration::from_secs(2)), Announced::Stale);
    let later = now + Duration::from_secs(11);
    assert_eq!(table.announce(born_earlier(9), later), Announced::News);
}

#[test]
fn end_reported_by_id_ends_the_incarnation_at_other_control_boxes() {
    let cell = RegistryCell::new(1);
    let now = Instant::now();
    cell.change(|table| table.announce(record("a", 1, 1_000, Phase::Serving, 4), now));
    cell.apply_news(RegistryNews::of_ends(vec!["a".to_owned()]));
    assert_eq!(cell.with(alive), Vec::<String>::new());
    cell.change(|table| table.announce(record("a", 1, 2_000, Phase::Serving, 1), now));
    // The end of the previous incarnation is repeated for some time.
    cell.apply_news(RegistryNews::of_ends(vec!["a@1000".to_owned()]));
    assert_eq!(cell.with(alive), ["a@2000"]);
}

#[test]
fn entry_box_keeps_the_youngest_incarnation_in_any_order_of_answers() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    one.announce(record("a", 1, 2_000, Phase::Serving, 7), now);
    two.announce(record("a", 1, 1_000, Phase::Leaving, 9), now);
    for order in [[1, 2], [2, 1]] {
        let mut roster = Roster::default();
        for at in order {
            let (table, epoch) = if at == 1 { (&one, 1) } else { (&two, 2) };
            let answer = table.changes(epoch, 0, Detail::Whole, now);
            roster.apply_answer(source(at), Detail::Whole, answer, now).unwrap();
            verify_roster(&roster).unwrap();
        }
        assert_eq!(serving(&roster), ["a@2000"]);
        assert!(roster.get("a@1000").is_none(), "the older incarnation must be unknown");
    }
}

#[test]
fn departure_holds_whether_it_arrives_before_or_after_the_record() {
    let now = Instant::now();
    let (mut outdated, mut current) = (Table::new(1, now), Table::new(2, now));
    outdated.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    current.announce(record("a", 1, 1_000, Phase::Leaving, 3), now);
    let departures = || current.changes(2, 0, Detail::Departures, now);
    assert_eq!(departures().leaving, ["a@1000"]);
    assert!(departures().packed.is_none() && departures().records.is_empty());
    let whole = || outdated.changes(1, 0, Detail::Whole, now);
    let mut first = Roster::default();
    first.apply_answer(source(1), Detail::Whole, whole(), now).unwrap();
    first.apply_answer(source(2), Detail::Departures, departures(), now).unwrap();
    let mut last = Roster::default();
    last.apply_answer(source(2), Detail::Departures, departures(), now).unwrap();
    last.apply_answer(source(1), Detail::Whole, whole(), now).unwrap();
    for roster in [first, last] {
        assert_eq!(serving(&roster), Vec::<String>::new());
        assert_eq!(roster.leaving().count(), 1);
    }
}

#[test]
fn follower_with_the_record_receives_only_the_departure() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    let mut roster = Roster::default();
    let first = table.changes(1, 0, Detail::Whole, now);
    let have = first.version;
    roster.apply_answer(source(1), Detail::Whole, first, now).unwrap();
    table.announce(record("a", 1, 1_000, Phase::Leaving, 3), now);
    let answer = table.changes(1, have, Detail::Whole, now);
    assert_eq!(answer.leaving, ["a@1000"]);
    assert!(answer.packed.as_ref().unwrap().records().unwrap().is_empty());
    roster.apply_answer(source(1), Detail::Whole, answer, now).unwrap();
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    // A follower without the record receives all of it.
    let all = table.changes(1, 0, Detail::Whole, now);
    assert_eq!(all.packed.unwrap().records().unwrap().len(), 1);
}

#[test]
fn departures_are_reported_once_each() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    for id in ["a", "b", "c"] {
        table.announce(record(id, u16::from(id.as_bytes()[0]), 1, Phase::Serving, 2), now);
    }
    table.announce(record("a", 97, 1, Phase::Leaving, 3), now);
    let answer = table.changes(1, 0, Detail::Departures, now);
    assert_eq!((answer.leaving, answer.ended.len()), (vec!["a@1".to_owned()], 0));
    // One ends whose departure was reported, one whose departure was not, and one that announced
    // none.
    table.announce(record("b", 98, 1, Phase::Leaving, 3), now);
    for id in ["a", "b", "c"] {
        table.end_id(id, now);
    }
    let answer = table.changes(1, answer.version, Detail::Departures, now);
    assert_eq!((answer.leaving.len(), answer.ended), (0, vec!["b@1".to_owned(), "c@1".to_owned()]));
}

#[test]
fn departure_held_by_a_majority_reaches_the_rest_after_the_acknowledging_box_is_lost() {
    let now = Instant::now();
    let mut tables: Vec<Table> = (0..5).map(|epoch| Table::new(epoch, now)).collect();
    for table in &mut tables {
        table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
        table.take_renewals(now);
    }
    // Boxes 0, 1 and 2 hold the departure. Box 0 acknowledged it and is then lost.
    for table in &mut tables[..3] {
        table.announce(record("a", 1, 1_000, Phase::Leaving, 3), now);
    }
    let later = now + Duration::from_millis(900);
    let renewals = tables[1].take_renewals(later);
    for table in &mut tables[3..] {
        for record in &renewals.records {
            table.announce(record.clone(), later);
        }
        assert_eq!(table.alive().next().unwrap().phase, Phase::Leaving);
    }
    // The departure is repeated for a limited time.
    assert!(tables[1].take_renewals(now + Duration::from_secs(3)).records.is_empty());
}

#[test]
fn upstream_known_only_to_the_previously_followed_control_box_is_dropped() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    one.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    one.announce(record("gone", 2, 1_000, Phase::Serving, 2), now);
    let mut roster = Roster::default();
    let take = |roster: &mut Roster, at: u16, table: &Table, epoch, now| {
        let (known, have) = roster.position(source(at), Detail::Whole);
        let have = if known == epoch { have } else { 0 };
        let answer = table.changes(epoch, have, Detail::Whole, now);
        roster.apply_answer(source(at), Detail::Whole, answer, now).unwrap();
    };
    take(&mut roster, 1, &one, 1, now);
    two.announce(record("a", 1, 1_000, Phase::Serving, 3), now);
    take(&mut roster, 2, &two, 2, now);
    assert_eq!(serving(&roster).len(), 2, "the second table may be incomplete");
    let settled = now + LEASE;
    two.announce(record("a", 1, 1_000, Phase::Serving, 8), settled);
    take(&mut roster, 2, &two, 2, settled);
    assert_eq!(serving(&roster), ["a@1000"]);
    // When it is followed again, the first control box reports its whole table.
    one.announce(record("a", 1, 1_000, Phase::Serving, 9), settled);
    take(&mut roster, 1, &one, 1, settled);
    assert!(serving(&roster).contains(&"a@1000".to_owned()));
    two.expire(settled + LEASE);
    take(&mut roster, 2, &two, 2, settled + LEASE);
    verify_roster(&roster).unwrap();
}

#[test]
fn stalled_or_disconnected_control_box_does_not_remove_live_upstreams() {
    let now = Instant::now();
    let (mut stalled, mut other) = (Table::new(1, now), Table::new(2, now));
    for table in [&mut stalled, &mut other] {
        table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
        table.announce(record("b", 2, 1_000, Phase::Serving, 2), now);
    }
    let mut roster = Roster::default();
    let later = now + LEASE + Duration::from_secs(2);
    for id in ["a", "b"] {
        other.announce(record(id, u16::from(id == "b") + 1, 1_000, Phase::Serving, 8), later);
    }
    roster
        .apply_answer(source(2), Detail::Whole, other.changes(2, 0, Detail::Whole, later), later)
        .unwrap();
    // The first box stalled for longer than a lease and is then followed in full again.
    stalled.on_stall(later);
    assert!(stalled.expire(later).is_empty(), "a stall must not expire leases");
    stalled.end_id("b", later);
    let answer = stalled.changes(1, 0, Detail::Whole, later);
    assert!(!answer.settled);
    roster.apply_answer(source(1), Detail::Whole, answer, later).unwrap();
    assert_eq!(serving(&roster), ["a@1000"]);
    // A disconnected box has expired leases. Its table counts as complete one lease after it
    // reconnects.
    let mut disconnected = Table::new(3, now);
    disconnected.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    disconnected.on_disconnected(later);
    assert_eq!(disconnected.expire(later), ["a@1000"]);
    roster
        .apply_answer(
            source(3),
            Detail::Whole,
            disconnected.changes(3, 0, Detail::Whole, later),
            later,
        )
        .unwrap();
    assert_eq!(serving(&roster), ["a@1000"]);
    let settled = later + LEASE;
    disconnected.announce(record("a", 1, 1_000, Phase::Serving, 9), settled);
    assert!(disconnected.changes(3, 0, Detail::Whole, settled).settled);
    verify_roster(&roster).unwrap();
}

#[test]
fn answer_in_flight_during_a_change_of_authority_does_not_count_as_complete() {
    let now = Instant::now();
    let later = now + LEASE;
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    for table in [&mut one, &mut two] {
        table.announce(record("a", 1, 1_000, Phase::Serving, 9), later);
        table.announce(record("b", 2, 1_000, Phase::Serving, 9), later);
    }
    let mut roster = Roster::default();
    let mut take = |at: u16, answer| {
        roster.apply_answer(source(at), Detail::Whole, answer, later).unwrap();
        serving(&roster).len()
    };
    let first = one.changes(1, 0, Detail::Whole, later);
    let have = first.version;
    assert_eq!(take(1, first), 2);
    // The second answer of the first box reports no change. Before it arrives, another control box
    // becomes the authority.
    let in_flight = one.changes(1, have, Detail::Whole, later);
    assert_eq!(take(2, two.changes(2, 0, Detail::Whole, later)), 2);
    assert_eq!(take(1, in_flight), 2, "the answer does not cover the whole table");
    assert_eq!(
        roster.position(source(1), Detail::Whole),
        (1, 0),
        "the whole table has to be requested"
    );
    verify_roster(&roster).unwrap();
}

#[test]
fn packed_records_round_trip_and_are_much_smaller() {
    let records: Vec<UpstreamRecord> = (0..300)
        .map(|n| UpstreamRecord {
            warm_in: Duration::from_millis(700),
            ..record(&format!("i-{n:010}"), 8_080, 1_796_000_000_000, Phase::Serving, 40)
        })
        .collect();
    let packed = PackedRecords::new(&records);
    assert_eq!(packed.records().unwrap(), records);
    let bytes = |message: Vec<u8>| message.len();
    let (small, large) = (
        bytes(rmp_serde::to_vec_named(&packed).unwrap()),
        bytes(rmp_serde::to_vec_named(&records).unwrap()),
    );
    assert!(small * 5 < large * 2, "{small} of {large}");
}

/// The record format of boxes of earlier versions.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRecord {
    id: String,
    service: String,
    addr: SocketAddr,
    failure_domain: String,
    slots: u64,
    phase: Phase,
    warm_in: Duration,
    sequence: u64,
}

#[test]
fn records_are_compatible_with_earlier_versions() {
    let new = record("a", 1, 1_000, Phase::Serving, 2);
    let bytes = rmp_serde::to_vec_named(&new).unwrap();
    let read: EarlierRecord = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read.id, "a", "the record carries the id, not the incarnation name");
    let back: UpstreamRecord =
        rmp_serde::from_slice(&rmp_serde::to_vec_named(&read).unwrap()).unwrap();
    assert_eq!(back, UpstreamRecord { born: None, ..new });
    // Answers to boxes of earlier versions use field names and ids.
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    table.announce(record("a", 1, 2_000, Phase::Serving, 1), now);
    table.announce(record("b", 2, 1_000, Phase::Serving, 1), now);
    table.end_id("b", now);
    let answer = table.changes(1, 0, Detail::Named, now);
    assert_eq!((answer.records.len(), answer.packed), (1, None));
    assert_eq!(
        answer.ended,
        ["b"],
        "a still has a current incarnation, so its id must not be reported as ended"
    );
}
