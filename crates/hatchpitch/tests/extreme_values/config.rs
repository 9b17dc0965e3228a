//! Extreme numbers and times in configurations.

use std::time::Duration;

use hatchpitch::config::hosted::{
    ColdStart, EngineSpec, HostedLimits, HostedRoute, HostedService, RunPolicy, Target,
};
use hatchpitch::config::{ConfigState, Entity, Fleet, FleetView};

/// No configured time may be longer in a view: sums of a few of them and an instant stay valid.
const LONGEST: Duration = Duration::from_secs(400 * 24 * 3_600);

fn route() -> HostedRoute {
    HostedRoute {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        runs: RunPolicy::Stream,
        time_limit: Duration::MAX,
        answer_aim: Duration::MAX,
        gap_aim: Some(Duration::MAX),
        urgency: 0,
        targets: vec![Target { service: "s".to_owned(), weight: u32::MAX }; 3],
        max_upstreams: 1,
        anonymous: true,
        resumable: false,
        regions: Vec::new(),
    }
}

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
            copy_life: Duration::MAX,
        }),
        cold: Some(ColdStart { lasts: Duration::MAX, rate: f64::MAX }),
    }
}

/// Guards against a configuration in the log whose times end connections and processes wherever
/// they are added to an instant.
#[test]
fn times_of_a_configuration_in_the_log_are_bounded_in_its_view() {
    let limits = HostedLimits {
        max_header: u64::MAX,
        max_body: u64::MAX,
        header_timeout: Duration::MAX,
        idle_timeout: Duration::MAX,
    };
    let entities = vec![
        Entity::HostedRoute(route()),
        Entity::HostedService(service(1.0)),
        Entity::HostedLimits(limits),
    ];
    let mut state = ConfigState::default();
    let change = state.prepare(&Fleet::new(1, entities), "t").unwrap();
    state.apply(change).unwrap();
    let view = FleetView::new(&state);
    let (route, limits) = (view.hosted_route("h", "/").unwrap(), view.hosted_limits.unwrap());
    let service = &view.hosted_services["s"];
    let (engine, cold) = (service.engine.clone().unwrap(), service.cold.unwrap());
    for time in [
        route.time_limit,
        route.answer_aim,
        route.gap_aim.unwrap(),
        limits.header_timeout,
        limits.idle_timeout,
        engine.copy_life,
        cold.lasts,
    ] {
        assert!(time <= LONGEST, "{time:?}");
    }
}
