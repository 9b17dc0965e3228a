//! Prefill backlog of an engine: its rate is learned, and requests beyond a short backlog wait in
//! the line, which orders them by priority.

use std::time::{Duration, Instant};

use hatchpitch::admission::{AdmissionConfig, Gate};
use hatchpitch::dispatch::{Decision, PoolScheduler, Quote, SlotRequest};
use hatchpitch::routing::RoutingConfig;
use hatchpitch::routing::prefill::PrefillBacklog;
use hatchpitch::routing::state::RunnerSpec;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn want(id: u64, priority: u8) -> SlotRequest {
    SlotRequest {
        id: id.to_string(),
        workspace: "w".to_owned(),
        priority,
        kind: "k".to_owned(),
        prompt: 3_000,
        max_tokens: 500,
        ..SlotRequest::default()
    }
}

fn spec() -> RunnerSpec {
    RunnerSpec {
        name: "e".to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: 24,
        memory: None,
        copy_rate: f64::INFINITY,
    }
}

#[test]
fn rate_converges_from_any_initial_rate() {
    for (initial, actual) in [(7_000.0, 14_000.0), (7_000.0, 4_000.0)] {
        let (mut now, mut backlog) = (Instant::now(), PrefillBacklog::at_rate(initial));
        // Prompts arrive faster than they are prefilled, then the engine is idle.
        for round in 0..60_u64 {
            let mut idle_at = now;
            for i in 0..4_u64 {
                let id = (round * 4 + i).to_string();
                backlog.add(id.clone(), 3_000, now);
                idle_at = idle_at.max(now) + Duration::from_secs_f64(3_000.0 / actual);
                backlog.remove(&id, Some(idle_at - now));
                now += ms(100);
            }
            now = idle_at + ms(500);
        }
        let ratio = backlog.rate() / actual;
        assert!((0.85..1.15).contains(&ratio), "{} for {actual}", backlog.rate());
    }
}

#[test]
fn ignores_implausible_times_to_first_token() {
    let (now, mut backlog) = (Instant::now(), PrefillBacklog::at_rate(7_000.0));
    for (id, first) in [("a", Some(ms(0))), ("b", Some(ms(60_000))), ("c", None)] {
        backlog.add(id.to_owned(), 3_000, now);
        backlog.remove(id, first);
    }
    assert!((backlog.rate() - 7_000.0).abs() < 1e-9, "{}", backlog.rate());
    assert!(backlog.seconds(now) > 1.0);
    assert!(backlog.seconds(now + ms(2_000)) <= 0.0);
}

#[test]
fn higher_priority_is_prefilled_before_earlier_arrivals() {
    let now = Instant::now();
    let mut line = PoolScheduler::new(AdmissionConfig::default(), RoutingConfig::default());
    line.update(now, |table| table.sync([spec()]));
    let mut tickets = Vec::new();
    for id in 0..6 {
        match line.decide(&want(id, 1), now) {
            Decision::Wait(ticket) => tickets.push(ticket),
            decision => assert!(matches!(decision, Decision::Run(_)), "{decision:?}"),
        }
    }
    // Two prompts take 0.86 s to prefill, so the third one waits in the line.
    assert_eq!(tickets.len(), 4);
    let Decision::Wait(urgent) = line.decide(&want(9, 5), now) else { panic!() };
    line.tick(now + ms(300));
    let admitted: Vec<_> = line.take_answers().into_iter().map(|answer| answer.ticket).collect();
    assert_eq!(admitted, [urgent]);
}

#[test]
fn copies_do_not_wait_for_prefills() {
    let now = Instant::now();
    let mut line = PoolScheduler::new(AdmissionConfig::default(), RoutingConfig::default());
    line.update(now, |table| table.sync([spec()]));
    while matches!(line.place(&want(0, 1), now), Ok(Some(_))) {}
    assert!(matches!(line.decide(&want(1, 9), now), Decision::Wait(_)));
    let copy = SlotRequest { copied: 3_000, ..want(2, 1) };
    assert!(matches!(line.place(&copy, now), Ok(Some(_))));
}

#[compio::test]
async fn admits_a_request_once_the_backlog_has_drained() {
    let gate = Gate::new(AdmissionConfig::default(), RoutingConfig::default(), Default::default());
    gate.update(|table| table.sync([spec()]));
    let started = Instant::now();
    let mut slots = Vec::new();
    for id in 0..2 {
        slots.push(gate.admit(SlotRequest { prompt: 6_000, ..want(id, 1) }).await.unwrap());
    }
    // If the machine stalled for long, the backlog has already drained.
    if started.elapsed() < ms(500) {
        assert!(matches!(gate.quote(&want(2, 1)), Ok(Quote::Busy(_))));
    }
    slots.push(gate.admit(want(2, 1)).await.unwrap());
    assert_eq!(gate.waiting(), 0);
}
