//! The protocol spoken to upstreams of hosted services, as a set of functions that an adapter
//! provides.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hatchpitch_net::Body;
use http::Request;
use http::response::Parts;

use super::request::HostedRequest;
use crate::ids::RunnerName;
use crate::reachability::UpstreamClient;
use crate::upstream_signals::{SignalHeaders, UpstreamSignals};

/// One attempt to send a request to an upstream.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id of the addressed upstream instance. A later instance at the same address must not run the
    /// request.
    pub upstream: RunnerName,
    /// Time until the response is no longer of use.
    pub time_left: Duration,
    /// The copy from which a stopped run resumes; `None` for a new run.
    pub resume: Option<Resume>,
}

/// The copy from which a stopped run resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// Address of the runner that made the copy.
    pub source: SocketAddr,
    /// Handle of the copy at that runner.
    pub handle: String,
    /// Id of the last event that was delivered to the caller.
    pub after: Option<String>,
}

/// Asks a runner to copy the state of a run to another runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyOrder {
    /// Id of the running request.
    pub request: String,
    /// Address of the target runner.
    pub to: SocketAddr,
    /// Whether the run is stopped first, which makes the copy its final one.
    pub stop: bool,
}

/// A completed copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyAnswer {
    /// Handle of the copy at the source.
    pub handle: String,
}

/// Reason why a copy was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyFailure {
    /// The runner has no such run, or the run has produced no output yet.
    NoSuchRun,
    /// Another copy of this run is in progress.
    Busy,
    /// The target runner has no capacity or is unreachable.
    NoRoom {
        /// Handle of the state that is kept at the source, if the run was stopped.
        handle: Option<String>,
    },
    /// It is unknown whether the copy was made.
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

/// The result of a [`CopyOrder`].
pub struct CopyReply {
    /// The copy, or the reason why it was not made.
    pub outcome: Result<CopyAnswer, CopyFailure>,
    /// Signals about the runner in the head of its response.
    pub signals: UpstreamSignals,
}

/// A pending [`CopyReply`].
pub type CopyFuture = LocalBoxFuture<'static, CopyReply>;

/// Classification of a response by its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseKind {
    /// It is the response to this request.
    Answer,
    /// The upstream did not run the request and will not.
    NotRun {
        /// Reason, for logs and for the caller.
        cause: String,
        /// Whether another upstream instance listens at the address now.
        is_replaced: bool,
    },
    /// It is not a response to this request. Holds the reason.
    Foreign(String),
}

impl ResponseKind {
    /// Returns the signals of a head with this classification that can be trusted.
    pub fn trusted_signals(&self, signals: UpstreamSignals) -> UpstreamSignals {
        match self {
            Self::Answer => signals,
            Self::NotRun { is_replaced: false, .. } => signals.for_refusal(),
            Self::NotRun { .. } => UpstreamSignals::NONE,
            Self::Foreign(_) => signals.for_unverified(),
        }
    }
}

/// Encodes a request as the HTTP message of one attempt.
pub type EncodeRequest = dyn Fn(&HostedRequest, &Attempt) -> Request<Body>;
/// Classifies the head of a response.
pub type ClassifyHead = dyn Fn(&HostedRequest, &Parts) -> ResponseKind;
/// Sends a copy order to a runner.
pub type CopyRun = dyn Fn(UpstreamClient, CopyOrder) -> CopyFuture;

/// Encodes requests in the upstreams' protocol and classifies the heads of responses.
#[derive(Clone)]
pub struct RunnerProtocol {
    /// Encodes a request as the HTTP message of one attempt.
    pub request: Rc<EncodeRequest>,
    /// Classifies the head of a response.
    pub classify: Rc<ClassifyHead>,
    /// Names of the headers in which upstreams report their state.
    pub signal_headers: SignalHeaders,
    /// Sends a copy order to a runner.
    pub copy: Rc<CopyRun>,
}

impl RunnerProtocol {
    /// Extracts the signals about the upstream from the head of a response.
    pub fn signals(&self, head: &Parts) -> UpstreamSignals {
        UpstreamSignals::read(&self.signal_headers, head.status, &head.headers)
    }
}
