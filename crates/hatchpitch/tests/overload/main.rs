//! Loads at their worst, replayed against the decisions of `dispatch`, with the simplest way to
//! take them beside it: each engine has an owner of its own, near ones are asked.
//!
//! `cargo test -p hatchpitch --test overload -- --nocapture` prints the figures.

mod engine;
mod fleet;
mod loads;

use fleet::{Event, Fate, Fleet, Policy, Request};
use loads::{Load, leaving};

/// Failure domains, and engines a failure domain, of the replayed fleet.
const DOMAINS: usize = 5;
const ENGINES: usize = 60;
/// Two engines in three work at one pace, the third is faster.
const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];
/// Memory of an engine, in tokens.
const MEMORY: u64 = 33_640;
/// Time that a replay goes on after its last request, in ms.
const AFTER_MS: u64 = 12_000;

/// What a replay comes to.
#[derive(Debug)]
struct Outcome {
    /// Share of requests whose first token came in time and that ended whole.
    in_aim: f64,
    /// The same for the callers of the worst failure domain.
    worst_domain: f64,
    /// The same for the requests of long prompts and those of short outputs.
    long: f64,
    short: f64,
    refused: f64,
    preempted: usize,
}

fn replay(policy: Policy, load: &[Request], events: &[(u64, Event)]) -> (Outcome, Vec<Fate>) {
    let mut fleet = Fleet::new(policy, DOMAINS, ENGINES, &SPEEDS, MEMORY);
    let end = load.last().map_or(0, |req| req.at_ms) + AFTER_MS;
    let fates = fleet.play(load, events, end);
    let share = |keep: &dyn Fn(&Request) -> bool| {
        let kept = load.iter().zip(&fates).filter(|(req, _)| keep(req));
        let good =
            |(req, fate): &(&Request, &Fate)| fate.whole && !fate.paused && in_time(req, fate);
        let (all, good) = kept.fold((0.0, 0.0), |(all, sum), pair| {
            (all + 1.0, sum + f64::from(u8::from(good(&pair))))
        });
        if all > 0.0 { good / all } else { 1.0 }
    };
    let worst = (0..DOMAINS).map(|domain| share(&|req| req.domain == domain)).fold(1.0, f64::min);
    let refused = fates.iter().filter(|fate| fate.refused_after_ms.is_some()).count();
    let outcome = Outcome {
        in_aim: share(&|_| true),
        worst_domain: worst,
        long: share(&|req| req.output > 40),
        short: share(&|req| req.output <= 40),
        refused: refused as f64 / load.len() as f64,
        preempted: fleet.engines.iter().map(|engine| engine.preempted).sum(),
    };
    (outcome, fates)
}

fn in_time(req: &Request, fate: &Fate) -> bool {
    fate.first_ms.is_some_and(|first| first <= req.aim_ms)
}

impl Outcome {
    fn print(&self, policy: &str) {
        println!(
            "  {policy:<15} in aim {:.3}, worst failure domain {:.3}, long {:.3}, short {:.3}, \
             refused {:.3}, preempted {}",
            self.in_aim, self.worst_domain, self.long, self.short, self.refused, self.preempted
        );
    }
}

/// Replays a load with both policies and prints what they come to.
fn compare(name: &str, load: &[Request], events: &[(u64, Event)]) -> (Outcome, Outcome) {
    let (naive, _) = replay(Policy::OneEach, load, events);
    let (ours, _) = replay(Policy::Shards, load, events);
    println!("{name}: {} requests", load.len());
    naive.print("one owner each");
    ours.print("shards");
    (naive, ours)
}

#[test]
fn callers_that_move_to_another_failure_domain_find_room_outside_it() {
    let mut load = Load::new(11, 20_000);
    // For ten seconds the callers of two failure domains ask at boxes of a third one.
    load.moved = Some((5_000..15_000, vec![1, 2], 0));
    let (naive, ours) = compare("callers move", &load.requests(), &leaving(20_000, ENGINES));
    assert!(ours.worst_domain > naive.worst_domain + 0.05, "{ours:?} {naive:?}");
    assert!(ours.in_aim > 0.97, "{ours:?}");
}

#[test]
fn a_sixth_of_the_engines_leaves_every_few_seconds_at_the_peak() {
    let mut load = Load::new(12, 20_000);
    load.rate = 1.6;
    let (naive, ours) = compare("engines leave", &load.requests(), &leaving(20_000, ENGINES));
    assert!(ours.in_aim > naive.in_aim, "{ours:?} {naive:?}");
}

#[test]
fn all_callers_are_back_at_once() {
    let mut load = Load::new(13, 16_000);
    load.burst = Some((4_000..6_000, 6.0));
    let (naive, ours) = compare("all back at once", &load.requests(), &[]);
    assert!(ours.in_aim > naive.in_aim, "{ours:?} {naive:?}");
    // 0.783 while late ones went first and one that found no room held up all others.
    assert!(ours.in_aim > 0.81, "{ours:?}");
}

#[test]
fn more_work_than_the_engines_take_for_ten_seconds() {
    let mut load = Load::new(14, 20_000);
    load.burst = Some((5_000..15_000, 1.8));
    let (naive, ours) = compare("overload", &load.requests(), &leaving(20_000, ENGINES));
    assert!(ours.in_aim > naive.in_aim, "{ours:?} {naive:?}");
}

#[test]
fn workspaces_of_one_priority_get_equal_service_beside_a_large_one() {
    let mut load = Load::new(15, 20_000);
    load.burst = Some((5_000..15_000, 3.0));
    load.large_share = 0.5;
    load.short_first = false;
    let requests = load.requests();
    let (_, fates) = replay(Policy::Shards, &requests, &[]);
    let share = |large: bool| {
        let asked = requests.iter().zip(&fates).filter(|(req, _)| {
            (req.workspace == 0) == large && (7_000..15_000).contains(&req.at_ms)
        });
        let (all, good) = asked.fold((0.0, 0.0), |(all, good), (req, fate)| {
            (all + 1.0, good + f64::from(u8::from(fate.whole && in_time(req, fate))))
        });
        good / all
    };
    let (large, others) = (share(true), share(false));
    println!("a large workspace: served in time {large:.3}, of the 39 others {others:.3}");
    assert!(others > 0.95, "{others}");
    // Room that the others cannot use is not left idle: 0.18 while nobody went past.
    assert!(large > 0.3, "{large}");
}
