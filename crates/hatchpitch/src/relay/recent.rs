//! Services whose upstreams recently showed a property, without I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::ServiceName;

/// Time for which a service keeps the property: upstreams of one service are of one kind, and a
/// service is rolled out within hours.
pub const VALIDITY: Duration = Duration::from_secs(600);

/// Services that recently showed a property, each with the time of the last sign.
#[derive(Debug, Default)]
pub struct RecentServices(BTreeMap<ServiceName, Instant>);

impl RecentServices {
    /// Records a sign, and drops services whose last sign is older than [`VALIDITY`].
    pub fn record(&mut self, service: &str, now: Instant) {
        self.0.retain(|_, at| now.saturating_duration_since(*at) < VALIDITY);
        self.0.insert(service.to_owned(), now);
    }

    /// Returns whether a service showed the property within [`VALIDITY`].
    pub fn contains(&self, service: &str, now: Instant) -> bool {
        let at = self.0.get(service);
        at.is_some_and(|at| now.saturating_duration_since(*at) < VALIDITY)
    }
}
