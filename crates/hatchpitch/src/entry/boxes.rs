//! Handles messages from other boxes.

use std::rc::Rc;

use hatchpitch_net::{Body, Holder, open_message, read_body};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::callers::{body_problem, require_method};
use super::context::EntryCx;
use crate::config::FeedRequest;
use crate::config::feed::FEED_PATH;
use crate::grants::messages::{AdoptRequest, GrantRequest, GrantSync, ReleaseRequest};
use crate::grants::task::{self as grants, ADOPT_PATH, GRANT_PATH, RELEASE_PATH, SYNC_PATH};
use crate::membership::messages::{Gossip, ProbeRequest};
use crate::membership::task::{self as membership, GOSSIP_PATH, PING_PATH, PROBE_PATH};
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
    let settings = &cx.settings;
    let held = cx.open_memory(Holder::BoxMessage, parts.uri.path());
    let read = read_body(incoming, settings.limits.max_body, settings.timing.body_timeout, held);
    let body = match read.await {
        Ok(body) => body,
        Err(err) => return body_problem(err).into_response(),
    };
    let path = parts.uri.path();
    let keys = &cx.settings.box_keys;
    let answer = match path {
        GOSSIP_PATH => open_message::<Gossip>(keys, path, &parts.headers, &body)
            .map(|gossip| cx.boxes.respond(&membership::answer(&cx.membership, &cx.boxes, gossip))),
        PING_PATH => {
            open_message::<()>(keys, path, &parts.headers, &body).map(|()| cx.boxes.respond(&()))
        }
        PROBE_PATH => match open_message::<ProbeRequest>(keys, path, &parts.headers, &body) {
            Ok(req) => Ok(cx.boxes.respond(&membership::probe(&cx.boxes, req).await)),
            Err(refusal) => Err(refusal),
        },
        FEED_PATH => match open_message::<FeedRequest>(keys, path, &parts.headers, &body) {
            Ok(req) => Ok(cx.boxes.respond(&cx.config.answer(&req).await)),
            Err(refusal) => Err(refusal),
        },
        GRANT_PATH => match open_message::<GrantRequest>(keys, path, &parts.headers, &body) {
            Ok(req) => Ok(cx.boxes.respond(&grants::answer(&cx, req).await)),
            Err(refusal) => Err(refusal),
        },
        RELEASE_PATH => open_message::<ReleaseRequest>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&grants::release(&cx, &req))),
        TURN_PATH => open_message::<TurnRequest>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&turns::answer_turn(&cx, &req))),
        TURN_DONE_PATH => open_message::<TurnDone>(keys, path, &parts.headers, &body)
            .map(|done| cx.boxes.respond(&turns::answer_turn_done(&cx, &done))),
        ADOPT_PATH => open_message::<AdoptRequest>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&grants::adopt(&cx, req))),
        PERMIT_PATH => open_message::<PermitRequest>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&upstream_limits::answer(&cx, &req))),
        LIMIT_NOTICES_PATH => open_message::<Vec<LimitNotice>>(keys, path, &parts.headers, &body)
            .map(|news| cx.boxes.respond(&upstream_limits::receive_notices(&cx, &news))),
        LEAVING_PATH => open_message::<Vec<LeavingNotice>>(keys, path, &parts.headers, &body)
            .map(|news| cx.boxes.respond(&upstream_signals::receive_leaving_notices(&cx, &news))),
        BRITTLE_PATH => open_message::<Vec<BrittleNotice>>(keys, path, &parts.headers, &body)
            .map(|news| cx.boxes.respond(&upstream_signals::receive_brittle_notices(&cx, &news))),
        PACE_PATH => open_message::<PaceReport>(keys, path, &parts.headers, &body)
            .map(|report| cx.boxes.respond(&pace::apply(&cx, &report))),
        ANSWERS_PATH => open_message::<AnswersRequest>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&answer_inquiry(&cx, &req))),
        SYNC_PATH => open_message::<GrantSync>(keys, path, &parts.headers, &body)
            .map(|req| cx.boxes.respond(&grants::sync(&cx, &req))),
        _ => Err(Box::new(text_response(StatusCode::NOT_FOUND, "no such path"))),
    };
    answer.unwrap_or_else(|refusal| *refusal)
}
