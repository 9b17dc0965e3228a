//! Daemon of an entry box: parses settings, sets up logging and runs the library.

use std::path::PathBuf;

use anyhow::Context as _;
use clap::Parser;
use hatchpitch::settings::entry::RawEntrySettings;
use hatchpitch::settings::{EntrySettings, load_file};

/// Accepts requests from callers and relays the answers.
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
    let settings: EntrySettings = load_file::<RawEntrySettings, _>(&args.settings)?;
    hatchpitch::logging::start(&settings.name, settings.log_level).context("logs")?;
    hatchpitch::entry::run(settings).await
}
