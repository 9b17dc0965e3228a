//! Runs the stand-in for an application service.

use std::net::SocketAddr;

use clap::Parser;
use hatchpitch_net::{bind, stop_pair};
use hatchpitch_standins::app::AppServer;

/// A stand-in for an application service, on loopback only.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen at.
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
