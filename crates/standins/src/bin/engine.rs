//! Runs the stand-in model engine.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use hatchpitch_net::{bind, stop_pair};
use hatchpitch_standins::engine::EngineConfig;
use hatchpitch_standins::engine::server::EngineServer;

/// Stand-in model engine on a loopback address.
#[derive(Debug, Parser)]
struct Args {
    /// Loopback address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the loaded model.
    #[arg(long)]
    model: String,
    /// Memory limit, in tokens.
    #[arg(long, default_value_t = 20_000)]
    memory: u64,
    /// Maximum number of generations in a batch.
    #[arg(long, default_value_t = 16)]
    max_batch: usize,
    /// Base duration of a step, in microseconds.
    #[arg(long, default_value_t = 8_000)]
    step_us: u64,
    /// Delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 500)]
    report_lag_ms: u64,
    /// Accept commands of any term, including outdated ones.
    #[arg(long)]
    no_fence: bool,
    /// Delay before listening, in milliseconds; simulates a slow start.
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
