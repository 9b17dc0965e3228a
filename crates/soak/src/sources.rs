//! Finds which box opened a connection: all of them come from loopback addresses alike.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Age up to which a look at the sockets of all boxes is used again: with thousands of sockets on
/// the machine it costs some milliseconds, and ports are not given out anew that fast.
const LOOK_AGE: Duration = Duration::from_millis(20);

/// Processes of the boxes, by their ids, and the ports that they connect from.
#[derive(Debug, Default)]
pub struct Sources {
    boxes: RefCell<HashMap<u32, usize>>,
    ports: RefCell<HashMap<u16, usize>>,
    looked: Cell<Option<Instant>>,
}

impl Sources {
    /// Notes that a process belongs to a box.
    pub fn add(&self, pid: u32, place: usize) {
        self.boxes.borrow_mut().insert(pid, place);
    }

    /// Forgets a process that has ended.
    pub fn remove(&self, pid: u32) {
        self.boxes.borrow_mut().remove(&pid);
    }

    /// Returns the box whose process holds the socket at a local `addr`; `None` for anybody
    /// else's.
    pub fn box_of(&self, addr: SocketAddr) -> Option<usize> {
        if self.looked.get().is_none_or(|at| at.elapsed() > LOOK_AGE) {
            *self.ports.borrow_mut() = self.look();
            self.looked.set(Some(Instant::now()));
        }
        self.ports.borrow().get(&addr.port()).copied()
    }

    /// Returns the box of each port that one of them connects from.
    fn look(&self) -> HashMap<u16, usize> {
        let mut sockets = HashMap::new();
        for (pid, place) in self.boxes.borrow().iter() {
            sockets.extend(sockets_of(*pid).into_iter().map(|inode| (inode, *place)));
        }
        let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        let rows = table.lines().filter_map(local_port);
        rows.filter_map(|(port, inode)| Some((port, *sockets.get(inode)?))).collect()
    }
}

/// Returns local port and number of the socket in a row of the kernel's table, if it stands at
/// the address that all connections over loopback come from.
fn local_port(row: &str) -> Option<(u16, &str)> {
    let mut fields = row.split_whitespace().skip(1);
    let (ip, port) = fields.next()?.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    if Ipv4Addr::from(ip.to_le_bytes()) != Ipv4Addr::LOCALHOST {
        return None;
    }
    Some((u16::from_str_radix(port, 16).ok()?, fields.nth(7)?))
}

/// Returns the numbers of the sockets that a process holds.
fn sockets_of(pid: u32) -> Vec<String> {
    let Ok(open) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return Vec::new() };
    let links = open.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let links = links.filter_map(|link| link.into_os_string().into_string().ok());
    let number = |link: String| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
    links.filter_map(number).collect()
}
