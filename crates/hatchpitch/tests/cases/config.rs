//! Drives the configuration of a leader and of a box that follows it.

use hatchpitch::config::verify::{verify, verify_step};
use hatchpitch::config::{ApplyOutcome, ConfigState, Fleet, load_fleet};

use super::file::{Case, words};

struct World {
    leader: ConfigState,
    /// A box that follows.
    follower: ConfigState,
    /// An answer that is still on its way to it.
    late: Option<ConfigState>,
}

pub fn run(case: &Case) -> Vec<Vec<String>> {
    let mut world =
        World { leader: ConfigState::default(), follower: ConfigState::default(), late: None };
    let mut outputs = Vec::new();
    for exchange in &case.exchanges {
        let words = words(&exchange.input);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (leader, follower) = (world.leader.clone(), world.follower.clone());
        outputs.push(apply(&mut world, &words));
        let steps = [(&leader, &world.leader), (&follower, &world.follower)];
        for (before, after) in steps {
            verify(after).unwrap_or_else(|err| panic!("{}: {err}", case.name));
            if words[0] != "lose" {
                verify_step(before, after).unwrap_or_else(|err| panic!("{}: {err}", case.name));
            }
        }
    }
    outputs
}

/// `submit NUMBER DOMAINS BY`, `race NUMBER DOMAINS DOMAINS`, `follow`, `hold`, `arrive`, `lose`, `entities`.
fn apply(world: &mut World, words: &[&str]) -> Vec<String> {
    match *words {
        ["submit", number, domains, by] => vec![submit(&mut world.leader, number, domains, by)],
        ["race", number, first, second] => {
            // Both are prepared against the same state before either is applied.
            let changes = [first, second].map(|d| world.leader.prepare(&fleet(number, d), d));
            let applied = changes.map(|change| match change {
                Ok(change) => world.leader.apply(change),
                Err(outcome) => Some(outcome),
            });
            applied.iter().map(|o| o.as_ref().map_or("again".to_owned(), show)).collect()
        }
        ["follow"] => vec![follow(&mut world.follower, &world.leader)],
        ["hold"] => {
            world.late = Some(world.leader.clone());
            Vec::new()
        }
        ["arrive"] => {
            let late = world.late.take().unwrap();
            vec![follow(&mut world.follower, &late)]
        }
        ["restore"] => {
            let bytes = rmp_serde::to_vec_named(&world.leader).unwrap();
            world.leader = rmp_serde::from_slice(&bytes).unwrap();
            Vec::new()
        }
        ["lose"] => {
            world.follower = ConfigState::default();
            Vec::new()
        }
        ["entities"] => vec![world.follower.entities().count().to_string()],
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

/// A fleet with the failure domains `a+b+c`; `a@x` lies in region `x`.
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
