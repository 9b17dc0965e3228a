//! Arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failed; what was asked for may or may not have happened
  2  wrong arguments
  3  a file has problems; nothing was changed
  4  refused: the number is taken or stale; nothing was changed
  5  accepted, but not in force everywhere within the time given";

/// Operates a hatchpitch fleet.
#[derive(Debug, Parser)]
#[command(name = "hatchpitch", version, about, after_help = EXIT_CODES)]
pub struct Args {
    /// Control boxes, as addresses for operators.
    #[arg(long, global = true, value_delimiter = ',', env = "HATCHPITCH_CONTROL")]
    pub control: Vec<SocketAddr>,
    /// Any entry box; the others are learned from it.
    #[arg(long, global = true, env = "HATCHPITCH_ENTRY")]
    pub entry: Option<SocketAddr>,
    /// Operator key.
    #[arg(long, global = true, env = "HATCHPITCH_OPERATOR_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Shape of the output.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Shape of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// One JSON document.
    Json,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check files without sending them.
    Check {
        /// What the files are.
        #[arg(long, value_enum, default_value = "fleet")]
        kind: FileKind,
        /// Files in TOML.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Make a random key and print its digest for the fleet file.
    Key,
    /// Show what a fleet file would change.
    Diff {
        /// Fleet file.
        file: PathBuf,
    },
    /// Submit a fleet file. Sending the same file again is safe.
    Apply {
        /// Fleet file.
        file: PathBuf,
        /// Wait until it is in force at every box, at most so many seconds.
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Print the configuration in force, or which content holds a number.
    Get {
        /// Number of an accepted file.
        #[arg(long)]
        number: Option<u64>,
    },
    /// Show control boxes, entry boxes, upstreams, numbers in force, streams and waits.
    Status,
    /// Have an entry box finish what it has and take no new work.
    Drain {
        /// Name of the box.
        name: String,
        /// Wait until nothing runs there any more.
        #[arg(long)]
        wait: bool,
    },
    /// Begin or end the evacuation of a failure domain, or list the evacuated ones.
    #[command(subcommand)]
    Evacuation(Evacuation),
    /// List the requests that are refused for crashing upstreams, or let one go.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// Replace a control box that lost its disk; done means that a second loss costs nothing.
    Repair {
        /// Name of the box, which has to run with an empty data folder.
        #[arg(long, value_name = "BOX")]
        replace: String,
    },
    /// Show the spans of a trace from all boxes.
    Trace {
        /// Trace id, 32 hexadecimal digits.
        id: String,
    },
    /// Tell what the logs of all boxes say of one request. Needs no fleet.
    Explain {
        /// The caller's id of the request.
        request: String,
        /// Log files, one or more a box.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Print a completion script.
    Completions {
        /// Shell.
        shell: Shell,
    },
}

/// What is done about evacuations. Each order is safe to give again.
#[derive(Debug, Subcommand)]
pub enum Evacuation {
    /// Send nothing more to the upstreams of a failure domain.
    Begin {
        /// Name of the failure domain.
        domain: String,
        /// Wait until it is in force at every box, at most so many seconds.
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Use them again.
    End {
        /// Name of the failure domain.
        domain: String,
        /// Wait until it is in force at every box, at most so many seconds.
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Print the evacuated failure domains.
    List,
}

/// What is done about held requests. Each order is safe to give again.
#[derive(Debug, Subcommand)]
pub enum Quarantine {
    /// Print the held requests.
    List,
    /// Let a request run again.
    Release {
        /// Name of its content, 32 hexadecimal digits.
        content: String,
    },
}

/// Kinds of files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FileKind {
    /// A fleet file.
    Fleet,
    /// Settings of an entry process.
    Entry,
    /// Settings of a control process.
    Control,
}
