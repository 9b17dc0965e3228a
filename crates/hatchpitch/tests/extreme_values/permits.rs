//! Extreme waits in answers of the deciders of limits.

use std::time::{Duration, Instant};

use hatchpitch::upstream_limits::{Decider, LimitObservation, LimitTable, PermitAnswer, RateLimit};

/// Guards against a request, or the task of the limits, that ends because a decider denies a permit.
#[test]
fn extreme_waits_for_permits_are_bounded() {
    let now = Instant::now();
    let mut table = LimitTable::default();
    let limit = Some(RateLimit::try_from(5.0).unwrap());
    table.observe("u", LimitObservation { limit, sent: now, received: now }, now);
    let decider = Decider { addr: ([127, 0, 0, 1], 1).into(), is_own: false, share: 1.0 };
    table.set_decider("u", decider, now);
    let denied = PermitAnswer::Denied { opens_in: Duration::MAX, spread: Duration::MAX };
    let wait = table.apply_answer("u", 1, denied, 1.0, now).unwrap_err();
    assert!(wait <= Duration::from_secs(600), "{wait:?}");
}
