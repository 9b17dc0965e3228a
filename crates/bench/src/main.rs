//! Measures real processes against stand-ins on loopback.
//!
//! Every command starts its own small fleet, stops it, and prints what it
//! measured as a table and, if asked, as JSON and a plot. No figure is asserted.

mod capacity;
mod load;
mod overhead;
mod policies;
mod report;
mod trace;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Measures hatchpitch on this machine.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Folder for JSON and plots.
    #[arg(long, global = true)]
    out: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// What an idle system adds to the first token and to each token.
    Overhead {
        /// Answers measured each way.
        #[arg(long, default_value_t = 60)]
        answers: usize,
    },
    /// Policies of admission side by side, under the same trace.
    Policies {
        /// Which fleet's trace.
        #[arg(long, value_enum, default_value = "texas")]
        fleet: trace::FleetKind,
        /// Seeds; each is one run of each policy.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// Load against what the engines can serve.
        #[arg(long, default_value_t = 1.0)]
        load: f64,
        /// Seconds of arrivals.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Entry boxes.
        #[arg(long, default_value_t = 3)]
        entry: usize,
        /// Policies, by name; all if none is given.
        #[arg(long, value_delimiter = ',')]
        policy: Vec<String>,
    },
    /// Slopes for docs/CAPACITY.md.
    Capacity {
        /// One part only: decisions, ownership, config, idle, in-force, claims, fail-over, tokens.
        #[arg(long)]
        only: Option<String>,
    },
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    match args.command {
        Command::Overhead { answers } => overhead::run(answers).await,
        Command::Policies { fleet, seeds, load, seconds, entry, policy } => {
            let plan = policies::Plan { fleet, seeds, load, seconds, entry, chosen: policy };
            policies::run(&plan, args.out.as_deref()).await
        }
        Command::Capacity { only } => capacity::run(only.as_deref()).await,
    }
}
