//! Runs the stand-in for a caller: finds a box and prints one streamed answer.

use std::io::Write as _;
use std::net::SocketAddr;

use anyhow::Context as _;
use clap::Parser;
use hatchpitch_standins::caller::Caller;

/// Asks for addresses, connects to the first and prints a streamed answer.
#[derive(Debug, Parser)]
struct Args {
    /// Any box.
    #[arg(long)]
    ask: SocketAddr,
    /// Workspace key.
    #[arg(long, env = "HATCHPITCH_KEY", hide_env_values = true)]
    key: String,
    /// Model.
    #[arg(long)]
    model: String,
    /// Prompt.
    prompt: String,
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let caller = Caller { key: args.key };
    let found = caller.endpoints(args.ask).await?;
    let at = found.endpoints.first().context("the box names no address")?.addr;
    eprintln!("using {at}");
    let answer = caller.chat(at, &args.model, &args.prompt, |token| {
        print!("{}", token.text);
        std::io::stdout().flush().is_ok()
    });
    let answer = answer.await?;
    println!();
    if let Some(error) = answer.error {
        anyhow::bail!("{}: {}", error.error.kind, error.error.message);
    }
    anyhow::ensure!(answer.complete, "the answer broke off");
    eprintln!("{} tokens, trace {}", answer.tokens.len(), answer.trace);
    Ok(())
}
