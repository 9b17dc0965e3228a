//! Tests announced upstreams: the order of announcements, leases, and the union at entry boxes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use hatchpitch::registry::follow::{FollowState, preferred_source};
use hatchpitch::registry::table::LEASE;
use hatchpitch::registry::verify::{verify_roster, verify_table};
use hatchpitch::registry::{
    Announced, Detail, FollowAnswer, FollowRequest, Phase, RegistryCell, Roster, Table,
    UpstreamRecord,
};
use hatchpitch_net::{BoxClient, KeyRing, SigningKey};

fn record(id: &str, port: u16, phase: Phase, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        failure_domain: "d".to_owned(),
        slots: 4,
        phase,
        warm_in: Duration::ZERO,
        sequence,
        born: None,
    }
}

fn source(port: u16) -> SocketAddr {
    ([127, 0, 0, 2], port).into()
}

/// Applies the answer of a control box that is followed in full.
fn take(roster: &mut Roster, source: SocketAddr, answer: FollowAnswer, now: Instant) -> bool {
    roster.apply_answer(source, Detail::Whole, answer, now).unwrap()
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.serving().map(|record| record.id.as_str()).collect()
}

#[test]
fn delayed_announcement_does_not_revert_leaving() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    assert_eq!(table.announce(record("a", 1, Phase::Serving, 1), now), Announced::News);
    assert_eq!(table.announce(record("a", 1, Phase::Leaving, 3), now), Announced::News);
    assert_eq!(table.announce(record("a", 1, Phase::Serving, 2), now), Announced::Stale);
    assert_eq!(table.alive().next().unwrap().phase, Phase::Leaving);
    verify_table(&table).unwrap();
}

#[test]
fn incarnation_that_ended_before_its_announcement_stays_ended() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    assert!(table.end("a", now));
    assert!(!table.end("a", now));
    assert_eq!(table.announce(record("a", 1, Phase::Serving, 1), now), Announced::Stale);
    assert_eq!(table.alive().count(), 0);
    verify_table(&table).unwrap();
}

#[test]
fn new_incarnation_at_an_address_ends_the_previous_one() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, Phase::Serving, 1), now);
    table.announce(record("b", 1, Phase::Serving, 1), now);
    let alive: Vec<&str> = table.alive().map(|record| record.id.as_str()).collect();
    assert_eq!(alive, ["b"]);
    let answer = table.changes(1, 1, Detail::Named, now);
    assert_eq!(answer.ended, ["a"]);
    verify_table(&table).unwrap();
}

#[test]
fn delayed_announcement_of_an_unknown_earlier_incarnation_ends_no_other() {
    let now = Instant::now();
    // After a restart, the control box does not know the earlier incarnation.
    let mut table = Table::new(1, now);
    table.announce(record("new", 1, Phase::Serving, 5), now);
    let late = now + Duration::from_millis(1_000);
    assert_eq!(table.announce(record("old", 1, Phase::Serving, 9), late), Announced::Stale);
    let alive: Vec<&str> = table.alive().map(|record| record.id.as_str()).collect();
    assert_eq!(alive, ["new"]);
    verify_table(&table).unwrap();
}

#[test]
fn live_upstream_takes_its_address_back_from_an_earlier_incarnation() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("old", 1, Phase::Serving, 9), now);
    let beats = [(1_200, 5), (2_400, 6)];
    for (ms, sequence) in beats {
        let at = now + Duration::from_millis(ms);
        table.announce(record("new", 1, Phase::Serving, sequence), at);
    }
    let alive: Vec<&str> = table.alive().map(|record| record.id.as_str()).collect();
    assert_eq!(alive, ["new"]);
    assert_eq!(table.changes(1, 1, Detail::Named, now).ended, ["old"]);
}

#[test]
fn entry_box_keeps_the_live_incarnation_in_any_order_of_answers() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    one.announce(record("new", 1, Phase::Serving, 5), now);
    two.announce(record("old", 1, Phase::Serving, 9), now);
    let mut roster = Roster::default();
    take(&mut roster, source(1), one.changes(0, 0, Detail::Whole, now), now);
    take(&mut roster, source(2), two.changes(0, 0, Detail::Whole, now), now);
    assert!(ids(&roster).contains(&"new"));
    let at = now + Duration::from_millis(2_400);
    two.announce(record("new", 1, Phase::Serving, 7), at);
    take(&mut roster, source(2), two.changes(2, 1, Detail::Whole, at), at);
    assert_eq!(ids(&roster), ["new"]);
    verify_roster(&roster).unwrap();
}

#[test]
fn expired_lease_restarts_with_the_next_announcement() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, Phase::Serving, 1), now);
    assert_eq!(table.expire(now + LEASE / 2), Vec::<String>::new());
    assert_eq!(table.expire(now + LEASE), ["a"]);
    assert_eq!(table.changes(1, 1, Detail::Named, now).lapsed, ["a"]);
    let announced = table.announce(record("a", 1, Phase::Serving, 2), now + LEASE);
    assert_eq!(announced, Announced::News);
    assert_eq!(table.changes(1, 2, Detail::Named, now).records.len(), 1);
    verify_table(&table).unwrap();
}

