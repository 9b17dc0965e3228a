//! Upstreams that announce themselves, and how every entry box learns of them.
//!
//! Each control box keeps a table of announcements under leases, in memory
//! only. It passes news to the other control boxes, and an upstream's leaving
//! is acknowledged once a majority of them holds it. Entry boxes follow several
//! control boxes with held requests and keep the union, so no single control
//! box stands between a leaving upstream and the boxes that send it work.

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
