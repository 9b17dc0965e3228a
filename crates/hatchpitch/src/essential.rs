//! Tasks whose panic terminates the process.
//!
//! When a task panics, the runtime drops it and keeps running the others. A
//! process whose log, membership or configuration task is gone still looks
//! healthy but serves from stale state, so it exits and is left to its
//! supervisor to restart.

use std::future::Future;

/// Exit code of a process that terminates because of a panic, as in the standard library.
const PANIC_EXIT_CODE: i32 = 101;

/// Spawns a task that runs for the lifetime of the process and exits the process if it panics.
pub fn spawn_essential(name: &'static str, task: impl Future<Output = ()> + 'static) {
    spawn_watched(task, move || {
        log::error!(task = name; "a task that is needed panicked; the process ends");
        std::process::exit(PANIC_EXIT_CODE);
    });
}

/// Spawns a task and calls `on_panic` if it panics.
pub fn spawn_watched(task: impl Future<Output = ()> + 'static, on_panic: impl FnOnce() + 'static) {
    let handle = compio::runtime::spawn(task);
    compio::runtime::spawn(async move {
        if let Err(compio::runtime::JoinError::Panicked(_)) = handle.await {
            on_panic();
        }
    })
    .detach();
}
