//! Drives a [`Replica`]: takes in everything that waits, syncs once, then sends and applies.
//!
//! Commands that arrive while a sync is in progress share the next one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hatchpitch_net::{BoxClient, Stop, clock};

use super::disk::Disk;
use super::membership::{ChangeError, MemberChange};
use super::messages::{Entry, Envelope, Index, LogBatch, Message, NodeId, Payload, Term};
use super::state::{Ready, Replica, ReplicaConfig, Snapshot};
use super::storage::{Storage, StorageError};
use super::transfer;
use crate::essential::spawn_essential;

/// Path of messages between replicas.
pub const LOG_PATH: &str = "/box/log";
/// Messages that wait for one replica, none of them large; further ones are dropped.
const QUEUE: usize = 256;
/// Large messages that wait for one replica, beside the one that is on its way: only a leader
/// that lost and won its lead meanwhile asks for another.
const LARGE_QUEUE: usize = 0;
/// Time for a batch of messages to be taken.
pub(crate) const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time between two looks at the clock.
const TICK: Duration = Duration::from_millis(25);
/// Bytes of the log file after which a snapshot is taken.
const SNAPSHOT_BYTES: u64 = 8 * 1024 * 1024;
/// Records of the log file after which a snapshot is taken.
const SNAPSHOT_RECORDS: u64 = 20_000;
/// Inputs that one sync takes in at most.
const MAX_INPUTS: usize = 1_024;
/// Rest after the disk refused a write, before the replica starts anew.
const DISK_REST: Duration = Duration::from_secs(1);

/// Applies a committed command and returns its encoded reply.
pub type Apply = dyn FnMut(&[u8]) -> Vec<u8>;
/// Replaces the state by an encoded one; `None` means the empty one.
pub type Restore = dyn FnMut(Option<&[u8]>) -> anyhow::Result<()>;

/// The state machine that the log drives.
pub struct Applier {
    /// Applies a committed command.
    pub apply: Box<Apply>,
    /// Encodes the state.
    pub snapshot: Box<dyn FnMut() -> Vec<u8>>,
    /// Replaces the state.
    pub restore: Box<Restore>,
    /// Called after entries were applied.
    pub applied: Box<dyn FnMut()>,
}

/// Why a command got no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeFailure {
    /// This replica does not lead; nothing was begun.
    NotLeader,
    /// The command may or may not be carried out.
    Unknown(String),
}

type ProposeReply = Result<Vec<u8>, ProposeFailure>;

/// What other tasks ask of the driver.
pub enum Input {
    /// A message of another replica, and where it takes the answer.
    Received(Envelope, SocketAddr),
    /// A command.
    Propose(Vec<u8>, oneshot::Sender<ProposeReply>),
    /// The wish to lead no longer; the answer tells whether another replica was asked to lead.
    HandOver(oneshot::Sender<bool>),
    /// A change of who takes part.
    Change(MemberChange, oneshot::Sender<Result<(), ChangeError>>),
}

/// A replica as other tasks see it.
#[derive(Clone)]
pub struct ReplicaHandle {
    tx: mpsc::UnboundedSender<Input>,
    shared: Rc<RefCell<Replica>>,
}

impl ReplicaHandle {
    /// Has a command carried out.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeFailure`].
    pub async fn propose(&self, command: Vec<u8>) -> ProposeReply {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::Propose(command, tx));
        sent.map_err(|_| ProposeFailure::NotLeader)?;
        rx.await.unwrap_or_else(|_| Err(ProposeFailure::Unknown("the log stopped".to_owned())))
    }

    /// Begins a change of who takes part.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangeError`]; nothing was begun then.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), ChangeError> {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::Change(change, tx));
        sent.map_err(|_| ChangeError::NotLeader)?;
        rx.await.unwrap_or(Err(ChangeError::NotLeader))
    }

    /// Gives the lead to another replica, if this one leads; returns whether one was asked.
    pub async fn hand_over(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(Input::HandOver(tx));
        sent.is_ok() && rx.await.unwrap_or(false)
    }

    /// Passes on messages of another box.
    pub fn receive(&self, batch: LogBatch) {
        for envelope in batch.envelopes {
            // A closed channel means that the process stops; the sender will ask another box.
            let _ = self.tx.unbounded_send(Input::Received(envelope, batch.reply_to));
        }
    }

    /// Looks at the replica.
    pub fn with<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.shared.borrow())
    }

    /// Returns whether this replica may act as the only leader now.
    pub fn holds_lease(&self) -> bool {
        self.with(|replica| replica.lease_until().is_some_and(|until| clock::now() < until))
    }
}

struct Waiting {
    term: Term,
    reply: oneshot::Sender<ProposeReply>,
}

