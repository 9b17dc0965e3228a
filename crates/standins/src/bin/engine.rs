//! Runs the stand-in for a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use hatchpitch_net::{bind, stop_pair};
use hatchpitch_standins::engine::EngineConfig;
use hatchpitch_standins::engine::server::EngineServer;

/// A stand-in for a model engine, on loopback only.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// The model it holds.
    #[arg(long)]
    model: String,
    /// Memory, in tokens.
    #[arg(long, default_value_t = 20_000)]
    memory: u64,
    /// Generations in the batch at most.
    #[arg(long, default_value_t = 16)]
    max_batch: usize,
    /// Time of a step with an empty batch, in microseconds.
    #[arg(long, default_value_t = 8_000)]
    step_us: u64,
    /// Lag of load reports, in milliseconds.
    #[arg(long, default_value_t = 500)]
    report_lag_ms: u64,
    /// Accepts orders of any term.
    #[arg(long)]
    no_fence: bool,
    /// Time for which it does not listen yet, in milliseconds: a machine that starts late.
    #[arg(long, default_value_t = 0)]
    start_after_ms: u64,
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    anyhow::ensure!(args.listen.ip().is_loopback(), "the stand-in listens on loopback only");
    let cfg = EngineConfig {
        memory_limit: args.memory,
        max_batch: args.max_batch,
        step_base: Duration::from_micros(args.step_us),
        checks_fence: !args.no_fence,
        ..EngineConfig::default()
    };
    compio::time::sleep(Duration::from_millis(args.start_after_ms)).await;
    let listener = bind(args.listen).await?;
    let lag = Duration::from_millis(args.report_lag_ms);
    let engine = EngineServer::new(cfg, &args.model, lag);
    let (stop_handle, stop) = stop_pair();
    compio::runtime::spawn(engine.run(listener, stop)).detach();
    hatchpitch::signals::stop_requested().await?;
    drop(stop_handle);
    Ok(())
}
