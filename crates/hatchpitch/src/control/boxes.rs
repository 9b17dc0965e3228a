//! The control box's listener for other boxes.

use std::net::SocketAddr;
use std::rc::Rc;

use hatchpitch_net::{Body, clock, open_message, read_body};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::context::{ControlCx, ProposeError};
use super::daemon::{BODY_LIMIT, MAX_BODY};
use super::join::{self, JOIN_PATH, JoinRequest};
use super::leader::LeaderAnswer;
use super::machine::{Order, Reply};
use super::registrations;
use crate::claims::client::{CLAIM_PATH, SETTLE_PATH};
use crate::claims::{ClaimOutcome, ClaimRequest, SettleRequest};
use crate::config::FeedRequest;
use crate::config::feed::FEED_PATH;
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
use crate::replication::transfer::{LogPart, PART_PATH};

type Answered = Result<Response<Body>, Box<Response<Body>>>;

/// Answers one message of another box.
pub async fn handle(cx: Rc<ControlCx>, req: Request<Incoming>) -> Response<Body> {
    if req.method() != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "method: expected POST");
    }
    let (parts, incoming) = req.into_parts();
    let body = match read_body(incoming, MAX_BODY, BODY_LIMIT).await {
        Ok(body) => body,
        Err(err) => return text_response(StatusCode::BAD_REQUEST, err.to_string()),
    };
    let message = Message { cx: &cx, path: parts.uri.path(), headers: &parts.headers, body: &body };
    message.answer().await.unwrap_or_else(|refusal| *refusal)
}

struct Message<'a> {
    cx: &'a Rc<ControlCx>,
    path: &'a str,
    headers: &'a HeaderMap,
    body: &'a [u8],
}

impl Message<'_> {
    async fn answer(&self) -> Answered {
        match self.path {
            FEED_PATH => {
                let req = self.open::<FeedRequest>()?;
                Ok(self.cx.boxes.respond(&self.cx.config.answer(&req).await))
            }
            CLAIM_PATH => {
                let req = self.open::<ClaimRequest>()?;
                self.ordered(Order::Claim(req), |reply| match reply {
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
                let batch = self.open::<LogBatch>()?;
                self.receive(batch);
                Ok(self.cx.boxes.respond(&()))
            }
            PART_PATH => {
                let part = self.open::<LogPart>()?;
                let (answer, whole) = self.cx.log_parts.borrow_mut().take(part, clock::now());
                if let Some(message) = whole {
                    self.receive(decode(&message)?);
                }
                Ok(self.cx.boxes.respond(&answer))
            }
            FOLLOW_PATH => {
                let req = self.open::<FollowRequest>()?;
                let in_force = || self.cx.config.in_force();
                let has_room = || self.cx.boxes.backlog().has_room();
                let answer = self.cx.registry.answer(&req, in_force, has_room).await;
                let mut answer = answer.ok_or_else(|| {
                    let text = "too much waits to be sent to other boxes";
                    Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, text))
                })?;
                answer.control = self.cx.core_addrs();
                answer.out_of_touch = self.cx.is_out_of_touch();
                Ok(self.cx.boxes.respond(&answer))
            }
            NEWS_PATH => {
                let news = self.open::<RegistryNews>()?;
                let newcomer = self.cx.note_control(&news);
                self.cx.registry.apply_news(news);
                if let Some(peer) = newcomer {
                    registrations::introduce(self.cx, peer);
                }
                Ok(self.cx.boxes.respond(&()))
            }
            JOIN_PATH => {
                let req = self.open::<JoinRequest>()?;
                Ok(self.cx.boxes.respond(&join::answer(self.cx, req)))
            }
            HELLO_PATH => {
                self.open::<Hello>()?;
                Ok(self.cx.boxes.respond(&self.cx.hello()))
            }
            SETTLE_PATH => {
                let req = self.open::<SettleRequest>()?;
                self.ordered(Order::Settle(req), |_| ()).await
            }
            EVIDENCE_PATH => {
                let mut evidence = self.open::<Evidence>()?;
                evidence.enforce_limits();
                self.ordered(Order::Crashes(evidence), |_| ()).await
            }
            _ => Err(Box::new(text_response(StatusCode::NOT_FOUND, "no such path"))),
        }
    }

    /// Passes messages of the log on; before it began, they are only a sign of being let in.
    fn receive(&self, batch: LogBatch) {
        let own = self.cx.id;
        for asked in batch.envelopes.iter().filter(|e| e.to != own) {
            if let Some(answer) = answer_for_former_identity(asked) {
                self.send_log(batch.reply_to, answer);
            }
        }
        match self.cx.log() {
            Some(log) => log.receive(batch),
            None => {
                let mut to_own = batch.envelopes.iter().filter(|e| e.to == own);
                if to_own.any(|e| e.message.is_from_leader()) {
                    self.cx.invited.set(true);
                }
            }
        }
    }

    /// Sends one message of the log without waiting; the receiver asks again if it is lost.
    fn send_log(&self, to: SocketAddr, envelope: Envelope) {
        let (client, reply_to) = (self.cx.boxes.clone(), self.cx.settings.own.boxes_addr);
        let batch = LogBatch { reply_to, envelopes: vec![envelope] };
        compio::runtime::spawn(async move {
            if let Err(err) = client.call::<_, ()>(to, LOG_PATH, &batch, SEND_TIMEOUT).await {
                log::debug!("answer for a former identity: {err}");
            }
        })
        .detach();
    }

    fn open<Q: DeserializeOwned>(&self) -> Result<Q, Box<Response<Body>>> {
        open_message(&self.cx.settings.box_keys, self.path, self.headers, self.body)
    }

    async fn ordered<A: serde::Serialize>(
        &self,
        order: Order,
        answer: impl FnOnce(Reply) -> A,
    ) -> Answered {
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

/// Decodes a message of the log that came in parts, each of which was signed.
fn decode(message: &[u8]) -> Result<LogBatch, Box<Response<Body>>> {
    rmp_serde::from_slice(message).map_err(|err| {
        let text = format!("{PART_PATH}: message does not decode: {err}");
        Box::new(text_response(StatusCode::BAD_REQUEST, text))
    })
}
