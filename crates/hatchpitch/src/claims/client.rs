//! Client with which an entry box makes and settles claims.

use std::time::Duration;

use super::messages::{ClaimOutcome, ClaimRequest, SettleRequest};
use crate::control::leader::LeaderClient;

/// Path of the claim endpoint of a control box.
pub const CLAIM_PATH: &str = "/box/claim";
/// Path of the settlement endpoint of a control box.
pub const SETTLE_PATH: &str = "/box/settle";
/// Timeout of a single call to a control box.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Total time allowed for a claim, retries included; after it the request is refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Total time for which a settlement is retried.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends claims and settlements to the control leader.
#[derive(Clone)]
pub struct ClaimClient(LeaderClient);

impl ClaimClient {
    /// Creates a client that sends its calls through `leader`.
    pub fn new(leader: LeaderClient) -> Self {
        Self(leader)
    }

    /// Claims a request; `None` if no control quorum answered in time.
    ///
    /// Retries carry the same attempt id, so a claim whose reply was lost is not granted to a
    /// second attempt.
    pub async fn claim(&self, req: &ClaimRequest) -> Option<ClaimOutcome> {
        self.0.ask(CLAIM_PATH, req, CALL_TIMEOUT, CLAIM_TIMEOUT).await
    }

    /// Settles a claim, with retries; returns whether a control box confirmed it in time.
    pub async fn settle(&self, req: &SettleRequest) -> bool {
        self.0.ask::<_, ()>(SETTLE_PATH, req, CALL_TIMEOUT, SETTLE_TIMEOUT).await.is_some()
    }
}
