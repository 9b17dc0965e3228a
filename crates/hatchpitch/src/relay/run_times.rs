//! Shortest recent run times of requests, by route, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::RequestKind;

/// Part of the distance to a longer run time by which the estimate rises, so that one unusually
/// fast run is forgotten after about a hundred others.
const RISE: u32 = 64;
/// Number of routes from which on no further ones are followed.
const MAX_ROUTES: usize = 4_096;

/// Minimum time between two requests of a route that are sent although too little time is left for
/// them.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Run times of the requests of one route.
#[derive(Debug)]
struct RouteTimes {
    /// Lower estimate of a run time.
    shortest: Duration,
    /// When the estimate was last confirmed by a run, or put to the test by a request that was
    /// sent in spite of it.
    checked_at: Instant,
}

/// Lower estimates of the run times of requests.
#[derive(Debug, Default)]
pub struct RunTimes(BTreeMap<RequestKind, RouteTimes>);

impl RunTimes {
    /// Records the run time of a request that ended now.
    pub fn record(&mut self, route: &str, took: Duration, now: Instant) {
        if let Some(times) = self.0.get_mut(route) {
            let rise = took.saturating_sub(times.shortest) / RISE;
            times.shortest = took.min(times.shortest + rise);
            times.checked_at = now;
        } else if self.0.len() < MAX_ROUTES {
            self.0.insert(route.to_owned(), RouteTimes { shortest: took, checked_at: now });
        }
    }

    /// Returns whether a request with this much time left is to be sent: if it is no less than the
    /// estimate, or nothing is known.
    ///
    /// If no run has ended lately, one that the estimate leaves no time for is sent now and then:
    /// only a run can show that requests have become faster.
    pub fn admit(&mut self, route: &str, left: Duration, now: Instant) -> bool {
        let Some(times) = self.0.get_mut(route) else { return true };
        if left >= times.shortest {
            return true;
        }
        let interval = times.shortest.max(MIN_TRIAL_INTERVAL);
        let is_trial = now.saturating_duration_since(times.checked_at) >= interval;
        if is_trial {
            times.checked_at = now;
        }
        is_trial
    }
}
