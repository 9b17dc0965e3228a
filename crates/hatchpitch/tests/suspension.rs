//! Leases and confirmations on a box that was suspended: a clock that stands still meanwhile would
//! make them hold on.

use std::path::Path;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use hatchpitch::config::FeedRequest;
use hatchpitch::config::feed::{self, ConfigCell};
use hatchpitch::replication::disk::Disk;
use hatchpitch::replication::task::{self, Applier};
use hatchpitch::replication::{Members, Peer, ReplicaConfig, Storage};
use hatchpitch_net::{
    BoxClient, Handler, KeyRing, ServerLimits, SigningKey, bind, clock, rmp_response, serve,
    stop_pair,
};

/// How long the machine is suspended: longer than anything holds.
const SUSPENSION: Duration = Duration::from_secs(10);
/// Time in which anything that a test waits for must happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Tests of one process share its clock.
fn alone() -> MutexGuard<'static, ()> {
    static CLOCK: Mutex<()> = Mutex::new(());
    CLOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn client() -> BoxClient {
    let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]);
    BoxClient::new(keys.unwrap()).unwrap()
}

#[test]
fn a_confirmation_is_as_old_as_the_suspension_after_it() {
    let _alone = alone();
    let cell = ConfigCell::default();
    cell.confirm(clock::now());
    clock::skip(SUSPENSION);
    assert!(cell.confirmed_age().unwrap() >= SUSPENSION, "{:?}", cell.confirmed_age());
}

#[test]
fn an_answer_that_waited_for_a_box_to_wake_confirms_nothing_of_late() {
    let _alone = alone();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler: Handler = Rc::new(move |_req, _peer| {
            async move {
                let parent = ConfigCell::default();
                parent.confirm(clock::now());
                let req = FeedRequest {
                    from: "box".to_owned(),
                    have: 0,
                    hold: Duration::ZERO,
                    unconfirmed: true,
                    after: None,
                    evacuations: 0,
                    quarantine: 0,
                    unpacks: true,
                };
                let answer = parent.answer(&req).await;
                // The asker is suspended once the answer is on its way.
                clock::skip(SUSPENSION);
                rmp_response(&answer)
            }
            .boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let cell = ConfigCell::default();
        feed::fetch(&"box".to_owned(), &cell, &client(), addr, Duration::ZERO).await;
        let age = cell.confirmed_age().expect("an old confirmation is one");
        assert!(age >= SUSPENSION, "{age:?}");
    });
}

/// Starts a log of one replica, which elects itself.
fn start_log(folder: &Path, stop: hatchpitch_net::Stop) -> task::ReplicaHandle {
    let disk = Disk::folder(folder).unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let own = Peer { name: "c".to_owned(), boxes_addr: addr, operators_addr: addr };
    let members = Members { voters: [(1, own)].into(), ..Members::default() };
    Storage::create(&disk, members).unwrap();
    let applier = Applier {
        apply: Box::new(|_| Vec::new()),
        snapshot: Box::new(Vec::new),
        restore: Box::new(|_| Ok(())),
        applied: Box::new(|| {}),
    };
    task::start(disk, 1, ReplicaConfig::default(), applier, client(), addr, stop).unwrap()
}

#[test]
fn a_leader_that_wakes_holds_no_lease_of_before() {
    let _alone = alone();
    let folder = tempfile::tempdir().unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let log = start_log(folder.path(), stop);
        let started = std::time::Instant::now();
        while !log.holds_lease() {
            assert!(started.elapsed() < PATIENCE, "nobody leads");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        clock::skip(SUSPENSION);
        assert!(!log.holds_lease(), "others may lead by now");
        // Once it has asked who leads, it leads again.
        while !log.holds_lease() {
            assert!(started.elapsed() < PATIENCE, "nobody leads any more");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Returns the lines of the Rust files of a folder that hold one of `words`.
fn lines_with(folder: &Path, words: &[&str]) -> Vec<String> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(lines_with(&path, words));
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            let text = std::fs::read_to_string(&path).unwrap();
            let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            found.extend(lines.map(|line| format!("{}: {}", path.display(), line.trim())));
        }
    }
    found
}

#[test]
fn no_daemon_reads_the_clock_that_misses_suspensions() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let folders = ["net/src", "hatchpitch/src", "entry/src", "control/src", "../platform/src"];
    let reads =
        folders.map(|folder| lines_with(&crates.join(folder), &["Instant::now", ".elapsed("]));
    let reads: Vec<String> = reads.into_iter().flatten().collect();
    // The clock itself reads it once, for the instant that it counts from.
    assert_eq!(reads.len(), 1, "{reads:#?}");
    assert!(reads[0].contains("net/src/clock.rs"), "{reads:?}");
}
