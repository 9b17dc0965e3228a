//! Slots that this box holds, and their release.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::clock;

use super::messages::ReleaseRequest;
use super::task::{CALL_TIMEOUT, RELEASE_PATH, release};
use crate::admission::Permit;
use crate::dispatch::SlotRequest;
use crate::drain::RunTimer;
use crate::entry::EntryCx;
use crate::ids::{AttemptId, FailureDomainName, RunnerName};
use crate::routing::{RunReport, Verdict};
use crate::upstream_signals::task as upstream_signals;

/// A slot on an engine, granted by this box or by another one. Dropping it releases the slot.
pub struct Slot {
    cx: Rc<EntryCx>,
    /// Engine that the slot is on.
    pub runner: RunnerName,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Failure domain of the engine.
    pub failure_domain: FailureDomainName,
    id: AttemptId,
    source: GrantSource,
    /// Time of the grant.
    since: Instant,
    /// Counts the run in the estimates of run times.
    timer: RunTimer,
    report: RunReport,
}

/// The box that granted a slot.
enum GrantSource {
    /// This box admitted the request.
    Local(Box<Permit>),
    /// Another box, the owner of the engine, admitted it.
    Owner,
}

impl Slot {
    /// Sets the verdict on the engine and the number of output tokens in the report that is sent
    /// with the release.
    pub fn finish(&mut self, verdict: Verdict, tokens: Option<u64>) {
        if verdict == Verdict::Succeeded {
            self.timer.succeed(clock::now());
        }
        self.report.verdict = verdict;
        self.report.tokens = tokens;
    }

    /// Records that the engine rejected the request.
    pub fn record_rejection(&mut self) {
        self.report.is_rejected = true;
        if matches!(self.source, GrantSource::Local(_)) && self.owner_is_elsewhere() {
            upstream_signals::record_unowned_rejection(&self.cx, &self.runner);
        }
    }

    fn owner_is_elsewhere(&self) -> bool {
        self.cx.owner_addr(&self.runner) != Some(self.cx.settings.boxes_addr)
    }

    /// Records the time to the first token.
    pub fn record_first_token(&mut self) {
        self.report.first.get_or_insert(clock::since(self.since));
    }

    /// Returns the attempt that holds the slot.
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Returns the time since the grant.
    pub fn held_for(&self) -> Duration {
        clock::since(self.since)
    }

    /// Returns whether the engine still accepts work from this box, i.e. whether it has not asked
    /// this box to rest.
    pub(super) fn runner_accepts(&self) -> bool {
        let (mut rests, now) = (self.cx.backoffs.borrow_mut(), clock::now());
        match &self.source {
            // Local admission has already counted this request against the few that may be sent
            // to an upstream right after its rest.
            GrantSource::Local(_) => rests.remaining(&self.runner, now).is_none(),
            GrantSource::Owner => rests.take(&self.runner, now),
        }
    }

    /// Creates a slot that this box granted to itself.
    pub(super) fn local(cx: &Rc<EntryCx>, want: &SlotRequest, permit: Permit) -> Self {
        Self {
            cx: cx.clone(),
            runner: permit.runner.name.clone(),
            addr: permit.runner.addr,
            failure_domain: permit.runner.failure_domain.clone(),
            id: want.id.clone(),
            source: GrantSource::Local(Box::new(permit)),
            since: clock::now(),
            timer: cx.drain.start_run(&want.kind),
            report: RunReport::RELEASED,
        }
    }

    /// Creates a slot that the owner of the engine granted.
    pub(super) fn from_owner(
        cx: &Rc<EntryCx>,
        want: &SlotRequest,
        runner: RunnerName,
        addr: SocketAddr,
        failure_domain: FailureDomainName,
    ) -> Self {
        Self {
            cx: cx.clone(),
            runner,
            addr,
            failure_domain,
            id: want.id.clone(),
            source: GrantSource::Owner,
            since: clock::now(),
            timer: cx.drain.start_run(&want.kind),
            report: RunReport::RELEASED,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        let announced = self.cx.brittle.borrow().announcement(&self.runner, now);
        self.report.brittle = announced.map(|(max_rejections, _)| max_rejections);
        self.report.brittle_left = announced.map(|(_, left)| left);
        if let GrantSource::Local(permit) = &mut self.source {
            permit.set_report(self.report);
        }
        let Some(held) = self.cx.held_slots.borrow_mut().remove(&self.id) else { return };
        let release = ReleaseRequest { id: self.id.clone(), report: self.report };
        send_release(&self.cx, held.owner, release);
    }
}

/// Releases a slot at its owner without waiting for the answer. If the message is lost, the owner
/// drops the slot at a later sync.
pub(super) fn send_release(cx: &EntryCx, owner: SocketAddr, req: ReleaseRequest) {
    if owner == cx.settings.boxes_addr {
        return release(cx, &req);
    }
    let client = cx.boxes.clone();
    compio::runtime::spawn(async move {
        let call = client.call::<_, ()>(owner, RELEASE_PATH, &req, CALL_TIMEOUT);
        if let Err(err) = call.await {
            log::debug!("release of a slot: {err}; a later sync will drop it");
        }
    })
    .detach();
}
