//! Runs a case file on the configuration of a leader and of a box that follows it.

use hatchpitch::config::verify::{verify, verify_step};
use hatchpitch::config::{ApplyOutcome, ConfigState, Fleet, load_fleet};

use super::file::{Case, words};

struct Fixture {
    leader: ConfigState,
    /// State of the box that follows the leader.
    follower: ConfigState,
    /// Leader state of an answer that is still in flight to the follower.
    delayed: Option<ConfigState>,
}

/// Runs a case and returns the output of each input.
pub fn run(case: &Case) -> Vec<Vec<String>> {
    let mut fixture =
        Fixture { leader: ConfigState::default(), follower: ConfigState::default(), delayed: None };
    let mut outputs = Vec::new();
    for exchange in &case.exchanges {
        let words = words(&exchange.input);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (leader, follower) = (fixture.leader.clone(), fixture.follower.clone());
        outputs.push(apply(&mut fixture, &words));
        let steps = [(&leader, &fixture.leader), (&follower, &fixture.follower)];
        for (before, after) in steps {
            verify(after).unwrap_or_else(|err| panic!("{}: {err}", case.name));
            if words[0] != "reset" {
                verify_step(before, after).unwrap_or_else(|err| panic!("{}: {err}", case.name));
            }
        }
    }
    outputs
}

/// Applies one input:
/// - `submit NUMBER DOMAINS BY` submits a configuration to the leader;
/// - `race NUMBER DOMAINS DOMAINS` submits two with the same number concurrently;
/// - `follow` sends the changes of the leader to the follower;
/// - `delay` keeps the current answer of the leader in flight, `deliver` delivers it;
/// - `restore` encodes and decodes the leader's state, as a restart does;
/// - `reset` clears the follower's state;
/// - `entities` returns the number of entities of the follower.
fn apply(fixture: &mut Fixture, words: &[&str]) -> Vec<String> {
    match *words {
        ["submit", number, domains, by] => vec![submit(&mut fixture.leader, number, domains, by)],
        ["race", number, first, second] => {
            // Both changes are prepared against the same state before either is applied.
            let changes = [first, second].map(|d| fixture.leader.prepare(&fleet(number, d), d));
            let applied = changes.map(|change| match change {
                Ok(change) => fixture.leader.apply(change),
                Err(outcome) => Some(outcome),
            });
            applied.iter().map(|o| o.as_ref().map_or("again".to_owned(), show)).collect()
        }
        ["follow"] => vec![follow(&mut fixture.follower, &fixture.leader)],
        ["delay"] => {
            fixture.delayed = Some(fixture.leader.clone());
            Vec::new()
        }
        ["deliver"] => {
            let delayed = fixture.delayed.take().unwrap();
            vec![follow(&mut fixture.follower, &delayed)]
        }
        ["restore"] => {
            let bytes = rmp_serde::to_vec_named(&fixture.leader).unwrap();
            fixture.leader = rmp_serde::from_slice(&bytes).unwrap();
            Vec::new()
        }
        ["reset"] => {
            fixture.follower = ConfigState::default();
            Vec::new()
        }
        ["entities"] => vec![fixture.follower.entities().count().to_string()],
        _ => panic!("unknown input {words:?}"),
    }
}

fn submit(leader: &mut ConfigState, number: &str, domains: &str, by: &str) -> String {
    match leader.prepare(&fleet(number, domains), by) {
        Ok(change) => leader.apply(change).as_ref().map_or("again".to_owned(), show),
        Err(outcome) => show(&outcome),
    }
}

fn follow(follower: &mut ConfigState, leader: &ConfigState) -> String {
    let (snapshot, delta) = leader.delta_since(follower.number());
    let installed = follower.install(leader.number(), leader.digest(), snapshot, &delta);
    match installed {
        Ok(()) => {
            let how = if snapshot { "snapshot" } else { "delta" };
            format!(
                "{how} of {} and {} to {}",
                delta.upserts.len(),
                delta.removals.len(),
                follower.number()
            )
        }
        Err(err) => format!("refused: {err}"),
    }
}

/// Returns a fleet with the given failure domains, such as `a+b+c`; `a@x` is domain `a` in region
/// `x`, and `none` is no domain.
fn fleet(number: &str, domains: &str) -> Fleet {
    let mut text = format!("number = {number}\n");
    for domain in domains.split('+').filter(|d| *d != "none") {
        let (name, region) = domain.split_once('@').unwrap_or((domain, "here"));
        text.push_str(&format!("[[failure_domain]]\nname = \"{name}\"\nregion = \"{region}\"\n"));
    }
    load_fleet("case", &text).unwrap()
}

fn show(outcome: &ApplyOutcome) -> String {
    match outcome {
        ApplyOutcome::Accepted { number, .. } => format!("accepted {number}"),
        ApplyOutcome::Taken { number, by, .. } => format!("{number} taken by {by}"),
        ApplyOutcome::Stale { number, newest } => format!("{number} is below {newest}"),
    }
}
