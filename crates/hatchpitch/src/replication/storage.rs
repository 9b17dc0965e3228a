//! The log's files: one batch a record, synced before anything is acknowledged.
//!
//! A record is `length, CRC of the payload, CRC of these two` and the payload.
//! Each batch is one record, so a crash can only tear the last one. A file
//! `synced` says, without being synced itself, up to where the log was synced;
//! a bad record below it, or one that good records follow, is damage and stops
//! the process. Everything else that is bad at the end is a torn tail and is cut.
//!
//! After a snapshot a new log file begins. Its first record is a header that
//! names the snapshot, so snapshot and log change over in one rename.

use std::fmt;
use std::io;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::disk::Disk;
use super::messages::{Entry, Index, LogEnd, Members, NodeId};
use super::state::{HardState, Ready, Restored, Snapshot};

const LOG: &str = "log";
const SYNCED: &str = "synced";
const IDENTITY: &str = "identity";
/// Marks that a log was begun under this identity.
const BEGUN: &str = "begun";
const SNAPSHOT: &str = "snapshot-";
/// Bytes before the payload of a record.
const HEADER: usize = 12;
/// Largest payload of a record, in bytes.
const MAX_RECORD: usize = 128 * 1024 * 1024;
/// Version of the files' format.
const FORMAT: u32 = 1;

/// Why the files cannot be used.
#[derive(Debug)]
pub enum StorageError {
    /// The system refused an operation.
    Io {
        /// What was done.
        step: &'static str,
        /// On which file.
        file: String,
        /// The system's error.
        cause: io::Error,
    },
    /// A file is damaged, and going on could lose what was acknowledged.
    Damaged {
        /// Which file.
        file: String,
        /// Where, in bytes.
        offset: usize,
        /// What is wrong.
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

/// The first record of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LogHeader {
    format: u32,
    snapshot: LogEnd,
    members: Members,
}

/// Any further record of a log file.
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
    /// Length of the log file up to the last good record.
    end: u64,
    hard: HardState,
    snapshot: LogEnd,
    /// Records after the header.
    records: u64,
}

impl Storage {
    /// Returns the identity bound to this disk, if it has one.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be read or is damaged.
    pub fn identity(disk: &Disk) -> Result<Option<NodeId>, StorageError> {
        let Some(bytes) = disk.read(IDENTITY).map_err(|e| io_error("read", disk, IDENTITY, e))?
        else {
            return Ok(None);
        };
        match read_record::<NodeId>(&bytes, 0) {
            Ok((id, _)) => Ok(Some(id)),
            Err(cause) => Err(damaged(disk, IDENTITY, 0, cause)),
        }
    }

    /// Binds an identity to this disk.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be written.
    pub fn bind_identity(disk: &Disk, id: NodeId) -> Result<(), StorageError> {
        let bytes = record(&id);
        disk.replace(IDENTITY, &bytes).map_err(|e| io_error("write", disk, IDENTITY, e))
    }

    /// Returns whether a log was ever begun here.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the folder cannot be read, or if a log was begun here
    /// and is gone: under its old identity this box must not begin another one.
    pub fn has_log(disk: &Disk) -> Result<bool, StorageError> {
        let names = disk.list().map_err(|e| io_error("list", disk, "", e))?;
        let has = |wanted: &str| names.iter().any(|name| name == wanted);
        if has(BEGUN) && !has(LOG) {
            return Err(damaged(disk, LOG, 0, "the log is gone".to_owned()));
        }
        Ok(has(LOG))
    }

    /// Begins an empty log with its first members.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`] if the file cannot be written.
    pub fn create(disk: &Disk, members: Members) -> Result<(), StorageError> {
        let header = LogHeader { format: FORMAT, snapshot: LogEnd { term: 0, index: 0 }, members };
        disk.replace(LOG, &record(&header)).map_err(|e| io_error("write", disk, LOG, e))
    }

