//! The log's files. Each batch of entries is one record, which is synced before it is acknowledged.
//!
//! A record consists of the payload's length, the payload's CRC, the CRC of these two fields, and
//! the payload. As each batch is a single record, a crash can only tear the last one. The file
//! `synced` contains the offset up to which the log was synced; it is not synced itself. An invalid
//! record below that offset, or one that is followed by valid records, is corruption, and the
//! replica does not start. Any other invalid record at the end is a torn write and is truncated.
//!
//! Each snapshot starts a new log file. The file's first record is a header that refers to the
//! snapshot, so that a single rename replaces both.

use std::fmt;
use std::io;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::disk::Disk;
use super::messages::{Entry, Index, LogEnd, Members, NodeId};
use super::state::{HardState, Ready, Restored, Snapshot};

/// Name of the log file.
const LOG: &str = "log";
/// Name of the file with the offset up to which the log was synced.
const SYNCED: &str = "synced";
/// Name of the file with the replica's id.
const IDENTITY: &str = "identity";
/// Name of the file that marks that a log was created under this id.
const BEGUN: &str = "begun";
/// Prefix of the names of snapshot files.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Length of a record's header, in bytes.
const HEADER_BYTES: usize = 12;
/// Maximum length of a record's payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 128 * 1024 * 1024;
/// Version of the file format.
const FORMAT_VERSION: u32 = 1;

/// Why the files cannot be read or written.
#[derive(Debug)]
pub enum StorageError {
    /// A file operation failed.
    Io {
        /// Operation that failed.
        step: &'static str,
        /// File that it was applied to.
        file: String,
        /// The system's error.
        cause: io::Error,
    },
    /// A file is corrupt; continuing could lose acknowledged entries.
    Damaged {
        /// The corrupt file.
        file: String,
        /// Offset of the invalid record, in bytes.
        offset: usize,
        /// Reason why the record is invalid.
        cause: String,
    },
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { step, file, cause } => write!(f, "{step} {file}: {cause}"),
            Self::Damaged { file, offset, cause } => write!(
                f,
                "{file} is damaged at byte {offset}: {cause}. What this box acknowledged may be \
                 lost here. Move its data folder away, start it, and run `hatchpitch repair \
                 --replace BOX` from another box"
            ),
        }
    }
}

impl std::error::Error for StorageError {}

/// First record of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LogHeader {
    format: u32,
    snapshot: LogEnd,
    members: Members,
}

/// Any later record of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Batch {
    hard: Option<HardState>,
    truncate_from: Option<Index>,
    entries: Vec<Entry>,
}

/// The files of one replica.
#[derive(Debug)]
pub struct Storage {
    disk: Disk,
    /// Length of the log file up to its last valid record, in bytes.
    end: u64,
    hard: HardState,
    snapshot: LogEnd,
    /// Number of records after the header.
    records: u64,
}

impl Storage {
    /// Returns the replica id bound to this disk, if it has one.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be read or is corrupt.
    pub fn identity(disk: &Disk) -> Result<Option<NodeId>, StorageError> {
        let Some(bytes) = disk.read(IDENTITY).map_err(|e| io_error("read", disk, IDENTITY, e))?
        else {
            return Ok(None);
        };
        match decode_record::<NodeId>(&bytes, 0) {
            Ok((id, _)) => Ok(Some(id)),
            Err(cause) => Err(damaged(disk, IDENTITY, 0, cause)),
        }
    }

    /// Binds a replica id to this disk.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be written.
    pub fn bind_identity(disk: &Disk, id: NodeId) -> Result<(), StorageError> {
        let bytes = encode_record(&id);
        disk.replace(IDENTITY, &bytes).map_err(|e| io_error("write", disk, IDENTITY, e))
    }

    /// Returns whether this disk contains a log.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the folder cannot be read, or if a log was created here and is
    /// missing: this box must not create another one under its old id.
    pub fn has_log(disk: &Disk) -> Result<bool, StorageError> {
        let names = disk.list().map_err(|e| io_error("list", disk, "", e))?;
        let has = |wanted: &str| names.iter().any(|name| name == wanted);
        if has(BEGUN) && !has(LOG) {
            return Err(damaged(disk, LOG, 0, "the log is gone".to_owned()));
        }
        Ok(has(LOG))
    }

    /// Creates an empty log with its initial members.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be written.
    pub fn create(disk: &Disk, members: Members) -> Result<(), StorageError> {
        let header =
            LogHeader { format: FORMAT_VERSION, snapshot: LogEnd { term: 0, index: 0 }, members };
        disk.replace(LOG, &encode_record(&header)).map_err(|e| io_error("write", disk, LOG, e))
    }

