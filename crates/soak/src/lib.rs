//! A randomized fault soak: real processes, faults from outside, promises checked from outside.
//!
//! The tests of the duties bring about the failures that their authors thought
//! of. This crate looks for the others: it starts a small fleet on loopback,
//! puts a proxy before every listener, and lets a schedule drawn from a seed
//! kill, freeze, stop, cut off and damage what it can reach. Meanwhile callers,
//! upstreams and an operator note what they see, and [`verify`] compares that
//! with what is promised. It knows no wire: an adapter gives a [`wire::Wire`].
//!
//! A run has rounds of two parts. In a storm, faults overlap. Then everything
//! is mended, the fleet has to serve again, and in a calm part only planned work
//! goes on, in which no request may be broken off.

pub mod callers;
pub mod condition;
pub mod context;
pub mod faults;
pub mod fleet;
pub mod operator;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod run;
pub mod schedule;
pub mod sources;
pub mod upstreams;
pub mod verify;
pub mod wire;

pub use run::{Options, Report, run};
pub use wire::Wire;
