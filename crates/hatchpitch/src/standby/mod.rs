//! Standby copies of streams, from which they continue if their engine is lost without notice.
//!
//! Handles the crash of an engine, or of all engines of a failure domain at once. The engine that
//! runs a long stream sends its memory (KV cache) to an engine of another failure domain as it
//! grows. The standby has a slot of its own at the owner of that engine, which grants it only where
//! memory is plentiful. [`plan`] decides which streams get a standby and where; [`task`] obtains
//! the slot. `relay` continues a broken stream at its standby.

pub mod plan;
pub mod task;
