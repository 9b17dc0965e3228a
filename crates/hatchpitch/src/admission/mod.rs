//! Who waits: requests of one pool in order of paid priority and fair service.

pub mod gate;
pub mod state;
pub mod verify;

pub use gate::{Gate, Permit, Refusal, Want};
pub use state::{AdmissionConfig, AdmissionQueue, Ticket};
