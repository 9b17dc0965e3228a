//! Decides which commands are due, without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - at most one command per engine is in flight;
//! - fencing tokens strictly increase;
//! - a command is sent only if its deadline falls within the lease;
//! - an engine that does not check the fence gets no command until every
//!   command of an earlier leader must have arrived or been lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};
use crate::ids::{Priority, RunnerName};

/// Timing and limits of a [`CommandScheduler`].
#[derive(Debug, Clone, Copy)]
pub struct CommandConfig {
    /// Time within which a command arrives; its connection is closed afterwards.
    pub deadline: Duration,
    /// Minimum time between the deadline of a command and the end of the lease.
    pub margin: Duration,
    /// Longest lease that an earlier leader may hold.
    pub lease: Duration,
    /// Maximum number of concurrent load commands: they share the bandwidth of the weight store.
    pub max_concurrent_loads: usize,
    /// Time before the holdings of an engine are read again after a failed read or a rejected
    /// command.
    pub retry_interval: Duration,
}

impl Default for CommandConfig {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(250),
            margin: Duration::from_millis(50),
            lease: Duration::from_millis(600),
            max_concurrent_loads: 2,
            retry_interval: Duration::from_millis(500),
        }
    }
}

/// The desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Address on which the engine listens.
    pub addr: SocketAddr,
    /// Whether the engine rejects commands with an outdated fencing token.
    pub checks_fence: bool,
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Highest priority among the workspaces that use the pool; higher priorities load first.
    pub priority: Priority,
}

/// I/O that the caller of [`CommandScheduler::tick`] performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandAction {
    /// Read the holdings of an engine and report them with [`CommandScheduler::on_holdings`].
    Read {
        /// Name of the engine.
        runner: RunnerName,
        /// Address on which the engine listens.
        addr: SocketAddr,
    },
    /// Send a command, close its connection at the deadline, and report the outcome with
    /// [`CommandScheduler::on_sent`].
    Send {
        /// Name of the engine.
        runner: RunnerName,
        /// Address on which the engine listens.
        addr: SocketAddr,
        /// Command to send.
        command: EngineCommand,
    },
}

/// Outcome of sending a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine executed the command.
    Done(EngineHoldings),
    /// The engine rejected the command because it has seen a newer fencing token.
    Fenced,
    /// The command may or may not have been executed.
    Unknown,
}

/// Last observed state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Observed {
    /// The state is unknown; it is read at `read_at` at the earliest.
    Unknown { read_at: Instant },
    /// A read is in flight.
    Reading,
    /// The engine reported this model and version.
    Holds { model: String, version: String },
    /// A command is in flight until its deadline.
    CommandSent { deadline: Instant },
}

#[derive(Debug, Clone)]
pub(super) struct EngineState {
    pub(super) target: Target,
    pub(super) observed: Observed,
}

/// Schedules the commands of one leader during one term.
#[derive(Debug, Clone)]
pub struct CommandScheduler {
    cfg: CommandConfig,
    pub(super) term: u64,
    pub(super) sequence: u64,
    /// Time from which engines that do not check the fence may get commands.
    pub(super) unfenced_from: Instant,
    pub(super) engines: BTreeMap<RunnerName, EngineState>,
}

impl CommandScheduler {
    /// Creates the scheduler of a leader that was elected for `term` at `now`.
    pub fn new(cfg: CommandConfig, term: u64, now: Instant) -> Self {
        let unfenced_from = now + cfg.lease + cfg.deadline;
        Self { cfg, term, sequence: 0, unfenced_from, engines: BTreeMap::new() }
    }

    /// Returns the term in the fencing tokens.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the desired state of all engines; engines without a target are dropped.
    pub fn set_targets(&mut self, targets: BTreeMap<RunnerName, Target>, now: Instant) {
        self.engines.retain(|name, _| targets.contains_key(name));
        for (name, target) in targets {
            let new = EngineState {
                target: target.clone(),
                observed: Observed::Unknown { read_at: now },
            };
            self.engines.entry(name).or_insert(new).target = target;
        }
    }

