//! Which orders are due, without I/O.
//!
//! Invariants, checked by [`super::verify`]:
//! - at most one order to an engine is on its way;
//! - fences only grow;
//! - an order is sent only if it must have arrived before the lease ends;
//! - an engine that does not check gets no order before every order of an
//!   earlier leader must have arrived or been lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::engine::messages::{EngineCommand, EngineHoldings, EngineOrder};
use crate::ids::{Priority, RunnerName};

/// Periods and bounds.
#[derive(Debug, Clone, Copy)]
pub struct CommandConfig {
    /// Time in which an order arrives or its connection is closed.
    pub deadline: Duration,
    /// Time kept between the deadline of an order and the end of the lease.
    pub margin: Duration,
    /// Longest lease of an earlier leader.
    pub lease: Duration,
    /// Orders that load weights at once: the weight store's rate is shared.
    pub max_loads: usize,
    /// Time between two looks at an engine that does not answer.
    pub retry: Duration,
}

impl Default for CommandConfig {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(250),
            margin: Duration::from_millis(50),
            lease: Duration::from_millis(600),
            max_loads: 2,
            retry: Duration::from_millis(500),
        }
    }
}

/// What an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it checks the fence.
    pub checks_fence: bool,
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Highest priority paid for the pool; higher ones load first.
    pub priority: Priority,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandAction {
    /// Read what an engine holds, and report it with [`Commands::on_holdings`].
    Read {
        /// The engine.
        runner: RunnerName,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Send an order whose connection is closed at the deadline, and report with [`Commands::on_sent`].
    Send {
        /// The engine.
        runner: RunnerName,
        /// Where it listens.
        addr: SocketAddr,
        /// The order.
        command: EngineCommand,
    },
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine carried it out.
    Done(EngineHoldings),
    /// The engine has seen a newer fence.
    Fenced,
    /// It may have been carried out.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// Nothing is known; look not before this.
    Unknown { look_at: Instant },
    /// A look is on its way.
    Reading,
    /// It holds this.
    Holds { model: String, version: String },
    /// An order is on its way.
    Ordered { until: Instant },
}

#[derive(Debug, Clone)]
pub(super) struct EngineState {
    pub(super) target: Target,
    pub(super) knowledge: Knowledge,
}

/// The orders of one leader.
#[derive(Debug, Clone)]
pub struct Commands {
    cfg: CommandConfig,
    pub(super) term: u64,
    pub(super) sequence: u64,
    /// From when on engines that do not check may get orders.
    pub(super) unchecked_from: Instant,
    pub(super) engines: BTreeMap<RunnerName, EngineState>,
}

impl Commands {
    /// Begins the orders of a new leader's term.
    pub fn begin(cfg: CommandConfig, term: u64, now: Instant) -> Self {
        let unchecked_from = now + cfg.lease + cfg.deadline;
        Self { cfg, term, sequence: 0, unchecked_from, engines: BTreeMap::new() }
    }

    /// Returns the term that the orders carry.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes in what the engines are to hold.
    pub fn set_targets(&mut self, targets: BTreeMap<RunnerName, Target>, now: Instant) {
        self.engines.retain(|name, _| targets.contains_key(name));
        for (name, target) in targets {
            let new = EngineState {
                target: target.clone(),
                knowledge: Knowledge::Unknown { look_at: now },
            };
            self.engines.entry(name).or_insert(new).target = target;
        }
    }

    /// Returns what is due while the lease lasts until `lease_until`.
    pub fn tick(&mut self, now: Instant, lease_until: Option<Instant>) -> Vec<CommandAction> {
        let mut actions = Vec::new();
        self.expire(now);
        for (name, engine) in &mut self.engines {
            if matches!(engine.knowledge, Knowledge::Unknown { look_at } if now >= look_at) {
                engine.knowledge = Knowledge::Reading;
                let (runner, addr) = (name.clone(), engine.target.addr);
                actions.push(CommandAction::Read { runner, addr });
            }
        }
        let in_lease =
            lease_until.is_some_and(|until| now + self.cfg.deadline + self.cfg.margin <= until);
        if in_lease {
            actions.extend(self.due_orders(now));
        }
        actions
    }

    /// Takes in what an engine holds, or that it does not answer.
    pub fn on_holdings(&mut self, runner: &str, holdings: Option<&EngineHoldings>, now: Instant) {
        let look_at = now + self.cfg.retry;
        let Some(engine) = self.engines.get_mut(runner) else { return };
        if engine.knowledge != Knowledge::Reading {
            return;
        }
        engine.knowledge = match holdings {
            Some(held) => held_by(held),
            None => Knowledge::Unknown { look_at },
        };
    }

    /// Takes in what became of an order.
    pub fn on_sent(&mut self, runner: &str, outcome: &SendOutcome, now: Instant) {
        let look_at = now + self.cfg.retry;
        let Some(engine) = self.engines.get_mut(runner) else { return };
        let Knowledge::Ordered { until } = engine.knowledge else { return };
        engine.knowledge = match outcome {
            SendOutcome::Done(held) => held_by(held),
            SendOutcome::Fenced => Knowledge::Unknown { look_at },
            // Until its deadline the order may still arrive; then the engine is looked at.
            SendOutcome::Unknown => Knowledge::Unknown { look_at: until },
        };
    }

    /// Returns the engines that do not hold what they are to hold, as far as is known.
    pub fn pending(&self) -> Vec<RunnerName> {
        let pending = self.engines.iter().filter(|(_, engine)| !engine.is_settled());
        pending.map(|(name, _)| name.clone()).collect()
    }

    fn expire(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            if matches!(engine.knowledge, Knowledge::Ordered { until } if now > until) {
                engine.knowledge = Knowledge::Unknown { look_at: now };
            }
        }
    }

    fn due_orders(&mut self, now: Instant) -> Vec<CommandAction> {
        let ordered = |e: &EngineState| matches!(e.knowledge, Knowledge::Ordered { .. });
        let loading = self.engines.values().filter(|e| ordered(e)).count();
        let free = self.cfg.max_loads.saturating_sub(loading);
        let unchecked = now >= self.unchecked_from;
        let due = self.engines.iter().filter(|(_, engine)| {
            let known = matches!(engine.knowledge, Knowledge::Holds { .. });
            known && !engine.is_settled() && (engine.target.checks_fence || unchecked)
        });
        let mut due: Vec<(Priority, RunnerName)> =
            due.map(|(name, engine)| (engine.target.priority, name.clone())).collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.into_iter().take(free).filter_map(|(_, name)| self.order(name, now)).collect()
    }

    fn order(&mut self, runner: RunnerName, now: Instant) -> Option<CommandAction> {
        self.sequence += 1;
        let engine = self.engines.get_mut(&runner)?;
        engine.knowledge = Knowledge::Ordered { until: now + self.cfg.deadline };
        let Target { addr, model, version, .. } = engine.target.clone();
        let order = EngineOrder::LoadModel { model, version };
        let command = EngineCommand { term: self.term, sequence: self.sequence, order };
        Some(CommandAction::Send { runner, addr, command })
    }
}

impl EngineState {
    fn is_settled(&self) -> bool {
        let Knowledge::Holds { model, version } = &self.knowledge else { return false };
        *model == self.target.model && *version == self.target.version
    }
}

fn held_by(held: &EngineHoldings) -> Knowledge {
    Knowledge::Holds { model: held.model.clone(), version: held.version.clone() }
}
