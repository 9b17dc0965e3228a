//! What an upstream gets that names a limit, from all boxes together.

mod fleet;
mod line;

use std::time::{Duration, Instant};

use arbtest::arbtest;
use fleet::{Fleet, UPSTREAM};
use hatchpitch::ids::Priority;
use hatchpitch::upstream_limits::messages::AgedObservation;
use hatchpitch::upstream_limits::verify::verify;
use hatchpitch::upstream_limits::{
    Acquired, Bucket, Decider, LimitObservation, LimitSignal, LimitTable, RateLimit,
};
use http::{HeaderMap, HeaderValue};

const SECOND: Duration = Duration::from_secs(1);
/// Time over which a limit is counted, and time after which it binds.
const WINDOW: Duration = Duration::from_secs(4);
const SETTLED_MS: u64 = 500;
const BOXES: usize = 12;

/// Returns the most requests that all boxes together may send within [`WINDOW`]: a quarter more
/// than the limit for what they can't know of each other, and a few that were saved up.
fn most(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.25 + 5.0) as usize
}

fn even(per_second: f64, priority: Priority) -> Vec<(f64, Priority)> {
    vec![(per_second / BOXES as f64, priority); BOXES]
}

/// Checks that no window got too many, and none so few that permits lay idle beside refusals.
fn assert_kept_and_used(fleet: &Fleet, limit: f64, since: u64, case: &str) {
    let (busiest, idlest) = fleet.within(WINDOW, since);
    assert!(busiest <= most(limit), "{case}: {busiest}, allowed {}", most(limit));
    let least = limit * WINDOW.as_secs_f64() * 0.8 - 1.0;
    assert!(idlest as f64 >= least, "{case}: {idlest}, expected {least}");
}

#[test]
fn all_boxes_together_keep_a_limit_and_use_it_whoever_has_the_requests() {
    for limit in [0.5_f64, 3.3, 4.0, 30.0, 200.0] {
        let wanted = limit * 3.0 + 6.0;
        let at_one = |at: usize| {
            let mut loads = even(0.0, 3);
            loads[at].0 = wanted.min(900.0);
            loads
        };
        let loads =
            [("even", even(wanted, 3)), ("at the decider", at_one(0)), ("at one", at_one(5))];
        for (seed, (name, load)) in loads.iter().enumerate() {
            let mut fleet = Fleet::new(BOXES, seed as u64);
            fleet.play(SECOND, load);
            fleet.limit = Some(limit);
            fleet.play(SECOND * 20, load);
            assert_kept_and_used(
                &fleet,
                limit,
                1_000 + SETTLED_MS + 4_000,
                &format!("{limit}, {name}"),
            );
        }
    }
}

#[test]
fn shares_follow_requests_that_move_from_box_to_box() {
    let mut fleet = Fleet::new(BOXES, 7);
    fleet.limit = Some(4.0);
    for at in 0..BOXES {
        let mut loads = even(0.2, 3);
        loads[at].0 = 20.0;
        fleet.play(SECOND * 2, &loads);
    }
    assert_kept_and_used(&fleet, 4.0, SETTLED_MS + 2_000, "moving");
}

#[test]
fn a_limit_changes_and_ends() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 3);
    for limit in [8.0, 2.0, 0.0, 6.5] {
        fleet.limit = Some(limit);
        let since = fleet.ms;
        fleet.play(SECOND * 12, &load);
        // Until one answer has come under the new limit, the old one holds.
        let (busiest, _) = fleet.within(WINDOW, since + 3_000);
        assert!(busiest <= most(limit.max(0.25)), "{limit}: {busiest}");
    }
    fleet.limit = None;
    fleet.play(SECOND * 2, &load);
    let before = fleet.arrivals.len();
    fleet.play(SECOND * 2, &load);
    assert!(fleet.arrivals.len() - before > 60, "all are sent again");
    fleet.limit = Some(5.0);
    let since = fleet.ms;
    fleet.play(SECOND * 10, &load);
    assert_kept_and_used(&fleet, 5.0, since + 3_000, "begun again");
}

