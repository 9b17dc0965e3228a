//! Tests of the commands to engines, with an exhaustive search over the interleavings of two
//! leaders and one engine.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use hatchpitch::commands::verify::CommandVerifier;
use hatchpitch::commands::{CommandAction, CommandConfig, CommandScheduler, SendOutcome, Target};
use hatchpitch::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};

const STEP: Duration = Duration::from_millis(100);

fn cfg() -> CommandConfig {
    CommandConfig {
        deadline: STEP * 2,
        margin: Duration::ZERO,
        lease: STEP * 3,
        retry_interval: STEP,
        ..CommandConfig::default()
    }
}

fn target(checks_fence: bool, version: &str, priority: u8) -> Target {
    Target {
        addr: ([127, 0, 0, 1], 1).into(),
        checks_fence,
        model: "m".to_owned(),
        version: version.to_owned(),
        priority,
    }
}

fn holdings(version: &str) -> EngineHoldings {
    EngineHoldings {
        incarnation: 1,
        term: 0,
        sequence: 0,
        model: "m".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: String::new(),
    }
}

/// Two successive leaders, one engine, and the commands in flight.
#[derive(Clone)]
struct ModelState {
    time: u32,
    schedulers: [Option<CommandScheduler>; 2],
    verifiers: [CommandVerifier; 2],
    /// Commands, and the last time step at which each can arrive.
    in_flight: Vec<(EngineCommand, u32)>,
    /// Fencing tokens of the commands that the engine executed, in order of execution.
    executed: Vec<(u64, u64)>,
    checks_fence: bool,
}

/// Time step at which the first lease ends and the second leader is elected.
const SECOND_ELECTION: u32 = 8;
/// Last time step that is explored.
const END: u32 = 16;

impl ModelState {
    fn now(&self, base: Instant) -> Instant {
        base + STEP * self.time
    }

    fn lease(&self, leader: usize, base: Instant) -> Option<Instant> {
        match leader {
            0 => Some(base + STEP * SECOND_ELECTION),
            _ => Some(self.now(base) + STEP * 3),
        }
    }

    /// Runs one tick of a leader; reads are answered immediately.
    fn tick(&mut self, leader: usize, base: Instant) {
        let (now, lease) = (self.now(base), self.lease(leader, base));
        let Some(mut scheduler) = self.schedulers[leader].take() else { return };
        let version = ["1", "2"][leader];
        let targets = BTreeMap::from([("e".to_owned(), target(self.checks_fence, version, 1))]);
        scheduler.set_targets(targets, now);
        let actions = scheduler.tick(now, lease);
        self.verifiers[leader].observe(&scheduler, &cfg(), &actions, now, lease).unwrap();
        for action in actions {
            match action {
                CommandAction::Read { runner, .. } => {
                    scheduler.on_holdings(&runner, Some(&holdings("0")), now);
                }
                CommandAction::Send { command, .. } => {
                    self.in_flight.push((command, self.time + 2))
                }
            }
        }
        self.schedulers[leader] = Some(scheduler);
    }

    /// Delivers one command in flight and reports its outcome to the leader that sent it.
    fn deliver(&mut self, at: usize, base: Instant) {
        let now = self.now(base);
        let (command, _) = self.in_flight.remove(at);
        let fence = (command.term, command.sequence);
        let newest_fence = self.executed.iter().max().copied().unwrap_or((0, 0));
        let leader = if command.term == 1 { 0 } else { 1 };
        let outcome = if self.checks_fence && fence < newest_fence {
            SendOutcome::Fenced
        } else {
            self.executed.push(fence);
            let EngineOrder::LoadModel { version, .. } = &command.order else { unreachable!() };
            SendOutcome::Done(holdings(version))
        };
        if let Some(scheduler) = self.schedulers[leader].as_mut() {
            scheduler.on_sent("e", &outcome, now);
            self.verifiers[leader].settled("e");
        }
    }

    /// Returns the states that one event leads to.
    fn successors(&self, base: Instant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            next.push(state);
        };
        for at in 0..self.in_flight.len() {
            branch(&|state| state.deliver(at, base));
        }
        branch(&|state| state.tick(0, base));
        branch(&|state| state.tick(1, base));
        branch(&|state| {
            state.time += 1;
            // The connection of a command is closed at its deadline and delivers nothing later.
            let time = state.time;
            state.in_flight.retain(|(_, deadline)| time <= *deadline);
            if state.time == SECOND_ELECTION {
                state.schedulers[1] = Some(CommandScheduler::new(cfg(), 2, state.now(base)));
            }
        });
        next
    }

    /// Returns a key that identifies the state in the set of visited states.
    fn key(&self) -> String {
        let pending = self
            .schedulers
            .iter()
            .map(|l| format!("{:?}", l.as_ref().map(CommandScheduler::pending)));
        let pending: Vec<String> = pending.collect();
        format!(
            "{} {pending:?} {:?} {:?} {:?}",
            self.time, self.in_flight, self.executed, self.schedulers
        )
    }
}

