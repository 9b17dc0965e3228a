//! Message bodies: complete, or streamed in chunks through a bounded channel.
//!
//! A streaming body ends normally with [`BodySender::finish`]. If its sender is dropped
//! before, also because its task panics, the body ends with an error instead: the
//! connection is closed without the end of the message, or reset where the end of the
//! connection would mark the end of the message, so that the reader does not mistake a
//! truncated body for a complete one.

use std::any::Any;
use std::fmt;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Framing;
use crate::chunks::{self, BodyReceiver, BodySender};
use crate::memory::{MemoryError, Reservation, SMALL_RESERVATION, capacity_for};

/// Longest wait for room for a body that is being received. The wait applies backpressure to its
/// sender; room that has not come by then is taken by bodies whose requests are being served.
const ROOM_TIMEOUT: Duration = Duration::from_millis(250);

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

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a streaming body that buffers `depth` chunks, which `held` counts until the
    /// connection has taken them.
    pub fn stream(depth: usize, held: Reservation) -> (BodySender, Self) {
        let (tx, rx) = chunks::channel(depth, held);
        (tx, Self::Stream(rx))
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

/// Body of a response that another process sent.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    framing: Framing,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, framing: Framing) -> Self {
        Self { body, framing }
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the body with the framing that it had where another process received it.
    pub fn with_framing(self, framing: Framing) -> Self {
        Self { framing, ..self }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl From<ResponseBody> for Body {
    fn from(body: ResponseBody) -> Self {
        Self::Incoming(body.body)
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

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(body) => {
                body.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
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

/// Body of a request or a response that arrives.
pub trait ReceivedBody: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin {}

impl<B: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin> ReceivedBody for B {}

/// Error of reading or writing a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The peer has closed the body.
    Closed,
    /// The body is larger than this limit, in bytes.
    TooLarge(usize),
    /// The body was not complete within this time.
    TooSlow(Duration),
    /// There is no room for it in the memory of this process.
    NoRoom(MemoryError),
    /// The connection failed or the framing is invalid.
    Broken(String),
}

impl From<MemoryError> for BodyError {
    fn from(err: MemoryError) -> Self {
        Self::NoRoom(err)
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => write!(f, "the peer closed the body"),
            Self::TooLarge(max) => write!(f, "body larger than {max} bytes"),
            Self::TooSlow(limit) => write!(f, "body not complete within {limit:?}"),
            Self::NoRoom(err) => write!(f, "{err}"),
            Self::Broken(cause) => write!(f, "body broken: {cause}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a complete body of at most `max` bytes within `limit`. The result keeps `held`, which counts
/// its bytes, until its last clone is dropped.
///
/// # Errors
///
/// Returns a [`BodyError`] if a limit is exceeded, there is no room, or the connection fails. A body
/// that announces its length is not read at all if it is too large or there is no room.
pub async fn read_body(
    body: impl ReceivedBody,
    max: usize,
    limit: Duration,
    held: Reservation,
) -> Result<Bytes, BodyError> {
    let buf = match compio::time::timeout(limit, collect(body, max, &held)).await {
        Ok(read) => read?,
        Err(_) => return Err(BodyError::TooSlow(limit)),
    };
    Ok(if buf.is_empty() { Bytes::new() } else { held.attach(buf) })
}

async fn collect(
    mut body: impl ReceivedBody,
    max: usize,
    held: &Reservation,
) -> Result<Vec<u8>, BodyError> {
    let announced = HttpBody::size_hint(&body).exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > max {
        return Err(BodyError::TooLarge(max));
    }
    if !held.can_hold(announced) {
        // Room for it would never come.
        return Err(BodyError::TooLarge(held.limit()));
    }
    held.grow(announced, ROOM_TIMEOUT).await?;
    let mut buf = Vec::with_capacity(announced);
    while let Some(chunk) = read_held(&mut body, held).await? {
        if buf.len() + chunk.len() > max {
            return Err(BodyError::TooLarge(max));
        }
        let capacity = capacity_for(&buf, chunk.len(), max);
        if capacity > buf.capacity() {
            held.grow(capacity.saturating_sub(held.bytes()), ROOM_TIMEOUT).await?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf)
}

/// Reads the next chunk of a body until its reservation is taken back.
async fn read_held(
    body: &mut impl ReceivedBody,
    held: &Reservation,
) -> Result<Option<Bytes>, BodyError> {
    if held.bytes() <= SMALL_RESERVATION {
        return read_stream(body).await;
    }
    match select(pin!(read_stream(body)), pin!(held.revoked())).await {
        Either::Left((chunk, _)) => chunk,
        Either::Right(((), _)) => Err(MemoryError::Revoked.into()),
    }
}

/// Reads the next chunk of a body; `None` marks its regular end, which is the end of the connection
/// for a body with [`Framing::UntilClose`].
///
/// # Errors
///
/// Returns [`BodyError::Broken`] when the connection ends before the body does.
pub async fn read_stream(body: &mut impl ReceivedBody) -> Result<Option<Bytes>, BodyError> {
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
