//! Names a request by what it is, whoever sends it and however often.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes of a digest that are kept: two contents with one name are out of reach of chance and of
/// callers who look for them.
const KEPT: usize = 16;

/// Name of a request's content; two requests that an upstream could not tell apart but by their
/// ids and times have one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentId(#[serde(with = "serde_bytes")] [u8; KEPT]);

impl ContentId {
    /// Names the content that has these parts, in this order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // With their lengths, so that no two lists of parts run into the same bytes.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut kept = [0; KEPT];
        kept.copy_from_slice(&digest[..KEPT]);
        Self(kept)
    }
}

impl TryFrom<&str> for ContentId {
    type Error = &'static str;

    /// Reads a name as [`fmt::Display`] writes it.
    fn try_from(text: &str) -> Result<Self, Self::Error> {
        const EXPECTED: &str = "32 hexadecimal digits";
        if text.len() != 2 * KEPT || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
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
