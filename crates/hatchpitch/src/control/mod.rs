//! The control process: the replicated state of the fleet, and the requests of operators that read
//! and change it.

pub mod boxes;
pub mod context;
pub mod core_changes;
pub mod daemon;
pub mod evacuate;
pub mod join;
pub mod leader;
pub mod machine;
pub mod majority;
pub mod operators;
pub mod quarantine;
pub mod registrations;
pub mod repair;
pub mod replica;
pub mod submit;

pub use daemon::run;
pub use machine::{Command, Machine, Reply};
