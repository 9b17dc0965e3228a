//! Runner selection: the state of each runner as seen by one box, and the choice between them.

pub mod prefill;
pub mod state;
pub mod task;
pub mod verify;
pub mod warmup;

pub use state::{RoutingConfig, RunReport, RunnerTable, Verdict};
pub use warmup::ColdLimit;
