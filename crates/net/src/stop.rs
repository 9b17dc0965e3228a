//! Stop signal for a group of tasks: dropping the [`StopHandle`] wakes every task that waits on a
//! clone of its [`Stop`].

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};

/// Keeps the stop signal unset; dropping it asks the tasks to stop.
#[derive(Debug)]
pub struct StopHandle {
    _tx: oneshot::Sender<()>,
}

/// Resolves once the matching [`StopHandle`] is dropped.
#[derive(Clone)]
pub struct Stop(Shared<LocalBoxFuture<'static, ()>>);

impl Stop {
    /// Waits until the tasks are asked to stop.
    pub async fn wait(&self) {
        self.0.clone().await;
    }

    /// Returns whether the tasks have been asked to stop.
    pub fn is_set(&self) -> bool {
        self.0.clone().now_or_never().is_some()
    }
}

/// Creates a stop signal and the handle that keeps it unset.
pub fn stop_pair() -> (StopHandle, Stop) {
    let (tx, rx) = oneshot::channel::<()>();
    let stopped = rx.map(|_closed| ()).boxed_local().shared();
    (StopHandle { _tx: tx }, Stop(stopped))
}