    /// Opens the log and truncates a torn record at its end.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Damaged`] if acknowledged entries may be lost, and
    /// [`StorageError::Io`] if a file operation fails.
    pub fn open(disk: Disk) -> Result<(Self, Restored), StorageError> {
        let bytes = disk.read(LOG).map_err(|e| io_error("read", &disk, LOG, e))?;
        let bytes = bytes.ok_or_else(|| damaged(&disk, LOG, 0, "there is no log".to_owned()))?;
        let synced = synced_end(&disk)?;
        let (header, offset) =
            decode_record::<LogHeader>(&bytes, 0).map_err(|cause| damaged(&disk, LOG, 0, cause))?;
        if header.format != FORMAT_VERSION {
            let cause = format!("format {} is not known", header.format);
            return Err(damaged(&disk, LOG, 0, cause));
        }
        let mut restored = Restored {
            hard: HardState::default(),
            snapshot: read_snapshot(&disk, &header)?,
            entries: Vec::new(),
        };
        let (end, records) = replay(&disk, &bytes, offset, synced, &mut restored)?;
        let storage =
            Self { hard: restored.hard, snapshot: header.snapshot, end: end as u64, records, disk };
        storage.truncate_tail(bytes.len())?;
        if storage.disk.read(BEGUN).is_ok_and(|mark| mark.is_none()) {
            let marked = storage.disk.replace(BEGUN, &encode_record(&true));
            marked.map_err(|e| io_error("write", &storage.disk, BEGUN, e))?;
        }
        storage.remove_old_snapshots();
        Ok((storage, restored))
    }

    /// Writes and syncs the durable part of a [`Ready`].
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if a write fails. Nothing in `ready` may then be acknowledged,
    /// and the replica has to be reopened by [`Self::open`].
    pub fn save(&mut self, ready: &Ready) -> Result<(), StorageError> {
        if let Some(hard) = ready.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = &ready.snapshot {
            return self.rotate(snapshot, &ready.entries);
        }
        if ready.hard.is_none() && ready.truncate_from.is_none() && ready.entries.is_empty() {
            return Ok(());
        }
        let batch = Batch {
            hard: ready.hard,
            truncate_from: ready.truncate_from,
            entries: ready.entries.clone(),
        };
        let bytes = encode_record(&batch);
        let written = self.disk.write_at(LOG, self.end, &bytes, true);
        written.map_err(|e| io_error("append to", &self.disk, LOG, e))?;
        self.end += bytes.len() as u64;
        self.records += 1;
        self.write_synced_mark();
        Ok(())
    }

    /// Writes a snapshot and starts a new log file with the entries that follow it.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if a write fails; the old snapshot and log remain valid then.
    pub fn rotate(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), StorageError> {
        let name = snapshot_name(snapshot.end);
        let written = self.disk.replace(&name, &encode_record(snapshot));
        written.map_err(|e| io_error("write", &self.disk, &name, e))?;
        self.snapshot = snapshot.end;
        let header = LogHeader {
            format: FORMAT_VERSION,
            snapshot: snapshot.end,
            members: snapshot.members.clone(),
        };
        let batch = Batch { hard: Some(self.hard), truncate_from: None, entries: entries.to_vec() };
        let mut bytes = encode_record(&header);
        bytes.extend(encode_record(&batch));
        // The offset in `synced` refers to the old log file. Opening the new one does not need it.
        self.disk.remove(SYNCED).map_err(|e| io_error("remove", &self.disk, SYNCED, e))?;
        let replaced = self.disk.replace(LOG, &bytes);
        replaced.map_err(|e| io_error("write", &self.disk, LOG, e))?;
        self.end = bytes.len() as u64;
        self.records = 1;
        self.write_synced_mark();
        self.remove_old_snapshots();
        Ok(())
    }

    /// Returns the length of the log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.end
    }

    /// Returns the number of records in the log file after its header.
    pub fn log_records(&self) -> u64 {
        self.records
    }

    fn write_synced_mark(&self) {
        // The file only helps to detect corruption, so a failed write is not an error.
        if let Err(err) = self.disk.write_at(SYNCED, 0, &encode_record(&self.end), false) {
            log::warn!("{}: {err}", self.disk.describe(SYNCED));
        }
    }

    fn truncate_tail(&self, len: usize) -> Result<(), StorageError> {
        if len as u64 > self.end {
            log::warn!(
                "{}: truncated {} bytes of a torn write",
                self.disk.describe(LOG),
                len as u64 - self.end
            );
            let cut = self.disk.write_at(LOG, self.end, &[], true);
            cut.map_err(|e| io_error("cut", &self.disk, LOG, e))?;
        }
        Ok(())
    }

    fn remove_old_snapshots(&self) {
        let keep = snapshot_name(self.snapshot);
        let names = self.disk.list().unwrap_or_default();
        for name in names.iter().filter(|name| name.starts_with(SNAPSHOT_PREFIX) && **name != keep)
        {
            if let Err(err) = self.disk.remove(name) {
                log::warn!("{}: {err}", self.disk.describe(name));
            }
        }
    }
}

