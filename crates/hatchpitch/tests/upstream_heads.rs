//! Signals in the heads of answers, and what follows from them: rests, upstreams that leave, and
//! requests that wait for either to end.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::scheduler::{AT_LIMIT, RESTING};
use hatchpitch::dispatch::{Decision, PoolScheduler, SlotRequest};
use hatchpitch::registry::verify::verify_roster;
use hatchpitch::registry::{Detail, FollowAnswer, Phase, Roster, UpstreamRecord};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport};
use hatchpitch::upstream_heads::leavers::HOLDS;
use hatchpitch::upstream_heads::signals::{MAX_REST, UNREADABLE_REST};
use hatchpitch::upstream_heads::{
    HeadNames, HeadSignals, Leavers, RestBook, SharedSignals, verify,
};
use http::{HeaderMap, HeaderValue, StatusCode, header};

const UPSTREAM: &str = "u";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads a head with one header.
fn read(status: u16, name: &'static str, value: &[u8]) -> HeadSignals {
    let names = HeadNames { limit: "limit", leaving: "leaving" };
    let mut headers = HeaderMap::new();
    headers.insert(name, HeaderValue::from_bytes(value).unwrap());
    HeadSignals::read(&names, StatusCode::from_u16(status).unwrap(), &headers)
}

fn rest(status: u16, value: &[u8]) -> Option<Duration> {
    read(status, header::RETRY_AFTER.as_str(), value).rest
}

#[test]
fn a_rest_is_read_from_refusals_only() {
    assert_eq!(rest(503, b"3"), Some(ms(3_000)));
    assert_eq!(rest(429, b"3"), Some(ms(3_000)));
    for status in [200, 301, 421, 500, 504] {
        assert_eq!(rest(status, b"3"), None, "{status}");
    }
}

#[test]
fn fractions_and_damaged_values_of_a_rest_are_bounded() {
    let cases: [(&[u8], Option<Duration>); 14] = [
        (b"0.25", Some(ms(250))),
        (b" 2.5 ", Some(ms(2_500))),
        (b"1e1", Some(ms(10_000))),
        (b"0", None),
        (b"-0", None),
        (b"86400", Some(MAX_REST)),
        (b"1e300", Some(MAX_REST)),
        (b"inf", Some(MAX_REST)),
        (b"", Some(UNREADABLE_REST)),
        (b"-3", Some(UNREADABLE_REST)),
        (b"NaN", Some(UNREADABLE_REST)),
        (b"3 s", Some(UNREADABLE_REST)),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", Some(UNREADABLE_REST)),
        (b"\xff\xfe", Some(UNREADABLE_REST)),
    ];
    for (value, expected) in cases {
        assert_eq!(rest(503, value), expected, "{}", String::from_utf8_lossy(value));
    }
}

#[test]
fn leaving_is_read_from_all_answers() {
    for status in [200, 404, 500, 503] {
        assert!(read(status, "leaving", b"1").leaving, "{status}");
    }
    for value in [&b"0"[..], b"", b"yes", b"\xff"] {
        assert!(!read(200, "leaving", value).leaving);
    }
}

#[test]
fn of_rests_at_one_time_the_one_that_ends_last_counts() {
    let (mut book, now) = (RestBook::default(), Instant::now());
    book.ask(UPSTREAM, ms(3_000), now);
    book.ask(UPSTREAM, ms(500), now + ms(100));
    assert_eq!(book.left(UPSTREAM, now + ms(1_000)), Some(ms(2_000)));
    book.ask(UPSTREAM, ms(4_000), now + ms(1_000));
    assert!(!book.admits(UPSTREAM, now + ms(4_999)));
    assert!(book.admits(UPSTREAM, now + ms(5_000)));
    // A short rest after a long one is a short one.
    book.ask(UPSTREAM, ms(200), now + ms(5_000));
    assert!(book.admits(UPSTREAM, now + ms(5_200)));
    assert!(book.admits("another", now));
}

#[test]
fn after_a_rest_requests_grow_with_answers() {
    let (mut book, now) = (RestBook::default(), Instant::now());
    book.ask(UPSTREAM, ms(1_000), now);
    let back = now + ms(1_000);
    let take_all = |book: &mut RestBook, at| (0..50).filter(|_| book.take(UPSTREAM, at)).count();
    assert_eq!(take_all(&mut book, back), 1);
    assert!(!book.opens_in(UPSTREAM, back).is_zero());
    // An answer to a request of before the rest says nothing.
    book.answered(UPSTREAM, now);
    assert_eq!(take_all(&mut book, back), 0);
    book.answered(UPSTREAM, back);
    assert_eq!(take_all(&mut book, back), 2);
    book.answered(UPSTREAM, back);
    assert_eq!(take_all(&mut book, back), 2);
    book.answered(UPSTREAM, back);
    book.answered(UPSTREAM, back);
    assert_eq!(take_all(&mut book, back), 50);
    verify::verify(&book).unwrap();
}

