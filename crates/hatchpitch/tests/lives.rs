//! Upstreams that start again under the id that they had.

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
fn names_of_lives_hold_the_id() {
    for id in ["a", "a@1", "a@", "@"] {
        for born in [None, Some(0), Some(7)] {
            let life = life_name(id, born);
            assert_eq!(announced_id(&life), id, "{life}");
        }
    }
    assert_ne!(life_name("a", Some(1)), life_name("a@1", None));
    assert_eq!(life_name("a", None), "a", "as boxes of before name it");
}

#[test]
fn an_upstream_that_said_it_leaves_and_is_born_again_serves() {
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
fn nothing_of_an_older_life_touches_the_newer_one() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    // This control box never heard of the older life.
    table.announce(record("a", 1, 2_000, Phase::Serving, 3), now);
    for late in [
        record("a", 1, 1_000, Phase::Serving, 40),
        record("a", 1, 1_000, Phase::Leaving, 41),
        record("a", 2, 1_000, Phase::Serving, 1),
        record("b", 1, 1_500, Phase::Serving, 1),
    ] {
        assert_eq!(table.announce(late.clone(), now), Announced::Stale, "{late:?}");
    }
    assert!(table.end("a@1000", now), "its end may still be news");
    assert_eq!(alive(&table), ["a@2000"]);
    // A heartbeat that does not tell a birth comes from a box of before, or from nobody we know.
    let mut untold = record("a", 1, 0, Phase::Leaving, 50);
    untold.born = None;
    assert_eq!(table.announce(untold, now), Announced::Stale);
    assert_eq!(alive(&table), ["a@2000"]);
    verify_table(&table).unwrap();
}

#[test]
fn an_end_of_which_only_the_id_is_told_ends_the_living_life_and_no_later_one() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 9), now);
    assert_eq!(table.end_id("a", now), ["a@1000"]);
    assert!(table.end_id("a", now).is_empty(), "it is told again");
    assert_eq!(table.announce(record("a", 1, 1_000, Phase::Leaving, 10), now), Announced::Stale);
    assert_eq!(table.announce(record("a", 1, 2_000, Phase::Serving, 1), now), Announced::News);
    verify_table(&table).unwrap();
}

#[test]
fn a_late_heartbeat_does_not_revive_a_life_that_ended_unheard_of() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    assert_eq!(table.end_id("a", now), ["a"]);
    assert_eq!(table.announce(record("a", 1, 1_000, Phase::Serving, 12), now), Announced::Stale);
    assert_eq!(table.announce(record("a", 1, 2_000, Phase::Serving, 1), now), Announced::News);
    assert_eq!(alive(&table), ["a@2000"]);
}

#[test]
fn a_clock_that_was_set_back_keeps_an_upstream_away_for_seconds_only() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 5_000, Phase::Serving, 9), now);
    table.end_id("a", now);
    let born_before = |at| record("a", 1, 4_000, Phase::Serving, at);
    assert_eq!(table.announce(born_before(1), now + Duration::from_secs(2)), Announced::Stale);
    let later = now + Duration::from_secs(11);
    assert_eq!(table.announce(born_before(9), later), Announced::News);
}

#[test]
fn other_control_boxes_end_the_life_that_one_of_them_did_not_know() {
    let cell = RegistryCell::new(1);
    let now = Instant::now();
    cell.change(|table| table.announce(record("a", 1, 1_000, Phase::Serving, 4), now));
    cell.take(RegistryNews::of_ends(vec!["a".to_owned()]));
    assert_eq!(cell.with(alive), Vec::<String>::new());
    cell.change(|table| table.announce(record("a", 1, 2_000, Phase::Serving, 1), now));
    // The end of the former life is passed on for a while.
    cell.take(RegistryNews::of_ends(vec!["a@1000".to_owned()]));
    assert_eq!(cell.with(alive), ["a@2000"]);
}

#[test]
fn an_entry_box_keeps_the_youngest_life_whoever_tells_of_it_last() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    one.announce(record("a", 1, 2_000, Phase::Serving, 7), now);
    two.announce(record("a", 1, 1_000, Phase::Leaving, 9), now);
    for order in [[1, 2], [2, 1]] {
        let mut roster = Roster::default();
        for at in order {
            let (table, epoch) = if at == 1 { (&one, 1) } else { (&two, 2) };
            let answer = table.changes(epoch, 0, Detail::Whole, now);
            roster.take(source(at), Detail::Whole, answer, now).unwrap();
            verify_roster(&roster).unwrap();
        }
        assert_eq!(serving(&roster), ["a@2000"]);
        assert!(roster.get("a@1000").is_none(), "what ran there is void");
    }
}

