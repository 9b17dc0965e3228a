//! Quarantine of requests that crash the upstreams that run them.
//!
//! Requests that crash upstreams are told apart from requests that merely ran at the same time. What
//! crashes upstreams may be a request's whole content, or a part of its prompt that other requests
//! have as well.
//!
//! An entry box records the runs that are interrupted on an upstream and finds out whether the
//! upstream crashed. It reports crashes to the control leader, which commits them to the replicated
//! log, like configuration changes; so crashes seen by all boxes are counted together and survive
//! the loss of a box. The list of held contents is small and is always sent whole, like the set of
//! evacuated failure domains: with the configuration feed, and with the upstream updates that every
//! entry box follows.

mod blame;
pub mod causes;
pub mod content;
pub mod holds;
pub mod messages;
pub mod observer;
pub mod open_ends;
pub mod recent;
pub mod state;
pub mod verify;

pub use causes::{Causes, PartName, PromptParts};
pub use content::ContentId;
pub use messages::{
    Condition, Crash, CrashedRun, Evidence, QuarantineList, Revision, SuspectedParts,
};
pub use observer::Observer;
pub use state::Ledger;