/// Replays the records after the header. Returns the end of the last valid one and their number.
fn replay(
    disk: &Disk,
    bytes: &[u8],
    mut offset: usize,
    synced: u64,
    restored: &mut Restored,
) -> Result<(usize, u64), StorageError> {
    let mut records = 0;
    while offset < bytes.len() {
        match decode_record::<Batch>(bytes, offset) {
            Ok((batch, next)) => {
                apply_batch(batch, restored).map_err(|cause| damaged(disk, LOG, offset, cause))?;
                offset = next;
                records += 1;
            }
            Err(cause) if is_torn(bytes, offset, synced) => {
                log::warn!("{}: invalid last record at byte {offset}: {cause}", disk.describe(LOG));
                break;
            }
            Err(cause) => return Err(damaged(disk, LOG, offset, cause)),
        }
    }
    Ok((offset, records))
}

/// Returns whether an invalid record can only be one that was never synced: it lies after the
/// synced offset and no valid record follows it.
fn is_torn(bytes: &[u8], offset: usize, synced: u64) -> bool {
    let was_synced = (offset as u64) < synced;
    let valid_after = (offset + 1..bytes.len()).any(|at| decode_record::<Batch>(bytes, at).is_ok());
    !was_synced && !valid_after
}

fn apply_batch(batch: Batch, restored: &mut Restored) -> Result<(), String> {
    if let Some(hard) = batch.hard {
        restored.hard = hard;
    }
    let start = restored.snapshot.end.index;
    if let Some(from) = batch.truncate_from {
        restored.entries.retain(|entry| entry.index < from);
    }
    for entry in batch.entries {
        let expected = restored.entries.last().map_or(start, |last| last.index) + 1;
        if entry.index != expected {
            return Err(format!("entry {} stands where {expected} is due", entry.index));
        }
        restored.entries.push(entry);
    }
    Ok(())
}

fn read_snapshot(disk: &Disk, header: &LogHeader) -> Result<Snapshot, StorageError> {
    if header.snapshot.index == 0 {
        let members = header.members.clone();
        return Ok(Snapshot { end: header.snapshot, members, data: Vec::new() });
    }
    let name = snapshot_name(header.snapshot);
    let bytes = disk.read(&name).map_err(|e| io_error("read", disk, &name, e))?;
    let bytes = bytes.ok_or_else(|| damaged(disk, &name, 0, "it is missing".to_owned()))?;
    let (snapshot, _) =
        decode_record::<Snapshot>(&bytes, 0).map_err(|cause| damaged(disk, &name, 0, cause))?;
    Ok(snapshot)
}

fn synced_end(disk: &Disk) -> Result<u64, StorageError> {
    let bytes = disk.read(SYNCED).map_err(|e| io_error("read", disk, SYNCED, e))?;
    Ok(bytes.and_then(|b| decode_record::<u64>(&b, 0).ok()).map_or(0, |(end, _)| end))
}

fn snapshot_name(end: LogEnd) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}-{:020}", end.index, end.term)
}

/// Encodes a record.
fn encode_record<T: Serialize>(value: &T) -> Vec<u8> {
    let payload = rmp_serde::to_vec_named(value).expect("records can always be encoded");
    let len = u32::try_from(payload.len()).expect("proposals limit the size of records");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend(len.to_be_bytes());
    bytes.extend(crc32fast::hash(&payload).to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Decodes the record at an offset. Returns it and the offset after it.
fn decode_record<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> Result<(T, usize), String> {
    let header = bytes.get(offset..offset + HEADER_BYTES).ok_or("the header is cut off")?;
    let read_u32 = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if read_u32(8) != crc32fast::hash(&header[..8]) {
        return Err("the header's checksum is wrong".to_owned());
    }
    let len = read_u32(0) as usize;
    if len > MAX_PAYLOAD_BYTES {
        return Err(format!("a record of {len} bytes"));
    }
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start + len).ok_or("the record is cut off")?;
    if read_u32(4) != crc32fast::hash(payload) {
        return Err("the checksum is wrong".to_owned());
    }
    let value = rmp_serde::from_slice(payload).map_err(|err| err.to_string())?;
    Ok((value, start + len))
}

fn io_error(step: &'static str, disk: &Disk, file: &str, cause: io::Error) -> StorageError {
    StorageError::Io { step, file: disk.describe(file), cause }
}

fn damaged(disk: &Disk, file: &str, offset: usize, cause: String) -> StorageError {
    StorageError::Damaged { file: disk.describe(file), offset, cause }
}