#[test]
fn departures_hold_before_and_after_the_record_itself_is_told() {
    let now = Instant::now();
    let (mut behind, mut told) = (Table::new(1, now), Table::new(2, now));
    behind.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    told.announce(record("a", 1, 1_000, Phase::Leaving, 3), now);
    let departures = || told.changes(2, 0, Detail::Departures, now);
    assert_eq!(departures().leaving, ["a@1000"]);
    assert!(departures().packed.is_none() && departures().records.is_empty());
    let whole = || behind.changes(1, 0, Detail::Whole, now);
    let mut first = Roster::default();
    first.take(source(1), Detail::Whole, whole(), now).unwrap();
    first.take(source(2), Detail::Departures, departures(), now).unwrap();
    let mut last = Roster::default();
    last.take(source(2), Detail::Departures, departures(), now).unwrap();
    last.take(source(1), Detail::Whole, whole(), now).unwrap();
    for roster in [first, last] {
        assert_eq!(serving(&roster), Vec::<String>::new());
        assert_eq!(roster.leaving().count(), 1);
    }
}

#[test]
fn who_knows_an_upstream_only_hears_that_it_leaves() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    let mut roster = Roster::default();
    let first = table.changes(1, 0, Detail::Whole, now);
    let have = first.version;
    roster.take(source(1), Detail::Whole, first, now).unwrap();
    table.announce(record("a", 1, 1_000, Phase::Leaving, 3), now);
    let answer = table.changes(1, have, Detail::Whole, now);
    assert_eq!(answer.leaving, ["a@1000"]);
    assert!(answer.packed.as_ref().unwrap().records().unwrap().is_empty());
    roster.take(source(1), Detail::Whole, answer, now).unwrap();
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    // Whoever does not know it hears everything.
    let all = table.changes(1, 0, Detail::Whole, now);
    assert_eq!(all.packed.unwrap().records().unwrap().len(), 1);
}

#[test]
fn who_asks_for_departures_hears_once_of_each() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    for id in ["a", "b", "c"] {
        table.announce(record(id, u16::from(id.as_bytes()[0]), 1, Phase::Serving, 2), now);
    }
    table.announce(record("a", 97, 1, Phase::Leaving, 3), now);
    let answer = table.changes(1, 0, Detail::Departures, now);
    assert_eq!((answer.leaving, answer.ended.len()), (vec!["a@1".to_owned()], 0));
    // One ends that was told to leave, one that left unheard of, one without a word.
    table.announce(record("b", 98, 1, Phase::Leaving, 3), now);
    for id in ["a", "b", "c"] {
        table.end_id(id, now);
    }
    let answer = table.changes(1, answer.version, Detail::Departures, now);
    assert_eq!((answer.leaving.len(), answer.ended), (0, vec!["b@1".to_owned(), "c@1".to_owned()]));
}

#[test]
fn a_leaving_that_a_majority_holds_reaches_the_others_although_its_witness_is_gone() {
    let now = Instant::now();
    let mut tables: Vec<Table> = (0..5).map(|epoch| Table::new(epoch, now)).collect();
    for table in &mut tables {
        table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
        table.take_renewals(now);
    }
    // Box 0 acknowledged it, 1 and 2 hold it, and box 0 is gone before it says more.
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
    // It is passed on for a while, not for ever.
    assert!(tables[1].take_renewals(now + Duration::from_secs(3)).records.is_empty());
}

#[test]
fn when_another_control_box_is_followed_nobody_stays_for_the_word_of_the_former_one() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    one.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    one.announce(record("gone", 2, 1_000, Phase::Serving, 2), now);
    let mut roster = Roster::default();
    let take = |roster: &mut Roster, at: u16, table: &Table, epoch, now| {
        let (known, have) = roster.position(source(at), Detail::Whole);
        let have = if known == epoch { have } else { 0 };
        let answer = table.changes(epoch, have, Detail::Whole, now);
        roster.take(source(at), Detail::Whole, answer, now).unwrap();
    };
    take(&mut roster, 1, &one, 1, now);
    two.announce(record("a", 1, 1_000, Phase::Serving, 3), now);
    take(&mut roster, 2, &two, 2, now);
    assert_eq!(serving(&roster).len(), 2, "the second one may not have heard of all yet");
    let settled = now + LEASE;
    two.announce(record("a", 1, 1_000, Phase::Serving, 8), settled);
    take(&mut roster, 2, &two, 2, settled);
    assert_eq!(serving(&roster), ["a@1000"]);
    // Followed again, the first one tells all that it has.
    one.announce(record("a", 1, 1_000, Phase::Serving, 9), settled);
    take(&mut roster, 1, &one, 1, settled);
    assert!(serving(&roster).contains(&"a@1000".to_owned()));
    two.expire(settled + LEASE);
    take(&mut roster, 2, &two, 2, settled + LEASE);
    verify_roster(&roster).unwrap();
}

