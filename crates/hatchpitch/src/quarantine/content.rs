//! Content id of a request, independent of its sender and of how often it is sent.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Size of an id, in bytes: enough of the SHA-256 digest that neither accidental collisions nor
/// collisions searched for by callers are practical.
const ID_BYTES: usize = 16;

/// Truncated digest of a request's content. Requests that differ for an upstream only in their ids
/// and times have the same content id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentId(#[serde(with = "serde_bytes")] [u8; ID_BYTES]);

impl ContentId {
    /// Computes the id of the content that consists of `parts`, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // The length prefix keeps different lists of parts from hashing the same bytes.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        Self(id)
    }
}

impl TryFrom<&str> for ContentId {
    type Error = &'static str;

    /// Parses an id in the format of its [`fmt::Display`] implementation.
    fn try_from(text: &str) -> Result<Self, Self::Error> {
        const EXPECTED: &str = "32 hexadecimal digits";
        if text.len() != 2 * ID_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(EXPECTED);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| EXPECTED)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentId({self})")
    }
}
