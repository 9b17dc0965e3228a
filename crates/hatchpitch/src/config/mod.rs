//! The fleet configuration: parsing, validation, replication, and distribution to all boxes.
//!
//! A fleet is a flat table of entities. The difference between two fleets and the
//! digest of a fleet can therefore be computed from the changed entities alone, so
//! that the cost of distributing a change does not depend on the size of the file.

pub mod check;
pub mod entity;
pub mod feed;
pub mod hosted;
pub mod messages;
pub mod packed;
pub mod raw;
pub mod state;
pub mod transfer;
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
