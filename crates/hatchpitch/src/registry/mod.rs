//! Registry of upstreams that announce themselves, and its distribution to the entry boxes.
//!
//! Each control box keeps a table of announcements under leases, in memory only. It forwards
//! changes to the other control boxes, and acknowledges that an upstream leaves once a majority of
//! them holds this. Entry boxes follow several control boxes with long polls and keep the union of
//! their tables, so losing a single control box does not hide a leaving upstream from the boxes
//! that send it work.

pub mod follow;
pub mod life;
pub mod messages;
pub mod peers;
pub mod roster;
pub mod table;
pub mod verify;

pub use life::{Birth, LifeName, announced_id, life_name};
pub use messages::{
    Detail, FollowAnswer, FollowRequest, PackedRecords, Phase, RegistryNews, UpstreamRecord,
};
pub use roster::Roster;
pub use table::{Announced, RegistryCell, Table};
