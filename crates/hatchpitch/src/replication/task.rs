//! The task that drives a [`Replica`]: it processes all queued inputs, syncs once, then sends
//! messages and applies committed entries.
//!
//! Commands that arrive during a sync are batched into the next one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hatchpitch_net::{BoxClient, CallStep, Holder, MemoryError, Origin, Reservation, Stop, clock};

use super::absence::AbsentReplicas;
use super::disk::Disk;
use super::membership::{ChangeError, MemberChange};
use super::messages::{Entry, Envelope, Index, LogBatch, Message, NodeId, Payload, Term};
use super::state::{Ready, Replica, ReplicaConfig, Snapshot};
use super::storage::{Storage, StorageError};
use super::transfer;
use crate::essential::spawn_essential;
use crate::lifecycle;

/// Path of batches of messages between replicas.
pub const LOG_PATH: &str = "/box/log";
/// Size of the commands in a batch above which it takes no further message, in bytes.
const BATCH_BYTES: usize = 256 * 1024;
/// Maximum size of an encoded [`LogBatch`], in bytes. Earlier versions fill batches without a limit;
/// a batch above this one is lost, and its receiver repeats its request.
pub const MAX_BATCH_MESSAGE: usize = 2 * 1024 * 1024;
/// Capacity of the queue of small messages to one replica. Messages beyond it are dropped.
const SEND_QUEUE: usize = 256;
/// Extra capacity of the queue of large messages to one replica, behind the one in flight. A second
/// one is sent only by a leader that lost and regained leadership in the meantime.
const LARGE_SEND_QUEUE: usize = 0;
/// Timeout of a call that delivers a batch or a part of a large message.
pub(crate) const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest interval between two ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Length of the log file above which a snapshot is taken, in bytes.
const SNAPSHOT_BYTES: u64 = 8 * 1024 * 1024;
/// Number of records in the log file above which a snapshot is taken.
const SNAPSHOT_RECORDS: u64 = 20_000;
/// Maximum number of queued inputs that are processed before a sync.
const MAX_INPUTS_PER_SYNC: usize = 1_024;
/// Delay before each attempt to reopen the log after a failed write.
const DISK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Applies a committed command and returns its encoded reply.
pub type Apply = dyn FnMut(&[u8]) -> Vec<u8>;
/// Replaces the state by an encoded one, or by the empty state if `None`.
pub type Restore = dyn FnMut(Option<&[u8]>) -> anyhow::Result<()>;

/// Callbacks of the state machine to which the log is applied.
pub struct Applier {
    /// Applies a committed command and returns its encoded reply.
    pub apply: Box<Apply>,
    /// Returns the encoded state.
    pub snapshot: Box<dyn FnMut() -> Vec<u8>>,
    /// Replaces the state.
    pub restore: Box<Restore>,
    /// Called after entries or a snapshot were applied.
    pub applied: Box<dyn FnMut()>,
}

/// Why a proposed command has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeFailure {
    /// This replica does not lead; the command was not appended.
    NotLeader,
    /// It is unknown whether the command was or will be applied. Holds the cause.
    Unknown(String),
}

type ProposeReply = Result<Vec<u8>, ProposeFailure>;

/// Input of the driver.
pub enum Input {
    /// A message from another replica, the address to which answers are sent, and the memory of its
    /// batch until the replica has all of it.
    Received(Envelope, SocketAddr, Rc<Reservation>),
    /// Proposes an encoded command.
    Propose(Vec<u8>, oneshot::Sender<ProposeReply>),
    /// Hands leadership over, to a certain replica if one is named; answers whether one was asked to
    /// lead.
    HandOver(Option<NodeId>, oneshot::Sender<bool>),
    /// Proposes a membership change.
    Change(MemberChange, oneshot::Sender<Result<(), ChangeError>>),
}

/// Handle by which other tasks use a replica.
#[derive(Clone)]
pub struct ReplicaHandle {
    tx: mpsc::UnboundedSender<Input>,
    shared: Rc<RefCell<Replica>>,
    absent: Rc<AbsentReplicas>,
}

