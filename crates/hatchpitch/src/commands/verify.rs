//! Checks the commands of a leader against the invariants of [`super::state`].

use std::collections::BTreeMap;
use std::time::Instant;

use super::state::{CommandAction, CommandConfig, CommandScheduler};
use crate::ids::RunnerName;

/// Checks the actions of one leader in the order in which they are taken.
#[derive(Debug, Clone, Default)]
pub struct CommandVerifier {
    /// Fencing token of the newest command.
    last_fence: (u64, u64),
    /// Deadlines of the commands without a known outcome.
    in_flight: BTreeMap<RunnerName, Instant>,
}

impl CommandVerifier {
    /// Checks the actions of one [`CommandScheduler::tick`].
    ///
    /// # Errors
    ///
    /// Returns a description of the violated invariant.
    pub fn observe(
        &mut self,
        scheduler: &CommandScheduler,
        cfg: &CommandConfig,
        actions: &[CommandAction],
        now: Instant,
        lease_until: Option<Instant>,
    ) -> Result<(), String> {
        for action in actions {
            let CommandAction::Send { runner, command, .. } = action else { continue };
            let fence = (command.term, command.sequence);
            if fence <= self.last_fence {
                return Err(format!("fence {fence:?} after {:?}", self.last_fence));
            }
            self.last_fence = fence;
            if lease_until.is_none_or(|until| now + cfg.deadline > until) {
                return Err(format!(
                    "a command to {runner} could arrive after the end of the lease"
                ));
            }
            let engine = scheduler.engines.get(runner).ok_or("a command to an unknown engine")?;
            if !engine.target.checks_fence && now < scheduler.unfenced_from {
                return Err(format!(
                    "a command to {runner} while one of an earlier leader may still arrive"
                ));
            }
            let previous = self.in_flight.insert(runner.clone(), now + cfg.deadline);
            if previous.is_some_and(|deadline| now < deadline) {
                return Err(format!("two commands to {runner} are in flight"));
            }
        }
        Ok(())
    }

    /// Records that the outcome of the command to `runner` is known.
    pub fn settled(&mut self, runner: &str) {
        self.in_flight.remove(runner);
    }
}
