//! Carries configuration down the relay tree, and tells how fresh it is.
//!
//! Every box asks one parent with a held request. The parent answers when its
//! number passes the one asked with, when it is confirmed anew and the box has
//! no confirmation, or when the hold ends, and says how long ago the control
//! leader confirmed its number. The root of the tree is the
//! control boxes. Cost a box: one small request a hold, plus what changed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{BoxClient, Stop};

use super::messages::{FeedAnswer, FeedRequest};
use super::state::ConfigState;
use super::view::FleetView;
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;

/// Path of the feed at every box.
pub const FEED_PATH: &str = "/box/feed";
/// How long a parent may hold a request.
pub const HOLD: Duration = Duration::from_millis(1_000);
/// Longest hold that a parent grants, whatever was asked.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time allowed for an answer beyond the hold.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);
/// Age of a parent's confirmation from which on another parent is asked: a few holds, as each
/// level of the tree adds one.
const PARENT_MAX_AGE: Duration = Duration::from_millis(4_000);
/// How long a parent may hold the request of a box without a confirmation: it is short, so that
/// one parent that has none either does not keep the box from asking the others.
const UNCONFIRMED_HOLD: Duration = Duration::from_millis(250);
/// Parents that a box without a confirmation asks at one time: some may not be up yet, or have
/// none themselves.
const ASKED_AT_ONCE: usize = 3;

/// The configuration in force at this box, shared by its tasks on one thread.
pub struct ConfigCell {
    inner: RefCell<Inner>,
}

struct Inner {
    state: ConfigState,
    view: Rc<FleetView>,
    confirmed_at: Option<Instant>,
    waiting: Vec<oneshot::Sender<()>>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let inner = Inner {
            state: ConfigState::default(),
            view: Rc::default(),
            confirmed_at: None,
            waiting: Vec::new(),
        };
        Self { inner: RefCell::new(inner) }
    }
}

impl ConfigCell {
    /// Returns the view of the configuration in force.
    pub fn view(&self) -> Rc<FleetView> {
        self.inner.borrow().view.clone()
    }

    /// Returns the number in force.
    pub fn number(&self) -> ConfigNumber {
        self.inner.borrow().state.number()
    }

    /// Returns how long ago the number was confirmed as the newest; `None` if never.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.inner.borrow().confirmed_at.map(|at| at.elapsed())
    }

    /// Returns whether the number in force was confirmed of late.
    fn is_confirmed(&self) -> bool {
        self.inner.borrow().is_confirmed()
    }

    /// Puts a state that was applied here in force, unless a newer one already is.
    pub fn replace(&self, state: &ConfigState) {
        let mut inner = self.inner.borrow_mut();
        if state.number() > inner.state.number() {
            inner.state = state.clone();
            inner.publish();
        }
    }

    /// Notes that the number in force was confirmed as the newest at `at`.
    pub fn confirm(&self, at: Instant) {
        self.inner.borrow_mut().confirm(Some(at));
    }

    /// Answers a child, waiting for news up to the hold that it asked for: a change, or a
    /// confirmation where the child has none.
    pub async fn answer(&self, req: &FeedRequest) -> FeedAnswer {
        let started = Instant::now();
        let hold = req.hold.min(MAX_HOLD);
        let news = self.number() > req.have || (req.unconfirmed && self.is_confirmed());
        if !news && !hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.inner.borrow_mut().waiting.push(tx);
            let _ = compio::time::timeout(hold, rx).await;
        }
        let mut inner = self.inner.borrow_mut();
        inner.waiting.retain(|tx| !tx.is_canceled());
        let (snapshot, delta) = inner.state.delta_since(req.have);
        if !delta.upserts.is_empty() {
            log::info!(
                to = req.from.as_str(), have = req.have, number = inner.state.number(),
                entities = delta.upserts.len(), held_ms = started.elapsed().as_millis();
                "configuration sent to a box"
            );
        }
        FeedAnswer {
            number: inner.state.number(),
            digest: inner.state.digest(),
            snapshot,
            delta,
            confirmed_age: inner.confirmed_at.map(|at| at.elapsed()),
            held: started.elapsed(),
        }
    }

    /// Takes a parent's answer in; `round_trip` is the whole time since the request was sent.
    fn take(&self, answer: &FeedAnswer, round_trip: Duration) -> anyhow::Result<()> {
        let mut inner = self.inner.borrow_mut();
        if answer.number < inner.state.number() {
            // The parent is behind. What is in force stays; the parent confirms nothing.
            return Ok(());
        }
        let changed = answer.number > inner.state.number();
        inner.state.install(answer.number, answer.digest, answer.snapshot, &answer.delta)?;
        if changed {
            inner.publish();
        }
        // The answer left the parent at most `round_trip - held` ago.
        let transit = round_trip.saturating_sub(answer.held);
        let age = answer.confirmed_age.map(|age| age + transit);
        inner.confirm(age.and_then(|age| Instant::now().checked_sub(age)));
        Ok(())
    }
}

