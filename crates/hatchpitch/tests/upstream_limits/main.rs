//! Requests that an upstream with a rate limit receives from all boxes together.

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
/// Window over which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which a new limit takes effect, in ms.
const SETTLED_MS: u64 = 500;
const BOXES: usize = 12;

/// Returns the maximum number of requests of all boxes in a [`WINDOW`]: the limit plus a quarter,
/// because boxes see each other's requests late, plus a burst.
fn max_requests(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.25 + 5.0) as usize
}

fn even(per_second: f64, priority: Priority) -> Vec<(f64, Priority)> {
    vec![(per_second / BOXES as f64, priority); BOXES]
}

/// Asserts that no window exceeds [`max_requests`] and that each uses about 80 % of the limit, so
/// that no permits stay unused while requests are refused.
fn assert_limit_kept_and_used(fleet: &Fleet, limit: f64, since: u64, case: &str) {
    let (busiest, idlest) = fleet.window_extremes(WINDOW, since);
    assert!(busiest <= max_requests(limit), "{case}: {busiest}, allowed {}", max_requests(limit));
    let least = limit * WINDOW.as_secs_f64() * 0.8 - 1.0;
    assert!(idlest as f64 >= least, "{case}: {idlest}, expected {least}");
}

#[test]
fn boxes_keep_and_use_a_limit_under_any_distribution_of_requests() {
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
            fleet.run(SECOND, load);
            fleet.limit = Some(limit);
            fleet.run(SECOND * 20, load);
            assert_limit_kept_and_used(
                &fleet,
                limit,
                1_000 + SETTLED_MS + 4_000,
                &format!("{limit}, {name}"),
            );
        }
    }
}

#[test]
fn capacity_follows_requests_that_move_between_boxes() {
    let mut fleet = Fleet::new(BOXES, 7);
    fleet.limit = Some(4.0);
    for at in 0..BOXES {
        let mut loads = even(0.2, 3);
        loads[at].0 = 20.0;
        fleet.run(SECOND * 2, &loads);
    }
    assert_limit_kept_and_used(&fleet, 4.0, SETTLED_MS + 2_000, "moving");
}

#[test]
fn a_limit_changes_and_ends() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 3);
    for limit in [8.0, 2.0, 0.0, 6.5] {
        fleet.limit = Some(limit);
        let since = fleet.ms;
        fleet.run(SECOND * 12, &load);
        // The old limit applies until the first response with the new one.
        let (busiest, _) = fleet.window_extremes(WINDOW, since + 3_000);
        assert!(busiest <= max_requests(limit.max(0.25)), "{limit}: {busiest}");
    }
    fleet.limit = None;
    fleet.run(SECOND * 2, &load);
    let before = fleet.arrivals.len();
    fleet.run(SECOND * 2, &load);
    assert!(fleet.arrivals.len() - before > 60, "all requests are sent again");
    fleet.limit = Some(5.0);
    let since = fleet.ms;
    fleet.run(SECOND * 10, &load);
    assert_limit_kept_and_used(&fleet, 5.0, since + 3_000, "limited again");
}

#[test]
fn urgent_requests_go_first_and_others_are_not_starved() {
    let (urgent, usual) = (7, 2);
    let mut load = even(6.0, urgent);
    load.extend(even(30.0, usual));
    let mut fleet = Fleet::new(BOXES, 11);
    fleet.limit = Some(8.0);
    fleet.run(SECOND * 30, &load);
    let sent = |priority| fleet.arrivals.iter().filter(|a| a.priority == priority).count();
    let (first, rest) = (sent(urgent), sent(usual));
    // 180 urgent requests arrive, and 240 permits are available.
    println!("{first} urgent requests, {rest} others");
    assert!(fleet.window_extremes(WINDOW, SETTLED_MS).0 <= max_requests(8.0));
    assert!(first >= 140, "{first} urgent requests, {rest} others");
    assert!(rest >= 20, "{first} urgent requests, {rest} others");
}

#[test]
fn the_loss_of_a_decider_costs_at_most_its_share() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 5);
    fleet.limit = Some(8.0);
    fleet.run(SECOND * 5, &load);
    fleet.kill(0);
    fleet.run(SECOND * 3, &load);
    for at in 1..BOXES {
        fleet.lose(at, [0]);
    }
    fleet.run(SECOND * 8, &load);
    let (busiest, _) = fleet.window_extremes(WINDOW, SETTLED_MS + 3_000);
    assert!(busiest <= max_requests(8.0), "{busiest}");
    // The next decider grants nearly as much.
    let since = fleet.ms - 6_000;
    assert!(
        fleet.window_extremes(WINDOW, since).1 >= 24,
        "{:?}",
        fleet.window_extremes(WINDOW, since)
    );
    fleet.restart(0);
    fleet.heal();
    fleet.run(SECOND * 8, &load);
    assert!(fleet.window_extremes(WINDOW, SETTLED_MS + 3_000).0 <= max_requests(8.0));
}

