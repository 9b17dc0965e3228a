//! Handling of SIGTERM, SIGINT (stop) and SIGHUP (reload settings).

use std::fs::File;
use std::io::{self, Read as _};
use std::os::fd::FromRawFd as _;

use compio::runtime::fd::PollFd;
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, select};
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
    if let Err(err) = block(libc::SIGHUP) {
        log::error!("cannot listen for SIGHUP: {err}");
    }
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

/// Registers a listener for a signal and returns a future that resolves at the next one. The signal
/// stays pending while none waits for it.
async fn listen(signal: i32) -> io::Result<Listener> {
    let set = block(signal)?;
    let flags = libc::SFD_NONBLOCK | libc::SFD_CLOEXEC;
    // SAFETY: `set` is initialized and outlives the call.
    let fd = unsafe { libc::signalfd(-1, &raw const set, flags) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just created and has no other owner.
    let file = unsafe { File::from_raw_fd(fd) };
    Ok(receive(PollFd::new(file)?).boxed_local())
}

/// Waits until a signal descriptor has a signal and takes it.
async fn receive(fd: PollFd<File>) -> io::Result<()> {
    let mut info = [0; size_of::<libc::signalfd_siginfo>()];
    loop {
        match (&*fd).read(&mut info) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => fd.read_ready().await?,
            read => return read.map(|_| ()),
        }
    }
}

/// Blocks a signal in this thread and those that it spawns from now on. It is received through a
/// descriptor and not by a handler: one that runs on a thread that is being spawned aborts the
/// process, since the standard library can't set that thread up any more.
fn block(signal: i32) -> io::Result<libc::sigset_t> {
    // SAFETY: `sigemptyset` initializes the set before it is used; the calls have no other effects
    // on memory.
    let (set, failed) = unsafe {
        let mut set = std::mem::zeroed();
        libc::sigemptyset(&raw mut set);
        libc::sigaddset(&raw mut set, signal);
        let failed = libc::pthread_sigmask(libc::SIG_BLOCK, &raw const set, std::ptr::null_mut());
        (set, failed)
    };
    if failed == 0 { Ok(set) } else { Err(io::Error::from_raw_os_error(failed)) }
}
