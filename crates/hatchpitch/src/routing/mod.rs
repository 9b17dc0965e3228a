//! Runner selection: the state of each runner as seen by one box, and the choice between them.

pub mod objective;
pub mod prefill;
pub mod query;
pub mod report;
pub mod runner;
pub mod state;
pub mod task;
pub mod verify;
pub mod warmup;

pub use objective::PauseObjective;
pub use report::{RunReport, Verdict};
pub use state::{RoutingConfig, RunnerTable};
pub use warmup::ColdLimit;
