//! Budgets that keep retries from making an overload worse.

pub mod backoff;

use std::collections::HashMap;

use crate::ids::{PoolName, WorkspaceName};

/// Retries that a new request earns, in hundredths.
const EARNED: u32 = 20;
/// Cost of a retry, in hundredths.
const COST: u32 = 100;
/// Most that can be saved, in hundredths.
const MAX_SAVED: u32 = 1_000;
/// Budgets kept; beyond it full ones are forgotten.
const MAX_BUDGETS: usize = 65_536;

/// Retry budgets, one for each workspace and pool.
#[derive(Debug, Default)]
pub struct RetryBudgets(HashMap<(WorkspaceName, PoolName), u32>);

impl RetryBudgets {
    /// Notes a new request, which earns a part of a retry.
    pub fn earn(&mut self, workspace: &str, pool: &str) {
        if self.0.len() >= MAX_BUDGETS {
            self.0.retain(|_, saved| *saved < MAX_SAVED);
        }
        let saved = self.entry(workspace, pool);
        *saved = (*saved + EARNED).min(MAX_SAVED);
    }

    /// Takes a retry; returns whether the budget allows it.
    pub fn take(&mut self, workspace: &str, pool: &str) -> bool {
        let saved = self.entry(workspace, pool);
        let allowed = *saved >= COST;
        if allowed {
            *saved -= COST;
        }
        allowed
    }

    fn entry(&mut self, workspace: &str, pool: &str) -> &mut u32 {
        self.0.entry((workspace.to_owned(), pool.to_owned())).or_insert(MAX_SAVED)
    }
}
