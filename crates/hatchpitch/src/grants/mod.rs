//! Grants engine slots across boxes: the box that handles a request obtains a slot from the box
//! that owns the engine.
//!
//! The owner knows exactly which requests it admitted, so placement does not depend on delayed
//! load reports. Ownership is a soft state: two simultaneous owners of an engine reduce
//! efficiency but break no guarantee, and a box that reaches no owner admits requests itself.
//! `dispatch` decides which owners are asked, and for what.

pub mod held;
pub mod messages;
pub mod slot;
pub mod state;
pub mod task;
mod withdrawal;

pub use held::{HeldSlot, HeldSlots};
pub use messages::{
    AdoptAnswer, AdoptRequest, AdoptedSlot, GrantAnswer, GrantRequest, GrantSync, ReleaseRequest,
};
pub use slot::Slot;
pub use state::GrantTable;
