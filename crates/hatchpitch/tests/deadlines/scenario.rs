//! Load over time, and when upstreams say that they bear few rejections.

use std::ops::Range;

use crate::clock::{MS, Micros, SECOND};
use crate::upstream::ROOM;

/// Time that a request takes at an upstream.
pub const WORK: Range<Micros> = 225 * MS..375 * MS;
/// Mean of [`WORK`].
const MEAN_WORK: Micros = 300 * MS;
/// Time before the first phase, in which no upstream says how many rejections it bears, and the
/// load in it.
pub const WARM_UP: Micros = 2 * SECOND;
const WARM_UP_LOAD: f64 = 0.5;
/// Load of each phase, relative to what the upstreams can run.
pub const LOADS: [f64; 5] = [0.8, 1.7, 0.8, 2.5, 0.9];
/// Time after each change that is left out of account.
pub const SETTLE_TIME: Micros = 2 * SECOND;

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub boxes: usize,
    pub upstreams: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Length of each phase.
    pub phase: Micros,
    /// Whether the upstreams stop, in the middle of the first phase of overload, to say that they
    /// bear few rejections. They reject requests as before.
    pub stops: bool,
    pub seed: u64,
}

/// A part of a phase over which figures are taken.
#[derive(Debug, Clone)]
pub struct Window {
    /// Load, relative to what the upstreams can run.
    pub load: f64,
    pub time: Range<Micros>,
}

impl Scenario {
    /// Returns the length of all phases.
    pub fn end(&self) -> Micros {
        self.phase * LOADS.len() as Micros
    }

    /// Returns the requests a second that the upstreams can run.
    pub fn capacity(&self) -> f64 {
        (self.upstreams as u64 * ROOM) as f64 * SECOND as f64 / MEAN_WORK as f64
    }

    /// Returns the requests a second that arrive.
    pub fn rate(&self, now: Micros) -> f64 {
        let load = match now.checked_sub(WARM_UP) {
            Some(since) => LOADS[((since / self.phase) as usize).min(LOADS.len() - 1)],
            None => WARM_UP_LOAD,
        };
        self.capacity() * load
    }

    /// Returns the time from the start of the first phase after which the upstreams no longer say
    /// that they bear few rejections.
    fn stop(&self) -> Option<Micros> {
        self.stops.then_some(self.phase * 3 / 2)
    }

    /// Returns whether the upstreams say that they bear few rejections.
    pub fn is_brittle(&self, now: Micros) -> bool {
        let since = now.checked_sub(WARM_UP);
        since.is_some_and(|since| self.stop().is_none_or(|stop| since < stop))
    }

    /// Returns the windows that begin when a change has settled and end with the next one.
    pub fn windows(&self) -> Vec<Window> {
        let mut changes: Vec<Micros> =
            (0..LOADS.len() as Micros).map(|phase| self.phase * phase).chain(self.stop()).collect();
        changes.sort_unstable();
        changes.push(self.end());
        let window = |pair: &[Micros]| Window {
            load: LOADS[(pair[0] / self.phase) as usize],
            time: WARM_UP + pair[0] + SETTLE_TIME..WARM_UP + pair[1],
        };
        changes.windows(2).map(window).collect()
    }
}
