//! State that the tasks of one control process share.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::lock::Mutex;
use hatchpitch_net::{BodyError, BoxClient, Holder, MemoryError, Reservation, clock, read_body};
use hyper::body::{Body as _, Incoming};

use super::core_changes::CoreRequests;
use super::machine::{Command, Machine, Order, Reply};
use super::majority::Outage;
use super::quarantine;
use crate::config::feed::ConfigCell;
use crate::ids::RunnerName;
use crate::listener::Unopened;
use crate::logging::unix_ms;
use crate::metrics::Metrics;
use crate::registry::messages::Epoch;
use crate::registry::peers::{Outbox, Peers};
use crate::registry::{RegistryCell, RegistryNews, Table};
use crate::replication::bootstrap::Hello;
use crate::replication::task::{Applier, ProposeFailure, ReplicaHandle};
use crate::replication::transfer::Reassembler;
use crate::replication::{Members, NodeId, Peer};
use crate::settings::ControlSettings;

/// Why proposing an order to the replicated log failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// This box does not lead, and the order was not appended. Names the leader if it is known.
    NotLeader(Option<Peer>),
    /// The order may or may not have been applied, or may be applied later.
    Unknown(String),
}

/// Ratio of the memory that decoding and submitting a configuration takes to the size of its text: a
/// copy of the text, the decoded tree, the entities, and the encoded change.
const DECODING_FACTOR: usize = 4;
/// Part of the memory budget that texts of configurations may take together, so that reads and
/// messages between boxes pass while many are submitted.
const CONFIG_SHARE: usize = 2;
/// Longest wait for that memory; callers try another box after 1 s.
const DECODING_PATIENCE: Duration = Duration::from_millis(500);
/// Minimum interval between two log lines about refused announcements of the same id.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of ids whose refused announcements are logged within that interval.
const MAX_REFUSED_IDS: usize = 256;
/// Time after which a control box that sent no news is removed from the known peers.
const CONTROL_PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a box without a log takes it that the leader it heard of leads: several intervals
/// at which it asks.
const CORE_HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// State of another control box, as learned from news about upstreams.
#[derive(Debug, Clone, Copy)]
struct ControlPeerState {
    /// When it last sent news, or when another box first named it.
    last_heard: Instant,
    /// Whether it can decode packed records of upstreams.
    unpacks: bool,
    /// Epoch of its table of upstreams; 0 if not known.
    epoch: Epoch,
}

/// What is known about the log on this box's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// This box has no disk.
    NoDisk,
    /// The disk could not be read or written so far, so it may hold a log, which may name this box.
    Waiting,
    /// The disk holds no log.
    Absent,
    /// The replica of the log runs.
    Open,
    /// The log or the identity is damaged; this box takes no part in the log until an operator
    /// repairs it.
    Damaged,
}

/// Identity of a box without a disk, or whose disk was not read yet; no replica has it.
pub const NO_IDENTITY: NodeId = 0;