impl ReplicaHandle {
    /// Proposes a command and returns its reply once it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeFailure`] if this replica does not lead or the outcome is unknown.
    pub async fn propose(&self, command: Vec<u8>) -> ProposeReply {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::Propose(command, tx));
        sent.map_err(|_| ProposeFailure::NotLeader)?;
        rx.await.unwrap_or_else(|_| Err(ProposeFailure::Unknown("the log stopped".to_owned())))
    }

    /// Proposes a membership change. Returns once it is appended, before it is committed.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangeError`] if the change was rejected; nothing is appended then.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), ChangeError> {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::Change(change, tx));
        sent.map_err(|_| ChangeError::NotLeader)?;
        rx.await.unwrap_or(Err(ChangeError::NotLeader))
    }

    /// Hands leadership over to another replica, to `next` if one is named, if this one leads;
    /// returns whether one was asked.
    pub async fn hand_over(&self, next: Option<NodeId>) -> bool {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::HandOver(next, tx));
        sent.is_ok() && rx.await.unwrap_or(false)
    }

    /// Queues messages from another box, which `held` counts.
    pub fn receive(&self, batch: LogBatch, held: Reservation) {
        let held = Rc::new(held);
        for envelope in batch.envelopes {
            let input = Input::Received(envelope, batch.reply_to, held.clone());
            // The channel is closed only while the process stops; the sender will use another box.
            let _ = self.tx.unbounded_send(input);
        }
    }

    /// Returns the replicas whose box refuses connections.
    pub fn absent(&self) -> &AbsentReplicas {
        &self.absent
    }

    /// Calls a function with the replica's current state.
    pub fn with<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.shared.borrow())
    }

    /// Returns whether this replica holds the leader lease now.
    pub fn holds_lease(&self) -> bool {
        self.with(|replica| replica.lease_until().is_some_and(|until| clock::now() < until))
    }
}

/// A proposed command whose entry is not applied yet.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<ProposeReply>,
}

/// Channels to the tasks that send messages to one replica.
struct Senders {
    small: mpsc::Sender<Outgoing>,
    large: mpsc::Sender<Outgoing>,
}

/// A message that is queued to be sent.
struct Outgoing {
    envelope: Envelope,
    /// Memory of its entries or state, and of their encoded copy if it is large.
    held: Option<Reservation>,
}

struct Driver {
    id: NodeId,
    disk: Disk,
    storage: Storage,
    replica: Rc<RefCell<Replica>>,
    cfg: ReplicaConfig,
    applier: Applier,
    /// Index of the last applied entry.
    applied: Index,
    /// Proposals by the index of their entry.
    proposals: BTreeMap<Index, PendingProposal>,
    senders: BTreeMap<NodeId, Senders>,
    /// Receivers of large messages that were delivered or lost.
    large_done: mpsc::UnboundedReceiver<NodeId>,
    large_done_tx: mpsc::UnboundedSender<NodeId>,
    /// Term and leader of the last log line about them.
    logged_leader: Option<(Term, Option<NodeId>)>,
    /// Whether it was logged that no lease from before the start is in force.
    logged_no_lease: bool,
    /// Newest reply address of each sender, for replicas that are not in the members.
    reply_addrs: BTreeMap<NodeId, SocketAddr>,
    absent: Rc<AbsentReplicas>,
    client: BoxClient,
    own_addr: SocketAddr,
}

/// Opens the log and spawns its driver, which runs until `stop` is set.
///
/// # Errors
///
/// Returns a [`StorageError`] if the log cannot be opened, or the state machine's error if the
/// snapshot cannot be decoded.
pub fn start(
    disk: Disk,
    id: NodeId,
    cfg: ReplicaConfig,
    mut applier: Applier,
    client: BoxClient,
    own_addr: SocketAddr,
    stop: Stop,
) -> anyhow::Result<ReplicaHandle> {
    let (storage, replica, applied) = open(&disk, id, cfg, &mut applier)?;
    let replica = Rc::new(RefCell::new(replica));
    let (tx, rx) = mpsc::unbounded();
    let (large_done_tx, large_done) = mpsc::unbounded();
    let absent = Rc::<AbsentReplicas>::default();
    let handle = ReplicaHandle { tx, shared: replica.clone(), absent: absent.clone() };
    let driver = Driver {
        id,
        disk,
        storage,
        replica,
        cfg,
        applier,
        applied,
        proposals: BTreeMap::new(),
        senders: BTreeMap::new(),
        large_done,
        large_done_tx,
        logged_leader: None,
        logged_no_lease: false,
        reply_addrs: BTreeMap::new(),
        absent,
        client,
        own_addr,
    };
    spawn_essential("log", driver.run(rx, stop));
    Ok(handle)
}