#[test]
fn a_control_box_that_stood_still_or_was_cut_off_takes_nobody_from_an_entry_box() {
    let now = Instant::now();
    let (mut woken, mut other) = (Table::new(1, now), Table::new(2, now));
    for table in [&mut woken, &mut other] {
        table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
        table.announce(record("b", 2, 1_000, Phase::Serving, 2), now);
    }
    let mut roster = Roster::default();
    let later = now + LEASE + Duration::from_secs(2);
    for id in ["a", "b"] {
        other.announce(record(id, u16::from(id == "b") + 1, 1_000, Phase::Serving, 8), later);
    }
    roster
        .take(source(2), Detail::Whole, other.changes(2, 0, Detail::Whole, later), later)
        .unwrap();
    // It stood still for longer than a lease, and is followed for everything again.
    woken.stood_still(later);
    assert!(woken.expire(later).is_empty(), "no lease ran out because it was away");
    woken.end_id("b", later);
    let answer = woken.changes(1, 0, Detail::Whole, later);
    assert!(!answer.settled);
    roster.take(source(1), Detail::Whole, answer, later).unwrap();
    assert_eq!(serving(&roster), ["a@1000"]);
    // One that was cut off has let leases run out, and is believed a lease after it is back.
    let mut cut = Table::new(3, now);
    cut.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    cut.was_out_of_touch(later);
    assert_eq!(cut.expire(later), ["a@1000"]);
    roster.take(source(3), Detail::Whole, cut.changes(3, 0, Detail::Whole, later), later).unwrap();
    assert_eq!(serving(&roster), ["a@1000"]);
    let settled = later + LEASE;
    cut.announce(record("a", 1, 1_000, Phase::Serving, 9), settled);
    assert!(cut.changes(3, 0, Detail::Whole, settled).settled);
    verify_roster(&roster).unwrap();
}

#[test]
fn an_answer_that_was_under_way_when_another_box_was_believed_stands_for_no_whole_table() {
    let now = Instant::now();
    let later = now + LEASE;
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    for table in [&mut one, &mut two] {
        table.announce(record("a", 1, 1_000, Phase::Serving, 9), later);
        table.announce(record("b", 2, 1_000, Phase::Serving, 9), later);
    }
    let mut roster = Roster::default();
    let mut take = |at: u16, answer| {
        roster.take(source(at), Detail::Whole, answer, later).unwrap();
        serving(&roster).len()
    };
    let first = one.changes(1, 0, Detail::Whole, later);
    let have = first.version;
    assert_eq!(take(1, first), 2);
    // Asked again, the first one has nothing new; before its answer comes, another one is asked.
    let under_way = one.changes(1, have, Detail::Whole, later);
    assert_eq!(take(2, two.changes(2, 0, Detail::Whole, later)), 2);
    assert_eq!(take(1, under_way), 2, "it does not tell of all that it has");
    assert_eq!(roster.position(source(1), Detail::Whole), (1, 0), "which is to be asked for");
    verify_roster(&roster).unwrap();
}

#[test]
fn packed_records_are_the_same_and_a_third_of_the_size() {
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

/// A record as boxes of before know it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RecordOfBefore {
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
fn boxes_of_before_and_of_now_read_each_others_records() {
    let new = record("a", 1, 1_000, Phase::Serving, 2);
    let bytes = rmp_serde::to_vec_named(&new).unwrap();
    let read: RecordOfBefore = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read.id, "a", "the id is what upstreams expect to hear");
    let back: UpstreamRecord =
        rmp_serde::from_slice(&rmp_serde::to_vec_named(&read).unwrap()).unwrap();
    assert_eq!(back, UpstreamRecord { born: None, ..new });
    // What a box of before asks for is told by field names and ids.
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, 1_000, Phase::Serving, 2), now);
    table.announce(record("a", 1, 2_000, Phase::Serving, 1), now);
    table.announce(record("b", 2, 1_000, Phase::Serving, 1), now);
    table.end_id("b", now);
    let answer = table.changes(1, 0, Detail::Named, now);
    assert_eq!((answer.records.len(), answer.packed), (1, None));
    assert_eq!(answer.ended, ["b"], "it would take the end of one life of a for that of both");
}
