//! Model of a plain upstream: it runs some requests at once, rejects all others, and fails if it
//! has to reject more in a second than it bears.

use std::collections::BTreeSet;

use hatchpitch::upstream_signals::MaxRejections;

use crate::clock::{Micros, SECOND};

/// Requests at once that an upstream has room for, which are also the slots that it announces.
pub const ROOM: u64 = 4;
/// Rejections a second that an upstream bears while it says so.
pub const MAX_REJECTIONS: MaxRejections = 6;
/// Time for which an upstream that failed is down.
const DOWN_TIME: Micros = 2 * SECOND;

/// How an upstream answers a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It ran the request.
    Served,
    /// It did not run the request.
    Rejected,
    /// It failed while it ran the request.
    Broken,
    /// It was down.
    Unreachable,
}

/// What a request meets at an upstream.
pub enum Arrival {
    Runs,
    Ends(Answer),
    /// The upstream rejects the request and fails. The runs that break off are returned.
    Fails(Vec<RunId>),
}

/// Index of a request, and the number of its attempt.
pub type RunId = (usize, u32);

#[derive(Debug, Default)]
pub struct Upstream {
    running: BTreeSet<RunId>,
    down_until: Micros,
    /// Times of all rejections, and whether the upstream said that it bears only so many.
    pub rejections: Vec<(Micros, bool)>,
    /// Times at which it failed.
    pub failures: Vec<Micros>,
}

impl Upstream {
    /// Returns what happens to a request that arrives. `is_brittle` tells whether the upstream says
    /// that it bears few rejections.
    pub fn receive(&mut self, run: RunId, is_brittle: bool, now: Micros) -> Arrival {
        if now < self.down_until {
            return Arrival::Ends(Answer::Unreachable);
        }
        if (self.running.len() as u64) < ROOM {
            self.running.insert(run);
            return Arrival::Runs;
        }
        self.rejections.push((now, is_brittle));
        let recent = self.rejections.iter().rev().take_while(|(at, _)| at + SECOND > now);
        let counted = recent.filter(|(_, is_brittle)| *is_brittle).count();
        if counted <= MAX_REJECTIONS as usize {
            return Arrival::Ends(Answer::Rejected);
        }
        self.down_until = now + DOWN_TIME;
        self.failures.push(now);
        Arrival::Fails(std::mem::take(&mut self.running).into_iter().collect())
    }

    /// Ends a run. Returns whether it had not been broken off.
    pub fn finish(&mut self, run: RunId) -> bool {
        self.running.remove(&run)
    }

    /// Returns the most rejections in any second that begins at or after `since`, counting those
    /// made while the upstream said that it bears only so many.
    pub fn max_rejections_within_a_second(&self, since: Micros) -> usize {
        let times: Vec<Micros> = self
            .rejections
            .iter()
            .filter(|(at, is_brittle)| *is_brittle && *at >= since)
            .map(|(at, _)| *at)
            .collect();
        let after = |first: &Micros| {
            times.iter().filter(|at| (*first..first + SECOND).contains(at)).count()
        };
        times.iter().map(after).max().unwrap_or(0)
    }
}
