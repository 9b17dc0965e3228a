//! Signals that ask a process to stop or to read its settings again.

use std::task::Poll;

use futures_util::future::{Either, LocalBoxFuture, ready, select};
use futures_util::{FutureExt, poll};
use hatchpitch_net::Stop;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if the signals cannot be watched.
pub async fn stop_requested() -> std::io::Result<()> {
    let term = compio::signal::unix::signal(libc::SIGTERM);
    let int = compio::signal::unix::signal(libc::SIGINT);
    match select(Box::pin(term), Box::pin(int)).await {
        Either::Left((caught, _)) | Either::Right((caught, _)) => caught,
    }
}

/// Keeps SIGHUP from ending the process, from now on: by default it does, before anybody listens
/// for it and between two listenings.
pub async fn hold_hangups() {
    match listen().await {
        // Given up, the last listener would give the signal its default action back.
        Ok(listener) => std::mem::forget(listener),
        Err(err) => log::error!("SIGHUP cannot be watched: {err}"),
    }
}

/// Calls `reload` after each SIGHUP until `stop`. Signals that come close together may lead to one
/// call, which begins after the last of them.
pub fn on_hangup(reload: impl Fn() + 'static, stop: Stop) {
    compio::runtime::spawn(async move {
        let mut listener = listen().await;
        while !stop.is_set() {
            let heard = match listener {
                Ok(listener) => listener.await,
                Err(err) => Err(err),
            };
            if let Err(err) = heard {
                log::error!("SIGHUP cannot be watched: {err}");
                return;
            }
            // A signal that comes while the settings are read is heard of by the next listener.
            listener = listen().await;
            log::info!("asked to read the settings again");
            reload();
        }
    })
    .detach();
}

type Listener = LocalBoxFuture<'static, std::io::Result<()>>;

/// Begins to listen for SIGHUP; what is returned resolves with the next one.
async fn listen() -> std::io::Result<Listener> {
    let mut listener = compio::signal::unix::signal(libc::SIGHUP).boxed_local();
    match poll!(&mut listener) {
        Poll::Ready(Err(err)) => Err(err),
        Poll::Ready(Ok(())) => Ok(ready(Ok(())).boxed_local()),
        Poll::Pending => Ok(listener),
    }
}
