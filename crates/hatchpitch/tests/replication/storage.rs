//! Tests of the log's files: torn writes, corruption, full disks and crashes at every operation.

use std::cell::RefCell;
use std::rc::Rc;

use hatchpitch::replication::disk::{Disk, FakeDisk};
use hatchpitch::replication::messages::LogEnd;
use hatchpitch::replication::storage::StorageError;
use hatchpitch::replication::{Entry, HardState, Payload, Ready, Snapshot, Storage};

use super::group::voters;

type Fake = Rc<RefCell<FakeDisk>>;

fn entry(index: u64) -> Entry {
    Entry { term: 1, index, payload: Payload::Command(vec![7; 20]) }
}

fn batch(from: u64, count: u64) -> Ready {
    Ready {
        hard: Some(HardState { term: 1, voted_for: Some(1) }),
        entries: (from..from + count).map(entry).collect(),
        ..Ready::default()
    }
}

fn new_disk() -> (Fake, Disk) {
    let fake = Fake::default();
    let disk = Disk::Fake(fake.clone());
    Storage::create(&disk, voters([1])).unwrap();
    (fake, disk)
}

#[test]
fn saved_state_is_restored() {
    let (_, disk) = new_disk();
    let (mut storage, _) = Storage::open(disk.clone()).unwrap();
    storage.save(&batch(1, 3)).unwrap();
    let truncate =
        Ready { truncate_from: Some(3), entries: vec![entry(3), entry(4)], ..Ready::default() };
    storage.save(&truncate).unwrap();
    let (_, restored) = Storage::open(disk).unwrap();
    assert_eq!(restored.entries.len(), 4);
    assert_eq!(restored.hard, HardState { term: 1, voted_for: Some(1) });
}

#[test]
fn torn_write_is_truncated() {
    for kept in 0..200 {
        let (fake, disk) = new_disk();
        let (mut storage, _) = Storage::open(disk.clone()).unwrap();
        storage.save(&batch(1, 2)).unwrap();
        fake.borrow_mut().fail_in(0, true);
        assert!(storage.save(&batch(3, 2)).is_err());
        fake.borrow_mut().crash(kept);
        let (mut storage, restored) = Storage::open(disk.clone()).unwrap();
        assert_eq!(restored.entries.len(), 2);
        storage.save(&batch(3, 1)).unwrap();
        let (_, restored) = Storage::open(disk).unwrap();
        assert_eq!(restored.entries.len(), 3);
    }
}

#[test]
fn corruption_of_any_synced_byte_is_an_error() {
    let (fake, disk) = new_disk();
    let (mut storage, _) = Storage::open(disk.clone()).unwrap();
    for i in 0..3 {
        storage.save(&batch(1 + i, 1)).unwrap();
    }
    let length = storage.log_bytes() as usize;
    drop(storage);
    for at in 0..length {
        fake.borrow_mut().corrupt("log", at);
        let opened = Storage::open(disk.clone());
        assert!(matches!(opened, Err(StorageError::Damaged { .. })), "byte {at}");
        fake.borrow_mut().corrupt("log", at);
    }
    let error = {
        fake.borrow_mut().corrupt("log", length - 1);
        Storage::open(disk).unwrap_err().to_string()
    };
    assert!(error.contains("hatchpitch repair"), "{error}");
}

#[test]
fn full_disk_is_an_error_and_loses_no_saved_entry() {
    let (fake, disk) = new_disk();
    let (mut storage, _) = Storage::open(disk.clone()).unwrap();
    storage.save(&batch(1, 2)).unwrap();
    fake.borrow_mut().fail_in(0, true);
    let err = storage.save(&batch(3, 2)).unwrap_err();
    assert!(matches!(err, StorageError::Io { .. }), "{err}");
    fake.borrow_mut().clear_failure();
    let (mut storage, restored) = Storage::open(disk).unwrap();
    assert_eq!(restored.entries.len(), 2);
    storage.save(&batch(3, 1)).unwrap();
}

#[test]
fn crash_at_any_operation_of_a_snapshot_loses_no_entry() {
    for crash_after in 0..10 {
        let (fake, disk) = new_disk();
        let (mut storage, _) = Storage::open(disk.clone()).unwrap();
        storage.save(&batch(1, 4)).unwrap();
        fake.borrow_mut().fail_in(crash_after, false);
        let snapshot = Snapshot {
            end: LogEnd { term: 1, index: 3 },
            members: voters([1]),
            data: vec![9; 100],
        };
        let rotated = storage.rotate(&snapshot, &[entry(4)]);
        fake.borrow_mut().crash(0);
        let (_, restored) = Storage::open(disk).unwrap();
        let end = restored.snapshot.end.index + restored.entries.len() as u64;
        assert_eq!(end, 4, "crash after operation {crash_after}");
        if rotated.is_ok() {
            assert_eq!(restored.snapshot, snapshot);
        }
    }
}

#[test]
fn identity_is_bound_to_its_disk() {
    let (_, disk) = new_disk();
    assert_eq!(Storage::identity(&disk).unwrap(), None);
    Storage::bind_identity(&disk, 42).unwrap();
    assert_eq!(Storage::identity(&disk).unwrap(), Some(42));
}

#[test]
fn missing_log_is_not_recreated_under_the_same_identity() {
    let (_, disk) = new_disk();
    drop(Storage::open(disk.clone()).unwrap());
    assert!(Storage::has_log(&disk).unwrap());
    disk.remove("log").unwrap();
    assert!(matches!(Storage::has_log(&disk), Err(StorageError::Damaged { .. })));
}
