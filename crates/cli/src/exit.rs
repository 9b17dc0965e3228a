//! Exit codes, as `--help` lists them.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Failed; what was asked for may or may not have happened.
    Failed,
    /// A file has problems; nothing was changed.
    Invalid,
    /// Refused: the number is taken or stale; nothing was changed.
    Refused,
    /// Accepted, but not in force everywhere within the time given.
    NotYet,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            // Code 2 is the argument parser's.
            Exit::Invalid => 3,
            Exit::Refused => 4,
            Exit::NotYet => 5,
        })
    }
}