#[test]
fn the_urgent_go_first_and_others_are_not_starved() {
    let (urgent, usual) = (7, 2);
    let mut load = even(6.0, urgent);
    load.extend(even(30.0, usual));
    let mut fleet = Fleet::new(BOXES, 11);
    fleet.limit = Some(8.0);
    fleet.play(SECOND * 30, &load);
    let sent = |priority| fleet.arrivals.iter().filter(|a| a.priority == priority).count();
    let (first, rest) = (sent(urgent), sent(usual));
    // 180 urgent ones came; 240 permits were there.
    println!("{first} urgent ones, {rest} others");
    assert!(fleet.within(WINDOW, SETTLED_MS).0 <= most(8.0));
    assert!(first >= 140, "{first} urgent ones, {rest} others");
    assert!(rest >= 20, "{first} urgent ones, {rest} others");
}

#[test]
fn a_decider_that_dies_costs_no_more_than_its_part() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 5);
    fleet.limit = Some(8.0);
    fleet.play(SECOND * 5, &load);
    fleet.kill(0);
    fleet.play(SECOND * 3, &load);
    for at in 1..BOXES {
        fleet.lose(at, [0]);
    }
    fleet.play(SECOND * 8, &load);
    let (busiest, _) = fleet.within(WINDOW, SETTLED_MS + 3_000);
    assert!(busiest <= most(8.0), "{busiest}");
    // The next decider gives out nearly as much.
    let since = fleet.ms - 6_000;
    assert!(fleet.within(WINDOW, since).1 >= 24, "{:?}", fleet.within(WINDOW, since));
    fleet.restart(0);
    fleet.heal();
    fleet.play(SECOND * 8, &load);
    assert!(fleet.within(WINDOW, SETTLED_MS + 3_000).0 <= most(8.0));
}

#[test]
fn halves_that_are_cut_from_each_other_share_one_budget() {
    let load = even(60.0, 3);
    for cut in [1, 4, 6, 11] {
        let mut fleet = Fleet::new(BOXES, cut as u64);
        fleet.limit = Some(8.0);
        fleet.play(SECOND * 5, &load);
        fleet.cut_at(cut);
        fleet.play(SECOND * 3, &load);
        for at in 0..BOXES {
            fleet.lose(at, if at < cut { cut..BOXES } else { 0..cut });
        }
        fleet.play(SECOND * 10, &load);
        fleet.heal();
        fleet.play(SECOND * 6, &load);
        let (busiest, _) = fleet.within(WINDOW, SETTLED_MS + 3_000);
        assert!(busiest <= most(8.0), "cut at {cut}: {busiest}");
    }
}

#[test]
fn a_box_that_stood_still_neither_ends_a_limit_nor_adds_to_it() {
    let load = even(40.0, 3);
    for frozen in [0, 6] {
        let mut fleet = Fleet::new(BOXES, 13 + frozen as u64);
        fleet.play(SECOND, &load);
        // Answers of before the limit are still on their way to it.
        fleet.freeze(frozen, SECOND * 4);
        fleet.limit = Some(6.0);
        fleet.play(SECOND * 10, &load);
        fleet.freeze(frozen, SECOND * 4);
        fleet.play(SECOND * 10, &load);
        let (busiest, _) = fleet.within(WINDOW, 1_000 + SETTLED_MS + 3_000);
        assert!(busiest <= most(6.0), "box {frozen}: {busiest}");
    }
}

#[test]
fn boxes_that_start_one_after_the_other_share_one_budget() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 17);
    fleet.limit = Some(5.0);
    fleet.play(SECOND * 5, &load);
    for at in 0..BOXES {
        fleet.kill(at);
        fleet.heal();
        fleet.play(SECOND, &load);
        fleet.restart(at);
        fleet.heal();
        fleet.play(SECOND / 2, &load);
    }
    let (busiest, idlest) = fleet.within(WINDOW, SETTLED_MS + 3_000);
    // Each box that starts sends what comes within one round trip before it is told.
    assert!(busiest <= most(5.0) + 4, "{busiest}");
    assert!(idlest >= 10, "{idlest}");
}

