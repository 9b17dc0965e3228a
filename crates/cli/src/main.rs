//! The operators' command line. Each command has a module of its own.

mod args;
mod commands;
mod exit;
mod output;
mod remote;

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
