//! Daemon of an entry box: parses settings, sets up logging and runs the library.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use hatchpitch::settings::entry::RawEntrySettings;
use hatchpitch::settings::{EntrySettings, load_file};
use hatchpitch::{lifecycle, signals};

/// Accepts requests from callers and relays the answers.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// Settings file in TOML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs before the standard library sets up the process, since SIGHUP may arrive that early.
#[used]
#[unsafe(link_section = ".init_array")]
static IGNORE_SIGHUP: extern "C" fn() = signals::ignore_sighup;

fn main() -> ExitCode {
    let args = Args::parse();
    lifecycle::run(|mut stop_signals| async move {
        let load = load_file::<RawEntrySettings, EntrySettings>;
        let settings = lifecycle::await_settings(&args.settings, &mut stop_signals, load).await?;
        let Some(settings) = settings else { return Ok(()) };
        hatchpitch::logging::set_box(&settings.name, settings.log_level);
        hatchpitch::entry::run(settings, stop_signals).await
    })
}
