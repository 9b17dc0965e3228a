//! Maps a connection to the box that opened it. All connections come from the same loopback
//! address, so the owner is found by socket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Time for which the socket table is cached. Reading it takes milliseconds when the machine has
/// thousands of sockets, and the kernel does not reuse ports that quickly.
const MAX_TABLE_AGE: Duration = Duration::from_millis(20);

/// Process ids of the boxes, and the local ports of their sockets.
#[derive(Debug, Default)]
pub struct Sources {
    boxes: RefCell<HashMap<u32, usize>>,
    ports: RefCell<HashMap<u16, usize>>,
    read_at: Cell<Option<Instant>>,
}

impl Sources {
    /// Registers a process as belonging to a box.
    pub fn add(&self, pid: u32, index: usize) {
        self.boxes.borrow_mut().insert(pid, index);
    }

    /// Removes a process that has exited.
    pub fn remove(&self, pid: u32) {
        self.boxes.borrow_mut().remove(&pid);
    }

    /// Returns the index of the box whose process holds the socket with local address `addr`, or
    /// `None` if no box does.
    pub fn box_of(&self, addr: SocketAddr) -> Option<usize> {
        if self.read_at.get().is_none_or(|at| at.elapsed() > MAX_TABLE_AGE) {
            *self.ports.borrow_mut() = self.read_ports();
            self.read_at.set(Some(Instant::now()));
        }
        self.ports.borrow().get(&addr.port()).copied()
    }

    /// Returns the box index for each local port that a box's process holds.
    fn read_ports(&self) -> HashMap<u16, usize> {
        let mut sockets = HashMap::new();
        for (pid, index) in self.boxes.borrow().iter() {
            sockets.extend(sockets_of(*pid).into_iter().map(|inode| (inode, *index)));
        }
        let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        let rows = table.lines().filter_map(parse_row);
        rows.filter_map(|(port, inode)| Some((port, *sockets.get(inode)?))).collect()
    }
}

/// Parses a row of `/proc/self/net/tcp`. Returns local port and inode if the local address is the
/// one that all loopback connections come from.
fn parse_row(row: &str) -> Option<(u16, &str)> {
    let mut fields = row.split_whitespace().skip(1);
    let (ip, port) = fields.next()?.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    if Ipv4Addr::from(ip.to_le_bytes()) != Ipv4Addr::LOCALHOST {
        return None;
    }
    Some((u16::from_str_radix(port, 16).ok()?, fields.nth(7)?))
}

/// Returns the inodes of the sockets that a process holds.
fn sockets_of(pid: u32) -> Vec<String> {
    let Ok(open) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return Vec::new() };
    let links = open.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let links = links.filter_map(|link| link.into_os_string().into_string().ok());
    let inode = |link: String| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
    links.filter_map(inode).collect()
}