    /// Opens a log, cutting a torn tail.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Damaged`] if anything acknowledged may be lost.
    pub fn open(disk: Disk) -> Result<(Self, Restored), StorageError> {
        let bytes = disk.read(LOG).map_err(|e| io_error("read", &disk, LOG, e))?;
        let bytes = bytes.ok_or_else(|| damaged(&disk, LOG, 0, "there is no log".to_owned()))?;
        let synced = synced_end(&disk)?;
        let (header, offset) =
            read_record::<LogHeader>(&bytes, 0).map_err(|cause| damaged(&disk, LOG, 0, cause))?;
        if header.format != FORMAT {
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
        storage.cut_tail(bytes.len())?;
        if storage.disk.read(BEGUN).is_ok_and(|mark| mark.is_none()) {
            let marked = storage.disk.replace(BEGUN, &record(&true));
            marked.map_err(|e| io_error("write", &storage.disk, BEGUN, e))?;
        }
        storage.remove_old_snapshots();
        Ok((storage, restored))
    }

    /// Makes the durable part of a [`Ready`] durable.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`]; nothing of it may then be acknowledged, and the
    /// replica has to be started anew from [`Self::open`].
    pub fn save(&mut self, ready: &Ready) -> Result<(), StorageError> {
        if let Some(hard) = ready.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = &ready.snapshot {
            return self.begin(snapshot, &ready.entries);
        }
        if ready.hard.is_none() && ready.truncate_from.is_none() && ready.entries.is_empty() {
            return Ok(());
        }
        let batch = Batch {
            hard: ready.hard,
            truncate_from: ready.truncate_from,
            entries: ready.entries.clone(),
        };
        let bytes = record(&batch);
        let written = self.disk.write_at(LOG, self.end, &bytes, true);
        written.map_err(|e| io_error("append to", &self.disk, LOG, e))?;
        self.end += bytes.len() as u64;
        self.records += 1;
        self.note_synced();
        Ok(())
    }

    /// Begins a new log file after a snapshot, with the entries that follow it.
    ///
    /// # Errors
    ///
    /// Returns a [`StorageError`]; the old snapshot and log are in force then.
    pub fn begin(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), StorageError> {
        let name = snapshot_name(snapshot.end);
        let written = self.disk.replace(&name, &record(snapshot));
        written.map_err(|e| io_error("write", &self.disk, &name, e))?;
        self.snapshot = snapshot.end;
        let header =
            LogHeader { format: FORMAT, snapshot: snapshot.end, members: snapshot.members.clone() };
        let batch = Batch { hard: Some(self.hard), truncate_from: None, entries: entries.to_vec() };
        let mut bytes = record(&header);
        bytes.extend(record(&batch));
        // `synced` belongs to the old file; without it the new one is read just as safely.
        self.disk.remove(SYNCED).map_err(|e| io_error("remove", &self.disk, SYNCED, e))?;
        let replaced = self.disk.replace(LOG, &bytes);
        replaced.map_err(|e| io_error("write", &self.disk, LOG, e))?;
        self.end = bytes.len() as u64;
        self.records = 1;
        self.note_synced();
        self.remove_old_snapshots();
        Ok(())
    }

    /// Returns the bytes that the log file holds.
    pub fn log_bytes(&self) -> u64 {
        self.end
    }

    /// Returns the records that the log file holds after its header.
    pub fn log_records(&self) -> u64 {
        self.records
    }

    fn note_synced(&self) {
        // Only a help against damage; a failure here endangers nothing.
        if let Err(err) = self.disk.write_at(SYNCED, 0, &record(&self.end), false) {
            log::warn!("{}: {err}", self.disk.describe(SYNCED));
        }
    }

    fn cut_tail(&self, len: usize) -> Result<(), StorageError> {
        if len as u64 > self.end {
            log::warn!("{}: {} torn bytes cut", self.disk.describe(LOG), len as u64 - self.end);
            let cut = self.disk.write_at(LOG, self.end, &[], true);
            cut.map_err(|e| io_error("cut", &self.disk, LOG, e))?;
        }
        Ok(())
    }

    fn remove_old_snapshots(&self) {
        let keep = snapshot_name(self.snapshot);
        let names = self.disk.list().unwrap_or_default();
        for name in names.iter().filter(|name| name.starts_with(SNAPSHOT) && **name != keep) {
            if let Err(err) = self.disk.remove(name) {
                log::warn!("{}: {err}", self.disk.describe(name));
            }
        }
    }
}

/// Replays the records after the header; returns the end of the last good one and their number.
fn replay(
    disk: &Disk,
    bytes: &[u8],
    mut offset: usize,
    synced: u64,
    restored: &mut Restored,
) -> Result<(usize, u64), StorageError> {
    let mut records = 0;
    while offset < bytes.len() {
        match read_record::<Batch>(bytes, offset) {
            Ok((batch, next)) => {
                apply(batch, restored).map_err(|cause| damaged(disk, LOG, offset, cause))?;
                offset = next;
                records += 1;
            }
            Err(cause) if is_torn(bytes, offset, synced) => {
                log::warn!("{}: last record at byte {offset}: {cause}", disk.describe(LOG));
                break;
            }
            Err(cause) => return Err(damaged(disk, LOG, offset, cause)),
        }
    }
    Ok((offset, records))
}

/// Returns whether a bad record can only be one that was never synced.
fn is_torn(bytes: &[u8], offset: usize, synced: u64) -> bool {
    let was_synced = (offset as u64) < synced;
    let good_after = (offset + 1..bytes.len()).any(|at| read_record::<Batch>(bytes, at).is_ok());
    !was_synced && !good_after
}

fn apply(batch: Batch, restored: &mut Restored) -> Result<(), String> {
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
        read_record::<Snapshot>(&bytes, 0).map_err(|cause| damaged(disk, &name, 0, cause))?;
    Ok(snapshot)
}

fn synced_end(disk: &Disk) -> Result<u64, StorageError> {
    let bytes = disk.read(SYNCED).map_err(|e| io_error("read", disk, SYNCED, e))?;
    Ok(bytes.and_then(|b| read_record::<u64>(&b, 0).ok()).map_or(0, |(end, _)| end))
}

fn snapshot_name(end: LogEnd) -> String {
    format!("{SNAPSHOT}{:020}-{:020}", end.index, end.term)
}

fn record<T: Serialize>(value: &T) -> Vec<u8> {
    let payload = rmp_serde::to_vec_named(value).expect("records always encode");
    let len = u32::try_from(payload.len()).expect("records are bounded by the proposals");
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend(len.to_be_bytes());
    bytes.extend(crc32fast::hash(&payload).to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Reads the record at an offset; returns it and the offset behind it.
fn read_record<T: DeserializeOwned>(bytes: &[u8], offset: usize) -> Result<(T, usize), String> {
    let header = bytes.get(offset..offset + HEADER).ok_or("the header is cut off")?;
    let word = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if word(8) != crc32fast::hash(&header[..8]) {
        return Err("the header's checksum is wrong".to_owned());
    }
    let len = word(0) as usize;
    if len > MAX_RECORD {
        return Err(format!("a record of {len} bytes"));
    }
    let start = offset + HEADER;
    let payload = bytes.get(start..start + len).ok_or("the record is cut off")?;
    if word(4) != crc32fast::hash(payload) {
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
