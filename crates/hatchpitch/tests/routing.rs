//! Choice of a runner: ejection, use of ejected runners as a last resort, prefill backlog, and KV
//! cache copies in progress.

use std::time::{Duration, Instant};

use hatchpitch::admission::LengthModel;
use hatchpitch::admission::memory::{Candidate, MemoryPolicy};
use hatchpitch::routing::state::{RunnerQuery, RunnerSpec};
use hatchpitch::routing::{RoutingConfig, RunReport, RunnerTable, Verdict};

fn spec(name: &str, domain: &str) -> RunnerSpec {
    RunnerSpec {
        name: name.to_owned(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: domain.to_owned(),
        slots: 8,
        memory: Some(100_000),
        copy_rate: 10_000.0,
    }
}

fn report(verdict: Verdict) -> RunReport {
    RunReport { verdict, ..RunReport::RELEASED }
}

fn table(specs: &[(&str, &str)]) -> RunnerTable {
    let cfg = RoutingConfig { memory: MemoryPolicy::Watermark(1.0), ..RoutingConfig::default() };
    let mut table = RunnerTable::new(cfg);
    table.sync(specs.iter().map(|(name, domain)| spec(name, domain)));
    table
}

/// Picks a runner for a prompt, or for a copy, of `tokens` tokens.
fn pick(
    table: &mut RunnerTable,
    avoid: &[&str],
    near: &str,
    tokens: u64,
    copy: bool,
    now: Instant,
) -> Option<String> {
    let avoid: Vec<String> = avoid.iter().map(|name| (*name).to_owned()).collect();
    let id = format!("{tokens}-{copy}");
    let query = RunnerQuery {
        priority: 0,
        skips_limited: false,
        sends_here: false,
        only_try: false,
        objective: None,
        id: &id,
        avoid: &avoid,
        near: Some(near),
        copied: if copy { tokens } else { 0 },
        within: &[],
    };
    let candidate = Candidate { kind: "k".to_owned(), prompt: tokens, max_output: 100 };
    let picked = table.pick(&query, &candidate, &LengthModel::default(), now);
    picked.map(|spec| spec.name)
}

#[test]
fn ejects_after_two_faulty_answers_in_a_row() {
    let now = Instant::now();
    let mut table = table(&[("a", "d"), ("b", "d")]);
    table.give_back("a", "", report(Verdict::Faulty), now);
    table.give_back("a", "", report(Verdict::Succeeded), now);
    table.give_back("a", "", report(Verdict::Faulty), now);
    assert_eq!(pick(&mut table, &["b"], "d", 1, false, now).as_deref(), Some("a"));
    table.give_back("a", "", report(Verdict::Faulty), now);
    for _ in 0..4 {
        assert_eq!(pick(&mut table, &[], "d", 1, false, now).as_deref(), Some("b"));
    }
}

#[test]
fn uses_ejected_runners_if_no_other_serves() {
    let now = Instant::now();
    let mut table = table(&[("a", "d"), ("b", "d")]);
    table.give_back("a", "", report(Verdict::Failed), now);
    assert_eq!(pick(&mut table, &["b"], "d", 1, false, now).as_deref(), Some("a"));
    table.give_back("b", "", report(Verdict::Failed), now);
    assert!(table.any_serving());
    assert!(pick(&mut table, &[], "d", 1, false, now).is_some());
    table.set_serving(|_| false);
    assert!(!table.any_serving());
    assert_eq!(
        pick(&mut table, &[], "d", 1, false, now),
        None,
        "a runner that leaves gets no work"
    );
}

#[test]
fn prefill_backlog_counts_until_it_has_drained() {
    let now = Instant::now();
    let mut table = table(&[("a", "d"), ("b", "d")]);
    let first = pick(&mut table, &[], "d", 9_000, false, now).unwrap();
    for _ in 0..3 {
        let next = pick(&mut table, &[], "d", 100, false, now).unwrap();
        assert_ne!(next, first, "the long prompt is still being prefilled");
    }
    let later = now + Duration::from_secs(10);
    let names: Vec<String> =
        (0..4).map(|_| pick(&mut table, &[], "d", 100, false, later).unwrap()).collect();
    assert!(names.contains(&first), "{names:?}");
}

#[test]
fn copies_prefer_near_runners_with_free_links() {
    let now = Instant::now();
    let mut table = table(&[("near", "d"), ("near-too", "d"), ("far", "e")]);
    let first = pick(&mut table, &[], "d", 5_000, true, now).unwrap();
    let second = pick(&mut table, &[], "d", 5_000, true, now).unwrap();
    assert_ne!(first, second, "{first} is receiving half a second of copies");
    assert!(first.starts_with("near") && second.starts_with("near"));
    let third = pick(&mut table, &[], "d", 2_000, true, now).unwrap();
    assert_eq!(third, "far", "both near links are busy for longer than the far copy takes");
}

#[test]
fn a_link_is_busy_until_the_final_part_of_a_copy() {
    let now = Instant::now();
    let mut table = table(&[("a", "d"), ("b", "d")]);
    for _ in 0..2 {
        assert_eq!(pick(&mut table, &["a"], "d", 1, false, now).as_deref(), Some("b"));
    }
    assert_eq!(pick(&mut table, &["b"], "d", 1_000, true, now).as_deref(), Some("a"));
    // The bulk copy took 100 ms. The stream is now paused while the tokens generated in the
    // meantime are copied.
    let paused = now + Duration::from_millis(120);
    assert_eq!(pick(&mut table, &[], "d", 1_000, true, paused).as_deref(), Some("b"));
    let over = now + Duration::from_millis(400);
    assert_eq!(pick(&mut table, &[], "d", 1_000, true, over).as_deref(), Some("a"));
}
