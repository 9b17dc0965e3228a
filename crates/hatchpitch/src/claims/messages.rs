//! Messages between entry boxes and control boxes that claim and settle requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Digest, WorkspaceName};

/// Identifies a claimed request; retries of the same request have the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The workspace that sends the request.
    pub workspace: WorkspaceName,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Asks for the exclusive right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request to claim.
    pub id: ClaimId,
    /// Digest of the request content, by which reuse of a key for another request is detected.
    pub content: Digest,
    /// The attempt that is to run the request; it may repeat its claim.
    pub attempt: AttemptId,
    /// Time after which an unsettled claim changes to [`ClaimOutcome::Unknown`].
    pub run_limit: Duration,
}

/// The answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt may run the request, once.
    Granted,
    /// The request was run; this is the stored answer.
    Kept(KeptAnswer),
    /// Another attempt holds the claim and has not settled it yet.
    Running,
    /// The request may have been run, and its answer is not available.
    Unknown,
    /// The idempotency key was used for a request with other content.
    KeyReused,
    /// The workspace has reached its limit of stored claims.
    TooMany,
}

/// An answer stored for retries of a settled request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body; `None` if it was larger than
    /// [`ClaimsConfig::max_answer`](super::ClaimsConfig::max_answer).
    pub body: Option<Vec<u8>>,
    /// Whether the answer marked its own end, so that it is known to be complete. Boxes of earlier
    /// versions do not record this, so an answer that one of them handled counts as unmarked.
    #[serde(default)]
    pub is_delimited: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request was run and answered.
    Done(KeptAnswer),
    /// No byte of the request reached an upstream, so another attempt may claim it.
    NotRun,
    /// It is unknown whether the request was run.
    Unknown,
}

/// Settles a claim. It is ignored unless it comes from the attempt that holds the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The claimed request.
    pub id: ClaimId,
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub settlement: Settlement,
}
