//! Evacuation of failure domains: their upstreams get no new work until an operator ends it.
//!
//! Evacuations are committed to the replicated log, like configuration changes. The set of
//! evacuated domains is small, so it is always sent whole: with the configuration feed, and with
//! the upstream updates that every entry box follows at several control boxes.

pub mod state;
pub mod verify;

pub use state::{EvacuationOrder, Evacuations, Revision};
