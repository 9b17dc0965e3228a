//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure; a requested change may or may not have been made
  2  invalid arguments
  3  a file is invalid; nothing was changed
  4  refused: the configuration number is taken or stale; nothing was changed
  5  accepted, but not in force at every box within the wait limit";

/// Manages a hatchpitch fleet.
#[derive(Debug, Parser)]
#[command(name = "hatchpitch", version, about, after_help = EXIT_CODES)]
pub struct Args {
    /// Operator addresses of the control boxes, separated by commas.
    #[arg(long, global = true, value_delimiter = ',', env = "HATCHPITCH_CONTROL")]
    pub control: Vec<SocketAddr>,
    /// Address of any entry box; the others are discovered through it.
    #[arg(long, global = true, env = "HATCHPITCH_ENTRY")]
    pub entry: Option<SocketAddr>,
    /// Operator key, sent as a bearer token.
    #[arg(long, global = true, env = "HATCHPITCH_OPERATOR_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub output: Output,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable text.
    Text,
    /// One JSON document.
    Json,
}

/// Subcommands of `hatchpitch`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate files without submitting them.
    Check {
        /// Type of the files.
        #[arg(long, value_enum, default_value = "fleet")]
        kind: FileKind,
        /// TOML files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Generate a random key and print it with its digest for the fleet file.
    Key,
    /// Show what a fleet file would change.
    Diff {
        /// Fleet file.
        file: PathBuf,
    },
    /// Submit a fleet file. Resubmitting the same file is safe.
    Apply {
        /// Fleet file.
        file: PathBuf,
        /// Wait until the change is in force at every box, for at most SECONDS (10 if no value is
        /// given).
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Print the configuration in force, or the content digest accepted under a number.
    Get {
        /// Configuration number of an accepted fleet file.
        #[arg(long)]
        number: Option<u64>,
    },
    /// Show control boxes, entry boxes, runners, configuration numbers, streams and queues.
    Status,
    /// Close an entry box to new requests and let the running ones finish.
    Drain {
        /// Name of the entry box.
        name: String,
        /// Wait until intake is closed and no stream is active.
        #[arg(long)]
        wait: bool,
    },
    /// Begin or end the evacuation of a failure domain, or list the evacuated domains.
    #[command(subcommand)]
    Evacuation(Evacuation),
    /// List the requests that are refused for crashing upstreams, or release one.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// Replace a control box that lost its disk. After success, losing another replica loses no
    /// data.
    Repair {
        /// Name of the control box, which must be running with an empty data folder.
        #[arg(long, value_name = "BOX")]
        replace: String,
    },
    /// Show the spans of a trace from all entry boxes.
    Trace {
        /// Trace ID, 32 hexadecimal digits.
        id: String,
    },
    /// Reconstruct the history of one request from the logs of all boxes. Contacts no box.
    Explain {
        /// Request ID that the caller uses.
        request: String,
        /// Log files, one or more per box.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Print a shell completion script.
    Completions {
        /// Shell to complete for.
        shell: Shell,
    },
}

/// Subcommands of `hatchpitch evacuation`. Repeating one has no further effect.
#[derive(Debug, Subcommand)]
pub enum Evacuation {
    /// Stop sending requests to the upstreams of a failure domain.
    Begin {
        /// Name of the failure domain.
        domain: String,
        /// Wait until the change is in force at every box, for at most SECONDS (10 if no value is
        /// given).
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// Resume sending requests to the upstreams of a failure domain.
    End {
        /// Name of the failure domain.
        domain: String,
        /// Wait until the change is in force at every box, for at most SECONDS (10 if no value is
        /// given).
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "10")]
        wait: Option<u64>,
    },
    /// List the evacuated failure domains.
    List,
}

/// Subcommands of `hatchpitch quarantine`. Repeating one has no further effect.
#[derive(Debug, Subcommand)]
pub enum Quarantine {
    /// List the quarantined requests.
    List,
    /// Allow a quarantined request to run again.
    Release {
        /// Content digest of the request, 32 hexadecimal digits.
        content: String,
    },
}

/// Types of files that `hatchpitch check` validates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FileKind {
    /// A fleet file.
    Fleet,
    /// Settings of an entry process.
    Entry,
    /// Settings of a control process.
    Control,
}
