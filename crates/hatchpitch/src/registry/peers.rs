//! Distributes registry changes between control boxes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{BoxClient, Stop, clock};

use super::messages::RegistryNews;
use super::table::RegistryCell;

/// Path of registry changes between control boxes.
pub const NEWS_PATH: &str = "/box/upstream-news";
/// Timeout of a call with registry changes. An upstream waits 1 s for its acknowledgement, which
/// has to cover two attempts.
const NEWS_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between lease renewals at the other control boxes; a lease spans several of them.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between renewals while this box is disconnected from the control core. The renewals
/// also make the other boxes aware of this one.
const DISCONNECTED_RENEW_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two passes over the leases after which this process counts as stalled. It is more
/// than two heartbeats of upstreams, which other control boxes received in the meantime.
const STALL_THRESHOLD: Duration = Duration::from_millis(2_500);
/// Time for which changes are batched into one message, per upstream. With 3,000 upstreams, of
/// which 77 report a change to one box each second, batching reduces the calls to a quarter. With
/// tens of upstreams, the delay is too short for a caller to notice.
const BATCH_DELAY_PER_UPSTREAM: Duration = Duration::from_micros(13);
/// Maximum time for which changes are batched: a tenth of the time within which an upstream expects
/// its acknowledgement.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Access to the other control boxes.
pub struct Peers {
    /// Client for calls to other boxes.
    pub client: BoxClient,
    /// Returns the addresses of the other control boxes.
    pub find: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Adds the sender and the other header fields to a message.
    pub complete: Box<dyn Fn(RegistryNews) -> RegistryNews>,
}

/// Changes that wait for the next message to the other control boxes.
#[derive(Default)]
pub struct Outbox(RefCell<Batch>);

#[derive(Default)]
struct Batch {
    news: RegistryNews,
    /// Senders that notify a waiter once the given number of peers holds the changes.
    waiting: Vec<(usize, oneshot::Sender<bool>)>,
    /// Whether a task that sends the batch is scheduled.
    scheduled: bool,
}

impl Outbox {
    /// Sends changes with the next message and returns whether at least `wanted` peers hold them.
    /// The batching delay depends on the number of `upstreams`.
    pub async fn pass_on(
        self: &Rc<Self>,
        peers: &Rc<Peers>,
        news: RegistryNews,
        wanted: usize,
        upstreams: usize,
    ) -> bool {
        let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
        let delay = BATCH_DELAY_PER_UPSTREAM.saturating_mul(count).min(MAX_BATCH_DELAY);
        let (tx, rx) = oneshot::channel();
        let scheduled = {
            let mut batch = self.0.borrow_mut();
            batch.news.merge(news);
            batch.waiting.push((wanted, tx));
            std::mem::replace(&mut batch.scheduled, true)
        };
        if !scheduled {
            let (outbox, peers) = (self.clone(), peers.clone());
            compio::runtime::spawn(async move {
                compio::time::sleep(delay).await;
                let batch = outbox.0.take();
                broadcast(&peers, batch.news, batch.waiting).await;
            })
            .detach();
        }
        wanted == 0 || rx.await.unwrap_or(false)
    }
}

/// Sends changes to all peers and notifies each waiter once enough peers hold them.
///
/// Returns when no waiter is left; calls to the remaining peers continue in their own tasks.
async fn broadcast(
    peers: &Peers,
    news: RegistryNews,
    mut waiting: Vec<(usize, oneshot::Sender<bool>)>,
) {
    let news = Rc::new((peers.complete)(news));
    let mut calls: FuturesUnordered<_> = (peers.find)()
        .into_iter()
        .map(|peer| {
            let (client, news) = (peers.client.clone(), news.clone());
            let (tx, rx) = oneshot::channel();
            compio::runtime::spawn(async move {
                let _ = tx.send(send(&client, peer, &news).await);
            })
            .detach();
            rx
        })
        .collect();
    let mut acknowledged = 0;
    loop {
        for (_, tx) in waiting.extract_if(.., |(wanted, _)| *wanted <= acknowledged) {
            // The waiter may have been dropped.
            let _ = tx.send(true);
        }
        if waiting.is_empty() {
            return;
        }
        match calls.next().await {
            Some(answered) => acknowledged += usize::from(answered == Ok(true)),
            // Dropping the senders tells the remaining waiters that too few peers hold the changes.
            None => return,
        }
    }
}

/// Sends changes to one peer; returns whether it acknowledged them.
pub async fn send(client: &BoxClient, peer: SocketAddr, news: &RegistryNews) -> bool {
    match client.call::<_, ()>(peer, NEWS_PATH, news, NEWS_TIMEOUT).await {
        Ok(()) => true,
        Err(err) => {
            log::debug!("failed to send registry changes to {peer}: {err}");
            false
        }
    }
}

/// Renews the leases at the other control boxes and expires leases of the own table until `stop` is
/// set. `disconnected` returns whether this box is disconnected from the control core.
pub async fn run(
    cell: Rc<RegistryCell>,
    peers: Rc<Peers>,
    disconnected: impl Fn() -> bool,
    stop: Stop,
) {
    let mut last_pass = clock::now();
    while !stop.is_set() {
        let now = clock::now();
        if now.duration_since(last_pass) > STALL_THRESHOLD {
            log::warn!("stood still for {} ms", now.duration_since(last_pass).as_millis());
            cell.change(|table| table.on_stall(now));
        }
        last_pass = now;
        if disconnected() {
            cell.change(|table| table.on_disconnected(now));
        }
        for life in cell.change(|table| table.expire(clock::now())) {
            log::info!("upstream {life}: its lease ran out");
        }
        let renewals = cell.change(|table| table.take_renewals(clock::now()));
        broadcast(&peers, renewals, Vec::new()).await;
        let interval = if disconnected() { DISCONNECTED_RENEW_INTERVAL } else { RENEW_INTERVAL };
        compio::time::sleep(interval).await;
    }
}
