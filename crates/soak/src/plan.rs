//! How the boxes of a run are set up: addresses, ports, failure domains and folders.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use anyhow::Context as _;

use crate::schedule::Shape;
use crate::wire::{BoxPlan, Ports};

/// Failure domains, to which boxes and upstreams go in turn.
pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Last part of the address of the first box that everybody uses.
const FIRST_IP: u8 = 10;
/// Last part of the address at which the processes of the first box listen.
const FIRST_LISTEN_IP: u8 = 110;
/// Ports of a box: as many as [`Ports`] holds.
const PORTS: u16 = 8;

/// Plans the boxes of a fleet, whose addresses begin with `net` and whose data goes to `folder`.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn plan_boxes(folder: &Path, net: [u8; 3], shape: Shape) -> anyhow::Result<Vec<BoxPlan>> {
    let ips: Vec<Ipv4Addr> = (0..shape.boxes).map(|place| ip(net, FIRST_IP, place)).collect();
    let listen_ips: Vec<Ipv4Addr> =
        (0..shape.boxes).map(|place| ip(net, FIRST_LISTEN_IP, place)).collect();
    let ports = free_ports(&[ips.as_slice(), &listen_ips].concat())?;
    let seed = |place| SocketAddr::from((ip(net, FIRST_IP, place), ports.control));
    let seeds: Vec<SocketAddr> = (0..shape.core).map(seed).collect();
    let plan = |place: usize| BoxPlan {
        domain: DOMAINS[place % DOMAINS.len()].to_owned(),
        ip: ips[place],
        listen_ip: listen_ips[place],
        ports,
        control: shape.control_boxes().contains(&place),
        data: (place < shape.core).then(|| folder.join(format!("data-{place}"))),
        first_start: true,
        seeds: seeds.clone(),
    };
    Ok((0..shape.boxes).map(plan).collect())
}

/// Returns the address of a box, that of the first one ending with `first`.
fn ip([a, b, c]: [u8; 3], first: u8, place: usize) -> Ipv4Addr {
    let place = u8::try_from(place).unwrap_or(u8::MAX);
    Ipv4Addr::new(a, b, c, first.saturating_add(place))
}

/// Finds ports in a row that are free at every address, the kernel naming the first.
fn free_ports(ips: &[Ipv4Addr]) -> anyhow::Result<Ports> {
    let at = ips.first().context("no address")?;
    loop {
        let first = TcpListener::bind((*at, 0))?.local_addr()?.port();
        let row: Vec<u16> = (first..first.saturating_add(PORTS)).collect();
        let free = |port: &u16| ips.iter().all(|ip| TcpListener::bind((*ip, *port)).is_ok());
        if !row.iter().all(free) {
            continue;
        }
        // The row is shorter if it would pass the last port.
        if let &[boxes, last_boxes, entry, control_own, front, ready, directory, control] =
            row.as_slice()
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
