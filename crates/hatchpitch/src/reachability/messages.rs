//! Messages between boxes for requests that one sends to an upstream on behalf of another.

use std::net::SocketAddr;
use std::time::Duration;

use hatchpitch_net::Listening;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::ids::{RequestKind, RunnerName};

/// Asks another box to exchange a message with an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Name of the upstream.
    pub upstream: RunnerName,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// What to do.
    pub action: ForwardAction,
}

/// What a box does on behalf of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardAction {
    /// Sends a request and returns the response of the upstream.
    Send(ForwardedMessage),
    /// Checks whether the upstream accepts connections.
    Probe,
}

/// An HTTP request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedMessage {
    /// HTTP method.
    pub method: String,
    /// Request target.
    pub target: String,
    /// Header names and values.
    pub headers: Vec<(String, ByteBuf)>,
    /// Body.
    pub body: ByteBuf,
    /// Time limit for receiving the response head.
    pub head_timeout: Duration,
    /// Kind of the request; empty if it has none.
    #[serde(default)]
    pub kind: RequestKind,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub is_repeatable: bool,
}

/// Tells why there is no response of the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardFailure {
    /// Whether it is certain that no part of the request reached the upstream.
    pub not_run: bool,
    /// Whether the failure is evidence against the upstream rather than against this box.
    pub is_conclusive: bool,
    /// Whether the link that the request was sent on was found to be lost.
    #[serde(default)]
    pub link_lost: bool,
    /// Description of the failure.
    pub cause: String,
}

/// Result of a [`ForwardAction::Probe`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeResult {
    /// Whether the upstream accepts connections.
    pub listening: Listening,
    /// Whether a failure is evidence against the upstream rather than against this box.
    pub is_conclusive: bool,
}

/// Asks another box which requests upstreams answered on its links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswersRequest {
    /// Addresses of upstreams and kinds of requests.
    pub items: Vec<(SocketAddr, RequestKind)>,
}

/// Answer to an [`AnswersRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswersReply {
    /// For each item, how long ago the latest request that was answered had been sent, in
    /// milliseconds.
    pub ages_ms: Vec<Option<u64>>,
}
