//! Which boxes and upstreams live, leave or are gone, agreed on by gossip.
//!
//! The platform's list is only a hint. Truth comes from the boxes' own
//! heartbeats to a few peers, at a constant cost a box whatever the fleet's size.

pub mod messages;
pub mod state;
pub mod task;
pub mod verify;

pub use messages::{Gossip, MemberRecord, MemberStatus, Subject};
pub use state::{Membership, MembershipAction, MembershipConfig};
