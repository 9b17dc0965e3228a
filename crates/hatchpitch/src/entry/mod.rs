//! The entry process: accepts callers' requests, sends them to upstreams and returns the answers.

pub mod apps;
pub mod boxes;
pub mod callers;
pub mod chunks;
pub mod completions;
pub mod context;
pub mod daemon;
pub mod generation;
pub mod operators;

pub use context::EntryCx;
pub use daemon::run;
