//! How fast the engines of a pool produce the events of streams, and the risk that a stream pauses
//! for longer than its route allows.
//!
//! The box that relays a stream sees the gaps between its events, and the box that owns the engine
//! decides what runs there. Gaps are therefore reported to the owner while streams run. All state
//! is soft: it is bound to one lifetime of an engine and is lost with its owner.

pub mod collector;
pub mod histogram;
pub mod messages;
pub mod state;
pub mod task;
pub mod verify;
pub mod watch;

pub use collector::Collector;
pub use histogram::GapHistogram;
pub use messages::PaceReport;
pub use state::PoolPace;
