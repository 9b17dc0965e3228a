//! Carries configuration and evacuations down the relay tree, and tells how fresh they are.
//!
//! Every box asks one parent with a held request. The parent answers when its
//! number passes the one asked with, when it is confirmed anew and the box has
//! no confirmation, or when the hold ends, and says how long ago the control
//! leader confirmed its number. The root of the tree is the
//! control boxes. Cost a box: one small request a hold, plus what changed.
//!
//! A large change comes in parts, one request each, from one parent at a time. A parent makes a
//! part when it is first asked for, keeps nothing of who asks, and withholds parts while much waits
//! to be sent; what has arrived is kept when a parent fails, and the next one goes on from there.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{Backlog, BoxClient, Stop, clock};

use super::arriving::{Arriving, Taken};
use super::entity::EntityKey;
use super::messages::{Delta, FeedAnswer, FeedRequest, Rest};
use super::packed::{PackedDelta, PackedPart, PackedParts};
use super::state::{ConfigState, InstallError, Part};
use super::view::FleetView;
use crate::evacuation::Evacuations;
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;
use crate::quarantine::QuarantineList;

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

/// Bytes of a part that is not packed: a link of 10 Mbit/s passes it in 52 ms, far within the time
/// for an answer.
const PART_BYTES: usize = 64 * 1024;
/// Bytes of a part before it is packed. One of routes takes a tenth of that or less, which a link of
/// 10 Mbit/s passes in 21 ms; one that can't be compressed takes 210 ms there.
const PACKED_PART_BYTES: usize = 256 * 1024;

/// The configuration in force at this box, shared by its tasks on one thread.
pub struct ConfigCell {
    inner: RefCell<Inner>,
    /// What this process has to send to other boxes.
    backlog: Backlog,
    /// Whether a task asks a parent for one part after the other.
    pulls: Cell<bool>,
}

/// What is in force at a box beside its upstreams.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The number of the configuration.
    pub config: ConfigNumber,
    /// The evacuated failure domains.
    pub evacuations: Rc<Evacuations>,
    /// The held requests.
    pub quarantine: Rc<QuarantineList>,
}

struct Inner {
    state: ConfigState,
    /// What has arrived of a newer configuration.
    arriving: Option<Arriving>,
    /// Parts of what is in force, as they were sent of late.
    parts: PackedParts,
    view: Rc<FleetView>,
    evacuations: Rc<Evacuations>,
    quarantine: Rc<QuarantineList>,
    confirmed_at: Option<Instant>,
    waiting: Vec<oneshot::Sender<()>>,
}

/// What a task learned from a parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Learned {
    /// The parent is behind, or has no room for a part now.
    Nothing,
    /// What is in force here is what the parent has; whether that was confirmed of late.
    Newest { confirmed: bool },
    /// A part; more is to be asked for.
    Part,
}

/// The right to ask for one part after the other; only one task of a process has it.
struct Pull<'a>(&'a ConfigCell);

impl Drop for Pull<'_> {
    fn drop(&mut self) {
        self.0.pulls.set(false);
    }
}

impl Default for ConfigCell {
    fn default() -> Self {
        Self::new(Backlog::default())
    }
}

impl ConfigCell {
    /// Creates the cell of a process that has no configuration yet; `backlog` counts what it has
    /// to send to other boxes.
    pub fn new(backlog: Backlog) -> Self {
        let inner = Inner {
            state: ConfigState::default(),
            arriving: None,
            parts: PackedParts::default(),
            view: Rc::default(),
            evacuations: Rc::default(),
            quarantine: Rc::default(),
            confirmed_at: None,
            waiting: Vec::new(),
        };
        Self { inner: RefCell::new(inner), backlog, pulls: Cell::new(false) }
    }

    /// Returns whether a configuration is arriving in parts.
    pub fn is_arriving(&self) -> bool {
        self.pulls.get()
    }

