//! Additional listeners that a daemon serves besides those for callers, operators and boxes.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::Context as _;
use compio::runtime::JoinHandle;
use hatchpitch_net::{Handler, ServerLimits, Stop, bind, serve};

/// How long to wait for a listener to close at shutdown; its requests have been drained before.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// An additional listener and its request handler.
pub struct ExtraListener {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Limits on its connections.
    pub limits: ServerLimits,
    /// Handles one request.
    pub handler: Handler,
}

/// Returns the address to bind for a listener that is advertised as `addr`: `listen_ip`, if set,
/// replaces the IP address.
pub fn bind_addr(addr: SocketAddr, listen_ip: Option<IpAddr>) -> SocketAddr {
    SocketAddr::new(listen_ip.unwrap_or(addr.ip()), addr.port())
}

/// Binds additional listeners and starts serving them.
///
/// # Errors
///
/// Returns an error if one of them cannot be bound.
pub async fn open(
    extra: Vec<ExtraListener>,
    listen_ip: Option<IpAddr>,
    stop: &Stop,
) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut listeners = Vec::with_capacity(extra.len());
    for ExtraListener { addr, limits, handler } in extra {
        let listener = bind(bind_addr(addr, listen_ip)).await.context("further listener")?;
        listeners.push(compio::runtime::spawn(serve(listener, limits, handler, stop.clone())));
    }
    Ok(listeners)
}

/// Waits for listeners that were asked to stop, for at most `SHUTDOWN_TIMEOUT` each.
pub async fn wait_closed(listeners: Vec<JoinHandle<()>>) {
    for listener in listeners {
        let _ = compio::time::timeout(SHUTDOWN_TIMEOUT, listener).await;
    }
}
