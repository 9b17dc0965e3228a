//! Signals that ask a process to stop.

use futures_util::future::{Either, select};

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
