//! Adapter between compio's TCP streams and hyper's I/O traits.
//!
//! The runtime completes writes asynchronously, after the HTTP library has handed
//! them over, so a buffer sits between the two. Its size limit is what applies
//! backpressure from a slow reader to the writer.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncBufRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::answers::AnswerTracker;
use crate::connection_memory::ConnectionMemory;
use crate::exchange::{Exchange, UnreadWait};
use crate::monitor;

/// Default size of one read or write, in bytes. Larger sizes made no measurable difference.
pub(crate) const DEFAULT_IO_BYTES: usize = 8 * 1024;
/// Most bytes buffered for the socket, per connection. A window of this size carries 50 Mbit/s at
/// a round-trip time of 5 ms. With the default limit of compio's adapter, 64 MiB, 120 peers that
/// did not read used 249 MB.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Bytes that are read from a connection at a stretch before other tasks run.
const MAX_BURST_BYTES: usize = 16 * 1024;

/// A TCP connection with bounded buffers.
pub(crate) struct Stream {
    io: Pin<Box<AsyncStream<TcpStream>>>,
    /// Told when all written bytes have left the buffers, if the connection serves requests.
    tracker: Option<Rc<AnswerTracker>>,
    /// Counts the bytes of heads, if the connection serves requests.
    memory: Option<Rc<ConnectionMemory>>,
    /// The request and its response, if the connection is one to an upstream.
    exchange: Option<Rc<Exchange>>,
    /// Whether a write to an upstream has failed.
    has_write_failed: bool,
    /// Wait at the end of the input, from when it is reached.
    unread_wait: Option<UnreadWait>,
    /// Bytes read since the reader last had to wait.
    burst: usize,
}

impl Stream {
    /// Wraps a connected socket; `io_bytes` is the typical size of one read or write, in bytes.
    pub(crate) fn new(socket: TcpStream, io_bytes: usize) -> Self {
        let io = Box::pin(AsyncStream::with_limits(io_bytes, MAX_BUFFER_BYTES, socket));
        Self {
            io,
            tracker: None,
            memory: None,
            exchange: None,
            has_write_failed: false,
            unread_wait: None,
            burst: 0,
        }
    }

    /// Tells `tracker` when all written bytes have left the buffers, and counts the bytes of heads in
    /// `memory`.
    pub(crate) fn tracked(
        mut self,
        tracker: Rc<AnswerTracker>,
        memory: Rc<ConnectionMemory>,
    ) -> Self {
        self.tracker = Some(tracker);
        self.memory = Some(memory);
        self
    }

    /// Carries a request to an upstream and its response.
    pub(crate) fn with_exchange(mut self, exchange: Rc<Exchange>) -> Self {
        self.exchange = Some(exchange);
        self
    }

    /// Checks the end of the input, which is that of a response if nothing else marks its end. Waits
    /// while the upstream has not read the request that it responds to.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to an upstream was reset, or if the request stays unread.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(exchange) = &self.exchange else { return Poll::Ready(Ok(())) };
        let socket = self.io.get_ref().0;
        let wait = self.unread_wait.get_or_insert_with(UnreadWait::new);
        loop {
            // Only the first operation after a reset fails with it.
            if self.has_write_failed || monitor::is_closed(socket)? {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if wait.check(exchange, monitor::unacknowledged_bytes(socket)?)? {
                return Poll::Ready(Ok(()));
            }
            ready!(wait.poll_next(cx));
        }
    }

    /// Keeps the error of a write from the HTTP library, which would discard a response that has
    /// arrived. The connection ends with the input then.
    fn check_write<T>(&mut self, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match polled {
            Poll::Ready(Err(err)) if self.exchange.is_some() => {
                log::debug!("a request was not sent to its end: {err}");
                self.has_write_failed = true;
                Poll::Pending
            }
            other => other,
        }
    }

    /// Counts bytes that are written, and returns their number.
    fn count_written(&self, len: usize) -> usize {
        if let Some(exchange) = &self.exchange {
            exchange.record_write(len);
        }
        len
    }

    /// Counts received bytes that belong to the head of the next request.
    fn count_head(&self, len: usize) -> io::Result<()> {
        match (&self.memory, &self.tracker) {
            (Some(memory), Some(tracker)) if !tracker.is_pending() => memory.add_head_bytes(len),
            _ => Ok(()),
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst >= MAX_BURST_BYTES {
            // A peer that sends without a pause must not keep other tasks from running.
            self.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = self.io.as_mut().poll_fill_buf(cx);
        let Poll::Ready(received) = polled else {
            self.burst = 0;
            return Poll::Pending;
        };
        let received = received?;
        if received.is_empty() {
            return self.poll_end(cx);
        }
        let len = received.len().min(buf.remaining());
        buf.put_slice(&received[..len]);
        self.io.as_mut().consume(len);
        self.burst += len;
        if let Some(exchange) = &self.exchange {
            exchange.record_received(len)?;
        }
        self.count_head(len)?;
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.has_write_failed {
            return Poll::Pending;
        }
        let polled = self.io.as_mut().poll_write(cx, buf);
        self.check_write(polled).map_ok(|len| self.count_written(len))
    }

    fn is_write_vectored(&self) -> bool {
        // Lets hyper queue whole body buffers instead of copying them into one.
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.has_write_failed {
            return Poll::Pending;
        }
        let polled = self.io.as_mut().poll_write_vectored(cx, bufs);
        self.check_write(polled).map_ok(|len| self.count_written(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_write_failed {
            return Poll::Pending;
        }
        let polled = self.io.as_mut().poll_flush(cx);
        ready!(self.check_write(polled))?;
        if let Some(tracker) = &self.tracker {
            tracker.record_flush();
        }
        if let Some(exchange) = &self.exchange {
            exchange.record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_write_failed {
            return Poll::Ready(Ok(()));
        }
        self.io.as_mut().poll_close(cx)
    }
}
