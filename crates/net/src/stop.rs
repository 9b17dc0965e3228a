//! Stop signals. Closing the sending side ends every task that waits on a clone.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};

/// Holds a group of tasks alive; dropping it asks them to end.
#[derive(Debug)]
pub struct StopHandle {
    _tx: oneshot::Sender<()>,
}

/// Resolves once the matching [`StopHandle`] is dropped.
#[derive(Clone)]
pub struct Stop(Shared<LocalBoxFuture<'static, ()>>);

impl Stop {
    /// Waits until the tasks are asked to end.
    pub async fn wait(&self) {
        self.0.clone().await;
    }

    /// Returns whether the tasks were asked to end.
    pub fn is_set(&self) -> bool {
        self.0.clone().now_or_never().is_some()
    }
}

/// Creates a stop signal and the handle that keeps it unset.
pub fn stop_pair() -> (StopHandle, Stop) {
    let (tx, rx) = oneshot::channel::<()>();
    let done = rx.map(|_closed| ()).boxed_local().shared();
    (StopHandle { _tx: tx }, Stop(done))
}
