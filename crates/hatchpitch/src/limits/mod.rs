//! Retry budgets, which keep retries from amplifying an overload.

pub mod backoff;

use std::collections::HashMap;

use crate::ids::{PoolName, WorkspaceName};

/// Credit that each new request adds, in hundredths of a retry.
const CREDIT_PER_REQUEST: u32 = 20;
/// Cost of a retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Upper bound of a budget's balance, in hundredths of a retry.
const MAX_BALANCE: u32 = 1_000;
/// Number of budgets beyond which full ones are discarded; a new budget starts full as well.
const MAX_BUDGETS: usize = 65_536;

/// Retry budgets, one for each workspace and pool.
#[derive(Debug, Default)]
pub struct RetryBudgets(HashMap<(WorkspaceName, PoolName), u32>);

impl RetryBudgets {
    /// Adds the credit of a new request.
    pub fn earn(&mut self, workspace: &str, pool: &str) {
        if self.0.len() >= MAX_BUDGETS {
            self.0.retain(|_, balance| *balance < MAX_BALANCE);
        }
        let balance = self.balance(workspace, pool);
        *balance = (*balance + CREDIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Deducts a retry if the balance allows it; returns whether it does.
    pub fn take(&mut self, workspace: &str, pool: &str) -> bool {
        let balance = self.balance(workspace, pool);
        let allowed = *balance >= RETRY_COST;
        if allowed {
            *balance -= RETRY_COST;
        }
        allowed
    }

    fn balance(&mut self, workspace: &str, pool: &str) -> &mut u32 {
        self.0.entry((workspace.to_owned(), pool.to_owned())).or_insert(MAX_BALANCE)
    }
}
