//! Requests of other boxes to a control box.

use std::net::SocketAddr;
use std::rc::Rc;

use hatchpitch_net::{Body, Holder, ReceivedMessage, Reservation, clock};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::context::{ControlCx, ProposeError};
use super::daemon::BODY_TIMEOUT;
use super::join::{self, JOIN_PATH, JoinRequest, LEAVE_PATH, LeaveRequest};
use super::leader::LeaderAnswer;
use super::machine::{Order, Reply};
use super::registrations;
use crate::claims::client::{CLAIM_PATH, SETTLE_PATH};
use crate::claims::{ClaimOutcome, ClaimRequest, SettleRequest};
use crate::config::FeedRequest;
use crate::config::feed::FEED_PATH;
use crate::message_limits::max_body;
use crate::outcome::text_response;
use crate::quarantine::Evidence;
use crate::quarantine::observer::EVIDENCE_PATH;
use crate::registry::follow::FOLLOW_PATH;
use crate::registry::peers::NEWS_PATH;
use crate::registry::{FollowRequest, RegistryNews};
use crate::replication::bootstrap::{HELLO_PATH, Hello};
use crate::replication::messages::{Envelope, LogBatch};
use crate::replication::restart::answer_for_former_identity;
use crate::replication::task::{LOG_PATH, SEND_TIMEOUT};
use crate::replication::transfer::{CompleteMessage, LogPart, PART_PATH};

type HandlerResult = Result<Response<Body>, Box<Response<Body>>>;

/// Handles one request of another box.
pub async fn handle(cx: Rc<ControlCx>, req: Request<Incoming>) -> Response<Body> {
    if req.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "method: expected POST");
    }
    let (parts, incoming) = req.into_parts();
    let Some(max) = max_body(parts.uri.path()) else { return no_such_path() };
    match cx.boxes.receive(&parts, incoming, max, BODY_TIMEOUT).await {
        Ok(message) => {
            let request = BoxRequest { cx: &cx, message };
            request.answer().await.unwrap_or_else(|rejection| *rejection)
        }
        Err(rejection) => *rejection,
    }
}

fn no_such_path() -> Response<Body> {
    text_response(StatusCode::NOT_FOUND, "no such path")
}

/// A request whose signature is verified.
struct BoxRequest<'a> {
    cx: &'a Rc<ControlCx>,
    message: ReceivedMessage,
}

