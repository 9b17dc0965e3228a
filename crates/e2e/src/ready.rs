//! Readiness checks for started processes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::bail;
use bytes::Bytes;
use hatchpitch_standins::caller::Caller;
use http::{HeaderMap, Method};

use crate::Process;

/// Timeout of one probe. Another process that holds the port may accept it and never respond.
const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Interval between probes.
const POLL: Duration = Duration::from_millis(20);

impl Process {
    /// Waits until the process responds to HTTP at `addr` with any status.
    ///
    /// # Errors
    ///
    /// Returns an error with the process's log if it exits or does not respond within
    /// `timeout`.
    pub async fn wait_ready(&mut self, addr: SocketAddr, timeout: Duration) -> anyhow::Result<()> {
        let started = Instant::now();
        loop {
            let responds = responds(addr).await;
            // If another process holds the port, that process may respond while this one exits.
            if self.has_ended() {
                bail!("{} exited during startup: {}", self.name, self.log());
            }
            if responds {
                return Ok(());
            }
            if started.elapsed() > timeout {
                bail!("{} does not respond at {addr}: {}", self.name, self.log());
            }
            compio::time::sleep(POLL).await;
        }
    }
}

/// Returns whether an HTTP response arrives from `addr`.
async fn responds(addr: SocketAddr) -> bool {
    let caller = Caller { key: String::new() };
    let call = caller.call(addr, Method::GET, "/", HeaderMap::new(), Bytes::new());
    matches!(compio::time::timeout(CALL_LIMIT, call).await, Ok(Ok(_)))
}
