//! Values of peers, callers, operators and the log that no arithmetic may panic on.

mod claims;
mod config;
mod feed;
mod lengths;
mod log;
mod permits;
mod registry;
mod weights;
mod zero;
