//! Signals in the heads of responses and their effects: backoffs, leaving upstreams, and queued
//! requests.

use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::scheduler::{AT_LIMIT, RESTING};
use hatchpitch::dispatch::{Decision, PoolScheduler, SlotRequest};
use hatchpitch::registry::verify::verify_roster;
use hatchpitch::registry::{Detail, FollowAnswer, Phase, Roster, UpstreamRecord};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport};
use hatchpitch::upstream_signals::leaving::LEAVING_TTL;
use hatchpitch::upstream_signals::signals::{DEFAULT_BACKOFF, MAX_BACKOFF};
use hatchpitch::upstream_signals::{
    BackoffTable, LeavingUpstreams, SharedSignals, SignalHeaders, UpstreamSignals, verify,
};
use http::{HeaderMap, HeaderValue, StatusCode, header};

const UPSTREAM: &str = "u";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Parses a response head with one header.
fn parse(status: u16, name: &'static str, value: &[u8]) -> UpstreamSignals {
    let names = SignalHeaders { limit: "limit", leaving: "leaving", brittle: "brittle" };
    let mut headers = HeaderMap::new();
    headers.insert(name, HeaderValue::from_bytes(value).unwrap());
    UpstreamSignals::read(&names, StatusCode::from_u16(status).unwrap(), &headers)
}

fn backoff(status: u16, value: &[u8]) -> Option<Duration> {
    parse(status, header::RETRY_AFTER.as_str(), value).backoff
}

#[test]
fn only_refusals_carry_a_backoff() {
    assert_eq!(backoff(503, b"3"), Some(ms(3_000)));
    assert_eq!(backoff(429, b"3"), Some(ms(3_000)));
    for status in [200, 301, 421, 500, 504] {
        assert_eq!(backoff(status, b"3"), None, "{status}");
    }
}

#[test]
fn invalid_and_extreme_backoff_values_are_bounded() {
    let cases: [(&[u8], Option<Duration>); 14] = [
        (b"0.25", Some(ms(250))),
        (b" 2.5 ", Some(ms(2_500))),
        (b"1e1", Some(ms(10_000))),
        (b"0", None),
        (b"-0", None),
        (b"86400", Some(MAX_BACKOFF)),
        (b"1e300", Some(MAX_BACKOFF)),
        (b"inf", Some(MAX_BACKOFF)),
        (b"", Some(DEFAULT_BACKOFF)),
        (b"-3", Some(DEFAULT_BACKOFF)),
        (b"NaN", Some(DEFAULT_BACKOFF)),
        (b"3 s", Some(DEFAULT_BACKOFF)),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", Some(DEFAULT_BACKOFF)),
        (b"\xff\xfe", Some(DEFAULT_BACKOFF)),
    ];
    for (value, expected) in cases {
        assert_eq!(backoff(503, value), expected, "{}", String::from_utf8_lossy(value));
    }
}

#[test]
fn responses_with_any_status_can_announce_leaving() {
    for status in [200, 404, 500, 503] {
        assert!(parse(status, "leaving", b"1").leaving, "{status}");
    }
    for value in [&b"0"[..], b"", b"yes", b"\xff"] {
        assert!(!parse(200, "leaving", value).leaving);
    }
}

#[test]
fn of_overlapping_backoffs_the_one_that_ends_last_applies() {
    let (mut table, now) = (BackoffTable::default(), Instant::now());
    table.start(UPSTREAM, ms(3_000), now);
    table.start(UPSTREAM, ms(500), now + ms(100));
    assert_eq!(table.remaining(UPSTREAM, now + ms(1_000)), Some(ms(2_000)));
    table.start(UPSTREAM, ms(4_000), now + ms(1_000));
    assert!(!table.admits(UPSTREAM, now + ms(4_999)));
    assert!(table.admits(UPSTREAM, now + ms(5_000)));
    // A short backoff after the end of a long one stays short.
    table.start(UPSTREAM, ms(200), now + ms(5_000));
    assert!(table.admits(UPSTREAM, now + ms(5_200)));
    assert!(table.admits("another", now));
}

