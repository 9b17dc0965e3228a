//! What the tasks of one control process share.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::lock::Mutex;
use hatchpitch_net::{BoxClient, clock};

use super::machine::{Command, Machine, Order, Reply};
use crate::config::feed::ConfigCell;
use crate::ids::RunnerName;
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

/// Why an order was not carried out here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// Another box leads, if it is known; nothing was begun.
    NotLeader(Option<Peer>),
    /// Whether the order was or will be carried out is not known.
    Unknown(String),
}

/// Time in which one line is written about refused announcements of one id.
const REFUSAL_LINE_PERIOD: Duration = Duration::from_secs(60);
/// Ids about whose refused announcements lines are written in that time.
const MAX_REFUSED: usize = 256;
/// Time after which a control box that says nothing is no longer called.
const FORGET_CONTROL: Duration = Duration::from_secs(20);

/// What is known of another control box.
#[derive(Debug, Clone, Copy)]
struct KnownControl {
    /// When it was heard from or named last.
    heard: Instant,
    /// Whether it can unpack records of upstreams.
    unpacks: bool,
    /// Life of its table of upstreams, if it has said so.
    epoch: Epoch,
}

/// Shared state of a control process.
pub struct ControlCx {
    /// Settings.
    pub settings: ControlSettings,
    /// Identity of this box's disk.
    pub id: NodeId,
    /// Configuration in force here, for the feed.
    pub config: ConfigCell,
    /// Metrics.
    pub metrics: Metrics,
    /// Client for other boxes.
    pub boxes: BoxClient,
    /// Whether a leader has sent this box its log before it had one.
    pub invited: Cell<bool>,
    /// Whether a change of who takes part is under way here.
    pub joining: Cell<bool>,
    /// Held while a configuration is decoded and submitted: each takes several times its size in
    /// memory, so they go one after the other.
    pub submitting: Mutex<()>,
    /// Upstreams that announce themselves.
    pub registry: Rc<RegistryCell>,
    /// News about upstreams that wait to be passed on.
    pub outbox: Rc<Outbox>,
    /// Large messages of the log that arrive in parts.
    pub log_parts: RefCell<Reassembler>,
    /// What a box that takes part told last; only kept by a box without a disk.
    core: RefCell<Option<Hello>>,
    /// Control boxes that were heard of.
    known: RefCell<BTreeMap<SocketAddr, KnownControl>>,
    /// Ids whose announcements were refused, and when a line was written about it.
    refused: RefCell<BTreeMap<RunnerName, Instant>>,
    machine: RefCell<Machine>,
    log: OnceCell<ReplicaHandle>,
}

impl ControlCx {
    /// Creates the shared state; the log begins later.
    pub fn new(settings: ControlSettings, id: NodeId, boxes: BoxClient) -> Rc<Self> {
        Rc::new(Self {
            settings,
            id,
            config: ConfigCell::new(boxes.backlog().clone()),
            metrics: Metrics::default(),
            boxes,
            invited: Cell::new(false),
            joining: Cell::new(false),
            submitting: Mutex::new(()),
            registry: Rc::new(RegistryCell::new(rand::random())),
            outbox: Rc::default(),
            log_parts: RefCell::default(),
            core: RefCell::default(),
            known: RefCell::default(),
            refused: RefCell::default(),
            machine: RefCell::new(Machine::new()),
            log: OnceCell::new(),
        })
    }

