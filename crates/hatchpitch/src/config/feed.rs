//! Distributes configuration, evacuations and the quarantine list down a tree of boxes, and tracks
//! how recently they were confirmed as current.
//!
//! Every box long-polls one parent. The parent answers when its number exceeds the requested one,
//! when it obtains a confirmation that the box lacks, or when the hold time expires. Its answer
//! states how long ago the control leader confirmed its number. The control boxes are the root of
//! the tree. Each box costs its parent one small request per hold time, plus the changes.
//!
//! A large change is sent in parts, one request each, from one parent at a time. A parent encodes a
//! part when it is first requested, keeps no state for each child, and withholds parts while its
//! send backlog is full. When a parent fails, the received parts are kept and the next parent
//! continues the transfer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hatchpitch_net::{Backlog, BoxClient, Holder, Origin, Reservation, Stop, clock};

use super::entity::EntityKey;
use super::messages::{Delta, FeedAnswer, FeedRequest, Rest};
use super::packed::{PackedDelta, PackedPart, PartCache};
use super::state::{ConfigState, InstallError, Part};
use super::transfer::{PartOutcome, Transfer};
use super::view::FleetView;
use crate::evacuation::Evacuations;
use crate::ids::{BoxName, ConfigNumber};
use crate::limits::backoff;
use crate::quarantine::QuarantineList;

/// Path of the feed endpoint at every box.
pub const FEED_PATH: &str = "/box/feed";
/// Hold time of a request: how long the parent may delay its answer.
pub const HOLD: Duration = Duration::from_millis(1_000);
/// Maximum hold time that a parent grants, regardless of the request.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Time allowed for an answer in addition to the hold time.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum age of a parent's confirmation; beyond it, the next parent is asked. It spans several
/// hold times, because each level of the tree adds up to one.
const PARENT_MAX_AGE: Duration = Duration::from_millis(4_000);
/// Hold time of a request from a box without a recent confirmation. It is short, so that a parent
/// that has none either does not keep the box from asking the other parents.
const UNCONFIRMED_HOLD: Duration = Duration::from_millis(250);
/// Number of parents that a box without a recent confirmation asks concurrently, because some may
/// not be running yet or have no confirmation themselves.
const MAX_CONCURRENT_PARENTS: usize = 3;

/// Size of an uncompressed part, in bytes. A 10 Mbit/s link transmits it in 52 ms, far less than
/// the time allowed for an answer.
const PART_BYTES: usize = 64 * 1024;
/// Size of a part before compression, in bytes. Routes compress to a tenth of that or less, which a
/// 10 Mbit/s link transmits in 21 ms; an incompressible part takes 210 ms.
const PACKED_PART_BYTES: usize = 256 * 1024;

/// Ratio of the memory that received changes take until they are in force to their encoded size: the
/// decoded entities, and the allocations of their fields.
const DECODED_FACTOR: usize = 2;

/// The configuration in force at this box, shared by the tasks of one thread.
pub struct ConfigCell {
    inner: RefCell<Inner>,
    /// Bytes and messages queued for sending to other boxes.
    backlog: Backlog,
    /// Whether a task is transferring a configuration in parts.
    transferring: Cell<bool>,
}

/// The cluster-wide state in force at a box, other than the upstream registry.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The number of the configuration.
    pub config: ConfigNumber,
    /// The evacuated failure domains.
    pub evacuations: Rc<Evacuations>,
    /// The quarantined requests.
    pub quarantine: Rc<QuarantineList>,
}

struct Inner {
    state: ConfigState,
    /// The parts received so far of a newer configuration, and their memory.
    transfer: Option<(Transfer, Reservation)>,
    /// Recently sent parts of the configuration in force.
    parts: PartCache,
    view: Rc<FleetView>,
    evacuations: Rc<Evacuations>,
    quarantine: Rc<QuarantineList>,
    confirmed_at: Option<Instant>,
    /// Wakes the delayed answers to children.
    waiters: Vec<oneshot::Sender<()>>,
}

/// The result of one request to a parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchOutcome {
    /// The parent failed, is behind, or withheld its part.
    NoProgress,
    /// This box has the parent's configuration; `confirmed` tells whether the parent has a recent
    /// confirmation of it.
    UpToDate { confirmed: bool },
    /// A part was received, and more are to be requested.
    Part,
}

