//! Shortest recent run times of requests, by route, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RequestKind;

/// Part of the distance to a longer run time by which the estimate rises, so that one unusually
/// fast run is forgotten after about a hundred others.
const RISE: u32 = 64;
/// Number of routes from which on no further ones are followed.
const MAX_ROUTES: usize = 4_096;

/// Lower estimates of the run times of requests.
#[derive(Debug, Default)]
pub struct RunTimes(BTreeMap<RequestKind, Duration>);

impl RunTimes {
    /// Records the run time of a request.
    pub fn record(&mut self, route: &str, took: Duration) {
        if let Some(shortest) = self.0.get_mut(route) {
            let rise = took.saturating_sub(*shortest) / RISE;
            *shortest = took.min(*shortest + rise);
        } else if self.0.len() < MAX_ROUTES {
            self.0.insert(route.to_owned(), took);
        }
    }

    /// Returns whether a request with this much time left comes too late, because it has waited.
    ///
    /// A request that has waited for a shorter time than it has left is sent whatever the estimate
    /// says: its caller allows no more, and only runs show that requests have become faster.
    pub fn is_too_late(&self, route: &str, waited: Duration, left: Duration) -> bool {
        waited >= left && self.0.get(route).is_some_and(|shortest| left < *shortest)
    }
}
