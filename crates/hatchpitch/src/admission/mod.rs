//! Admission control: queues the requests of a pool by paid priority and fair queueing, and decides
//! whether an engine has memory for another generation.

pub mod gate;
pub mod lengths;
pub mod memory;
pub mod policy;
pub mod recheck;
pub mod returns;
pub mod state;
pub mod verify;

pub use gate::{Gate, Permit};
pub use lengths::LengthModel;
pub use memory::{Candidate, MemoryPolicy};
pub use policy::{Order, Pick, Placement, Policy};
pub use returns::ReturnSchedule;
pub use state::{AdmissionConfig, AdmissionQueue, Ticket};
