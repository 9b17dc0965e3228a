//! Runs the stand-in caller, which discovers an entry box and prints one streamed answer.

use std::io::Write as _;
use std::net::SocketAddr;

use anyhow::Context as _;
use clap::Parser;
use hatchpitch_standins::caller::Caller;

/// Discovers entry boxes, sends the prompt to the first one and prints the streamed answer.
#[derive(Debug, Parser)]
struct Args {
    /// Address of any entry box, used for discovery.
    #[arg(long)]
    ask: SocketAddr,
    /// API key of the workspace.
    #[arg(long, env = "HATCHPITCH_KEY", hide_env_values = true)]
    key: String,
    /// Name of the model.
    #[arg(long)]
    model: String,
    /// Prompt text.
    prompt: String,
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let caller = Caller { key: args.key };
    let discovered = caller.endpoints(args.ask).await?;
    let at = discovered.endpoints.first().context("the entry box returned no endpoints")?.addr;
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
    anyhow::ensure!(answer.complete, "the stream ended before the answer was complete");
    eprintln!("{} tokens, trace {}", answer.tokens.len(), answer.trace);
    Ok(())
}