#[test]
fn follower_receives_changes_and_the_whole_table_after_a_restart() {
    let now = Instant::now();
    let mut table = Table::new(7, now);
    table.announce(record("a", 1, Phase::Serving, 1), now);
    table.announce(record("b", 2, Phase::Serving, 1), now);
    let some = table.changes(7, 1, Detail::Named, now);
    assert_eq!((some.records.len(), some.version), (1, 2));
    assert_eq!(table.changes(7, 2, Detail::Named, now).records.len(), 0);
    assert_eq!(table.changes(6, 2, Detail::Named, now).records.len(), 2);
}

#[test]
fn entry_box_keeps_upstreams_reported_by_any_control_box() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    let mut roster = Roster::default();
    one.announce(record("a", 1, Phase::Serving, 1), now);
    two.announce(record("a", 1, Phase::Serving, 1), now);
    two.announce(record("b", 2, Phase::Serving, 1), now);
    assert!(take(&mut roster, source(1), one.changes(0, 0, Detail::Whole, now), now));
    assert!(take(&mut roster, source(2), two.changes(0, 0, Detail::Whole, now), now));
    assert_eq!(ids(&roster), ["a", "b"]);
    // The lease expires at the first box; the second one still receives announcements.
    one.expire(now + LEASE);
    take(&mut roster, source(1), one.changes(1, 1, Detail::Whole, now), now);
    assert_eq!(ids(&roster), ["a", "b"]);
    two.expire(now + LEASE);
    take(&mut roster, source(2), two.changes(2, 2, Detail::Whole, now), now);
    assert_eq!(ids(&roster), Vec::<&str>::new());
    verify_roster(&roster).unwrap();
}

#[test]
fn leaving_holds_although_another_control_box_is_outdated() {
    let now = Instant::now();
    let (mut one, mut two) = (Table::new(1, now), Table::new(2, now));
    let mut roster = Roster::default();
    one.announce(record("a", 1, Phase::Leaving, 5), now);
    two.announce(record("a", 1, Phase::Serving, 4), now);
    take(&mut roster, source(1), one.changes(0, 0, Detail::Whole, now), now);
    take(&mut roster, source(2), two.changes(0, 0, Detail::Whole, now), now);
    assert_eq!(ids(&roster), Vec::<&str>::new());
    assert_eq!(roster.leaving().count(), 1);
    one.end("a", now);
    take(&mut roster, source(1), one.changes(1, 1, Detail::Whole, now), now);
    take(&mut roster, source(2), two.changes(0, 0, Detail::Whole, now), now);
    assert!(roster.get("a").is_none());
    verify_roster(&roster).unwrap();
}

#[test]
fn upstream_known_only_to_a_previous_epoch_is_dropped_once_the_new_table_is_complete() {
    let now = Instant::now();
    let mut table = Table::new(1, now);
    table.announce(record("a", 1, Phase::Serving, 1), now);
    let mut roster = Roster::default();
    take(&mut roster, source(1), table.changes(0, 0, Detail::Whole, now), now);
    let restarted = Table::new(2, now);
    take(&mut roster, source(1), restarted.changes(1, 1, Detail::Whole, now), now);
    assert_eq!(ids(&roster), ["a"], "the table of the new epoch may be incomplete");
    take(&mut roster, source(1), restarted.changes(2, 0, Detail::Whole, now + LEASE), now + LEASE);
    assert_eq!(ids(&roster), Vec::<&str>::new());
}

#[test]
fn renewals_contain_upstreams_announced_here_since_the_last_ones() {
    let now = Instant::now();
    let (mut here, mut there) = (Table::new(1, now), Table::new(2, now));
    here.announce_here(record("a", 1, Phase::Serving, 1), now);
    here.announce(record("b", 2, Phase::Serving, 1), now);
    here.end("c", now);
    let renewals = here.take_renewals(now);
    let named: Vec<&str> = renewals.records.iter().map(|record| record.id.as_str()).collect();
    assert_eq!((named, renewals.ended.len()), (vec!["a"], 1));
    assert!(here.take_renewals(now).records.is_empty());
    // Each heartbeat also renews the lease at the other box.
    for beat in 2..12 {
        let at = now + LEASE / 4 * beat;
        here.announce_here(record("a", 1, Phase::Serving, u64::from(beat)), at);
        for record in here.take_renewals(at).records {
            there.announce(record, at);
        }
        assert!(there.expire(at).is_empty());
        assert_eq!(there.alive().count(), 1);
    }
    assert!(here.take_renewals(now + LEASE * 4).ended.is_empty());
}

