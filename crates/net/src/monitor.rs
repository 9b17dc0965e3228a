//! State of a connection as the system sees it: whether it is open, and whether the peer
//! acknowledges what was sent.

use std::io;
use std::mem::{self, MaybeUninit};
use std::net::Shutdown;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::time::Duration;

use compio::net::TcpStream;
use socket2::SockRef;

/// State of a connection that is closed in both directions, as `tcpi_state` has it.
const TCP_CLOSE: u8 = 7;

/// Whether the peer of a connection acknowledges what was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgements {
    /// Whether sent bytes have not been acknowledged yet.
    pub are_pending: bool,
    /// Time since the last acknowledgement, or since the connection was established.
    pub last_age: Duration,
}

/// Returns the number of bytes that were sent on a connection and not acknowledged by its peer.
///
/// # Errors
///
/// Returns the system's error.
pub(crate) fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while `stream` lives, and the system writes one integer.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(bytes).unwrap_or(0))
}

/// Returns whether a connection is closed in both directions: it was reset, it timed out, or both
/// sides have ended it.
///
/// # Errors
///
/// Returns the system's error.
pub(crate) fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    Ok(tcp_info(stream)?.tcpi_state == TCP_CLOSE)
}

/// Returns what the system knows of a connection.
fn tcp_info(stream: &TcpStream) -> io::Result<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut len = libc::socklen_t::try_from(mem::size_of::<libc::tcp_info>())
        .map_err(|_| io::ErrorKind::InvalidInput)?;
    // SAFETY: the descriptor is open while `stream` lives, and the system writes at most `len` bytes
    // to `info`, which has that size.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut len,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, for which zeroed memory is valid.
    Ok(unsafe { info.assume_init() })
}

/// Handle to the socket of a connection that is in use elsewhere. The socket stays open until the
/// handle is dropped.
pub struct ConnectionMonitor(TcpStream);

impl ConnectionMonitor {
    pub(crate) fn new(stream: &TcpStream) -> Self {
        Self(stream.clone())
    }

    /// Returns whether the peer acknowledges what was sent.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn acknowledgements(&self) -> io::Result<Acknowledgements> {
        let info = tcp_info(&self.0)?;
        Ok(Acknowledgements {
            are_pending: info.tcpi_unacked > 0,
            last_age: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        })
    }

    /// Resets the connection, so that the system does not send again what was not acknowledged.
    pub fn reset(self) {
        let socket = SockRef::from(&self.0);
        // Closing a socket with a linger time of zero resets the connection. The shutdown ends the
        // operations that keep the socket open; it fails if the connection has ended.
        if let Err(err) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("set the linger time of a connection: {err}");
        }
        let _ = socket.shutdown(Shutdown::Both);
    }
}

impl AsFd for ConnectionMonitor {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
