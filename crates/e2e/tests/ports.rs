//! Ports that are looked for while other tests of a program start processes.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use hatchpitch_e2e::process::{Process, no_process_starts};

/// Threads that start processes.
const STARTERS: usize = 6;
/// Times that a port is looked for and bound.
const TRIES: usize = 2_000;

/// Finds a port and gives it back.
fn find() -> SocketAddr {
    let _alone = no_process_starts();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn a_port_that_was_found_can_be_bound_while_processes_start() {
    let folder = tempfile::tempdir().unwrap();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for starter in 0..STARTERS {
            let (log, done) = (folder.path().join(starter.to_string()), &done);
            scope.spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let args = vec!["--help".to_owned()];
                    let _ = Process::start("help", "standin-app", args, log.clone()).unwrap();
                }
            });
        }
        let refused = (0..TRIES).filter(|_| TcpListener::bind(find()).is_err()).count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(refused, 0, "ports that could not be bound");
    });
}
