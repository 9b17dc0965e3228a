//! What upstreams of hosted services speak, as functions that an adapter gives.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hatchpitch_net::{Body, Upstream};
use http::Request;
use http::response::Parts;

use super::request::HostedRequest;
use crate::ids::RunnerName;
use crate::upstream_signals::{SignalHeaders, UpstreamSignals};

/// One sending of a request to an upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The life of the upstream that is meant; another one at its address must not run it.
    pub upstream: RunnerName,
    /// Time after which the answer is of no use.
    pub time_left: Duration,
    /// The copy from which a stopped run goes on; `None` for a run that begins.
    pub resume: Option<Resume>,
}

/// Where a stopped run goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// Where the runner listens that made the copy.
    pub source: SocketAddr,
    /// Name of the copy there.
    pub handle: String,
    /// Id of the last event that was delivered.
    pub after: Option<String>,
}

/// Asks a runner to copy the memory of a run to another runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyOrder {
    /// Id of the request that runs.
    pub request: String,
    /// Where the other runner listens.
    pub to: SocketAddr,
    /// Whether the run stops first, so that the copy is its last.
    pub stop: bool,
}

/// A copy that was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyAnswer {
    /// Its name at the source.
    pub handle: String,
}

/// Why a copy was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyFailure {
    /// The runner has no such run, or none that has made anything yet.
    NoSuchRun,
    /// A copy of this run is under way.
    Busy,
    /// The other runner has no room or is out of reach.
    NoRoom {
        /// Name of the memory that stays at the source, if the run was stopped.
        handle: Option<String>,
    },
    /// Whether the copy was made is not known.
    Unclear(String),
}

impl std::fmt::Display for CopyFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoSuchRun => f.write_str("the runner has no such run"),
            Self::Busy => f.write_str("a copy of the run is under way"),
            Self::NoRoom { .. } => f.write_str("the other runner has no room or is out of reach"),
            Self::Unclear(cause) => write!(f, "copy: {cause}"),
        }
    }
}

impl std::error::Error for CopyFailure {}

/// What comes of a [`CopyOrder`].
pub struct CopyReply {
    /// The copy, or why there is none.
    pub outcome: Result<CopyAnswer, CopyFailure>,
    /// What the head of the runner's answer says of it.
    pub signals: UpstreamSignals,
}

/// A [`CopyReply`] that is awaited.
pub type Copied = LocalBoxFuture<'static, CopyReply>;

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reading {
    /// It is the answer to this request.
    Answer,
    /// The request was not run and will not be.
    NotRun {
        /// Why.
        cause: String,
        /// Whether another upstream has the address now.
        other_life: bool,
    },
    /// It is not an answer to this request.
    Foreign(String),
}

impl Reading {
    /// Returns what counts of the signals in a head that reads so.
    pub fn vouched(&self, signals: UpstreamSignals) -> UpstreamSignals {
        match self {
            Self::Answer => signals,
            Self::NotRun { other_life: false, .. } => signals.for_refusal(),
            Self::NotRun { .. } => UpstreamSignals::NONE,
            Self::Foreign(_) => signals.for_unverified(),
        }
    }
}

/// Makes the message for one attempt.
pub type EncodeRequest = dyn Fn(&HostedRequest, &Attempt) -> Request<Body>;
/// Reads the head of an answer.
pub type ReadHead = dyn Fn(&HostedRequest, &Parts) -> Reading;
/// Has a runner copy a run.
pub type CopyRun = dyn Fn(Upstream, CopyOrder) -> Copied;

/// Turns requests into messages of the upstreams' protocol and reads the heads of answers.
#[derive(Clone)]
pub struct RunnerDialect {
    /// Makes the message for one attempt.
    pub request: Rc<EncodeRequest>,
    /// Reads the head of an answer.
    pub read: Rc<ReadHead>,
    /// Headers by which upstreams say something of themselves.
    pub signal_headers: SignalHeaders,
    /// Has a runner copy a run.
    pub copy: Rc<CopyRun>,
}

impl RunnerDialect {
    /// Reads what a head says of its upstream.
    pub fn signals(&self, head: &Parts) -> UpstreamSignals {
        UpstreamSignals::read(&self.signal_headers, head.status, &head.headers)
    }
}
