//! Randomized fault injection for a small fleet of real processes.
//!
//! Other tests inject the failures that their authors anticipated. This crate searches for the
//! rest: it starts a small fleet on loopback, puts a proxy in front of every listener, and follows
//! a schedule of faults that is drawn from a seed. Faults kill, suspend, stop, partition and damage
//! boxes and upstreams. Callers, upstreams and an operator record what they observe, and [`verify`]
//! checks the records against the guarantees of the system. The protocol of the programs under test
//! is supplied by an adapter as a [`wire::Wire`].
//!
//! A run consists of rounds with two phases. In the storm phase, faults overlap. Then all faults
//! are repaired and the fleet has to serve again. In the calm phase only maintenance takes place,
//! which must not interrupt any request.

pub mod answers;
pub mod callers;
pub mod condition;
pub mod context;
pub mod faults;
pub mod fleet;
pub mod heads;
pub mod load;
pub mod operator;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod replacement;
pub mod run;
pub mod schedule;
pub mod sources;
pub mod upstreams;
pub mod verify;
pub mod wire;

pub use run::{Options, Report, run};
pub use wire::Wire;
