//! Starts the project's own programs on loopback addresses, as the deploy file says.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net;

/// Ports, the same at every machine.
pub struct Ports {
    pub boxes: [u16; 2],
    pub own: [u16; 2],
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Whether it has a disk and so takes part in the log.
    pub has_disk: bool,
    /// Number of the disk: a lost one is replaced by an empty folder.
    pub disk: u32,
    pub entry: Option<Child>,
    pub control: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub ports: Ports,
    pub seeds: Vec<usize>,
    pub folder: PathBuf,
    program: PathBuf,
}

impl Fleet {
    /// Prepares machines; nothing runs yet. `disks` tells which of them have one.
    pub fn new(disks: &[bool]) -> Self {
        let pid = std::process::id().to_be_bytes();
        let ip = |at: usize| Ipv4Addr::new(127, 64 | (pid[2] & 63), pid[3], 1 + at as u8);
        let p = net::free_ports(ip(0), 8);
        let (low, high) = adjacent_ports(ip(0));
        let ports = Ports {
            boxes: [low, high],
            own: [p[2], p[3]],
            front: p[4],
            ready: p[5],
            directory: p[6],
            control: p[7],
        };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let machines = disks.iter().enumerate().map(|(at, has_disk)| Machine {
            ip: ip(at),
            zone: format!("zone-{}", at % 3),
            has_disk: *has_disk,
            disk: 0,
            entry: None,
            control: None,
        });
        let program = PathBuf::from("target/release/hatchpitch-platform");
        if !program.exists() {
            eprintln!("{} is not built", program.display());
            std::process::exit(2);
        }
        let seeds = (0..disks.len()).filter(|at| disks[*at]).take(3).collect();
        Self { machines: machines.collect(), ports, seeds, folder, program }
    }

    pub fn addr(&self, at: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, port)
    }

    pub fn front(&self, at: usize) -> SocketAddrV4 {
        self.addr(at, self.ports.front)
    }

    pub fn control(&self, at: usize) -> SocketAddrV4 {
        self.addr(at, self.ports.control)
    }

    /// Writes the settings file of a machine, as the platform's template fills it.
    fn settings(&self, at: usize, role: &str, first_start: bool) -> PathBuf {
        let (m, p) = (&self.machines[at], &self.ports);
        let addr = |port: u16, serves: bool| match serves {
            true => format!("{}:{port}", m.ip),
            false => String::new(),
        };
        let is_entry = role == "entry";
        let seeds: Vec<String> =
            self.seeds.iter().map(|s| format!("\"{}\"", self.control(*s))).collect();
        let data = match m.has_disk && !is_entry {
            true => self.folder.join(format!("data-{at}-{}", m.disk)).display().to_string(),
            false => String::new(),
        };
        let text = format!(
            "zone = \"{}\"\nregions = {{ \"zone-0\" = \"r\", \"zone-1\" = \"r\", \"zone-2\" = \"r\" }}\n\
             ip = \"{}\"\nbox_ports = [{}, {}]\nlisten.front = \"{}\"\nlisten.ready = \"{}\"\n\
             listen.directory = \"{}\"\nlisten.control = \"{}\"\nown_port.entry = {}\n\
             own_port.control = {}\ncontrol = [{}]\nfirst_start = {first_start}\n\
             data_folder = \"{data}\"\ndescriptors = 4100\nstop_limit_s = 8\nlost_boxes = 1\n\
             retry_ratio = 0.2\nretry_slack = 64\npolicy.pick = \"objective\"\n\
             box_key = \"hatchpitch-boxes-share-this-secret\"\n",
            m.zone,
            m.ip,
            p.boxes[0],
            p.boxes[1],
            addr(p.front, is_entry),
            addr(p.ready, is_entry),
            addr(p.directory, is_entry),
            addr(p.control, !is_entry),
            p.own[0],
            p.own[1],
            seeds.join(", "),
        );
        let path = self.folder.join(format!("{role}-{at}.toml"));
        fs::write(&path, text).expect("settings are written");
        path
    }

    fn spawn(&self, at: usize, role: &str, first_start: bool) -> Child {
        let settings = self.settings(at, role, first_start);
        let log = |kind: &str| {
            let path = self.folder.join(format!("{role}-{at}.{kind}"));
            let file = fs::OpenOptions::new().create(true).append(true).open(path);
            Stdio::from(file.expect("a log file"))
        };
        let mut command = Command::new(&self.program);
        command.arg(role).env_clear().env("HATCHPITCH_SETTINGS", settings);
        command.stdin(Stdio::null()).stdout(log("out")).stderr(log("err"));
        net::end_child_with_parent(&mut command);
        command.spawn().expect("the program starts")
    }

    pub fn start_entry(&mut self, at: usize, first_start: bool) {
        self.machines[at].entry = Some(self.spawn(at, "entry", first_start));
    }

    pub fn start_control(&mut self, at: usize, first_start: bool) {
        self.machines[at].control = Some(self.spawn(at, "control", first_start));
    }

    pub fn start_all(&mut self) {
        for at in 0..self.machines.len() {
            self.start_control(at, true);
            self.start_entry(at, true);
        }
    }

    /// Sends a signal to both processes of a machine.
    pub fn signal(&self, at: usize, number: i32) {
        let machine = &self.machines[at];
        for child in [&machine.entry, &machine.control].into_iter().flatten() {
            net::signal(child.id(), number);
        }
    }

    pub fn entry_has_ended(&mut self, at: usize) -> bool {
        let child = self.machines[at].entry.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill_entry(&mut self, at: usize) {
        end(self.machines[at].entry.take());
    }

    pub fn kill_control(&mut self, at: usize) {
        end(self.machines[at].control.take());
    }

    /// Sends the operator's order to any control box until it is acknowledged; returns the box.
    pub fn put_config(&self, config: &str, limit: Duration) -> Option<usize> {
        let started = Instant::now();
        while started.elapsed() < limit {
            for at in 0..self.machines.len() {
                if self.machines[at].control.is_none() {
                    continue;
                }
                if self.order(at, "PUT", "/config", config).is_some_and(|(s, _)| s == 200) {
                    return Some(at);
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Sends one call to a control box, following redirects twice; `None` without a response.
    pub fn order(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let mut to = self.control(at);
        for _ in 0..3 {
            let headers = "Content-Type: application/json\r\n";
            let (head, answer) =
                net::call(to, method, path, headers, body, Duration::from_secs(1)).ok()?;
            if head.status() != 307 {
                return Some((head.status(), answer));
            }
            let location = head.get("location")?.strip_prefix("http://")?.to_owned();
            to = location.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Waits until all machines say that they are ready; returns whether they do.
    pub fn await_ready(&self) -> bool {
        let started = Instant::now();
        while !(0..self.machines.len()).all(|at| self.is_ready(at)) {
            if started.elapsed() > Duration::from_secs(20) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    fn is_ready(&self, at: usize) -> bool {
        let to = self.addr(at, self.ports.ready);
        let answer = net::call(to, "GET", "/ready", "", "", Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            end(machine.entry.take());
            end(machine.control.take());
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn end(child: Option<Child>) {
    if let Some(mut child) = child {
        net::signal(child.id(), net::SIGCONT);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns two adjacent free ports.
fn adjacent_ports(ip: Ipv4Addr) -> (u16, u16) {
    loop {
        let low = net::free_ports(ip, 1)[0];
        if low < u16::MAX && std::net::TcpListener::bind((ip, low + 1)).is_ok() {
            return (low, low + 1);
        }
    }
}
