//! Adapter between compio's TCP streams and hyper's I/O traits.
//!
//! The runtime completes writes asynchronously, after the HTTP library has handed
//! them over, so a buffer sits between the two. Its size limit is what applies
//! backpressure from a slow reader to the writer.

use std::cell::Cell;
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
    /// Bytes that may still be read before the head of the response is complete, if the connection
    /// waits for one.
    head_left: Option<Rc<Cell<usize>>>,
    /// Bytes read since the reader last had to wait.
    burst: usize,
}

impl Stream {
    /// Wraps a connected socket; `io_bytes` is the typical size of one read or write, in bytes.
    pub(crate) fn new(socket: TcpStream, io_bytes: usize) -> Self {
        let io = Box::pin(AsyncStream::with_limits(io_bytes, MAX_BUFFER_BYTES, socket));
        Self { io, tracker: None, memory: None, head_left: None, burst: 0 }
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

    /// Fails once more than `left` bytes are read; `usize::MAX` stands for no limit.
    pub(crate) fn with_head_limit(mut self, left: Rc<Cell<usize>>) -> Self {
        self.head_left = Some(left);
        self
    }

    /// Counts received bytes of the response until its head is complete.
    fn count_response(&self, len: usize) -> io::Result<()> {
        let Some(left) = &self.head_left else { return Ok(()) };
        if left.get() == usize::MAX {
            return Ok(());
        }
        let rest = left.get().checked_sub(len);
        left.set(rest.ok_or_else(|| io::Error::other("the head of the response is too long"))?);
        Ok(())
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
        let len = received.len().min(buf.remaining());
        buf.put_slice(&received[..len]);
        self.io.as_mut().consume(len);
        self.burst += len;
        self.count_response(len)?;
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
        self.io.as_mut().poll_write(cx, buf)
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
        self.io.as_mut().poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.io.as_mut().poll_flush(cx))?;
        if let Some(tracker) = &self.tracker {
            tracker.record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.io.as_mut().poll_close(cx)
    }
}
