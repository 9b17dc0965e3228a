//! Layout of the boxes of a run: addresses, ports, failure domains and folders.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use anyhow::Context as _;

use crate::schedule::FleetSize;
use crate::wire::{BoxPlan, Ports};

/// Failure domains, assigned to boxes and to upstreams in rotation.
pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Last octet of the proxy address of the first box.
const FIRST_PROXY_OCTET: u8 = 10;
/// Last octet of the listen address of the first box.
const FIRST_LISTEN_OCTET: u8 = 110;
/// Number of ports of a box, as many as [`Ports`] holds.
const PORT_COUNT: u16 = 8;

/// Lays out the boxes of a fleet with addresses in `net` and data folders below `folder`.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn plan_boxes(
    folder: &Path,
    net: [u8; 3],
    size: FleetSize,
    memory_mb: u64,
) -> anyhow::Result<Vec<BoxPlan>> {
    let ips: Vec<Ipv4Addr> =
        (0..size.boxes).map(|index| ip(net, FIRST_PROXY_OCTET, index)).collect();
    let listen_ips: Vec<Ipv4Addr> =
        (0..size.boxes).map(|index| ip(net, FIRST_LISTEN_OCTET, index)).collect();
    let ports = free_ports(&[ips.as_slice(), &listen_ips].concat())?;
    let seed = |index| SocketAddr::from((ip(net, FIRST_PROXY_OCTET, index), ports.control));
    let seeds: Vec<SocketAddr> = (0..size.log_boxes).map(seed).collect();
    let plan_box = |index: usize| BoxPlan {
        failure_domain: DOMAINS[index % DOMAINS.len()].to_owned(),
        ip: ips[index],
        listen_ip: listen_ips[index],
        ports,
        has_control: size.control_boxes().contains(&index),
        data_folder: (index < size.log_boxes).then(|| folder.join(format!("data-{index}"))),
        first_start: true,
        memory_mb,
        seeds: seeds.clone(),
    };
    Ok((0..size.boxes).map(plan_box).collect())
}

/// Returns the address in `net` of the box at `index`, where `first` is the last octet of box 0.
fn ip([a, b, c]: [u8; 3], first: u8, index: usize) -> Ipv4Addr {
    let index = u8::try_from(index).unwrap_or(u8::MAX);
    Ipv4Addr::new(a, b, c, first.saturating_add(index))
}

/// Finds consecutive ports that are free at every address. The kernel assigns the first one.
fn free_ports(ips: &[Ipv4Addr]) -> anyhow::Result<Ports> {
    let ip = ips.first().context("no address")?;
    loop {
        let first = TcpListener::bind((*ip, 0))?.local_addr()?.port();
        let candidates: Vec<u16> = (first..first.saturating_add(PORT_COUNT)).collect();
        let free = |port: &u16| ips.iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok());
        if !candidates.iter().all(free) {
            continue;
        }
        // Fewer ports remain if the range would pass port 65535.
        if let &[boxes, last_boxes, entry, control_own, front, ready, directory, control] =
            candidates.as_slice()
        {
            return Ok(Ports {
                boxes: [boxes, last_boxes],
                own: [entry, control_own],
                front,
                ready,
                directory,
                control,
            });
        }
    }
}
