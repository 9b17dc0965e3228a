//! Who may run where: each engine has one owner among the entry boxes.
//!
//! The owner knows exactly what it let in, so the lag of load reports stops
//! mattering. Ownership is soft: two owners for a moment cost efficiency,
//! never a promise, and with no owner in reach a box decides for itself.

pub mod messages;
pub mod ownership;
pub mod state;
pub mod task;

pub use messages::{GrantAnswer, GrantRequest, GrantSync, ReleaseRequest};
pub use state::GrantTable;
pub use task::Slot;
