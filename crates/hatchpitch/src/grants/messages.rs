//! Messages between the box that handles a request and the box that owns an engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::{Refusal, SlotRequest};
use crate::ids::{AttemptId, BoxName, FailureDomainName, PoolName, RunnerName};
use crate::routing::RunReport;

/// Asks an owner for a slot on one of its engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Name of the box that asks.
    pub holder: BoxName,
    /// Pool to take the engine from.
    pub pool: PoolName,
    /// Request that the slot is for.
    pub want: SlotRequest,
    /// Kind of answer that is asked for.
    pub ask: Ask,
}

/// Kind of answer that a [`GrantRequest`] asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// The load of the engine that the request would get; no slot is taken.
    Quote,
    /// A slot without waiting.
    Now,
    /// A slot, queueing for it if necessary.
    Wait,
}

/// Answer of an owner to a [`GrantRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// A slot was granted; it is held until it is released.
    Granted {
        /// Engine that the slot is on.
        runner: RunnerName,
        /// Address of the engine.
        addr: SocketAddr,
        /// Failure domain of the engine.
        failure_domain: FailureDomainName,
        /// Whether the owner charged the request against a rate limit announced by the engine.
        #[serde(default)]
        counted: bool,
    },
    /// A slot is available on an engine with this load.
    Quoted {
        /// Share of slots and memory in use, plus the seconds needed to prefill waiting prompts.
        load: f64,
    },
    /// No slot is available now.
    Busy {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The owner refused the request.
    Refused(Refusal),
    /// The box owns no engine of the pool that accepts work.
    NotOwner,
}

/// Releases a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Attempt that held the slot.
    pub id: AttemptId,
    /// Outcome of the run.
    pub report: RunReport,
}

/// Lists all slots that a box holds from an owner; the owner drops its other slots of that box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantSync {
    /// Name of the box that holds the slots.
    pub holder: BoxName,
    /// Attempts that hold the slots.
    pub ids: Vec<AttemptId>,
}

/// A slot whose engine has changed owner since the grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptedSlot {
    /// Pool of the engine.
    pub pool: PoolName,
    /// Engine that the slot is on.
    pub runner: RunnerName,
    /// Request that the slot was granted for.
    pub want: SlotRequest,
    /// Time since the grant.
    pub age: Duration,
}

/// Reports to the new owner of some engines the slots that the sender holds on them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptRequest {
    /// Name of the box that holds the slots.
    pub holder: BoxName,
    /// Slots on engines that the receiver owns.
    pub slots: Vec<AdoptedSlot>,
}

/// Answer to an [`AdoptRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptAnswer {
    /// Attempts whose slots the box accounts for from now on. It does not own the engines of the
    /// others.
    pub adopted: Vec<AttemptId>,
}
