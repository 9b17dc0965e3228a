//! What the replicated log drives: configuration, evacuations, held requests and claims, as one
//! deterministic state machine.

use serde::{Deserialize, Serialize};

use crate::claims::state::LogTime;
use crate::claims::{ClaimOutcome, ClaimRequest, ClaimTable, ClaimsConfig, SettleRequest};
use crate::config::{ApplyOutcome, ConfigChange, ConfigState};
use crate::evacuation::{EvacuationOrder, Evacuations};
use crate::ids::ConfigNumber;
use crate::quarantine::{Evidence, Ledger};

/// What an entry of the log orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Put a configuration in force.
    Config(ConfigChange),
    /// Claim a request.
    Claim(ClaimRequest),
    /// Settle a claim.
    Settle(SettleRequest),
    /// Change nothing; once applied, the state holds all that was committed before.
    Read,
    /// Begin or end the evacuation of a failure domain.
    Evacuate(EvacuationOrder),
    /// Note crashes of upstreams and what ran there.
    Crashes(Evidence),
}

/// An entry of the log: an order and the leader's clock when it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Milliseconds since 1970 at the leader.
    pub at: LogTime,
    /// The order.
    pub order: Order,
}

/// What an order led to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Outcome of a configuration; `None` if it has to be prepared anew.
    Config(Option<ApplyOutcome>),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// The claim was settled.
    Settled,
    /// Everything committed before is applied.
    Read,
    /// The evacuation is as ordered.
    Evacuated,
    /// Crashes are noted.
    Noted,
}

/// All state of the control boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Configuration.
    pub config: ConfigState,
    /// Claims.
    pub claims: ClaimTable,
    /// The text of the configuration in force, if it came with one.
    #[serde(default)]
    pub document: Option<Document>,
    /// Failure domains that get no new work.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Requests that crash upstreams.
    #[serde(default)]
    pub quarantine: Ledger,
    now: LogTime,
}

/// The text that a configuration was made from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The number of the configuration.
    pub number: ConfigNumber,
    /// The text as the operator sent it.
    pub text: serde_bytes::ByteBuf,
}

impl Machine {
    /// Creates the state before the first entry.
    pub fn new() -> Self {
        Self { claims: ClaimTable::new(ClaimsConfig::default()), ..Self::default() }
    }

    /// Applies one committed entry. Time never goes back, whatever the leaders' clocks say.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.now = self.now.max(command.at);
        self.quarantine.expire(self.now);
        match command.order {
            Order::Config(change) => Reply::Config(self.change(change)),
            Order::Claim(req) => Reply::Claim(self.claims.claim(&req, self.now)),
            Order::Settle(req) => {
                self.claims.settle(&req, self.now);
                Reply::Settled
            }
            Order::Read => Reply::Read,
            Order::Evacuate(order) => {
                self.evacuations.apply(order);
                Reply::Evacuated
            }
            Order::Crashes(evidence) => {
                self.quarantine.apply(evidence, self.now);
                Reply::Noted
            }
        }
    }

    fn change(&mut self, change: ConfigChange) -> Option<ApplyOutcome> {
        let (before, number) = (self.config.number(), change.number);
        let document = change.document.clone();
        let outcome = self.config.apply(change);
        if self.config.number() > before {
            self.document = document.map(|text| Document { number, text });
        }
        outcome
    }
}
