//! Judges whether a response of an upstream is complete.
//!
//! A response with a length or chunks marks its own end. Any other ends with its connection, which
//! the crash of an upstream ends as well: the kernel closes the connections of a process that dies.
//! What such a response has delivered may contradict that it is complete, and so may the state of
//! its upstream. If neither does, its end stays open, and its caller gets it with the same framing.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::Framing;
use http::{HeaderMap, header};

use super::json::JsonNesting;
use crate::entry::EntryCx;
use crate::quarantine::Causes;
use crate::quarantine::observer::{self, RunLocation, UpstreamState};
use crate::routing::Verdict;

/// Longest time that the end of a stream is held back until the state of its upstream is known. It
/// covers the two times that other boxes are asked about an upstream that refuses connections, if
/// one of them hangs for its timeout of 700 ms each time. Callers wait longer for a stream to go on.
pub(super) const STREAM_STATE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The same for a response that is held back as a whole.
pub const BUFFERED_STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// What is known about the end of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The response is complete.
    Complete,
    /// The connection ended in order, and the content doesn't show whether the response is complete.
    /// Holds the state of the upstream right after it.
    Open(UpstreamState),
    /// The response was cut short. Holds the reason.
    Truncated(&'static str),
}

impl Ending {
    /// Returns the ending of a response whose upstream announced itself. Such an upstream listens
    /// for as long as it serves, also while it leaves, so the end of one that has stopped was that
    /// of its responses as well.
    pub fn at_announced(self) -> Self {
        match self {
            Self::Open(UpstreamState::Stopped) => {
                Self::Truncated("the upstream ended with its response")
            }
            other => other,
        }
    }
}

/// Follows the body of a response in order to judge its end.
#[derive(Debug)]
pub struct EndCheck {
    framing: Framing,
    /// Nesting of a body that is a JSON document.
    json: Option<JsonNesting>,
}

impl EndCheck {
    /// Creates a check for a response with this framing and these header fields.
    pub fn new(framing: Framing, headers: &HeaderMap) -> Self {
        let follows_json = framing.is_until_close() && is_json(headers);
        Self { framing, json: follows_json.then(JsonNesting::default) }
    }

    /// Returns the framing of the response.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Appends a part of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        if let Some(json) = &mut self.json {
            json.push(chunk);
        }
    }

    /// Judges the end of a body that ended in order, within `limit`.
    pub async fn judge(
        &self,
        cx: &Rc<EntryCx>,
        location: RunLocation<'_>,
        causes: &Causes,
        limit: Duration,
    ) -> Ending {
        if !self.framing.is_until_close() {
            return Ending::Complete;
        }
        if self.json.as_ref().is_some_and(JsonNesting::is_open) {
            return Ending::Truncated("the connection ended inside a JSON document");
        }
        judge_open_end(cx, location, causes, None, limit).await
    }
}

/// Judges the end of a response that ended with its connection and whose content doesn't contradict
/// that it is complete, within `limit`. `started_at` is the time of the first sign that the upstream
/// ran the request.
pub async fn judge_open_end(
    cx: &Rc<EntryCx>,
    location: RunLocation<'_>,
    causes: &Causes,
    started_at: Option<Instant>,
    limit: Duration,
) -> Ending {
    let probed = compio::time::timeout(limit, observer::upstream_state(cx, location));
    let state = probed.await.unwrap_or(UpstreamState::Unclear);
    match state {
        UpstreamState::Stopped => {
            observer::record_interruption(cx, location, causes, started_at);
        }
        UpstreamState::Listening | UpstreamState::Unclear => {
            observer::record_open_end(cx, location, causes, started_at);
        }
    }
    Ending::Open(state)
}

/// Returns the verdict on an upstream after a response whose end stays open.
pub(super) fn open_end_verdict(state: UpstreamState) -> Verdict {
    match state {
        UpstreamState::Listening => Verdict::Succeeded,
        UpstreamState::Stopped | UpstreamState::Unclear => Verdict::Released,
    }
}

fn is_json(headers: &HeaderMap) -> bool {
    media_type(headers).is_some_and(|name| name == "application/json" || name.ends_with("+json"))
}

/// Returns whether a successful response of a streaming route is a stream of events. Upstreams may
/// leave the type of the events out.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    media_type(headers).is_none_or(|name| name == "text/event-stream")
}

/// Returns the media type of a body in lower case, without parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    Some(value.split(';').next().unwrap_or("").trim().to_ascii_lowercase())
}
