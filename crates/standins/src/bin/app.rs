//! Runs the stand-in application service.

use std::net::SocketAddr;

use clap::Parser;
use hatchpitch_net::{bind, stop_pair};
use hatchpitch_standins::app::AppServer;

/// Stand-in application service on a loopback address.
#[derive(Debug, Parser)]
struct Args {
    /// Loopback address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    anyhow::ensure!(args.listen.ip().is_loopback(), "the stand-in listens on loopback only");
    let listener = bind(args.listen).await?;
    let (stop_handle, stop) = stop_pair();
    compio::runtime::spawn(AppServer::new().run(listener, stop)).detach();
    hatchpitch::signals::stop_requested().await?;
    drop(stop_handle);
    Ok(())
}
