//! Claims from an entry box: finds the control leader and asks it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{BoxClient, CallError};
use serde::{Deserialize, Serialize};

use super::messages::{ClaimOutcome, ClaimRequest, SettleRequest};

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
const RETRY_REST: Duration = Duration::from_millis(100);

/// A control box's answer to a call that only the leader can serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderAnswer<T> {
    /// The leader's answer.
    Served(T),
    /// Another box leads, if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Asks the control leader, wherever it is.
#[derive(Clone)]
pub struct ClaimClient {
    client: BoxClient,
    control: Rc<Vec<SocketAddr>>,
    /// Index of the control box that answered last.
    last: Rc<Cell<usize>>,
}

impl ClaimClient {
    /// Creates a client of the given control boxes.
    pub fn new(client: BoxClient, control: Vec<SocketAddr>) -> Self {
        Self { client, control: Rc::new(control), last: Rc::default() }
    }

    /// Claims a request; `None` if no control quorum answered in time.
    ///
    /// The same attempt asks each box in turn, so a lost reply grants nothing twice.
    pub async fn claim(&self, req: &ClaimRequest) -> Option<ClaimOutcome> {
        self.ask(CLAIM_PATH, req, CLAIM_BUDGET).await
    }

    /// Settles a claim, trying for a while.
    pub async fn settle(&self, req: &SettleRequest) -> bool {
        self.ask::<_, ()>(SETTLE_PATH, req, SETTLE_BUDGET).await.is_some()
    }

    async fn ask<Q, A>(&self, path: &str, req: &Q, budget: Duration) -> Option<A>
    where
        Q: Serialize,
        A: serde::de::DeserializeOwned,
    {
        let started = Instant::now();
        let mut hint = None;
        while started.elapsed() < budget {
            let peer = hint.take().unwrap_or_else(|| self.current());
            let answer: Result<LeaderAnswer<A>, CallError> =
                self.client.call(peer, path, req, CALL_LIMIT).await;
            match answer {
                Ok(LeaderAnswer::Served(answer)) => {
                    self.remember(peer);
                    return Some(answer);
                }
                Ok(LeaderAnswer::NotLeader(Some(leader))) if leader != peer => hint = Some(leader),
                Ok(LeaderAnswer::NotLeader(_)) => self.advance(),
                Err(err) => {
                    log::debug!("{path}: {err}");
                    self.advance();
                }
            }
            if hint.is_none() {
                compio::time::sleep(RETRY_REST).await;
            }
        }
        None
    }

    fn current(&self) -> SocketAddr {
        self.control[self.last.get() % self.control.len()]
    }

    fn remember(&self, peer: SocketAddr) {
        if let Some(at) = self.control.iter().position(|addr| *addr == peer) {
            self.last.set(at);
        }
    }

    fn advance(&self) {
        self.last.set((self.last.get() + 1) % self.control.len());
    }
}