impl BoxRequest<'_> {
    /// Decodes and serves the request.
    async fn answer(&self) -> HandlerResult {
        match self.message.path() {
            FEED_PATH => {
                let req = self.message.decode::<FeedRequest>()?;
                Ok(self.cx.boxes.respond(&self.cx.config.answer(&req).await))
            }
            CLAIM_PATH => {
                let req = self.message.decode::<ClaimRequest>()?;
                self.propose_order(Order::Claim(req), |reply| match reply {
                    Reply::Claim(outcome) => outcome,
                    Reply::Config(_)
                    | Reply::Settled
                    | Reply::Read
                    | Reply::Evacuated
                    | Reply::Noted => ClaimOutcome::Unknown,
                })
                .await
            }
            LOG_PATH => {
                let batch = self.message.decode::<LogBatch>()?;
                let bytes = batch.envelopes.iter().map(|e| e.message.payload_len()).sum();
                let held = self.cx.boxes.open_memory(Holder::Transfer, LOG_PATH);
                held.resize(bytes).map_err(|err| {
                    Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, err.to_string()))
                })?;
                self.receive_batch(batch, held);
                Ok(self.cx.boxes.respond(&()))
            }
            PART_PATH => {
                let part = self.message.decode::<LogPart>()?;
                let (answer, complete) = self.cx.log_parts.borrow_mut().take(part, clock::now());
                if let Some(CompleteMessage { bytes, held }) = complete {
                    let batch = decode(&bytes)?;
                    held.shrink(bytes.len());
                    drop(bytes);
                    self.receive_batch(batch, held);
                }
                Ok(self.cx.boxes.respond(&answer))
            }
            FOLLOW_PATH => {
                let req = self.message.decode::<FollowRequest>()?;
                let in_force = || self.cx.config.in_force();
                let has_room = || self.cx.boxes.backlog().has_room();
                let answer = self.cx.registry.answer(&req, in_force, has_room).await;
                let mut answer = answer.ok_or_else(|| {
                    let text = "too much waits to be sent to other boxes";
                    Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, text))
                })?;
                answer.control = self.cx.core_addrs();
                answer.out_of_touch = self.cx.has_no_leader();
                Ok(self.cx.boxes.respond(&answer))
            }
            NEWS_PATH => {
                let news = self.message.decode::<RegistryNews>()?;
                let new_peer = self.cx.record_control_peers(&news);
                self.cx.registry.apply_news(news);
                if let Some(peer) = new_peer {
                    registrations::send_known_upstreams(self.cx, peer);
                }
                Ok(self.cx.boxes.respond(&()))
            }
            JOIN_PATH => {
                let req = self.message.decode::<JoinRequest>()?;
                Ok(self.cx.boxes.respond(&join::answer(self.cx, &req)))
            }
            LEAVE_PATH => {
                let req = self.message.decode::<LeaveRequest>()?;
                Ok(self.cx.boxes.respond(&join::answer_leave(self.cx, &req).await))
            }
            HELLO_PATH => {
                self.message.decode::<Hello>()?;
                if !self.cx.knows_its_log() {
                    let text = "the log of this box is not open";
                    return Err(Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, text)));
                }
                Ok(self.cx.boxes.respond(&self.cx.hello()))
            }
            SETTLE_PATH => {
                let req = self.message.decode::<SettleRequest>()?;
                self.propose_order(Order::Settle(req), |_| ()).await
            }
            EVIDENCE_PATH => {
                let mut evidence = self.message.decode::<Evidence>()?;
                evidence.enforce_limits();
                self.propose_order(Order::Crashes(evidence), |_| ()).await
            }
            _ => Err(Box::new(no_such_path())),
        }
    }

    /// Passes messages to the replica. Before it is started, a message from a leader only shows
    /// that this box was added to the group.
    fn receive_batch(&self, batch: LogBatch, held: Reservation) {
        if !self.cx.knows_its_log() {
            // It may have led or voted under any identity, so it makes no statement.
            return;
        }
        let own = self.cx.id.get();
        for envelope in batch.envelopes.iter().filter(|e| e.to != own) {
            if let Some(answer) = answer_for_former_identity(envelope) {
                self.send_log(batch.reply_to, answer);
            }
        }
        match self.cx.log() {
            Some(log) => log.receive(batch, held),
            None => {
                let mut to_own = batch.envelopes.iter().filter(|e| e.to == own);
                if to_own.any(|e| e.message.is_from_leader()) {
                    self.cx.contacted_by_leader.set(true);
                }
            }
        }
    }

    /// Sends one replication message in the background; if it is lost, the receiver repeats its
    /// request.
    fn send_log(&self, to: SocketAddr, envelope: Envelope) {
        let (client, reply_to) = (self.cx.boxes.clone(), self.cx.settings.own.boxes_addr);
        let batch = LogBatch { reply_to, envelopes: vec![envelope] };
        compio::runtime::spawn(async move {
            if let Err(err) = client.call::<_, ()>(to, LOG_PATH, &batch, SEND_TIMEOUT).await {
                log::debug!("failed to send the reply for a former identity of this box: {err}");
            }
        })
        .detach();
    }

    /// Proposes an order to the replicated log and converts its reply into the response; a box that
    /// does not lead names the leader instead.
    async fn propose_order<A: serde::Serialize>(
        &self,
        order: Order,
        answer: impl FnOnce(Reply) -> A,
    ) -> HandlerResult {
        match self.cx.propose(order).await {
            Ok(reply) => Ok(self.cx.boxes.respond(&LeaderAnswer::Served(answer(reply)))),
            Err(ProposeError::NotLeader(leader)) => {
                let leader = leader.map(|leader| leader.boxes_addr);
                Ok(self.cx.boxes.respond(&LeaderAnswer::<A>::NotLeader(leader)))
            }
            Err(ProposeError::Unknown(cause)) => {
                Err(Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, cause)))
            }
        }
    }
}

/// Decodes a replication message that arrived in parts; each part carried its own signature.
fn decode(message: &[u8]) -> Result<LogBatch, Box<Response<Body>>> {
    rmp_serde::from_slice(message).map_err(|err| {
        let text = format!("{PART_PATH}: message does not decode: {err}");
        Box::new(text_response(StatusCode::BAD_REQUEST, text))
    })
}
