//! Passes news about upstreams between control boxes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{BoxClient, Stop};

use super::messages::RegistryNews;
use super::table::RegistryCell;

/// Path of news between control boxes.
pub const NEWS_PATH: &str = "/box/upstream-news";
/// Time in which another control box has to take news: an upstream waits a second for its
/// acknowledgement, and two tries have to fit.
const NEWS_LIMIT: Duration = Duration::from_millis(400);
/// Time between renewals of all leases at the other control boxes; a lease outlasts several.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between renewals while this box does not know the core: others learn of it by them.
const LONELY_PERIOD: Duration = Duration::from_millis(150);

/// Passes news on and waits until `wanted` of the peers hold it; returns whether they do.
///
/// The calls to the remaining peers go on in tasks of their own.
pub async fn spread(
    client: &BoxClient,
    peers: &[SocketAddr],
    news: &RegistryNews,
    wanted: usize,
) -> bool {
    let mut calls: FuturesUnordered<_> = peers
        .iter()
        .map(|peer| {
            let (client, news, peer) = (client.clone(), news.clone(), *peer);
            let (tx, rx) = futures_channel::oneshot::channel();
            compio::runtime::spawn(async move {
                let _ = tx.send(send(&client, peer, &news).await);
            })
            .detach();
            rx
        })
        .collect();
    let mut held = 0;
    while held < wanted {
        match calls.next().await {
            Some(Ok(true)) => held += 1,
            Some(_) => {}
            None => return false,
        }
    }
    true
}

async fn send(client: &BoxClient, peer: SocketAddr, news: &RegistryNews) -> bool {
    match client.call::<_, ()>(peer, NEWS_PATH, news, NEWS_LIMIT).await {
        Ok(()) => true,
        Err(err) => {
            log::debug!("news about upstreams: {err}");
            false
        }
    }
}

/// Renews the leases at the other control boxes and lets leases here run out, until `stop`.
/// `complete` adds who sends and whom it knows; `lonely` tells whether the core is unknown.
pub async fn run(
    cell: Rc<RegistryCell>,
    client: BoxClient,
    find_peers: impl Fn() -> Vec<SocketAddr>,
    complete: impl Fn(RegistryNews) -> RegistryNews,
    lonely: impl Fn() -> bool,
    stop: Stop,
) {
    while !stop.is_set() {
        for id in cell.change(|table| table.expire(Instant::now())) {
            log::info!("upstream {id}: its lease ran out");
        }
        let renewals = complete(cell.change(|table| table.take_renewals(Instant::now())));
        spread(&client, &find_peers(), &renewals, 0).await;
        let rest = if lonely() { LONELY_PERIOD } else { RENEW_PERIOD };
        compio::time::sleep(rest).await;
    }
}