#[test]
fn what_is_refused_may_come_back_when_there_is_room() {
    let mut fleet = Fleet::new(BOXES, 19);
    fleet.limit = Some(4.0);
    fleet.play(SECOND * 20, &even(40.0, 3));
    let waits = fleet.refused.iter().filter(|(at, ..)| *at > 5_000).map(|(.., wait)| *wait);
    let (longest, count) = (waits.clone().max().unwrap(), waits.clone().count() as u32);
    let mean = waits.sum::<Duration>() / count;
    assert!(longest <= SECOND * 5 && mean <= SECOND * 2, "{longest:?}, mean {mean:?}");
}

#[test]
fn each_box_asks_for_permits_about_as_seldom_however_many_there_are() {
    for (boxes, limit) in
        [(3, 4.0), (12, 4.0), (60, 4.0), (200, 4.0), (200, 30.0), (300, 4.0), (300, 30.0)]
    {
        let mut fleet = Fleet::new(boxes, 23);
        fleet.limit = Some(limit);
        // Each box has more requests than all of them may send.
        let load = vec![(limit * 2.0, 3); boxes];
        fleet.play(SECOND * 5, &load);
        fleet.asked = 0;
        let sent = fleet.arrivals.len();
        fleet.play(SECOND * 10, &load);
        let a_second = fleet.asked as f64 / 10.0;
        let used = (fleet.arrivals.len() - sent) as f64 / 10.0;
        println!("{boxes} boxes, limit {limit}: asked {a_second} times a second, {used} sent");
        assert!(a_second <= limit * 4.0 + boxes as f64, "{boxes} boxes: {a_second}");
        assert!(used >= limit * 0.9, "{boxes} boxes: {used} of {limit}");
    }
}

fn heard(start: Instant, limit: Option<f64>, sent_ms: u64, at_ms: u64) -> LimitObservation {
    let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
    let at = |ms| start + Duration::from_millis(ms);
    LimitObservation { limit, sent: at(sent_ms), at: at(at_ms) }
}

#[test]
fn of_answers_that_overlap_the_stricter_one_holds() {
    let start = Instant::now();
    let known = heard(start, Some(4.0), 100, 130);
    assert!(heard(start, None, 130, 150).supersedes(&known), "sent after it was known");
    assert!(!heard(start, None, 110, 150).supersedes(&known), "under way before");
    assert!(!heard(start, None, 10, 4_000).supersedes(&known), "read late");
    assert!(heard(start, Some(2.0), 110, 150).supersedes(&known));
    assert!(!heard(start, Some(9.0), 110, 150).supersedes(&known));
    assert!(!heard(start, Some(2.0), 60, 90).supersedes(&known), "older");
    assert!(heard(start, Some(4.0), 110, 150).supersedes(&known), "later word of the same");
}

#[test]
fn statements_are_read_from_heads() {
    let read = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("limit", HeaderValue::from_str(value).unwrap());
        LimitSignal::read(&headers, "limit")
    };
    let limit = |per_second| LimitSignal::Limit(RateLimit::try_from(per_second).unwrap());
    for (text, per_second) in [("4", 4.0), (" 3.25 ", 3.25), ("0", 0.0), ("1e2", 100.0)] {
        assert_eq!(read(text), limit(per_second), "{text}");
    }
    for text in ["", "four", "-1", "NaN", "inf", "4/s"] {
        assert_eq!(read(text), LimitSignal::Unknown, "{text}");
    }
    assert_eq!(LimitSignal::read(&HeaderMap::new(), "limit"), LimitSignal::NoLimit);
    assert_eq!(LimitSignal::NoLimit.for_refusal(), LimitSignal::Unknown);
    assert_eq!(limit(4.0).for_refusal(), limit(4.0));
}