    fn begin_pull(&self) -> Option<Pull<'_>> {
        (!self.pulls.replace(true)).then(|| Pull(self))
    }

    /// Composes the request for what is lacking here.
    fn request(&self, own: &BoxName, hold: Duration) -> FeedRequest {
        let unconfirmed = !self.is_confirmed();
        let hold = if unconfirmed { hold.min(UNCONFIRMED_HOLD) } else { hold };
        let inner = self.inner.borrow();
        let (have, after) =
            inner.arriving.as_ref().map_or((inner.state.number(), None), Arriving::next);
        let evacuations = inner.evacuations.revision();
        let quarantine = inner.quarantine.revision;
        FeedRequest {
            from: own.clone(),
            have,
            hold,
            unconfirmed,
            after: after.cloned(),
            evacuations,
            quarantine,
            unpacks: true,
        }
    }

    /// Returns the view of the configuration in force.
    pub fn view(&self) -> Rc<FleetView> {
        self.inner.borrow().view.clone()
    }

    /// Returns the number in force.
    pub fn number(&self) -> ConfigNumber {
        self.inner.borrow().state.number()
    }

    /// Returns the evacuations in force.
    pub fn evacuations(&self) -> Rc<Evacuations> {
        self.inner.borrow().evacuations.clone()
    }

    /// Puts evacuations in force, unless newer ones already are; returns whether they were newer.
    pub fn set_evacuations(&self, evacuations: &Evacuations) -> bool {
        self.inner.borrow_mut().set_evacuations(evacuations)
    }

    /// Returns the list of held requests in force.
    pub fn quarantine(&self) -> Rc<QuarantineList> {
        self.inner.borrow().quarantine.clone()
    }

    /// Puts a list of held requests in force, unless a newer one already is; returns whether it
    /// was newer.
    pub fn set_quarantine(&self, list: &QuarantineList) -> bool {
        self.inner.borrow_mut().set_quarantine(list)
    }

    /// Returns what followers of this box are told beside upstreams.
    pub fn in_force(&self) -> InForce {
        let inner = self.inner.borrow();
        InForce {
            config: inner.state.number(),
            evacuations: inner.evacuations.clone(),
            quarantine: inner.quarantine.clone(),
        }
    }

    /// Returns how long ago the number was confirmed as the newest; `None` if never.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.inner.borrow().confirmed_at.map(clock::since)
    }

    /// Returns whether the number in force was confirmed of late.
    fn is_confirmed(&self) -> bool {
        self.inner.borrow().is_confirmed()
    }

    /// Puts a state that was applied here in force, unless a newer one already is.
    pub fn replace(&self, state: &ConfigState) {
        let mut inner = self.inner.borrow_mut();
        if state.number() > inner.state.number() {
            inner.arriving = None;
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
        let started = clock::now();
        let hold = req.hold.min(MAX_HOLD);
        let goes_on = req.after.is_some();
        let news = goes_on
            || self.number() > req.have
            || self.evacuations().revision() > req.evacuations
            || self.quarantine().revision > req.quarantine
            || (req.unconfirmed && self.is_confirmed());
        if !news && !hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.inner.borrow_mut().waiting.push(tx);
            let _ = compio::time::timeout(hold, rx).await;
        }
        let mut inner = self.inner.borrow_mut();
        inner.waiting.retain(|tx| !tx.is_canceled());
        let lacks = inner.state.number() > req.have;
        let withheld = lacks && !self.backlog.has_room();
        let part = if lacks && !withheld { inner.part(req) } else { SentPart::default() };
        log_part(req, inner.state.number(), &part, withheld);
        FeedAnswer {
            number: inner.state.number(),
            digest: inner.state.digest(),
            snapshot: part.snapshot,
            delta: part.delta,
            packed: part.packed,
            rest: match part.end {
                _ if withheld => Rest::Withheld,
                Some(key) => Rest::After(key),
                None => Rest::Nothing,
            },
            confirmed_age: inner.confirmed_at.map(clock::since),
            held: clock::since(started),
            evacuated_at: inner.evacuations.revision(),
            evacuations: (inner.evacuations.revision() > req.evacuations)
                .then(|| (*inner.evacuations).clone()),
            quarantine: (inner.quarantine.revision > req.quarantine)
                .then(|| (*inner.quarantine).clone()),
        }
    }

    /// Takes a parent's answer in; `round_trip` is the whole time since the request was sent.
    fn take(
        &self,
        req: &FeedRequest,
        mut answer: FeedAnswer,
        round_trip: Duration,
    ) -> anyhow::Result<Learned> {
        if let Some(packed) = answer.packed.take() {
            answer.delta = packed.delta()?;
        }
        let mut inner = self.inner.borrow_mut();
        if let Some(evacuations) = &answer.evacuations {
            inner.set_evacuations(evacuations);
        }
        if let Some(list) = &answer.quarantine {
            inner.set_quarantine(list);
        }
        let evacuations_behind = answer.evacuated_at < inner.evacuations.revision();
        if answer.number < inner.state.number() || evacuations_behind {
            // The parent is behind. What is in force stays; the parent confirms nothing.
            return Ok(Learned::Nothing);
        }
        // The answer left the parent at most `round_trip - held` ago.
        let transit = round_trip.saturating_sub(answer.held);
        let age = answer.confirmed_age.map(|age| age + transit);
        let (number, digest) = (answer.number, answer.digest);
        if number > inner.state.number() {
            let have = inner.state.number();
            let arriving = inner.arriving.get_or_insert_with(|| Arriving::new(have));
            let (snapshot, delta) = match arriving.take(req, answer) {
                Taken::Nothing => return Ok(Learned::Nothing),
                Taken::Unfit => {
                    inner.arriving = None;
                    return Ok(Learned::Nothing);
                }
                Taken::Duplicate | Taken::More => return Ok(Learned::Part),
                Taken::Whole { snapshot, delta } => (snapshot, delta),
            };
            inner.arriving = None;
            inner.state.install(number, digest, snapshot, &delta)?;
            inner.publish();
        } else if digest != inner.state.digest() {
            return Err(InstallError::DigestDiffers.into());
        }
        inner.confirm(age.and_then(|age| clock::now().checked_sub(age)));
        let confirmed = age.is_some_and(|age| age <= PARENT_MAX_AGE);
        Ok(Learned::Newest { confirmed })
    }
}

