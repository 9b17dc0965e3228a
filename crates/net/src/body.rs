//! Message bodies: complete, or streamed in chunks through a bounded channel.
//!
//! A streaming body ends normally with [`BodySender::finish`]. If its sender is dropped
//! before, also because its task panics, the body ends with an error instead: the
//! connection is closed without the end of the message, or reset where the end of the
//! connection would mark the end of the message, so that the reader does not mistake a
//! truncated body for a complete one.

use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Framing;

/// A body that a handler returns or a client sends.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Option<Bytes>),
    /// A body streamed through a [`BodySender`].
    Stream(BodyReceiver),
    /// The body of a received message, passed on as it arrives.
    Incoming(Incoming),
    /// A body of a response whose end only the end of the connection marks.
    UntilClose(Box<Body>),
    /// A body that keeps a guard until it has been read or dropped.
    Guarded(Box<Body>, BodyGuard),
}

/// A value that is dropped with the body that holds it.
pub struct BodyGuard(#[expect(dead_code, reason = "held until it is dropped")] Box<dyn Any>);

impl fmt::Debug for BodyGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BodyGuard")
    }
}

/// Receiving end of a streaming body.
#[derive(Debug)]
pub struct BodyReceiver {
    rx: mpsc::Receiver<Bytes>,
    is_finished: Rc<Cell<bool>>,
}

/// Sending end of a streaming body. The bounded channel provides backpressure. Dropping it ends the
/// body with an error, which tells the reader that it is truncated.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    is_finished: Rc<Cell<bool>>,
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a streaming body that buffers `depth` chunks, and one more for its sender.
    pub fn stream(depth: usize) -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(depth);
        let is_finished = Rc::new(Cell::new(false));
        let sender = BodySender { tx, is_finished: is_finished.clone() };
        (sender, Self::Stream(BodyReceiver { rx, is_finished }))
    }

    /// Returns the body with this framing, which is for responses only.
    pub fn framed(self, framing: Framing) -> Self {
        match (self, framing) {
            (Self::UntilClose(body), Framing::Delimited) => *body,
            (body, Framing::Delimited) | (body @ Self::UntilClose(_), Framing::UntilClose) => body,
            (body, Framing::UntilClose) => Self::UntilClose(Box::new(body)),
        }
    }

    /// Returns the body with a guard that is dropped with it.
    pub fn guarded(self, guard: impl Any) -> Self {
        Self::Guarded(Box::new(self), BodyGuard(Box::new(guard)))
    }

    /// Returns whether only the end of the connection marks the end of the body.
    pub fn is_until_close(&self) -> bool {
        match self {
            Self::UntilClose(_) => true,
            Self::Guarded(body, _) => body.is_until_close(),
            Self::Full(_) | Self::Stream(_) | Self::Incoming(_) => false,
        }
    }
}

impl From<Incoming> for Body {
    fn from(body: Incoming) -> Self {
        Self::Incoming(body)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(Some(text.into()))
    }
}

impl BodySender {
    /// Sends one chunk, waiting while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Closed`] when the reader has closed the body.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), BodyError> {
        self.tx.send(chunk).await.map_err(|_| BodyError::Closed)
    }

    /// Ends the body, which is complete.
    pub fn finish(self) {
        self.is_finished.set(true);
    }

    /// Ends the body with an error, as dropping the sender does.
    pub fn abort(self) {}

    /// Returns whether the reader has closed the body.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(body) => match body.rx.poll_next_unpin(cx) {
                Poll::Ready(None) if !body.is_finished.get() => {
                    Poll::Ready(Some(Err(BodyError::Broken("the rest is missing".to_owned()))))
                }
                polled => polled.map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk)))),
            },
            Self::Incoming(body) => {
                Pin::new(body).poll_frame(cx).map_err(|err| BodyError::Broken(err.to_string()))
            }
            Self::UntilClose(body) | Self::Guarded(body, _) => {
                Pin::new(body.as_mut()).poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(_) | Self::UntilClose(_) => false,
            Self::Incoming(body) => body.is_end_stream(),
            Self::Guarded(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(_) | Self::UntilClose(_) => SizeHint::default(),
            Self::Incoming(body) => body.size_hint(),
            Self::Guarded(body, _) => body.size_hint(),
        }
    }
}

/// Error of reading or writing a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The peer has closed the body.
    Closed,
    /// The body is larger than this limit, in bytes.
    TooLarge(usize),
    /// The body was not complete within this time.
    TooSlow(Duration),
    /// The connection failed or the framing is invalid.
    Broken(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => write!(f, "the peer closed the body"),
            Self::TooLarge(max) => write!(f, "body larger than {max} bytes"),
            Self::TooSlow(limit) => write!(f, "body not complete within {limit:?}"),
            Self::Broken(cause) => write!(f, "body broken: {cause}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a complete body of at most `max` bytes within `limit`.
///
/// # Errors
///
/// Returns a [`BodyError`] if a limit is exceeded or the connection fails.
pub async fn read_body(body: Incoming, max: usize, limit: Duration) -> Result<Bytes, BodyError> {
    match compio::time::timeout(limit, collect(body, max)).await {
        Ok(read) => read,
        Err(_) => Err(BodyError::TooSlow(limit)),
    }
}

async fn collect(mut body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = read_stream(&mut body).await? {
        if buf.len() + chunk.len() > max {
            return Err(BodyError::TooLarge(max));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Reads the next chunk of a body; `None` marks its regular end, which is the end of the connection
/// for a body with [`Framing::UntilClose`].
///
/// # Errors
///
/// Returns [`BodyError::Broken`] when the connection ends before the body does.
pub async fn read_stream(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(None);
        };
        let frame = frame.map_err(|err| BodyError::Broken(err.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}
