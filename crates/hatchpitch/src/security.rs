//! API keys of callers and operators, and signed response tokens.

use hatchpitch_net::KeyRing;
use hatchpitch_net::keys::{from_hex, to_hex};
use http::{HeaderMap, header};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::ids::{GenerationId, PoolName, RunnerName, WorkspaceName};

/// Purpose under which response tokens are signed.
const TOKEN_PURPOSE: &str = "response-token";
/// Random bytes in a new key.
const KEY_BYTES: usize = 24;

/// Returns the bearer token of the `Authorization` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Generates a random key for a workspace, an operator or the boxes.
pub fn new_key() -> String {
    let mut bytes = [0_u8; KEY_BYTES];
    rand::rng().fill(&mut bytes);
    format!("hp-{}", to_hex(&bytes))
}

/// Location of a generation. Callers present it to resume a response, so that any box can do so
/// without shared state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseToken {
    /// Runner that executes the generation.
    pub runner: RunnerName,
    /// Pool of the runner.
    pub pool: PoolName,
    /// Id of the generation.
    pub generation: GenerationId,
    /// Workspace that may read the response.
    pub workspace: WorkspaceName,
    /// Whether chunks use the chat completion format.
    pub chat: bool,
}

impl ResponseToken {
    /// Encodes and signs the token.
    ///
    /// # Panics
    ///
    /// Never: all field types can be encoded.
    pub fn seal(&self, keys: &KeyRing) -> String {
        let bytes = rmp_serde::to_vec(self).expect("a response token always encodes");
        let signature = keys.sign(TOKEN_PURPOSE, &[&bytes]);
        format!("{}.{signature}", to_hex(&bytes))
    }

    /// Verifies and decodes a token; `None` if its signature or encoding is invalid.
    pub fn open(keys: &KeyRing, text: &str) -> Option<Self> {
        let (hex, signature) = text.split_once('.')?;
        let bytes = from_hex(hex)?;
        if !keys.verify(TOKEN_PURPOSE, &[&bytes], signature) {
            return None;
        }
        rmp_serde::from_slice(&bytes).ok()
    }
}