    /// Returns the actions that are due; commands are sent only within the lease, which ends at
    /// `lease_until`.
    pub fn tick(&mut self, now: Instant, lease_until: Option<Instant>) -> Vec<CommandAction> {
        let mut actions = Vec::new();
        self.expire(now);
        for (name, engine) in &mut self.engines {
            if matches!(engine.observed, Observed::Unknown { read_at } if now >= read_at) {
                engine.observed = Observed::Reading;
                let (runner, addr) = (name.clone(), engine.target.addr);
                actions.push(CommandAction::Read { runner, addr });
            }
        }
        let in_lease =
            lease_until.is_some_and(|until| now + self.cfg.deadline + self.cfg.margin <= until);
        if in_lease {
            actions.extend(self.due_commands(now));
        }
        actions
    }

    /// Records the result of [`CommandAction::Read`]; `None` if the engine did not answer.
    pub fn on_holdings(&mut self, runner: &str, holdings: Option<&EngineHoldings>, now: Instant) {
        let read_at = now + self.cfg.retry_interval;
        let Some(engine) = self.engines.get_mut(runner) else { return };
        if engine.observed != Observed::Reading {
            return;
        }
        engine.observed = match holdings {
            Some(holdings) => observed_holdings(holdings),
            None => Observed::Unknown { read_at },
        };
    }

    /// Records the outcome of [`CommandAction::Send`].
    pub fn on_sent(&mut self, runner: &str, outcome: &SendOutcome, now: Instant) {
        let read_at = now + self.cfg.retry_interval;
        let Some(engine) = self.engines.get_mut(runner) else { return };
        let Observed::CommandSent { deadline } = engine.observed else { return };
        engine.observed = match outcome {
            SendOutcome::Done(holdings) => observed_holdings(holdings),
            SendOutcome::Fenced => Observed::Unknown { read_at },
            // The command may still arrive until its deadline, so the engine is read after it.
            SendOutcome::Unknown => Observed::Unknown { read_at: deadline },
        };
    }

    /// Returns the engines that are not known to hold their target.
    pub fn pending(&self) -> Vec<RunnerName> {
        let pending = self.engines.iter().filter(|(_, engine)| !engine.holds_target());
        pending.map(|(name, _)| name.clone()).collect()
    }

    /// Schedules a read of the engines whose command reached its deadline without an outcome.
    fn expire(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            if matches!(engine.observed, Observed::CommandSent { deadline } if now > deadline) {
                engine.observed = Observed::Unknown { read_at: now };
            }
        }
    }

    /// Returns the commands to send now, by descending priority, up to the concurrency limit.
    fn due_commands(&mut self, now: Instant) -> Vec<CommandAction> {
        let in_flight = |e: &EngineState| matches!(e.observed, Observed::CommandSent { .. });
        let loading = self.engines.values().filter(|e| in_flight(e)).count();
        let free = self.cfg.max_concurrent_loads.saturating_sub(loading);
        let unfenced_allowed = now >= self.unfenced_from;
        let due = self.engines.iter().filter(|(_, engine)| {
            let known = matches!(engine.observed, Observed::Holds { .. });
            known && !engine.holds_target() && (engine.target.checks_fence || unfenced_allowed)
        });
        let mut due: Vec<(Priority, RunnerName)> =
            due.map(|(name, engine)| (engine.target.priority, name.clone())).collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.into_iter().take(free).filter_map(|(_, name)| self.send_load(name, now)).collect()
    }

    fn send_load(&mut self, runner: RunnerName, now: Instant) -> Option<CommandAction> {
        self.sequence += 1;
        let engine = self.engines.get_mut(&runner)?;
        engine.observed = Observed::CommandSent { deadline: now + self.cfg.deadline };
        let Target { addr, model, version, .. } = engine.target.clone();
        let order = EngineOrder::LoadModel { model, version };
        let command = EngineCommand { term: self.term, sequence: self.sequence, order };
        Some(CommandAction::Send { runner, addr, command })
    }
}

impl EngineState {
    fn holds_target(&self) -> bool {
        let Observed::Holds { model, version } = &self.observed else { return false };
        *model == self.target.model && *version == self.target.version
    }
}

fn observed_holdings(holdings: &EngineHoldings) -> Observed {
    Observed::Holds { model: holdings.model.clone(), version: holdings.version.clone() }
}
