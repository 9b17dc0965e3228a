//! Engines of different speeds that slow down for moments and are replaced every few seconds:
//! placement by the longest pause of streams beside placement by load.
//!
//! Engines that are replaced finish their runs here, while the product moves them.

use hatchpitch::admission::Pick;

use crate::fleet::{Fleet, MAX_GAP_MS, Policy, Request, RequestResult};
use crate::loads::{Load, rolling_replacements};
use crate::{AFTER_MS, DOMAINS, ENGINES, MEMORY, in_time};

/// Relative speeds of the engines: a quarter is less than half as fast as the others.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
/// Output above which a generation is a long stream, in tokens.
const LONG: u64 = 100;

/// Figures of one replay.
#[derive(Debug)]
struct Figures {
    long: usize,
    /// Long streams that paused for too long between two events.
    paused: usize,
    /// Long streams that were late: the first event was, they paused, or they did not complete.
    late_long: usize,
    short: usize,
    /// Short streams whose first event was late or that did not complete.
    late_short: usize,
}

fn figures(load: &[Request], results: &[RequestResult]) -> Figures {
    let count = |keep: &dyn Fn(&Request, &RequestResult) -> bool| {
        load.iter().zip(results).filter(|(req, result)| keep(req, result)).count()
    };
    let is_long = |req: &Request| req.output > LONG;
    let paused = |result: &RequestResult| result.longest_gap_ms > MAX_GAP_MS;
    let late = |req: &Request, result: &RequestResult| !result.completed || !in_time(req, result);
    Figures {
        long: count(&|req, _| is_long(req)),
        paused: count(&|req, result| is_long(req) && paused(result)),
        late_long: count(&|req, result| is_long(req) && (late(req, result) || paused(result))),
        short: count(&|req, _| !is_long(req)),
        late_short: count(&|req, result| !is_long(req) && late(req, result)),
    }
}

/// A load, and the fleet that serves it.
#[derive(Debug, Clone, Copy)]
struct Replay {
    boxes: usize,
    engines: usize,
    length_ms: u64,
    seed: u64,
    /// Arrival rate relative to the standard rate for so many engines.
    rate: f64,
    /// Whether engines differ in speed and slow down for moments.
    differs: bool,
}

impl Replay {
    fn run(self, pick: Pick) -> Figures {
        let Self { boxes, engines, length_ms, seed, rate, differs } = self;
        let mut load = Load::new(seed, length_ms);
        load.rate = rate * engines as f64 / ENGINES as f64;
        let load = load.requests();
        let speeds = if differs { &SPEEDS[..] } else { &[1.0] };
        let mut fleet = Fleet::new(Policy::Sharded, DOMAINS, engines, speeds, MEMORY);
        for (i, engine) in fleet.engines.iter_mut().enumerate().filter(|_| differs) {
            engine.slow_phase = Some((i * 37 % 600) as f64);
        }
        let mut fleet = fleet.with_pick(pick, boxes);
        let events = rolling_replacements(length_ms, engines);
        let results = fleet.simulate(&load, &events, length_ms + AFTER_MS);
        let figures = figures(&load, &results);
        println!("{boxes} boxes, {engines} engines, seed {seed}, {pick:?}: {figures:?}");
        figures
    }

    /// Checks that placement by objective has at most three quarters as many long streams that
    /// pause for too long, and at most 5 in 100 of all short ones more that are late.
    fn check(self) {
        let (least, objective) = (self.run(Pick::LeastLoaded), self.run(Pick::Objective));
        assert!(least.paused * 20 > least.long, "the load shows nothing: {least:?}");
        assert!(objective.paused * 4 <= least.paused * 3, "{objective:?} {least:?}");
        assert!(objective.late_long < least.late_long, "{objective:?} {least:?}");
        let more_late = objective.late_short.saturating_sub(least.late_short);
        assert!(more_late * 100 <= least.short * 5, "{objective:?} {least:?}");
    }
}

const AT_12: Replay =
    Replay { boxes: 12, engines: 60, length_ms: 20_000, seed: 21, rate: 1.2, differs: true };

#[test]
fn long_streams_do_not_pause_for_too_long_beside_slow_engines_at_12_boxes() {
    [21, 22].into_iter().for_each(|seed| Replay { seed, ..AT_12 }.check());
}

#[test]
fn long_streams_do_not_pause_for_too_long_beside_slow_engines_at_71_boxes() {
    Replay { boxes: 71, engines: 150, length_ms: 15_000, seed: 23, ..AT_12 }.check();
}

#[test]
fn long_streams_do_not_pause_for_too_long_beside_slow_engines_at_300_boxes() {
    Replay { boxes: 300, engines: 300, length_ms: 12_000, seed: 24, ..AT_12 }.check();
}

#[test]
fn placement_by_objective_does_not_make_a_pool_of_equal_engines_worse() {
    for seed in [25, 26] {
        let replay = Replay { seed, rate: 2.2, differs: false, ..AT_12 };
        let (least, objective) = (replay.run(Pick::LeastLoaded), replay.run(Pick::Objective));
        let more = |objective: usize, least: usize| objective.saturating_sub(least) * 100;
        assert!(
            more(objective.late_long, least.late_long) <= least.long,
            "{objective:?} {least:?}"
        );
        assert!(
            more(objective.late_short, least.late_short) <= least.short,
            "{objective:?} {least:?}"
        );
    }
}
