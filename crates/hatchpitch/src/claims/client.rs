//! Claims from an entry box.

use std::time::Duration;

use super::messages::{ClaimOutcome, ClaimRequest, SettleRequest};
use crate::control::leader::LeaderClient;

/// Path for claims at a control box.
pub const CLAIM_PATH: &str = "/box/claim";
/// Path for settlements at a control box.
pub const SETTLE_PATH: &str = "/box/settle";
/// Time for one call.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time in which a claim must be decided before the request is refused as not run.
const CLAIM_BUDGET: Duration = Duration::from_secs(4);
/// Time for which a settlement is tried again.
const SETTLE_BUDGET: Duration = Duration::from_secs(60);

/// Claims and settles at the control leader.
#[derive(Clone)]
pub struct ClaimClient(LeaderClient);

impl ClaimClient {
    /// Creates a client that asks through `leader`.
    pub fn new(leader: LeaderClient) -> Self {
        Self(leader)
    }

    /// Claims a request; `None` if no control quorum answered in time.
    ///
    /// The same attempt asks each box in turn, so a lost reply grants nothing twice.
    pub async fn claim(&self, req: &ClaimRequest) -> Option<ClaimOutcome> {
        self.0.ask(CLAIM_PATH, req, CALL_LIMIT, CLAIM_BUDGET).await
    }

    /// Settles a claim, trying for a while.
    pub async fn settle(&self, req: &SettleRequest) -> bool {
        self.0.ask::<_, ()>(SETTLE_PATH, req, CALL_LIMIT, SETTLE_BUDGET).await.is_some()
    }
}