fn open(
    disk: &Disk,
    id: NodeId,
    cfg: ReplicaConfig,
    applier: &mut Applier,
) -> anyhow::Result<(Storage, Replica, Index)> {
    let (storage, restored) = Storage::open(disk.clone())?;
    let applied = restored.snapshot.end.index;
    let data = (applied > 0).then_some(restored.snapshot.data.as_slice());
    (applier.restore)(data)?;
    let seed = rand::random();
    let replica = Replica::new(id, cfg, restored, seed, clock::now());
    Ok((storage, replica, applied))
}

impl Driver {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Input>, stop: Stop) {
        while !stop.is_set() {
            let first = compio::time::timeout(TICK_INTERVAL, rx.next()).await;
            match first {
                Ok(Some(input)) => self.handle_input(input),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..MAX_INPUTS_PER_SYNC {
                match rx.try_recv() {
                    Ok(input) => self.handle_input(input),
                    Err(_) => break,
                }
            }
            while let Ok(id) = self.large_done.try_recv() {
                self.replica.borrow_mut().large_done(id);
            }
            self.replica.borrow_mut().tick(clock::now());
            if let Err(err) = self.process_ready() {
                log::error!("{err}; reopening the log");
                self.reopen().await;
            }
            self.observe_leader_change();
        }
    }

    /// Logs a change of the term or the known leader, and forgets absent replicas if this one begins
    /// to lead.
    fn observe_leader_change(&mut self) {
        let replica = self.replica.borrow();
        let (term, leader) = (replica.term(), replica.leader());
        if !self.logged_no_lease && replica.rules_out_leases() {
            self.logged_no_lease = true;
            log::info!(
                term = term, voters = replica.members().voters.len();
                "no lease of before the start is in force: no voter leads"
            );
        }
        if self.logged_leader == Some((term, leader)) {
            return;
        }
        self.logged_leader = Some((term, leader));
        if replica.leads() {
            self.absent.clear();
        }
        let leader = leader.map_or_else(String::new, |id| format!("{id:016x}"));
        log::info!(
            term = term, leader = leader.as_str(), leads = replica.leads(),
            commit = replica.commit();
            "leader of the core"
        );
    }

