//! Decides which streams get a standby copy, in which failure domains, and whether a broken stream
//! may continue from it.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::FailureDomainName;

/// Expected output of a generation before any output length was observed, in tokens.
pub const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Fewest expected events of a stream that gets a standby. A shorter one is over after a few parts
/// of its copy, and little is lost with it.
const MIN_EVENTS: f64 = 32.0;
/// Standbys per second that a box asks other boxes for. The messages for one have about 500 bytes,
/// and 17 more for each second that it is held; they may take 1 KB/s in total.
const ASKS_PER_SECOND: f64 = 1.5;
/// Standbys that a box asks for at once after a pause.
const MAX_ASKS_AT_ONCE: f64 = 8.0;

/// Returns whether a stream is long enough for a standby. `expected` is the mean output of its
/// kind in tokens, and `max_output` its own bound.
pub fn is_worthwhile(expected: f64, max_output: u64, event_tokens: u64) -> bool {
    expected.min(max_output as f64) / event_tokens.max(1) as f64 >= MIN_EVENTS
}

/// Returns those of the failure domains of all engines in which a run in `own` may have its
/// standby. `within` lists the
/// domains that its request is restricted to; empty means all.
pub fn standby_domains<'a>(
    all: impl IntoIterator<Item = &'a FailureDomainName>,
    own: &str,
    within: &[FailureDomainName],
) -> Vec<FailureDomainName> {
    let mut domains: Vec<FailureDomainName> = all
        .into_iter()
        .filter(|domain| *domain != own && (within.is_empty() || within.contains(domain)))
        .cloned()
        .collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Chooses the owner that is asked for a standby, with a probability proportional to the number of
/// its engines. `draw` is a random number.
pub fn choose_owner(mut owners: Vec<(SocketAddr, usize)>, draw: u64) -> Option<SocketAddr> {
    owners.sort_unstable();
    let total: usize = owners.iter().map(|(_, engines)| engines).sum();
    let mut at = draw.checked_rem(total as u64)? as usize;
    for (owner, engines) in owners {
        if at < engines {
            return Some(owner);
        }
        at -= engines;
    }
    None
}

/// Limits the standbys that a box asks other boxes for, and so their control traffic.
#[derive(Debug, Clone, Copy)]
pub struct AskLimiter {
    available: f64,
    updated: Option<Instant>,
}

impl Default for AskLimiter {
    fn default() -> Self {
        Self { available: MAX_ASKS_AT_ONCE, updated: None }
    }
}

impl AskLimiter {
    /// Returns whether another box may be asked now, and counts it.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = self.updated.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.updated = Some(now);
        self.available = (self.available + elapsed * ASKS_PER_SECOND).min(MAX_ASKS_AT_ONCE);
        let may_ask = self.available >= 1.0;
        if may_ask {
            self.available -= 1.0;
        }
        may_ask
    }
}

/// What is known about a stream whose link broke.
#[derive(Debug, Clone, Copy)]
pub struct BrokenStream {
    /// Whether a run that resumes after the last event id continues after the last delivered event.
    pub has_resume_point: bool,
    /// Whether its link was given up because its engine is silent. The engine may be running on,
    /// and nothing shows when it stops.
    pub is_source_silent: bool,
    /// Whether its engine no longer listens. One that does may be running on: a reset of the link
    /// shows nothing of the engine.
    pub is_source_gone: bool,
    /// Whether its time is over.
    pub is_out_of_time: bool,
    /// Whether the failure domain of its standby is evacuated.
    pub is_evacuated: bool,
    /// Whether requests with its content are held because they crash engines.
    pub is_held: bool,
}

/// Checks whether a broken stream may continue at its standby.
///
/// # Errors
///
/// Returns the reason why it may not.
pub fn check_failover(stream: BrokenStream) -> Result<(), &'static str> {
    if !stream.has_resume_point {
        return Err("the last event has no id to continue after");
    }
    if stream.is_source_silent {
        return Err("the engine is silent and may still run it");
    }
    if !stream.is_source_gone {
        return Err("the engine still listens, or does not respond");
    }
    if stream.is_out_of_time {
        return Err("the time of the request is over");
    }
    if stream.is_evacuated {
        return Err("the failure domain of the standby is evacuated");
    }
    if stream.is_held {
        return Err("requests with this content crash engines");
    }
    Ok(())
}
