//! Sends requests on links of this box and watches the links while their responses are awaited.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hatchpitch_net::{
    Body, Connection, ProbedLink, ResponseBody, SendError, SendStep, Upstream, clock,
};
use http::{Request, Response};

use super::messages::{AnswersReply, AnswersRequest};
use super::silence::{AckWatch, CHECK_INTERVAL, Evidence, WaitingRequest};
use super::state::PathChange;
use super::task::CONNECT_TIMEOUT;
use crate::entry::EntryCx;
use crate::ids::RunnerName;
use crate::metrics::Count;

/// Path of requests for the answers that another box got.
pub const ANSWERS_PATH: &str = "/box/answers";
/// Other boxes that are asked in one inquiry.
pub const INQUIRY_PEERS: usize = 4;
/// Time limit for their answers: many round trips between failure domains.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a probe keeps its connection open before it sends anything. A network that resets
/// connections does so within a few round trips.
const PROBE_HOLD: Duration = Duration::from_millis(50);
/// Time limit for the reaction to the message of a probe, which a busy upstream may delay.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a probe that confirms the evidence of another box. The upstream has just answered
/// there, and a longer time leaves more requests on a link that is lost.
const CONFIRMATION_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// What a request allows while its response head is awaited.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendOptions<'a> {
    /// Kind of the request, by which answers are compared; empty if it has none.
    pub kind: &'a str,
    /// Whether the request is abandoned on a suspect link, because it may be sent again.
    pub is_repeatable: bool,
}

/// The link of this box to an upstream.
#[derive(Clone)]
pub(super) struct Link {
    pub(super) cx: Rc<EntryCx>,
    pub(super) name: RunnerName,
    pub(super) path: Upstream,
}

impl Link {
    /// Sends a request and waits up to `timeout` for the response head. Meanwhile, looks for
    /// evidence that the link is lost.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], of the step [`SendStep::LinkLost`] if the request was abandoned, or
    /// failed otherwise after its link had become suspect.
    pub(super) async fn send(
        &self,
        conn: Connection,
        req: Request<Body>,
        timeout: Duration,
        options: SendOptions<'_>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let (addr, sent) = (self.path.addr, clock::now());
        let waiting = WaitingRequest { addr, kind: options.kind.to_owned(), sent };
        let monitor = conn.monitor();
        let mut acks = Some(AckWatch::new(sent));
        let mut sending = Box::pin(conn.send(req, timeout));
        loop {
            if let Ok(result) = compio::time::timeout(CHECK_INTERVAL, sending.as_mut()).await {
                return self.conclude(result, &waiting);
            }
            let now = clock::now();
            let evidence = match monitor.acknowledgements() {
                Ok(state) => acks.as_mut().and_then(|acks| acks.observe(state, now)),
                Err(err) => {
                    log::debug!("state of a connection to {addr}: {err}");
                    None
                }
            };
            if let Some(evidence) = evidence {
                // One connection is evidence once; later ones may work while it does not yet.
                acks = None;
                record_evidence(&self.cx, &waiting, evidence);
            }
            let abandon_at = self.abandon_at(sent);
            match abandon_at {
                Some(_) => self.probe(),
                None if acks.is_some() && !options.kind.is_empty() => inquire(&self.cx, &waiting),
                None => {}
            }
            if options.is_repeatable && abandon_at.is_some_and(|at| now >= at) {
                monitor.reset();
                self.cx.metrics.count(Count::AbandonedSends, "");
                let cause = format!("abandoned after {:?} on a lost link", now - sent);
                return Err(SendError { step: SendStep::LinkLost, peer: addr, cause });
            }
        }
    }

    /// Records an answer, and marks the failure of a request whose link has become suspect.
    fn conclude(
        &self,
        result: Result<Response<ResponseBody>, SendError>,
        req: &WaitingRequest,
    ) -> Result<Response<ResponseBody>, SendError> {
        match result {
            Ok(res) => {
                self.cx.reachability.paths.borrow_mut().record_byte(req.addr, clock::now());
                let kind = res.status().is_success().then_some(req.kind.as_str());
                let mut answers = self.cx.reachability.answers.borrow_mut();
                answers.record(req.addr, kind, req.sent, clock::now());
                Ok(res)
            }
            Err(err) if err.step == SendStep::AwaitHead && self.abandon_at(req.sent).is_some() => {
                Err(SendError { step: SendStep::LinkLost, ..err })
            }
            Err(err) => {
                if err.step == SendStep::InvalidResponse {
                    self.cx.reachability.paths.borrow_mut().record_byte(req.addr, clock::now());
                }
                Err(err)
            }
        }
    }

    fn abandon_at(&self, sent: Instant) -> Option<Instant> {
        self.cx.reachability.paths.borrow().abandon_at(self.path.addr, sent)
    }

