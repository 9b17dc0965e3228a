//! A TCP proxy in front of one listener, which applies the link conditions to all traffic.

use std::cell::Cell;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, join, select};
use hatchpitch_net::bind;

use crate::condition::{Condition, Party};
use crate::context::RunCx;

/// Size of a read, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// Interval at which blocked links and resets are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of polls after which connections to a dead process are ended, so that what it sent has
/// arrived. No time limit holds while the whole soak stands still.
const DEATH_POLLS: u32 = 10;
/// Time limit for the relay tasks to end after a connection was reset.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// A proxy in front of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Proxy {
    /// Address at which the proxy accepts connections.
    pub addr: SocketAddr,
    /// Address to which it forwards them.
    pub target: SocketAddr,
    /// Owner of the target.
    pub party: Party,
    /// Whether to look up the box that opened a connection. Otherwise [`Party::Outside`] is
    /// assumed.
    pub identifies_box: bool,
}

impl Proxy {
    /// Forwards connections until the run stops.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it can't be bound.
    pub async fn open(self, cx: Rc<RunCx>) -> anyhow::Result<()> {
        let listener = bind(self.addr).await.context("proxy")?;
        compio::runtime::spawn(async move {
            let stop = cx.stop.clone();
            let accepting = Box::pin(self.listen(cx, listener));
            select(accepting, Box::pin(stop.wait())).await;
        })
        .detach();
        Ok(())
    }

    /// Accepts connections, except while the target does not listen.
    async fn listen(self, cx: Rc<RunCx>, mut listener: TcpListener) {
        loop {
            let refusing = Box::pin(self.wait_for_refusal(&cx, true));
            select(Box::pin(self.accept(&cx, &listener)), refusing).await;
            // A pending accept keeps the socket open, but not listening.
            if let Err(err) = socket2::SockRef::from(&listener).shutdown(Shutdown::Both) {
                log::warn!("proxy to {}: can't stop listening: {err}", self.target);
            }
            drop(listener);
            self.wait_for_refusal(&cx, false).await;
            listener = self.bind_again().await;
        }
    }

