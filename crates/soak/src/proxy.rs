//! A proxy before one listener, through which everything that is sent to it passes.

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

/// Bytes that are read at once.
const PIECE: usize = 16 * 1024;
/// Time between two looks at a link that is not clear, and at resets.
const LOOK: Duration = Duration::from_millis(10);
/// Time for a broken connection to end.
const BREAK_LIMIT: Duration = Duration::from_secs(1);

/// A proxy before one listener.
#[derive(Debug, Clone, Copy)]
pub struct Proxy {
    /// Where it takes connections.
    pub addr: SocketAddr,
    /// Where it passes them on to.
    pub target: SocketAddr,
    /// Whom the target belongs to.
    pub party: Party,
    /// Whether the box that opened a connection is looked up.
    pub by_box: bool,
}

impl Proxy {
    /// Passes connections on until the run ends.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it can't be bound.
    pub async fn open(self, cx: Rc<RunCx>) -> anyhow::Result<()> {
        let listener = bind(self.addr).await.context("proxy")?;
        compio::runtime::spawn(async move {
            let stop = cx.stop.clone();
            let accepting = Box::pin(self.accept(cx, listener));
            select(accepting, Box::pin(stop.wait())).await;
        })
        .detach();
        Ok(())
    }

    /// Accepts connections and passes each on.
    async fn accept(self, cx: Rc<RunCx>, listener: TcpListener) {
        let target = self.target;
        loop {
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(err) => {
                    log::warn!("proxy to {target}: {err}");
                    compio::time::sleep(LOOK).await;
                    continue;
                }
            };
            if cx.links.refuses(self.party) {
                reset(&stream);
                continue;
            }
            let passing = Passing {
                cx: cx.clone(),
                party: self.party,
                peer,
                source: Cell::new((!self.by_box).then_some(Party::Outside)),
                broken: Cell::new(false),
            };
            compio::runtime::spawn(async move { passing.run(stream, target).await }).detach();
        }
    }
}

/// One connection that is passed on.
struct Passing {
    cx: Rc<RunCx>,
    /// To whom it goes.
    party: Party,
    /// Where it comes from.
    peer: SocketAddr,
    /// Who opened it, once that was asked for.
    source: Cell<Option<Party>>,
    broken: Cell<bool>,
}

/// Which way bytes go.
#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

impl Passing {
    /// Passes bytes on until the connection ends or is reset.
    async fn run(&self, near: TcpStream, target: SocketAddr) {
        let resets = self.cx.links.resets(self.party);
        // The bytes that open a connection are held as others are.
        self.wait_clear(Way::There).await;
        let Ok(far) = TcpStream::connect(target).await else { return reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let there = self.pump(near.clone(), far.clone(), Way::There);
        let back = self.pump(far.clone(), near.clone(), Way::Back);
        let watched = Box::pin(async {
            let is_reset = || self.cx.links.resets(self.party) != resets;
            while !self.broken.get() && !is_reset() && !self.cx.stop.is_set() {
                compio::time::sleep(LOOK).await;
            }
        });
        if let Either::Right(((), passing)) = select(Box::pin(join(there, back)), watched).await {
            self.broken.set(true);
            reset(&near);
            reset(&far);
            // Reads end now; a write may still wait for a peer that does not read.
            let _ = compio::time::timeout(BREAK_LIMIT, passing).await;
        }
    }

    /// Moves bytes one way, as the link lets them, until the sender ends or the connection is
    /// broken.
    async fn pump(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        let mut buf = Vec::with_capacity(PIECE);
        loop {
            buf.clear();
            let BufResult(read, piece) = from.read(buf).await;
            self.wait_clear(way).await;
            if self.broken.get() {
                return;
            }
            let written = match read {
                Ok(0) => {
                    let _ = to.shutdown().await;
                    return;
                }
                Ok(_) => to.write_all(piece).await,
                Err(_) => return self.broken.set(true),
            };
            buf = written.1;
            if written.0.is_err() {
                return self.broken.set(true);
            }
        }
    }

    /// Waits as long as the link holds bytes that go this way.
    async fn wait_clear(&self, way: Way) {
        if let Condition::Delayed(time) = self.condition(way) {
            compio::time::sleep(time).await;
        }
        while self.condition(way) == Condition::Silent && !self.cx.stop.is_set() {
            compio::time::sleep(LOOK).await;
        }
    }

    /// Returns what the link does to bytes that go this way.
    fn condition(&self, way: Way) -> Condition {
        if self.cx.links.all_clear() {
            return Condition::Clear;
        }
        let source = self.source.get().unwrap_or_else(|| {
            let found = self.cx.sources.box_of(self.peer);
            let source = found.map_or(Party::Outside, Party::Box);
            self.source.set(Some(source));
            source
        });
        match way {
            Way::There => self.cx.links.get(source, self.party),
            Way::Back => self.cx.links.get(self.party, source),
        }
    }
}

/// Has a connection end with a reset once it is dropped, and ends the reads from it.
fn reset(stream: &TcpStream) {
    if let Err(err) = stream.set_zero_linger() {
        log::debug!("proxy: no reset: {err}");
    }
    // A read that is only dropped keeps the socket open in the runtime.
    if let Err(err) = socket2::SockRef::from(stream).shutdown(Shutdown::Read) {
        log::debug!("proxy: reads do not end: {err}");
    }
}
