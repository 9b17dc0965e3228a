//! Keys shared by the boxes, which sign messages between boxes and response tokens.
//!
//! A key ring holds several keys. The first one signs and all of them verify, so
//! a key is rotated by appending the new one on every box, then moving it to the
//! front on every box, then removing the old one.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Id of a key in a [`KeyRing`].
pub type KeyId = String;

/// A secret and its id.
#[derive(Clone)]
pub struct SigningKey {
    /// Id that is sent with each signature.
    pub id: KeyId,
    secret: Vec<u8>,
}

impl SigningKey {
    /// Shortest secret accepted, in bytes.
    pub const MIN_SECRET: usize = 16;

    /// Creates a key, or `None` if the secret is shorter than [`Self::MIN_SECRET`] or the id is not
    /// one or more ASCII letters, digits and hyphens.
    pub fn new(id: KeyId, secret: Vec<u8>) -> Option<Self> {
        let valid_id = !id.is_empty() && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        (valid_id && secret.len() >= Self::MIN_SECRET).then_some(Self { id, secret })
    }
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SigningKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Keys that a box signs and verifies with. Never empty.
#[derive(Debug, Clone)]
pub struct KeyRing(Vec<SigningKey>);

impl KeyRing {
    /// Creates a ring whose first key signs, or `None` if `keys` is empty or contains an id twice.
    pub fn new(keys: Vec<SigningKey>) -> Option<Self> {
        let has_duplicates =
            keys.iter().enumerate().any(|(i, a)| keys[..i].iter().any(|b| a.id == b.id));
        (!keys.is_empty() && !has_duplicates).then_some(Self(keys))
    }

    /// Signs `parts` for `purpose` and returns `key-id.hex`. The purpose is part of the signed
    /// data, so a signature is valid for one purpose only.
    pub fn sign(&self, purpose: &str, parts: &[&[u8]]) -> String {
        let key = &self.0[0];
        format!("{}.{}", key.id, to_hex(&mac(key, purpose, parts).finalize().into_bytes()))
    }

    /// Returns whether `signature` was made with a key of this ring for the same purpose and
    /// parts.
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], signature: &str) -> bool {
        let Some((id, hex)) = signature.split_once('.') else {
            return false;
        };
        let (Some(key), Some(tag)) = (self.0.iter().find(|key| key.id == id), from_hex(hex)) else {
            return false;
        };
        mac(key, purpose, parts).verify_slice(&tag).is_ok()
    }
}

/// Computes the HMAC over the purpose and the parts, each prefixed with its length so that
/// different splits of the same bytes differ.
fn mac(key: &SigningKey, purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC accepts any key length");
    for part in std::iter::once(&purpose.as_bytes()).chain(parts) {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hexadecimal digits; `None` if there is any other character or an odd number of digits.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let digits = text.as_bytes().chunks(2);
    digits.map(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok()).collect()
}
