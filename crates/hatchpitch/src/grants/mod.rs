//! Slots of engines between the box that has a request and the box that owns the engine.
//!
//! The owner knows exactly what it let in, so the lag of load reports stops
//! mattering. Ownership is soft: two owners for a moment cost efficiency,
//! never a promise, and with no owner in reach a box decides for itself.
//! Which owner is asked for what, `dispatch` decides.

pub mod held;
pub mod messages;
pub mod state;
pub mod task;

pub use held::{HeldSlot, HeldSlots};
pub use messages::{
    AdoptAnswer, AdoptRequest, AdoptedSlot, GrantAnswer, GrantRequest, GrantSync, ReleaseRequest,
};
pub use state::GrantTable;
pub use task::Slot;