    fn handle_input(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Received(Envelope { from, to, message }, reply_to, _) if to == self.id => {
                self.reply_addrs.insert(from, reply_to);
                self.replica.borrow_mut().receive(from, message, now);
            }
            Input::Received(Envelope { to, .. }, ..) => {
                log::debug!("dropped a message for replica {to}: this is another replica");
            }
            Input::Propose(command, reply) => self.propose(command, reply, now),
            Input::HandOver(next, reply) => {
                let was_asked = self.replica.borrow_mut().hand_over(next, now);
                let _ = reply.send(was_asked);
            }
            Input::Change(change, reply) => {
                let result = self.replica.borrow_mut().change_members(&change, now);
                let _ = reply.send(result);
            }
        }
    }

    fn propose(&mut self, command: Vec<u8>, reply: oneshot::Sender<ProposeReply>, now: Instant) {
        let first = self.replica.borrow_mut().propose(vec![command], now);
        match first {
            Some(at) => {
                self.proposals.insert(at.index, PendingProposal { term: at.term, reply });
            }
            None => {
                let _ = reply.send(Err(ProposeFailure::NotLeader));
            }
        }
    }

    /// Saves, sends and applies the replica's pending work until there is none, then compacts the
    /// log if it is large.
    fn process_ready(&mut self) -> Result<(), StorageError> {
        loop {
            let (ready, end) = {
                let mut replica = self.replica.borrow_mut();
                (replica.ready(), replica.end().index)
            };
            if ready.is_empty() {
                break;
            }
            self.storage.save(&ready)?;
            self.replica.borrow_mut().persisted(end, clock::now());
            self.send_and_apply(ready);
        }
        self.fail_lost_proposals();
        self.compact()
    }

    fn send_and_apply(&mut self, ready: Ready) {
        let Ready { snapshot, messages, committed, .. } = ready;
        if let Some(snapshot) = snapshot {
            self.restore(&snapshot);
        }
        for (to, message) in messages {
            self.send(to, message);
        }
        if !committed.is_empty() {
            for entry in committed {
                self.apply(entry);
            }
            (self.applier.applied)();
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if let Err(err) = (self.applier.restore)(Some(&snapshot.data)) {
            // Continuing would serve reads from an older state.
            let index = snapshot.end.index;
            lifecycle::end(&format!("cannot restore the snapshot at index {index}: {err:#}"), 1);
        }
        self.applied = snapshot.end.index;
        (self.applier.applied)();
    }

    fn apply(&mut self, entry: Entry) {
        if entry.index <= self.applied {
            return;
        }
        self.applied = entry.index;
        let reply = match entry.payload {
            Payload::Command(command) => (self.applier.apply)(&command),
            Payload::Noop | Payload::Members(_) => Vec::new(),
        };
        if let Some(proposal) = self.proposals.remove(&entry.index) {
            let same_term = proposal.term == entry.term;
            let lost = || ProposeFailure::Unknown("another leader's entry took its place".into());
            let _ = proposal.reply.send(if same_term { Ok(reply) } else { Err(lost()) });
        }
    }

    /// Fails all pending proposals once leadership is lost. Their commands may still be applied.
    fn fail_lost_proposals(&mut self) {
        if self.proposals.is_empty() || self.replica.borrow().leads() {
            return;
        }
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let lost = ProposeFailure::Unknown("this box lost the lead".to_owned());
            let _ = proposal.reply.send(Err(lost));
        }
    }

    /// Replaces the applied entries by a snapshot if the log file is large.
    fn compact(&mut self) -> Result<(), StorageError> {
        let large = self.storage.log_bytes() > SNAPSHOT_BYTES
            || self.storage.log_records() > SNAPSHOT_RECORDS;
        if !large || self.applied <= self.replica.borrow().log().start_index() {
            return Ok(());
        }
        let data = (self.applier.snapshot)();
        let mut replica = self.replica.borrow_mut();
        let Some(snapshot) = replica.compact(self.applied, data) else { return Ok(()) };
        log::info!("took a snapshot at index {}", snapshot.end.index);
        self.storage.rotate(&snapshot, replica.log().from(snapshot.end.index + 1))
    }

    /// Recovers from a failed write: discards everything that is not durable and reopens the log.
    /// Retries until that succeeds.
    async fn reopen(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let failed = ProposeFailure::Unknown("the disk refused a write".to_owned());
            let _ = proposal.reply.send(Err(failed));
        }
        loop {
            compio::time::sleep(DISK_RETRY_DELAY).await;
            match open(&self.disk, self.id, self.cfg, &mut self.applier) {
                Ok((storage, replica, applied)) => {
                    self.storage = storage;
                    self.applied = applied;
                    *self.replica.borrow_mut() = replica;
                    return;
                }
                Err(err) => log::error!("cannot reopen the log: {err:#}"),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        let member = self.replica.borrow().members().get(to).map(|peer| peer.boxes_addr);
        let Some(addr) = member.or_else(|| self.reply_addrs.get(&to).copied()) else { return };
        let is_large = envelope.message.payload_len() > self.cfg.large_bytes;
        let senders = self.senders.entry(to).or_insert_with(|| {
            let (client, reply_to) = (self.client.clone(), self.own_addr);
            let (small, small_rx) = mpsc::channel(SEND_QUEUE);
            let (large, large_rx) = mpsc::channel(LARGE_SEND_QUEUE);
            let task = send_small(client.clone(), reply_to, addr, small_rx, self.absent.clone());
            compio::runtime::spawn(task).detach();
            let task = send_large(client, reply_to, addr, large_rx, self.large_done_tx.clone());
            compio::runtime::spawn(task).detach();
            Senders { small, large }
        });
        let sender = if is_large { &mut senders.large } else { &mut senders.small };
        let dropped = match reserve(&self.client, &envelope.message, is_large) {
            Ok(held) => match sender.try_send(Outgoing { envelope, held }) {
                Err(err) if err.is_full() => "its send queue is full".to_owned(),
                // The channel is closed only if the task has ended with the process.
                Ok(()) | Err(_) => return,
            },
            Err(err) => err.to_string(),
        };
        log::debug!("dropped a message to replica {to}: {dropped}");
        if is_large {
            // The receiver of this channel belongs to this driver, so sending cannot fail.
            let _ = self.large_done_tx.unbounded_send(to);
        }
    }
}

