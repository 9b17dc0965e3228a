//! Daemon of a control box: parses settings, sets up logging and runs the library.

use std::path::PathBuf;

use anyhow::Context as _;
use clap::Parser;
use hatchpitch::settings::control::RawControlSettings;
use hatchpitch::settings::{ControlSettings, load_file};

/// Stores the durable state of the fleet: configuration and claims.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let settings: ControlSettings = load_file::<RawControlSettings, _>(&args.settings)?;
    hatchpitch::logging::start(&settings.own.name, settings.log_level).context("logs")?;
    hatchpitch::control::run(settings).await
}
