//! The listeners of a daemon, and their orderly end.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::Context as _;
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use hatchpitch_net::{Handler, PendingAnswers, ServerLimits, Stop, bind, serve, serve_answers};

/// How long to wait for a listener for other boxes to close at shutdown. What they wait for is
/// finished before, or is served by another box.
const BOXES_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

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

/// The listeners of a daemon.
pub struct Listeners {
    stop: Stop,
    callers: Vec<JoinHandle<()>>,
    boxes: Vec<JoinHandle<()>>,
    pending: PendingAnswers,
}

impl Listeners {
    /// Creates listeners that close when `stop` is set.
    pub fn new(stop: Stop) -> Self {
        Self { stop, callers: Vec::new(), boxes: Vec::new(), pending: PendingAnswers::default() }
    }

    /// Serves a listener for callers or operators, whose answers are finished at shutdown.
    pub fn serve_callers(&mut self, listener: TcpListener, limits: ServerLimits, handler: Handler) {
        let serving =
            serve_answers(listener, limits, handler, self.pending.clone(), self.stop.clone());
        self.callers.push(compio::runtime::spawn(serving));
    }

    /// Serves a listener for other boxes.
    pub fn serve_boxes(&mut self, listener: TcpListener, limits: ServerLimits, handler: Handler) {
        let serving = serve(listener, limits, handler, self.stop.clone());
        self.boxes.push(compio::runtime::spawn(serving));
    }

    /// Binds additional listeners and serves them as those for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them cannot be bound.
    pub async fn open(
        &mut self,
        extra: Vec<ExtraListener>,
        listen_ip: Option<IpAddr>,
    ) -> anyhow::Result<()> {
        for ExtraListener { addr, limits, handler } in extra {
            let listener = bind(bind_addr(addr, listen_ip)).await.context("further listener")?;
            self.serve_callers(listener, limits, handler);
        }
        Ok(())
    }

    /// Returns the number of answers that are due to callers and operators or have not been sent to
    /// them to the last byte.
    pub fn pending(&self) -> PendingAnswers {
        self.pending.clone()
    }

    /// Waits until the listeners have closed, after they were asked to stop.
    pub async fn wait_closed(self) {
        for listener in self.callers {
            let _ = listener.await;
        }
        for listener in self.boxes {
            let _ = compio::time::timeout(BOXES_SHUTDOWN_TIMEOUT, listener).await;
        }
    }
}
