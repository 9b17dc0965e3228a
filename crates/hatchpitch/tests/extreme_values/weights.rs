//! Weights of services that are large in total.

use std::time::Duration;

use hatchpitch::config::hosted::{HostedRoute, RunPolicy, Target};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn route() -> HostedRoute {
    HostedRoute {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        runs: RunPolicy::Stream,
        time_limit: Duration::from_secs(1),
        answer_aim: Duration::from_secs(1),
        gap_aim: Some(Duration::from_secs(1)),
        urgency: 0,
        targets: vec![Target { service: "s".to_owned(), weight: u32::MAX }; 3],
        max_upstreams: 1,
        anonymous: true,
        resumable: false,
        regions: Vec::new(),
    }
}

/// Guards against requests that are lost, or always sent to one service, because the weights of a
/// route add up to more than 32 bits.
#[test]
fn weights_that_exceed_32_bits_together_choose_each_service() {
    let mut route = route();
    for (at, target) in route.targets.iter_mut().enumerate() {
        target.service = at.to_string();
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = [0; 3];
    for _ in 0..300 {
        chosen[route.choose_service(&mut rng).parse::<usize>().unwrap()] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 50), "{chosen:?}");
}