#[test]
fn entry_boxes_follow_different_subsets_of_the_control_boxes() {
    let control: Vec<SocketAddr> = (1..=22).map(source).collect();
    let followed = FollowState::new(&control);
    let chosen = followed.candidates("box-1");
    assert_eq!(chosen.len(), 2);
    assert_eq!(followed.candidates("box-1"), chosen);
    assert_ne!(followed.candidates("box-2"), chosen);
    assert_eq!(FollowState::new(&control[..1]).candidates("box-1").len(), 1);
}

#[test]
fn tables_and_rosters_keep_their_invariants_under_random_events() {
    for seed in 0..50_u64 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut tables = [Table::new(1, start), Table::new(2, start)];
            let mut roster = Roster::default();
            for step in 0..40_u32 {
                let now = start + LEASE / 8 * step;
                let at = usize::from(u.int_in_range(0..=1_u8)?);
                let id = u.int_in_range(0..=5_u8)?;
                match u.int_in_range(0..=3_u8)? {
                    0 => {
                        let phase = if u.arbitrary()? { Phase::Serving } else { Phase::Leaving };
                        let port = u.int_in_range(1..=3_u16)?;
                        let sequence = u.int_in_range(0..=9_u64)?;
                        tables[at].announce(record(&format!("u{id}"), port, phase, sequence), now);
                    }
                    1 => {
                        tables[at].end(&format!("u{id}"), now);
                    }
                    2 => {
                        tables[at].expire(now);
                    }
                    _ => {
                        let source = source(u16::try_from(at).unwrap());
                        let details = [Detail::Named, Detail::Whole, Detail::Departures];
                        let detail = *u.choose(&details)?;
                        let (epoch, have) = roster.position(source, detail);
                        let answer = tables[at].changes(epoch, have, detail, now);
                        roster.apply_answer(source, detail, answer, now).unwrap();
                    }
                }
                verify_table(&tables[at]).unwrap();
                verify_roster(&roster).unwrap();
            }
            Ok(())
        })
        .seed(seed << 32 | 2_000)
        .run();
    }
}

/// Number of upstreams in a large table, which is about 1 MB in encoded form.
const UPSTREAMS: u16 = 4_600;
/// Number of boxes that start following it at the same time.
const FOLLOWERS: usize = 60;
/// Maximum number of bytes in the send backlog: 1 MiB and the last table.
const MAX_WAITING: usize = 3 * 1024 * 1024;

#[test]
fn backlog_for_new_followers_is_bounded() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let key = SigningKey::new("k".into(), vec![3; 32]).unwrap();
        let client = BoxClient::new(KeyRing::new(vec![key]).unwrap()).unwrap();
        let cell = RegistryCell::new(1);
        let now = Instant::now();
        for n in 1..=UPSTREAMS {
            let announced = record(&format!("i-{n:010}"), n, Phase::Serving, 1);
            cell.change(|table| table.announce(announced, now));
        }
        let mut req = FollowRequest {
            from: "b".into(),
            epoch: 0,
            have: 0,
            config: 0,
            hold: Duration::ZERO,
            detail: Detail::Named,
            evacuations: 0,
            quarantine: 0,
        };
        let in_force = hatchpitch::config::feed::InForce::default;
        let has_room = || client.backlog().has_room();
        // All answers are built before any of them is sent.
        let held: Vec<_> = (0..FOLLOWERS)
            .filter_map(|_| cell.answer(&req, in_force, has_room).now_or_never())
            .map(|answer| client.respond(&answer.expect("there is room")))
            .collect();
        let waiting = client.backlog().waiting();
        assert!(waiting.bytes <= MAX_WAITING, "{waiting:?}");
        // Followers that had to wait are answered once the other answers are gone.
        drop(held);
        let (mut received, mut more) = (0, true);
        while more {
            let answer = cell.answer(&req, in_force, has_room).await.unwrap();
            (req.epoch, req.have, more) = (answer.epoch, answer.version, answer.more);
            received += answer.records.len();
            assert_eq!(answer.more, received < usize::from(UPSTREAMS));
        }
        assert_eq!(received, usize::from(UPSTREAMS));
    });
}

#[test]
fn entry_boxes_spread_over_the_control_boxes_that_they_follow_in_full() {
    let control = || (1..=5).map(source);
    let mut followers = [0_u32; 6];
    for i in 0..300 {
        let own = format!("entry-{i}");
        let first = preferred_source(&own, control()).unwrap();
        followers[usize::from(first.port())] += 1;
        // Removing the preferred box selects another one; removing another box changes nothing.
        let rest: Vec<SocketAddr> = control().filter(|addr| *addr != first).collect();
        assert_ne!(preferred_source(&own, rest.iter().copied()), Some(first));
        assert_eq!(preferred_source(&own, control().filter(|addr| *addr != rest[0])), Some(first));
    }
    assert!(followers[1..].iter().all(|count| (35..90).contains(count)), "{followers:?}");
    assert_eq!(preferred_source("entry", std::iter::empty()), None);
}