/// Marks a transfer in progress; only one task of a process holds it at a time.
struct TransferGuard<'a>(&'a ConfigCell);

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.0.transferring.set(false);
    }
}

impl Default for ConfigCell {
    fn default() -> Self {
        Self::new(Backlog::default())
    }
}

impl ConfigCell {
    /// Creates the cell of a process without a configuration; `backlog` counts what it has queued
    /// for sending to other boxes.
    pub fn new(backlog: Backlog) -> Self {
        let inner = Inner {
            state: ConfigState::default(),
            transfer: None,
            parts: PartCache::default(),
            view: Rc::default(),
            evacuations: Rc::default(),
            quarantine: Rc::default(),
            confirmed_at: None,
            waiters: Vec::new(),
        };
        Self { inner: RefCell::new(inner), backlog, transferring: Cell::new(false) }
    }

    /// Returns whether a configuration is being received in parts.
    pub fn is_transferring(&self) -> bool {
        self.transferring.get()
    }

    fn open_memory(&self) -> Reservation {
        let origin = Origin::path(FEED_PATH);
        self.backlog.memory().open(Holder::Transfer, origin)
    }

    fn begin_transfer(&self) -> Option<TransferGuard<'_>> {
        (!self.transferring.replace(true)).then(|| TransferGuard(self))
    }

    /// Builds the request for the changes that this box lacks.
    fn request(&self, own: &BoxName, hold: Duration) -> FeedRequest {
        let unconfirmed = !self.is_confirmed();
        let hold = if unconfirmed { hold.min(UNCONFIRMED_HOLD) } else { hold };
        let inner = self.inner.borrow();
        let (have, after) =
            inner.transfer.as_ref().map_or((inner.state.number(), None), |(it, _)| it.next());
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

    /// Puts evacuations in force if they are newer than the current ones, and returns whether they
    /// are.
    pub fn set_evacuations(&self, evacuations: &Evacuations) -> bool {
        self.inner.borrow_mut().set_evacuations(evacuations)
    }

    /// Returns the quarantine list in force.
    pub fn quarantine(&self) -> Rc<QuarantineList> {
        self.inner.borrow().quarantine.clone()
    }

    /// Puts a quarantine list in force if it is newer than the current one, and returns whether it
    /// is.
    pub fn set_quarantine(&self, list: &QuarantineList) -> bool {
        self.inner.borrow_mut().set_quarantine(list)
    }

    /// Returns the state that followers of this box receive along with the upstream registry.
    pub fn in_force(&self) -> InForce {
        let inner = self.inner.borrow();
        InForce {
            config: inner.state.number(),
            evacuations: inner.evacuations.clone(),
            quarantine: inner.quarantine.clone(),
        }
    }

    /// Returns the time since the number was confirmed as current; `None` if it never was.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.inner.borrow().confirmed_at.map(clock::since)
    }

    /// Returns whether the last confirmation is at most [`PARENT_MAX_AGE`] old.
    fn is_confirmed(&self) -> bool {
        self.inner.borrow().is_confirmed()
    }

    /// Puts a state that was applied in this process in force if it is newer than the current one.
    pub fn replace(&self, state: &ConfigState) {
        let mut inner = self.inner.borrow_mut();
        if state.number() > inner.state.number() {
            inner.transfer = None;
            inner.state = state.clone();
            inner.publish();
        }
    }

    /// Records that the number in force was confirmed as current at `at`.
    pub fn confirm(&self, at: Instant) {
        self.inner.borrow_mut().confirm(Some(at));
    }

    /// Answers a child. Waits up to the requested hold time for a change, or for a confirmation if
    /// the child has none.
    pub async fn answer(&self, req: &FeedRequest) -> FeedAnswer {
        let started = clock::now();
        let hold = req.hold.min(MAX_HOLD);
        let continues = req.after.is_some();
        let is_due = continues
            || self.number() > req.have
            || self.evacuations().revision() > req.evacuations
            || self.quarantine().revision > req.quarantine
            || (req.unconfirmed && self.is_confirmed());
        if !is_due && !hold.is_zero() {
            let (tx, rx) = oneshot::channel();
            self.inner.borrow_mut().waiters.push(tx);
            let _ = compio::time::timeout(hold, rx).await;
        }
        let mut inner = self.inner.borrow_mut();
        inner.waiters.retain(|tx| !tx.is_canceled());
        let is_behind = inner.state.number() > req.have;
        let withheld = is_behind && !self.backlog.has_room();
        let part = if is_behind && !withheld {
            inner.part(req, &self.backlog)
        } else {
            OutgoingPart::default()
        };
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

    /// Processes a parent's answer; `round_trip` is the total time since the request was sent.
    fn process_answer(
        &self,
        req: &FeedRequest,
        mut answer: FeedAnswer,
        round_trip: Duration,
    ) -> anyhow::Result<FetchOutcome> {
        let unpacking = self.open_memory();
        let mut size = PART_BYTES;
        if let Some(packed) = answer.packed.take() {
            (answer.delta, size) = packed.delta(&unpacking)?;
        }
        drop(unpacking);
        let mut inner = self.inner.borrow_mut();
        if let Some(evacuations) = &answer.evacuations {
            inner.set_evacuations(evacuations);
        }
        if let Some(list) = &answer.quarantine {
            inner.set_quarantine(list);
        }
        let evacuations_behind = answer.evacuated_at < inner.evacuations.revision();
        if answer.number < inner.state.number() || evacuations_behind {
            // The parent is behind: the configuration stays as it is, and nothing is confirmed.
            return Ok(FetchOutcome::NoProgress);
        }
        // The parent sent the answer at most `round_trip - held` ago.
        let transit = round_trip.saturating_sub(answer.held);
        let age = answer.confirmed_age.map(|age| age.saturating_add(transit));
        let (number, digest) = (answer.number, answer.digest);
        if number > inner.state.number() {
            let have = inner.state.number();
            let (transfer, held) =
                inner.transfer.get_or_insert_with(|| (Transfer::new(have), self.open_memory()));
            // A part for which there is no room is requested again.
            held.try_grow(size * DECODED_FACTOR)?;
            let (snapshot, delta) = match transfer.process(req, answer) {
                PartOutcome::Unavailable => {
                    held.shrink(size * DECODED_FACTOR);
                    return Ok(FetchOutcome::NoProgress);
                }
                PartOutcome::Restart => {
                    inner.transfer = None;
                    return Ok(FetchOutcome::NoProgress);
                }
                PartOutcome::Duplicate => {
                    held.shrink(size * DECODED_FACTOR);
                    return Ok(FetchOutcome::Part);
                }
                PartOutcome::Incomplete => return Ok(FetchOutcome::Part),
                PartOutcome::Complete { snapshot, delta } => (snapshot, delta),
            };
            let _held = inner.transfer.take();
            inner.state.install(number, digest, snapshot, &delta)?;
            inner.publish();
        } else if digest != inner.state.digest() {
            return Err(InstallError::DigestDiffers.into());
        }
        inner.confirm(age.and_then(|age| clock::now().checked_sub(age)));
        let confirmed = age.is_some_and(|age| age <= PARENT_MAX_AGE);
        Ok(FetchOutcome::UpToDate { confirmed })
    }
}

