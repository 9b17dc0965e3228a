//! Listeners that a daemon serves beside those of the product's own interface.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::Context as _;
use compio::runtime::JoinHandle;
use hatchpitch_net::{Handler, ServerLimits, Stop, bind, serve};

/// Time for a listener to end once the process stops: its requests were waited for before.
const END_LIMIT: Duration = Duration::from_secs(1);

/// A listener and what answers its requests.
pub struct ExtraListener {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its bounds.
    pub limits: ServerLimits,
    /// Answers one request.
    pub handler: Handler,
}

/// Returns where a listener is bound whose address others know as `addr`.
pub fn bound_at(addr: SocketAddr, listen_ip: Option<IpAddr>) -> SocketAddr {
    SocketAddr::new(listen_ip.unwrap_or(addr.ip()), addr.port())
}

/// Begins to serve further listeners.
///
/// # Errors
///
/// Returns an error if one of them can't be opened.
pub async fn open(
    extra: Vec<ExtraListener>,
    listen_ip: Option<IpAddr>,
    stop: &Stop,
) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut listeners = Vec::with_capacity(extra.len());
    for ExtraListener { addr, limits, handler } in extra {
        let listener = bind(bound_at(addr, listen_ip)).await.context("further listener")?;
        listeners.push(compio::runtime::spawn(serve(listener, limits, handler, stop.clone())));
    }
    Ok(listeners)
}

/// Waits until listeners have ended that were asked to stop, each for a moment at most.
pub async fn ended(listeners: Vec<JoinHandle<()>>) {
    for listener in listeners {
        let _ = compio::time::timeout(END_LIMIT, listener).await;
    }
}
