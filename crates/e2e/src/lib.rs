//! Starts fleets of real processes for end-to-end tests and stops them by process id.
//!
//! Each fleet listens on its own loopback address with ports assigned by the kernel, so
//! concurrent tests do not interfere with each other.

pub mod fleet;
pub mod process;
mod ready;

pub use fleet::{FleetSpec, TestFleet};
pub use process::Process;
