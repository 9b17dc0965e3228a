//! Requests that crash what runs them: told apart from what ran beside them, and refused.
//!
//! An entry box notes the runs that broke off on an upstream and finds out whether it crashed. What
//! it saw goes to the control leader and into the replicated log, beside the configuration and as
//! durable, so that crashes add up over all boxes and outlast them. The list of held contents is
//! small and travels whole, as the evacuated failure domains do: with the feed of the
//! configuration, and with the news of upstreams that every entry box follows.

pub mod content;
pub mod messages;
pub mod observer;
pub mod recent;
pub mod state;
pub mod verify;

pub use content::ContentId;
pub use messages::{Crash, CrashedRun, Evidence, QuarantineList, Revision};
pub use observer::Observer;
pub use state::Ledger;
