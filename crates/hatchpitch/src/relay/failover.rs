//! Continues a stream whose engine was lost from its standby copy.

use std::time::Duration;

use hatchpitch_net::{BodySender, Listening, clock};
use hyper::body::Incoming;

use super::migration::MOVE_DELAY;
use super::resume::ResumeFailure;
use super::stream::{EventStream, StreamEnd};
use crate::dispatch::SlotRequest;
use crate::grants::Slot;
use crate::ids::new_id;
use crate::metrics::Count;
use crate::quarantine::observer;
use crate::standby::plan::{BrokenStream, check_failover};
use crate::upstream_signals::task as upstream_signals;

/// Time within which an engine refuses a connection if it has exited.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which a run must resume at its standby. Callers give up a stream after a pause of
/// two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(2_000);

impl EventStream {
    /// Continues a broken stream at its standby, if it has one. No other standby is sought after
    /// that, so a stream is continued in this way at most once. Returns `None` if the stream ends.
    pub(super) async fn fail_over(&mut self, end: &StreamEnd, tx: &BodySender) -> Option<Incoming> {
        let StreamEnd::Broken(broken) = end else { return None };
        if tx.is_closed() {
            return None;
        }
        let standby = self.standby.take()?;
        let (left, to) = (self.slot.runner.clone(), standby.runner.clone());
        let (held_for, started) = (standby.held_for(), clock::now());
        let continued = self.continue_at(standby).await;
        let (count, outcome) = match &continued {
            Ok(_) => (Count::StandbysUsed, "continues"),
            Err(_) => (Count::StandbysInVain, "in_vain"),
        };
        self.relay.cx.metrics.count(count, &self.service);
        log::info!(
            request = self.req.id.as_str(), upstream = left.as_str(), to = to.as_str(),
            outcome = outcome, broken = broken.as_str(),
            cause = continued.as_ref().err().map_or("", String::as_str),
            events = self.splitter.events(), after = self.splitter.last_id().unwrap_or(""),
            since_last_ms = clock::since(self.last_progress).as_millis(),
            took_ms = clock::since(started).as_millis(), held_ms = held_for.as_millis(),
            roster = self.relay.cx.upstreams.roster.borrow().version();
            "failover of a stream to its standby"
        );
        continued.ok()
    }

    async fn continue_at(&mut self, standby: Slot) -> Result<Incoming, String> {
        let cx = self.relay.cx.clone();
        let is_source_gone = self.is_source_gone().await;
        check_failover(BrokenStream {
            has_resume_point: self.splitter.has_resume_point(),
            is_source_silent: self.is_link_silent,
            is_source_gone,
            is_out_of_time: self.req.time_left(clock::now()).is_zero(),
            is_evacuated: cx.is_evacuated(&standby.failure_domain),
            is_held: observer::check(&cx, &self.content).is_err(),
        })?;
        upstream_signals::obtain_in_advance(&cx, &standby.runner).await?;
        self.splitter.discard_incomplete();
        let slot = standby.take_another(self.remainder_request());
        let slot = slot.ok_or("the slot of the standby was lost")?;
        let source = standby.addr;
        drop(standby);
        let left = std::mem::replace(&mut self.slot, slot);
        let handle = self.req.id.clone();
        let resumed = compio::time::timeout(RESUME_TIMEOUT, self.send_resume(source, handle)).await;
        let timed_out = || Err(ResumeFailure::MayHaveRun("no answer in time".to_owned()));
        match resumed.unwrap_or_else(|_| timed_out()) {
            Ok(body) => {
                (self.leaving_since, self.roster_version) = (None, 0);
                self.next_move = clock::now() + MOVE_DELAY;
                Ok(body)
            }
            Err(failure) => {
                self.slot = left;
                Err(ResumeFailure::cause(failure))
            }
        }
    }

    /// Returns whether the engine of the broken link has exited: nothing listens at its address, or
    /// another lifetime does.
    async fn is_source_gone(&self) -> bool {
        let (cx, runner) = (&self.relay.cx, &self.slot.runner);
        let listening = cx.upstream(runner, self.slot.addr);
        let listening = compio::time::timeout(CHECK_TIMEOUT, listening.listening()).await;
        match listening {
            Ok(Listening::No) => true,
            Ok(Listening::Yes) => {
                let roster = cx.upstreams.roster.borrow();
                let mut others = roster.serving().filter(|record| record.addr == self.slot.addr);
                others.any(|record| record.life() != *runner)
            }
            Ok(Listening::Unclear) | Err(_) => false,
        }
    }

    /// Returns the request for the slot of the rest of the generation.
    fn remainder_request(&self) -> SlotRequest {
        let produced = self.tokens_produced();
        let (prompt, max_output) =
            self.req.generation.map_or((0, u64::MAX), |needs| (needs.prompt, needs.max_output));
        SlotRequest {
            id: new_id(),
            workspace: self.req.workspace.clone().unwrap_or_default(),
            priority: self.req.priority(),
            kind: self.req.route.name.clone(),
            prompt: prompt + produced,
            max_tokens: max_output.saturating_sub(produced),
            max_gap: self.max_gap(),
            event_tokens: self.relay.cx.event_tokens(&self.service),
            ..SlotRequest::default()
        }
    }
}
