//! Tasks whose panic terminates the process.
//!
//! When a task panics, the runtime drops it and keeps running the others. A
//! process whose log, membership or configuration task is gone still looks
//! healthy but serves from stale state, so it exits and is left to its
//! supervisor to restart.

use std::future::Future;

use crate::lifecycle::{self, PANICKED};

/// Spawns a task that runs for the lifetime of the process and exits the process if it panics.
pub fn spawn_essential(name: &'static str, task: impl Future<Output = ()> + 'static) {
    spawn_watched(lifecycle::named(name, task), move || {
        lifecycle::end(&format!("the task {name:?}, which is needed, panicked"), PANICKED)
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
