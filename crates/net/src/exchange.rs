//! State of one request and its response that their connection shares with their sender.
//!
//! The end of the connection marks the end of a response that has neither a length nor chunks, so it
//! has to be told apart from a reset. The system reports a reset to the first operation that meets
//! it, which may be a write; a read after that sees an orderly end. The orderly end of a response
//! whose request the upstream has not read proves little, too: it may be followed by a reset.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::{Framing, clock};

/// Longest response head together with the interim responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Interval at which an upstream that has ended its response is checked for whether it reads the rest
/// of the request.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without progress after which such an upstream is taken to leave the request unread. Its
/// caller waits for as long.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request and its response on a connection of their own.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Bytes that may still be read before the head of the response is complete; `None` from then on.
    head_left: Cell<Option<usize>>,
    request: Cell<RequestState>,
    /// Bytes of the request that buffers of this process have taken.
    written: Cell<usize>,
    response: Cell<ResponseEnd>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// Its body is being produced.
    Due,
    /// The HTTP library has all of it.
    Buffered,
    /// The system has all of it.
    Sent,
}

/// What the end of the connection means for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseEnd {
    /// The head is not complete.
    Unknown,
    /// Nothing, as the response marks its own end.
    Marked,
    /// It ends a response that an upstream may give without reading the request.
    Early,
    /// It ends the success of an upstream that has read the request.
    AfterRequest,
}

impl Exchange {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            head_left: Cell::new(Some(MAX_HEAD_BYTES)),
            request: Cell::new(RequestState::Due),
            written: Cell::new(0),
            response: Cell::new(ResponseEnd::Unknown),
        })
    }

    /// Returns a guard to be dropped once the HTTP library has the whole request.
    pub(crate) fn request_guard(self: &Rc<Self>) -> RequestGuard {
        RequestGuard(self.clone())
    }

    /// Records that buffers of this process have taken bytes of the request.
    pub(crate) fn record_write(&self, len: usize) {
        self.written.set(self.written.get() + len);
    }

    /// Records that these buffers are empty.
    pub(crate) fn record_flush(&self) {
        if self.request.get() == RequestState::Buffered {
            self.request.set(RequestState::Sent);
        }
    }

    /// Records that the head of the response is complete.
    pub(crate) fn record_head(&self) {
        self.head_left.set(None);
    }

    /// Records how the response ends.
    pub(crate) fn record_response(&self, framing: Framing, status: StatusCode) {
        self.response.set(match framing {
            Framing::Delimited => ResponseEnd::Marked,
            Framing::UntilClose if status.is_success() => ResponseEnd::AfterRequest,
            Framing::UntilClose => ResponseEnd::Early,
        });
    }

    /// Counts received bytes until the head is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too long.
    pub(crate) fn record_received(&self, len: usize) -> io::Result<()> {
        let Some(left) = self.head_left.get() else { return Ok(()) };
        let left = left.checked_sub(len);
        let left = left.ok_or_else(|| io::Error::other("the head of the response is too long"))?;
        self.head_left.set(Some(left));
        Ok(())
    }

    /// Returns whether the end of the connection may be that of a response to a request that the
    /// upstream has not read. `unacknowledged` is the number of bytes that its system has not got.
    fn is_unread(&self, unacknowledged: usize) -> bool {
        let is_sent = self.request.get() == RequestState::Sent && unacknowledged == 0;
        self.response.get() != ResponseEnd::Marked && self.written.get() > 0 && !is_sent
    }

    /// Returns how long the upstream may take to go on reading the request.
    fn unread_limit(&self) -> Duration {
        match self.response.get() {
            // The sender has the head by then if it is complete.
            ResponseEnd::Unknown => CHECK_INTERVAL,
            ResponseEnd::Marked => Duration::ZERO,
            ResponseEnd::Early | ResponseEnd::AfterRequest => UNREAD_TIMEOUT,
        }
    }

    /// Judges the end of a response whose request stays unread.
    fn check_unread(&self) -> io::Result<()> {
        match self.response.get() {
            ResponseEnd::AfterRequest => {
                Err(io::Error::other("the response ended, and its request was not read"))
            }
            ResponseEnd::Unknown | ResponseEnd::Marked | ResponseEnd::Early => Ok(()),
        }
    }
}

/// Records that the HTTP library has the whole request when it is dropped.
pub(crate) struct RequestGuard(Rc<Exchange>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.request.get() == RequestState::Due {
            self.0.request.set(RequestState::Buffered);
        }
    }
}

/// Wait for an upstream that has ended its response to read the rest of the request.
pub(crate) struct UnreadWait {
    check: Pin<Box<dyn Future<Output = ()>>>,
    /// Bytes that the upstream's system had got when the upstream last went on, and when that was.
    progress: (usize, Instant),
}

impl UnreadWait {
    pub(crate) fn new() -> Self {
        Self { check: next_check(), progress: (0, clock::now()) }
    }

    /// Returns whether the wait is over: the upstream's system has got the whole request, or no more
    /// of it for too long. `unacknowledged` is the number of bytes that it has not got.
    ///
    /// # Errors
    ///
    /// Returns an error if it is over and the response is not known to be complete.
    pub(crate) fn check(&mut self, exchange: &Exchange, unacknowledged: usize) -> io::Result<bool> {
        if !exchange.is_unread(unacknowledged) {
            return Ok(true);
        }
        let received = exchange.written.get().saturating_sub(unacknowledged);
        if received > self.progress.0 {
            self.progress = (received, clock::now());
        }
        if clock::since(self.progress.1) < exchange.unread_limit() {
            return Ok(false);
        }
        exchange.check_unread()?;
        Ok(true)
    }

    /// Waits until the next check is due.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.check.as_mut().poll(cx));
        self.check = next_check();
        Poll::Ready(())
    }
}

fn next_check() -> Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(compio::time::sleep(CHECK_INTERVAL))
}
