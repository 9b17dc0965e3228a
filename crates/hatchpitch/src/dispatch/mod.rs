//! Load balancing and scheduling of generations: where one runs, how long it may queue, and when
//! it is refused.
//!
//! The modules are pure state machines: they do no I/O, and the clock and the random numbers are
//! passed in. A request passes through three of them:
//!
//! 1. [`owners`] maps each engine to the box that schedules it;
//! 2. [`search`] chooses the owners that a request asks, and evaluates their quotes;
//! 3. [`scheduler`] assigns the engine slots of one owner to requests and queues the others.
//!
//! `grants` and [`Gate`](crate::admission::Gate) carry out the decisions.

pub mod owners;
pub mod request;
pub mod scheduler;
pub mod search;
pub mod verify;

pub use owners::OwnerMap;
pub use request::{Refusal, SlotRequest};
pub use scheduler::{Answer, Decision, PoolScheduler, QueueRefusals};
pub use search::{OwnerChoice, Quote, Step};
