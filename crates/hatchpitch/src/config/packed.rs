//! Compressed parts of a configuration, and the cache of those sent to other boxes.
//!
//! Entities of one kind differ in little but their names, so they compress well: 1,400 new routes
//! take 366 KB encoded and 20.7 KB compressed. All boxes of a fleet request the same parts at the
//! same time, so each part is encoded once and cached.

use std::collections::VecDeque;
use std::io::Write as _;

use flate2::Compression;
use flate2::write::{DeflateDecoder, DeflateEncoder};
use hatchpitch_net::{Holder, MemoryBudget, Origin, Reservation};
use serde::{Deserialize, Serialize};

use super::entity::EntityKey;
use super::feed::FEED_PATH;
use super::messages::Delta;
use super::state::Part;
use crate::ids::ConfigNumber;

/// Maximum size of a decompressed delta, in bytes: the limit of a message between boxes.
const MAX_UNPACKED: usize = 64 * 1024 * 1024;
/// Number of cached parts: enough for the parts of one change, which boxes request at different
/// speeds, and for a few boxes that are further behind.
const MAX_CACHED_PARTS: usize = 16;

/// An encoded and compressed [`Delta`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDelta(#[serde(with = "serde_bytes")] Vec<u8>);

impl PackedDelta {
    /// Encodes and compresses changes.
    ///
    /// # Panics
    ///
    /// Panics if the changes cannot be encoded, which their types rule out.
    pub fn new(delta: &Delta) -> Self {
        let encoded = rmp_serde::to_vec_named(delta).expect("entities always encode");
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(&encoded).and_then(|()| encoder.finish());
        Self(packed.expect("writing to a Vec cannot fail"))
    }

    /// Returns the compressed size, in bytes.
    pub fn packed_len(&self) -> usize {
        self.0.len()
    }

    /// Decompresses and decodes the changes, whose size `held` counts while they are decoded.
    /// Returns them together with their decompressed size.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a compressed delta, if they decompress to more than the
    /// limit of a message between boxes, or if there is no room for them.
    pub fn delta(&self, held: &Reservation) -> anyhow::Result<(Delta, usize)> {
        let mut decoder = DeflateDecoder::new(BoundedBuffer { bytes: Vec::new(), held });
        decoder.write_all(&self.0)?;
        let unpacked = decoder.finish()?.bytes;
        Ok((rmp_serde::from_slice(&unpacked)?, unpacked.len()))
    }
}

/// A buffer of at most [`MAX_UNPACKED`] bytes that a reservation counts; writing more is an error.
struct BoundedBuffer<'a> {
    bytes: Vec<u8>,
    held: &'a Reservation,
}

impl std::io::Write for BoundedBuffer<'_> {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let len = self.bytes.len() + buf.len();
        if len > MAX_UNPACKED {
            return Err(std::io::Error::other(format!("more than {MAX_UNPACKED} bytes unpacked")));
        }
        let extended = self.held.extend(&mut self.bytes, buf, MAX_UNPACKED);
        extended.map(|()| buf.len()).map_err(std::io::Error::other)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A compressed part that is ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedPart {
    /// Whether the changes start from an empty configuration.
    pub snapshot: bool,
    /// The compressed changes.
    pub delta: PackedDelta,
    /// Number of entities that are changed or removed.
    pub entities: usize,
    /// Key of the last entity; `None` if this is the last part.
    pub end: Option<EntityKey>,
}

impl From<Part> for PackedPart {
    fn from(part: Part) -> Self {
        let Part { snapshot, delta, end } = part;
        let entities = delta.upserts.len() + delta.removals.len();
        Self { snapshot, delta: PackedDelta::new(&delta), entities, end }
    }
}

/// A cache of recently requested parts of the configuration in force; the oldest is evicted.
#[derive(Debug, Default)]
pub struct PartCache(VecDeque<CachedPart>);

#[derive(Debug)]
struct CachedPart {
    key: PartKey,
    part: PackedPart,
    _held: Reservation,
}

/// Identifies a part: the number that its changes start from, and the key of the entity before it.
type PartKey = (ConfigNumber, Option<EntityKey>);

impl PartCache {
    /// Returns the part of the changes since `have` that begins after `after`; calls `make` if it
    /// is not cached. Parts for which `memory` has no room are not cached.
    pub fn get(
        &mut self,
        memory: &MemoryBudget,
        have: ConfigNumber,
        after: Option<&EntityKey>,
        make: impl FnOnce() -> Part,
    ) -> PackedPart {
        let cached = self.0.iter().find(|it| it.key.0 == have && it.key.1.as_ref() == after);
        if let Some(cached) = cached {
            return cached.part.clone();
        }
        let part = PackedPart::from(make());
        if self.0.len() >= MAX_CACHED_PARTS {
            self.0.pop_front();
        }
        let origin = Origin::path(FEED_PATH);
        match memory.reserve(Holder::Transfer, origin, part.delta.packed_len()) {
            Ok(held) => {
                let key = (have, after.cloned());
                self.0.push_back(CachedPart { key, part: part.clone(), _held: held });
            }
            Err(err) => log::debug!("part of a configuration not cached: {err}"),
        }
        part
    }

    /// Removes all parts; called when the configuration in force changes.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