impl Inner {
    fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some_and(|at| at.elapsed() <= PARENT_MAX_AGE)
    }

    /// Notes a confirmation; one that follows none of late wakes the children that wait.
    fn confirm(&mut self, at: Option<Instant>) {
        let was_confirmed = self.is_confirmed();
        self.confirmed_at = self.confirmed_at.max(at);
        if !was_confirmed && self.is_confirmed() {
            self.waiting.clear();
        }
    }

    fn publish(&mut self) {
        self.view = Rc::new(FleetView::new(&self.state));
        // Closing the channels wakes the children that wait.
        self.waiting.clear();
    }
}

/// Finds the parents of a box: first the one in the tree, then those to fall back on.
///
/// `boxes` are the live boxes in order of name. The first `fanout` boxes ask
/// the control boxes; box `i` asks box `(i - fanout) / fanout`. Every box falls
/// back on the control boxes, in an order that starts at a different one for each.
pub fn parents(
    own: usize,
    boxes: &[SocketAddr],
    control: &[SocketAddr],
    fanout: usize,
) -> Vec<SocketAddr> {
    let mut found = Vec::with_capacity(control.len() + 1);
    if own >= fanout {
        found.extend(boxes.get((own - fanout) / fanout));
    }
    let start = own.checked_rem(control.len()).unwrap_or(0);
    found.extend(control[start..].iter().chain(&control[..start]));
    found
}

/// Follows the feed until `stop`; `find_parents` is asked anew for each round.
pub async fn follow(
    own: BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    find_parents: impl Fn() -> Vec<SocketAddr>,
    stop: Stop,
) {
    let mut failures = 0;
    while !stop.is_set() {
        if follow_once(&own, cell, client, find_parents()).await {
            failures = 0;
            continue;
        }
        failures += 1;
        compio::time::sleep(backoff::rest(failures)).await;
    }
}

/// Asks the parents in turn, or a few at one time while there is no confirmation, until one
/// answers that is not behind.
async fn follow_once(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parents: Vec<SocketAddr>,
) -> bool {
    let at_once = if cell.is_confirmed() { 1 } else { ASKED_AT_ONCE };
    for group in parents.chunks(at_once) {
        let asked = group.iter().map(|parent| fetch(own, cell, client, *parent, HOLD));
        let mut asked: FuturesUnordered<_> = asked.collect();
        while let Some(is_fresh) = asked.next().await {
            if is_fresh {
                return true;
            }
        }
    }
    false
}

/// Asks one box for what is newer there; returns whether it answered and is not behind.
pub async fn fetch(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parent: SocketAddr,
    hold: Duration,
) -> bool {
    let unconfirmed = !cell.is_confirmed();
    let hold = if unconfirmed { hold.min(UNCONFIRMED_HOLD) } else { hold };
    let req = FeedRequest { from: own.clone(), have: cell.number(), hold, unconfirmed };
    let sent = Instant::now();
    let answer = client.call::<_, FeedAnswer>(parent, FEED_PATH, &req, hold + ANSWER_MARGIN);
    let taken = match answer.await {
        Ok(answer) => cell.take(&answer, sent.elapsed()).map(|()| {
            let confirmed = answer.confirmed_age.is_some_and(|age| age <= PARENT_MAX_AGE);
            (answer.number >= req.have, confirmed)
        }),
        Err(err) => Err(err.into()),
    };
    match taken {
        Ok((true, true)) => return true,
        Ok((false, _)) => log::debug!("feed: box {parent} is behind"),
        Ok((_, false)) => log::debug!("feed: box {parent} has lost touch with the leader"),
        Err(err) => {
            let (have, took_ms) = (cell.number(), sent.elapsed().as_millis());
            let (peer, cause) = (parent.to_string(), format!("{err:#}"));
            log::info!(
                peer = peer.as_str(), have = have, took_ms = took_ms, cause = cause.as_str();
                "configuration not brought up to date"
            );
        }
    }
    false
}
