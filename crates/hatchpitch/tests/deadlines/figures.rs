//! Figures of a simulation.

use std::collections::HashMap;

use crate::clock::{MS, Micros, SECOND};
use crate::fleet::{Fleet, HOP};
use crate::relay::{End, Request};
use crate::scenario::{SETTLE_TIME, Scenario, WARM_UP, WORK, Window};

/// Shortest time from the sending of a request to the end of its run.
const SHORTEST_RUN: Micros = WORK.start + 2 * HOP;

/// Figures of one window. Requests are counted when they end unless stated otherwise.
#[derive(Debug, Clone)]
pub struct WindowFigures {
    pub window: Window,
    /// Requests that arrived, and those among them that were not served.
    pub offered: usize,
    pub offered_in_vain: usize,
    /// Requests that the upstreams could have run.
    pub possible: f64,
    pub served: usize,
    /// Median time from the arrival to the response of those that were served.
    pub median_wait: Micros,
    /// Times from arrival to refusal, in order, of requests that were never queued.
    pub refused: Vec<Micros>,
    /// The same of requests that were queued.
    pub refused_late: Vec<Micros>,
    pub timed_out: usize,
    pub lost: usize,
    /// Requests that upstreams rejected.
    pub rejections: usize,
}

#[derive(Debug, Clone)]
pub struct Figures {
    pub scenario: Scenario,
    pub windows: Vec<WindowFigures>,
    /// Most rejections in a second by one upstream while it bore only so many, from
    /// [`SETTLE_TIME`] after the first announcement on.
    pub max_rejections: usize,
    /// Failures of upstreams, before and after that time.
    pub failures: (usize, usize),
    /// Requests that were sent without time for the shortest run by boxes that knew it.
    pub hopeless: usize,
    /// Boxes at which an upstream counts as brittle at the end.
    pub boxes_with_brittle: usize,
}

impl WindowFigures {
    fn new(fleet: &Fleet, window: Window) -> Self {
        let ended = |kind: End| -> Vec<Micros> {
            let ends = fleet.requests.iter().filter_map(|req| {
                let (at, end) = req.end?;
                (end == kind && window.time.contains(&at)).then_some(at - req.arrived)
            });
            let mut waits: Vec<Micros> = ends.collect();
            waits.sort_unstable();
            waits
        };
        let served = ended(End::Served);
        let length = (window.time.end - window.time.start) as f64 / SECOND as f64;
        let rejections = fleet.upstreams.iter().flat_map(|upstream| &upstream.rejections);
        let arrived = || fleet.requests.iter().filter(|r| window.time.contains(&r.arrived));
        let is_in_vain = |r: &&Request| r.end.is_some_and(|(_, end)| end != End::Served);
        Self {
            offered: arrived().count(),
            offered_in_vain: arrived().filter(is_in_vain).count(),
            possible: fleet.scenario.capacity() * length,
            served: served.len(),
            median_wait: percentile(&served, 50),
            refused: ended(End::RefusedOnArrival),
            refused_late: ended(End::RefusedLate),
            timed_out: ended(End::TimedOut).len(),
            lost: ended(End::Lost).len(),
            rejections: rejections.filter(|(at, _)| window.time.contains(at)).count(),
            window,
        }
    }

    pub fn is_overload(&self) -> bool {
        self.window.load > 1.0
    }

    /// Returns the 99th percentile of the times from arrival to refusal.
    pub fn refusal_time(&self) -> Micros {
        let mut all = [&self.refused[..], &self.refused_late].concat();
        all.sort_unstable();
        percentile(&all, 99)
    }

    /// Returns how many requests were not served.
    pub fn failed(&self) -> usize {
        self.refused.len() + self.refused_late.len() + self.timed_out + self.lost
    }
}

impl Figures {
    pub fn new(fleet: &Fleet) -> Self {
        let settled = WARM_UP + SETTLE_TIME;
        let windows = fleet.scenario.windows().into_iter();
        let most = fleet.upstreams.iter().map(|u| u.max_rejections_within_a_second(settled));
        let failures = fleet.upstreams.iter().flat_map(|upstream| &upstream.failures);
        let (early, late): (Vec<Micros>, Vec<Micros>) = failures.partition(|at| **at < settled);
        let now = fleet.now();
        let sees_brittle = fleet.boxes.iter().filter(|b| b.sees_brittle(&fleet.specs, now));
        Self {
            scenario: fleet.scenario,
            windows: windows.map(|window| WindowFigures::new(fleet, window)).collect(),
            max_rejections: most.max().unwrap_or(0),
            failures: (early.len(), late.len()),
            hopeless: hopeless(&fleet.requests),
            boxes_with_brittle: sees_brittle.count(),
        }
    }

    pub fn print(&self) {
        let Scenario { boxes, upstreams, stops, .. } = self.scenario;
        println!(
            "{boxes} boxes, {upstreams} upstreams, which stop to say that they are brittle: {stops}"
        );
        for w in &self.windows {
            let at = |at: Micros| (at - WARM_UP) as f64 / SECOND as f64;
            println!(
                "  {}-{} s at {}: offered {} ({} in vain), possible {:.0}, served {} ({:.3}), median {} ms; \
                 refused on arrival {} (p99 {} ms, max {} ms), late {} (p99 {} ms), timed out {}, \
                 lost {}; {} rejections",
                at(w.window.time.start),
                at(w.window.time.end),
                w.window.load,
                w.offered,
                w.offered_in_vain,
                w.possible,
                w.served,
                w.served as f64 / w.possible.min(w.offered as f64),
                w.median_wait / MS,
                w.refused.len(),
                percentile(&w.refused, 99) / MS,
                w.refused.last().map_or(0, |wait| wait / MS),
                w.refused_late.len(),
                percentile(&w.refused_late, 99) / MS,
                w.timed_out,
                w.lost,
                w.rejections
            );
        }
        println!(
            "  at most {} rejections in a second, {:?} failures before and after {} s; {} sent \
             without time; {} boxes count an upstream as brittle at the end",
            self.max_rejections,
            self.failures,
            SETTLE_TIME / SECOND,
            self.hopeless,
            self.boxes_with_brittle
        );
    }
}

fn percentile(sorted: &[Micros], percent: usize) -> Micros {
    sorted.get(sorted.len() * percent / 100).copied().unwrap_or(0)
}

/// Returns how many requests were sent without time for the shortest run by a box that had seen the
/// end of a run.
fn hopeless(requests: &[Request]) -> usize {
    let mut first_end: HashMap<usize, Micros> = HashMap::new();
    for (home, at) in requests.iter().filter_map(|req| Some((req.home, req.recorded?))) {
        first_end.entry(home).and_modify(|first| *first = at.min(*first)).or_insert(at);
    }
    let sends = requests.iter().flat_map(|req| req.sends.iter().map(move |send| (send, req.home)));
    let knows = |home: usize, at: Micros| first_end.get(&home).is_some_and(|first| *first < at);
    sends.filter(|(send, home)| send.left < SHORTEST_RUN && knows(*home, send.at)).count()
}
