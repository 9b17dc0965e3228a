//! Stand-in of a model runner: registers itself, answers load reports and streams events.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net;

/// What one request is answered with.
#[derive(Clone)]
pub struct Work {
    /// Events of a stream; 0 for a response with a length.
    pub events: usize,
    /// Bytes of the data of an event, or of the response.
    pub bytes: usize,
    /// Time for an event, or for the response.
    pub each: Duration,
}

/// One run of a request.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub runner: String,
    pub began: Instant,
    /// When the last byte was handed to the network; `None` while it runs.
    pub ended: Option<Instant>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether the connection broke before the body was out.
    pub broken: bool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Runner {
    pub id: String,
    pub addr: SocketAddrV4,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub sequence: AtomicU64,
    pub stopped: AtomicBool,
    pub state: Mutex<&'static str>,
    work: Work,
    runs: Runs,
}

impl Runner {
    /// Starts a runner with `slots` places.
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Work,
        runs: Runs,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = SocketAddrV4::new(ip, listener.local_addr().expect("bound").port());
        let runner = Arc::new(Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            sequence: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            state: Mutex::new("ready"),
            work,
            runs,
        });
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        runner
    }

    /// Sends a heartbeat each 1.2 s to one of these control boxes, in turn where one fails.
    pub fn register(self: &Arc<Self>, control: Vec<SocketAddrV4>) {
        let runner = self.clone();
        std::thread::spawn(move || {
            while !runner.stopped.load(Ordering::Relaxed) {
                let _ = control.iter().any(|to| runner.heartbeat(*to));
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    pub fn heartbeat_body(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = *self.state.lock().expect("state");
        heartbeat_body(&self.service, self.addr, &self.zone, self.slots, state, sequence)
    }

    pub fn heartbeat(&self, to: SocketAddrV4) -> bool {
        let body = self.heartbeat_body();
        let path = format!("/instances/{}", self.id);
        let headers = "Content-Type: application/json\r\n";
        let answer = net::call(to, "PUT", &path, headers, &body, Duration::from_secs(1));
        answer.is_ok_and(|(head, _)| head.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        let mut out = stream;
        while let Ok(head) = net::read_head(&mut reader) {
            let (_, whole) = net::read_body(&head, &mut reader);
            if !whole || self.answer(&head, &mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &net::Head, out: &mut TcpStream) -> std::io::Result<()> {
        if head.start.starts_with("GET /report ") {
            let text = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"config_version\":1,\"adapters\":[]}],\
                \"busy\":false,\"sequence\":1,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":34305,\"handles\":0}";
            return respond(out, "200 OK", "Content-Type: application/json\r\n", text);
        }
        let Some(id) = head.get("x-hatchpitch-request-id").map(str::to_owned) else {
            return respond(out, "400 Bad Request", "X-Hatchpitch-Not-Executed: 1\r\n", "");
        };
        if head.get("x-hatchpitch-expect-instance").is_some_and(|wanted| wanted != self.id) {
            return respond(out, "421 Misdirected Request", "X-Hatchpitch-Not-Executed: 1\r\n", "");
        }
        let body = self.body(&id);
        let at = {
            let mut runs = self.runs.lock().expect("runs");
            runs.push(Run {
                id: id.clone(),
                runner: self.id.clone(),
                began: Instant::now(),
                ended: None,
                body: body.concat(),
                broken: false,
            });
            runs.len() - 1
        };
        let sent = self.send(&id, &body, out);
        let mut runs = self.runs.lock().expect("runs");
        runs[at].ended = Some(Instant::now());
        runs[at].broken = sent.is_err();
        sent
    }

    /// Returns the body in the parts in which it is made.
    fn body(&self, id: &str) -> Vec<Vec<u8>> {
        let fill = |len: usize| "x".repeat(len);
        if self.work.events == 0 {
            return vec![format!("{id} {}", fill(self.work.bytes)).into_bytes()];
        }
        let event = |n| format!("id: {n}\ndata: {id} {}\n\n", fill(self.work.bytes)).into_bytes();
        (1..=self.work.events).map(event).collect()
    }

    fn send(&self, id: &str, parts: &[Vec<u8>], out: &mut TcpStream) -> std::io::Result<()> {
        let seal = format!(
            "X-Hatchpitch-Request-Id: {id}\r\nX-Hatchpitch-Response-Seal: seal.{}.{id}\r\n",
            self.id
        );
        if self.work.events == 0 {
            std::thread::sleep(self.work.each);
            let text = String::from_utf8_lossy(&parts[0]).into_owned();
            return respond(out, "200 OK", &seal, &text);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{seal}\r\n"
        );
        out.write_all(head.as_bytes())?;
        for part in parts {
            std::thread::sleep(self.work.each);
            let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
            chunk.extend_from_slice(part);
            chunk.extend_from_slice(b"\r\n");
            out.write_all(&chunk)?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

/// Body of a heartbeat.
pub fn heartbeat_body(
    service: &str,
    addr: SocketAddrV4,
    zone: &str,
    slots: usize,
    state: &str,
    sequence: u64,
) -> String {
    format!(
        "{{\"upstream\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"config_version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"config_version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}"
    )
}

fn respond(out: &mut TcpStream, status: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let len = body.len();
    out.write_all(
        format!("HTTP/1.1 {status}\r\nContent-Length: {len}\r\n{headers}\r\n{body}").as_bytes(),
    )
}