#[test]
fn an_upstream_that_answers_nothing_after_its_rest_is_tried_again() {
    let (mut book, now) = (RestBook::default(), Instant::now());
    book.ask(UPSTREAM, ms(100), now);
    assert!(book.take(UPSTREAM, now + ms(100)));
    assert!(!book.take(UPSTREAM, now + ms(1_000)));
    assert!(book.take(UPSTREAM, now + ms(1_100)));
    assert!(!book.take(UPSTREAM, now + ms(1_100)));
}

/// Whatever answers come in whatever order, nothing is sent within a rest.
#[test]
fn no_request_is_sent_within_a_rest() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let (mut book, start) = (RestBook::default(), Instant::now());
        let (mut now, mut until, mut sent) = (start, start, Vec::new());
        while !u.is_empty() {
            now += ms(u.int_in_range(0..=400)?);
            match u.int_in_range(0..=2)? {
                0 => {
                    let rest = ms(u.int_in_range(1..=2_000)?);
                    book.ask(UPSTREAM, rest, now);
                    until = until.max(now + rest);
                    sent.clear();
                }
                1 => {
                    let taken = book.take(UPSTREAM, now);
                    assert!(!taken || now >= until, "{:?} before the end", until - now);
                    assert_eq!(book.left(UPSTREAM, now).is_some(), now < until);
                    if taken {
                        sent.push(now);
                    }
                }
                _ => {
                    if let Some(at) = sent.pop() {
                        book.answered(UPSTREAM, at);
                    }
                }
            }
            verify::verify(&book).unwrap();
        }
        Ok(())
    });
}

fn line(runners: &[&str]) -> (PoolScheduler, SharedSignals) {
    line_of(runners, 1)
}

fn line_of(runners: &[&str], slots: u64) -> (PoolScheduler, SharedSignals) {
    let signals = SharedSignals::default();
    let admission = AdmissionConfig::default();
    let mut line =
        PoolScheduler::new(admission, RoutingConfig::default()).with_signals(signals.clone());
    let specs = runners.iter().map(|name| RunnerSpec {
        name: (*name).to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".to_owned(),
        slots,
        memory: None,
        copy_rate: f64::INFINITY,
    });
    let specs: Vec<RunnerSpec> = specs.collect();
    line.update(Instant::now(), |table| table.sync(specs));
    (line, signals)
}

fn want(id: u64) -> SlotRequest {
    SlotRequest {
        id: format!("run-{id}"),
        workspace: "w".to_owned(),
        limit_wait: Some(ms(75)),
        sends_here: true,
        ..SlotRequest::default()
    }
}

#[test]
fn what_waits_in_line_is_not_sent_to_an_upstream_that_begins_to_rest() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    assert!(matches!(line.decide(&want(1), now), Decision::Run(_)));
    assert!(matches!(line.decide(&want(2), now), Decision::Wait(_)));
    signals.rests.borrow_mut().ask("u", ms(3_000), now);
    line.release("u", &want(1), 0, RunReport::RELEASED, now);
    assert!(line.take_answers().is_empty());
    // It has waited for as long as it may, and is told when the upstream wants work again.
    line.tick(now + ms(75));
    let refusal = line.take_answers().remove(0).slot.unwrap_err();
    assert_eq!(refusal.cause, RESTING);
    assert!((ms(2_925)..ms(3_300)).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
}

