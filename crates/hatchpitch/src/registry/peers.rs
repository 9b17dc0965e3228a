//! Passes news about upstreams between control boxes.

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

/// Path of news between control boxes.
pub const NEWS_PATH: &str = "/box/upstream-news";
/// Time in which another control box has to take news: an upstream waits a second for its
/// acknowledgement, and two tries have to fit.
const NEWS_LIMIT: Duration = Duration::from_millis(400);
/// Time between renewals of all leases at the other control boxes; a lease outlasts several.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between renewals while this box does not know the core: others learn of it by them.
const LONELY_PERIOD: Duration = Duration::from_millis(150);
/// Time between two looks at the leases after which this process must have stood still: two
/// heartbeats of upstreams and more, which others took in meanwhile.
const STILL_AFTER: Duration = Duration::from_millis(2_500);
/// Time for which news are gathered into one message, for each upstream: more of them have more
/// news. With 3,000, of which 77 tell one box something new each second, it takes a quarter of
/// the calls; with tens nothing waits that a caller could notice.
const GATHER_AN_UPSTREAM: Duration = Duration::from_micros(13);
/// Longest time for which news are gathered: a tenth of the time until an upstream's
/// acknowledgement is late.
const LONGEST_GATHERING: Duration = Duration::from_millis(100);

/// How the control boxes are reached.
pub struct Peers {
    /// Client for other boxes.
    pub client: BoxClient,
    /// Returns where other boxes reach the other control boxes.
    pub find: Box<dyn Fn() -> Vec<SocketAddr>>,
    /// Adds to news who sends them and what the receivers have to know.
    pub complete: Box<dyn Fn(RegistryNews) -> RegistryNews>,
}

/// News that wait for the next message to the other control boxes.
#[derive(Default)]
pub struct Outbox(RefCell<Gathered>);

#[derive(Default)]
struct Gathered {
    news: RegistryNews,
    /// Who waits until a number of peers hold the news.
    waiting: Vec<(usize, oneshot::Sender<bool>)>,
    begun: bool,
}

impl Outbox {
    /// Passes news on with the next message, and returns whether `wanted` peers hold them. How long
    /// news are gathered depends on how many `upstreams` there are.
    pub async fn pass_on(
        self: &Rc<Self>,
        peers: &Rc<Peers>,
        news: RegistryNews,
        wanted: usize,
        upstreams: usize,
    ) -> bool {
        let count = u32::try_from(upstreams).unwrap_or(u32::MAX);
        let gathering = GATHER_AN_UPSTREAM.saturating_mul(count).min(LONGEST_GATHERING);
        let (tx, rx) = oneshot::channel();
        let begun = {
            let mut gathered = self.0.borrow_mut();
            gathered.news.merge(news);
            gathered.waiting.push((wanted, tx));
            std::mem::replace(&mut gathered.begun, true)
        };
        if !begun {
            let (outbox, peers) = (self.clone(), peers.clone());
            compio::runtime::spawn(async move {
                compio::time::sleep(gathering).await;
                let gathered = outbox.0.take();
                spread(&peers, gathered.news, gathered.waiting).await;
            })
            .detach();
        }
        wanted == 0 || rx.await.unwrap_or(false)
    }
}

/// Sends news to all peers, and tells who waits once as many as it wants hold them.
///
/// The calls to the remaining peers go on in tasks of their own.
async fn spread(
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
    let mut held = 0;
    loop {
        for (_, tx) in waiting.extract_if(.., |(wanted, _)| *wanted <= held) {
            // Whoever waited may have left.
            let _ = tx.send(true);
        }
        if waiting.is_empty() {
            return;
        }
        match calls.next().await {
            Some(answered) => held += usize::from(answered == Ok(true)),
            // Closing the channels tells the others that too few hold the news.
            None => return,
        }
    }
}

/// Sends news to one peer; returns whether it holds them.
pub async fn send(client: &BoxClient, peer: SocketAddr, news: &RegistryNews) -> bool {
    match client.call::<_, ()>(peer, NEWS_PATH, news, NEWS_LIMIT).await {
        Ok(()) => true,
        Err(err) => {
            log::debug!("news about upstreams: {err}");
            false
        }
    }
}

/// Renews the leases at the other control boxes and lets leases here run out, until `stop`.
/// `lonely` tells whether the core is unknown.
pub async fn run(cell: Rc<RegistryCell>, peers: Rc<Peers>, lonely: impl Fn() -> bool, stop: Stop) {
    let mut looked = clock::now();
    while !stop.is_set() {
        let now = clock::now();
        if now.duration_since(looked) > STILL_AFTER {
            log::warn!("stood still for {} ms", now.duration_since(looked).as_millis());
            cell.change(|table| table.stood_still(now));
        }
        looked = now;
        if lonely() {
            cell.change(|table| table.was_out_of_touch(now));
        }
        for life in cell.change(|table| table.expire(clock::now())) {
            log::info!("upstream {life}: its lease ran out");
        }
        let renewals = cell.change(|table| table.take_renewals(clock::now()));
        spread(&peers, renewals, Vec::new()).await;
        let rest = if lonely() { LONELY_PERIOD } else { RENEW_PERIOD };
        compio::time::sleep(rest).await;
    }
}
