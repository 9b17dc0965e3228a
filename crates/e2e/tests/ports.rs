//! Free ports are reserved while other threads spawn processes.
//!
//! A child between `fork` and `exec` inherits listening sockets, so that a port that was just
//! released could not be bound.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use hatchpitch_e2e::process::{Process, lock_process_spawning};

/// Number of threads that spawn processes.
const SPAWNERS: usize = 6;
/// Number of ports that are reserved and bound again.
const ATTEMPTS: usize = 2_000;

/// Returns the address of a free port after releasing it.
fn find_free_port() -> SocketAddr {
    let _spawn_guard = lock_process_spawning();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn free_port_can_be_bound_while_processes_are_spawned() {
    let dir = tempfile::tempdir().unwrap();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for spawner in 0..SPAWNERS {
            let (log, done) = (dir.path().join(spawner.to_string()), &done);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let args = vec!["--help".to_owned()];
                    let _ = Process::start("help", "standin-app", args, log.clone()).unwrap();
                }
            });
        }
        let failures =
            (0..ATTEMPTS).filter(|_| TcpListener::bind(find_free_port()).is_err()).count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(failures, 0, "some ports could not be bound");
    });
}
