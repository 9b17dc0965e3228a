//! Configuration messages: outcomes for operators and deltas for boxes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::entity::{Entity, EntityKey};
use super::packed::PackedDelta;
use crate::evacuation::{Evacuations, Revision};
use crate::ids::{BoxName, ConfigNumber, Digest};
use crate::quarantine::{self, QuarantineList};

/// The outcome of submitting a fleet file. Submissions are idempotent: resubmitting a file
/// returns the same outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The content is accepted under its number.
    Accepted {
        /// The file's number.
        number: ConfigNumber,
        /// SHA-256 digest of the validated content, in hexadecimal digits.
        content: String,
    },
    /// Different content was accepted under this number before.
    Taken {
        /// The file's number.
        number: ConfigNumber,
        /// Digest of the accepted content, in hexadecimal digits.
        winner: String,
        /// Name of the operator who submitted the accepted content.
        by: String,
    },
    /// The number is not above the newest one, and no accepted content is known for it.
    Stale {
        /// The file's number.
        number: ConfigNumber,
        /// The newest accepted number.
        newest: ConfigNumber,
    },
}

/// The changes between two configuration numbers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// New and changed entities.
    pub upserts: Vec<Entity>,
    /// Keys of removed entities.
    pub removals: Vec<EntityKey>,
}

/// A long-polling request for changes, from a box to its parent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Name of the requesting box.
    pub from: BoxName,
    /// The box's configuration number, 0 for none.
    pub have: ConfigNumber,
    /// How long the parent may delay the answer to wait for a change.
    pub hold: Duration,
    /// Whether the box has no recent confirmation of its number, so that the parent answers
    /// as soon as it has one.
    #[serde(default)]
    pub unconfirmed: bool,
    /// The last entity of the previous part, if this request continues a transfer.
    #[serde(default)]
    pub after: Option<EntityKey>,
    /// The box's revision of the evacuations, 0 for none.
    #[serde(default)]
    pub evacuations: Revision,
    /// The box's revision of the quarantine list, 0 for none.
    #[serde(default)]
    pub quarantine: quarantine::Revision,
    /// Whether the box accepts compressed changes.
    #[serde(default)]
    pub unpacks: bool,
}

/// What remains to be sent after the part that an answer holds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Rest {
    /// Nothing; this is the last part.
    #[default]
    Nothing,
    /// The changes after this entity.
    After(EntityKey),
    /// All changes: the parent sent none, because its send backlog is full.
    Withheld,
}

/// The parent's answer to a [`FeedRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// The parent's configuration number.
    pub number: ConfigNumber,
    /// Digest of the complete fleet at `number`.
    pub digest: Digest,
    /// Whether `delta` starts from an empty configuration instead of the requested number.
    pub snapshot: bool,
    /// The changes, or a part of them.
    pub delta: Delta,
    /// The compressed changes, if the box accepts them; `delta` is empty in that case.
    #[serde(default)]
    pub packed: Option<PackedDelta>,
    /// The changes that are not part of this answer.
    #[serde(default)]
    pub rest: Rest,
    /// Time since the control leader confirmed that `number` and `evacuated_at` are current;
    /// `None` if it never did.
    pub confirmed_age: Option<Duration>,
    /// How long the parent delayed the answer.
    pub held: Duration,
    /// The parent's revision of the evacuations.
    #[serde(default)]
    pub evacuated_at: Revision,
    /// The evacuations, if they are newer than the requested revision.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The quarantine list, if it is newer than the requested revision.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
}
