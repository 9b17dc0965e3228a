//! The fleet file: parsed, checked whole, replicated, and put in force at every box.
//!
//! A fleet is a flat table of entities. That makes the difference between two
//! fleets, and the digest of a whole one, cheap to work out from what changed,
//! so the cost of a change does not depend on the size of the file.

pub mod arriving;
pub mod check;
pub mod entity;
pub mod feed;
pub mod hosted;
pub mod messages;
pub mod packed;
pub mod raw;
pub mod state;
pub mod verify;
pub mod view;

pub use check::load_fleet;
pub use entity::{
    Entity, EntityKey, FailureDomain, Fleet, KeyHash, Operator, Pool, Route, Runner, Service,
    ServiceUpstream, Workspace,
};
pub use messages::{ApplyOutcome, Delta, FeedAnswer, FeedRequest, Rest};
pub use state::{ConfigChange, ConfigState, Part};
pub use view::FleetView;