/// Shared state of a control process.
pub struct ControlCx {
    /// Settings of this box.
    pub settings: ControlSettings,
    /// Identity of the replica on this box's disk, or [`NO_IDENTITY`].
    pub id: Cell<NodeId>,
    /// What is known about the log on this box's disk.
    pub log_state: Cell<LogState>,
    /// Listeners of this box that are not open yet.
    pub unopened: Unopened,
    /// Configuration in force on this box, served by the feed.
    pub config: ConfigCell,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Client for requests to other boxes.
    pub boxes: BoxClient,
    /// Whether a leader sent replication messages while this box had no log.
    pub contacted_by_leader: Cell<bool>,
    /// What boxes asked of this box about the membership while it leads.
    pub core_requests: RefCell<CoreRequests>,
    /// Whether this box stops and leaves the replication group.
    pub is_leaving: Cell<bool>,
    /// Wakes the task that changes the members of the replication group.
    members_wake: RefCell<mpsc::Sender<()>>,
    /// Held while a configuration is decoded and submitted. Decoding takes several times the size
    /// of a configuration in memory, so configurations are processed one at a time.
    pub submit_lock: Mutex<()>,
    /// Table of the upstreams that announced themselves.
    pub registry: Rc<RegistryCell>,
    /// News about upstreams that are queued for the other control boxes.
    pub outbox: Rc<Outbox>,
    /// Replication messages of which parts are still missing.
    pub log_parts: RefCell<Reassembler>,
    /// Newest introduction of a member that follows a leader, and when it came; set only on a box
    /// without a log.
    core_hello: RefCell<Option<(Hello, Instant)>>,
    /// The present time without a leader, if it is longer than an election.
    pub outage: RefCell<Option<Outage>>,
    /// Other control boxes by address, as learned from news about upstreams.
    control_peers: RefCell<BTreeMap<SocketAddr, ControlPeerState>>,
    /// Ids of refused announcements, and when each refusal was last logged.
    refused_ids: RefCell<BTreeMap<RunnerName, Instant>>,
    /// State that results from the applied log entries.
    machine: RefCell<Machine>,
    /// Replica of the log; unset until it is started.
    log: OnceCell<ReplicaHandle>,
    /// Total size of the texts of configurations that are being received and submitted, in bytes.
    config_bytes: Rc<Cell<usize>>,
}

/// Text of a configuration that an operator submits.
pub struct ConfigText {
    /// The text.
    pub text: Bytes,
    _counted: ConfigBytes,
}

/// Size of a text, which is part of the total until it is dropped.
struct ConfigBytes {
    total: Rc<Cell<usize>>,
    len: usize,
}

impl Drop for ConfigBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.len);
    }
}

impl ControlCx {
    /// Creates the shared state, without a log until [`ControlCx::set_log`].
    pub fn new(settings: ControlSettings, boxes: BoxClient) -> Rc<Self> {
        let log_state = match settings.data_folder {
            Some(_) => LogState::Waiting,
            None => LogState::NoDisk,
        };
        Rc::new(Self {
            settings,
            id: Cell::new(NO_IDENTITY),
            log_state: Cell::new(log_state),
            unopened: Unopened::default(),
            config: ConfigCell::new(boxes.backlog().clone()),
            metrics: Metrics::default(),
            contacted_by_leader: Cell::new(false),
            core_requests: RefCell::default(),
            is_leaving: Cell::new(false),
            members_wake: RefCell::new(mpsc::channel(0).0),
            submit_lock: Mutex::new(()),
            registry: Rc::new(RegistryCell::new(rand::random())),
            outbox: Rc::default(),
            log_parts: RefCell::new(Reassembler::new(boxes.memory().clone())),
            core_hello: RefCell::default(),
            outage: RefCell::default(),
            control_peers: RefCell::default(),
            refused_ids: RefCell::default(),
            machine: RefCell::new(Machine::new()),
            log: OnceCell::new(),
            config_bytes: Rc::default(),
            boxes,
        })
    }

    /// Reads a configuration of at most `max` bytes from the body of a request within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if a limit is exceeded, there is no room, or the connection fails.
    pub async fn read_config(
        &self,
        path: &str,
        body: Incoming,
        max: usize,
        limit: Duration,
    ) -> Result<ConfigText, BodyError> {
        let max = max.min(self.boxes.memory().largest() / DECODING_FACTOR);
        let announced = body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
        // One that announces no length is counted as it is read.
        let len = announced.unwrap_or(0);
        if len > max {
            return Err(BodyError::TooLarge(max));
        }
        let share = self.boxes.memory().limit() / CONFIG_SHARE;
        let total = self.config_bytes.get() + len;
        if self.config_bytes.get() > 0 && total > share {
            return Err(MemoryError::Exhausted(len).into());
        }
        self.config_bytes.set(total);
        let counted = ConfigBytes { total: self.config_bytes.clone(), len };
        let held = self.boxes.open_memory(Holder::RequestBody, path);
        let text = read_body(body, max, limit, held).await?;
        Ok(ConfigText { text, _counted: counted })
    }