/// The channels of the tasks that send to one replica.
struct Senders {
    small: mpsc::Sender<Envelope>,
    large: mpsc::Sender<Envelope>,
}

struct Driver {
    id: NodeId,
    disk: Disk,
    storage: Storage,
    replica: Rc<RefCell<Replica>>,
    cfg: ReplicaConfig,
    applier: Applier,
    applied: Index,
    waiting: BTreeMap<Index, Waiting>,
    senders: BTreeMap<NodeId, Senders>,
    /// Tells of large messages that arrived or were lost.
    large_ended: mpsc::UnboundedReceiver<NodeId>,
    large_ended_tx: mpsc::UnboundedSender<NodeId>,
    /// Term and leader that were logged last.
    logged: Option<(Term, Option<NodeId>)>,
    /// Whether the line about leases of before the start was written.
    logged_no_lease: bool,
    /// Where replicas took answers last, for those that the members do not name.
    heard_from: BTreeMap<NodeId, SocketAddr>,
    client: BoxClient,
    own_addr: SocketAddr,
}

/// Opens the log and starts its driver, which ends with `stop`.
///
/// # Errors
///
/// Returns a [`StorageError`] if the log cannot be opened, or the state's error
/// if its snapshot does not decode.
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
    let (large_ended_tx, large_ended) = mpsc::unbounded();
    let handle = ReplicaHandle { tx, shared: replica.clone() };
    let driver = Driver {
        id,
        disk,
        storage,
        replica,
        cfg,
        applier,
        applied,
        waiting: BTreeMap::new(),
        senders: BTreeMap::new(),
        large_ended,
        large_ended_tx,
        logged: None,
        logged_no_lease: false,
        heard_from: BTreeMap::new(),
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
            let first = compio::time::timeout(TICK, rx.next()).await;
            match first {
                Ok(Some(input)) => self.take(input),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..MAX_INPUTS {
                match rx.try_recv() {
                    Ok(input) => self.take(input),
                    Err(_) => break,
                }
            }
            while let Ok(id) = self.large_ended.try_recv() {
                self.replica.borrow_mut().large_ended(id);
            }
            self.replica.borrow_mut().tick(clock::now());
            if let Err(err) = self.settle() {
                log::error!("{err}; the replica starts anew");
                self.start_anew().await;
            }
            self.log_lead();
        }
    }

    /// Writes a line when this replica learns of another leader, or of none.
    fn log_lead(&mut self) {
        let replica = self.replica.borrow();
        let (term, leader) = (replica.term(), replica.leader());
        if !self.logged_no_lease && replica.knows_of_no_lease() {
            self.logged_no_lease = true;
            log::info!(
                term = term, voters = replica.members().voters.len();
                "no lease of before the start is in force: no voter leads"
            );
        }
        if self.logged == Some((term, leader)) {
            return;
        }
        self.logged = Some((term, leader));
        let leader = leader.map_or_else(String::new, |id| format!("{id:016x}"));
        log::info!(
            term = term, leader = leader.as_str(), leads = replica.leads(),
            commit = replica.commit();
            "leader of the core"
        );
    }

    fn take(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Received(Envelope { from, to, message }, reply_to) if to == self.id => {
                self.heard_from.insert(from, reply_to);
                self.replica.borrow_mut().receive(from, message, now);
            }
            Input::Received(Envelope { to, .. }, _) => {
                log::debug!("a message for identity {to} is dropped");
            }
            Input::Propose(command, reply) => self.propose(command, reply, now),
            Input::HandOver(reply) => {
                let handed = self.replica.borrow_mut().hand_over(now);
                let _ = reply.send(handed);
            }
            Input::Change(change, reply) => {
                let begun = self.replica.borrow_mut().change_members(&change, now);
                let _ = reply.send(begun);
            }
        }
    }

    fn propose(&mut self, command: Vec<u8>, reply: oneshot::Sender<ProposeReply>, now: Instant) {
        let first = self.replica.borrow_mut().propose(vec![command], now);
        match first {
            Some(at) => {
                self.waiting.insert(at.index, Waiting { term: at.term, reply });
            }
            None => {
                let _ = reply.send(Err(ProposeFailure::NotLeader));
            }
        }
    }

    /// Carries out what the replica asks for until it asks for nothing.
    fn settle(&mut self) -> Result<(), StorageError> {
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
            self.finish(ready);
        }
        self.drop_lost_proposals();
        self.compact()
    }

    fn finish(&mut self, ready: Ready) {
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
            // The state cannot be read: going on would answer from an older one.
            log::error!("snapshot at {}: {err:#}", snapshot.end.index);
            std::process::exit(1);
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
        if let Some(waiting) = self.waiting.remove(&entry.index) {
            let same = waiting.term == entry.term;
            let lost = || ProposeFailure::Unknown("another leader's entry took its place".into());
            let _ = waiting.reply.send(if same { Ok(reply) } else { Err(lost()) });
        }
    }

    /// Tells proposers that the lead was lost; their commands may still be carried out.
    fn drop_lost_proposals(&mut self) {
        if self.waiting.is_empty() || self.replica.borrow().leads() {
            return;
        }
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let lost = ProposeFailure::Unknown("this box lost the lead".to_owned());
            let _ = waiting.reply.send(Err(lost));
        }
    }

    fn compact(&mut self) -> Result<(), StorageError> {
        let large = self.storage.log_bytes() > SNAPSHOT_BYTES
            || self.storage.log_records() > SNAPSHOT_RECORDS;
        if !large || self.applied <= self.replica.borrow().log().start_index() {
            return Ok(());
        }
        let data = (self.applier.snapshot)();
        let mut replica = self.replica.borrow_mut();
        let Some(snapshot) = replica.compact(self.applied, data) else { return Ok(()) };
        log::info!("snapshot at {}", snapshot.end.index);
        self.storage.begin(&snapshot, replica.log().from(snapshot.end.index + 1))
    }

    /// After the disk refused a write: forgets everything that is not durable.
    async fn start_anew(&mut self) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            let failed = ProposeFailure::Unknown("the disk refused a write".to_owned());
            let _ = waiting.reply.send(Err(failed));
        }
        loop {
            compio::time::sleep(DISK_REST).await;
            match open(&self.disk, self.id, self.cfg, &mut self.applier) {
                Ok((storage, replica, applied)) => {
                    self.storage = storage;
                    self.applied = applied;
                    *self.replica.borrow_mut() = replica;
                    return;
                }
                Err(err) => log::error!("{err:#}"),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        let member = self.replica.borrow().members().get(to).map(|peer| peer.boxes_addr);
        let Some(addr) = member.or_else(|| self.heard_from.get(&to).copied()) else { return };
        let is_large = envelope.message.payload_len() > self.cfg.large_bytes;
        let senders = self.senders.entry(to).or_insert_with(|| {
            let (client, reply_to) = (self.client.clone(), self.own_addr);
            let (small, small_rx) = mpsc::channel(QUEUE);
            let (large, large_rx) = mpsc::channel(LARGE_QUEUE);
            let sending = send_small(client.clone(), reply_to, addr, small_rx);
            compio::runtime::spawn(sending).detach();
            let sending = send_large(client, reply_to, addr, large_rx, self.large_ended_tx.clone());
            compio::runtime::spawn(sending).detach();
            Senders { small, large }
        });
        let sender = if is_large { &mut senders.large } else { &mut senders.small };
        if let Err(err) = sender.try_send(envelope)
            && err.is_full()
        {
            log::debug!("messages to {to} are dropped: its box does not keep up");
            if is_large {
                // The driver that would receive it is this one.
                let _ = self.large_ended_tx.unbounded_send(to);
            }
        }
    }
}

