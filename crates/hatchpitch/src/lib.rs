//! Serving system for generations of unknown length on heavily loaded engines.
//!
//! Each module folder covers one responsibility. In it, `state` is plain data
//! with deterministic functions that use no sockets, clocks or randomness;
//! `messages` defines the wire format; `verify` checks invariants in tests; a
//! thin task does the I/O. The daemons `hatchpitch-entry` and
//! `hatchpitch-control` only connect these modules.

pub mod admission;
pub mod backlog_monitor;
pub mod claims;
pub mod commands;
pub mod config;
pub mod control;
pub mod discovery;
pub mod dispatch;
pub mod drain;
pub mod engine;
pub mod entry;
pub mod essential;
pub mod evacuation;
pub mod explain;
pub mod grants;
pub mod ids;
pub mod lifecycle;
pub mod limits;
pub mod listener;
pub mod logging;
pub mod membership;
pub mod memory_monitor;
pub mod message_limits;
pub mod metrics;
pub mod moves;
pub mod outcome;
pub mod pace;
pub mod quarantine;
pub mod reachability;
pub mod registry;
pub mod relay;
pub mod replication;
pub mod retry;
pub mod routing;
pub mod security;
pub mod settings;
pub mod signals;
pub mod streams;
pub mod trace;
pub mod upstream_limits;
pub mod upstream_signals;
