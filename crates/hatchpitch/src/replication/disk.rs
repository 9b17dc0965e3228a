//! The few file operations that storage needs, on a real folder or on a fake one.
//!
//! The fake keeps what was written apart from what was synced, so that tests
//! can crash it after any operation and see what a machine would.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read as _, Seek as _, SeekFrom, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Where files live.
#[derive(Debug, Clone)]
pub enum Disk {
    /// A folder of this machine.
    Folder(PathBuf),
    /// Memory, for tests.
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

    /// Lists the files.
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

    /// Reads a whole file; `None` if there is none.
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

    /// Writes `bytes` at `offset`, cuts the file behind them, and syncs if asked to.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the file may then hold a part of `bytes`.
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

    /// Writes a whole file so that after a crash either the old or the new content is there.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the old content is there then.
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

    /// Removes a file if it is there.
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

    /// Returns a name for messages.
    pub fn describe(&self, name: &str) -> String {
        match self {
            Self::Folder(path) => path.join(name).display().to_string(),
            Self::Fake(_) => name.to_owned(),
        }
    }
}

/// A disk in memory.
#[derive(Debug, Default)]
pub struct FakeDisk {
    files: BTreeMap<String, FakeFile>,
    /// Operations after which every further one fails.
    fail_after: Option<u64>,
    /// Whether failing operations leave a part of their bytes.
    tear: bool,
    operations: u64,
}

#[derive(Debug, Default, Clone)]
struct FakeFile {
    written: Vec<u8>,
    synced: Vec<u8>,
}

impl FakeDisk {
    /// Loses everything that was not synced, but for `kept` bytes of each unsynced tail.
    pub fn crash(&mut self, kept: usize) {
        self.fail_after = None;
        for file in self.files.values_mut() {
            let common = file.synced.iter().zip(&file.written).take_while(|(a, b)| a == b).count();
            if common == file.synced.len() {
                let upto = (common + kept).min(file.written.len());
                file.written.truncate(upto);
            } else {
                file.written.clone_from(&file.synced);
            }
            file.synced.clone_from(&file.written);
        }
    }

    /// Lets so many more operations through and then fails every one; `tear` leaves parts.
    pub fn fail_in(&mut self, operations: u64, tear: bool) {
        self.fail_after = Some(self.operations + operations);
        self.tear = tear;
    }

    /// Lets operations through again.
    pub fn mend(&mut self) {
        self.fail_after = None;
    }

    /// Changes one byte of a file.
    pub fn damage(&mut self, name: &str, at: usize) {
        if let Some(byte) = self.files.get_mut(name).and_then(|f| f.written.get_mut(at)) {
            *byte ^= 0x55;
        }
    }

    fn operate(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.fail_after {
            Some(limit) if self.operations > limit => {
                Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on the fake disk"))
            }
            _ => Ok(()),
        }
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8], sync: bool) -> io::Result<()> {
        let failed = self.operate();
        let taken = match (&failed, self.tear) {
            (Ok(()), _) => bytes.len(),
            (Err(_), true) => bytes.len() / 2,
            (Err(_), false) => return failed,
        };
        let file = self.files.entry(name.to_owned()).or_default();
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        file.written.truncate(offset);
        file.written.resize(offset, 0);
        file.written.extend_from_slice(&bytes[..taken]);
        failed?;
        if sync {
            file.synced.clone_from(&file.written);
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.operate()?;
        let file = FakeFile { written: bytes.to_vec(), synced: bytes.to_vec() };
        self.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.operate()?;
        self.files.remove(name);
        Ok(())
    }
}
