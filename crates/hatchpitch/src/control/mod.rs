//! The control process: the state that must survive, and what operators change.

pub mod boxes;
pub mod context;
pub mod daemon;
pub mod machine;
pub mod operators;
pub mod repair;

pub use daemon::run;
pub use machine::{Command, Machine, Reply};
