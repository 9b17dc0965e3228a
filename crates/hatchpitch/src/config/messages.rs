//! Messages about configuration: outcomes for operators, deltas for boxes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::entity::{Entity, EntityKey};
use super::packed::PackedDelta;
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, Digest};
use crate::quarantine::{self, QuarantineList};

/// What became of a submitted fleet file. The same submission always gets the same outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The content is the accepted one for its number.
    Accepted {
        /// The file's number.
        number: ConfigNumber,
        /// SHA-256 of the checked content, in hexadecimal digits.
        content: String,
    },
    /// Other content was accepted first under this number.
    Taken {
        /// The file's number.
        number: ConfigNumber,
        /// Content that holds the number.
        winner: String,
        /// Who submitted the winner.
        by: String,
    },
    /// The number is below the newest one and was never accepted.
    Stale {
        /// The file's number.
        number: ConfigNumber,
        /// The newest accepted number.
        newest: ConfigNumber,
    },
}

/// What changed between two numbers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Entities that are new or changed.
    pub upserts: Vec<Entity>,
    /// Entities that are gone.
    pub removals: Vec<EntityKey>,
}

/// A box asks its parent for changes; the parent may hold the answer back for `hold`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Who asks.
    pub from: BoxName,
    /// The number that the box has, 0 for none.
    pub have: ConfigNumber,
    /// How long the parent may wait for a change.
    pub hold: Duration,
    /// Whether nobody has confirmed the number to the box of late, so that a confirmation is
    /// news to it.
    #[serde(default)]
    pub unconfirmed: bool,
    /// The last entity of the part that came before, if this request goes on with a transfer.
    #[serde(default)]
    pub after: Option<EntityKey>,
    /// The revision of the evacuations that the box has, 0 for none.
    #[serde(default)]
    pub evacuations: Revision,
    /// The revision of the list of held requests that the box has, 0 for none.
    #[serde(default)]
    pub quarantine: quarantine::Revision,
    /// Whether the box can unpack changes.
    #[serde(default)]
    pub unpacks: bool,
}

/// What follows the part of a configuration that an answer holds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Rest {
    /// Nothing.
    #[default]
    Nothing,
    /// What comes after this entity.
    After(EntityKey),
    /// Everything: the parent has too much to send at this moment.
    Withheld,
}

/// The parent's answer to a [`FeedRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// The parent's number.
    pub number: ConfigNumber,
    /// Digest of the whole fleet at `number`.
    pub digest: Digest,
    /// Whether `delta` starts from nothing instead of from the number asked with.
    pub snapshot: bool,
    /// What changed, or a part of it.
    pub delta: Delta,
    /// The same for a box that can unpack it; `delta` is empty then.
    #[serde(default)]
    pub packed: Option<PackedDelta>,
    /// What of the changes is not in `delta`.
    #[serde(default)]
    pub rest: Rest,
    /// Time since the control leader confirmed that `number` and `evacuated_at` are the newest;
    /// `None` if never.
    pub confirmed_age: Option<Duration>,
    /// How long the parent held the request.
    pub held: Duration,
    /// The parent's revision of the evacuations.
    #[serde(default)]
    pub evacuated_at: Revision,
    /// The evacuations, if they are newer than those asked with.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The list of held requests, if it is newer than the one asked with.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
}
