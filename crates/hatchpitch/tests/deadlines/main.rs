//! Queues of a service whose load goes up and down through what its upstreams can run, simulated
//! with the product's own state of admission, signals and run times.
//!
//! `cargo test -p hatchpitch --test deadlines -- --nocapture` prints the figures.

mod clock;
mod figures;
mod fleet;
mod relay;
mod scenario;
mod sim_box;
mod upstream;

use std::sync::OnceLock;

use clock::{MS, Micros, SECOND};
use figures::{Figures, WindowFigures};
use fleet::Fleet;
use relay::DEADLINE;
use scenario::Scenario;
use upstream::MAX_REJECTIONS;

/// Share of what the upstreams can run that is served in an overload.
const MIN_SERVED: f64 = 0.9;
/// Longest time until a request is refused.
const MAX_REFUSAL_TIME: Micros = 200 * MS;
/// Length of the phases of the large fleet whose upstreams stop to say that they are brittle: one
/// phase of overload follows when all boxes have forgotten it.
const STOPPING_LARGE_PHASE: Micros = 7 * SECOND;

const SMALL: Scenario =
    Scenario { boxes: 12, upstreams: 8, domains: 2, phase: 10 * SECOND, stops: false, seed: 1 };
const LARGE: Scenario =
    Scenario { boxes: 300, upstreams: 200, domains: 5, phase: 5 * SECOND, stops: false, seed: 2 };

fn simulate(scenario: Scenario) -> Figures {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    let figures = Figures::new(&fleet);
    figures.print();
    figures
}

/// Returns the figures of both fleets whose upstreams say throughout that they are brittle.
fn brittle() -> &'static [Figures; 2] {
    static FIGURES: OnceLock<[Figures; 2]> = OnceLock::new();
    FIGURES.get_or_init(|| [SMALL, LARGE].map(simulate))
}

/// Returns the figures of both fleets whose upstreams stop to say so.
fn stopping() -> &'static [Figures; 2] {
    static FIGURES: OnceLock<[Figures; 2]> = OnceLock::new();
    let large = Scenario { phase: STOPPING_LARGE_PHASE, ..LARGE };
    let stops = |scenario| Scenario { stops: true, ..scenario };
    FIGURES.get_or_init(|| [SMALL, large].map(stops).map(simulate))
}

/// Returns the windows at fault.
fn faults(figures: &[Figures], fault: impl Fn(&WindowFigures) -> Option<String>) -> Vec<String> {
    let mut faults = Vec::new();
    for Figures { scenario, windows, .. } in figures {
        for w in windows {
            let (boxes, time) = (scenario.boxes, &w.window.time);
            faults.extend(fault(w).map(|fault| format!("{boxes} boxes, {time:?} µs: {fault}")));
        }
    }
    faults
}

fn idle_capacity(figures: &[Figures]) -> Vec<String> {
    faults(figures, |w| {
        let is_idle = w.is_overload() && (w.served as f64) < w.possible * MIN_SERVED;
        is_idle.then(|| format!("{} of {:.0} possible served", w.served, w.possible))
    })
}

fn long_waits(figures: &[Figures]) -> Vec<String> {
    faults(figures, |w| {
        let is_late = w.is_overload() && w.median_wait >= DEADLINE / 2;
        is_late.then(|| format!("served after {} ms in the median", w.median_wait / MS))
    })
}

fn slow_refusals_on_arrival(figures: &[Figures]) -> Vec<String> {
    faults(figures, |w| {
        let late = w.refused.last().filter(|wait| **wait > MAX_REFUSAL_TIME)?;
        Some(format!("refused on arrival after {} ms", late / MS))
    })
}

fn slow_refusals(figures: &[Figures]) -> Vec<String> {
    faults(figures, |w| {
        let (refusals, time) = (w.refused.len() + w.refused_late.len(), w.refusal_time());
        let (late, is_late) = (w.refused_late.len(), time > MAX_REFUSAL_TIME);
        is_late.then(|| format!("{late} of {refusals} were queued, p99 {} ms", time / MS))
    })
}

fn failures_below_capacity(figures: &[Figures]) -> Vec<String> {
    faults(figures, |w| {
        let failed = w.failed();
        let is_faulty = !w.is_overload() && failed > 0;
        is_faulty.then(|| format!("{failed} not served, {} arrived", w.offered))
    })
}

fn assert_none(faults: &[Vec<String>]) {
    assert!(faults.iter().all(Vec::is_empty), "{faults:#?}");
}

fn assert_rejections_borne(figures: &[Figures]) {
    for figures in figures {
        let Figures { max_rejections, failures: (_, failures), .. } = figures;
        assert!(*max_rejections <= MAX_REJECTIONS as usize, "{max_rejections}");
        assert_eq!(*failures, 0, "failures of upstreams");
    }
}

fn assert_none_is_hopeless(figures: &[Figures]) {
    for Figures { scenario, hopeless, .. } in figures {
        assert_eq!(*hopeless, 0, "{} boxes", scenario.boxes);
    }
}

#[test]
fn brittle_upstreams_idle_while_requests_are_refused() {
    assert_none(&[idle_capacity(brittle())]);
}

#[test]
fn a_queue_at_brittle_upstreams_serves_requests_just_when_their_deadlines_have_passed() {
    assert_none(&[long_waits(brittle())]);
}

#[test]
fn requests_for_brittle_upstreams_wait_for_their_refusals() {
    assert_none(&[slow_refusals_on_arrival(brittle())]);
}

#[test]
fn requests_accepted_in_an_overload_are_refused_at_their_deadlines() {
    assert_none(&[
        slow_refusals(brittle()),
        slow_refusals(stopping()),
        failures_below_capacity(brittle()),
    ]);
}

#[test]
fn brittle_upstreams_reject_more_than_they_bear_as_the_load_changes() {
    assert_rejections_borne(brittle());
}

#[test]
fn requests_without_time_are_sent_to_brittle_upstreams() {
    assert_none_is_hopeless(brittle());
}

#[test]
fn a_queue_stays_at_the_deadlines_once_upstreams_are_no_longer_brittle() {
    assert_none(&[long_waits(stopping())]);
}

#[test]
fn requests_wait_for_their_refusals_once_upstreams_are_no_longer_brittle() {
    assert_none(&[slow_refusals_on_arrival(stopping())]);
}

#[test]
fn requests_are_refused_beside_free_upstreams_that_are_no_longer_brittle() {
    let still_brittle = stopping().iter().filter(|figures| figures.boxes_with_brittle > 0);
    let still_brittle = still_brittle.map(|Figures { scenario, boxes_with_brittle, .. }| {
        format!("{boxes_with_brittle} of {} boxes count one as brittle", scenario.boxes)
    });
    assert_none(&[
        idle_capacity(stopping()),
        failures_below_capacity(stopping()),
        still_brittle.collect(),
    ]);
}

#[test]
fn upstreams_reject_more_than_they_bear_before_they_stop_to_say_so() {
    assert_rejections_borne(stopping());
}

#[test]
fn requests_without_time_are_sent_once_upstreams_are_no_longer_brittle() {
    assert_none_is_hopeless(stopping());
}
