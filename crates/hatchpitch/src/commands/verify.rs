//! Checks the orders of a leader against their invariants.

use std::collections::BTreeMap;
use std::time::Instant;

use super::state::{CommandAction, CommandConfig, Commands};
use crate::ids::RunnerName;

/// Follows the actions of one leader.
#[derive(Debug, Clone, Default)]
pub struct CommandVerifier {
    last: (u64, u64),
    on_the_way: BTreeMap<RunnerName, Instant>,
}

impl CommandVerifier {
    /// Takes in the actions of a tick.
    ///
    /// # Errors
    ///
    /// Returns the invariant that does not hold.
    pub fn observe(
        &mut self,
        state: &Commands,
        cfg: &CommandConfig,
        actions: &[CommandAction],
        now: Instant,
        lease_until: Option<Instant>,
    ) -> Result<(), String> {
        for action in actions {
            let CommandAction::Send { runner, command, .. } = action else { continue };
            let fence = (command.term, command.sequence);
            if fence <= self.last {
                return Err(format!("fence {fence:?} after {:?}", self.last));
            }
            self.last = fence;
            if lease_until.is_none_or(|until| now + cfg.deadline > until) {
                return Err(format!("{runner} could get an order after the lease"));
            }
            let engine = state.engines.get(runner).ok_or("an order to an unknown engine")?;
            if !engine.target.checks_fence && now < state.unchecked_from {
                return Err(format!("{runner} got an order while an earlier one may arrive"));
            }
            let open = self.on_the_way.insert(runner.clone(), now + cfg.deadline);
            if open.is_some_and(|until| now < until) {
                return Err(format!("{runner} has two orders on their way"));
            }
        }
        Ok(())
    }

    /// Notes that an order's outcome is known.
    pub fn settled(&mut self, runner: &str) {
        self.on_the_way.remove(runner);
    }
}