/// Logs a part that is sent or withheld.
fn log_part(req: &FeedRequest, number: ConfigNumber, part: &OutgoingPart, withheld: bool) {
    let is_first = req.after.is_none();
    // One line per transfer, and one each time that a part is withheld.
    if withheld || (is_first && part.entities > 0) {
        log::info!(
            to = req.from.as_str(), have = req.have, number = number, entities = part.entities,
            more = part.end.is_some(), withheld = withheld;
            "configuration sent to a box"
        );
    }
}

/// The part in an answer, compressed if the child accepts that.
#[derive(Default)]
struct OutgoingPart {
    snapshot: bool,
    delta: Delta,
    packed: Option<PackedDelta>,
    entities: usize,
    end: Option<EntityKey>,
}

impl Inner {
    /// Returns the requested part.
    fn part(&mut self, req: &FeedRequest, backlog: &Backlog) -> OutgoingPart {
        let (state, after) = (&self.state, req.after.as_ref());
        if !req.unpacks {
            let Part { snapshot, delta, end } = state.part_since(req.have, after, PART_BYTES);
            let entities = delta.upserts.len() + delta.removals.len();
            return OutgoingPart { snapshot, delta, packed: None, entities, end };
        }
        let make = || state.part_since(req.have, after, PACKED_PART_BYTES);
        let part = self.parts.get(backlog.memory(), req.have, after, make);
        let PackedPart { snapshot, delta, entities, end } = part;
        OutgoingPart { snapshot, delta: Delta::default(), packed: Some(delta), entities, end }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some_and(|at| clock::since(at) <= PARENT_MAX_AGE)
    }

