//! Requests that must not be repeated: claimed before the first byte goes out.

pub mod client;
pub mod messages;
pub mod state;
pub mod verify;

pub use client::ClaimClient;
pub use messages::{ClaimId, ClaimOutcome, ClaimRequest, KeptAnswer, SettleRequest, Settlement};
pub use state::{ClaimTable, ClaimsConfig};
