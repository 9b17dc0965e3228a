//! Messages between a box that has a request and the owner of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::{Refusal, SlotRequest};
use crate::ids::{AttemptId, BoxName, FailureDomainName, PoolName, RunnerName};
use crate::routing::RunReport;

/// Asks an owner for a slot on one of its engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The box that asks.
    pub holder: BoxName,
    /// The pool.
    pub pool: PoolName,
    /// What is wanted.
    pub want: SlotRequest,
    /// What is asked for.
    pub ask: Ask,
}

/// What an owner is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// The load of the engine that the request would get; nothing is taken.
    Quote,
    /// A slot at once.
    Now,
    /// A slot, after a wait if it must be.
    Wait,
}

/// The owner's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// A slot, until it is released.
    Granted {
        /// The engine.
        runner: RunnerName,
        /// Where it listens.
        addr: SocketAddr,
        /// Where it stands.
        failure_domain: FailureDomainName,
        /// Whether the owner counted the request by a limit that the engine names.
        #[serde(default)]
        counted: bool,
    },
    /// The request would get a slot on an engine with this load.
    Quoted {
        /// Share of slots and memory in use, and seconds of prompts to be read.
        load: f64,
    },
    /// The request would wait about this long.
    Busy {
        /// Expected wait.
        wait: Duration,
    },
    /// The request is given up on.
    Refused(Refusal),
    /// The box owns no engine of the pool that takes work.
    NotOwner,
}

/// Gives a slot back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The run.
    pub id: AttemptId,
    /// What is known of it.
    pub report: RunReport,
}

/// Names all slots that a box holds from an owner; the owner drops what it does not name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantSync {
    /// The box.
    pub holder: BoxName,
    /// Its runs.
    pub ids: Vec<AttemptId>,
}

/// A slot whose engine has another owner than when it was granted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptedSlot {
    /// The pool.
    pub pool: PoolName,
    /// The engine.
    pub runner: RunnerName,
    /// What was asked for.
    pub want: SlotRequest,
    /// How long it has been held.
    pub age: Duration,
}

/// Tells the new owner of engines which slots the sender holds there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptRequest {
    /// The box that holds them.
    pub holder: BoxName,
    /// The slots.
    pub slots: Vec<AdoptedSlot>,
}

/// Which of the slots the box counts from now on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdoptAnswer {
    /// Their runs; the box does not own the engines of the others.
    pub adopted: Vec<AttemptId>,
}
