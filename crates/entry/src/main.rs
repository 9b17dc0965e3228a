//! Daemon of an entry box. Parses settings, starts logs, runs the library.

use std::path::PathBuf;

use anyhow::Context as _;
use clap::Parser;
use hatchpitch::settings::entry::RawEntrySettings;
use hatchpitch::settings::{EntrySettings, load_file};

/// Takes callers' requests in and sees each to its answer.
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