/// Explores all reachable states up to [`END`] and returns their number.
fn explore(checks_fence: bool) -> usize {
    let base = Instant::now();
    let initial = ModelState {
        time: 0,
        schedulers: [Some(CommandScheduler::new(cfg(), 1, base)), None],
        verifiers: Default::default(),
        in_flight: Vec::new(),
        executed: Vec::new(),
        checks_fence,
    };
    let mut visited = HashSet::from([initial.key()]);
    let mut queue = VecDeque::from([initial]);
    while let Some(state) = queue.pop_front() {
        for next in state.successors(base) {
            assert!(
                next.executed.is_sorted(),
                "a command was executed after a newer one: {:?}",
                next.executed
            );
            if next.time <= END && visited.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    visited.len()
}

#[test]
fn command_of_an_old_term_never_runs_after_a_newer_one() {
    for checks_fence in [true, false] {
        let states = explore(checks_fence);
        println!("{states} states, checks_fence: {checks_fence}");
        assert!(states > 100);
    }
}

#[test]
fn loads_run_by_priority_up_to_the_concurrency_limit() {
    let now = Instant::now();
    let mut scheduler = CommandScheduler::new(CommandConfig::default(), 1, now);
    let targets: BTreeMap<String, Target> =
        (1..=5).map(|i| (format!("e{i}"), target(true, "2", i))).collect();
    scheduler.set_targets(targets, now);
    let lease = Some(now + Duration::from_secs(1));
    scheduler.tick(now, lease);
    for i in 1..=5 {
        scheduler.on_holdings(&format!("e{i}"), Some(&holdings("1")), now);
    }
    let sent: Vec<String> = scheduler
        .tick(now, lease)
        .into_iter()
        .map(|action| match action {
            CommandAction::Send { runner, .. } | CommandAction::Read { runner, .. } => runner,
        })
        .collect();
    assert_eq!(sent, ["e5", "e4"]);
    assert!(scheduler.tick(now, lease).is_empty());
    scheduler.on_sent("e5", &SendOutcome::Done(holdings("2")), now);
    assert_eq!(scheduler.tick(now, lease).len(), 1);
}

#[test]
fn no_command_is_sent_without_a_lease_or_near_its_end() {
    let now = Instant::now();
    let mut scheduler = CommandScheduler::new(CommandConfig::default(), 1, now);
    scheduler.set_targets(BTreeMap::from([("e".to_owned(), target(true, "2", 1))]), now);
    scheduler.tick(now, None);
    scheduler.on_holdings("e", Some(&holdings("1")), now);
    assert!(scheduler.tick(now, None).is_empty());
    assert!(scheduler.tick(now, Some(now + Duration::from_millis(200))).is_empty());
    assert_eq!(scheduler.tick(now, Some(now + Duration::from_secs(1))).len(), 1);
}

#[test]
fn holdings_are_read_after_the_deadline_of_a_command_with_unknown_outcome() {
    let now = Instant::now();
    let mut scheduler = CommandScheduler::new(CommandConfig::default(), 1, now);
    scheduler.set_targets(BTreeMap::from([("e".to_owned(), target(true, "2", 1))]), now);
    let lease = |at: Instant| Some(at + Duration::from_secs(1));
    scheduler.tick(now, lease(now));
    scheduler.on_holdings("e", Some(&holdings("1")), now);
    assert_eq!(scheduler.tick(now, lease(now)).len(), 1);
    scheduler.on_sent("e", &SendOutcome::Unknown, now);
    assert!(scheduler.tick(now, lease(now)).is_empty());
    let later = now + CommandConfig::default().deadline;
    let actions = scheduler.tick(later, lease(later));
    assert!(matches!(actions.as_slice(), [CommandAction::Read { .. }]));
    scheduler.on_holdings("e", Some(&holdings("2")), later);
    assert!(scheduler.tick(later, lease(later)).is_empty());
    assert!(scheduler.pending().is_empty());
}
