//! Extreme numbers of tokens.

use std::time::{Duration, Instant};

use hatchpitch::admission::AdmissionConfig;
use hatchpitch::dispatch::{PoolScheduler, SlotRequest};
use hatchpitch::routing::state::RunnerSpec;
use hatchpitch::routing::{RoutingConfig, RunReport, Verdict};

/// Guards against a caller whose number of tokens ends the admission of a request.
#[test]
fn requests_of_extreme_lengths_are_admitted_and_released() {
    let now = Instant::now();
    let mut scheduler = PoolScheduler::new(AdmissionConfig::default(), RoutingConfig::default());
    let spec = RunnerSpec {
        name: "e".to_owned(),
        addr: ([10, 0, 0, 1], 1).into(),
        failure_domain: "d".to_owned(),
        slots: u64::MAX,
        memory: None,
        copy_rate: f64::INFINITY,
    };
    scheduler.update(now, |table| table.sync([spec]));
    for id in 0..4_u64 {
        let req = SlotRequest {
            id: id.to_string(),
            workspace: "w".to_owned(),
            priority: 1,
            kind: "k".to_owned(),
            prompt: u64::MAX,
            max_tokens: u64::MAX,
            max_wait: Some(Duration::from_millis(u64::MAX)),
            ..SlotRequest::default()
        };
        scheduler.decide(&req, now);
        let report = RunReport {
            verdict: Verdict::Succeeded,
            tokens: Some(u64::MAX),
            ..RunReport::RELEASED
        };
        scheduler.release("e", &req, scheduler.cost(&req), report, now);
    }
}
