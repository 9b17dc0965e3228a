//! Stand-ins for the platform, runners and clients, with the standard library only.
//!
//! The fleet consists of the project's own programs, started with the commands of the deploy file and
//! with settings as the template of the deploy file would be filled. All addresses are loopback ones.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Out = Arc<Record>;

/// The record of a case: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Out {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn at(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) -> String {
        let mut file = self.file.lock().unwrap();
        let line = format!("{:9.3} {text}\n", self.at());
        let _ = file.write_all(line.as_bytes());
        line
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        print!("{}", self.note(text));
    }
}

/// An HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the message was seen.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` if the connection ends before its head does.
pub fn read_message(stream: &mut TcpStream, is_answer: bool) -> Option<Message> {
    let mut buf: Vec<u8> = Vec::new();
    let mut piece = [0_u8; 16 * 1024];
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => buf.extend_from_slice(&piece[..n]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new(), whole: false };
    let mut rest = buf[head_end + 4..].to_vec();
    let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let chunked = message.header("transfer-encoding").is_some();
    let mut more = |rest: &mut Vec<u8>| match stream.read(&mut piece) {
        Ok(n) if n > 0 => {
            rest.extend_from_slice(&piece[..n]);
            true
        }
        _ => false,
    };
    if chunked {
        loop {
            let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                if more(&mut rest) { continue } else { return Some(message) }
            };
            let size = String::from_utf8_lossy(&rest[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else { return Some(message) };
            while rest.len() < end + 2 + size + 2 {
                if !more(&mut rest) {
                    message.body.extend_from_slice(&rest[(end + 2).min(rest.len())..]);
                    return Some(message);
                }
            }
            message.body.extend_from_slice(&rest[end + 2..end + 2 + size]);
            rest.drain(..end + 2 + size + 2);
            if size == 0 {
                message.whole = true;
                return Some(message);
            }
        }
    }
    let bodiless = is_answer && matches!(message.status(), 204 | 304);
    match length {
        Some(length) => {
            while rest.len() < length && more(&mut rest) {}
            message.whole = rest.len() >= length;
            rest.truncate(length);
        }
        None if is_answer && !bodiless => {
            while more(&mut rest) {}
            message.whole = true;
        }
        None => {
            rest.clear();
            message.whole = true;
        }
    }
    message.body = rest;
    Some(message)
}

/// Sends bytes on a new connection and reads the answer.
pub fn call(addr: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut stream, true)
}

pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// One machine with its two processes.
pub struct Machine {
    /// Address under which the other machines know it.
    pub ip: Ipv4Addr,
    /// Address at which its processes listen; another one if its links can be cut.
    pub listen: Ipv4Addr,
    pub settings: PathBuf,
    pub entry: Option<Child>,
    pub control: Option<Child>,
}

/// The fleet: machines with a disk, each in a zone of its own.
pub struct Fleet {
    pub machines: Vec<Machine>,
    ports: Vec<u16>,
    folder: PathBuf,
    program: PathBuf,
    pub out: Out,
    ids: AtomicU64,
}

const FRONT: usize = 4;
const READY: usize = 5;
const DIRECTORY: usize = 6;
const CONTROL: usize = 7;

fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// Returns ports that are free at all addresses.
fn free_ports(ips: &[Ipv4Addr], count: usize) -> Option<Vec<u16>> {
    let mut held = Vec::new();
    let mut ports = Vec::new();
    for _ in 0..count {
        let first = TcpListener::bind((ips[0], 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        held.push(first);
        for ip in &ips[1..] {
            held.push(TcpListener::bind((*ip, port)).ok()?);
        }
        ports.push(port);
    }
    Some(ports)
}

impl Fleet {
    /// Starts `count` machines with a disk. Exits with 2 if they don't come up.
    pub fn start(count: u8, out: &Out) -> Self {
        Self::start_with(count, 0, out, None)
    }

    /// Starts `count` machines with a disk, and keeps the addresses of `spare` further ones.
    pub fn start_with_spare(count: u8, spare: u8, out: &Out) -> Self {
        Self::start_with(count, spare, out, None)
    }

    /// Starts a fleet whose machines reach each other over links that can be cut.
    pub fn start_linked(count: u8, out: &Out, links: &Arc<Links>) -> Self {
        Self::start_with(count, 0, out, Some(links))
    }

    fn start_with(count: u8, spare: u8, out: &Out, links: Option<&Arc<Links>>) -> Self {
        let draw = random().to_be_bytes();
        let ip = |at: u8| Ipv4Addr::new(127, 32 | (draw[0] & 31), draw[1], 10 + at);
        let ips: Vec<Ipv4Addr> = (0..count + spare).map(ip).collect();
        let is_linked = links.is_some();
        let listen = |at: u8| if is_linked { ip(100 + at) } else { ip(at) };
        let mut all = ips.clone();
        all.extend((0..count + spare).map(listen).filter(|_| is_linked));
        let ports = (0..50).find_map(|_| {
            let mut ports = free_ports(&all, 8)?;
            // Two ports in a row for what the machines say to each other.
            let next = ports[0].checked_add(1)?;
            for ip in &all {
                TcpListener::bind((*ip, next)).ok()?;
            }
            ports[1] = next;
            Some(ports)
        });
        let Some(ports) = ports else { cannot_run("no free ports") };
        let folder = std::env::temp_dir().join(format!("review-2-{:016x}", random()));
        fs::create_dir_all(&folder).unwrap_or_else(|_| cannot_run("no temporary folder"));
        let program = std::env::current_dir().unwrap().join("target/release/hatchpitch-platform");
        let count = usize::from(count);
        let machines = ips.iter().zip(0..).map(|(ip, at)| Machine {
            ip: *ip,
            listen: listen(at),
            settings: folder.join(format!("settings-{ip}.toml")),
            entry: None,
            control: None,
        });
        let machines = machines.collect();
        let mut fleet =
            Self { machines, ports, folder, program, out: out.clone(), ids: AtomicU64::new(1) };
        if let Some(links) = links {
            links.open(&fleet);
        }
        for at in 0..count {
            fleet.write_settings(at, true);
        }
        for at in 0..count {
            fleet.start_machine(at);
        }
        // Whatever is started later starts with a disk that has been used.
        for at in 0..count {
            let deadline = Instant::now() + Duration::from_secs(20);
            while !fleet.is_listening(at) && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(50));
            }
        }
        if let Some(links) = links {
            links.set_processes(&fleet);
        }
        fleet
    }

    fn is_listening(&self, at: usize) -> bool {
        TcpStream::connect((self.machines[at].listen, self.ports[CONTROL])).is_ok()
    }

    /// Writes the settings of a machine as the platform would fill the template.
    pub fn write_settings(&self, at: usize, first_start: bool) {
        let zones = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
        let ip = self.machines[at].ip;
        let p = &self.ports;
        let seeds: Vec<String> =
            self.machines.iter().take(3).map(|m| format!("\"{}:{}\"", m.ip, p[CONTROL])).collect();
        let regions: Vec<String> =
            zones[..self.machines.len()].iter().map(|z| format!("\"{z}\" = \"region\"")).collect();
        let data = self.folder.join(format!("data-{ip}"));
        let text = format!(
            "zone = \"{}\"\nregions = {{ {} }}\nip = \"{ip}\"\nbox_ports = [{}, {}]\n\
             listen.front = \"{ip}:{}\"\nlisten.ready = \"{ip}:{}\"\n\
             listen.directory = \"{ip}:{}\"\nlisten.control = \"{ip}:{}\"\n\
             own_port.entry = {}\nown_port.control = {}\ncontrol = [{}]\n\
             first_start = {first_start}\ndata_folder = \"{}\"\ndescriptors = 4100\n\
             memory_mb = 110\nstop_limit_s = 8\nlost_boxes = 1\nretry_ratio = 0.2\n\
             retry_slack = 58\npolicy.pick = \"objective\"\n\
             box_key = \"hatchpitch-boxes-share-this-secret\"\n{}",
            zones[at],
            regions.join(", "),
            p[0],
            p[1],
            p[FRONT],
            p[READY],
            p[DIRECTORY],
            p[CONTROL],
            p[2],
            p[3],
            seeds.join(", "),
            data.display(),
            match self.machines[at].listen == ip {
                true => String::new(),
                false => format!("listen_ip = \"{}\"\n", self.machines[at].listen),
            },
        );
        fs::write(&self.machines[at].settings, text)
            .unwrap_or_else(|_| cannot_run("settings not written"));
    }

    fn spawn(&self, at: usize, role: &str) -> Child {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{at}.log")))
            .unwrap_or_else(|_| cannot_run("log not opened"));
        let err = log.try_clone().unwrap();
        let child = Command::new(&self.program)
            .arg(role)
            .env("HATCHPITCH_SETTINGS", &self.machines[at].settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn();
        child.unwrap_or_else(|_| cannot_run("the program does not start; build it first"))
    }

    pub fn start_machine(&mut self, at: usize) {
        let (control, entry) = (self.spawn(at, "control"), self.spawn(at, "entry"));
        self.machines[at].control = Some(control);
        self.machines[at].entry = Some(entry);
    }

    /// Kills both processes of a machine.
    pub fn kill_machine(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        for child in [&mut machine.entry, &mut machine.control].into_iter().flatten() {
            let _ = child.kill();
        }
        for child in [machine.entry.take(), machine.control.take()].into_iter().flatten() {
            let mut child = child;
            let _ = child.wait();
        }
    }

    /// Stops a machine as the platform does, which removes it for good.
    pub fn remove_machine(&mut self, at: usize) {
        let machine = &self.machines[at];
        for child in [&machine.entry, &machine.control].into_iter().flatten() {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        }
    }

    /// Empties the disk of a machine whose processes do not run.
    pub fn wipe(&self, at: usize) {
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{}", self.machines[at].ip)));
    }

    /// Starts a machine again, with the settings of any start but the first one of the system.
    pub fn restart_machine(&mut self, at: usize) {
        self.write_settings(at, false);
        self.start_machine(at);
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::from((self.machines[at].listen, self.ports[FRONT]))
    }

    pub fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::from((self.machines[at].listen, self.ports[CONTROL]))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.machines.len()).map(|at| self.control(at)).collect()
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let addr = SocketAddr::from((self.machines[at].listen, self.ports[READY]));
        let answer =
            call(addr, &request("GET", "/ready", "Host: x\r\n", ""), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until all machines are ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let mut running =
                (0..self.machines.len()).filter(|at| self.machines[*at].entry.is_some());
            if running.all(|at| self.is_ready(at)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a configuration as the operator does, until it has a clear answer.
    pub fn put_config(&self, text: &str, limit: Duration) -> Option<u16> {
        let deadline = Instant::now() + limit;
        let mut at = 0;
        while Instant::now() < deadline {
            let mut addr = self.control(at % self.machines.len());
            at += 1;
            for _ in 0..3 {
                let bytes = request(
                    "PUT",
                    "/config",
                    "Host: x\r\nContent-Type: application/json\r\n",
                    text,
                );
                let Some(answer) = call(addr, &bytes, Duration::from_secs(1)) else { break };
                match answer.status() {
                    307 => {
                        let to = answer.header("location").unwrap_or("").to_owned();
                        let to = to.trim_start_matches("http://").split('/').next().unwrap_or("");
                        match to.parse() {
                            Ok(to) => addr = to,
                            Err(_) => break,
                        }
                    }
                    408 | 429 | 500..=599 => break,
                    status => return Some(status),
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    pub fn next_id(&self, prefix: &str) -> String {
        format!("{prefix}-{}", self.ids.fetch_add(1, Ordering::Relaxed))
    }
}

/// The links between machines. Connections from one machine to another pass a relay, which resets them
/// while the two are cut from each other.
#[derive(Default)]
pub struct Links {
    /// Machines that are cut off from all others.
    cut: Mutex<Vec<usize>>,
    /// Processes of each machine.
    processes: Mutex<Vec<[u32; 2]>>,
    /// Open connections, with the machines that they join.
    open: Mutex<Vec<(usize, usize, TcpStream, TcpStream)>>,
}

impl Links {
    fn open(self: &Arc<Self>, fleet: &Fleet) {
        for (to, machine) in fleet.machines.iter().enumerate() {
            for port in [fleet.ports[0], fleet.ports[1]] {
                let listener = TcpListener::bind((machine.ip, port))
                    .unwrap_or_else(|_| cannot_run("a port of a link is taken"));
                let (links, listen) = (self.clone(), machine.listen);
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let links = links.clone();
                        thread::spawn(move || {
                            links.relay(stream, to, SocketAddr::from((listen, port)))
                        });
                    }
                });
            }
        }
    }

    fn set_processes(&self, fleet: &Fleet) {
        let id = |child: &Option<Child>| child.as_ref().map_or(0, Child::id);
        let all = fleet.machines.iter().map(|m| [id(&m.entry), id(&m.control)]);
        *self.processes.lock().unwrap() = all.collect();
    }

    /// Returns the machine whose process opened a connection.
    fn sender(&self, peer: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(peer) = peer else { return None };
        let local = format!("{:08X}:{:04X}", u32::from_le_bytes(peer.ip().octets()), peer.port());
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let line = table.lines().find(|l| l.split_whitespace().nth(1) == Some(&local))?;
        let socket = format!("socket:[{}]", line.split_whitespace().nth(9)?);
        let owns = |process: &u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
            files
                .into_iter()
                .any(|f| fs::read_link(f.path()).is_ok_and(|to| to.to_string_lossy() == socket))
        };
        let processes = self.processes.lock().unwrap().clone();
        processes.iter().position(|of_machine| of_machine.iter().any(owns))
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let cut = self.cut.lock().unwrap();
        from != to && (cut.contains(&from) || cut.contains(&to))
    }

    fn relay(&self, stream: TcpStream, to: usize, addr: SocketAddr) {
        // Before all processes run, nothing is cut.
        let from = stream.peer_addr().ok().and_then(|peer| self.sender(peer));
        let is_started = !self.processes.lock().unwrap().is_empty();
        let from = match from {
            Some(from) => from,
            None if is_started && !self.cut.lock().unwrap().is_empty() => return reset(&stream),
            None => to,
        };
        if self.is_cut(from, to) {
            return reset(&stream);
        }
        let Ok(target) = TcpStream::connect(addr) else { return reset(&stream) };
        let _ = (stream.set_nodelay(true), target.set_nodelay(true));
        let (Ok(a), Ok(b)) = (stream.try_clone(), target.try_clone()) else { return };
        let (Ok(c), Ok(d)) = (stream.try_clone(), target.try_clone()) else { return };
        self.open.lock().unwrap().push((from, to, c, d));
        thread::spawn(move || copy(a, b));
        copy(target, stream);
    }

    /// Cuts a machine off from all others: their connections are reset.
    pub fn cut_off(&self, machine: usize) {
        self.cut.lock().unwrap().push(machine);
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        for (from, to, a, b) in open {
            // The sender of a connection from before the start of all processes is not known.
            if self.is_cut(from, to) || from == to {
                reset(&a);
                reset(&b);
            }
        }
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

/// Closes a connection both ways.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0_u8; 64 * 1024];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    reset(&from);
    reset(&to);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.machines.len() {
            self.kill_machine(at);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ends a case that can't run. It unwinds, so that all processes that were started are ended.
pub fn cannot_run(cause: &str) -> ! {
    println!("the case can't run: {cause}");
    std::panic::resume_unwind(Box::new("the case can't run"))
}

/// What a runner does with a request on a connection.
pub type Behaviour = dyn Fn(&Runner, &Message, &mut TcpStream) + Send + Sync;

/// A runner that registers itself.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub sequence: AtomicU64,
    pub beats: AtomicBool,
    pub ended: AtomicBool,
    /// Until when it is cold, if it is.
    pub cold_until: Mutex<Option<Instant>>,
    /// Requests that arrived: time and message.
    pub arrivals: Mutex<Vec<(f64, Message)>>,
    pub out: Out,
}

impl Runner {
    /// Starts a runner that sends no heartbeats by itself.
    pub fn new(
        id: &str,
        service: &str,
        zone: &str,
        out: &Out,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port"));
        let addr = listener.local_addr().unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            cold_until: Mutex::new(None),
            arrivals: Mutex::default(),
            out: out.clone(),
        });
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::Relaxed) {
                    return;
                }
                let (runner, behaviour) = (served.clone(), behaviour.clone());
                thread::spawn(move || runner.serve(stream, &behaviour));
            }
        });
        runner
    }

    /// Starts a runner, and its heartbeats to the machines.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        controls: Vec<SocketAddr>,
        out: &Out,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Self> {
        let runner = Self::new(id, service, zone, out, behaviour);
        let beating = runner.clone();
        thread::spawn(move || {
            let mut at = random() as usize % controls.len();
            while !beating.ended.load(Ordering::Relaxed) {
                // A heartbeat that is not acknowledged goes to the next node.
                for _ in 0..controls.len() {
                    if !beating.beats.load(Ordering::Relaxed) {
                        break;
                    }
                    at = (at + 1) % controls.len();
                    if beating.beat_to(controls[at]) {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        runner
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat_to(&self, control: SocketAddr) -> bool {
        let answer = call(control, &self.heartbeat(), Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, Message::status);
        self.out.note(&format!("heartbeat of {} to {control}: {status}", self.id));
        (200..300).contains(&status)
    }

    /// Makes the next heartbeat.
    pub fn heartbeat(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"upstream\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":{},\"sequence\":{sequence}}}",
            self.service,
            self.addr,
            self.zone,
            self.cold_until
                .lock()
                .unwrap()
                .map_or(0, |until| { until.saturating_duration_since(Instant::now()).as_millis() }),
        );
        let path = format!("/instances/{}", self.id);
        request("PUT", &path, "Host: x\r\nContent-Type: application/json\r\n", &body)
    }

    /// Makes the runner cold until a time.
    pub fn set_cold_until(&self, until: Instant) {
        *self.cold_until.lock().unwrap() = Some(until);
    }

    fn serve(&self, mut stream: TcpStream, behaviour: &Arc<Behaviour>) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
        let _ = stream.set_nodelay(true);
        while let Some(message) = read_message(&mut stream, false) {
            if message.first.starts_with("PROBE") {
                let _ = stream.write_all(
                    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                );
                return;
            }
            if message.path() == "/health" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Hatchpitch-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = stream.write_all(text.as_bytes());
                continue;
            }
            if message.header("x-hatchpitch-expect-instance").is_some_and(|id| id != self.id) {
                let _ = stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nX-Hatchpitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let id = message.header("x-hatchpitch-request-id").unwrap_or("");
            self.out.note(&format!("{id} reaches {} and runs", self.id));
            self.arrivals.lock().unwrap().push((self.out.at(), message.clone()));
            behaviour(self, &message, &mut stream);
        }
    }

    /// The usual answer: 200 with a signature.
    pub fn answer(&self, message: &Message, extra: &str, body: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Hatchpitch-Request-Id: {}\r\nX-Hatchpitch-Response-Seal: seal\r\n\
             {extra}Content-Length: {}\r\n\r\n{body}",
            message.header("x-hatchpitch-request-id").unwrap_or(""),
            body.len(),
        )
    }
}

/// Counts by text.
pub fn tally<'a>(items: impl Iterator<Item = &'a str>) -> String {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    let mut counts: Vec<String> = counts.iter().map(|(k, n)| format!("{k}: {n}")).collect();
    counts.sort();
    counts.join(", ")
}