    /// Reserves the memory that decoding and submitting a configuration takes, waiting a while for
    /// room.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if no room came.
    pub async fn reserve_decoding(&self, text: &ConfigText) -> Result<Reservation, BodyError> {
        let held = self.boxes.open_memory(Holder::Transfer, "configuration");
        let bytes = text.text.len().saturating_mul(DECODING_FACTOR);
        held.grow(bytes, DECODING_PATIENCE).await?;
        Ok(held)
    }

    /// Waits a while for the memory of an answer of `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] if no room came.
    pub async fn reserve_answer(&self, path: &str, len: usize) -> Result<Reservation, BodyError> {
        let held = self.boxes.open_memory(Holder::Answer, path);
        held.grow(len, DECODING_PATIENCE).await?;
        Ok(held)
    }

    /// Calls `read` with the applied state and returns its result.
    pub fn with_machine<T>(&self, read: impl FnOnce(&Machine) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Returns the receiver of the wake-ups of [`Self::check_members`].
    pub fn members_wake(&self) -> mpsc::Receiver<()> {
        let (tx, rx) = mpsc::channel(0);
        *self.members_wake.borrow_mut() = tx;
        rx
    }

    /// Wakes the task that changes the members of the replication group.
    pub fn check_members(&self) {
        // A full channel holds a wake-up already; a closed one belongs to a box that stops.
        let _ = self.members_wake.borrow_mut().try_send(());
    }

    /// Sets the replica of the log once it is started.
    pub fn set_log(self: &Rc<Self>, log: ReplicaHandle) {
        let cx = Rc::downgrade(self);
        log.absent().on_absence(move || {
            if let Some(cx) = cx.upgrade() {
                cx.check_members();
            }
        });
        // The daemon starts the log once, so the cell is empty here.
        let _ = self.log.set(log);
        self.log_state.set(LogState::Open);
    }

    /// Returns the replica of the log, or `None` before it is started.
    pub fn log(&self) -> Option<&ReplicaHandle> {
        self.log.get()
    }

    /// Returns the members of the replication group: those in the log, or, without one, those that
    /// another box reported.
    pub fn members(&self) -> Option<Members> {
        let from_hello =
            || self.core_hello.borrow().as_ref().and_then(|(hello, _)| hello.members.clone());
        self.log_members().or_else(from_hello)
    }

    /// Returns the members according to the log of this box.
    fn log_members(&self) -> Option<Members> {
        self.log().map(|log| log.with(|replica| replica.members().clone()))
    }

    /// Records the introduction of a member of the replication group; for a box without a log.
    pub fn set_core_hello(&self, hello: Hello) {
        *self.core_hello.borrow_mut() = Some((hello, clock::now()));
    }

    /// Returns whether this box may tell others who it is and whether it has a log. A box that
    /// doesn't know must not: others that have no log would begin a second one.
    pub fn knows_its_log(&self) -> bool {
        !matches!(self.log_state.get(), LogState::Waiting | LogState::Damaged)
    }

    /// Returns the introduction of this box to other control boxes.
    pub fn hello(&self) -> Hello {
        Hello {
            name: self.settings.own.name.clone(),
            id: self.id.get(),
            members: self.log_members(),
            leader: self.leader(),
            without_disk: self.settings.data_folder.is_none(),
            core_size: self.settings.core_size,
        }
    }

    /// Returns the callbacks through which the replica drives the state machine.
    pub fn applier(self: &Rc<Self>) -> Applier {
        let (apply, snapshot, restore, applied) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        Applier {
            apply: Box::new(move |command| apply.apply(command)),
            snapshot: Box::new(move || encode(&*snapshot.machine.borrow())),
            restore: Box::new(move |data| {
                *restore.machine.borrow_mut() = match data {
                    Some(bytes) => rmp_serde::from_slice(bytes)?,
                    None => Machine::new(),
                };
                let machine = restore.machine.borrow();
                restore.config.replace(&machine.config);
                restore.config.set_evacuations(&machine.evacuations);
                restore.config.set_quarantine(machine.quarantine.list());
                Ok(())
            }),
            applied: Box::new(move || {
                let before = applied.config.number();
                let machine = applied.machine.borrow();
                applied.config.replace(&machine.config);
                let evacuations_changed = applied.config.set_evacuations(&machine.evacuations);
                let quarantine = applied.config.quarantine();
                let quarantine_changed = applied.config.set_quarantine(machine.quarantine.list());
                if quarantine_changed {
                    quarantine::log_changes(&quarantine, &machine.quarantine);
                }
                if applied.config.number() != before || evacuations_changed || quarantine_changed {
                    applied.registry.wake();
                }
            }),
        }
    }

    /// Proposes an order to the replicated log and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] if this box does not lead, or if the outcome is unknown because
    /// it stopped leading.
    pub async fn propose(&self, order: Order) -> Result<Reply, ProposeError> {
        let Some(log) = self.log() else { return Err(ProposeError::NotLeader(self.leader())) };
        let command = encode(&Command { at: unix_ms(), order });
        match log.propose(command).await {
            Ok(reply) => rmp_serde::from_slice(&reply)
                .map_err(|err| ProposeError::Unknown(format!("reply: {err}"))),
            Err(ProposeFailure::NotLeader) => Err(ProposeError::NotLeader(self.leader())),
            Err(ProposeFailure::Unknown(cause)) => Err(ProposeError::Unknown(cause)),
        }
    }

    /// Returns whether this box was elected leader; it may not hold the lease yet, or any more.
    pub fn is_elected(&self) -> bool {
        self.log().is_some_and(|log| log.with(|replica| replica.leads()))
    }

    /// Returns whether this box leads and holds the lease.
    pub fn leads(&self) -> bool {
        self.log().is_some_and(ReplicaHandle::holds_lease)
    }

    /// Hands leadership over if this box leads; returns whether another control box was asked to
    /// take it.
    pub async fn hand_over(&self) -> bool {
        match self.log() {
            Some(log) => log.hand_over(None).await,
            None => false,
        }
    }

    /// Returns the leader, or `None` if this box knows none.
    pub fn leader(&self) -> Option<Peer> {
        match self.log() {
            Some(log) => log.with(|replica| replica.members().get(replica.leader()?).cloned()),
            None => self.core_hello.borrow().as_ref().and_then(|(hello, _)| hello.leader.clone()),
        }
    }

    /// Returns whether this box leads or follows a leader; one without a log, whether it heard of
    /// one a short time ago.
    pub fn follows_leader(&self) -> bool {
        match self.log() {
            Some(log) => log.with(|replica| replica.leader().is_some()),
            None => self
                .core_hello
                .borrow()
                .as_ref()
                .is_some_and(|(_, at)| clock::since(*at) < CORE_HELLO_TIMEOUT),
        }
    }

    /// Returns the addresses of the other control boxes: members of the replication group, boxes in
    /// the settings, and boxes learned from news about upstreams.
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        let own = self.settings.own.boxes_addr;
        let members = self.members().unwrap_or_default();
        let members = members.all().map(|(_, peer)| peer.boxes_addr).collect::<Vec<_>>();
        let settings = self.settings.peers.iter().map(|peer| peer.boxes_addr);
        let heard_of: Vec<SocketAddr> = self.control_peers.borrow().keys().copied().collect();
        let mut addrs: Vec<SocketAddr> =
            members.into_iter().chain(settings).chain(heard_of).collect();
        addrs.retain(|addr| *addr != own);
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// Returns the addresses of the members of the replication group, this box included; if they
    /// are unknown, the addresses of the other control boxes.
    pub fn core_addrs(&self) -> Vec<SocketAddr> {
        match self.members() {
            Some(members) => members.all().map(|(_, peer)| peer.boxes_addr).collect(),
            None => self.peer_addrs(),
        }
    }

    /// Records the sender of news and the control boxes that it names. Returns the sender if its
    /// table is new and so lacks the upstreams that this box knows.
    pub fn record_control_peers(&self, news: &RegistryNews) -> Option<SocketAddr> {
        let last_heard = clock::now();
        let mut peers = self.control_peers.borrow_mut();
        peers.retain(|_, peer| last_heard.duration_since(peer.last_heard) < CONTROL_PEER_TIMEOUT);
        let (unpacks, epoch) = (news.unpacks, news.epoch);
        let previous = news
            .from
            .and_then(|from| peers.insert(from, ControlPeerState { last_heard, unpacks, epoch }));
        let own = self.settings.own.boxes_addr;
        for addr in news.control.iter().filter(|addr| **addr != own) {
            // A box stays known only through its own news; being named by others does not renew it.
            peers.entry(*addr).or_insert(ControlPeerState { last_heard, unpacks: false, epoch: 0 });
        }
        news.from.filter(|_| epoch != 0 && previous.is_none_or(|peer| peer.epoch != epoch))
    }

    /// Adds the sender and the control boxes that it knows to `news`, and packs the records if all
    /// of those boxes can decode packed records.
    pub fn complete_news(&self, mut news: RegistryNews) -> RegistryNews {
        let own = self.settings.own.boxes_addr;
        let mut control = self.peer_addrs();
        let peers = self.control_peers.borrow();
        if control.iter().all(|addr| peers.get(addr).is_some_and(|peer| peer.unpacks)) {
            news.pack();
        }
        control.push(own);
        let epoch = self.registry.with(Table::epoch);
        RegistryNews { from: Some(own), control, unpacks: true, epoch, ..news }
    }

    /// Returns the means by which news about upstreams are sent to the other control boxes.
    pub fn registry_peers(self: &Rc<Self>) -> Rc<Peers> {
        let (find, complete) = (self.clone(), self.clone());
        Rc::new(Peers {
            client: self.boxes.clone(),
            find: Box::new(move || find.peer_addrs()),
            complete: Box::new(move |news| complete.complete_news(news)),
        })
    }

    /// Returns whether the refusal of an announcement of `id` is to be logged. Refused
    /// announcements are sent again each second, so refusals are logged at a limited rate.
    pub fn should_log_refusal(&self, id: &str) -> bool {
        let now = clock::now();
        let mut refused = self.refused_ids.borrow_mut();
        refused.retain(|_, at| now.duration_since(*at) < REFUSAL_LOG_INTERVAL);
        if refused.contains_key(id) || refused.len() >= MAX_REFUSED_IDS {
            return false;
        }
        refused.insert(id.to_owned(), now);
        true
    }

    /// Returns whether this box knows no leader, so that it may miss upstreams that leave.
    pub fn has_no_leader(&self) -> bool {
        self.leader().is_none()
    }

    /// Returns the addresses from which this box fetches the configuration: that of the leader, or
    /// none if this box leads or knows no leader.
    pub fn config_parents(&self) -> Vec<SocketAddr> {
        let other_leader =
            self.leader().filter(|leader| leader.boxes_addr != self.settings.own.boxes_addr);
        other_leader.map(|leader| leader.boxes_addr).into_iter().collect()
    }

    /// Returns whether a failure domain is known from the settings, the configuration, or an
    /// upstream that announced itself there.
    pub fn knows_domain(&self, domain: &str) -> bool {
        self.settings.failure_domains.contains(domain)
            || self.config.view().regions.contains_key(domain)
            || self.registry.with(|table| table.alive().any(|r| r.failure_domain == domain))
    }

    /// Confirms that the configuration of this box is the newest, if it holds the lease.
    pub fn confirm_config(&self) {
        let now = clock::now();
        if self.leads() {
            self.config.confirm(now);
        }
    }

    /// Applies one encoded command of the log and returns the encoded reply.
    fn apply(&self, command: &[u8]) -> Vec<u8> {
        let reply = match rmp_serde::from_slice::<Command>(command) {
            Ok(command) => self.machine.borrow_mut().apply(command),
            Err(err) => {
                // All replicas decode the same bytes, so all of them skip this command.
                log::error!("skipped a command of the log that does not decode: {err}");
                Reply::Read
            }
        };
        encode(&reply)
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("commands, replies and the state always encode")
}
