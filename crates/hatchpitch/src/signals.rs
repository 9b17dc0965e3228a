//! Handling of SIGTERM, SIGINT (stop) and SIGHUP (reload settings).

use std::io;
use std::task::Poll;

use futures_util::future::{Either, LocalBoxFuture, ready, select};
use futures_util::{FutureExt, poll};
use hatchpitch_net::Stop;

/// Receives SIGTERM and SIGINT. Neither terminates the process once it exists.
pub struct StopSignals {
    term: Listener,
    int: Listener,
}

impl StopSignals {
    /// Starts to receive the signals.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signal handlers cannot be installed.
    pub async fn listen() -> io::Result<Self> {
        for signal in [libc::SIGTERM, libc::SIGINT] {
            prevent_termination(signal).await?;
        }
        Ok(Self { term: listen(libc::SIGTERM).await?, int: listen(libc::SIGINT).await? })
    }

    /// Waits for the next signal. Signals in quick succession may be merged into one.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signal handlers cannot be installed.
    pub async fn next(&mut self) -> io::Result<()> {
        match select(&mut self.term, &mut self.int).await {
            Either::Left((received, _)) => {
                self.term = listen(libc::SIGTERM).await?;
                received
            }
            Either::Right((received, _)) => {
                self.int = listen(libc::SIGINT).await?;
                received
            }
        }
    }

    /// Logs further signals, which do not change a shutdown that has begun. Does not return unless
    /// the signal handlers cannot be installed.
    pub async fn log_further(mut self) {
        while let Ok(()) = self.next().await {
            log::info!("received a further stop signal; the shutdown goes on");
        }
        log::error!("cannot listen for further stop signals");
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if the signal handlers cannot be installed.
pub async fn stop_requested() -> io::Result<()> {
    StopSignals::listen().await?.next().await
}

/// Ignores SIGHUP until a listener is registered. For the initializers of an executable: a
/// supervisor may send the signal before `main`, and its default action ends the process.
pub extern "C" fn ignore_sighup() {
    // SAFETY: no handler runs that could interrupt other code.
    if unsafe { libc::signal(libc::SIGHUP, libc::SIG_IGN) } == libc::SIG_ERR {
        log::error!("cannot ignore SIGHUP: {}", io::Error::last_os_error());
    }
}

/// Prevents SIGHUP from terminating the process from now on. Its default action would do so while
/// no listener is registered, such as before the first one and between two of them.
pub async fn prevent_sighup_termination() {
    if let Err(err) = prevent_termination(libc::SIGHUP).await {
        log::error!("cannot listen for SIGHUP: {err}");
    }
}

async fn prevent_termination(signal: i32) -> io::Result<()> {
    // Dropping the last listener would restore the default action of the signal.
    std::mem::forget(listen(signal).await?);
    Ok(())
}

/// Calls `reload` after each SIGHUP until `stop` is set. Signals in quick succession may be merged
/// into one call, which starts after the last of them.
pub fn on_sighup(reload: impl Fn() + 'static, stop: Stop) {
    compio::runtime::spawn(async move {
        let mut listener = listen(libc::SIGHUP).await;
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
            listener = listen(libc::SIGHUP).await;
            log::info!("received SIGHUP; reloading settings");
            reload();
        }
    })
    .detach();
}

/// Resolves when a signal is received.
type Listener = LocalBoxFuture<'static, io::Result<()>>;

/// Registers a listener for a signal and returns a future that resolves at the next one.
async fn listen(signal: i32) -> io::Result<Listener> {
    let mut listener = compio::signal::unix::signal(signal).boxed_local();
    match poll!(&mut listener) {
        Poll::Ready(Err(err)) => Err(err),
        Poll::Ready(Ok(())) => Ok(ready(Ok(())).boxed_local()),
        Poll::Pending => Ok(listener),
    }
}
