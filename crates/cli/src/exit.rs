//! Process exit codes, as documented in `--help`.

use std::process::ExitCode;

/// Result of a command, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Done,
    /// Failure; a requested change may or may not have been made.
    Failed,
    /// A file is invalid; nothing was changed.
    Invalid,
    /// Refused: the configuration number is taken or stale; nothing was changed.
    Refused,
    /// Accepted, but not in force at every box within the wait limit.
    NotInForce,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            // clap exits with code 2 on invalid arguments.
            Exit::Invalid => 3,
            Exit::Refused => 4,
            Exit::NotInForce => 5,
        })
    }
}