#[test]
fn partitioned_boxes_share_one_limit() {
    let load = even(60.0, 3);
    for cut in [1, 4, 6, 11] {
        let mut fleet = Fleet::new(BOXES, cut as u64);
        fleet.limit = Some(8.0);
        fleet.run(SECOND * 5, &load);
        fleet.partition_at(cut);
        fleet.run(SECOND * 3, &load);
        for at in 0..BOXES {
            fleet.lose(at, if at < cut { cut..BOXES } else { 0..cut });
        }
        fleet.run(SECOND * 10, &load);
        fleet.heal();
        fleet.run(SECOND * 6, &load);
        let (busiest, _) = fleet.window_extremes(WINDOW, SETTLED_MS + 3_000);
        assert!(busiest <= max_requests(8.0), "cut at {cut}: {busiest}");
    }
}

#[test]
fn a_suspended_box_neither_ends_nor_exceeds_a_limit() {
    let load = even(40.0, 3);
    for frozen in [0, 6] {
        let mut fleet = Fleet::new(BOXES, 13 + frozen as u64);
        fleet.run(SECOND, &load);
        // Responses from before the limit are still in flight to the box.
        fleet.freeze(frozen, SECOND * 4);
        fleet.limit = Some(6.0);
        fleet.run(SECOND * 10, &load);
        fleet.freeze(frozen, SECOND * 4);
        fleet.run(SECOND * 10, &load);
        let (busiest, _) = fleet.window_extremes(WINDOW, 1_000 + SETTLED_MS + 3_000);
        assert!(busiest <= max_requests(6.0), "box {frozen}: {busiest}");
    }
}

#[test]
fn boxes_that_restart_in_turn_share_one_limit() {
    let load = even(40.0, 3);
    let mut fleet = Fleet::new(BOXES, 17);
    fleet.limit = Some(5.0);
    fleet.run(SECOND * 5, &load);
    for at in 0..BOXES {
        fleet.kill(at);
        fleet.heal();
        fleet.run(SECOND, &load);
        fleet.restart(at);
        fleet.heal();
        fleet.run(SECOND / 2, &load);
    }
    let (busiest, idlest) = fleet.window_extremes(WINDOW, SETTLED_MS + 3_000);
    // A box that starts sends the requests of one round trip before it learns of the limit.
    assert!(busiest <= max_requests(5.0) + 4, "{busiest}");
    assert!(idlest >= 10, "{idlest}");
}

#[test]
fn retry_times_of_refused_requests_are_bounded() {
    let mut fleet = Fleet::new(BOXES, 19);
    fleet.limit = Some(4.0);
    fleet.run(SECOND * 20, &even(40.0, 3));
    let waits = fleet.refused.iter().filter(|(at, ..)| *at > 5_000).map(|(.., wait)| *wait);
    let (longest, count) = (waits.clone().max().unwrap(), waits.clone().count() as u32);
    let mean = waits.sum::<Duration>() / count;
    assert!(longest <= SECOND * 5 && mean <= SECOND * 2, "{longest:?}, mean {mean:?}");
}

#[test]
fn permit_requests_per_box_do_not_grow_with_the_fleet() {
    for (boxes, limit) in
        [(3, 4.0), (12, 4.0), (60, 4.0), (200, 4.0), (200, 30.0), (300, 4.0), (300, 30.0)]
    {
        let mut fleet = Fleet::new(boxes, 23);
        fleet.limit = Some(limit);
        // Each box alone has more requests than the limit of all boxes.
        let load = vec![(limit * 2.0, 3); boxes];
        fleet.run(SECOND * 5, &load);
        fleet.permit_requests = 0;
        let sent = fleet.arrivals.len();
        fleet.run(SECOND * 10, &load);
        let per_second = fleet.permit_requests as f64 / 10.0;
        let used = (fleet.arrivals.len() - sent) as f64 / 10.0;
        println!(
            "{boxes} boxes, limit {limit}: {per_second} permit requests a second, {used} sent"
        );
        assert!(per_second <= limit * 4.0 + boxes as f64, "{boxes} boxes: {per_second}");
        assert!(used >= limit * 0.9, "{boxes} boxes: {used} of {limit}");
    }
}

fn observation(
    start: Instant,
    limit: Option<f64>,
    sent_ms: u64,
    received_ms: u64,
) -> LimitObservation {
    let limit = limit.map(|limit| RateLimit::try_from(limit).unwrap());
    let at = |ms| start + Duration::from_millis(ms);
    LimitObservation { limit, sent: at(sent_ms), received: at(received_ms) }
}

#[test]
fn of_overlapping_observations_the_stricter_one_wins() {
    let start = Instant::now();
    let known = observation(start, Some(4.0), 100, 130);
    assert!(
        observation(start, None, 130, 150).supersedes(&known),
        "sent after the response arrived"
    );
    assert!(
        !observation(start, None, 110, 150).supersedes(&known),
        "sent before the response arrived"
    );
    assert!(!observation(start, None, 10, 4_000).supersedes(&known), "received late");
    assert!(observation(start, Some(2.0), 110, 150).supersedes(&known));
    assert!(!observation(start, Some(9.0), 110, 150).supersedes(&known));
    assert!(!observation(start, Some(2.0), 60, 90).supersedes(&known), "older");
    assert!(
        observation(start, Some(4.0), 110, 150).supersedes(&known),
        "later observation of the same limit"
    );
}

