//! Takes the announcements of upstreams in, and says when they hold.

use std::time::Instant;

use super::context::ControlCx;
use crate::registry::peers::spread;
use crate::registry::{Announced, Phase, RegistryNews, UpstreamRecord};

/// An announcement that too few control boxes hold to be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotHeld;

/// Takes an announcement in. That an upstream leaves is held by a majority of the control boxes
/// when this returns, and entry boxes follow several of them, so it comes into force although this
/// box may be lost at once.
///
/// # Errors
///
/// Returns [`NotHeld`] if no majority can be reached; the upstream should announce itself again.
pub async fn announce(cx: &ControlCx, record: UpstreamRecord) -> Result<(), NotHeld> {
    let announced = cx.registry.change(|table| table.announce_here(record.clone(), Instant::now()));
    let leaves = record.phase == Phase::Leaving;
    if announced == Announced::News {
        log::info!(
            "upstream {} of {} at {}: {:?}, sequence {}",
            record.id,
            record.service,
            record.addr,
            record.phase,
            record.sequence
        );
    }
    if announced != Announced::News && !leaves {
        return Ok(());
    }
    let news = RegistryNews { records: vec![record], ..RegistryNews::default() };
    hold(cx, news, leaves).await
}

/// Ends the life of an upstream, as [`announce`] does for one that leaves.
///
/// # Errors
///
/// Returns [`NotHeld`] as [`announce`] does.
pub async fn end(cx: &ControlCx, id: &str) -> Result<(), NotHeld> {
    if cx.registry.change(|table| table.end(id, Instant::now())) {
        log::info!("upstream {id}: its life ended");
    }
    let news = RegistryNews { ended: vec![id.to_owned()], ..RegistryNews::default() };
    hold(cx, news, true).await
}

async fn hold(cx: &ControlCx, news: RegistryNews, needed: bool) -> Result<(), NotHeld> {
    let wanted = if needed { cx.core_addrs().len() / 2 } else { 0 };
    let news = cx.signed_news(news);
    let held = spread(&cx.boxes, &cx.peer_addrs(), &news, wanted).await;
    if !held {
        log::warn!("news about upstreams is not held by a majority of the control boxes");
    }
    held.then_some(()).ok_or(NotHeld)
}
