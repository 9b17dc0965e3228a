//! Upstreams that bear only so many rejections, and how many requests are admitted to them.

use std::time::{Duration, Instant};

use hatchpitch::dispatch::{Decision, PoolScheduler, SlotRequest};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};
use hatchpitch::upstream_signals::brittle::BRITTLE_TTL;
use hatchpitch::upstream_signals::{BrittleUpstreams, RejectionGuard, SharedSignals};

const UPSTREAM: &str = "u";
/// Rejections a second that the upstream bears.
const MAX_REJECTIONS: u32 = 4;
const SLOTS: u64 = 6;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the most rejections in any second, while an upstream has room for `room` requests that
/// take 50 ms each and demand is unlimited, and how many requests it ran.
fn play(mut guard: RejectionGuard, room: u64, share: f64) -> (usize, u64) {
    let start = Instant::now();
    let (mut rejected, mut ends, mut run) = (Vec::new(), Vec::<Instant>::new(), 0);
    for step in 0..8_000 {
        let now = start + ms(step);
        let before = ends.len();
        ends.retain(|end| now < *end);
        (ends.len()..before).for_each(|_| guard.record_success(now));
        let running = ends.len() as u64;
        if running >= SLOTS || !guard.admits(running, MAX_REJECTIONS, share, now) {
            continue;
        }
        if running >= room {
            guard.record_rejection(running, MAX_REJECTIONS, share, now);
            rejected.push(now);
        } else {
            ends.push(now + ms(50));
            run += 1;
        }
    }
    let within =
        |at: &Instant| rejected.iter().filter(|r| *r >= at && **r < *at + ms(1_000)).count();
    (rejected.iter().map(within).max().unwrap_or(0), run)
}

/// Returns a scheduler that owns the upstream, and the signals that it shares.
fn scheduler(now: Instant) -> (PoolScheduler, SharedSignals) {
    let signals = SharedSignals::default();
    let routing = RoutingConfig::default();
    let mut line = PoolScheduler::new(Default::default(), routing).with_signals(signals.clone());
    let spec = RunnerSpec {
        name: UPSTREAM.to_owned(),
        addr: ([127, 0, 0, 1], 9).into(),
        failure_domain: "d".to_owned(),
        slots: SLOTS,
        memory: None,
        copy_rate: f64::INFINITY,
    };
    line.update(now, |table| table.sync([spec]));
    (line, signals)
}

#[test]
fn rejections_stay_within_what_the_upstream_bears_whatever_room_it_has() {
    for room in 0..=SLOTS {
        let (rejections, run) = play(RejectionGuard::default(), room, 1.0);
        assert!(rejections <= MAX_REJECTIONS as usize, "room {room}: {rejections}");
        // Eight seconds of requests that take 50 ms each.
        assert!(run * 10 >= room * 160 * 8, "room {room}: {run} run");
    }
}

#[test]
fn a_new_owner_begins_with_one_request() {
    let now = Instant::now();
    let guard = RejectionGuard::cautious(now);
    assert!(!guard.admits(0, MAX_REJECTIONS, 1.0, now));
    assert!(guard.admits(0, MAX_REJECTIONS, 1.0, now + ms(500)));
    assert!(!guard.admits(1, MAX_REJECTIONS, 1.0, now + ms(500)));
}

#[test]
fn boxes_that_share_an_upstream_share_its_rejections() {
    let (rejections, _) = play(RejectionGuard::default(), 0, 0.1);
    assert_eq!(rejections, 1);
}

#[test]
fn other_boxes_are_notified_of_news_only() {
    let (mut brittle, now) = (BrittleUpstreams::default(), Instant::now());
    assert!(brittle.record(UPSTREAM, 4, BRITTLE_TTL, now));
    assert!(!brittle.record(UPSTREAM, 4, BRITTLE_TTL, now));
    assert!(!brittle.record(UPSTREAM, 4, BRITTLE_TTL, now + ms(1_000)));
    assert!(brittle.record(UPSTREAM, 4, BRITTLE_TTL, now + ms(3_000)));
    assert!(!brittle.record(UPSTREAM, 4, BRITTLE_TTL - ms(3_000), now + ms(3_010)));
    assert!(brittle.record(UPSTREAM, 8, BRITTLE_TTL, now + ms(3_020)));
    assert_eq!(brittle.notices(now + ms(3_020)).len(), 1);
}

