//! Numbers that are equal but encoded differently.

use std::time::Duration;

use hatchpitch::config::hosted::{ColdStart, EngineSpec, HostedService};
use hatchpitch::config::{ConfigState, Entity, Fleet};

fn service(link_mbps: f64) -> HostedService {
    HostedService {
        name: "s".to_owned(),
        max_connections: u64::MAX,
        engine: Some(EngineSpec {
            slots: u64::MAX,
            memory_tokens: u64::MAX,
            token_bytes: 1,
            link_mbps,
            moves: true,
            backups: true,
            tokens_per_event: u64::MAX,
            copy_life: Duration::from_secs(1),
        }),
        cold: Some(ColdStart { lasts: Duration::from_secs(1), rate: f64::MAX }),
    }
}

/// Guards against a log entry whose digest does not match its content: -0.0 equals 0.0, but is
/// encoded otherwise.
#[test]
fn a_change_of_the_sign_of_zero_is_applied() {
    let mut state = ConfigState::default();
    for (number, link_mbps) in [(1, 0.0), (2, -0.0)] {
        let fleet = Fleet::new(number, vec![Entity::HostedService(service(link_mbps))]);
        let change = state.prepare(&fleet, "t").unwrap();
        state.apply(change).unwrap();
        assert_eq!(state.digest(), fleet.digest());
    }
}
