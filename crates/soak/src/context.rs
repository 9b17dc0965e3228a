//! What all parts of a run share.

use hatchpitch_net::Stop;

use crate::condition::Links;
use crate::record::Record;
use crate::sources::Sources;
use crate::wire::Wire;

/// What all parts of a run share.
pub struct RunCx {
    /// The protocol.
    pub wire: Wire,
    /// Conditions of the links.
    pub links: Links,
    /// Whose processes open connections.
    pub sources: Sources,
    /// What is seen.
    pub record: Record,
    /// Ends all tasks.
    pub stop: Stop,
}
