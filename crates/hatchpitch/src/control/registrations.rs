//! Takes the announcements of upstreams in, and says when they hold.

use std::net::SocketAddr;
use std::rc::Rc;

use hatchpitch_net::clock;

use super::context::ControlCx;
use crate::registry::peers;
use crate::registry::{Announced, Phase, RegistryNews, UpstreamRecord};

/// Upstreams that one message tells a new control box of: some 100 KB by field names, which a link
/// of 10 Mbit/s passes in a fifth of the time for it.
const INTRODUCED_AT_ONCE: usize = 512;

/// Why an announcement is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unacknowledged {
    /// Too few control boxes hold it.
    NotHeld,
    /// The configuration in force has no such service, so it names no upstream to use. Nothing is
    /// noted: it may come from another writer, and must not end who lives at its address.
    UnknownService,
}

/// Takes an announcement in. That an upstream leaves is held by a majority of the control boxes
/// when this returns, and entry boxes hear of it from several of them, so it comes into force
/// although this box may be lost at once.
///
/// # Errors
///
/// Returns why it is not acknowledged; the upstream should announce itself again.
pub async fn announce(cx: &Rc<ControlCx>, record: UpstreamRecord) -> Result<(), Unacknowledged> {
    if !knows_service(cx, &record.service) {
        return Err(Unacknowledged::UnknownService);
    }
    let announced = cx.registry.change(|table| table.announce_here(record.clone(), clock::now()));
    let leaves = record.phase == Phase::Leaving;
    if announced == Announced::News {
        log::info!(
            "upstream {} of {} at {}: {:?}, sequence {}, warm in {} ms",
            record.life(),
            record.service,
            record.addr,
            record.phase,
            record.sequence,
            record.warm_in.as_millis()
        );
    }
    if announced != Announced::News && !leaves {
        return Ok(());
    }
    let news = RegistryNews { records: vec![record], ..RegistryNews::default() };
    hold(cx, news, leaves).await
}

/// Ends the life of an upstream that goes by `id`, as [`announce`] does for one that leaves.
///
/// # Errors
///
/// Returns [`Unacknowledged::NotHeld`] as [`announce`] does.
pub async fn end(cx: &Rc<ControlCx>, id: &str) -> Result<(), Unacknowledged> {
    let ended = cx.registry.change(|table| table.end_id(id, clock::now()));
    for life in &ended {
        log::info!("upstream {life}: its life ended");
    }
    // An end that is asked for again has to be held as well before it is acknowledged.
    let lives =
        if ended.is_empty() { cx.registry.with(|table| table.ended_lives(id)) } else { ended };
    hold(cx, RegistryNews::of_ends(lives), true).await
}

/// Tells a control box whose table is new of all upstreams that are known here. Without this, one
/// that starts after the others misses what upstreams announced to them until their next
/// heartbeat, 1.2 s later.
pub fn introduce(cx: &Rc<ControlCx>, peer: SocketAddr) {
    let records = cx.registry.with(|table| table.records(clock::now()));
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        for part in records.chunks(INTRODUCED_AT_ONCE) {
            let news = RegistryNews { records: part.to_vec(), ..RegistryNews::default() };
            if !peers::send(&cx.boxes, peer, &cx.signed_news(news)).await {
                return;
            }
        }
    })
    .detach();
}

/// Returns whether the configuration in force has a service; before the first one, all may come.
fn knows_service(cx: &ControlCx, service: &str) -> bool {
    let view = cx.config.view();
    view.number == 0 || view.hosted_services.contains_key(service)
}

async fn hold(cx: &Rc<ControlCx>, news: RegistryNews, needed: bool) -> Result<(), Unacknowledged> {
    let wanted = if needed { cx.core_addrs().len() / 2 } else { 0 };
    let upstreams = cx.registry.with(|table| table.len());
    let held = cx.outbox.pass_on(&cx.registry_peers(), news, wanted, upstreams).await;
    if !held {
        log::warn!("news about upstreams is not held by a majority of the control boxes");
    }
    held.then_some(()).ok_or(Unacknowledged::NotHeld)
}
