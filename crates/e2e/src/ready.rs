//! When a process counts as started: it answers, and it is the process itself that does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::bail;
use bytes::Bytes;
use hatchpitch_standins::caller::Caller;
use http::{HeaderMap, Method};

use crate::Process;

/// Time for one call: whoever holds a port in the process's place may never answer.
const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Time between two calls.
const POLL: Duration = Duration::from_millis(20);

impl Process {
    /// Waits until the process answers HTTP at `addr`, whatever it says.
    ///
    /// # Errors
    ///
    /// Returns an error with the process's log if it ended or does not answer within `patience`.
    pub async fn wait_answer(
        &mut self,
        addr: SocketAddr,
        patience: Duration,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        loop {
            let answers = answers(addr).await;
            // A process that lost its port to another one ends, and the other one may answer.
            if self.has_ended() {
                bail!("{} ended at its start: {}", self.name, self.log());
            }
            if answers {
                return Ok(());
            }
            if started.elapsed() > patience {
                bail!("{} does not answer at {addr}: {}", self.name, self.log());
            }
            compio::time::sleep(POLL).await;
        }
    }
}

async fn answers(addr: SocketAddr) -> bool {
    let caller = Caller { key: String::new() };
    let call = caller.call(addr, Method::GET, "/", HeaderMap::new(), Bytes::new());
    matches!(compio::time::timeout(CALL_LIMIT, call).await, Ok(Ok(_)))
}
