//! The replicated log: Raft as a state machine without I/O, its storage, and the task that drives
//! it.
//!
//! Pre-vote and check-quorum keep a box that rejoins after a network partition from disrupting the
//! leader. Leader leases depend only on the monotonic clock.

pub mod absence;
pub mod append;
pub mod bootstrap;
pub mod disk;
pub mod election;
pub mod entries;
pub mod membership;
pub mod messages;
pub mod restart;
pub mod state;
pub mod storage;
pub mod task;
pub mod transfer;
pub mod verify;

pub use messages::{Entry, Envelope, Index, Members, Message, NodeId, Payload, Peer, Term};
pub use state::{HardState, Ready, Replica, ReplicaConfig, Restored, Snapshot};
pub use storage::Storage;
