//! Values of peers, callers, operators and the log that no arithmetic may panic on.

mod registry;