    /// Records a confirmation; if there was no recent one, wakes the waiting children.
    fn confirm(&mut self, at: Option<Instant>) {
        let was_confirmed = self.is_confirmed();
        self.confirmed_at = self.confirmed_at.max(at);
        if !was_confirmed && self.is_confirmed() {
            self.waiters.clear();
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
            self.waiters.clear();
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
            self.waiters.clear();
        }
        newer
    }

    fn publish(&mut self) {
        self.parts.clear();
        self.view = Rc::new(FleetView::new(&self.state));
        // Dropping the senders wakes the waiting children.
        self.waiters.clear();
    }
}

/// Returns the parents of a box in order of preference: the one in the tree, then the fallbacks.
///
/// `boxes` are the live boxes in order of name, and `own` is the index of this box. The first
/// `fanout` boxes ask the control boxes; box `i` asks box `(i - fanout) / fanout`. Every box falls
/// back on the control boxes, beginning with a different one for consecutive boxes.
pub fn parents(
    own: usize,
    boxes: &[SocketAddr],
    control: &[SocketAddr],
    fanout: usize,
) -> Vec<SocketAddr> {
    let mut parents = Vec::with_capacity(control.len() + 1);
    if own >= fanout {
        parents.extend(boxes.get((own - fanout) / fanout));
    }
    let start = own.checked_rem(control.len()).unwrap_or(0);
    parents.extend(control[start..].iter().chain(&control[..start]));
    parents
}

/// Follows the feed until `stop` is set; calls `find_parents` before each round.
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

/// Asks the parents in turn, or several concurrently while there is no recent confirmation, until
/// one brings this box up to date with a recent confirmation.
async fn follow_once(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parents: Vec<SocketAddr>,
) -> bool {
    let concurrency = if cell.is_confirmed() { 1 } else { MAX_CONCURRENT_PARENTS };
    for group in parents.chunks(concurrency) {
        let requests = group.iter().map(|parent| fetch(own, cell, client, *parent, HOLD));
        let mut requests: FuturesUnordered<_> = requests.collect();
        while let Some(is_fresh) = requests.next().await {
            if is_fresh {
                return true;
            }
        }
    }
    false
}

/// Fetches newer state from one box, in several parts unless another task already transfers some;
/// returns whether this box is then up to date with it, and it has a recent confirmation.
pub async fn fetch(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parent: SocketAddr,
    hold: Duration,
) -> bool {
    let (mut hold, mut guard) = (hold, None);
    loop {
        match request_part(own, cell, client, parent, hold).await {
            FetchOutcome::UpToDate { confirmed } => return confirmed,
            FetchOutcome::NoProgress => return false,
            FetchOutcome::Part => {}
        }
        guard = guard.or_else(|| cell.begin_transfer());
        if guard.is_none() {
            return false;
        }
        hold = Duration::ZERO;
    }
}

/// Sends one request to a parent and processes the answer.
async fn request_part(
    own: &BoxName,
    cell: &ConfigCell,
    client: &BoxClient,
    parent: SocketAddr,
    hold: Duration,
) -> FetchOutcome {
    let req = cell.request(own, hold);
    let sent = clock::now();
    let answer = client.call::<_, FeedAnswer>(parent, FEED_PATH, &req, req.hold + ANSWER_MARGIN);
    let outcome = match answer.await {
        Ok(answer) => cell.process_answer(&req, answer, clock::since(sent)),
        Err(err) => Err(err.into()),
    };
    match outcome {
        Ok(FetchOutcome::NoProgress) => {
            log::debug!("feed: box {parent} is behind or withheld its part");
        }
        Ok(FetchOutcome::UpToDate { confirmed: false }) => {
            log::debug!("feed: box {parent} has no recent confirmation from the leader");
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
    outcome.unwrap_or(FetchOutcome::NoProgress)
}
