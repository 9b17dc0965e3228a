//! Who waits: requests of one pool in order of paid priority and fair service.

pub mod gate;
pub mod lengths;
pub mod memory;
pub mod policy;
pub mod state;
pub mod verify;

pub use gate::{Gate, Permit};
pub use lengths::LengthModel;
pub use memory::{Candidate, MemoryPolicy};
pub use policy::{Order, Pick, Placement, Policy};
pub use state::{AdmissionConfig, AdmissionQueue, Ticket};
