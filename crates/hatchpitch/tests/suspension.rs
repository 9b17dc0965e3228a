//! Tests that leases and confirmations expire on a box that was suspended. With a clock that stops
//! during suspension, they would still count as valid afterwards.

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

/// Duration of the suspension, which exceeds every lease and confirmation.
const SUSPENSION: Duration = Duration::from_secs(10);
/// Maximum time to wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Serializes the tests, which share the clock of the process.
fn lock_clock() -> MutexGuard<'static, ()> {
    static CLOCK: Mutex<()> = Mutex::new(());
    CLOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn client() -> BoxClient {
    let keys = KeyRing::new(vec![SigningKey::new("k".into(), vec![3; 32]).unwrap()]);
    BoxClient::new(keys.unwrap()).unwrap()
}

#[test]
fn confirmation_age_includes_the_suspension() {
    let _guard = lock_clock();
    let cell = ConfigCell::default();
    cell.confirm(clock::now());
    clock::skip(SUSPENSION);
    assert!(cell.confirmed_age().unwrap() >= SUSPENSION, "{:?}", cell.confirmed_age());
}

#[test]
fn answer_received_after_a_suspension_counts_from_before_it() {
    let _guard = lock_clock();
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
                // The requesting box is suspended while the answer is in flight.
                clock::skip(SUSPENSION);
                rmp_response(&answer)
            }
            .boxed_local()
        });
        compio::runtime::spawn(serve(listener, ServerLimits::default(), handler, stop)).detach();
        let cell = ConfigCell::default();
        feed::fetch(&"box".to_owned(), &cell, &client(), addr, Duration::ZERO).await;
        let age = cell.confirmed_age().expect("the answer confirms the configuration");
        assert!(age >= SUSPENSION, "{age:?}");
    });
}

/// Starts a replicated log with a single voter, which elects itself.
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
fn leader_holds_no_lease_after_a_suspension() {
    let _guard = lock_clock();
    let folder = tempfile::tempdir().unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (_stop_handle, stop) = stop_pair();
        let log = start_log(folder.path(), stop);
        let started = std::time::Instant::now();
        while !log.holds_lease() {
            assert!(started.elapsed() < EVENT_TIMEOUT, "no leader was elected");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        clock::skip(SUSPENSION);
        assert!(!log.holds_lease(), "another replica may lead after the suspension");
        // The replica is elected again after it has asked the other voters.
        while !log.holds_lease() {
            assert!(
                started.elapsed() < EVENT_TIMEOUT,
                "no leader was elected after the suspension"
            );
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Returns the lines in the Rust files below `folder` that contain one of `words`.
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
fn daemons_do_not_read_the_clock_that_stops_during_suspension() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let folders = ["net/src", "hatchpitch/src", "entry/src", "control/src", "../platform/src"];
    let reads =
        folders.map(|folder| lines_with(&crates.join(folder), &["Instant::now", ".elapsed("]));
    let reads: Vec<String> = reads.into_iter().flatten().collect();
    // The clock module reads it once, as the origin of its own instants.
    assert_eq!(reads.len(), 1, "{reads:#?}");
    assert!(reads[0].contains("net/src/clock.rs"), "{reads:?}");
}
