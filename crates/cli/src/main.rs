//! Command-line client for the operators of a hatchpitch fleet.

mod args;
mod client;
mod commands;
mod exit;
mod output;

use std::process::ExitCode;

use clap::Parser;

#[compio::main]
async fn main() -> ExitCode {
    let args = args::Args::parse();
    match commands::run(args).await {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("hatchpitch: {err:#}");
            exit::Exit::Failed.into()
        }
    }
}
