//! Gossip-based membership: the status of every box and upstream.
//!
//! The platform's list of members is only a hint. Status is determined by heartbeats between the
//! boxes. Each box contacts a fixed number of peers, so its load does not depend on the fleet size.

pub mod messages;
pub mod state;
pub mod task;
pub mod verify;

pub use messages::{Gossip, MemberRecord, MemberStatus, Subject};
pub use state::{Membership, MembershipAction, MembershipConfig};
