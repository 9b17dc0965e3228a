//! Records announcements of upstreams and acknowledges them.

use std::net::SocketAddr;
use std::rc::Rc;

use hatchpitch_net::clock;

use super::context::ControlCx;
use crate::registry::peers;
use crate::registry::{Announced, Phase, RegistryNews, UpstreamRecord};

/// Maximum number of upstreams in one message to a new control box. Encoded with field names, they
/// take about 100 KB, which a link of 10 Mbit/s transfers in a fifth of the time limit.
const RECORDS_PER_MESSAGE: usize = 512;

/// Why an announcement is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceError {
    /// Fewer than a majority of the control boxes acknowledged it.
    NoMajority,
    /// The configuration in force has no such service. The announcement is not recorded: it may
    /// come from another writer, and must not end the life of the upstream at the same address.
    UnknownService,
}

/// Records an announcement. If the upstream is leaving, a majority of the control boxes holds the
/// announcement when this returns. Entry boxes learn of it from several of them, so it takes effect
/// even if this box fails immediately afterwards.
///
/// # Errors
///
/// Returns why the announcement is not acknowledged; the upstream should repeat it.
pub async fn announce(cx: &Rc<ControlCx>, record: UpstreamRecord) -> Result<(), AnnounceError> {
    if !knows_service(cx, &record.service) {
        return Err(AnnounceError::UnknownService);
    }
    let announced = cx.registry.change(|table| table.announce_here(record.clone(), clock::now()));
    let is_leaving = record.phase == Phase::Leaving;
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
    if announced != Announced::News && !is_leaving {
        return Ok(());
    }
    let news = RegistryNews { records: vec![record], ..RegistryNews::default() };
    replicate(cx, news, is_leaving).await
}

/// Ends the life of the upstream `id`. As in [`announce`] for a leaving upstream, a majority of the
/// control boxes holds the end when this returns.
///
/// # Errors
///
/// Returns [`AnnounceError::NoMajority`] if fewer than a majority of the control boxes acknowledged
/// it.
pub async fn end_life(cx: &Rc<ControlCx>, id: &str) -> Result<(), AnnounceError> {
    let ended = cx.registry.change(|table| table.end_id(id, clock::now()));
    for life in &ended {
        log::info!("upstream {life}: its life ended");
    }
    // A repeated request is acknowledged only once a majority holds the end as well.
    let lives =
        if ended.is_empty() { cx.registry.with(|table| table.ended_lives(id)) } else { ended };
    replicate(cx, RegistryNews::of_ends(lives), true).await
}

/// Sends all known upstreams to a control box whose table is new. Otherwise, a control box that
/// starts after the others lacks the upstreams that announced themselves to them until their next
/// heartbeat, 1.2 s later.
pub fn send_known_upstreams(cx: &Rc<ControlCx>, peer: SocketAddr) {
    let records = cx.registry.with(|table| table.records(clock::now()));
    let cx = cx.clone();
    compio::runtime::spawn(async move {
        for part in records.chunks(RECORDS_PER_MESSAGE) {
            let news = RegistryNews { records: part.to_vec(), ..RegistryNews::default() };
            if !peers::send(&cx.boxes, peer, &cx.complete_news(news)).await {
                return;
            }
        }
    })
    .detach();
}

/// Returns whether the configuration in force has a service. Before the first configuration, every
/// service is accepted.
fn knows_service(cx: &ControlCx, service: &str) -> bool {
    let view = cx.config.view();
    view.number == 0 || view.hosted_services.contains_key(service)
}

/// Sends news to the other control boxes. If `needs_majority`, waits until a majority of the
/// control boxes, this one included, holds them.
async fn replicate(
    cx: &Rc<ControlCx>,
    news: RegistryNews,
    needs_majority: bool,
) -> Result<(), AnnounceError> {
    let needed_acks = if needs_majority { cx.core_addrs().len() / 2 } else { 0 };
    let upstreams = cx.registry.with(|table| table.len());
    let acknowledged = cx.outbox.pass_on(&cx.registry_peers(), news, needed_acks, upstreams).await;
    if !acknowledged {
        log::warn!("too few control boxes acknowledged news about upstreams");
    }
    acknowledged.then_some(()).ok_or(AnnounceError::NoMajority)
}
