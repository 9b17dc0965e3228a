//! Tests of the policy settings that disable single mechanisms, for measurements without them.

use std::time::Instant;

use hatchpitch::admission::{Candidate, LengthModel, MemoryPolicy, Policy};
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::{RoutingConfig, RunReport, RunnerTable, Verdict};
use hatchpitch::settings::diagnostic::{Problems, load_toml};
use hatchpitch::settings::policy::RawPolicy;

fn policy(text: &str) -> Result<Policy, Problems> {
    load_toml::<RawPolicy, Policy>("policy.toml", text)
}

/// Name of a setting, and a function that reads the field that it sets.
type Switch = (&'static str, fn(&Policy) -> bool);

const SWITCHES: [Switch; 6] = [
    ("moves", |p| p.moves),
    ("second_tries", |p| p.second_tries),
    ("early_refusal", |p| p.early_refusal),
    ("near", |p| p.near),
    ("quotes", |p| p.quotes),
    ("ejection", |p| p.ejection),
];

#[test]
fn mechanisms_are_enabled_by_default_and_disabled_independently() {
    let default = policy("").unwrap();
    assert_eq!(default, Policy::default());
    for (name, is_enabled) in SWITCHES {
        assert!(is_enabled(&default), "{name}");
        let disabled = policy(&format!("{name} = false")).unwrap();
        let still_enabled = SWITCHES.iter().filter(|(_, is_enabled)| is_enabled(&disabled)).count();
        assert!(!is_enabled(&disabled) && still_enabled == SWITCHES.len() - 1, "{name}");
    }
}

#[test]
fn unknown_setting_is_named_in_the_error() {
    let err = policy("movse = false").unwrap_err().to_string();
    assert!(err.contains("movse"), "{err}");
}

#[test]
fn unknown_memory_policy_is_reported_with_the_known_ones() {
    let err = policy("memory = \"infinite\"").unwrap_err().to_string();
    assert!(err.contains("policy.memory") && err.contains("survival"), "{err}");
}

/// Fails a run on one of two runners and returns whether later picks still include that runner.
fn picks_failed_runner(ejects: bool) -> bool {
    let now = Instant::now();
    let cfg = RoutingConfig { ejects, memory: MemoryPolicy::Unlimited, ..RoutingConfig::default() };
    let mut table = RunnerTable::new(cfg);
    table.sync(["a", "b"].map(spec));
    let candidate = Candidate { kind: "k".to_owned(), prompt: 1, max_output: 1 };
    let (id, lengths) = ("run".to_owned(), LengthModel::default());
    let query = RunnerQuery {
        id: &id,
        priority: 0,
        avoid: &[],
        near: None,
        copied: 0,
        within: &[],
        skips_limited: false,
        sends_here: false,
        only_try: false,
        objective: None,
    };
    let pick =
        |table: &mut RunnerTable| table.pick(&query, &candidate, &lengths, now).unwrap().name;
    let failed = pick(&mut table);
    let report = RunReport { verdict: Verdict::Failed, ..RunReport::RELEASED };
    table.give_back(&failed, &id, report, now);
    // Runners of equal load are picked in turn, so two picks cover both runners.
    [pick(&mut table), pick(&mut table)].contains(&failed)
}

fn spec(name: &str) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: "here".to_owned(),
        slots: 4,
        memory: None,
        copy_rate: f64::INFINITY,
    }
}

#[test]
fn failed_runner_is_ejected_unless_ejection_is_disabled() {
    assert!(!picks_failed_runner(true));
    assert!(picks_failed_runner(false));
}
