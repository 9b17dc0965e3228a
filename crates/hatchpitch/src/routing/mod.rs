//! Where a request runs: the state of each runner as one box sees it.

pub mod reading;
pub mod state;
pub mod task;
pub mod verify;
pub mod warming;

pub use state::{RoutingConfig, RunReport, RunnerTable, Verdict};
pub use warming::ColdLimit;