#[test]
fn an_upstream_is_no_longer_brittle_once_its_announcement_has_expired() {
    let (mut brittle, now) = (BrittleUpstreams::default(), Instant::now());
    brittle.record(UPSTREAM, 4, BRITTLE_TTL, now);
    let revision = brittle.revision(now);
    assert_eq!(brittle.max_rejections(UPSTREAM, now), Some(4));
    let later = now + BRITTLE_TTL;
    assert_eq!(brittle.max_rejections(UPSTREAM, later), None);
    assert_ne!(brittle.revision(later), revision);
}

#[test]
fn an_owner_admits_less_after_an_upstream_rejected_a_request() {
    let now = Instant::now();
    let (mut line, signals) = scheduler(now);
    let want = |id: u64| SlotRequest { id: id.to_string(), ..SlotRequest::default() };
    for id in 0..4 {
        assert!(matches!(line.decide(&want(id), now), Decision::Run(_)), "{id}");
    }
    let brittle = Some(MAX_REJECTIONS);
    let rejected = RunReport { is_rejected: true, brittle, ..RunReport::RELEASED };
    line.release(UPSTREAM, &want(3), 0, rejected, now);
    assert_eq!(signals.brittle.borrow().max_rejections(UPSTREAM, now), brittle);
    assert!(matches!(line.decide(&want(4), now), Decision::Wait(_)));
    let later = now + ms(2_000);
    let served = RunReport { verdict: Verdict::Succeeded, brittle, ..RunReport::RELEASED };
    line.release(UPSTREAM, &want(2), 0, served, later);
    assert_eq!(line.take_answers().len(), 1);
}

/// Guards against announcements that each report of a run renews, so that they never expire.
#[test]
fn reports_of_runs_do_not_renew_an_announcement() {
    let now = Instant::now();
    let (mut line, signals) = scheduler(now);
    signals.brittle.borrow_mut().record(UPSTREAM, MAX_REJECTIONS, BRITTLE_TTL, now);
    for second in 0..10 {
        let now = now + ms(1_000 * second);
        let want = SlotRequest { id: second.to_string(), ..SlotRequest::default() };
        assert!(matches!(line.decide(&want, now), Decision::Run(_)), "{second}");
        let announced = signals.brittle.borrow().announcement(UPSTREAM, now);
        let report = RunReport {
            verdict: Verdict::Succeeded,
            brittle: announced.map(|(max_rejections, _)| max_rejections),
            brittle_left: announced.map(|(_, left)| left),
            ..RunReport::RELEASED
        };
        line.release(UPSTREAM, &want, 0, report, now);
    }
    assert_eq!(signals.brittle.borrow().announcement(UPSTREAM, now + BRITTLE_TTL), None);
}

/// Guards against boxes that overfill an upstream by their own counts as soon as it stops to say
/// that it is brittle.
#[test]
fn owners_place_for_a_while_after_an_announcement_has_expired() {
    let (mut brittle, now) = (BrittleUpstreams::default(), Instant::now());
    assert!(!brittle.is_placed_by_owner(UPSTREAM, now));
    brittle.record(UPSTREAM, 4, BRITTLE_TTL, now);
    let expired = now + BRITTLE_TTL;
    assert_eq!(brittle.max_rejections(UPSTREAM, expired), None);
    assert!(brittle.is_placed_by_owner(UPSTREAM, expired + ms(30_000)));
    let revision = brittle.revision(expired);
    let later = expired + ms(60_000);
    assert!(!brittle.is_placed_by_owner(UPSTREAM, later));
    assert_ne!(brittle.revision(later), revision, "the placement changes");
}
