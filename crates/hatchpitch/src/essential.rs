//! Tasks without which a process is of no use.
//!
//! The runtime ends a task that panics and goes on with the others. A process
//! whose log, membership or configuration stands still looks alive and serves
//! by what it knew then; it is better ended, and started anew by whoever runs it.

use std::future::Future;

/// Exit code of a process that ends because of a panic, as the standard library uses it.
const PANIC_EXIT: i32 = 101;

/// Begins a task that lasts as long as the process, which ends if the task panics.
pub fn spawn_essential(name: &'static str, task: impl Future<Output = ()> + 'static) {
    spawn_watched(task, move || {
        log::error!(task = name; "a task that is needed panicked; the process ends");
        std::process::exit(PANIC_EXIT);
    });
}

/// Begins a task, and calls `panicked` if it panics.
pub fn spawn_watched(task: impl Future<Output = ()> + 'static, panicked: impl FnOnce() + 'static) {
    let running = compio::runtime::spawn(task);
    compio::runtime::spawn(async move {
        if let Err(compio::runtime::JoinError::Panicked(_)) = running.await {
            panicked();
        }
    })
    .detach();
}
