//! Fleets of real processes for tests: started, stopped and killed by id.
//!
//! Every fleet uses a loopback address of its own, so that fleets of tests
//! that run side by side never meet; ports come from the kernel.

pub mod fleet;
pub mod process;
mod ready;

pub use fleet::{Shape, TestFleet};
pub use process::Process;
