//! Message bodies: whole, or fed piece by piece through a bounded channel.
//!
//! A streaming body ends well when its sender is dropped. [`BodySender::abort`]
//! ends it with an error instead, so that the connection is closed without the
//! end of the message and no reader takes a part for the whole.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use http::{HeaderMap, header};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// A body that a handler returns or a client sends.
#[derive(Debug)]
pub enum Body {
    /// All bytes are known.
    Full(Option<Bytes>),
    /// Bytes arrive through a [`BodySender`]; the body ends when it is dropped.
    Stream(BodyReceiver),
}

/// The receiving end of a streaming body.
#[derive(Debug)]
pub struct BodyReceiver {
    rx: mpsc::Receiver<Bytes>,
    aborted: Rc<Cell<bool>>,
}

/// Feeds a streaming body. The bound of the channel is the back-pressure.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    aborted: Rc<Cell<bool>>,
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a streaming body that buffers at most `depth` pieces.
    pub fn stream(depth: usize) -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(depth);
        let aborted = Rc::new(Cell::new(false));
        let sender = BodySender { tx, aborted: aborted.clone() };
        (sender, Self::Stream(BodyReceiver { rx, aborted }))
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
    /// Sends one piece, waiting while the reader is behind.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Closed`] when the reader has gone.
    pub async fn send(&mut self, piece: Bytes) -> Result<(), BodyError> {
        self.tx.send(piece).await.map_err(|_| BodyError::Closed)
    }

    /// Ends the body with an error: the reader sees that the rest is missing.
    pub fn abort(self) {
        self.aborted.set(true);
    }

    /// Returns whether the reader has gone.
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
                Poll::Ready(None) if body.aborted.get() => {
                    Poll::Ready(Some(Err(BodyError::Broken("the rest is missing".to_owned()))))
                }
                polled => polled.map(|piece| piece.map(|piece| Ok(Frame::data(piece)))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Why a body could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The other side has gone.
    Closed,
    /// The body is larger than the bound, in bytes.
    TooLarge(usize),
    /// The body did not arrive in time.
    TooSlow(Duration),
    /// The connection broke or the framing is wrong.
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

/// Returns whether the head of a message tells where its body ends. The sender of one that does
/// not may have crashed where it seems to end.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads a whole body of at most `max` bytes within `limit`.
///
/// # Errors
///
/// Returns a [`BodyError`] naming the bound that was passed.
pub async fn read_body(body: Incoming, max: usize, limit: Duration) -> Result<Bytes, BodyError> {
    match compio::time::timeout(limit, collect(body, max)).await {
        Ok(read) => read,
        Err(_) => Err(BodyError::TooSlow(limit)),
    }
}

async fn collect(mut body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(piece) = read_stream(&mut body).await? {
        if buf.len() + piece.len() > max {
            return Err(BodyError::TooLarge(max));
        }
        buf.extend_from_slice(&piece);
    }
    Ok(buf.freeze())
}

/// Reads the next piece of a body; `None` is its regular end.
///
/// # Errors
///
/// Returns [`BodyError::Broken`] when the connection ended before the body did.
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