    /// Gives access to the applied state.
    pub fn with_machine<T>(&self, read: impl FnOnce(&Machine) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Sets the log once it has begun.
    pub fn begin_log(&self, log: ReplicaHandle) {
        // A second log cannot begin: the daemon starts one.
        let _ = self.log.set(log);
    }

    /// Returns the log, once it has begun.
    pub fn log(&self) -> Option<&ReplicaHandle> {
        self.log.get()
    }

    /// Returns who takes part in the log, as far as is known here.
    pub fn members(&self) -> Option<Members> {
        let told = || self.core.borrow().as_ref().and_then(|hello| hello.members.clone());
        self.log_members().or_else(told)
    }

    fn log_members(&self) -> Option<Members> {
        self.log().map(|log| log.with(|replica| replica.members().clone()))
    }

    /// Notes what a box that takes part told, for a box that has no disk.
    pub fn note_core(&self, hello: Hello) {
        *self.core.borrow_mut() = Some(hello);
    }

    /// Returns how this box introduces itself to its peers.
    pub fn hello(&self) -> Hello {
        Hello {
            name: self.settings.own.name.clone(),
            id: self.id,
            members: self.log_members(),
            leader: self.leader(),
            without_disk: self.settings.data_folder.is_none(),
        }
    }

    /// Returns the functions through which the log drives the state.
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
                let quarantine_changed = applied.config.set_quarantine(machine.quarantine.list());
                if applied.config.number() != before || evacuations_changed || quarantine_changed {
                    applied.registry.wake();
                }
            }),
        }
    }

    /// Has an order carried out by the replicated log.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] if this box does not lead or lost the lead meanwhile.
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

    /// Returns whether this box was elected to lead; it may not hold the lease yet, or any more.
    pub fn is_elected(&self) -> bool {
        self.log().is_some_and(|log| log.with(|replica| replica.leads()))
    }

    /// Returns whether this box leads.
    pub fn leads(&self) -> bool {
        self.log().is_some_and(ReplicaHandle::holds_lease)
    }

    /// Gives the lead to another control box, if this one leads; returns whether one was asked.
    pub async fn hand_over(&self) -> bool {
        match self.log() {
            Some(log) => log.hand_over().await,
            None => false,
        }
    }

    /// Returns the leader, as far as it is known here.
    pub fn leader(&self) -> Option<Peer> {
        if self.settings.data_folder.is_none() {
            return self.core.borrow().as_ref().and_then(|hello| hello.leader.clone());
        }
        self.log()?.with(|replica| replica.members().get(replica.leader()?).cloned())
    }

    /// Returns where other boxes reach the control boxes, this one left out: those that take
    /// part, and those of the settings.
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        let own = self.settings.own.boxes_addr;
        let members = self.members().unwrap_or_default();
        let members = members.all().map(|(_, peer)| peer.boxes_addr).collect::<Vec<_>>();
        let settings = self.settings.peers.iter().map(|peer| peer.boxes_addr);
        let known: Vec<SocketAddr> = self.known.borrow().keys().copied().collect();
        let mut addrs: Vec<SocketAddr> = members.into_iter().chain(settings).chain(known).collect();
        addrs.retain(|addr| *addr != own);
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }

    /// Returns where other boxes reach the replicas that take part, this one included.
    pub fn core_addrs(&self) -> Vec<SocketAddr> {
        match self.members() {
            Some(members) => members.all().map(|(_, peer)| peer.boxes_addr).collect(),
            None => self.peer_addrs(),
        }
    }

    /// Takes in who sent news, and the control boxes that it knows. Returns the sender if its table
    /// is new, so that it lacks what this box knows.
    pub fn note_control(&self, news: &RegistryNews) -> Option<SocketAddr> {
        let heard = clock::now();
        let mut known = self.known.borrow_mut();
        known.retain(|_, known| heard.duration_since(known.heard) < FORGET_CONTROL);
        let (unpacks, epoch) = (news.unpacks, news.epoch);
        let before =
            news.from.and_then(|from| known.insert(from, KnownControl { heard, unpacks, epoch }));
        let own = self.settings.own.boxes_addr;
        for addr in news.control.iter().filter(|addr| **addr != own) {
            // Only what a box says itself keeps it known; being named makes it heard of once.
            known.entry(*addr).or_insert(KnownControl { heard, unpacks: false, epoch: 0 });
        }
        news.from.filter(|_| epoch != 0 && before.is_none_or(|known| known.epoch != epoch))
    }

    /// Adds to news who sends it and which control boxes it knows, and packs the records if all
    /// of these can unpack them.
    pub fn signed_news(&self, mut news: RegistryNews) -> RegistryNews {
        let own = self.settings.own.boxes_addr;
        let mut control = self.peer_addrs();
        let known = self.known.borrow();
        if control.iter().all(|peer| known.get(peer).is_some_and(|known| known.unpacks)) {
            news.pack();
        }
        control.push(own);
        let epoch = self.registry.with(Table::epoch);
        RegistryNews { from: Some(own), control, unpacks: true, epoch, ..news }
    }

    /// Returns how news about upstreams reach the other control boxes.
    pub fn registry_peers(self: &Rc<Self>) -> Rc<Peers> {
        let (find, complete) = (self.clone(), self.clone());
        Rc::new(Peers {
            client: self.boxes.clone(),
            find: Box::new(move || find.peer_addrs()),
            complete: Box::new(move |news| complete.signed_news(news)),
        })
    }

    /// Returns whether no announcement under this id was refused of late, so that a line about it
    /// is due: whoever sends what is refused sends it again each second.
    pub fn is_new_refusal(&self, id: &str) -> bool {
        let now = clock::now();
        let mut refused = self.refused.borrow_mut();
        refused.retain(|_, at| now.duration_since(*at) < REFUSAL_LINE_PERIOD);
        if refused.contains_key(id) || refused.len() >= MAX_REFUSED {
            return false;
        }
        refused.insert(id.to_owned(), now);
        true
    }

    /// Returns whether this box is out of touch with the core, so that it may not hear of
    /// upstreams that leave.
    pub fn is_out_of_touch(&self) -> bool {
        self.leader().is_none()
    }

    /// Returns where to follow the configuration: the leader, unless this box leads itself.
    pub fn config_parents(&self) -> Vec<SocketAddr> {
        let others =
            self.leader().filter(|leader| leader.boxes_addr != self.settings.own.boxes_addr);
        others.map(|leader| leader.boxes_addr).into_iter().collect()
    }

    /// Returns whether a failure domain is known: by the settings, the configuration, or an
    /// upstream that announced itself there.
    pub fn knows_domain(&self, domain: &str) -> bool {
        self.settings.failure_domains.contains(domain)
            || self.config.view().regions.contains_key(domain)
            || self.registry.with(|table| table.alive().any(|r| r.failure_domain == domain))
    }

    /// While this box holds the lease, notes that its configuration is the newest.
    pub fn confirm_config(&self) {
        let now = clock::now();
        if self.leads() {
            self.config.confirm(now);
        }
    }

    fn apply(&self, command: &[u8]) -> Vec<u8> {
        let reply = match rmp_serde::from_slice::<Command>(command) {
            Ok(command) => self.machine.borrow_mut().apply(command),
            Err(err) => {
                // Every replica reads the same bytes with the same result.
                log::error!("a command of the log does not decode: {err}");
                Reply::Read
            }
        };
        encode(&reply)
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("commands, replies and the state always encode")
}
