//! A connection as the HTTP library reads and writes it.
//!
//! The runtime completes writes later than the HTTP library hands them over, so
//! what was handed over waits in a buffer between the two. Its bound is what
//! makes a peer that reads slowly hold its writer up.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncBufRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Bytes that one read or write usually moves; more makes no measurable difference.
pub(crate) const USUAL: usize = 8 * 1024;
/// Bytes that wait for the socket at most, for each connection: with a window of this size a
/// round trip of 5 ms carries 100 Mbit/s. The adapter's own bound is 64 MiB, with which 120 peers
/// that read nothing took 249 MB.
const MOST: usize = 64 * 1024;

/// A connection whose buffers are bounded.
pub(crate) struct Stream(Pin<Box<AsyncStream<TcpStream>>>);

impl Stream {
    /// Wraps a connected socket, one read or write on which usually moves `usual` bytes.
    pub(crate) fn new(socket: TcpStream, usual: usize) -> Self {
        Self(Box::pin(AsyncStream::with_limits(usual, MOST, socket)))
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let arrived = ready!(self.0.as_mut().poll_fill_buf(cx))?;
        let taken = arrived.len().min(buf.remaining());
        buf.put_slice(&arrived[..taken]);
        self.0.as_mut().consume(taken);
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(cx, buf)
    }

    fn is_write_vectored(&self) -> bool {
        // The HTTP library then keeps whole bodies as they are instead of copying them.
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(cx)
    }
}
