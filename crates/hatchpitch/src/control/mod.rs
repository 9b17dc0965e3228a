//! The control process: the state that must survive, and what operators change.

pub mod boxes;
pub mod context;
pub mod daemon;
pub mod evacuate;
pub mod join;
pub mod leader;
pub mod machine;
pub mod operators;
pub mod quarantine;
pub mod registrations;
pub mod repair;
pub mod submit;

pub use daemon::run;
pub use machine::{Command, Machine, Reply};