/// Sends the large messages for one replica, one after the other, and tells `ended` when each has
/// arrived or was lost; ends with its channel.
async fn send_large(
    client: BoxClient,
    reply_to: SocketAddr,
    addr: SocketAddr,
    mut rx: mpsc::Receiver<Envelope>,
    ended: mpsc::UnboundedSender<NodeId>,
) {
    while let Some(envelope) = rx.next().await {
        let (from, to, begun) = (envelope.from, envelope.to, clock::now());
        let bytes = envelope.message.payload_len();
        let batch = LogBatch { reply_to, envelopes: vec![envelope] };
        let sent = transfer::send(&client, addr, from, rand::random(), batch).await;
        let (peer, took_ms) = (addr.to_string(), clock::since(begun).as_millis());
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
        // A closed channel means that the log stops.
        let _ = ended.unbounded_send(to);
    }
}

/// Sends the small messages for one replica in batches, one call at a time; ends with its channel.
async fn send_small(
    client: BoxClient,
    reply_to: SocketAddr,
    addr: SocketAddr,
    mut rx: mpsc::Receiver<Envelope>,
) {
    while let Some(first) = rx.next().await {
        let mut envelopes = vec![first];
        while let Ok(next) = rx.try_recv() {
            envelopes.push(next);
        }
        let batch = LogBatch { reply_to, envelopes };
        if let Err(err) = client.call::<_, ()>(addr, LOG_PATH, &batch, SEND_TIMEOUT).await {
            log::debug!("{} messages of the log: {err}", batch.envelopes.len());
        }
    }
}