#[test]
fn what_cannot_be_held_back_takes_permits_in_advance_and_others_wait() {
    let start = Instant::now();
    let mut bucket = Bucket::empty(4.0, start);
    let taken = (0..20).filter(|_| bucket.take_in_advance(start).is_ok()).count();
    assert_eq!(taken, 4, "the permits of one second");
    assert!(bucket.take(9, start + SECOND).is_err());
    assert!(bucket.take(9, start + SECOND + SECOND / 3).is_ok());
    let mut spare = Bucket::empty(4.0, start);
    assert!(!spare.take_spare(start + SECOND / 4), "callers may want it");
    assert!(spare.take_spare(start + SECOND) && !spare.take_spare(start + SECOND));
}

#[test]
fn limits_of_hundreds_of_upstreams_are_kept_apart() {
    let start = Instant::now();
    let mut book = LimitTable::default();
    let decider = Decider { addr: ([10, 0, 0, 1], 1).into(), is_own: true, part: 1.0 };
    for number in 0..600 {
        let upstream = format!("u-{number}");
        let limit = (number % 2 == 0).then_some(f64::from(number % 7 + 1));
        let change = book.hear(&upstream, heard(start, limit, 0, 0), start);
        assert_eq!(change.is_some(), limit.is_some());
        book.set_decider(&upstream, decider, start);
    }
    assert_eq!(book.limited(), 300);
    let later = start + SECOND;
    for number in 0..600 {
        let upstream = format!("u-{number}");
        let taken: Vec<Acquired> = (0..10).map(|_| book.take(&upstream, 3, later)).collect();
        let sent = taken.iter().filter(|t| matches!(t, Acquired::Free | Acquired::Granted)).count();
        let expected = match number % 2 {
            0 => {
                (f64::from(number % 7 + 1)).min((f64::from(number % 7 + 1) / 2.0).max(2.0)) as usize
            }
            _ => 10,
        };
        assert_eq!(sent, expected, "{upstream}");
    }
    verify(&book).unwrap();
}

#[test]
fn random_words_of_boxes_never_break_a_book() {
    arbtest(|u| {
        let start = Instant::now();
        let mut book = LimitTable::default();
        let mut at = 0_u64;
        for _ in 0..u.int_in_range(1..=60)? {
            at += u.int_in_range(0..=900)?;
            let now = start + Duration::from_millis(at);
            match u.int_in_range(0..=7)? {
                0 | 1 => {
                    let limit = u.arbitrary::<Option<u8>>()?.map(|l| f64::from(l) / 8.0);
                    let sent = at.saturating_sub(u.int_in_range(0..=3_000)?);
                    book.hear(UPSTREAM, heard(start, limit, sent, at), now);
                }
                2 => {
                    let part = f64::from(u.int_in_range::<u8>(1..=8)?) / 8.0;
                    let own = u.arbitrary()?;
                    let decider =
                        Decider { addr: ([10, 0, 0, u8::from(own)], 1).into(), is_own: own, part };
                    book.set_decider(UPSTREAM, decider, now);
                }
                3 => {
                    book.take(UPSTREAM, u.int_in_range(0..=9)?, now);
                }
                4 => {
                    book.take_in_advance(UPSTREAM, now);
                    book.take_spare(UPSTREAM, now);
                }
                5 => {
                    book.unanswered(UPSTREAM, u.int_in_range(0..=300)?, now);
                }
                _ => {
                    let asks = book.asks_at(UPSTREAM, now).is_some();
                    let admits = book.admits(UPSTREAM, 3, now);
                    let opens_in = book.opens_in(UPSTREAM, 3, now);
                    assert!(admits || !opens_in.is_zero(), "closed without an end");
                    assert!(!asks || book.limit(UPSTREAM).is_some(), "asked without a limit");
                    if let Some(heard) = book.heard(UPSTREAM) {
                        let ago = AgedObservation::new(heard, now);
                        assert_eq!(ago.at(now).limit, heard.limit);
                    }
                }
            }
            verify(&book).unwrap();
        }
        Ok(())
    });
}
