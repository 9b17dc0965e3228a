//! Messages about claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Digest, WorkspaceName};

/// What a claim is about: one request of one workspace, however often it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Asks for the right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request.
    pub id: ClaimId,
    /// Digest of its content.
    pub content: Digest,
    /// The attempt that wants to run it; the same attempt may ask again.
    pub attempt: AttemptId,
    /// Time after which a claim that was not settled counts as unknown.
    pub run_limit: Duration,
}

/// The answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt may run the request, once.
    Granted,
    /// The request was run; this was the answer.
    Kept(KeptAnswer),
    /// Another attempt holds the claim and has not settled it.
    Running,
    /// The request may have been run; its answer is lost.
    Unknown,
    /// The key was used for another request.
    KeyReused,
    /// The workspace holds as many claims as it may.
    TooMany,
}

/// An answer kept for callers that ask again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request was run and answered.
    Done(KeptAnswer),
    /// No byte of the request reached an upstream, so it may be claimed anew.
    NotRun,
    /// The request may have been run.
    Unknown,
}

/// Ends a claim. Only the attempt that holds it can.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The request.
    pub id: ClaimId,
    /// The attempt that held the claim.
    pub attempt: AttemptId,
    /// How it ended.
    pub settlement: Settlement,
}
