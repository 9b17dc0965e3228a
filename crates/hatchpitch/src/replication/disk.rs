//! The file operations that storage needs, on a real folder or on a fake disk in memory.
//!
//! The fake disk keeps written and synced content apart, so that tests can simulate a crash after
//! any operation.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Seek as _, SeekFrom, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Where the files are stored.
#[derive(Debug, Clone)]
pub enum Disk {
    /// A folder of the local file system.
    Folder(PathBuf),
    /// An in-memory disk, for tests.
    Fake(Rc<RefCell<FakeDisk>>),
}

impl Disk {
    /// Opens a folder, creating it if needed.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn folder(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self::Folder(path.to_owned()))
    }

    /// Lists the names of the files in ascending order.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn list(&self) -> io::Result<Vec<String>> {
        match self {
            Self::Folder(path) => {
                let mut names = Vec::new();
                for found in fs::read_dir(path)? {
                    names.extend(found?.file_name().into_string());
                }
                names.sort();
                Ok(names)
            }
            Self::Fake(disk) => Ok(disk.borrow().files.keys().cloned().collect()),
        }
    }

    /// Reads a whole file; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match self {
            Self::Folder(path) => match File::open(path.join(name)) {
                Ok(mut file) => {
                    let mut bytes = Vec::new();
                    file.read_to_end(&mut bytes)?;
                    Ok(Some(bytes))
                }
                Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(err) => Err(err),
            },
            Self::Fake(disk) => Ok(disk.borrow().files.get(name).map(|f| f.written.clone())),
        }
    }

    /// Writes `bytes` at `offset`, truncates the file after them, and syncs it if `sync` is set.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the file may then contain a part of `bytes`.
    pub fn write_at(&self, name: &str, offset: u64, bytes: &[u8], sync: bool) -> io::Result<()> {
        match self {
            Self::Folder(path) => {
                let options = OpenOptions::new().write(true).create(true).truncate(false).clone();
                let mut file = options.open(path.join(name))?;
                file.seek(SeekFrom::Start(offset))?;
                file.write_all(bytes)?;
                file.set_len(offset + bytes.len() as u64)?;
                if sync { file.sync_data() } else { Ok(()) }
            }
            Self::Fake(disk) => disk.borrow_mut().write_at(name, offset, bytes, sync),
        }
    }

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the old content is kept unless the final sync of the
    /// folder failed.
    pub fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = format!("{name}.new");
        match self {
            Self::Folder(path) => {
                let mut file = File::create(path.join(&temporary))?;
                file.write_all(bytes)?;
                file.sync_all()?;
                fs::rename(path.join(&temporary), path.join(name))?;
                File::open(path)?.sync_all()
            }
            Self::Fake(disk) => disk.borrow_mut().replace(name, bytes),
        }
    }

    /// Removes a file if it exists.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        match self {
            Self::Folder(path) => match fs::remove_file(path.join(name)) {
                Err(err) if err.kind() != io::ErrorKind::NotFound => Err(err),
                _ => File::open(path)?.sync_all(),
            },
            Self::Fake(disk) => disk.borrow_mut().remove(name),
        }
    }

    /// Returns the path of a file for log and error messages.
    pub fn describe(&self, name: &str) -> String {
        match self {
            Self::Folder(path) => path.join(name).display().to_string(),
            Self::Fake(_) => name.to_owned(),
        }
    }
}

/// An in-memory disk with fault injection.
#[derive(Debug, Default)]
pub struct FakeDisk {
    files: BTreeMap<String, FakeFile>,
    /// Count of operations after which every further one fails.
    fail_after: Option<u64>,
    /// Whether a failing write leaves the first half of its bytes (a torn write).
    tear: bool,
    /// Operations so far.
    operations: u64,
}

#[derive(Debug, Default, Clone)]
struct FakeFile {
    written: Vec<u8>,
    synced: Vec<u8>,
}

impl FakeDisk {
    /// Simulates a crash: discards unsynced content, except for the first `kept` bytes that were
    /// appended to a file after its last sync.
    pub fn crash(&mut self, kept: usize) {
        self.fail_after = None;
        for file in self.files.values_mut() {
            let common_len =
                file.synced.iter().zip(&file.written).take_while(|(a, b)| a == b).count();
            if common_len == file.synced.len() {
                let end = (common_len + kept).min(file.written.len());
                file.written.truncate(end);
            } else {
                file.written.clone_from(&file.synced);
            }
            file.synced.clone_from(&file.written);
        }
    }

    /// Fails every operation after the next `operations` ones; with `tear`, failing writes are
    /// torn.
    pub fn fail_in(&mut self, operations: u64, tear: bool) {
        self.fail_after = Some(self.operations + operations);
        self.tear = tear;
    }

    /// Stops failing operations.
    pub fn clear_failure(&mut self) {
        self.fail_after = None;
    }

    /// Flips bits of one byte of a file; a second call at the same offset restores it.
    pub fn corrupt(&mut self, name: &str, at: usize) {
        if let Some(byte) = self.files.get_mut(name).and_then(|f| f.written.get_mut(at)) {
            *byte ^= 0x55;
        }
    }

    /// Counts an operation; fails once the limit of [`Self::fail_in`] is exceeded.
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.fail_after {
            Some(limit) if self.operations > limit => {
                Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on the fake disk"))
            }
            _ => Ok(()),
        }
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8], sync: bool) -> io::Result<()> {
        let result = self.count_operation();
        let written_len = match (&result, self.tear) {
            (Ok(()), _) => bytes.len(),
            (Err(_), true) => bytes.len() / 2,
            (Err(_), false) => return result,
        };
        let file = self.files.entry(name.to_owned()).or_default();
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        file.written.truncate(offset);
        file.written.resize(offset, 0);
        file.written.extend_from_slice(&bytes[..written_len]);
        result?;
        if sync {
            file.synced.clone_from(&file.written);
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        let file = FakeFile { written: bytes.to_vec(), synced: bytes.to_vec() };
        self.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        self.files.remove(name);
        Ok(())
    }
}