/// Reserves the memory of a message that is queued; a heartbeat or a vote needs none.
fn reserve(
    client: &BoxClient,
    message: &Message,
    is_large: bool,
) -> Result<Option<Reservation>, MemoryError> {
    let copies = if is_large { 2 } else { 1 };
    let bytes = message.payload_len() * copies;
    if bytes == 0 {
        return Ok(None);
    }
    let origin = Origin::path(LOG_PATH);
    client.memory().reserve(Holder::Transfer, origin, bytes).map(Some)
}

/// Sends large messages to one replica, one at a time, and reports to `done` when each was
/// delivered or lost. Returns when `rx` is closed.
async fn send_large(
    client: BoxClient,
    reply_to: SocketAddr,
    addr: SocketAddr,
    mut rx: mpsc::Receiver<Outgoing>,
    done: mpsc::UnboundedSender<NodeId>,
) {
    while let Some(Outgoing { envelope, held }) = rx.next().await {
        let (from, to, started) = (envelope.from, envelope.to, clock::now());
        let bytes = envelope.message.payload_len();
        let batch = LogBatch { reply_to, envelopes: vec![envelope] };
        let sent = transfer::send(&client, addr, from, rand::random(), batch, held).await;
        let (peer, took_ms) = (addr.to_string(), clock::since(started).as_millis());
        match sent {
            Ok(arrived) => log::info!(
                peer = peer.as_str(), bytes = bytes, took_ms = took_ms, arrived = arrived;
                "large message of the log"
            ),
            Err(err) => log::info!(
                peer = peer.as_str(), bytes = bytes, took_ms = took_ms, arrived = false;
                "large message of the log: {err}"
            ),
        }
        // The channel is closed only if the driver has ended.
        let _ = done.unbounded_send(to);
    }
}

/// Sends small messages to one replica in batches, one call at a time, and records whether its box
/// refuses connections. Returns when `rx` is closed.
async fn send_small(
    client: BoxClient,
    reply_to: SocketAddr,
    addr: SocketAddr,
    mut rx: mpsc::Receiver<Outgoing>,
    absent: Rc<AbsentReplicas>,
) {
    while let Some(first) = rx.next().await {
        let to = first.envelope.to;
        let mut bytes = first.envelope.message.payload_len();
        let (mut envelopes, mut held) = (vec![first.envelope], vec![first.held]);
        while bytes <= BATCH_BYTES
            && let Ok(next) = rx.try_recv()
        {
            bytes += next.envelope.message.payload_len();
            envelopes.push(next.envelope);
            held.push(next.held);
        }
        let batch = LogBatch { reply_to, envelopes };
        let sent = client.call::<_, ()>(addr, LOG_PATH, &batch, SEND_TIMEOUT).await;
        let is_refused = matches!(&sent, Err(err) if err.step == CallStep::NoListener);
        absent.record(to, is_refused);
        if let Err(err) = sent {
            log::debug!("{} log messages not delivered: {err}", batch.envelopes.len());
        }
    }
}
