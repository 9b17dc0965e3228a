//! The replicated state machine: configuration, evacuations, held requests and claims.
//!
//! Applying the same entries gives the same state on every replica.

use serde::{Deserialize, Serialize};

use crate::claims::state::LogTime;
use crate::claims::{ClaimOutcome, ClaimRequest, ClaimTable, ClaimsConfig, SettleRequest};
use crate::config::{ApplyOutcome, ConfigChange, ConfigState};
use crate::evacuation::{EvacuationOrder, Evacuations};
use crate::ids::ConfigNumber;
use crate::quarantine::{Evidence, Ledger};

/// Operation of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Puts a configuration in force.
    Config(ConfigChange),
    /// Claims a request.
    Claim(ClaimRequest),
    /// Settles a claim.
    Settle(SettleRequest),
    /// Changes nothing. Once it is applied, the state reflects every entry committed before it.
    Read,
    /// Begins or ends the evacuation of a failure domain.
    Evacuate(EvacuationOrder),
    /// Records crashes of upstreams and the requests that ran there, and requests that were
    /// answered.
    Crashes(Evidence),
}

/// Payload of a log entry: an order and the leader's time when it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Unix time in milliseconds, by the leader's clock.
    pub at: LogTime,
    /// Operation to apply.
    pub order: Order,
}

/// Result of an applied order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Outcome of a configuration; `None` if the change has to be prepared again from the newest
    /// configuration.
    Config(Option<ApplyOutcome>),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// The claim was settled.
    Settled,
    /// Everything committed before is applied.
    Read,
    /// The evacuation is begun or ended, as ordered.
    Evacuated,
    /// The evidence is recorded.
    Noted,
}

/// Replicated state of the control boxes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Configuration in force and the accepted numbers.
    pub config: ConfigState,
    /// Claims of requests.
    pub claims: ClaimTable,
    /// Text of the configuration in force, if it was submitted with one.
    #[serde(default)]
    pub document: Option<Document>,
    /// Failure domains that receive no new work.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Requests that crashed upstreams.
    #[serde(default)]
    pub quarantine: Ledger,
    /// Time of the newest applied entry; it never goes back.
    now: LogTime,
}

/// Text from which a configuration was parsed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// Text as the operator sent it.
    pub text: serde_bytes::ByteBuf,
}

impl Machine {
    /// Creates the state that precedes the first log entry.
    pub fn new() -> Self {
        Self { claims: ClaimTable::new(ClaimsConfig::default()), ..Self::default() }
    }

    /// Applies one committed entry. The time of the state machine never goes back, even if the
    /// clock of a new leader is behind that of an earlier one.
    pub fn apply(&mut self, command: Command) -> Reply {
        self.now = self.now.max(command.at);
        self.quarantine.expire(self.now);
        match command.order {
            Order::Config(change) => Reply::Config(self.apply_config(change)),
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

    /// Applies a configuration and keeps its document if the configuration came into force.
    fn apply_config(&mut self, change: ConfigChange) -> Option<ApplyOutcome> {
        let (previous, number) = (self.config.number(), change.number);
        let document = change.document.clone();
        let outcome = self.config.apply(change);
        if self.config.number() > previous {
            self.document = document.map(|text| Document { number, text });
        }
        outcome
    }
}
