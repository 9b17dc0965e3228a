//! What holds memory of the budget: for logs, metrics and the errors of those that get none.

use std::fmt;
use std::net::SocketAddr;

/// What a reservation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// Buffers of a connection.
    Connection,
    /// The head of a request that is being received.
    Head,
    /// Buffers of a stream.
    Stream,
    /// A request body, until its request is answered.
    RequestBody,
    /// An answer, until its caller's connection has taken it.
    Answer,
    /// The incomplete event at the end of a stream.
    Event,
    /// A message or an answer of another box.
    BoxMessage,
    /// Parts of the log and of configurations that are being transferred.
    Transfer,
}

impl Holder {
    /// All holders.
    pub const ALL: [Self; 8] = [
        Self::Connection,
        Self::Head,
        Self::Stream,
        Self::RequestBody,
        Self::Answer,
        Self::Event,
        Self::BoxMessage,
        Self::Transfer,
    ];

    /// Returns whether it is a part of a connection that is open, whatever passes on it.
    pub(super) fn is_connection(self) -> bool {
        matches!(self, Self::Connection | Self::Head | Self::Stream)
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Head => "head",
            Self::Stream => "stream",
            Self::RequestBody => "request_body",
            Self::Answer => "answer",
            Self::Event => "event",
            Self::BoxMessage => "box_message",
            Self::Transfer => "transfer",
        }
    }
}

/// Whose bytes a reservation is for, as logged if it is revoked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origin {
    /// Peer that sends or receives the bytes.
    pub peer: Option<SocketAddr>,
    /// Id of the request, if known.
    pub request: String,
    /// Path or route of the request, if known.
    pub path: String,
}

impl Origin {
    /// Creates the origin of bytes of a request or message to a path.
    pub fn path(path: &str) -> Self {
        Self { path: path.to_owned(), ..Self::default() }
    }

    /// Creates the origin of bytes of a peer.
    pub fn peer(peer: SocketAddr) -> Self {
        Self { peer: Some(peer), ..Self::default() }
    }
}

/// Why a reservation cannot grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryError {
    /// There was no room for this many bytes.
    Exhausted(usize),
    /// The reservation was taken back, as it was the largest one while room was short.
    Revoked,
}

impl fmt::Display for MemoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exhausted(bytes) => write!(f, "the memory budget has no room for {bytes} bytes"),
            Self::Revoked => f.write_str("the largest holder of memory was broken off"),
        }
    }
}

impl std::error::Error for MemoryError {}

/// A reservation that was taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revoked {
    /// What it was for.
    pub holder: Holder,
    /// Whose bytes it was for.
    pub origin: Origin,
    /// Its size in bytes.
    pub bytes: usize,
}

/// Usage of the budget by one kind of holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of reservations.
    pub reservations: usize,
    /// Their total size in bytes.
    pub bytes: usize,
    /// Highest value of `bytes` so far.
    pub peak_bytes: usize,
    /// Reservations that could not grow so far.
    pub refused: u64,
    /// Reservations that were taken back so far.
    pub revoked: u64,
}