    /// Checks in the background whether this box has a link, at the rate at which paths are probed.
    pub(super) fn probe(&self) {
        let paths = &self.cx.reachability.paths;
        if !paths.borrow_mut().take_probe_of(self.path.addr, clock::now()) {
            return;
        }
        let link = self.clone();
        compio::runtime::spawn(async move {
            let started = clock::now();
            let probed = link.path.probe(PROBE_HOLD, PROBE_ANSWER_TIMEOUT).await;
            let (addr, now) = (link.path.addr, clock::now());
            let mut paths = link.cx.reachability.paths.borrow_mut();
            match probed {
                ProbedLink::Answers => link.log_change(paths.record_success(addr, started)),
                ProbedLink::Silent => link.log_change(paths.record_connect(addr, started)),
                ProbedLink::Closed => paths.record_reset(addr, now),
                ProbedLink::NoConnection => paths.record_failure(addr, now),
            }
        })
        .detach();
    }

    pub(super) fn log_change(&self, change: Option<PathChange>) {
        let (upstream, addr) = (self.name.as_str(), self.path.addr);
        match change {
            Some(PathChange::Broken) => log::warn!(
                upstream = upstream, addr:% = addr;
                "no link to an upstream that other boxes reach; requests go through them"
            ),
            Some(PathChange::Restored) => {
                log::info!(upstream = upstream, addr:% = addr; "link to an upstream is back");
            }
            Some(PathChange::Silent) | None => {}
        }
    }
}

/// Records evidence that the link of a waiting request is lost, unless a later request was answered
/// on it.
fn record_evidence(cx: &EntryCx, req: &WaitingRequest, evidence: Evidence) {
    if cx.reachability.answers.borrow().has_since(req.addr, req.sent) {
        return;
    }
    let change = cx.reachability.paths.borrow_mut().record_silence(req.addr, clock::now());
    if change.is_none() {
        return;
    }
    cx.metrics.count(Count::SilentLinks, "");
    let (text, age, waited) = match evidence {
        Evidence::Unacknowledged(age) => ("unacknowledged bytes", age, clock::since(req.sent)),
        Evidence::AnsweredElsewhere { waited, age } => ("answer to another box", age, waited),
    };
    let [age_ms, waited_ms] =
        [age, waited].map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    log::warn!(
        addr:% = req.addr, kind = req.kind.as_str(), evidence = text, age_ms = age_ms,
        waited_ms = waited_ms;
        "no link to an upstream: connections are established and stay silent; requests go through \
         other boxes"
    );
}

/// Asks other boxes in the background which requests were answered to them, if it is time to.
fn inquire(cx: &Rc<EntryCx>, req: &WaitingRequest) {
    let asked = clock::now();
    let items = cx.reachability.inquiries.borrow_mut().add(req, asked);
    if items.is_empty() {
        return;
    }
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        let peers = cx.membership.borrow_mut().peers(INQUIRY_PEERS);
        let message = AnswersRequest {
            items: items.iter().map(|item| (item.addr, item.kind.clone())).collect(),
        };
        let calls = peers.iter().map(|peer| {
            cx.boxes.call::<_, AnswersReply>(*peer, ANSWERS_PATH, &message, INQUIRY_TIMEOUT)
        });
        let mut found = BTreeMap::new();
        for reply in join_all(calls).await {
            let ages = match reply {
                Ok(AnswersReply { ages_ms }) => ages_ms,
                Err(err) => {
                    log::debug!("inquiry about an upstream: {err}");
                    continue;
                }
            };
            for (item, age) in items.iter().zip(ages) {
                let age = age.map(Duration::from_millis);
                if let Some(evidence) = age.and_then(|age| item.judge(age, asked)) {
                    found.entry(item.addr).or_insert((item, evidence));
                }
            }
        }
        join_all(found.into_values().map(|(item, evidence)| confirm(&cx, item, evidence))).await;
    })
    .detach();
}

/// Records the evidence of another box if a probe confirms it.
async fn confirm(cx: &EntryCx, req: &WaitingRequest, evidence: Evidence) {
    let started = clock::now();
    let path = cx.direct_path(req.addr, CONNECT_TIMEOUT);
    let probed = path.probe(PROBE_HOLD, CONFIRMATION_ANSWER_TIMEOUT).await;
    if evidence.is_confirmed_by(Some(probed)) {
        record_evidence(cx, req, evidence);
        return;
    }
    log::debug!("evidence of another box against the link to {}: probe: {probed:?}", req.addr);
    let mut paths = cx.reachability.paths.borrow_mut();
    match probed {
        ProbedLink::Answers => {
            paths.record_success(req.addr, started);
        }
        ProbedLink::Closed => paths.record_reset(req.addr, clock::now()),
        ProbedLink::Silent | ProbedLink::NoConnection => {}
    }
}

/// Answers another box that asks which requests were answered on links of this one.
pub fn answer_inquiry(cx: &EntryCx, req: &AnswersRequest) -> AnswersReply {
    let (answers, now) = (cx.reachability.answers.borrow(), clock::now());
    let age_ms = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let ages = req.items.iter().map(|(addr, kind)| answers.age(*addr, kind, now).map(age_ms));
    AnswersReply { ages_ms: ages.collect() }
}