    /// Waits until new connections are refused, or no longer refused.
    async fn wait_for_refusal(&self, cx: &RunCx, refuses: bool) {
        while cx.links.refuses(self.party) != refuses {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Binds the address again, which the socket before may still occupy for a moment.
    async fn bind_again(&self) -> TcpListener {
        loop {
            match bind(self.addr).await {
                Ok(listener) => return listener,
                Err(err) => log::warn!("proxy to {}: {err}", self.target),
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Accepts connections and forwards each one.
    async fn accept(self, cx: &Rc<RunCx>, listener: &TcpListener) {
        let target = self.target;
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(err) => {
                    log::warn!("proxy to {target}: accept failed: {err}");
                    compio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
            };
            if cx.links.refuses(self.party) {
                reset(&stream);
                continue;
            }
            let connection = ProxiedConnection {
                cx: cx.clone(),
                party: self.party,
                peer,
                source: Cell::new((!self.identifies_box).then_some(Party::Outside)),
                broken: Cell::new(false),
            };
            compio::runtime::spawn(async move { connection.run(stream, target).await }).detach();
        }
    }
}

/// One connection that is forwarded.
struct ProxiedConnection {
    cx: Rc<RunCx>,
    /// Owner of the target.
    party: Party,
    /// Peer address of the accepted connection.
    peer: SocketAddr,
    /// Party that opened the connection, once it was looked up.
    source: Cell<Option<Party>>,
    broken: Cell<bool>,
}

/// Direction in which bytes flow.
#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

impl ProxiedConnection {
    /// Forwards bytes until the connection ends or is reset.
    async fn run(&self, client: TcpStream, target: SocketAddr) {
        let ends = (self.cx.links.resets(self.party), self.cx.links.deaths(self.party));
        // Connection setup is delayed or held like any other traffic.
        self.wait_until_clear(Direction::Forward).await;
        let Ok(server) = TcpStream::connect(target).await else { return reset(&client) };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let forward = self.relay(client.clone(), server.clone(), Direction::Forward);
        let backward = self.relay(server.clone(), client.clone(), Direction::Backward);
        let interrupted = Box::pin(self.wait_for_interruption(&server, ends));
        match select(Box::pin(join(forward, backward)), interrupted).await {
            // One direction had ended in order before the other broke.
            Either::Left(_) if self.broken.get() => {
                reset(&client);
                reset(&server);
            }
            Either::Left(_) => {}
            Either::Right(((), relaying)) => {
                self.broken.set(true);
                reset(&client);
                reset(&server);
                // Pending reads end now, but a write may still wait for a peer that does not read.
                let _ = compio::time::timeout(RESET_TIMEOUT, relaying).await;
            }
        }
    }

    /// Waits until the connection is to be reset. Ends what the target sends, in order, once the
    /// target died. `ends` holds the numbers of resets and deaths at the start of the connection.
    async fn wait_for_interruption(&self, server: &TcpStream, ends: (u64, u64)) {
        let (resets, deaths) = ends;
        let mut polls_since_death: u32 = 0;
        let is_reset = || self.cx.links.resets(self.party) != resets;
        while !self.broken.get() && !is_reset() && !self.cx.stop.is_set() {
            if self.cx.links.deaths(self.party) != deaths {
                polls_since_death += 1;
            }
            if polls_since_death == DEATH_POLLS {
                shut_down_reads(server);
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Relays bytes in one direction, subject to the link condition, until the sender closes or the
    /// connection breaks.
    async fn relay(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buf = Vec::with_capacity(READ_SIZE);
        // A connection to an upstream carries one request, so its head arrives first.
        let mut is_head = matches!(direction, Direction::Backward);
        loop {
            buf.clear();
            let BufResult(read, bytes) = from.read(buf).await;
            self.wait_until_clear(direction).await;
            if self.broken.get() {
                return;
            }
            let written = match read {
                Ok(0) => {
                    let _ = to.shutdown().await;
                    return;
                }
                Ok(_) => {
                    let spoil = self.cx.links.head_spoil(self.party).filter(|_| is_head);
                    is_head = false;
                    let bytes = match spoil {
                        Some(spoil) => spoil.apply(&bytes),
                        None => bytes,
                    };
                    to.write_all(bytes).await
                }
                Err(_) => return self.broken.set(true),
            };
            buf = written.1;
            if written.0.is_err() {
                return self.broken.set(true);
            }
        }
    }

    /// Applies the delay of the link, or waits while it is blocked.
    async fn wait_until_clear(&self, direction: Direction) {
        if let Condition::Delayed(time) = self.condition(direction) {
            compio::time::sleep(time).await;
        }
        while self.condition(direction) == Condition::Blocked && !self.cx.stop.is_set() {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the condition of the link in this direction.
    fn condition(&self, direction: Direction) -> Condition {
        if self.cx.links.all_clear() {
            return Condition::Clear;
        }
        let source = self.source.get().unwrap_or_else(|| {
            let found = self.cx.sources.box_of(self.peer);
            let source = found.map_or(Party::Outside, Party::Box);
            self.source.set(Some(source));
            source
        });
        match direction {
            Direction::Forward => self.cx.links.get(source, self.party),
            Direction::Backward => self.cx.links.get(self.party, source),
        }
    }
}

/// Makes the connection end with a TCP reset once it is dropped, and ends pending reads.
fn reset(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        log::debug!("proxy: can't set zero linger: {err}");
    }
    // Dropping a pending read is not enough: the runtime would keep the socket open.
    shut_down_reads(stream);
}

/// Ends pending and later reads, as the end of the connection does.
fn shut_down_reads(stream: &TcpStream) {
    if let Err(err) = socket2::SockRef::from(stream).shutdown(Shutdown::Read) {
        log::debug!("proxy: can't shut down reads: {err}");
    }
}
