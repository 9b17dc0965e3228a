//! Handling of SIGTERM, SIGINT (stop) and SIGHUP (reload settings).

use std::task::Poll;

use futures_util::future::{Either, LocalBoxFuture, ready, select};
use futures_util::{FutureExt, poll};
use hatchpitch_net::Stop;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if the signal handlers cannot be installed.
pub async fn stop_requested() -> std::io::Result<()> {
    let term = compio::signal::unix::signal(libc::SIGTERM);
    let int = compio::signal::unix::signal(libc::SIGINT);
    match select(Box::pin(term), Box::pin(int)).await {
        Either::Left((caught, _)) | Either::Right((caught, _)) => caught,
    }
}

/// Prevents SIGHUP from terminating the process from now on. Its default action would do so while
/// no listener is registered, such as before the first one and between two of them.
pub async fn prevent_sighup_termination() {
    match listen().await {
        // Dropping the last listener would restore the default action of the signal.
        Ok(listener) => std::mem::forget(listener),
        Err(err) => log::error!("cannot listen for SIGHUP: {err}"),
    }
}

/// Calls `reload` after each SIGHUP until `stop` is set. Signals in quick succession may be merged
/// into one call, which starts after the last of them.
pub fn on_sighup(reload: impl Fn() + 'static, stop: Stop) {
    compio::runtime::spawn(async move {
        let mut listener = listen().await;
        while !stop.is_set() {
            let received = match listener {
                Ok(listener) => listener.await,
                Err(err) => Err(err),
            };
            if let Err(err) = received {
                log::error!("cannot listen for SIGHUP: {err}");
                return;
            }
            // Registered before the reload, so that a signal during the reload is not lost.
            listener = listen().await;
            log::info!("received SIGHUP; reloading settings");
            reload();
        }
    })
    .detach();
}

/// Resolves when SIGHUP is received.
type Listener = LocalBoxFuture<'static, std::io::Result<()>>;

/// Registers a listener for SIGHUP and returns a future that resolves at the next one.
async fn listen() -> std::io::Result<Listener> {
    let mut listener = compio::signal::unix::signal(libc::SIGHUP).boxed_local();
    match poll!(&mut listener) {
        Poll::Ready(Err(err)) => Err(err),
        Poll::Ready(Ok(())) => Ok(ready(Ok(())).boxed_local()),
        Poll::Pending => Ok(listener),
    }
}
