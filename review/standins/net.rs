//! Sockets and a minimal HTTP/1.1 for the stand-ins: blocking, one thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::time::Duration;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    addr: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddrIn, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Makes a process that is to be started end with this one, so that none is left behind.
pub fn end_child_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        })
    };
}

/// Connects with an Ethernet segment size and a small receive window.
pub fn connect_narrow(to: SocketAddrV4, window: i32, segment: i32) -> io::Result<TcpStream> {
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in
            [(SOL_SOCKET, SO_RCVBUF, window), (IPPROTO_TCP, TCP_MAXSEG, segment)]
        {
            if setsockopt(fd, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        let addr = SockAddrIn {
            family: AF_INET as u16,
            port: to.port().to_be(),
            addr: u32::from_ne_bytes(to.ip().octets()),
            zero: [0; 8],
        };
        if connect(fd, &addr, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Returns `count` ports that are free at `ip`.
pub fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let held: Vec<std::net::TcpListener> =
        (0..count).map(|_| std::net::TcpListener::bind((ip, 0)).expect("a free port")).collect();
    held.iter().map(|l| l.local_addr().expect("bound").port()).collect()
}

/// Head of a request or response, and what its framing says of the body.
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut line = String::new();
    let mut lines = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        lines.push(text.to_owned());
    }
    if lines.is_empty() {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let start = lines.remove(0);
    let headers = lines
        .iter()
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    Ok(Head { start, headers })
}

/// Reads a body by its framing. The flag tells whether its end was marked.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let whole = read_chunks(reader, &mut body).unwrap_or(false);
        return (body, whole);
    }
    let len: usize = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let _ = reader.by_ref().take(len as u64).read_to_end(&mut body);
    let whole = body.len() == len;
    (body, whole)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(len) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// Sends one request on a connection of its own and reads the whole response.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    call_as(to, &to.to_string(), method, path, headers, body, timeout)
}

/// The same for a named host.
pub fn call_as(
    to: SocketAddrV4,
    host: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let (body, whole) = read_body(&head, &mut reader);
    if !whole {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok((head, body))
}

/// A reader that takes `rate` bytes a second, like a caller behind a slow link.
pub struct Paced {
    inner: TcpStream,
    rate: f64,
    began: std::time::Instant,
    taken: usize,
}

impl Paced {
    pub fn new(inner: TcpStream, rate: f64) -> Self {
        Self { inner, rate, began: std::time::Instant::now(), taken: 0 }
    }
}

impl Read for Paced {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let due = Duration::from_secs_f64(self.taken as f64 / self.rate);
        std::thread::sleep(due.saturating_sub(self.began.elapsed()));
        let len = buf.len().min(2_048);
        let read = self.inner.read(&mut buf[..len])?;
        self.taken += read;
        Ok(read)
    }
}
