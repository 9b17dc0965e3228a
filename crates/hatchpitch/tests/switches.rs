//! Mechanisms that settings switch off, to learn what they are worth.

use std::time::Instant;

use hatchpitch::admission::{Candidate, LengthModel, MemoryPolicy, Policy};
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::{RoutingConfig, RunReport, RunnerTable, Verdict};
use hatchpitch::settings::diagnostic::{Problems, load_toml};
use hatchpitch::settings::policy::RawPolicy;

fn policy(text: &str) -> Result<Policy, Problems> {
    load_toml::<RawPolicy, Policy>("policy.toml", text)
}

/// Each switch with the field that it sets.
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
fn every_mechanism_is_on_and_each_is_switched_off_by_itself() {
    let default = policy("").unwrap();
    assert_eq!(default, Policy::default());
    for (name, is_on) in SWITCHES {
        assert!(is_on(&default), "{name}");
        let off = policy(&format!("{name} = false")).unwrap();
        let still_on = SWITCHES.iter().filter(|(_, is_on)| is_on(&off)).count();
        assert!(!is_on(&off) && still_on == SWITCHES.len() - 1, "{name}");
    }
}

#[test]
fn a_switch_that_does_not_exist_is_named() {
    let err = policy("movse = false").unwrap_err().to_string();
    assert!(err.contains("movse"), "{err}");
}

#[test]
fn a_policy_that_does_not_exist_is_named_with_those_that_do() {
    let err = policy("memory = \"infinite\"").unwrap_err().to_string();
    assert!(err.contains("policy.memory") && err.contains("survival"), "{err}");
}

/// Picks a runner of two after one failed; returns whether it may be the one that failed.
fn picks_what_failed(ejects: bool) -> bool {
    let now = Instant::now();
    let cfg = RoutingConfig { ejects, memory: MemoryPolicy::Unlimited, ..RoutingConfig::default() };
    let mut table = RunnerTable::new(cfg);
    table.sync(["a", "b"].map(spec));
    let candidate = Candidate { kind: "k".to_owned(), prompt: 1, max_output: 1 };
    let (id, lengths) = ("run".to_owned(), LengthModel::default());
    let asked = RunnerQuery {
        id: &id,
        priority: 0,
        avoid: &[],
        near: None,
        copied: 0,
        within: &[],
        skips_limited: false,
        sends_here: false,
        only_try: false,
    };
    let pick =
        |table: &mut RunnerTable| table.pick(&asked, &candidate, &lengths, now).unwrap().name;
    let failed = pick(&mut table);
    let report = RunReport { verdict: Verdict::Failed, ..RunReport::RELEASED };
    table.give_back(&failed, &id, report, now);
    // Equal loads are taken in turn, so two picks would see both.
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
fn a_runner_that_failed_is_ejected_unless_that_is_switched_off() {
    assert!(!picks_what_failed(true));
    assert!(picks_what_failed(false));
}
