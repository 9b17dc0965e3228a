//! Reaches upstreams through other boxes where this box has no link of its own.
//!
//! A box may lose its links to some or all upstreams while callers and other boxes still reach it.
//! It then sends its requests through a box that has links. Only the transport changes: slots,
//! permits, budgets, deadlines and the decision to retry stay with the box that took the request,
//! and the other box sends it once, on a link of its own.

pub mod client;
pub mod messages;
pub mod silence;
pub mod state;
pub mod task;
pub mod verify;
pub mod watch;

pub use client::UpstreamClient;
pub use messages::{ForwardAction, ForwardFailure, ForwardRequest};
pub use state::{PathTable, PeerTable, Reachability};
pub use task::ForwardCounts;
pub use watch::SendOptions;