#[test]
fn requests_that_no_upstream_wants_are_refused_on_arrival() {
    let (mut line, signals) = line(&["u", "v"]);
    let now = Instant::now();
    signals.rests.borrow_mut().ask("u", ms(4_000), now);
    assert!(matches!(line.decide(&want(1), now), Decision::Run(spec) if spec.name == "v"));
    signals.rests.borrow_mut().ask("v", ms(2_000), now);
    let Decision::Refuse(refusal) = line.decide(&want(2), now) else { panic!("not refused") };
    assert_eq!(refusal.cause, RESTING);
    assert!((ms(2_000)..ms(2_300)).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
    assert_ne!(refusal.cause, AT_LIMIT);
}

#[test]
fn callers_that_are_told_the_same_end_of_a_rest_come_back_at_different_times() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    signals.rests.borrow_mut().ask("u", ms(2_000), now);
    let mut ends: Vec<Duration> = (0..20)
        .map(|id| match line.decide(&want(id), now) {
            Decision::Refuse(refusal) => refusal.retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    ends.sort();
    assert!(ends[19] - ends[0] > ms(100), "{ends:?}");
}

/// With no second try left, a request that an upstream turns away again is refused beside others that
/// have room.
#[test]
fn a_request_without_a_second_try_does_not_go_first_after_a_rest() {
    let now = Instant::now();
    for only_try in [false, true] {
        let (mut line, signals) = line_of(&["u", "v"], 4);
        signals.rests.borrow_mut().ask("u", ms(100), now);
        let back = now + ms(100);
        assert!(matches!(line.decide(&want(1), now), Decision::Run(spec) if spec.name == "v"));
        let second = SlotRequest { only_try, ..want(2) };
        let expected = if only_try { "v" } else { "u" };
        let picked = line.decide(&second, back);
        assert!(matches!(&picked, Decision::Run(spec) if spec.name == expected), "{picked:?}");
        // Where nobody else has room it goes there all the same.
        for id in 3..=5 {
            assert!(matches!(
                line.decide(&SlotRequest { only_try, ..want(id) }, back),
                Decision::Run(_)
            ));
        }
    }
}

/// A rest binds the box that was asked for it, not the requests of others that it decides on.
#[test]
fn a_rest_does_not_bind_requests_that_another_box_sends() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    signals.rests.borrow_mut().ask("u", ms(2_000), now);
    let of_other = SlotRequest { sends_here: false, ..want(1) };
    assert!(matches!(line.decide(&of_other, now), Decision::Run(_)));
    // The mark does not travel.
    let bytes = rmp_serde::to_vec_named(&want(2)).unwrap();
    assert!(!rmp_serde::from_slice::<SlotRequest>(&bytes).unwrap().sends_here);
}

/// An owner whose engines all asked the sending box for rest would hold its request for nothing.
#[test]
fn a_request_does_not_wait_where_it_may_not_run() {
    let (mut line, _) = line(&["u", "v"]);
    let now = Instant::now();
    let avoids = SlotRequest { avoid: vec!["u".to_owned(), "v".to_owned()], ..want(1) };
    assert!(line.quote(&avoids, now).is_err());
    assert!(matches!(line.decide(&avoids, now), Decision::Refuse(_)));
    let avoids = SlotRequest { avoid: vec!["u".to_owned()], ..want(1) };
    assert!(matches!(line.decide(&avoids, now), Decision::Run(spec) if spec.name == "v"));
}

#[test]
fn a_leaver_stays_one_whatever_its_announcements_say_and_whoever_forgets_it() {
    let (mut roster, now) = (Roster::default(), Instant::now());
    let source = "127.0.0.1:9".parse().unwrap();
    let announced = |sequence: u64, version| FollowAnswer {
        epoch: 1,
        version,
        records: vec![UpstreamRecord {
            id: "i-1".to_owned(),
            service: "s".to_owned(),
            addr: "127.0.0.1:1".parse().unwrap(),
            failure_domain: "a".to_owned(),
            slots: 1,
            phase: Phase::Serving,
            warm_in: Duration::ZERO,
            sequence,
            born: None,
        }],
        ..FollowAnswer::default()
    };
    roster.take(source, Detail::Whole, announced(1, 1), now).unwrap();
    assert_eq!(roster.serving().count(), 1);
    let before = roster.version();
    roster.said_leaving("i-1");
    assert!(roster.version() > before);
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    // It goes on to announce itself, and is forgotten and named again.
    roster.take(source, Detail::Whole, announced(9, 2), now).unwrap();
    assert_eq!(roster.serving().count(), 0);
    let lapsed =
        FollowAnswer { lapsed: vec!["i-1".to_owned()], records: Vec::new(), ..announced(9, 3) };
    roster.take(source, Detail::Whole, lapsed, now).unwrap();
    roster.take(source, Detail::Whole, announced(10, 4), now).unwrap();
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    verify_roster(&roster).unwrap();
}

#[test]
fn what_an_upstream_that_keeps_its_name_says_of_leaving_holds_for_a_time() {
    let (mut leavers, now) = (Leavers::default(), Instant::now());
    assert!(leavers.note("u", HOLDS, now));
    assert!(!leavers.note("u", HOLDS, now + ms(1_000)));
    assert!(leavers.contains("u", now + HOLDS));
    assert!(!leavers.contains("u", now + HOLDS + ms(1_000)));
    assert!(leavers.note("u", HOLDS, now + HOLDS + ms(1_000)));
}

/// Boxes that pass it on to each other, as others join, would otherwise keep it up for ever.
#[test]
fn that_an_upstream_leaves_does_not_begin_anew_with_each_box_that_hears_of_it() {
    let now = Instant::now();
    let mut told = Leavers::default();
    told.note("u", HOLDS, now);
    for passed in 1..=5 {
        let at = now + HOLDS.mul_f64(0.19) * passed;
        let news = told.news(at).remove(0);
        let mut next = Leavers::default();
        assert!(next.note(&news.upstream, news.left, at));
        told = next;
    }
    assert!(told.contains("u", now + HOLDS.mul_f64(0.99)));
    assert!(!told.contains("u", now + HOLDS));
    assert!(!told.note("v", Duration::ZERO, now));
}