#[test]
fn requests_after_a_backoff_grow_with_responses() {
    let (mut table, now) = (BackoffTable::default(), Instant::now());
    table.start(UPSTREAM, ms(1_000), now);
    let end = now + ms(1_000);
    let take_all =
        |table: &mut BackoffTable, at| (0..50).filter(|_| table.take(UPSTREAM, at)).count();
    assert_eq!(take_all(&mut table, end), 1);
    assert!(!table.opens_in(UPSTREAM, end).is_zero());
    // A response to a request sent before the backoff ended does not count.
    table.record_answer(UPSTREAM, now);
    assert_eq!(take_all(&mut table, end), 0);
    table.record_answer(UPSTREAM, end);
    assert_eq!(take_all(&mut table, end), 2);
    table.record_answer(UPSTREAM, end);
    assert_eq!(take_all(&mut table, end), 2);
    table.record_answer(UPSTREAM, end);
    table.record_answer(UPSTREAM, end);
    assert_eq!(take_all(&mut table, end), 50);
    verify::verify(&table).unwrap();
}

#[test]
fn an_upstream_that_does_not_respond_after_its_backoff_is_probed_again() {
    let (mut table, now) = (BackoffTable::default(), Instant::now());
    table.start(UPSTREAM, ms(100), now);
    assert!(table.take(UPSTREAM, now + ms(100)));
    assert!(!table.take(UPSTREAM, now + ms(1_000)));
    assert!(table.take(UPSTREAM, now + ms(1_100)));
    assert!(!table.take(UPSTREAM, now + ms(1_100)));
}

