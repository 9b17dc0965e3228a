//! Failure domains whose upstreams get no new work until an operator says otherwise.
//!
//! An evacuation is ordered in the replicated log, beside the configuration and as durable. The
//! set of evacuated domains is small, so it travels whole: with the feed of the configuration,
//! and with the news of upstreams that every entry box follows at several control boxes.

pub mod state;
pub mod verify;

pub use state::{EvacuationOrder, Evacuations, Revision};
