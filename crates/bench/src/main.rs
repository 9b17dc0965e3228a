//! Benchmarks real hatchpitch processes against stand-in engines and applications on loopback.
//!
//! Every command starts and stops its own small fleet and prints its results as a table; `policies`
//! also writes JSON and a plot if `--out` is given. Results are reported, never asserted.

mod capacity;
mod load;
mod overhead;
mod policies;
mod report;
mod trace;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Benchmarks hatchpitch on this machine.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Output folder for JSON files and plots.
    #[arg(long, global = true)]
    out: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure the latency that an idle system adds to the first token and to each further token.
    Overhead {
        /// Answers measured directly and through hatchpitch.
        #[arg(long, default_value_t = 60)]
        answers: usize,
    },
    /// Compare admission policies under the same trace.
    Policies {
        /// Fleet whose traffic the trace models.
        #[arg(long, value_enum, default_value = "texas")]
        fleet: trace::FleetKind,
        /// Seeds; every policy runs once per seed.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        /// Offered load as a fraction of the engines' capacity.
        #[arg(long, default_value_t = 1.0)]
        load: f64,
        /// Length of the trace, in seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Number of entry boxes.
        #[arg(long, default_value_t = 3)]
        entry: usize,
        /// Names of the policies to run; all if none is given.
        #[arg(long, value_delimiter = ',')]
        policy: Vec<String>,
    },
    /// Measure how costs scale, for docs/CAPACITY.md.
    Capacity {
        /// Run only one of decisions, ownership, config, idle, in-force, claims, fail-over, tokens.
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
            let cfg = policies::Config { fleet, seeds, load, seconds, entry, policies: policy };
            policies::run(&cfg, args.out.as_deref()).await
        }
        Command::Capacity { only } => capacity::run(only.as_deref()).await,
    }
}
