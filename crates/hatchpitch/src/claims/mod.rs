//! At-most-once execution of requests that are not safe to repeat.
//!
//! An entry box claims such a request at the control leader before it sends the first byte to an
//! upstream, and settles the claim with the outcome. Retries of the request get the stored outcome.

pub mod client;
pub mod messages;
pub mod state;
pub mod verify;

pub use client::ClaimClient;
pub use messages::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
pub use state::{ClaimTable, ClaimsConfig};
