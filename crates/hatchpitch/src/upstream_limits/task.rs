//! Asks for permits and gives them out, and passes on what answers say about limits.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hatchpitch_net::{Stop, clock};
use twox_hash::XxHash64;

use super::book::{Change, Decider, Taken};
use super::heard::{Heard, RateLimit, Statement};
use super::messages::{HeardAgo, LimitNews, PermitAnswer, PermitKind, PermitRequest};
use crate::dispatch::owners::owner_of;
use crate::entry::EntryCx;
use crate::ids::{Incarnation, Priority, RunnerName};
use crate::upstream_heads::news::{self, FANOUT};
use crate::upstream_heads::task as upstream_heads;

/// Path for permits.
pub const PERMIT_PATH: &str = "/box/limit-permit";
/// Path for news of limits.
pub const NEWS_PATH: &str = "/box/limit-news";
/// Time for a permit: a few round trips between failure domains. It holds up a request.
const PERMIT_LIMIT: Duration = Duration::from_millis(150);
/// Time between two looks whether boxes were lost or are forgotten, from which the part follows that
/// this box may give out, and whether others have joined.
const LOOK: Duration = Duration::from_millis(500);

/// Notes what the head of an answer says, to a request that was sent at `sent`.
pub fn note(cx: &Rc<EntryCx>, upstream: &str, said: Statement, sent: Instant) {
    let limit = match said {
        Statement::Limit(limit) => Some(limit),
        Statement::NoLimit => None,
        Statement::Unclear => return,
    };
    let now = clock::now();
    hear(cx, upstream, Heard { limit, sent, at: now });
    let decider = cx.limits.borrow_mut().tells(upstream, now);
    if let Some(decider) = decider {
        send_news(cx, decider, &[upstream.to_owned()]);
    }
}

fn hear(cx: &Rc<EntryCx>, upstream: &str, heard: Heard) {
    let change = cx.limits.borrow_mut().hear(upstream, heard, clock::now());
    let Some(change) = change else { return };
    log_change(upstream, change);
    place(cx, upstream, cx.reachable_share());
    if change.is_news() {
        spread(cx, upstream);
    }
}

fn log_change(upstream: &str, change: Change) {
    let text = |limit: Option<RateLimit>| limit.map_or("none".to_owned(), |l| l.to_string());
    log::info!(
        upstream = upstream, from = text(change.from).as_str(), to = text(change.to).as_str();
        "limit of an upstream"
    );
}

/// Brings the permits of all limited upstreams up to the boxes that serve.
pub fn place_all(cx: &EntryCx) {
    let upstreams = cx.limits.borrow().upstreams();
    if upstreams.is_empty() {
        return;
    }
    let part = cx.reachable_share();
    for upstream in upstreams {
        place(cx, &upstream, part);
    }
}

fn place(cx: &EntryCx, upstream: &str, part: f64) {
    let (addr, own) = (decider_of(cx, upstream), cx.settings.boxes_addr);
    let decider = Decider { addr, is_own: addr == own, part };
    cx.limits.borrow_mut().set_decider(upstream, decider, clock::now());
}

/// Returns the address of the box that decides for an upstream: the owner of an engine, which lets
/// its requests in, or the one that has the name in rendezvous hashing.
fn decider_of(cx: &EntryCx, upstream: &str) -> SocketAddr {
    let by_name = || {
        let membership = cx.membership.borrow();
        owner_of(upstream, membership.serving_boxes()).map(|record| record.box_addr)
    };
    cx.owner_addr(upstream).or_else(by_name).unwrap_or(cx.settings.boxes_addr)
}

/// Gets the permit for a request that a gate let in, unless the gate has taken it.
///
/// # Errors
///
/// Returns when a request may come back, if there is no permit.
pub async fn confirm(cx: &Rc<EntryCx>, upstream: &str, priority: Priority) -> Result<(), Duration> {
    let asked = cx.limits.borrow().asks_at(upstream, clock::now());
    match asked {
        Some(decider) => ask(cx, decider, upstream, priority, PermitKind::Request).await,
        None => Ok(()),
    }
}

/// Gets the permit for a request that no gate lets in.
///
/// # Errors
///
/// Returns when a request may come back, if there is no permit.
pub async fn obtain(cx: &Rc<EntryCx>, upstream: &str, priority: Priority) -> Result<(), Duration> {
    let taken = cx.limits.borrow_mut().take(upstream, priority, clock::now());
    match taken {
        Taken::Free | Taken::Granted => Ok(()),
        Taken::Ask => confirm(cx, upstream, priority).await,
        Taken::Denied(wait) => Err(wait),
    }
}

