//! Retry budgets of the services, whose bounds hold over all boxes together.
//!
//! Each box spends at most its share: an equal part of the fleet-wide slack, plus what its own
//! requests earn. A box that sees fewer boxes than before keeps its smaller share, so a partition
//! never raises the number of retries.

use std::collections::HashMap;

use crate::ids::ServiceName;

/// Bounds on the retries of one service, over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries that each request earns.
    pub ratio: f64,
    /// Retries that are allowed in addition. A box's share of them does not refill with time, so
    /// the bound holds for windows of any length.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        // A ratio of 0.1 is customary for retry budgets. Without the slack, a small fleet could
        // hardly retry at all.
        Self { ratio: 0.1, slack: 20.0 }
    }
}

/// Fraction of the limits that is used. Boxes that join and leave within a window each have a
/// share, and the shares add up.
const USED_FRACTION: f64 = 0.5;
/// Number of boxes that is assumed until membership is known.
const INITIAL_BOXES: usize = 4;

/// This box's shares of the retry budgets, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    /// Largest number of boxes seen at once since this process started.
    boxes: usize,
    /// Retries available to each service.
    balances: HashMap<ServiceName, f64>,
}

impl RetryBudgets {
    /// Creates budgets that are full.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, boxes: INITIAL_BOXES, balances: HashMap::new() }
    }

    /// Sets the number of boxes that share the budgets. A smaller number than before is ignored.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = self.boxes.max(boxes);
    }

    /// Credits a request, which earns a fraction of a retry.
    pub fn credit(&mut self, service: &str) {
        let (max_balance, ratio) = (self.max_balance(), self.limits.ratio * USED_FRACTION);
        let balance = self.balances.entry(service.to_owned()).or_insert(max_balance);
        *balance = (*balance + ratio).min(max_balance);
    }

    /// Returns whether the budget allows a retry now.
    pub fn allows(&self, service: &str) -> bool {
        self.balances.get(service).copied().unwrap_or(self.max_balance()) >= 1.0
    }

    /// Withdraws a retry if the budget allows it, and returns whether it did.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        let allowed = self.allows(service);
        if allowed {
            let max_balance = self.max_balance();
            *self.balances.entry(service.to_owned()).or_insert(max_balance) -= 1.0;
        }
        allowed
    }

    /// Withdraws a retry that cannot be withheld, even if the balance becomes negative. It leaves
    /// less for other requests.
    pub fn force_withdraw(&mut self, service: &str) {
        let max_balance = self.max_balance();
        let balance = self.balances.entry(service.to_owned()).or_insert(max_balance);
        *balance = (*balance - 1.0).max(-max_balance);
    }

    /// Returns the largest balance: this box's share of the slack, and at least one retry.
    fn max_balance(&self) -> f64 {
        (self.limits.slack * USED_FRACTION / self.boxes as f64).max(1.0)
    }
}