/// Random sequences of backoffs, requests and responses.
#[test]
fn no_request_is_sent_during_a_backoff() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let (mut table, start) = (BackoffTable::default(), Instant::now());
        let (mut now, mut until, mut sent) = (start, start, Vec::new());
        while !u.is_empty() {
            now += ms(u.int_in_range(0..=400)?);
            match u.int_in_range(0..=2)? {
                0 => {
                    let duration = ms(u.int_in_range(1..=2_000)?);
                    table.start(UPSTREAM, duration, now);
                    until = until.max(now + duration);
                    sent.clear();
                }
                1 => {
                    let taken = table.take(UPSTREAM, now);
                    assert!(!taken || now >= until, "{:?} before the end", until - now);
                    assert_eq!(table.remaining(UPSTREAM, now).is_some(), now < until);
                    if taken {
                        sent.push(now);
                    }
                }
                _ => {
                    if let Some(at) = sent.pop() {
                        table.record_answer(UPSTREAM, at);
                    }
                }
            }
            verify::verify(&table).unwrap();
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
fn a_queued_request_is_not_sent_to_an_upstream_in_backoff() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    assert!(matches!(line.decide(&want(1), now), Decision::Run(_)));
    assert!(matches!(line.decide(&want(2), now), Decision::Wait(_)));
    signals.backoffs.borrow_mut().start("u", ms(3_000), now);
    line.release("u", &want(1), 0, RunReport::RELEASED, now);
    assert!(line.take_answers().is_empty());
    // Its wait limit has passed, and the refusal names the end of the backoff.
    line.tick(now + ms(75));
    let refusal = line.take_answers().remove(0).slot.unwrap_err();
    assert_eq!(refusal.cause, RESTING);
    assert!((ms(2_925)..ms(3_300)).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
}

#[test]
fn requests_are_refused_on_arrival_while_all_upstreams_are_in_backoff() {
    let (mut line, signals) = line(&["u", "v"]);
    let now = Instant::now();
    signals.backoffs.borrow_mut().start("u", ms(4_000), now);
    assert!(matches!(line.decide(&want(1), now), Decision::Run(spec) if spec.name == "v"));
    signals.backoffs.borrow_mut().start("v", ms(2_000), now);
    let Decision::Refuse(refusal) = line.decide(&want(2), now) else { panic!("not refused") };
    assert_eq!(refusal.cause, RESTING);
    assert!((ms(2_000)..ms(2_300)).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
    assert_ne!(refusal.cause, AT_LIMIT);
}

#[test]
fn retry_times_after_the_same_backoff_are_spread() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    signals.backoffs.borrow_mut().start("u", ms(2_000), now);
    let mut ends: Vec<Duration> = (0..20)
        .map(|id| match line.decide(&want(id), now) {
            Decision::Refuse(refusal) => refusal.retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    ends.sort();
    assert!(ends[19] - ends[0] > ms(100), "{ends:?}");
}

/// Guards against the refusal of a request that has no retry left: an upstream in slow start may
/// reject it while others have capacity.
#[test]
fn a_request_without_retries_avoids_an_upstream_in_slow_start() {
    let now = Instant::now();
    for only_try in [false, true] {
        let (mut line, signals) = line_of(&["u", "v"], 4);
        signals.backoffs.borrow_mut().start("u", ms(100), now);
        let end = now + ms(100);
        assert!(matches!(line.decide(&want(1), now), Decision::Run(spec) if spec.name == "v"));
        let second = SlotRequest { only_try, ..want(2) };
        let expected = if only_try { "v" } else { "u" };
        let picked = line.decide(&second, end);
        assert!(matches!(&picked, Decision::Run(spec) if spec.name == expected), "{picked:?}");
        // It still goes there if no other upstream has capacity.
        for id in 3..=5 {
            assert!(matches!(
                line.decide(&SlotRequest { only_try, ..want(id) }, end),
                Decision::Run(_)
            ));
        }
    }
}

/// A backoff applies to the box that received it, not to requests that it schedules for others.
#[test]
fn a_backoff_does_not_apply_to_requests_of_other_boxes() {
    let (mut line, signals) = line(&["u"]);
    let now = Instant::now();
    signals.backoffs.borrow_mut().start("u", ms(2_000), now);
    let other_box = SlotRequest { sends_here: false, ..want(1) };
    assert!(matches!(line.decide(&other_box, now), Decision::Run(_)));
    // `sends_here` is not encoded.
    let bytes = rmp_serde::to_vec_named(&want(2)).unwrap();
    assert!(!rmp_serde::from_slice::<SlotRequest>(&bytes).unwrap().sends_here);
}

/// Guards against a pointless wait at an owner whose engines are all in `avoid`, such as when all
/// of them requested a backoff from the sending box.
#[test]
fn a_request_that_avoids_all_runners_is_refused_at_once() {
    let (mut line, _) = line(&["u", "v"]);
    let now = Instant::now();
    let avoids = SlotRequest { avoid: vec!["u".to_owned(), "v".to_owned()], ..want(1) };
    assert!(line.quote(&avoids, now).is_err());
    assert!(matches!(line.decide(&avoids, now), Decision::Refuse(_)));
    let avoids = SlotRequest { avoid: vec!["u".to_owned()], ..want(1) };
    assert!(matches!(line.decide(&avoids, now), Decision::Run(spec) if spec.name == "v"));
}

#[test]
fn a_leaving_upstream_stays_leaving_after_later_announcements() {
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
    roster.apply_answer(source, Detail::Whole, announced(1, 1), now).unwrap();
    assert_eq!(roster.serving().count(), 1);
    let before = roster.version();
    roster.said_leaving("i-1");
    assert!(roster.version() > before);
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    // It keeps announcing itself, and its record lapses and returns.
    roster.apply_answer(source, Detail::Whole, announced(9, 2), now).unwrap();
    assert_eq!(roster.serving().count(), 0);
    let lapsed =
        FollowAnswer { lapsed: vec!["i-1".to_owned()], records: Vec::new(), ..announced(9, 3) };
    roster.apply_answer(source, Detail::Whole, lapsed, now).unwrap();
    roster.apply_answer(source, Detail::Whole, announced(10, 4), now).unwrap();
    assert_eq!((roster.serving().count(), roster.leaving().count()), (0, 1));
    verify_roster(&roster).unwrap();
}

#[test]
fn a_leaving_announcement_expires() {
    let (mut leaving, now) = (LeavingUpstreams::default(), Instant::now());
    assert!(leaving.record("u", LEAVING_TTL, now));
    assert!(!leaving.record("u", LEAVING_TTL, now + ms(1_000)));
    assert!(leaving.contains("u", now + LEAVING_TTL));
    assert!(!leaving.contains("u", now + LEAVING_TTL + ms(1_000)));
    assert!(leaving.record("u", LEAVING_TTL, now + LEAVING_TTL + ms(1_000)));
}

/// Guards against notices that never expire because boxes forward them to boxes that join.
#[test]
fn forwarding_a_leaving_notice_does_not_extend_it() {
    let now = Instant::now();
    let mut known = LeavingUpstreams::default();
    known.record("u", LEAVING_TTL, now);
    for hop in 1..=5 {
        let at = now + LEAVING_TTL.mul_f64(0.19) * hop;
        let notice = known.notices(at).remove(0);
        let mut next = LeavingUpstreams::default();
        assert!(next.record(&notice.upstream, notice.left, at));
        known = next;
    }
    assert!(known.contains("u", now + LEAVING_TTL.mul_f64(0.99)));
    assert!(!known.contains("u", now + LEAVING_TTL));
    assert!(!known.record("v", Duration::ZERO, now));
}
