//! Client with which an entry box finds and asks the leader of the control boxes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, CallError, clock};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Delay before the next attempt; an election takes several of these delays.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Response of a control box to a request that only the leader can serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderAnswer<T> {
    /// This box leads and served the request.
    Served(T),
    /// This box does not lead. Names the address of the leader if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Sends requests to the leader of the control boxes.
#[derive(Clone)]
pub struct LeaderClient {
    client: BoxClient,
    /// Returns the addresses of the known control boxes.
    control_addrs: Rc<dyn Fn() -> Vec<SocketAddr>>,
    /// Control box to ask next: the one that last served a request, or the one after a failure.
    preferred: Rc<Cell<Option<SocketAddr>>>,
}

impl LeaderClient {
    /// Creates a client that asks the control boxes whose addresses `control_addrs` returns.
    pub fn new(client: BoxClient, control_addrs: impl Fn() -> Vec<SocketAddr> + 'static) -> Self {
        Self { client, control_addrs: Rc::new(control_addrs), preferred: Rc::default() }
    }

    /// Sends a request to the leader and returns its response, or `None` if there was none within
    /// `budget`. Each call to one box may take up to `limit`. If a response is lost, the request is
    /// sent to another box, so the request must be idempotent.
    pub async fn ask<Q, A>(
        &self,
        path: &str,
        req: &Q,
        limit: Duration,
        budget: Duration,
    ) -> Option<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let started = clock::now();
        let mut hint = None;
        while clock::since(started) < budget {
            let Some(peer) = hint.take().or_else(|| self.next_target()) else {
                compio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let answer: Result<LeaderAnswer<A>, CallError> =
                self.client.call(peer, path, req, limit).await;
            match answer {
                Ok(LeaderAnswer::Served(answer)) => {
                    self.preferred.set(Some(peer));
                    return Some(answer);
                }
                Ok(LeaderAnswer::NotLeader(Some(leader))) if leader != peer => hint = Some(leader),
                Ok(LeaderAnswer::NotLeader(_)) => self.advance(peer),
                Err(err) => {
                    log::debug!("{path}: {err}");
                    self.advance(peer);
                }
            }
            if hint.is_none() {
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
        None
    }

    /// Returns the control box to ask next, or `None` if none is known.
    fn next_target(&self) -> Option<SocketAddr> {
        self.preferred.get().or_else(|| (self.control_addrs)().first().copied())
    }

    /// Selects the control box after `peer`, wrapping around at the end of the list.
    fn advance(&self, peer: SocketAddr) {
        let control_addrs = (self.control_addrs)();
        let at = control_addrs.iter().position(|addr| *addr == peer).map_or(0, |at| at + 1);
        self.preferred.set(control_addrs.get(at).or_else(|| control_addrs.first()).copied());
    }
}