/// Writes a line about a part that is sent, if it holds anything.
fn log_part(req: &FeedRequest, number: ConfigNumber, part: &SentPart, withheld: bool) {
    let begins = req.after.is_none();
    // One line for each transfer, and for each time that it is held up.
    if withheld || (begins && part.entities > 0) {
        log::info!(
            to = req.from.as_str(), have = req.have, number = number, entities = part.entities,
            more = part.end.is_some(), withheld = withheld;
            "configuration sent to a box"
        );
    }
}

/// A part as an answer holds it.
#[derive(Default)]
struct SentPart {
    snapshot: bool,
    delta: Delta,
    packed: Option<PackedDelta>,
    entities: usize,
    end: Option<EntityKey>,
}

impl Inner {
    /// Returns the part that a box asks for.
    fn part(&mut self, req: &FeedRequest) -> SentPart {
        let (state, after) = (&self.state, req.after.as_ref());
        if !req.unpacks {
            let Part { snapshot, delta, end } = state.part_since(req.have, after, PART_BYTES);
            let entities = delta.upserts.len() + delta.removals.len();
            return SentPart { snapshot, delta, packed: None, entities, end };
        }
        let make = || state.part_since(req.have, after, PACKED_PART_BYTES);
        let PackedPart { snapshot, delta, entities, end } = self.parts.get(req.have, after, make);
        SentPart { snapshot, delta: Delta::default(), packed: Some(delta), entities, end }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some_and(|at| clock::since(at) <= PARENT_MAX_AGE)
    }

    /// Notes a confirmation; one that follows none of late wakes the children that wait.
    fn confirm(&mut self, at: Option<Instant>) {
        let was_confirmed = self.is_confirmed();
        self.confirmed_at = self.confirmed_at.max(at);
        if !was_confirmed && self.is_confirmed() {
            self.waiting.clear();
        }
    }

    fn set_evacuations(&mut self, evacuations: &Evacuations) -> bool {
        let newer = evacuations.revision() > self.evacuations.revision();
        if newer {
            let domains: Vec<&str> = evacuations.domains().map(String::as_str).collect();
            log::info!(
                revision = evacuations.revision(), domains = domains.join(",").as_str();
                "evacuated failure domains changed"
            );
            self.evacuations = Rc::new(evacuations.clone());
            self.waiting.clear();
        }
        newer
    }

    fn set_quarantine(&mut self, list: &QuarantineList) -> bool {
        let newer = list.revision > self.quarantine.revision;
        if newer {
            log::info!(
                revision = list.revision, held = list.held.len(), watched = list.watched.len();
                "list of held requests changed"
            );
            self.quarantine = Rc::new(list.clone());
            self.waiting.clear();
        }
        newer
    }

    fn publish(&mut self) {
        self.parts.clear();
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
        compio::time::sleep(backoff::delay(failures)).await;
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

/// Asks one box for what is newer there, part by part unless another task already does so;
/// returns whether what is in force here is what that box has, and was confirmed of late.
pub async fn fetch(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parent: SocketAddr,
    hold: Duration,
) -> bool {
    let (mut hold, mut pull) = (hold, None);
    loop {
        match ask(own, cell, client, parent, hold).await {
            Learned::Newest { confirmed } => return confirmed,
            Learned::Nothing => return false,
            Learned::Part => {}
        }
        pull = pull.or_else(|| cell.begin_pull());
        if pull.is_none() {
            return false;
        }
        hold = Duration::ZERO;
    }
}

/// Asks one box once.
async fn ask(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parent: SocketAddr,
    hold: Duration,
) -> Learned {
    let req = cell.request(own, hold);
    let sent = clock::now();
    let answer = client.call::<_, FeedAnswer>(parent, FEED_PATH, &req, req.hold + ANSWER_MARGIN);
    let learned = match answer.await {
        Ok(answer) => cell.take(&req, answer, clock::since(sent)),
        Err(err) => Err(err.into()),
    };
    match learned {
        Ok(Learned::Nothing) => log::debug!("feed: box {parent} is behind or has no room"),
        Ok(Learned::Newest { confirmed: false }) => {
            log::debug!("feed: box {parent} has lost touch with the leader");
        }
        Ok(_) => {}
        Err(ref err) => {
            let (have, took_ms) = (cell.number(), clock::since(sent).as_millis());
            let (peer, cause) = (parent.to_string(), format!("{err:#}"));
            log::info!(
                peer = peer.as_str(), have = have, took_ms = took_ms, cause = cause.as_str();
                "configuration not brought up to date"
            );
        }
    }
    learned.unwrap_or(Learned::Nothing)
}
