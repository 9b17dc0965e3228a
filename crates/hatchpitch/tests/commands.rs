//! Orders to engines: every interleaving of two leaders and one engine.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use hatchpitch::commands::verify::CommandVerifier;
use hatchpitch::commands::{CommandAction, CommandConfig, Commands, SendOutcome, Target};
use hatchpitch::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};

const STEP: Duration = Duration::from_millis(100);

fn cfg() -> CommandConfig {
    CommandConfig {
        deadline: STEP * 2,
        margin: Duration::ZERO,
        lease: STEP * 3,
        retry: STEP,
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

/// Two leaders one after the other, one engine, and orders on their way.
#[derive(Clone)]
struct World {
    time: u32,
    leaders: [Option<Commands>; 2],
    verifiers: [CommandVerifier; 2],
    /// Order, leader and the time after which it cannot arrive any more.
    flying: Vec<(EngineCommand, u32)>,
    /// Fence and version of every order that the engine carried out.
    done: Vec<(u64, u64)>,
    checks: bool,
}

/// When the second leader is elected: the first one's lease has just ended.
const ELECTED: u32 = 8;
const END: u32 = 16;

impl World {
    fn now(&self, base: Instant) -> Instant {
        base + STEP * self.time
    }

    fn lease(&self, leader: usize, base: Instant) -> Option<Instant> {
        match leader {
            0 => Some(base + STEP * ELECTED),
            _ => Some(self.now(base) + STEP * 3),
        }
    }

    /// One leader looks at what is due; what it asks to read is answered at once.
    fn tick(&mut self, leader: usize, base: Instant) {
        let (now, lease) = (self.now(base), self.lease(leader, base));
        let Some(mut commands) = self.leaders[leader].take() else { return };
        let version = ["1", "2"][leader];
        let targets = BTreeMap::from([("e".to_owned(), target(self.checks, version, 1))]);
        commands.set_targets(targets, now);
        let actions = commands.tick(now, lease);
        self.verifiers[leader].observe(&commands, &cfg(), &actions, now, lease).unwrap();
        for action in actions {
            match action {
                CommandAction::Read { runner, .. } => {
                    commands.on_holdings(&runner, Some(&holdings("0")), now);
                }
                CommandAction::Send { command, .. } => self.flying.push((command, self.time + 2)),
            }
        }
        self.leaders[leader] = Some(commands);
    }

    fn arrive(&mut self, at: usize, base: Instant) {
        let now = self.now(base);
        let (command, _) = self.flying.remove(at);
        let fence = (command.term, command.sequence);
        let newest = self.done.iter().max().copied().unwrap_or((0, 0));
        let leader = if command.term == 1 { 0 } else { 1 };
        let outcome = if self.checks && fence < newest {
            SendOutcome::Fenced
        } else {
            self.done.push(fence);
            let EngineOrder::LoadModel { version, .. } = &command.order else { unreachable!() };
            SendOutcome::Done(holdings(version))
        };
        if let Some(commands) = self.leaders[leader].as_mut() {
            commands.on_sent("e", &outcome, now);
            self.verifiers[leader].settled("e");
        }
    }

    fn next_worlds(&self, base: Instant) -> Vec<Self> {
        let mut next = Vec::new();
        let mut branch = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        for at in 0..self.flying.len() {
            branch(&|world| world.arrive(at, base));
        }
        branch(&|world| world.tick(0, base));
        branch(&|world| world.tick(1, base));
        branch(&|world| {
            world.time += 1;
            // A connection that is closed at its deadline delivers nothing afterwards.
            let time = world.time;
            world.flying.retain(|(_, until)| time <= *until);
            if world.time == ELECTED {
                world.leaders[1] = Some(Commands::begin(cfg(), 2, world.now(base)));
            }
        });
        next
    }

    fn key(&self) -> String {
        let leaders =
            self.leaders.iter().map(|l| format!("{:?}", l.as_ref().map(Commands::pending)));
        let leaders: Vec<String> = leaders.collect();
        format!("{} {leaders:?} {:?} {:?} {:?}", self.time, self.flying, self.done, self.leaders)
    }
}

fn explore(checks: bool) -> usize {
    let base = Instant::now();
    let first = World {
        time: 0,
        leaders: [Some(Commands::begin(cfg(), 1, base)), None],
        verifiers: Default::default(),
        flying: Vec::new(),
        done: Vec::new(),
        checks,
    };
    let mut seen = HashSet::from([first.key()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        for next in world.next_worlds(base) {
            assert!(next.done.is_sorted(), "an old order after a newer one: {:?}", next.done);
            if next.time <= END && seen.insert(next.key()) {
                queue.push_back(next);
            }
        }
    }
    seen.len()
}

#[test]
fn no_order_of_an_old_term_is_carried_out_after_a_newer_one() {
    for checks in [true, false] {
        let states = explore(checks);
        println!("{states} states, engine that checks: {checks}");
        assert!(states > 100);
    }
}

#[test]
fn higher_priorities_load_first_and_the_weight_store_is_not_overrun() {
    let now = Instant::now();
    let mut commands = Commands::begin(CommandConfig::default(), 1, now);
    let targets: BTreeMap<String, Target> =
        (1..=5).map(|i| (format!("e{i}"), target(true, "2", i))).collect();
    commands.set_targets(targets, now);
    let lease = Some(now + Duration::from_secs(1));
    commands.tick(now, lease);
    for i in 1..=5 {
        commands.on_holdings(&format!("e{i}"), Some(&holdings("1")), now);
    }
    let sent: Vec<String> = commands
        .tick(now, lease)
        .into_iter()
        .map(|action| match action {
            CommandAction::Send { runner, .. } | CommandAction::Read { runner, .. } => runner,
        })
        .collect();
    assert_eq!(sent, ["e5", "e4"]);
    assert!(commands.tick(now, lease).is_empty());
    commands.on_sent("e5", &SendOutcome::Done(holdings("2")), now);
    assert_eq!(commands.tick(now, lease).len(), 1);
}

#[test]
fn nothing_is_ordered_without_or_near_the_end_of_a_lease() {
    let now = Instant::now();
    let mut commands = Commands::begin(CommandConfig::default(), 1, now);
    commands.set_targets(BTreeMap::from([("e".to_owned(), target(true, "2", 1))]), now);
    commands.tick(now, None);
    commands.on_holdings("e", Some(&holdings("1")), now);
    assert!(commands.tick(now, None).is_empty());
    assert!(commands.tick(now, Some(now + Duration::from_millis(200))).is_empty());
    assert_eq!(commands.tick(now, Some(now + Duration::from_secs(1))).len(), 1);
}

#[test]
fn an_order_of_unknown_outcome_is_read_back_after_its_deadline() {
    let now = Instant::now();
    let mut commands = Commands::begin(CommandConfig::default(), 1, now);
    commands.set_targets(BTreeMap::from([("e".to_owned(), target(true, "2", 1))]), now);
    let lease = |at: Instant| Some(at + Duration::from_secs(1));
    commands.tick(now, lease(now));
    commands.on_holdings("e", Some(&holdings("1")), now);
    assert_eq!(commands.tick(now, lease(now)).len(), 1);
    commands.on_sent("e", &SendOutcome::Unknown, now);
    assert!(commands.tick(now, lease(now)).is_empty());
    let later = now + CommandConfig::default().deadline;
    let looks = commands.tick(later, lease(later));
    assert!(matches!(looks.as_slice(), [CommandAction::Read { .. }]));
    commands.on_holdings("e", Some(&holdings("2")), later);
    assert!(commands.tick(later, lease(later)).is_empty());
    assert!(commands.pending().is_empty());
}
