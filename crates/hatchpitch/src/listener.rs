//! The listeners of a daemon, and their orderly end.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use futures_util::future::{Either, select};
use hatchpitch_net::{Handler, PendingAnswers, ServerLimits, Stop, bind, serve, serve_answers};

use crate::retry::Retry;

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

/// Addresses of the listeners of a daemon that are not open yet; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Unopened(Rc<RefCell<BTreeSet<SocketAddr>>>);

impl Unopened {
    /// Returns whether the listener that is advertised as `addr` is not open yet.
    pub fn contains(&self, addr: SocketAddr) -> bool {
        self.0.borrow().contains(&addr)
    }

    /// Returns the number of listeners that are not open yet.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

/// The listeners of a daemon. Each is bound again until that succeeds, since a port may be in use by
/// a connection of another process for a while, and serves from then on.
pub struct Listeners {
    stop: Stop,
    listen_ip: Option<IpAddr>,
    unopened: Unopened,
    callers: Vec<JoinHandle<()>>,
    boxes: Vec<JoinHandle<()>>,
    pending: PendingAnswers,
}

impl Listeners {
    /// Creates listeners that close when `stop` is set. Those that are not open yet are in
    /// `unopened`.
    pub fn new(stop: Stop, listen_ip: Option<IpAddr>, unopened: Unopened) -> Self {
        let pending = PendingAnswers::default();
        Self { stop, listen_ip, unopened, callers: Vec::new(), boxes: Vec::new(), pending }
    }

    /// Opens a listener for callers or operators, whose answers are finished at shutdown.
    pub fn serve_callers(&mut self, addr: SocketAddr, limits: ServerLimits, handler: Handler) {
        let listener = self.open(addr);
        let (pending, stop) = (self.pending.clone(), self.stop.clone());
        self.callers.push(compio::runtime::spawn(async move {
            if let Some(listener) = listener.await {
                serve_answers(listener, limits, handler, pending, stop).await;
            }
        }));
    }

    /// Opens a listener for other boxes.
    pub fn serve_boxes(&mut self, addr: SocketAddr, limits: ServerLimits, handler: Handler) {
        let (listener, stop) = (self.open(addr), self.stop.clone());
        self.boxes.push(compio::runtime::spawn(async move {
            if let Some(listener) = listener.await {
                serve(listener, limits, handler, stop).await;
            }
        }));
    }

    /// Opens additional listeners as those for callers.
    pub fn serve_extra(&mut self, extra: Vec<ExtraListener>) {
        for ExtraListener { addr, limits, handler } in extra {
            self.serve_callers(addr, limits, handler);
        }
    }

    /// Returns the listener that is advertised as `addr` once it is bound, or `None` if the daemon
    /// stops before.
    fn open(&self, addr: SocketAddr) -> impl Future<Output = Option<TcpListener>> + use<> {
        let (unopened, stop) = (self.unopened.clone(), self.stop.clone());
        let local = bind_addr(addr, self.listen_ip);
        unopened.0.borrow_mut().insert(addr);
        async move {
            let bound = Box::pin(bind_until_done(local));
            let Either::Left((listener, _)) = select(bound, Box::pin(stop.wait())).await else {
                return None;
            };
            unopened.0.borrow_mut().remove(&addr);
            Some(listener)
        }
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

async fn bind_until_done(addr: SocketAddr) -> TcpListener {
    let mut retry = Retry::new(format!("listener at {addr}"));
    loop {
        match bind(addr).await {
            Ok(listener) => {
                retry.succeeded();
                return listener;
            }
            Err(err) => retry.failed(err).await,
        }
    }
}
