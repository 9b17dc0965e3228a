//! Handles messages from other boxes.

use std::rc::Rc;

use hatchpitch_net::Body;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::callers::require_method;
use super::context::EntryCx;
use crate::config::FeedRequest;
use crate::config::feed::FEED_PATH;
use crate::grants::messages::{AdoptRequest, GrantRequest, GrantSync, ReleaseRequest};
use crate::grants::task::{self as grants, ADOPT_PATH, GRANT_PATH, RELEASE_PATH, SYNC_PATH};
use crate::membership::messages::{Gossip, ProbeRequest};
use crate::membership::task::{self as membership, GOSSIP_PATH, PING_PATH, PROBE_PATH};
use crate::message_limits::max_body;
use crate::moves::task::{self as turns, TURN_DONE_PATH, TURN_PATH};
use crate::moves::{TurnDone, TurnRequest};
use crate::outcome::text_response;
use crate::pace::PaceReport;
use crate::pace::task::{self as pace, PACE_PATH};
use crate::reachability::messages::AnswersRequest;
use crate::reachability::task::{self as reachability, FORWARD_PATH};
use crate::reachability::watch::{ANSWERS_PATH, answer_inquiry};
use crate::upstream_limits::task::{self as upstream_limits, LIMIT_NOTICES_PATH, PERMIT_PATH};
use crate::upstream_limits::{LimitNotice, PermitRequest};
use crate::upstream_signals::task::{self as upstream_signals, BRITTLE_PATH, LEAVING_PATH};
use crate::upstream_signals::{BrittleNotice, LeavingNotice};

/// Handles one message from another box.
pub async fn handle(cx: Rc<EntryCx>, req: Request<Incoming>) -> Response<Body> {
    if let Err(problem) = require_method(Method::POST, &req) {
        return problem.into_response();
    }
    let (parts, incoming) = req.into_parts();
    if parts.uri.path() == FORWARD_PATH {
        return reachability::answer(&cx, parts, incoming).await;
    }
    let Some(max) = max_body(parts.uri.path()) else { return no_such_path() };
    let timeout = cx.settings.timing.body_timeout;
    let message = match cx.boxes.receive(&parts, incoming, max, timeout).await {
        Ok(message) => message,
        Err(refusal) => return *refusal,
    };
    let answer = match message.path() {
        GOSSIP_PATH => message
            .decode::<Gossip>()
            .map(|gossip| cx.boxes.respond(&membership::answer(&cx.membership, &cx.boxes, gossip))),
        PING_PATH => message.decode::<()>().map(|()| cx.boxes.respond(&())),
        PROBE_PATH => match message.decode::<ProbeRequest>() {
            Ok(req) => Ok(cx.boxes.respond(&membership::probe(&cx.boxes, req).await)),
            Err(refusal) => Err(refusal),
        },
        FEED_PATH => match message.decode::<FeedRequest>() {
            Ok(req) => Ok(cx.boxes.respond(&cx.config.answer(&req).await)),
            Err(refusal) => Err(refusal),
        },
        GRANT_PATH => match message.decode::<GrantRequest>() {
            Ok(req) => Ok(cx.boxes.respond(&grants::answer(&cx, req).await)),
            Err(refusal) => Err(refusal),
        },
        RELEASE_PATH => message
            .decode::<ReleaseRequest>()
            .map(|req| cx.boxes.respond(&grants::release(&cx, &req))),
        TURN_PATH => message
            .decode::<TurnRequest>()
            .map(|req| cx.boxes.respond(&turns::answer_turn(&cx, &req))),
        TURN_DONE_PATH => message
            .decode::<TurnDone>()
            .map(|done| cx.boxes.respond(&turns::answer_turn_done(&cx, &done))),
        ADOPT_PATH => {
            message.decode::<AdoptRequest>().map(|req| cx.boxes.respond(&grants::adopt(&cx, req)))
        }
        PERMIT_PATH => message
            .decode::<PermitRequest>()
            .map(|req| cx.boxes.respond(&upstream_limits::answer(&cx, &req))),
        LIMIT_NOTICES_PATH => message
            .decode::<Vec<LimitNotice>>()
            .map(|news| cx.boxes.respond(&upstream_limits::receive_notices(&cx, &news))),
        LEAVING_PATH => message
            .decode::<Vec<LeavingNotice>>()
            .map(|news| cx.boxes.respond(&upstream_signals::receive_leaving_notices(&cx, &news))),
        BRITTLE_PATH => message
            .decode::<Vec<BrittleNotice>>()
            .map(|news| cx.boxes.respond(&upstream_signals::receive_brittle_notices(&cx, &news))),
        PACE_PATH => message
            .decode::<PaceReport>()
            .map(|report| cx.boxes.respond(&pace::apply(&cx, &report))),
        ANSWERS_PATH => message
            .decode::<AnswersRequest>()
            .map(|req| cx.boxes.respond(&answer_inquiry(&cx, &req))),
        SYNC_PATH => {
            message.decode::<GrantSync>().map(|req| cx.boxes.respond(&grants::sync(&cx, &req)))
        }
        _ => Err(Box::new(no_such_path())),
    };
    answer.unwrap_or_else(|refusal| *refusal)
}

fn no_such_path() -> Response<Body> {
    text_response(StatusCode::NOT_FOUND, "no such path")
}
