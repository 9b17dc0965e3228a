//! API keys of callers and operators, and signed response tokens.

use hatchpitch_net::KeyRing;
use hatchpitch_net::keys::{from_hex, to_hex};
use http::{HeaderMap, StatusCode, header};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::config::FleetView;
use crate::config::view::WorkspaceIx;
use crate::ids::{GenerationId, PoolName, RunnerName, WorkspaceName};
use crate::outcome::Problem;

/// Purpose under which response tokens are signed.
const TOKEN_PURPOSE: &str = "response-token";
/// Random bytes in a new key.
const KEY_BYTES: usize = 24;

/// Authorization scheme of the product's own listeners.
pub const BEARER: &str = "Bearer";

/// Who sent a request, by its `Authorization` field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// The request carries no key, or the configuration has no workspaces and so no keys.
    NoKey,
    /// The key belongs to this workspace.
    Workspace(WorkspaceIx),
    /// No workspace has the key.
    UnknownKey,
    /// The field is there, but holds no key of the scheme.
    Malformed,
}

impl Caller {
    /// Identifies the sender of a request. `scheme` is the authorization scheme of the listener.
    pub fn identify(view: &FleetView, headers: &HeaderMap, scheme: &str) -> Self {
        if view.workspaces.is_empty() {
            // A box that lags behind must not refuse the keys of the configuration that brings
            // the first workspaces.
            return Self::NoKey;
        }
        match credentials(headers, scheme) {
            Credentials::Absent => Self::NoKey,
            Credentials::Malformed => Self::Malformed,
            Credentials::Key(key) => {
                view.workspace_of_key(key).map_or(Self::UnknownKey, Self::Workspace)
            }
        }
    }

    /// Returns the workspace of the caller, or `None` for one without a key, which only passes if
    /// `needs_key` is not set.
    ///
    /// # Errors
    ///
    /// Returns the problem with which the request is refused.
    pub fn authorize(self, scheme: &str, needs_key: bool) -> Result<Option<WorkspaceIx>, Problem> {
        match self {
            Self::Workspace(workspace) => Ok(Some(workspace)),
            Self::NoKey if !needs_key => Ok(None),
            Self::NoKey | Self::UnknownKey | Self::Malformed => {
                Err(unknown_key(scheme, "a workspace"))
            }
        }
    }
}

/// Returns the problem of a request without a key of `holder`. It does not contain what was sent.
pub fn unknown_key(scheme: &str, holder: &str) -> Problem {
    let message = format!("Authorization: expected {scheme:?} and a key of {holder}");
    Problem::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message)
}

/// Content of the `Authorization` field of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credentials<'a> {
    /// The request has no such field.
    Absent,
    /// A key of the expected scheme.
    Key(&'a str),
    /// Another scheme, an empty key, bytes that are no text, or several fields.
    Malformed,
}

/// Reads the credentials of a request. Schemes are compared regardless of case (RFC 9110, section
/// 11.1), and blanks around the key do not belong to it.
pub fn credentials<'a>(headers: &'a HeaderMap, scheme: &str) -> Credentials<'a> {
    let mut fields = headers.get_all(header::AUTHORIZATION).iter();
    let Some(field) = fields.next() else { return Credentials::Absent };
    let text = str::from_utf8(field.as_bytes()).ok().filter(|_| fields.next().is_none());
    let parts = text.and_then(|text| text.trim().split_once(' '));
    match parts {
        Some((found, key)) if found.eq_ignore_ascii_case(scheme) => Credentials::Key(key.trim()),
        _ => Credentials::Malformed,
    }
}

/// Returns the key of a request whose scheme is [`BEARER`].
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    match credentials(headers, BEARER) {
        Credentials::Key(key) => Some(key),
        Credentials::Absent | Credentials::Malformed => None,
    }
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
