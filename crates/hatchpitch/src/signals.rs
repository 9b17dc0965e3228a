//! Signals that ask a process to stop or to read its settings again.

use futures_util::future::{Either, select};
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

/// Calls `reload` at each SIGHUP until `stop`. Without this the signal would end the process.
pub fn on_hangup(reload: impl Fn() + 'static, stop: Stop) {
    compio::runtime::spawn(async move {
        while !stop.is_set() {
            match compio::signal::unix::signal(libc::SIGHUP).await {
                Ok(()) => {
                    log::info!("asked to read the settings again");
                    reload();
                }
                Err(err) => {
                    log::error!("SIGHUP cannot be watched: {err}");
                    return;
                }
            }
        }
    })
    .detach();
}