#[test]
fn limit_signals_are_parsed_from_headers() {
    let parse = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("limit", HeaderValue::from_str(value).unwrap());
        LimitSignal::read(&headers, "limit")
    };
    let limit = |per_second| LimitSignal::Limit(RateLimit::try_from(per_second).unwrap());
    for (text, per_second) in [("4", 4.0), (" 3.25 ", 3.25), ("0", 0.0), ("1e2", 100.0)] {
        assert_eq!(parse(text), limit(per_second), "{text}");
    }
    for text in ["", "four", "-1", "NaN", "inf", "4/s"] {
        assert_eq!(parse(text), LimitSignal::Unknown, "{text}");
    }
    assert_eq!(LimitSignal::read(&HeaderMap::new(), "limit"), LimitSignal::NoLimit);
    assert_eq!(LimitSignal::NoLimit.for_refusal(), LimitSignal::Unknown);
    assert_eq!(limit(4.0).for_refusal(), limit(4.0));
}

#[test]
fn permits_taken_in_advance_delay_other_requests() {
    let start = Instant::now();
    let mut bucket = Bucket::empty(4.0, start);
    let taken = (0..20).filter(|_| bucket.take_in_advance(start).is_ok()).count();
    assert_eq!(taken, 4, "the permits of one second");
    assert!(bucket.take(9, start + SECOND).is_err());
    assert!(bucket.take(9, start + SECOND + SECOND / 3).is_ok());
    let mut spare = Bucket::empty(4.0, start);
    assert!(!spare.take_spare(start + SECOND / 4), "reserved for callers");
    assert!(spare.take_spare(start + SECOND) && !spare.take_spare(start + SECOND));
}

#[test]
fn limits_of_hundreds_of_upstreams_are_independent() {
    let start = Instant::now();
    let mut table = LimitTable::default();
    let decider = Decider { addr: ([10, 0, 0, 1], 1).into(), is_own: true, share: 1.0 };
    for number in 0..600 {
        let upstream = format!("u-{number}");
        let limit = (number % 2 == 0).then_some(f64::from(number % 7 + 1));
        let change = table.observe(&upstream, observation(start, limit, 0, 0), start);
        assert_eq!(change.is_some(), limit.is_some());
        table.set_decider(&upstream, decider, start);
    }
    assert_eq!(table.limited(), 300);
    let later = start + SECOND;
    for number in 0..600 {
        let upstream = format!("u-{number}");
        let taken: Vec<Acquired> = (0..10).map(|_| table.take(&upstream, 3, later)).collect();
        let sent =
            taken.iter().filter(|t| matches!(t, Acquired::Unlimited | Acquired::Granted)).count();
        let expected = match number % 2 {
            0 => {
                (f64::from(number % 7 + 1)).min((f64::from(number % 7 + 1) / 2.0).max(2.0)) as usize
            }
            _ => 10,
        };
        assert_eq!(sent, expected, "{upstream}");
    }
    verify(&table).unwrap();
}

#[test]
fn random_operations_keep_the_invariants_of_a_table() {
    arbtest(|u| {
        let start = Instant::now();
        let mut table = LimitTable::default();
        let mut at = 0_u64;
        for _ in 0..u.int_in_range(1..=60)? {
            at += u.int_in_range(0..=900)?;
            let now = start + Duration::from_millis(at);
            match u.int_in_range(0..=7)? {
                0 | 1 => {
                    let limit = u.arbitrary::<Option<u8>>()?.map(|l| f64::from(l) / 8.0);
                    let sent = at.saturating_sub(u.int_in_range(0..=3_000)?);
                    table.observe(UPSTREAM, observation(start, limit, sent, at), now);
                }
                2 => {
                    let share = f64::from(u.int_in_range::<u8>(1..=8)?) / 8.0;
                    let own = u.arbitrary()?;
                    let decider =
                        Decider { addr: ([10, 0, 0, u8::from(own)], 1).into(), is_own: own, share };
                    table.set_decider(UPSTREAM, decider, now);
                }
                3 => {
                    table.take(UPSTREAM, u.int_in_range(0..=9)?, now);
                }
                4 => {
                    table.take_in_advance(UPSTREAM, now);
                    table.take_spare(UPSTREAM, now);
                }
                5 => {
                    table.record_no_answer(UPSTREAM, u.int_in_range(0..=300)?, now);
                }
                _ => {
                    let asks = table.decider_to_ask(UPSTREAM, now).is_some();
                    let admits = table.admits(UPSTREAM, 3, now);
                    let opens_in = table.opens_in(UPSTREAM, 3, now);
                    assert!(admits || !opens_in.is_zero(), "denied without a retry time");
                    assert!(
                        !asks || table.limit(UPSTREAM).is_some(),
                        "permit request without a limit"
                    );
                    if let Some(observed) = table.observed(UPSTREAM) {
                        let aged = AgedObservation::new(observed, now);
                        assert_eq!(aged.to_local(now).limit, observed.limit);
                    }
                }
            }
            verify(&table).unwrap();
        }
        Ok(())
    });
}
