//! Where a generation runs, how long it may wait for that, and when it is turned away.
//!
//! Every decision on load is taken here, on plain data: no socket, no clock, and no randomness
//! but what is passed in. A request goes through three of them:
//!
//! 1. [`owners`] says which box decides for which engines;
//! 2. [`search`] says which owners a request asks, and what follows from their quotes;
//! 3. [`scheduler`] lets requests onto the engines of one owner, in the order of its line.
//!
//! `grants` and [`Gate`](crate::admission::Gate) carry the decisions out.

pub mod owners;
pub mod scheduler;
pub mod search;
pub mod verify;

pub use owners::OwnerMap;
pub use scheduler::{Answer, Decision, PoolScheduler, Refusal, SlotRequest};
pub use search::{OwnerChoice, Quote, Step};
