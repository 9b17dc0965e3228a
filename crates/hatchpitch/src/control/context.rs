//! What the tasks of one control process share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use super::machine::{Command, Machine, Order, Reply};
use crate::config::feed::ConfigCell;
use crate::logging::unix_ms;
use crate::metrics::Metrics;
use crate::settings::ControlSettings;

/// Why an order was not carried out here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// Another box leads, if it is known.
    NotLeader(Option<SocketAddr>),
    /// Whether the order was or will be carried out is not known.
    Unknown(String),
}

/// Shared state of a control process.
pub struct ControlCx {
    /// Settings.
    pub settings: ControlSettings,
    /// Configuration in force here, for the feed.
    pub config: ConfigCell,
    /// Metrics.
    pub metrics: Metrics,
    machine: RefCell<Machine>,
}

impl ControlCx {
    /// Creates the shared state.
    pub fn new(settings: ControlSettings) -> Rc<Self> {
        Rc::new(Self {
            settings,
            config: ConfigCell::default(),
            metrics: Metrics::default(),
            machine: RefCell::new(Machine::new()),
        })
    }

    /// Gives access to the applied state.
    pub fn with_machine<T>(&self, read: impl FnOnce(&Machine) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Has an order carried out by the replicated log.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] if this box does not lead or lost the lead meanwhile.
    pub async fn propose(&self, order: Order) -> Result<Reply, ProposeError> {
        let reply = self.machine.borrow_mut().apply(Command { at: unix_ms(), order });
        self.config.replace(&self.machine.borrow().config);
        Ok(reply)
    }

    /// Returns whether this box leads.
    pub fn leads(&self) -> bool {
        true
    }

    /// Returns where operators reach the leader.
    pub fn leader(&self) -> Option<SocketAddr> {
        Some(self.settings.own.operators_addr)
    }

    /// Notes that the configuration here was the newest a moment ago.
    pub fn confirm_config(&self, at: Instant) {
        self.config.confirm(at);
    }
}