/// Gets the permit for something that can't be held back; returns whether there is one.
pub async fn obtain_in_advance(cx: &Rc<EntryCx>, upstream: &str) -> bool {
    let now = clock::now();
    let taken = cx.limits.borrow_mut().take_in_advance(upstream, now);
    let decider = cx.limits.borrow().asks_at(upstream, now);
    match (taken, decider) {
        (Taken::Free | Taken::Granted, _) => true,
        (Taken::Ask, Some(decider)) => {
            let asked = ask(cx, decider, upstream, Priority::MAX, PermitKind::InAdvance);
            asked.await.is_ok()
        }
        (Taken::Ask | Taken::Denied(_), _) => false,
    }
}

/// Takes the permit for something that nobody waits for; returns whether there is one.
pub fn take_spare(cx: &EntryCx, upstream: &str) -> bool {
    cx.limits.borrow_mut().take_spare(upstream, clock::now())
}

async fn ask(
    cx: &Rc<EntryCx>,
    decider: SocketAddr,
    upstream: &str,
    priority: Priority,
    kind: PermitKind,
) -> Result<(), Duration> {
    let known = {
        let mut limits = cx.limits.borrow_mut();
        let now = clock::now();
        limits.asking(upstream, now);
        let Some(heard) = limits.heard(upstream) else { return Ok(()) };
        HeardAgo::new(heard, now)
    };
    let asker = XxHash64::oneshot(0, cx.settings.name.as_bytes());
    let req = PermitRequest { upstream: upstream.to_owned(), asker, priority, kind, known };
    let answer = cx.boxes.call::<_, PermitAnswer>(decider, PERMIT_PATH, &req, PERMIT_LIMIT).await;
    let now = clock::now();
    let mut limits = cx.limits.borrow_mut();
    match answer {
        Ok(answer) => limits.answered(upstream, priority, answer, rand::random::<f64>(), now),
        Err(err) => {
            log::info!(upstream = upstream; "permit: {err}");
            let boxes = cx.membership.borrow().serving_boxes().count();
            Err(limits.unanswered(upstream, boxes, now))
        }
    }
}

/// Answers a box that asks for a permit.
pub fn answer(cx: &Rc<EntryCx>, req: &PermitRequest) -> PermitAnswer {
    cx.sync_gates();
    let now = clock::now();
    hear(cx, &req.upstream, req.known.at(now));
    cx.limits.borrow_mut().answer(req, now)
}

/// Takes in news of limits.
pub fn take_news(cx: &Rc<EntryCx>, news: &[LimitNews]) {
    let now = clock::now();
    for LimitNews { upstream, heard } in news {
        hear(cx, upstream, heard.at(now));
    }
}

fn spread(cx: &Rc<EntryCx>, upstream: &str) {
    let send = |cx: &EntryCx, peer, names: &[RunnerName]| send_news(cx, peer, names);
    news::spread(cx, upstream, |cx| &cx.limit_news, send);
}

/// Tells a box what is known of some upstreams.
fn send_news(cx: &EntryCx, peer: SocketAddr, upstreams: &[RunnerName]) {
    news::send(cx, peer, NEWS_PATH, &news_of(cx, upstreams));
}

fn news_of(cx: &EntryCx, upstreams: &[RunnerName]) -> Vec<LimitNews> {
    let (limits, now) = (cx.limits.borrow(), clock::now());
    let news = upstreams.iter().filter_map(|upstream| {
        let heard = HeardAgo::new(limits.heard(upstream)?, now);
        Some(LimitNews { upstream: upstream.clone(), heard })
    });
    news.collect()
}

/// The boxes that serve, each in its present life.
type Serving = BTreeSet<(SocketAddr, Incarnation)>;

/// Follows which boxes were lost and which have joined, until `stop`.
pub async fn run(cx: Rc<EntryCx>, stop: Stop) {
    let mut known = Serving::new();
    while !stop.is_set() {
        compio::time::sleep(LOOK).await;
        place_all(&cx);
        let membership = cx.membership.borrow();
        let serving: Serving =
            membership.serving_boxes().map(|r| (r.box_addr, r.incarnation)).collect();
        drop(membership);
        tell_joined(&cx, &known, &serving);
        known = serving;
    }
}

/// Tells boxes that have joined what they would otherwise learn from their first answers only. The
/// decider tells of its limits; a few of all boxes tell of those that the new box decides on itself,
/// and of upstreams that leave.
fn tell_joined(cx: &EntryCx, known: &Serving, serving: &Serving) {
    let own = cx.settings.boxes_addr;
    let few_of_all = FANOUT as f64 / serving.len().max(1) as f64;
    for addr in serving.difference(known).map(|(addr, _)| *addr).filter(|addr| *addr != own) {
        let mut upstreams = cx.limits.borrow().decided_by(own);
        if rand::random::<f64>() < few_of_all {
            upstream_heads::tell_leavers(cx, addr);
            upstreams.extend(cx.limits.borrow().decided_by(addr));
        }
        send_news(cx, addr, &upstreams);
    }
}
