//! Asks the control leader from an entry box, wherever it is.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hatchpitch_net::{BoxClient, CallError, clock};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Rest before another control box is asked: an election takes several of them.
const RETRY_REST: Duration = Duration::from_millis(100);

/// A control box's answer to a call that only the leader can serve.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderAnswer<T> {
    /// The leader's answer.
    Served(T),
    /// Another box leads, if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Finds the control leader and asks it.
#[derive(Clone)]
pub struct LeaderClient {
    client: BoxClient,
    /// Returns the control boxes that are known.
    control: Rc<dyn Fn() -> Vec<SocketAddr>>,
    /// The control box to ask first.
    first: Rc<Cell<Option<SocketAddr>>>,
}

impl LeaderClient {
    /// Creates a client of the control boxes that `control` returns at each call.
    pub fn new(client: BoxClient, control: impl Fn() -> Vec<SocketAddr> + 'static) -> Self {
        Self { client, control: Rc::new(control), first: Rc::default() }
    }

    /// Asks the leader; `None` if none has answered within `budget`. Each call to one box may take
    /// `limit`, and a lost answer makes the same request go to another one, so it must be safe to
    /// take twice.
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
            let Some(peer) = hint.take().or_else(|| self.current()) else {
                compio::time::sleep(RETRY_REST).await;
                continue;
            };
            let answer: Result<LeaderAnswer<A>, CallError> =
                self.client.call(peer, path, req, limit).await;
            match answer {
                Ok(LeaderAnswer::Served(answer)) => {
                    self.first.set(Some(peer));
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
                compio::time::sleep(RETRY_REST).await;
            }
        }
        None
    }

    fn current(&self) -> Option<SocketAddr> {
        self.first.get().or_else(|| (self.control)().first().copied())
    }

    /// Goes on to the control box after `peer`.
    fn advance(&self, peer: SocketAddr) {
        let control = (self.control)();
        let at = control.iter().position(|addr| *addr == peer).map_or(0, |at| at + 1);
        self.first.set(control.get(at).or_else(|| control.first()).copied());
    }
}
