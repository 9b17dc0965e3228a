//! State shared by all parts of a run.

use hatchpitch_net::Stop;

use crate::condition::Links;
use crate::record::Record;
use crate::sources::Sources;
use crate::wire::Wire;

/// State shared by all parts of a run.
pub struct RunCx {
    /// Adapter for the protocol of the programs under test.
    pub wire: Wire,
    /// Conditions of the network links.
    pub links: Links,
    /// Maps connections to the boxes that opened them.
    pub sources: Sources,
    /// Observations that are verified after the run.
    pub record: Record,
    /// Set when the run ends; all tasks stop then.
    pub stop: Stop,
}
