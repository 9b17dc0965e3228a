//! The budget for sending requests to a second upstream, which all boxes share.
//!
//! Each box spends at most its part: a share of the slack that all boxes have
//! together, and what its own requests earn. A box that knows fewer boxes than
//! before keeps the smaller part, so losing touch never spends more.

use std::collections::HashMap;

use crate::ids::ServiceName;

/// Bounds on repeats for one service, over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats that each request earns.
    pub ratio: f64,
    /// Repeats that are allowed beyond it. A box's part of them never refills with time, so the
    /// bound holds for windows of any length.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        // A tenth is the usual figure for retry budgets; the slack lets a small fleet retry at all.
        Self { ratio: 0.1, slack: 20.0 }
    }
}

/// Part of the limits that is used: boxes come and go within a window, and their parts add up.
const USED_PART: f64 = 0.5;
/// Boxes that are assumed before any are known.
const ASSUMED_BOXES: usize = 4;

/// This box's part of the budgets, one a service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    /// Most boxes known at once in this life.
    boxes: usize,
    saved: HashMap<ServiceName, f64>,
}

impl RetryBudgets {
    /// Creates full budgets.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, boxes: ASSUMED_BOXES, saved: HashMap::new() }
    }

    /// Notes how many boxes share the budgets.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = self.boxes.max(boxes);
    }

    /// Notes a request, which earns a part of a repeat.
    pub fn earn(&mut self, service: &str) {
        let (cap, ratio) = (self.cap(), self.limits.ratio * USED_PART);
        let saved = self.saved.entry(service.to_owned()).or_insert(cap);
        *saved = (*saved + ratio).min(cap);
    }

    /// Returns whether the budget allows a repeat now.
    pub fn allows(&self, service: &str) -> bool {
        self.saved.get(service).copied().unwrap_or(self.cap()) >= 1.0
    }

    /// Takes a repeat; returns whether the budget allows it.
    pub fn take(&mut self, service: &str) -> bool {
        let allowed = self.allows(service);
        if allowed {
            let cap = self.cap();
            *self.saved.entry(service.to_owned()).or_insert(cap) -= 1.0;
        }
        allowed
    }

    /// Takes a repeat that cannot be held back, which leaves less for others.
    pub fn spend(&mut self, service: &str) {
        let cap = self.cap();
        let saved = self.saved.entry(service.to_owned()).or_insert(cap);
        *saved = (*saved - 1.0).max(-cap);
    }

    /// Returns what may be saved: this box's part of the slack, and never less than one repeat.
    fn cap(&self) -> f64 {
        (self.limits.slack * USED_PART / self.boxes as f64).max(1.0)
    }
}
