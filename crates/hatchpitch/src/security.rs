//! Callers' and operators' keys, and the signed token that names a response.

use hatchpitch_net::KeyRing;
use hatchpitch_net::keys::{from_hex, to_hex};
use http::{HeaderMap, header};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::ids::{GenerationId, PoolName, RunnerName, WorkspaceName};

const TOKEN_PURPOSE: &str = "response-token";
/// Bytes of randomness in a new key.
const KEY_BYTES: usize = 24;

/// Returns the bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Makes a new random key for a workspace, an operator or the boxes.
pub fn new_key() -> String {
    let mut bytes = [0_u8; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    format!("hp-{}", to_hex(&bytes))
}

/// Where a response is generated, so that any box can resume it without shared state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseToken {
    /// The runner that holds the generation.
    pub runner: RunnerName,
    /// The runner's pool.
    pub pool: PoolName,
    /// The generation.
    pub generation: GenerationId,
    /// The workspace that may read it.
    pub workspace: WorkspaceName,
    /// Whether chunks have the chat shape.
    pub chat: bool,
}

impl ResponseToken {
    /// Encodes and signs the token.
    ///
    /// # Panics
    ///
    /// Never: the token's types always encode.
    pub fn seal(&self, keys: &KeyRing) -> String {
        let bytes = rmp_serde::to_vec(self).expect("a response token always encodes");
        let signature = keys.sign(TOKEN_PURPOSE, &[&bytes]);
        format!("{}.{signature}", to_hex(&bytes))
    }

    /// Verifies and decodes a token; `None` if it was not made by a box of the fleet.
    pub fn open(keys: &KeyRing, text: &str) -> Option<Self> {
        let (hex, signature) = text.split_once('.')?;
        let bytes = from_hex(hex)?;
        if !keys.verify(TOKEN_PURPOSE, &[&bytes], signature) {
            return None;
        }
        rmp_serde::from_slice(&bytes).ok()
    }
}
