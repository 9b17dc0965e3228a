//! Receives signed messages of other boxes without holding what strangers send.
//!
//! A message carries two signatures: one of its path and length, which is verified before its body
//! is read, and one of its path and body. Boxes of earlier versions send only the second one. Their
//! messages are limited in size, and all bodies that nothing has verified yet share a small pool, so
//! that strangers cannot fill the memory of the process through the port for other boxes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use serde::de::DeserializeOwned;

use crate::memory::SMALL_RESERVATION;
use crate::rpc::{
    HEAD_SIGNATURE_HEADER, decode_message, text_response, unknown_sender, verify_body, verify_head,
};
use crate::{Body, BodyError, BoxClient, Holder, read_body};

/// Largest accepted body of a message whose head is not signed, in bytes. Earlier versions send
/// their log in parts of 64 KiB; their largest other messages are forwarded requests and answers of
/// claims, whose bodies are about 1 MB at most.
pub const MAX_UNVERIFIED_BODY: usize = 2 * 1024 * 1024;
/// Total size of the bodies that are being received and not verified by either signature, in bytes.
const UNVERIFIED_POOL: usize = 8 * 1024 * 1024;
/// Part of the pool that is kept for small bodies, so that heartbeats and votes of earlier versions
/// pass while large bodies fill the rest.
const SMALL_SHARE: usize = 4;
/// Time after which a sender may try again when there was no room, in seconds.
const NO_ROOM_RETRY: HeaderValue = HeaderValue::from_static("1");

/// Bytes of bodies that nothing has verified yet; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnverifiedPool(Rc<Cell<usize>>);

impl UnverifiedPool {
    fn take(&self, bytes: usize) -> Option<UnverifiedBody> {
        let is_small = bytes <= SMALL_RESERVATION;
        let limit = if is_small {
            UNVERIFIED_POOL
        } else {
            UNVERIFIED_POOL - UNVERIFIED_POOL / SMALL_SHARE
        };
        let total = self.0.get() + bytes;
        if total > limit {
            return None;
        }
        self.0.set(total);
        Some(UnverifiedBody { pool: self.clone(), bytes })
    }
}

/// A body in the pool, until it is verified or dropped.
struct UnverifiedBody {
    pool: UnverifiedPool,
    bytes: usize,
}

impl Drop for UnverifiedBody {
    fn drop(&mut self) {
        self.pool.0.set(self.pool.0.get() - self.bytes);
    }
}

/// A message of another box whose signature is verified.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    path: String,
    body: Bytes,
}

impl ReceivedMessage {
    /// Returns the path to which it was sent.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the size of its body in bytes.
    pub fn size(&self) -> usize {
        self.body.len()
    }

    /// Decodes its body.
    ///
    /// # Errors
    ///
    /// Returns the response to send, with status 400, if the body does not decode.
    pub fn decode<Q: DeserializeOwned>(&self) -> Result<Q, Box<Response<Body>>> {
        decode_message(&self.path, &self.body)
    }
}

impl BoxClient {
    /// Receives a message of another box, whose body may have up to `max` bytes and must arrive
    /// within `limit`. The body is counted in the memory budget until the message is dropped.
    ///
    /// # Errors
    ///
    /// Returns the response to send. A message without a valid signature gets 401; if its head shows
    /// that, its body is not read.
    pub async fn receive(
        &self,
        parts: &Parts,
        body: Incoming,
        max: usize,
        limit: Duration,
    ) -> Result<ReceivedMessage, Box<Response<Body>>> {
        let path = parts.uri.path();
        let unverified = self.admit(parts, &body, max)?;
        let held = self.open_memory(Holder::BoxMessage, path);
        let body = read_body(body, max, limit, held).await.map_err(|err| refusal(path, &err))?;
        verify_body(self.keys(), path, &parts.headers, &body)?;
        drop(unverified);
        Ok(ReceivedMessage { path: path.to_owned(), body })
    }

    /// Decides by the head of a message whether its body is read. Returns its share of the pool if
    /// the head does not carry a signature.
    fn admit(
        &self,
        parts: &Parts,
        body: &Incoming,
        max: usize,
    ) -> Result<Option<UnverifiedBody>, Box<Response<Body>>> {
        let path = parts.uri.path();
        let len = body.size_hint().exact().ok_or_else(|| Box::new(unknown_sender()))?;
        let unverified = match parts.headers.get(HEAD_SIGNATURE_HEADER) {
            Some(value) => {
                let is_signed =
                    value.to_str().is_ok_and(|value| verify_head(self.keys(), path, len, value));
                if !is_signed {
                    return Err(Box::new(unknown_sender()));
                }
                None
            }
            None if len > MAX_UNVERIFIED_BODY as u64 => return Err(Box::new(unknown_sender())),
            None => Some(self.unverified.take(len as usize).ok_or_else(|| {
                let text = "too much is being received from unknown senders";
                Box::new(unavailable(text))
            })?),
        };
        if len > max as u64 {
            return Err(refusal(path, &BodyError::TooLarge(max)));
        }
        Ok(unverified)
    }
}

/// Returns the response to a message whose body cannot be received.
fn refusal(path: &str, err: &BodyError) -> Box<Response<Body>> {
    let text = format!("{path}: {err}");
    log::info!(path = path; "message of another box refused: {err}");
    Box::new(match err {
        BodyError::TooLarge(_) => text_response(StatusCode::PAYLOAD_TOO_LARGE, &text),
        BodyError::TooSlow(_) => text_response(StatusCode::REQUEST_TIMEOUT, &text),
        BodyError::NoRoom(_) => unavailable(&text),
        BodyError::Closed | BodyError::Broken(_) => text_response(StatusCode::BAD_REQUEST, &text),
    })
}

fn unavailable(text: &str) -> Response<Body> {
    let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    res.headers_mut().insert(header::RETRY_AFTER, NO_ROOM_RETRY);
    res
}
