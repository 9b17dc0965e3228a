//! Engines, services and boxes whose responses have spoilt heads, as the readers of real processes see
//! them.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hatchpitch::engine::messages::{EngineEvent, FinishReason, GenerateRequest};
use hatchpitch_e2e::fleet::{MODEL, OPERATOR_KEY, WAIT_TIMEOUT};
use hatchpitch_e2e::process::run;
use hatchpitch_e2e::{FleetSpec, TestFleet};
use http::{HeaderMap, Method};
use serde_json::{Value, json};

/// Heads whose bodies are sent as they are and end with the connection.
const SPOILT: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity",
    "HTTP/1.1 200 OK\r\nX A: 1",
    "HTTP/1.1 000 OK",
];
const VALID: &str = "HTTP/1.1 200 OK";
const TIMEOUT: Duration = Duration::from_secs(10);
const WORD: &str = "word";

/// Server of engines, services and boxes that sends the same head with each response.
struct Server {
    addr: SocketAddr,
    head: Arc<Mutex<String>>,
}

impl Server {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let head = Arc::new(Mutex::new(VALID.to_owned()));
        let shared = head.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let head = shared.clone();
                std::thread::spawn(move || serve(&stream, &head));
            }
        });
        Self { addr, head }
    }

    fn set_head(&self, head: &str) {
        head.clone_into(&mut self.head.lock().unwrap());
    }
}

fn serve(mut stream: &TcpStream, head: &Mutex<String>) {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream);
    let mut req = String::new();
    while !req.ends_with("\r\n\r\n") {
        if reader.read_line(&mut req).unwrap_or(0) == 0 {
            return;
        }
    }
    let len = req.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; len.map_or(0, |len| len.parse().unwrap())];
    if reader.read_exact(&mut body).is_err() {
        return;
    }
    let path = req.split_whitespace().nth(1).unwrap_or("");
    let (head, body) = match path {
        "/v1/generate" => (head.lock().unwrap().clone(), events(&body)),
        // Engines are asked for their load all the time, and have to look well.
        "/v1/load" => (VALID.to_owned(), LOAD.to_owned()),
        _ if path.starts_with("/ops/") => (head.lock().unwrap().clone(), "[]".to_owned()),
        _ => (head.lock().unwrap().clone(), json!({ "path": path }).to_string()),
    };
    // A reader that has seen enough has disconnected.
    let _ = write!(stream, "{head}\r\nContent-Type: application/json\r\n\r\n{body}");
}

/// Load report of an idle engine.
const LOAD: &str = r#"{"incarnation":"1","leaving":false,"memory_used":0,"memory_limit":100000,"running":0,"waiting":0,"preemptions":0}"#;

/// Returns the events of a whole generation.
fn events(body: &[u8]) -> String {
    let req: GenerateRequest = serde_json::from_slice(body).unwrap();
    let attempt = req.attempt;
    let token = EngineEvent::Token { attempt: attempt.clone(), index: 0, text: WORD.to_owned() };
    let done = EngineEvent::Done { attempt, tokens: 1, reason: FinishReason::Stop };
    [token, done].iter().map(|event| serde_json::to_string(event).unwrap() + "\n").collect()
}

/// Starts a fleet whose only engine and service is `server`.
async fn start(server: &Server) -> anyhow::Result<TestFleet> {
    let spec = FleetSpec { control: 1, entry: 1, engines: 0, apps: 0, ..FleetSpec::default() };
    let mut fleet = TestFleet::start(spec).await?;
    fleet.engine_addrs.push(server.addr);
    fleet.app_addrs.push(server.addr);
    fleet.apply(2).await?;
    fleet.wait_in_force(2).await?;
    Ok(fleet)
}

/// Sends a request and returns whether its caller got the whole answer of the server.
async fn is_answered(fleet: &TestFleet, method: Method, path: &str, body: &Value) -> bool {
    let (caller, at) = (fleet.caller(0), fleet.entry_addrs[0]);
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", "k".parse().unwrap());
    let body = Bytes::from(body.to_string());
    let received = caller.exchange(at, method, path, headers, body).await.unwrap();
    let text = String::from_utf8_lossy(&received.body);
    let is_whole = text.contains(WORD) && (text.contains("[DONE]") || !text.contains("data:"))
        || text.contains("\"path\"");
    received.head.status == 200 && is_whole
}

/// Sends requests of one kind whose answers have spoilt heads, each of which follows an answered one.
async fn check(method: Method, path: &str, body: Value) -> anyhow::Result<()> {
    let server = Server::start();
    let fleet = start(&server).await?;
    for head in SPOILT {
        server.set_head(VALID);
        let started = Instant::now();
        // An engine that has failed is left alone for a while.
        while !is_answered(&fleet, method.clone(), path, &body).await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{path}: no answer after {head}");
        }
        server.set_head(head);
        assert!(!is_answered(&fleet, method.clone(), path, &body).await, "{path}: {head}");
    }
    Ok(())
}

#[compio::test]
async fn a_chat_completion_has_an_answer_with_a_spoilt_head() -> anyhow::Result<()> {
    for stream in [false, true] {
        let messages = [json!({"role": "user", "content": "a prompt"})];
        let body = json!({"model": MODEL, "messages": messages, "stream": stream});
        check(Method::POST, "/v1/chat/completions", body).await?;
    }
    Ok(())
}

#[compio::test]
async fn a_text_completion_has_an_answer_with_a_spoilt_head() -> anyhow::Result<()> {
    let body = json!({"model": MODEL, "prompt": "a prompt"});
    check(Method::POST, "/v1/completions", body).await
}

#[compio::test]
async fn a_call_to_a_service_has_an_answer_with_a_spoilt_head() -> anyhow::Result<()> {
    check(Method::GET, "/apps/calculator/rates", Value::Null).await
}

/// Returns the exit code and the output of a command that reads an answer with this head.
fn get(head: &str) -> (i32, String) {
    let server = Server::start();
    server.set_head(head);
    let addr = server.addr.to_string();
    run("hatchpitch", &["--control", &addr, "--key", OPERATOR_KEY, "get"]).unwrap()
}

#[test]
fn a_command_reads_an_answer_with_a_spoilt_head() {
    // Boxes mark the end of their answers.
    let commands = SPOILT.into_iter().chain([VALID]).map(|head| {
        std::thread::spawn(move || {
            let (code, output) = get(head);
            assert!(code != 0, "{head}: {output}");
        })
    });
    let commands: Vec<_> = commands.collect();
    let (code, output) = get("HTTP/1.1 200 OK\r\nContent-Length: 2");
    assert_eq!(code, 0, "{output}");
    commands.into_iter().for_each(|command| command.join().unwrap());
}
