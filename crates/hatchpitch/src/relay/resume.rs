//! Resumes a stopped run from a copy, at another runner or where it was stopped.

use std::net::SocketAddr;
use std::time::Duration;

use hatchpitch_net::{ResponseBody, SendError, clock};

use super::migration::MOVE_DELAY;
use super::protocol::{Attempt, ResponseKind, Resume};
use super::stream::{EventStream, StreamEnd};
use crate::metrics::Count;
use crate::moves::{MoveOutcome, Moved};
use crate::quarantine::observer;
use crate::reachability::SendOptions;
use crate::upstream_signals::task as upstream_signals;

/// Time within which a migration must end after its run was stopped.
const MOVE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Reason why a run did not resume from a copy.
enum ResumeFailure {
    /// The runner did not accept the run, and the copy was not used.
    NotRun(String),
    /// The run may have resumed at the runner.
    MayHaveRun(String),
}

impl ResumeFailure {
    fn from_send(err: SendError) -> Self {
        let cause = err.to_string();
        if err.is_not_run() { Self::NotRun(cause) } else { Self::MayHaveRun(cause) }
    }

    fn cause(self) -> String {
        match self {
            Self::NotRun(cause) | Self::MayHaveRun(cause) => cause,
        }
    }
}

impl EventStream {
    /// Waits for the migration that closed the link, and opens the link to the copy. Returns `None`
    /// if there was no migration, or if the stream had ended before it.
    pub(super) async fn open_next_link(
        &mut self,
        closed: &StreamEnd,
    ) -> Result<Option<ResponseBody>, String> {
        let Some(moving) = self.moving.take() else { return Ok(None) };
        if !matches!(closed, StreamEnd::Broken(_)) && !moving.is_stopping() {
            // The run was not stopped, so it has finished; its migration is abandoned.
            return Ok(None);
        }
        let moved = match compio::time::timeout(MOVE_TIMEOUT, moving.outcome).await {
            Ok(Ok(MoveOutcome::Moved(moved))) => moved,
            Ok(Ok(MoveOutcome::Stays(_))) => return Ok(None),
            // The stream of a stopped run is closed without its terminator, so this run was not
            // stopped. One without a terminator may have been.
            _ if *closed == StreamEnd::Whole => return Ok(None),
            Ok(Ok(MoveOutcome::Lost(cause))) => return Err(cause),
            Ok(Err(_)) | Err(_) => return Err("the move did not end in time".to_owned()),
        };
        if self.splitter.is_in_pieces() {
            return Err("it was moved inside an event that was passed on in pieces".to_owned());
        }
        self.splitter.discard_incomplete();
        if observer::is_held(&self.relay.cx, &self.causes) {
            return Err("its request was held while it was moved".to_owned());
        }
        self.resume(moved).await.map(Some)
    }

    /// Resumes the run at the runner that received the copy. If that runner does not accept it, the
    /// run resumes where it was stopped, which keeps its state until the copy is used.
    async fn resume(&mut self, moved: Moved) -> Result<ResponseBody, String> {
        self.roster_version = 0;
        self.next_move = clock::now() + MOVE_DELAY;
        let Moved { slot, source, handle, stopped_at } = moved;
        self.stopped_at = Some(stopped_at);
        let left =
            slot.map(|slot| (std::mem::replace(&mut self.slot, *slot), self.leaving_since.take()));
        let failure = match self.send_resume(source, handle.clone()).await {
            Ok(body) => return Ok(body),
            Err(failure) => failure,
        };
        match (failure, left) {
            (ResumeFailure::NotRun(cause), Some((left, leaving_since))) => {
                log::info!(
                    request = self.req.id.as_str(), upstream = self.slot.runner.as_str(),
                    back_at = left.runner.as_str(), cause = cause.as_str();
                    "copy was not accepted; the run resumes at its previous runner"
                );
                (self.slot, self.leaving_since) = (left, leaving_since);
                let (cx, runner) = (&self.relay.cx, &self.slot.runner);
                upstream_signals::wait_for_backoff(cx, runner, MOVE_TIMEOUT).await;
                upstream_signals::obtain_in_advance(cx, runner).await?;
                self.send_resume(source, handle).await.map_err(ResumeFailure::cause)
            }
            (failure, _) => Err(failure.cause()),
        }
    }

    /// Sends the request to the runner of the current slot, to resume from a copy.
    async fn send_resume(
        &mut self,
        source: SocketAddr,
        handle: String,
    ) -> Result<ResponseBody, ResumeFailure> {
        if upstream_signals::backoff_remaining(&self.relay.cx, &self.slot.runner).is_some() {
            return Err(ResumeFailure::NotRun(format!(
                "resume: {}",
                upstream_signals::BACKING_OFF
            )));
        }
        let left = self.req.time_left(clock::now());
        let after = self.splitter.last_id().map(str::to_owned);
        let resume = Resume { source, handle, after };
        let encode = |time_left| {
            let (upstream, resume) = (self.slot.runner.clone(), Some(resume.clone()));
            (self.relay.protocol.request)(&self.req, &Attempt { upstream, time_left, resume })
        };
        self.relay.budgets.borrow_mut().force_withdraw(&self.service);
        let sent_at = clock::now();
        let upstream = self.relay.cx.upstream(&self.slot.runner, self.slot.addr);
        let sent = upstream.send_encoded(&encode, left, SendOptions::default()).await;
        let sent = sent.map_err(|err| {
            if err.is_broken_response() && !self.req.time_left(clock::now()).is_zero() {
                self.note_break(None);
            }
            ResumeFailure::from_send(err)
        });
        let (parts, body) = sent?.into_parts();
        let kind = (self.relay.protocol.classify)(&self.req, &parts);
        let signals = kind.trusted_signals(self.relay.protocol.signals(&parts));
        upstream_signals::record(&self.relay.cx, &self.slot.runner, signals, sent_at);
        match kind {
            ResponseKind::Answer if parts.status.is_success() => {
                self.relay.cx.metrics.count(Count::Relinks, &self.req.route.name);
                self.set_framing(body.framing());
                self.link_start = clock::now();
                self.link_has_events = false;
                Ok(body)
            }
            ResponseKind::Answer => {
                Err(ResumeFailure::MayHaveRun(format!("resume answered with {}", parts.status)))
            }
            ResponseKind::NotRun { cause, is_replaced } => {
                if !is_replaced {
                    self.slot.record_rejection();
                }
                Err(ResumeFailure::NotRun(format!("resume: {cause}")))
            }
            ResponseKind::Foreign(cause) => {
                Err(ResumeFailure::MayHaveRun(format!("resume: {cause}")))
            }
        }
    }
}
